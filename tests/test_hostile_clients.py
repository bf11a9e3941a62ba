"""Clients that a node does not control: it lives, stays within its memory and serves the others.

The bounds are those of the users' machines; the crowds are small. Nothing here depends on the speed
of the machine.
"""

from collections.abc import Iterator
from pathlib import Path
from socket import create_connection

from crowd import BODY_BYTES, Crowd, Shape
from harness import ADDRESS, Process, Processes, send, wait_until
from platform_node import HOST, SERVICE, PlatformNode, make_route
from pytest import fixture, mark

pytestmark = mark.alone

MEMORY_BOUND_BYTES = 256_000_000
CLIENTS = 60
#: Slots of the instance for all of them at once.
MANY_SLOTS = {"service": SERVICE, "version": "v1", "zone": "z1", "capacity": 2 * CLIENTS}
#: Low, so that a small crowd exceeds it.
CONNECTIONS_MAX = 50
#: So little that a crowd with short bodies fills the part that is kept for them.
LOW_MEMORY_MB = 64
SMALL_BODY_BYTES = 60_000
#: Descriptors that a node needs without clients.
OWN_DESCRIPTORS = 60
#: Longer than any machine takes.
ANSWER_WITHIN_S = 60.0
ROUTE_TIMEOUT_MS = 30_000
#: Long answers that find no memory are given up by then.
LONG_ANSWER_TIMEOUT_MS = 5000
#: Well above what is passed on at once elsewhere, and within the limits that clients keep to.
LARGE_BODY_BYTES = 60_000_000


@fixture
def platform(tmp_path) -> Iterator[PlatformNode]:
    """Yield the stand-ins of the platform with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path)


def serve(platform: PlatformNode) -> Process:
    """Start the node with a safe and an unsafe route that wait for long."""
    return platform.serve(
        make_route("/safe/", timeout_ms=ROUTE_TIMEOUT_MS),
        make_route("/unsafe/", "unsafe", timeout_ms=ROUTE_TIMEOUT_MS),
        make_route("/long/", timeout_ms=LONG_ANSWER_TIMEOUT_MS),
    )


def check_ordinary_requests(platform: PlatformNode, name: str) -> None:
    """Check that requests with a short body and without one are answered."""
    for path, method, body in (("/safe/", "GET", None), ("/unsafe/", "POST", b"x" * 4000)):
        wait_until(
            lambda path=path, method=method, body=body: is_answered(
                platform, path, method, body, name
            ),
            ANSWER_WITHIN_S,
            f"an ordinary {method} to be answered",
        )


def is_answered(
    platform: PlatformNode, path: str, method: str, body: bytes | None, name: str
) -> bool:
    """Send a request beside a check-in of the instance and return whether it is answered."""
    platform.check_in()
    response = platform.send_request(path, method, body=body, name=name, within_s=ANSWER_WITHIN_S)
    return response.status == 200


def peak_memory_bytes(process: Process) -> int:
    """Return the largest resident size that a process has had."""
    status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def open_descriptors(process: Process) -> int:
    """Return the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


@mark.parametrize("shape", Shape)
def test_crowd_of_large_bodies_leaves_the_node_serving_within_its_memory(
    platform: PlatformNode, shape: Shape
) -> None:
    node = serve(platform)
    with Crowd(platform.requests_port, "/unsafe/", shape, CLIENTS) as crowd:
        crowd.send()
        assert node.alive
        check_ordinary_requests(platform, "beside-the-crowd")
        assert open_descriptors(node) <= CLIENTS + OWN_DESCRIPTORS
    check_ordinary_requests(platform, "after-the-crowd")
    assert node.alive
    assert peak_memory_bytes(node) <= MEMORY_BOUND_BYTES


