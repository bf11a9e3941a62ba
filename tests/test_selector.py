"""Tests that the selector reports the same events as the standard one.

The selector keeps descriptors registered with the system between waits, even if no task waits for
them. It must not report events that no task waits for, nor attribute the events of a reused
descriptor number to the closed socket.
"""

from selectors import EVENT_READ, EVENT_WRITE
from socket import socketpair

from curio import run, spawn
from curio.socket import socketpair as curio_socketpair
from pytest import fixture, mark, raises

from pollenbay.selector import PersistentSelector, make_selector
from pollenbay.stream import receive


@fixture
def selector():
    """Yield a selector and close it after the test."""
    made = make_selector()
    yield made
    made.close()


@fixture
def connected_sockets():
    """Yield two connected sockets."""
    near, far = socketpair()
    yield near, far
    near.close()
    far.close()


def ready_events(selector: PersistentSelector) -> list[tuple[object, int]]:
    """Return the data and events of the descriptors that are ready."""
    return [(key.data, mask) for key, mask in selector.select(0)]


def test_readable_and_writable_events_are_reported(selector, connected_sockets) -> None:
    near, far = connected_sockets
    selector.register(near, EVENT_READ, "near")
    assert ready_events(selector) == []
    far.send(b"x")
    assert ready_events(selector) == [("near", EVENT_READ)]
    selector.modify(near, EVENT_READ | EVENT_WRITE, "both")
    assert ready_events(selector) == [("both", EVENT_READ | EVENT_WRITE)]


def test_events_of_an_unregistered_descriptor_are_not_reported(selector, connected_sockets) -> None:
    near, far = connected_sockets
    selector.register(near, EVENT_READ, "near")
    selector.unregister(near)
    far.send(b"x")
    assert ready_events(selector) == []
    selector.register(near, EVENT_READ, "again")
    assert ready_events(selector) == [("again", EVENT_READ)]


def test_event_between_two_registrations_is_reported_by_the_second(
    selector, connected_sockets
) -> None:
    near, far = connected_sockets
    selector.register(near, EVENT_READ, "near")
    selector.unregister(near)
    far.send(b"x")
    selector.register(near, EVENT_READ, "again")
    assert ready_events(selector) == [("again", EVENT_READ)]


def test_reused_descriptor_number_reports_the_new_socket(selector) -> None:
    first, other = socketpair()
    selector.register(first, EVENT_READ, "first")
    selector.unregister(first)
    descriptor = first.fileno()
    first.close()
    second, far = socketpair()
    assert second.fileno() == descriptor
    selector.register(second, EVENT_READ, "second")
    far.send(b"x")
    assert ready_events(selector) == [("second", EVENT_READ)]
    for sock in (other, second, far):
        sock.close()


def test_close_of_the_remote_end_is_reported(selector, connected_sockets) -> None:
    near, far = connected_sockets
    selector.register(near, EVENT_READ, "near")
    far.close()
    assert ready_events(selector) == [("near", EVENT_READ)]


def test_unknown_or_repeated_registration_raises_key_error(selector, connected_sockets) -> None:
    near, _ = connected_sockets
    with raises(KeyError):
        selector.get_key(near)
    with raises(KeyError):
        selector.unregister(near)
    selector.register(near, EVENT_READ)
    with raises(KeyError):
        selector.register(near, EVENT_READ)


@mark.parametrize("round_trips", [200])
def test_task_that_alternates_between_two_connections_misses_no_event(round_trips: int) -> None:
    async def relay(left, right) -> None:
        for _ in range(round_trips):
            await right.sendall(await receive(left, 100))
            await left.sendall(await receive(right, 100))

    async def echo(sock) -> None:
        for _ in range(round_trips):
            await sock.sendall(await receive(sock, 100))

    async def main() -> int:
        caller, left = curio_socketpair()
        right, target = curio_socketpair()
        tasks = [await spawn(relay, left, right), await spawn(echo, target)]
        responses = 0
        for number in range(round_trips):
            await caller.sendall(b"%d" % number)
            responses += await receive(caller, 100) == b"%d" % number
        for task in tasks:
            await task.join()
        return responses

    assert run(main, selector=make_selector()) == round_trips
