"""Connections of clients at their limit on the users' platform: which is closed, and when."""

from collections import deque
from collections.abc import Iterator
from contextlib import suppress
from functools import partial
from http.client import HTTPConnection, HTTPException
from random import Random

from harness import ADDRESS, Processes
from platform_node import HOST, PlatformNode, make_route
from pytest import fixture

CONNECTIONS_MAX = 50
ROUNDS = 40
#: Requests of a round on the connections that are closed next, beside as many new connections.
CROSSINGS = 10
WITHIN_S = 10.0


@fixture
def platform(tmp_path) -> Iterator[PlatformNode]:
    """Yield a node with few connections, which serves a safe and an unsafe route."""
    with Processes(tmp_path) as processes:
        platform = PlatformNode(processes, tmp_path, {"caller_connections": CONNECTIONS_MAX})
        platform.serve(make_route("/safe/"), make_route("/unsafe/", "unsafe"))
        yield platform


def connect(platform: PlatformNode) -> HTTPConnection:
    """Open a connection of a client."""
    connection = HTTPConnection(ADDRESS, platform.requests_port, timeout=WITHIN_S)
    connection.connect()
    return connection


def request(connection: HTTPConnection, method: str, target: str, name: str) -> None:
    """Send a request without waiting for its response."""
    headers = {"host": HOST, "x-pollenbay-request-id": name}
    # The node may have closed the connection already.
    with suppress(OSError):
        connection.request(method, target, b"x" if method == "POST" else None, headers)


def is_answered(connection: HTTPConnection) -> bool:
    """Read a response and return whether there is one before the connection closes."""
    try:
        connection.getresponse().read()
    except (OSError, HTTPException):
        return False
    return True


# A node at its limit closed connections whose request it had just passed on.
def test_request_that_crosses_the_close_of_its_connection_is_answered_or_not_run(
    platform: PlatformNode,
) -> None:
    random = Random(1)
    kept = deque(connect(platform) for _ in range(CONNECTIONS_MAX))
    answered, unanswered = 0, set()
    for number in range(ROUNDS):
        crossing = {f"{number}-{each}": kept.popleft() for each in range(CROSSINGS)}
        steps = [
            partial(request, kept_one, "POST", "/unsafe/", name)
            for name, kept_one in crossing.items()
        ]
        steps += [lambda: kept.append(connect(platform))] * CROSSINGS
        random.shuffle(steps)
        for step in steps:
            step()
        for name, kept_one in crossing.items():
            if is_answered(kept_one):
                answered += 1
            else:
                unanswered.add(name)
            kept_one.close()
    for kept_one in kept:
        kept_one.close()
    assert answered and unanswered
    assert not unanswered & {run["name"] for run in platform.runs()}


# Connections that had carried a safe request counted as busy for 135 s more.
def test_connection_whose_calls_have_ended_makes_room_for_a_new_one(
    platform: PlatformNode,
) -> None:
    kept = [connect(platform) for _ in range(CONNECTIONS_MAX)]
    for number, kept_one in enumerate(kept):
        request(kept_one, "GET", "/safe/", f"kept-{number}")
        assert is_answered(kept_one)
    for number in range(CROSSINGS):
        opened = connect(platform)
        request(opened, "GET", "/safe/", f"new-{number}")
        assert is_answered(opened)
        kept.append(opened)
    for number, kept_one in enumerate(kept):
        request(kept_one, "GET", "/safe/", f"again-{number}")
        assert is_answered(kept_one) == (number >= CROSSINGS)
        kept_one.close()