def test_stalled_requests_make_room_for_the_body_of_an_ordinary_one(tmp_path) -> None:
    limits = {"memory_mb": LOW_MEMORY_MB, "caller_stall_s": 1000.0}
    with Processes(tmp_path) as processes:
        platform = PlatformNode(processes, tmp_path, limits)
        serve(platform)
        clients = 2 * CLIENTS
        with Crowd(
            platform.requests_port,
            "/unsafe/",
            Shape.PIECEWISE,
            clients,
            SMALL_BODY_BYTES,
            complete_every=clients + 1,
        ) as crowd:
            crowd.send()
            wait_until(
                lambda: is_answered(platform, "/unsafe/", "POST", b"x" * SMALL_BODY_BYTES, "x"),
                ANSWER_WITHIN_S,
                "an ordinary request with a body to be answered",
            )


def test_crowd_of_connections_leaves_the_node_serving_within_its_descriptors(tmp_path) -> None:
    with Processes(tmp_path) as processes:
        platform = PlatformNode(processes, tmp_path, {"caller_connections": CONNECTIONS_MAX})
        node = serve(platform)
        with Crowd(
            platform.requests_port, "/unsafe/", Shape.HEAD_ONLY, 3 * CONNECTIONS_MAX
        ) as crowd:
            crowd.send()
            check_ordinary_requests(platform, "beside-the-crowd")
            assert open_descriptors(node) <= CONNECTIONS_MAX + OWN_DESCRIPTORS
        check_ordinary_requests(platform, "after-the-crowd")
        assert node.alive


def test_large_body_within_the_limits_is_served_in_calm(platform: PlatformNode) -> None:
    node = serve(platform)
    body = b"x" * LARGE_BODY_BYTES
    response = platform.send_request(
        "/unsafe/", "POST", body=body, name="large", within_s=ANSWER_WITHIN_S
    )
    assert response.status == 200
    assert peak_memory_bytes(node) <= MEMORY_BOUND_BYTES


def test_large_body_within_the_limits_passes_two_nodes_in_calm(tmp_path) -> None:
    with Processes(tmp_path) as processes:
        platform = PlatformNode(processes, tmp_path)
        node = serve(platform)
        entry = platform.add_node("other")
        entry_process = entry.start()
        port = entry.requests_port
        wait_until(lambda: post(platform, port, b"x") == 200, ANSWER_WITHIN_S, "the entry to serve")
        assert post(platform, port, b"x" * LARGE_BODY_BYTES) == 200
        for process in (node, entry_process):
            assert peak_memory_bytes(process) <= MEMORY_BOUND_BYTES


def post(platform: PlatformNode, port: int, body: bytes) -> int:
    """Send a request at a port beside a check-in of the instance and return its status."""
    platform.check_in()
    headers = {"host": HOST, "x-pollenbay-request-id": "entry"}
    return send(port, "/unsafe/", "POST", body, headers, ANSWER_WITHIN_S).status


def test_body_of_a_crowd_is_served_in_calm(platform: PlatformNode) -> None:
    serve(platform)
    body = b"x" * BODY_BYTES
    response = platform.send_request(
        "/unsafe/", "POST", body=body, name="legal", within_s=ANSWER_WITHIN_S
    )
    assert response.status == 200


def test_clients_that_do_not_read_long_answers_leave_the_node_serving_within_its_memory(
    platform: PlatformNode,
) -> None:
    node = serve(platform)
    platform.check_in(info=MANY_SLOTS)
    head = f"GET /long/?answer_bytes={BODY_BYTES} HTTP/1.1\r\nhost: {HOST}\r\n"
    clients = [create_connection((ADDRESS, platform.requests_port)) for _ in range(CLIENTS)]
    try:
        for number, client in enumerate(clients):
            client.sendall(f"{head}x-pollenbay-request-id: unread-{number}\r\n\r\n".encode())
        wait_until(
            lambda: platform.has_started(f"unread-{CLIENTS - 1}"),
            ANSWER_WITHIN_S,
            "the last request to run",
        )
        check_ordinary_requests(platform, "beside-the-crowd")
        assert open_descriptors(node) <= 2 * CLIENTS + OWN_DESCRIPTORS
    finally:
        for client in clients:
            client.close()
    check_ordinary_requests(platform, "after-the-crowd")
    assert node.alive
    assert peak_memory_bytes(node) <= MEMORY_BOUND_BYTES
