"""Responses that are still being sent when a planned stop begins, on the users' platform."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from time import sleep

from harness import Processes, wait_until
from platform_node import PlatformNode, make_route
from pytest import fixture, mark
from slow_reader import SlowReader

pytestmark = mark.alone

#: Longer than any machine takes.
STARTED_WITHIN_S = 60.0
#: Far beyond the grace period, and less than the 20 s after which another node closes an idle link.
ENDED_WITHIN_S = 10.0
#: Grace period of a node whose responses are read slowly.
GRACE_S = 6.0
#: Seconds after the stop signal at which they are read: new work is refused, calls may still run.
READ_AFTER_S = 3.5
#: More than the buffers of a connection hold, and less than a node accepts.
LARGE_BYTES = 8_000_000


@fixture
def platform(tmp_path) -> Iterator[PlatformNode]:
    """Yield the stand-ins of the platform with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path)


@fixture
def patient(tmp_path) -> Iterator[PlatformNode]:
    """Yield the same with a longer grace period."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path, grace_s=GRACE_S)


# A planned stop waited for calls, not for responses that were being written.
def test_long_response_that_is_read_slowly_is_complete_in_a_planned_stop(
    patient: PlatformNode,
) -> None:
    node = patient.serve(make_route("/safe/", timeout_ms=30_000))
    readers = [SlowReader(patient.requests_port) for _ in range(3)]
    for number, reader in enumerate(readers):
        reader.request(f"/safe/?answer_bytes={LARGE_BYTES}", f"large-{number}")
        wait_until(partial(patient.has_started, f"large-{number}"), STARTED_WITHIN_S)
    sleep(0.3)
    node.terminate()
    sleep(READ_AFTER_S)
    assert [reader.read_body() for reader in readers] == [(LARGE_BYTES, LARGE_BYTES)] * 3
    assert node.wait(ENDED_WITHIN_S) == 0


# So it was for the reply to another node.
def test_long_reply_to_another_node_is_complete_in_a_planned_stop(patient: PlatformNode) -> None:
    entry = patient.add_node("other")
    node = patient.serve(make_route("/unsafe/", "unsafe", timeout_ms=30_000))
    entry_process = entry.start()

    def is_answered() -> bool:
        return entry.send_request("/unsafe/", "POST", body=b"x").status == 200

    wait_until(is_answered, STARTED_WITHIN_S, "the entry to serve")
    with ThreadPoolExecutor(1) as pool:
        target = f"/unsafe/?work_s=1&answer_bytes={LARGE_BYTES}"
        answer = pool.submit(entry.send_request, target, "POST", body=b"x", name="long")
        wait_until(lambda: patient.has_started("long"), STARTED_WITHIN_S, "the request to run")
        entry_process.pause()
        sleep(1.0)
        node.terminate()
        sleep(READ_AFTER_S)
        entry_process.resume()
        response = answer.result()
    assert (response.status, len(response.body)) == (200, LARGE_BYTES)
    assert node.wait(ENDED_WITHIN_S) == 0


def test_response_that_nobody_reads_does_not_hold_up_a_planned_stop(
    platform: PlatformNode,
) -> None:
    node = platform.serve(make_route("/safe/", timeout_ms=30_000))
    reader = SlowReader(platform.requests_port)
    reader.request(f"/safe/?answer_bytes={LARGE_BYTES}", "large")
    wait_until(lambda: platform.has_started("large"), STARTED_WITHIN_S, "the request to run")
    sleep(0.3)
    node.terminate()
    assert node.wait(ENDED_WITHIN_S) == 1
    lines = {line["message"]: line for line in node.log_lines()}
    assert lines["responses not sent"]["open_exchanges"] == 1
    received, length = reader.read_body()
    assert 0 < received < length
