"""Watch over calls in progress: reports progress to peers, cancels calls that no caller awaits."""

from collections.abc import Awaitable
from operator import itemgetter
from select import poll
from typing import Generic, TypeVar

from curio import Task, TaskCancelled
from curio.io import Socket
from msgspec import Struct

from pollenbay.call import CallProgress
from pollenbay.ids import CallId
from pollenbay.link import Link
from pollenbay.outcome import NotRun, Outcome, Unknown
from pollenbay.states import Reason
from pollenbay.stream import CLOSED_EVENTS, peer_has_sent_or_closed
from pollenbay.timer import Timer

#: Period of the checks of connections: a disconnected caller is detected within this time at each
#: node of the path.
WATCH_PERIOD_S = 0.1
#: Polls between two progress messages on a link.
POLLS_PER_PROGRESS = 3
#: Polls between two checks of idle connections, which may outlive their limit by that time.
POLLS_PER_IDLE_CHECK = 5
#: Seconds without a byte after which a request that has begun may be given up for another one.
STALLED_S = 1.0
#: Seconds past its deadline after which a call that its sender should have cancelled has lost its
#: sender: several round trips between regions.
OVERDUE_S = 0.2


K = TypeVar("K")
V = TypeVar("V")


class ShutdownCancelled(TaskCancelled):
    """The node shuts down without waiting for the calls in progress."""


class WatchedCall(Struct):
    """A call in progress and the connection on which its response is awaited.

    :param link: set if another node awaits it and expects progress messages.
    """

    sock: Socket
    task: Task
    progress: CallProgress
    link: Link | None = None
    call_id: CallId | None = None


class RequestWait(Struct):
    """Wait of a connection for a complete request.

    :param ends_at: monotonic seconds at which the connection is closed.
    :param limit_at: latest value of `ends_at`, however much arrives.
    :param closable: whether the connection may be closed in favour of another one.
    :param received_at: monotonic seconds of the last bytes; None before the first.
    :param given_up: whether the connection is being closed. Its task may still read a request,
        which must not be passed on, since the cancellation arrives at its next wait.
    """

    sock: Socket
    ends_at: float
    limit_at: float
    closable: bool
    received_at: float | None = None
    given_up: bool = False


class ScopedEntry(Generic[K, V]):
    """Context manager that keeps an entry in a dictionary for the length of a block.

    Context managers made from generators cost more, on the path of every call.
    """

    __slots__ = ("_entries", "_key", "_value")

    def __init__(self, entries: dict[K, V], key: K, value: V) -> None:
        self._entries = entries
        self._key = key
        self._value = value

    def __enter__(self) -> V:
        self._entries[self._key] = self._value
        return self._value

    def __exit__(self, *_: object) -> None:
        self._entries.pop(self._key, None)


