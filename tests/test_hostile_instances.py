"""Instances that break off or never end their answers."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from harness import Processes
from platform_node import PlatformNode, make_route
from pytest import fixture, mark
from test_hostile_clients import (
    ANSWER_WITHIN_S,
    MEMORY_BOUND_BYTES,
    check_ordinary_requests,
    peak_memory_bytes,
)

pytestmark = mark.alone

#: Requests at once, and slots of the instance, so that all of them run.
REQUESTS = 60
CAPACITY = {"service": "stock", "version": "v1", "zone": "z1", "capacity": 2 * REQUESTS}
ENDLESS = ["endless-head", "endless-body", "endless-chunks", "endless-small-chunks"]
#: Head of the answer of the stand-in, up to its length.
HEAD_BYTES = 110


@fixture
def platform(tmp_path) -> Iterator[PlatformNode]:
    """Yield the stand-ins of the platform with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path)


@mark.parametrize("fault", ENDLESS)
def test_answers_without_end_leave_the_node_serving_within_its_memory(
    platform: PlatformNode, fault: str
) -> None:
    node = platform.serve(
        make_route("/safe/", timeout_ms=30_000),
        make_route("/unsafe/", "unsafe", timeout_ms=30_000),
        make_route("/endless/", "unsafe", timeout_ms=5000),
    )
    platform.check_in(info=CAPACITY)
    with ThreadPoolExecutor(REQUESTS) as pool:
        answers = [
            pool.submit(
                platform.send_request,
                f"/endless/?spoil={fault}",
                "POST",
                body=b"x",
                name=f"endless-{number}",
                within_s=ANSWER_WITHIN_S,
            )
            for number in range(REQUESTS)
        ]
        check_ordinary_requests(platform, "beside")
        statuses = {answer.result().status for answer in answers}
    assert statuses <= {502, 503, 504}
    check_ordinary_requests(platform, "after")
    assert node.alive
    assert peak_memory_bytes(node) <= MEMORY_BOUND_BYTES


def test_answer_cut_in_its_head_is_never_passed_on_as_a_success(platform: PlatformNode) -> None:
    platform.serve(make_route("/unsafe/", "unsafe"))
    for body in (b"x", b"x" * 200_000):
        for cut in range(HEAD_BYTES):
            platform.check_in()
            response = platform.send_request(
                f"/unsafe/?spoil=cut-head&cut={cut}", "POST", body=body, name=f"c{cut}"
            )
            assert response.status == 502, (cut, len(body))
            assert "x-pollenbay-server-signature" not in response.headers
