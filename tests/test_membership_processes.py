"""Membership with real processes that are killed, paused, isolated or without the table."""

import json
import os
import signal
from collections.abc import Callable
from pathlib import Path
from time import monotonic, sleep

import pytest
from harness import Process, Processes, control, wait_until

DEAD_WITHIN_S = 5.0
LEAVING_WITHIN_S = 2.0
RULES_WITHIN_S = 5.0
EVENTUALLY_WITHIN_S = 20.0
NODE_COUNT = 8


class Node:
    """One member process and its log."""

    def __init__(self, name: str, process: Process, log: Path) -> None:
        self.name = name
        self.process = process
        self.log = log

    @property
    def last_entry(self) -> dict:
        """Return the last entry of the log."""
        return self.entries[-1]

    @property
    def entries(self) -> list[dict]:
        """Return all complete entries of the log."""
        whole, _, _ = self.log.read_bytes().rpartition(b"\n")
        return [json.loads(line) for line in whole.splitlines()]

    def state_of(self, name: str) -> str | None:
        """Return the state of a member in this node's view, or None if it is not in the view."""
        member = self.last_entry["members"].get(name)
        return None if member is None else member["state"]


class Nodes:
    """The processes of one test, spread over three zones in two regions."""

    def __init__(self, processes: Processes, folder: Path) -> None:
        self._processes = processes
        self._folder = folder
        self.platform = processes.start_platform()
        self.all: list[Node] = []

    def start(self, name: str, *extra: str) -> Node:
        number = int(name.strip("i"))
        log = self._folder / f"{name}-{monotonic()}.jsonl"
        process = self._processes.start(
            name,
            "tests.member_node",
            *("--instance", name, "--zone", f"z{number % 3}", "--log", str(log)),
            *("--region", f"r{number % 3 // 2}", "--table-port", str(self.platform.port)),
            *extra,
        )
        node = Node(name, process, log)
        wait_until(lambda: log.exists() and node.entries, EVENTUALLY_WITHIN_S, "the log")
        self.all.append(node)
        return node

    def start_all(self, size: int = NODE_COUNT) -> None:
        """Start nodes and wait until all are serving in every view."""
        for number in range(size):
            self.start(f"i{number}")
        names = [node.name for node in self.all]
        wait_until(
            lambda: all(self.all_see(name, "serving") for name in names),
            EVENTUALLY_WITHIN_S,
            "serving",
        )

    def others(self, name: str) -> list[Node]:
        return [node for node in self.all if node.name != name]

    def all_see(self, name: str, *states: str) -> bool:
        """Return whether a node is in one of these states in the view of every other node."""
        return all(node.state_of(name) in states for node in self.others(name))


@pytest.fixture
def nodes(tmp_path):
    with Processes(tmp_path) as processes:
        yield Nodes(processes, tmp_path)


def propagation_delay(nodes: Nodes, name: str, start: float, states: tuple[str, ...]) -> float:
    """Return the seconds from `start` until the last other node saw one of the states."""
    since = []
    for node in nodes.others(name):
        first = _first_entry(node, lambda line: line["members"][name]["state"] in states, start)
        since.append(first["members"][name]["since"] - start)
    return max(since)


def _first_entry(node: Node, condition: Callable[[dict], bool], start: float) -> dict:
    return next(line for line in node.entries if line["at"] >= start and condition(line))


class TestKill:
    def test_killed_node_is_dead_in_every_view_in_time(self, nodes):
        nodes.start_all()
        start = monotonic()
        nodes.all[2].process.kill()
        wait_until(lambda: nodes.all_see("i2", "dead"), EVENTUALLY_WITHIN_S, "death")
        assert propagation_delay(nodes, "i2", start, ("suspect", "dead")) < DEAD_WITHIN_S
        assert propagation_delay(nodes, "i2", start, ("dead",)) < DEAD_WITHIN_S
        for node in nodes.others("i2"):
            others = [node.state_of(each.name) for each in nodes.others("i2")]
            assert set(others) == {"serving"}


