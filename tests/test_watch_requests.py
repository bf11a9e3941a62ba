"""Connections that wait for a request: which are closed in favour of others."""

from collections.abc import Awaitable, Callable

from curio import Event, Task, current_task, run, sleep, spawn
from curio.socket import socketpair

from pollenbay.watch import STALLED_S, Watch, make_watch

NOW = 100.0
STALL_S = 15.0


async def wait_for_request(
    watch: Watch, started: Event, limit_s: float, closable: bool, received: bytes
) -> None:
    """Wait for a request until cancelled."""
    ours, theirs = socketpair()
    async with ours, theirs:
        await theirs.sendall(received)
        with watch.watching_idle(await current_task(), ours, NOW + limit_s, closable):
            await started.set()
            await Event().wait()


async def start(
    watch: Watch, limit_s: float = 75.0, closable: bool = True, received: bytes = b""
) -> Task:
    """Start a connection that waits for a request and has not read what it received."""
    started = Event()
    task = await spawn(wait_for_request, watch, started, limit_s, closable, received, daemon=True)
    await started.wait()
    return task


def check(test: Callable[[Watch], Awaitable[None]]) -> None:
    """Run a test with a watch."""
    run(test, make_watch())


def test_connection_that_is_idle_for_longest_is_closed_first() -> None:
    async def test(watch: Watch) -> None:
        newer, older = await start(watch, 75.0), await start(watch, 70.0)
        assert await watch.close_longest_idle()
        assert await watch.close_longest_idle()
        assert not await watch.close_longest_idle()
        for task in (older, newer):
            await task.wait()
            assert task.cancelled

    check(test)


def test_connection_that_has_sent_is_not_idle() -> None:
    async def test(watch: Watch) -> None:
        sent, idle = await start(watch, 70.0, received=b"x"), await start(watch, 75.0)
        assert await watch.close_longest_idle()
        assert not await watch.close_longest_idle()
        await idle.wait()
        assert not sent.terminated

    check(test)


# The cancellation of a task that is about to run arrives after it has passed its request on.
def test_task_that_reads_a_request_while_its_connection_is_closed_can_tell() -> None:
    async def test(watch: Watch) -> None:
        received = Event()

        async def read() -> bool:
            ours, theirs = socketpair()
            async with ours, theirs:
                with watch.watching_idle(await current_task(), ours, NOW, True) as wait:
                    await received.wait()
                return wait.given_up

        task = await spawn(read)
        await sleep(0)
        await received.set()
        assert await watch.close_longest_idle()
        assert await task.join()

    check(test)


def test_connection_with_calls_or_of_another_port_is_never_closed() -> None:
    async def test(watch: Watch) -> None:
        task = await start(watch, closable=False)
        watch.record_bytes(task, NOW - 2 * STALLED_S, STALL_S)
        assert not await watch.close_longest_idle()
        assert not await watch.close_longest_stalled(NOW)

    check(test)


def test_only_a_request_that_has_begun_and_stalled_makes_room() -> None:
    async def test(watch: Watch) -> None:
        await start(watch)
        moving, stalled = await start(watch), await start(watch)
        watch.record_bytes(moving, NOW, STALL_S)
        watch.record_bytes(stalled, NOW - 2 * STALLED_S, STALL_S)
        assert await watch.close_longest_stalled(NOW)
        assert not await watch.close_longest_stalled(NOW)
        await stalled.wait()
        assert stalled.cancelled and not moving.terminated

    check(test)


def test_request_that_this_node_does_not_read_has_not_stalled() -> None:
    async def test(watch: Watch) -> None:
        task = await start(watch)
        watch.record_bytes(task, NOW - 2 * STALLED_S, STALL_S)
        watch.record_pause(task)
        assert not await watch.close_longest_stalled(NOW)

    check(test)
