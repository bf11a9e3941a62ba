"""The selector reports what the standard one reports, also for descriptors that are used again."""

from selectors import EVENT_READ, EVENT_WRITE
from socket import socketpair

from curio import run, spawn
from curio.socket import socketpair as curio_socketpair
from pytest import fixture, mark, raises

from pollenbay.selector import KeepingSelector, make_selector
from pollenbay.stream import receive


@fixture
def selector():
    """Return a selector that is closed in the end."""
    made = make_selector()
    yield made
    made.close()


@fixture
def ends():
    """Return two connected sockets."""
    near, far = socketpair()
    yield near, far
    near.close()
    far.close()


def reported(selector: KeepingSelector) -> list[tuple[object, int]]:
    """Return what is ready now."""
    return [(key.data, mask) for key, mask in selector.select(0)]


def test_readable_and_writable(selector, ends) -> None:
    near, far = ends
    selector.register(near, EVENT_READ, "near")
    assert reported(selector) == []
    far.send(b"x")
    assert reported(selector) == [("near", EVENT_READ)]
    selector.modify(near, EVENT_READ | EVENT_WRITE, "both")
    assert reported(selector) == [("both", EVENT_READ | EVENT_WRITE)]


def test_nothing_is_reported_of_what_nobody_waits_for(selector, ends) -> None:
    near, far = ends
    selector.register(near, EVENT_READ, "near")
    selector.unregister(near)
    far.send(b"x")
    assert reported(selector) == []
    selector.register(near, EVENT_READ, "again")
    assert reported(selector) == [("again", EVENT_READ)]


def test_what_came_while_nobody_waited_is_reported_later(selector, ends) -> None:
    near, far = ends
    selector.register(near, EVENT_READ, "near")
    selector.unregister(near)
    far.send(b"x")
    selector.register(near, EVENT_READ, "again")
    assert reported(selector) == [("again", EVENT_READ)]


def test_a_descriptor_that_stands_for_another_socket(selector) -> None:
    first, other = socketpair()
    selector.register(first, EVENT_READ, "first")
    selector.unregister(first)
    descriptor = first.fileno()
    first.close()
    second, far = socketpair()
    assert second.fileno() == descriptor
    selector.register(second, EVENT_READ, "second")
    far.send(b"x")
    assert reported(selector) == [("second", EVENT_READ)]
    for sock in (other, second, far):
        sock.close()


def test_closed_ends_are_reported(selector, ends) -> None:
    near, far = ends
    selector.register(near, EVENT_READ, "near")
    far.close()
    assert reported(selector) == [("near", EVENT_READ)]


def test_errors(selector, ends) -> None:
    near, _ = ends
    with raises(KeyError):
        selector.get_key(near)
    with raises(KeyError):
        selector.unregister(near)
    selector.register(near, EVENT_READ)
    with raises(KeyError):
        selector.register(near, EVENT_READ)


@mark.parametrize("rounds", [200])
def test_tasks_that_wait_for_two_connections_in_turn(rounds: int) -> None:
    async def relay(left, right) -> None:
        for _ in range(rounds):
            await right.sendall(await receive(left, 100))
            await left.sendall(await receive(right, 100))

    async def echo(sock) -> None:
        for _ in range(rounds):
            await sock.sendall(await receive(sock, 100))

    async def main() -> int:
        caller, left = curio_socketpair()
        right, target = curio_socketpair()
        tasks = [await spawn(relay, left, right), await spawn(echo, target)]
        answers = 0
        for number in range(rounds):
            await caller.sendall(b"%d" % number)
            answers += await receive(caller, 100) == b"%d" % number
        for task in tasks:
            await task.join()
        return answers

    assert run(main, selector=make_selector()) == rounds
