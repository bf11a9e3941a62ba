"""Tests that the watch cancels overdue calls of a lost sender and connections idle for too long."""

from collections.abc import Awaitable, Callable

from curio import CancelledError, Task, run, sleep, spawn
from curio.socket import socketpair

from pollenbay.call import CallProgress
from pollenbay.link import Link
from pollenbay.timer import Timer, make_timer
from pollenbay.watch import (
    OVERDUE_S,
    POLLS_PER_IDLE_CHECK,
    WATCH_PERIOD_S,
    Watch,
    WatchedCall,
    make_watch,
)

#: Several watch periods, since an iteration may be late on a busy machine.
WATCH_MARGIN_S = 5 * WATCH_PERIOD_S
LONG_S = 60.0


async def run_with_watch(scenario: Callable[[Watch, Timer], Awaitable[None]]) -> None:
    """Run a scenario with a running watch."""
    timer, watch = make_timer(), make_watch()
    running = [await spawn(timer.run), await spawn(watch.run, timer)]
    try:
        await scenario(watch, timer)
    finally:
        for task in running:
            await task.cancel()


async def sleep_long() -> None:
    """Simulate a call in progress or an idle connection."""
    await sleep(LONG_S)


async def was_cancelled(task: Task) -> bool:
    """Return whether a task was cancelled; cancel it if it still runs."""
    cancelled = task.terminated and isinstance(task.exception, CancelledError)
    await task.cancel()
    return cancelled


async def ended_within(
    watch: Watch, ends_at: float | None, wait_s: float, from_node: bool = True
) -> bool:
    """Return whether a call that its caller cannot cancel is ended within `wait_s`.

    :param from_node: whether another node awaits the call, or else a caller of this one.
    """
    near, far = socketpair()
    task = await spawn(sleep_long)
    progress = CallProgress(cancellable=False, sent=True, sender_deadline=ends_at)
    link = Link(near) if from_node else None
    async with near, far:
        with watch.watching(WatchedCall(near, task, progress, link)):
            await sleep(wait_s)
            return await was_cancelled(task)


class TestOverdue:
    """Calls that the sending node should have ended."""

    def test_call_is_ended_soon_after_its_deadline(self) -> None:
        async def scenario(watch: Watch, timer: Timer) -> None:
            assert await ended_within(watch, timer.now(), OVERDUE_S + WATCH_MARGIN_S)
            assert watch.left == 1

        run(run_with_watch, scenario)

    def test_call_is_not_ended_before_its_deadline(self) -> None:
        async def scenario(watch: Watch, timer: Timer) -> None:
            assert not await ended_within(watch, timer.now() + LONG_S, OVERDUE_S + WATCH_MARGIN_S)

        run(run_with_watch, scenario)

    def test_call_without_a_watched_deadline_is_not_ended(self) -> None:
        async def scenario(watch: Watch, timer: Timer) -> None:
            assert not await ended_within(watch, None, OVERDUE_S + WATCH_MARGIN_S)

        run(run_with_watch, scenario)

    # A node whose event loop was late closed connections of callers without an answer.
    def test_call_of_a_caller_is_left_to_its_own_time_limit(self) -> None:
        async def scenario(watch: Watch, timer: Timer) -> None:
            wait_s = OVERDUE_S + WATCH_MARGIN_S
            assert not await ended_within(watch, timer.now(), wait_s, from_node=False)

        run(run_with_watch, scenario)


class TestIdle:
    """Connections without a request in progress."""

    def test_idle_connection_is_ended_after_its_time_limit(self) -> None:
        async def scenario(watch: Watch, timer: Timer) -> None:
            task = await spawn(sleep_long)
            ours, theirs = socketpair()
            async with ours, theirs:
                with watch.watching_idle(task, ours, timer.now()) as wait:
                    await sleep(POLLS_PER_IDLE_CHECK * WATCH_PERIOD_S + WATCH_MARGIN_S)
                    assert wait.given_up
                    assert await was_cancelled(task)

        run(run_with_watch, scenario)

    # A request that arrived at the end of the idle time was passed on without an answer.
    def test_connection_with_unread_bytes_is_not_ended_as_idle(self) -> None:
        async def scenario(watch: Watch, timer: Timer) -> None:
            task = await spawn(sleep_long)
            ours, theirs = socketpair()
            async with ours, theirs:
                await theirs.sendall(b"x")
                with watch.watching_idle(task, ours, timer.now()):
                    await sleep(POLLS_PER_IDLE_CHECK * WATCH_PERIOD_S + WATCH_MARGIN_S)
                    assert not await was_cancelled(task)

        run(run_with_watch, scenario)

    def test_connection_with_a_received_request_is_not_ended(self) -> None:
        async def scenario(watch: Watch, timer: Timer) -> None:
            task = await spawn(sleep_long)
            ours, theirs = socketpair()
            async with ours, theirs:
                with watch.watching_idle(task, ours, timer.now()):
                    pass
                await sleep(POLLS_PER_IDLE_CHECK * WATCH_PERIOD_S + WATCH_MARGIN_S)
                assert not await was_cancelled(task)

        run(run_with_watch, scenario)
