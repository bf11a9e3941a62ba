"""Configuration comes into force in time, whatever happens to the store and the connections to it.

Times are those that the users' platform allows: a node counts as undisturbed `CONTACT_S` after a
disturbance, and has `APPLY_S` from the confirmation of a version until it has to be in force.
"""

from collections.abc import Iterator
from time import sleep

from harness import Processes, wait_until
from pytest import fixture
from store_nodes import StoreNodes, version_at, wait_for_version

CONTACT_S = 3.0
APPLY_S = 2.0
BOUNDS = {"contact_ms": CONTACT_S * 1000, "config_apply_ms": APPLY_S * 1000}
#: As many as a deployment of the users has; feed requests are longer in larger groups.
MANY_NODES = 16


@fixture
def deployment(tmp_path) -> Iterator[StoreNodes]:
    """Yield a store with a configuration, without nodes."""
    with Processes(tmp_path) as processes:
        nodes = StoreNodes(processes, BOUNDS)
        nodes.publish(1)
        yield nodes


class TestOtherRows:
    def test_configuration_is_found_behind_other_rows_of_the_operator(
        self, deployment: StoreNodes
    ) -> None:
        deployment.write_other_rows(12, "a-")
        nodes = deployment.start(1)
        deployment.publish(2)
        wait_for_version(nodes, 2, APPLY_S)


class TestSilentConnections:
    def test_version_is_in_force_in_time_after_all_connections_to_the_store_went_silent(
        self, deployment: StoreNodes
    ) -> None:
        nodes = deployment.start(MANY_NODES)
        deployment.publish(2)
        wait_for_version(nodes, 2, CONTACT_S + APPLY_S)
        deployment.silence_connections()
        sleep(CONTACT_S)
        deployment.publish(3)
        wait_for_version(nodes, 3, APPLY_S)


class TestRestoredStore:
    """The store comes back from an older copy, and versions of it are given out again."""

    def test_version_written_at_a_reused_position_is_in_force_in_time(
        self, deployment: StoreNodes
    ) -> None:
        nodes = deployment.start(1)
        deployment.control_store("copy")
        deployment.publish(2)
        deployment.write_other_rows(5)
        wait_for_version(nodes, 2, CONTACT_S + APPLY_S)
        deployment.control_store("restore")
        deployment.publish(2)
        deployment.publish(3)
        wait_for_version(nodes, 3, CONTACT_S + APPLY_S)

    def test_version_below_a_position_that_was_passed_again_is_in_force_in_time(
        self, deployment: StoreNodes
    ) -> None:
        nodes = deployment.start(1)
        deployment.control_store("copy")
        deployment.publish(2)
        wait_for_version(nodes, 2, CONTACT_S + APPLY_S)
        deployment.control_store("paused")
        deployment.write_other_rows(1)
        deployment.control_store("restore")
        deployment.publish(3)
        deployment.write_other_rows(5)
        sleep(0.5)
        deployment.control_store("up")
        wait_for_version(nodes, 3, CONTACT_S + APPLY_S)

    def test_node_that_starts_meanwhile_has_the_version_of_its_peers_in_force(
        self, deployment: StoreNodes
    ) -> None:
        nodes = deployment.start(2)
        deployment.control_store("copy")
        deployment.publish(2)
        wait_for_version(nodes, 2, CONTACT_S + APPLY_S)
        deployment.control_store("restore")
        nodes += deployment.start(1)
        wait_for_version(nodes, 2, CONTACT_S)

    def test_nodes_write_the_rows_again_by_which_others_find_them(
        self, deployment: StoreNodes
    ) -> None:
        deployment.control_store("copy")
        nodes = deployment.start(2)
        wait_until(lambda: deployment.rows("z1/") == 2, CONTACT_S, "the rows of both nodes")
        deployment.control_store("restore")
        assert deployment.rows("z1/") == 0
        wait_until(
            lambda: deployment.rows("z1/") == 2, CONTACT_S + APPLY_S, "the rows of both nodes"
        )
        assert [version_at(node) for node in nodes] == [1, 1]