class TestPause:
    def test_node_paused_past_its_lease_returns_as_a_new_incarnation(self, nodes):
        nodes.start_all()
        node = nodes.all[1]
        before = node.last_entry["incarnation"]
        node.process.pause()
        wait_until(lambda: nodes.all_see("i1", "dead"), EVENTUALLY_WITHIN_S, "death")
        paused_at = monotonic()
        node.process.resume()
        wait_until(lambda: nodes.all_see("i1", "serving"), EVENTUALLY_WITHIN_S, "return")
        wait_until(
            lambda: node.last_entry["incarnation"] > before,
            EVENTUALLY_WITHIN_S,
            "the new incarnation of the node",
        )
        for other in nodes.others("i1"):
            assert (
                other.last_entry["members"]["i1"]["incarnation"] == node.last_entry["incarnation"]
            )
            assert other.last_entry["counts"]["reincarnations"] == 0
        after = [line for line in node.entries if line["at"] >= paused_at]
        assert not any(
            member["state"] in ("suspect", "dead")
            for line in after
            for member in line["members"].values()
        )


class TestLeaving:
    def test_leave_announcement_reaches_all_nodes_in_time(self, nodes):
        nodes.start_all()
        start = monotonic()
        nodes.all[4].process.terminate()
        wait_until(lambda: nodes.all_see("i4", "leaving", "dead"), EVENTUALLY_WITHIN_S, "leaving")
        assert propagation_delay(nodes, "i4", start, ("leaving",)) < LEAVING_WITHIN_S
        wait_until(lambda: nodes.all_see("i4", "dead"), EVENTUALLY_WITHIN_S, "the node to be dead")


class TestManyFailures:
    def test_paused_half_of_the_nodes_is_suspected_and_not_removed(self, nodes):
        nodes.start_all()
        paused = [nodes.all[number] for number in (0, 2, 4, 6)]
        for node in paused:
            node.process.pause()
        running = [node for node in nodes.all if node not in paused]
        names = [node.name for node in paused]
        suspected = lambda: all(  # noqa: E731
            node.state_of(name) == "suspect" for node in running for name in names
        )
        wait_until(suspected, EVENTUALLY_WITHIN_S, "suspicion")
        sleep(2 * DEAD_WITHIN_S)
        assert suspected()
        for node in paused:
            node.process.resume()
        serving = lambda: all(  # noqa: E731
            node.state_of(other.name) == "serving" for node in nodes.all for other in nodes.all
        )
        wait_until(serving, EVENTUALLY_WITHIN_S, "all to serve again")
        assert all(node.last_entry["counts"]["reincarnations"] == 0 for node in nodes.all)

    def test_isolated_node_keeps_its_view_and_loses_its_lease(self, nodes):
        nodes.start_all()
        isolated, *others = nodes.all
        for node in others:
            node.process.pause()
        wait_until(
            lambda: isolated.last_entry["isolated"] and not isolated.last_entry["lease"],
            EVENTUALLY_WITHIN_S,
            "isolation",
        )
        sleep(2 * DEAD_WITHIN_S)
        states = {node.name: isolated.state_of(node.name) for node in others}
        assert set(states.values()) <= {"serving", "suspect"}
        for node in others:
            node.process.resume()
        serving = lambda: all(  # noqa: E731
            node.state_of(other.name) == "serving" for node in nodes.all for other in nodes.all
        )
        wait_until(serving, EVENTUALLY_WITHIN_S, "all to serve again")
        assert isolated.last_entry["lease"]
        assert all(node.last_entry["counts"]["reincarnations"] == 0 for node in nodes.all)


class TestTableDown:
    def test_members_stay_and_a_new_node_joins_while_the_table_is_down(self, nodes):
        nodes.start_all(4)
        control(nodes.platform, mode="down")
        sleep(3.0)
        assert all(nodes.all_see(node.name, "serving") for node in nodes.all)
        late = nodes.start("i9", "--peer", f"127.0.0.1:{nodes.all[0].process.port}")
        wait_until(
            lambda: late.last_entry["ready"], EVENTUALLY_WITHIN_S, "the new node to be ready"
        )
        wait_until(
            lambda: nodes.all_see("i9", "serving"),
            EVENTUALLY_WITHIN_S,
            "the new node in every view",
        )


class TestRules:
    def test_version_reaches_all_nodes_in_time_and_never_decreases(self, nodes):
        nodes.start_all()
        for _ in range(3):
            os.kill(nodes.all[3].process.pid, signal.SIGUSR1)
            sleep(0.5)
        wait_until(
            lambda: all(n.last_entry["version"] == 3 for n in nodes.all),
            EVENTUALLY_WITHIN_S,
            "version 3",
        )
        times = [node.last_entry["adopted_at"] for node in nodes.all]
        assert max(times) - min(times) < RULES_WITHIN_S
        for node in nodes.all:
            versions = [line["version"] for line in node.entries]
            assert versions == sorted(versions)
