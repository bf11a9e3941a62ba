"""A node on the users' platform stays within its memory."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from socket import create_connection
from time import sleep

from harness import ADDRESS, Processes, wait_until
from platform_node import HOST, PlatformNode, make_route
from pytest import fixture, mark
from test_hostile_clients import peak_memory_bytes

pytestmark = mark.alone

MEMORY_MB = 200
CLIENTS = 4
UPLOADS_PER_CLIENT = 30
BODY_BYTES = 6_000_000
#: Time after which a client leaves: its request has arrived, and its response has not.
LEAVES_AFTER_S = 0.05
SERVES_WITHIN_S = 10.0


@fixture
def platform(tmp_path: Path) -> Iterator[PlatformNode]:
    """Yield the stand-ins of the platform with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path, {"memory_mb": MEMORY_MB})


def leave_uploads(platform: PlatformNode) -> None:
    """Send requests one after another and leave each before its response."""
    head = (
        f"POST /safe/?work_s=1 HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {BODY_BYTES}\r\n"
        "x-pollenbay-request-id: 0123456789abcdef\r\n\r\n"
    ).encode("ascii")
    for _ in range(UPLOADS_PER_CLIENT):
        with create_connection((ADDRESS, platform.requests_port)) as client:
            # A node without room for the body refuses it and closes.
            with suppress(ConnectionError):
                client.sendall(head + bytes(BODY_BYTES))
            sleep(LEAVES_AFTER_S)


# The bodies of cancelled calls stayed until the cycle collector ran, so that a node outgrew its
# memory and was killed with all its requests.
def test_node_keeps_no_bodies_of_clients_that_left(platform: PlatformNode) -> None:
    node = platform.serve(make_route("/safe/"))
    with ThreadPoolExecutor(CLIENTS) as pool:
        for client in [pool.submit(leave_uploads, platform) for _ in range(CLIENTS)]:
            client.result()
    assert platform.check_in().status == 200
    wait_until(
        lambda: platform.send_request("/safe/").status == 200,
        SERVES_WITHIN_S,
        "a successful response",
    )
    assert peak_memory_bytes(node) < MEMORY_MB * 1e6