class Watch:
    """All calls in progress on this node, by the task that runs them."""

    def __init__(self) -> None:
        self._watched: dict[Task, WatchedCall] = {}
        self._idle: dict[Task, RequestWait] = {}
        self._cancelled = 0

    @property
    def in_progress(self) -> int:
        """Return the number of calls in progress."""
        return len(self._watched)

    @property
    def calls(self) -> list[WatchedCall]:
        """Return the calls in progress."""
        return list(self._watched.values())

    @property
    def left(self) -> int:
        """Return the number of calls cancelled because their caller had disconnected."""
        return self._cancelled

    def watching(self, watched: WatchedCall) -> ScopedEntry[Task, WatchedCall]:
        """Watch a call for the length of the block."""
        return ScopedEntry(self._watched, watched.task, watched)

    async def run_watched(self, watched: WatchedCall, work: Awaitable[Outcome]) -> Outcome:
        """Watch a call and return its outcome, even if the node cancels it on shutdown."""
        progress = watched.progress
        try:
            with self.watching(watched):
                return await work
        except ShutdownCancelled:
            # curio cancels a task once only, and the end of the process has to do it again.
            watched.task.cancelled = None
            if progress.sent or not progress.cancellable:
                return Unknown(Reason.CANCELLED)
            return NotRun(Reason.DRAINING)

    def watching_idle(
        self, task: Task, sock: Socket, ends_at: float, closable: bool = False
    ) -> ScopedEntry[Task, RequestWait]:
        """Register a connection as waiting for a request for the length of the block.

        The block gets the wait, whose `given_up` it checks once it has read a request.

        :param task: task that serves the connection; cancelled if the wait exceeds its limit.
        :param ends_at: monotonic seconds of that limit.
        :param closable: whether the connection may be closed earlier in favour of another one.
        """
        return ScopedEntry(self._idle, task, RequestWait(sock, ends_at, ends_at, closable))

    def record_bytes(self, task: Task, now: float, stall_s: float) -> None:
        """Record that bytes of an awaited request have arrived.

        :param now: monotonic seconds.
        :param stall_s: seconds without further bytes after which the connection is closed.
        """
        wait = self._idle.get(task)
        if wait is not None:
            wait.received_at = now
            wait.ends_at = min(now + stall_s, wait.limit_at)

    def record_calls_ended(self, task: Task, ends_at: float, closable: bool) -> None:
        """Record that a connection whose next request is awaited has no calls any more.

        :param ends_at: monotonic seconds of the limit of the wait from now on.
        :param closable: whether the connection may be closed earlier in favour of another one.
        """
        wait = self._idle.get(task)
        if wait is not None:
            wait.limit_at = ends_at
            wait.ends_at = min(wait.ends_at, ends_at)
            wait.closable = closable

    def record_pause(self, task: Task) -> None:
        """Record that this node does not read from a connection for now, so it has not stalled."""
        wait = self._idle.get(task)
        if wait is not None:
            wait.received_at = None
            wait.ends_at = wait.limit_at

    async def close_longest_idle(self) -> bool:
        """Close the connection that has sent nothing for longest while a request was awaited.

        :returns: whether there was one.
        """
        ends = [(wait.ends_at, task) for task, wait in self._idle.items() if wait.closable]
        return await self._close_first(ends)

    async def close_longest_stalled(self, now: float) -> bool:
        """Close the connection that has been stalled for longest in the middle of a request.

        :param now: monotonic seconds.
        :returns: whether there was one that has been stalled for `STALLED_S`.
        """
        stalled = [
            (wait.received_at, task)
            for task, wait in self._idle.items()
            if wait.closable
            and wait.received_at is not None
            and now - wait.received_at >= STALLED_S
        ]
        return await self._close_first(stalled)

    async def _close_first(self, times: list[tuple[float, Task]]) -> bool:
        """Close the connection with the earliest time of those without unread bytes."""
        for _, task in sorted(times, key=itemgetter(0)):
            if not peer_has_sent_or_closed(self._idle[task].sock):
                await self._give_up(task)
                return True
        return False

    async def _give_up(self, task: Task) -> None:
        self._idle.pop(task).given_up = True
        await task.cancel(blocking=False)

    async def cancel_all(self) -> None:
        """Cancel all calls in progress; `run_watched` returns an outcome for each."""
        for watched in self.calls:
            await watched.task.cancel(exc=ShutdownCancelled, blocking=False)

    async def run(self, timer: Timer) -> None:
        """Check all calls in progress once per period, until cancelled."""
        subscription = timer.subscribe(WATCH_PERIOD_S)
        polls = 0
        while True:
            await subscription.wait()
            await self._cancel_abandoned()
            await self._cancel_overdue(timer.now())
            polls += 1
            if polls % POLLS_PER_IDLE_CHECK == 0:
                await self._close_idle(timer.now())
            if polls % POLLS_PER_PROGRESS == 0:
                self._send_progress()

    async def _cancel_abandoned(self) -> None:
        poller = poll()
        by_descriptor: dict[int, list[WatchedCall]] = {}
        for watched in self._watched.values():
            descriptor = watched.sock.fileno()
            if descriptor < 0:
                continue
            by_descriptor.setdefault(descriptor, []).append(watched)
            poller.register(descriptor, CLOSED_EVENTS)
        for descriptor, _ in poller.poll(0):
            for watched in by_descriptor[descriptor]:
                if watched.progress.cancellable:
                    self._cancelled += 1
                    await watched.task.cancel(blocking=False)

    async def _cancel_overdue(self, now: float) -> None:
        # A call of a caller ends by the time limit of its own task, however late; to cancel it here
        # would end the caller's connection without an answer.
        for watched in self.calls:
            ends_at = watched.progress.sender_deadline
            if watched.link is not None and ends_at is not None and now > ends_at + OVERDUE_S:
                watched.progress.sender_deadline = None
                self._cancelled += 1
                await watched.task.cancel(blocking=False)

    async def _close_idle(self, now: float) -> None:
        for task, wait in list(self._idle.items()):
            begun = wait.received_at is not None
            if now > wait.ends_at and (begun or not peer_has_sent_or_closed(wait.sock)):
                await self._give_up(task)

    def _send_progress(self) -> None:
        for watched in self._watched.values():
            if watched.link is not None and watched.call_id is not None:
                watched.link.send_progress(watched.call_id)


def make_watch() -> Watch:
    """Return a watch without calls."""
    return Watch()
