"""Requests of clients that have left: none is sent to an instance any more."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from time import sleep

from harness import Processes, wait_until
from platform_node import SERVICE, PlatformNode, make_route
from pytest import fixture

STARTED_WITHIN_S = 20.0
#: Time in which the nodes learn from each other that both instances serve.
KNOWN_WITHIN_S = 2.0
#: Rounds in which the request of the client that leaves waits, of at most `ROUNDS_MAX`.
ROUNDS = 3
ROUNDS_MAX = 10
#: Requests before each round, so that both nodes may send one once more.
REQUESTS_BEFORE = 25
#: Time for which the only slot of the second instance is taken.
BUSY_S = 1.5
LEAVE_S = 0.5
ONE_SLOT = {"service": SERVICE, "version": "v1", "zone": "z1", "capacity": 1}
#: Refused as not run by the first instance, accepted by the second.
SHED = "/unsafe/?spoil=refused&by=i-1"


@fixture
def nodes(tmp_path) -> Iterator[tuple[PlatformNode, PlatformNode]]:
    """Yield two nodes of one service; the instance of the second has one slot."""
    with Processes(tmp_path) as processes:
        entry = PlatformNode(processes, tmp_path)
        entry.serve(make_route("/unsafe/", "unsafe", timeout_ms=8000, priority=0))
        other = entry.add_node(SERVICE)
        other.start()
        other.wait_ready()
        yield entry, other


def check_in(entry: PlatformNode, other: PlatformNode) -> None:
    """Send a check-in of each instance."""
    assert entry.check_in().status == 200
    assert other.check_in(info=ONE_SLOT).status == 200


# A request that one instance had refused was run at another one although its client had left.
def test_request_that_was_refused_once_is_not_run_after_its_client_has_left(
    nodes: tuple[PlatformNode, PlatformNode],
) -> None:
    entry, other = nodes
    check_in(entry, other)
    sleep(KNOWN_WITHIN_S)
    waited = 0
    with ThreadPoolExecutor(1) as pool:
        for number in range(ROUNDS_MAX):
            check_in(entry, other)
            for node in (entry, other):
                for _ in range(REQUESTS_BEFORE):
                    node.send_request("/unsafe/", "POST", body=b"x")
            busy, left = f"busy-{number}", f"left-{number}"
            target = f"{SHED}&work_s={BUSY_S}"
            running = pool.submit(other.send_request, target, "POST", body=b"x", name=busy)
            wait_until(
                lambda name=busy: other.has_started(name), STARTED_WITHIN_S, "the busy request"
            )
            try:
                entry.send_request(SHED, "POST", body=b"x", name=left, within_s=LEAVE_S)
            except TimeoutError:
                waited += 1
            assert running.result().status == 200
            sleep(LEAVE_S)
            assert not other.has_started(left)
            if waited == ROUNDS:
                return
    raise AssertionError(f"{waited} of {ROUNDS} requests waited until their client left")
