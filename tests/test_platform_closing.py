"""Ends of connections on the users' platform: what was sent before the end reaches the client."""

from collections.abc import Iterator
from time import sleep

from harness import Processes, wait_until
from platform_node import PlatformNode, make_route
from pytest import fixture, mark, raises
from slow_reader import SlowReader

#: Fits into the buffers of a connection whose client does not read, but not into those of a client.
SENT_AT_ONCE_BYTES = 1_000_000
WORK_S = 0.5
STARTED_WITHIN_S = 60.0
ENDED_WITHIN_S = 10.0
#: Longer than it takes to send what the buffers of a connection hold.
SENT_AFTER_S = 0.4
#: Longer than the node keeps a connection after its last response.
CLOSED_AFTER_S = 2.5


@fixture
def platform(tmp_path) -> Iterator[PlatformNode]:
    """Yield the stand-ins of the platform with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path)


def request_unread(platform: PlatformNode, target: str, **headers: str) -> SlowReader:
    """Send a request and return its connection once the response was sent and is still unread."""
    reader = SlowReader(platform.requests_port)
    reader.request(target, "first", **headers)
    wait_until(lambda: platform.has_started("first"), STARTED_WITHIN_S, "the request to run")
    sleep(SENT_AFTER_S)
    return reader


# A close with unread bytes discarded what had been sent and was not delivered yet.
def test_bytes_behind_a_request_that_closes_the_connection_discard_no_response(
    platform: PlatformNode,
) -> None:
    platform.serve(make_route("/unsafe/", "unsafe"))
    reader = SlowReader(platform.requests_port)
    target = f"/unsafe/?work_s={WORK_S}&answer_bytes={SENT_AT_ONCE_BYTES}"
    reader.request(target, "first", connection="close")
    wait_until(lambda: platform.has_started("first"), STARTED_WITHIN_S, "the request to run")
    reader.request("/unsafe/", "second")
    sleep(WORK_S + SENT_AFTER_S)
    assert reader.read_body() == (SENT_AT_ONCE_BYTES, SENT_AT_ONCE_BYTES)
    assert not platform.has_started("second")


# A long response announced the close of its connection, so that requests that arrived while it was
# being sent got no answer, and reset the connection.
@mark.parametrize("kind", ["safe", "unsafe"])
def test_request_behind_a_long_response_in_a_planned_stop_is_answered(
    platform: PlatformNode, kind: str
) -> None:
    node = platform.serve(make_route("/x/", kind))
    node.terminate()
    wait_until(lambda: platform.readiness_status() == 503, 1.0, "the stop to begin")
    reader = request_unread(platform, f"/x/?answer_bytes={SENT_AT_ONCE_BYTES}")
    reader.request("/x/", "second")
    sleep(SENT_AFTER_S)
    assert reader.read_body() == (SENT_AT_ONCE_BYTES, SENT_AT_ONCE_BYTES)
    received, length = reader.read_body()
    assert received == length >= 0
    assert node.wait(ENDED_WITHIN_S) == 0


def test_client_that_does_not_close_keeps_its_connection_only_for_a_while(
    platform: PlatformNode,
) -> None:
    platform.serve(make_route("/unsafe/", "unsafe"))
    reader = request_unread(platform, "/unsafe/", connection="close")
    sleep(CLOSED_AFTER_S)
    with raises(OSError):
        for _ in range(2):
            reader.request("/unsafe/", "second")
            sleep(SENT_AFTER_S)


def test_client_that_does_not_close_does_not_hold_up_a_planned_stop(
    platform: PlatformNode,
) -> None:
    node = platform.serve(make_route("/unsafe/", "unsafe", timeout_ms=30_000))
    reader = SlowReader(platform.requests_port)
    reader.request("/unsafe/?work_s=8", "long")
    wait_until(lambda: platform.has_started("long"), STARTED_WITHIN_S, "the request to run")
    node.terminate()
    assert node.wait(ENDED_WITHIN_S) == 1
    assert reader.read_body() == (0, 0)
