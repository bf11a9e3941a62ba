"""Descriptors of a node: links to nodes that have left, and connections when none is left."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from resource import RLIMIT_NOFILE, getrlimit, prlimit
from socket import create_connection
from time import sleep

from harness import ADDRESS, Process, Processes, wait_until
from platform_node import PlatformNode, make_config, make_route
from pytest import fixture

WITHIN_S = 20.0
#: Calls at once, each on a link of its own.
CALLS = 20
OTHER = "/other/?work_s=1"
#: Descriptors that may come and go beside the links, such as those of gossip.
SLACK = 5
#: Time without descriptors, in which the node calls the store several times.
WITHOUT_DESCRIPTORS_S = 5.0
HARD_LIMIT = getrlimit(RLIMIT_NOFILE)[1]


@fixture
def platform(tmp_path: Path) -> Iterator[PlatformNode]:
    """Yield the stand-ins of the platform with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path)


def open_descriptors(process: Process) -> int:
    """Return the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


# A node kept the links to each machine that a release had replaced, until it had no descriptors.
def test_links_to_a_node_that_has_left_are_closed(platform: PlatformNode) -> None:
    other = platform.add_node("other")
    other_process = other.start()
    node = platform.serve(
        make_route("/stock/"),
        make_route("/other/", service="other", timeout_ms=5000),
        services=("stock", "other"),
    )
    other.wait_ready()
    info = {"service": "other", "version": "v1", "zone": "z1", "capacity": 2 * CALLS}
    assert other.check_in(info=info).status == 200
    wait_until(lambda: platform.send_request("/other/").status == 200, WITHIN_S, "the other node")
    before = open_descriptors(node)
    assert other.check_in(info=info).status == 200
    with ThreadPoolExecutor(CALLS) as pool:
        names = [f"call-{number}" for number in range(CALLS)]
        responses = pool.map(lambda name: platform.send_request(OTHER, name=name), names)
        assert [response.status for response in responses] == [200] * CALLS
    assert open_descriptors(node) >= before + CALLS - SLACK
    other_process.terminate()
    other_process.wait()
    wait_until(lambda: open_descriptors(node) <= before + SLACK, WITHIN_S, "the links to be closed")


# A node that had used up its descriptors stopped listening, and its process ended.
def test_node_without_descriptors_serves_again_once_there_are_some(platform: PlatformNode) -> None:
    node = platform.serve(make_route("/safe/"))
    limit = open_descriptors(node) + 1
    prlimit(node.pid, RLIMIT_NOFILE, (limit, HARD_LIMIT))
    clients = [create_connection((ADDRESS, platform.requests_port)) for _ in range(CALLS)]
    sleep(WITHOUT_DESCRIPTORS_S)
    assert node.alive
    for client in clients:
        client.close()
    prlimit(node.pid, RLIMIT_NOFILE, (HARD_LIMIT, HARD_LIMIT))
    platform.check_in()
    wait_until(lambda: platform.send_request("/safe/").status == 200, WITHIN_S, "a response")
    assert node.alive
    assert platform.readiness_status() == 200
    # The configuration is followed again too.
    platform.publish(make_config(2, make_route("/safe/"), make_route("/new/")))
    wait_until(lambda: platform.send_request("/new/").status == 200, WITHIN_S, "the new route")
