"""The watch ends calls whose sender was lost and connections that wait too long."""

from collections.abc import Awaitable, Callable

from curio import CancelledError, Task, run, sleep, spawn
from curio.socket import socketpair

from pollenbay.call import Passage
from pollenbay.timer import Timer, make_timer
from pollenbay.watch import (
    OVERDUE_S,
    ROUNDS_PER_IDLE_LOOK,
    WATCH_PERIOD_S,
    Watch,
    Watched,
    make_watch,
)

#: Some rounds, since a round may be late on a busy machine.
ROUNDS_S = 5 * WATCH_PERIOD_S
LONG_S = 60.0


async def watched(scene: Callable[[Watch, Timer], Awaitable[None]]) -> None:
    """Play a scene beside a running watch."""
    timer, watch = make_timer(), make_watch()
    running = [await spawn(timer.run), await spawn(watch.run, timer)]
    try:
        await scene(watch, timer)
    finally:
        for task in running:
            await task.cancel()


async def wait_long() -> None:
    """Stand for a call in progress or a connection that waits."""
    await sleep(LONG_S)


async def was_cancelled(task: Task) -> bool:
    """Tell whether a task was ended, and end it."""
    ended = task.terminated and isinstance(task.exception, CancelledError)
    await task.cancel()
    return ended


async def ended_within(watch: Watch, ends_at: float | None, wait_s: float) -> bool:
    """Tell whether a call that cannot be given up for its caller is ended in time."""
    near, far = socketpair()
    task = await spawn(wait_long)
    passage = Passage(cancellable=False, sent=True, ends_at=ends_at)
    async with near, far:
        with watch.over(Watched(near, task, passage)):
            await sleep(wait_s)
            return await was_cancelled(task)


class TestOverdue:
    """Calls that the node which sent them should have ended."""

    def test_ended_soon_after_the_deadline(self) -> None:
        async def scene(watch: Watch, timer: Timer) -> None:
            assert await ended_within(watch, timer.now(), OVERDUE_S + ROUNDS_S)
            assert watch.left == 1

        run(watched, scene)

    def test_left_alone_before_it(self) -> None:
        async def scene(watch: Watch, timer: Timer) -> None:
            assert not await ended_within(watch, timer.now() + LONG_S, OVERDUE_S + ROUNDS_S)

        run(watched, scene)

    def test_left_alone_if_this_node_ends_them(self) -> None:
        async def scene(watch: Watch, timer: Timer) -> None:
            assert not await ended_within(watch, None, OVERDUE_S + ROUNDS_S)

        run(watched, scene)


class TestIdle:
    """Connections that wait for a request."""

    def test_ended_after_their_time(self) -> None:
        async def scene(watch: Watch, timer: Timer) -> None:
            task = await spawn(wait_long)
            with watch.idle(task, timer.now()):
                await sleep(ROUNDS_PER_IDLE_LOOK * WATCH_PERIOD_S + ROUNDS_S)
                assert await was_cancelled(task)

        run(watched, scene)

    def test_not_once_a_request_has_come(self) -> None:
        async def scene(watch: Watch, timer: Timer) -> None:
            task = await spawn(wait_long)
            with watch.idle(task, timer.now()):
                pass
            await sleep(ROUNDS_PER_IDLE_LOOK * WATCH_PERIOD_S + ROUNDS_S)
            assert not await was_cancelled(task)

        run(watched, scene)
