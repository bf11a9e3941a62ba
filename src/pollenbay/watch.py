"""Watches over calls that take long: tells peers that they go on, and ends what nobody awaits."""

from collections.abc import Awaitable
from select import poll
from typing import Generic, TypeVar

from curio import Task, TaskCancelled
from curio.io import Socket
from msgspec import Struct

from pollenbay.call import Passage
from pollenbay.ids import CallId
from pollenbay.link import Link
from pollenbay.outcome import NotRun, Outcome, Unknown
from pollenbay.states import Reason
from pollenbay.stream import CLOSED_EVENTS
from pollenbay.timer import Timer

#: How often connections of calls in progress are looked at: a caller that has left is noticed
#: within this time at each node of the path.
WATCH_PERIOD_S = 0.1
#: Rounds between two progress messages on a link.
ROUNDS_PER_PROGRESS = 3
#: Rounds between two looks at idle connections, which may live so much longer than allowed.
ROUNDS_PER_IDLE_LOOK = 5
#: A call that its sender should have ended by now has lost it: some round trips between regions.
OVERDUE_S = 0.2


K = TypeVar("K")
V = TypeVar("V")


class EndedEarly(TaskCancelled):
    """The node ends without waiting for the calls in progress."""


class Watched(Struct):
    """A call in progress and the connection on which its answer is awaited.

    :param link: set if another node awaits it and wants progress messages.
    """

    sock: Socket
    task: Task
    passage: Passage
    link: Link | None = None
    call_id: CallId | None = None


class Entry(Generic[K, V]):
    """Context for whose length a dictionary has an entry.

    The standard library's contexts made from generators cost more, on the path of every call.
    """

    __slots__ = ("_all", "_key", "_value")

    def __init__(self, entries: dict[K, V], key: K, value: V) -> None:
        self._all = entries
        self._key = key
        self._value = value

    def __enter__(self) -> None:
        self._all[self._key] = self._value

    def __exit__(self, *_: object) -> None:
        del self._all[self._key]


class Watch:
    """All calls in progress on this node, by the file descriptor of their connection."""

    def __init__(self) -> None:
        self._watched: dict[int, Watched] = {}
        self._idle: dict[Task, float] = {}
        self._left = 0

    @property
    def in_progress(self) -> int:
        """Return how many calls are in progress."""
        return len(self._watched)

    @property
    def left(self) -> int:
        """Return how many calls were ended because their caller had left."""
        return self._left

    def over(self, watched: Watched) -> Entry[int, Watched]:
        """Watch a call for the length of the block."""
        return Entry(self._watched, watched.sock.fileno(), watched)

    async def outcome_or_end(self, watched: Watched, work: Awaitable[Outcome]) -> Outcome:
        """Watch a call and return its outcome, also if the node ends early meanwhile."""
        passage = watched.passage
        try:
            with self.over(watched):
                return await work
        except EndedEarly:
            if passage.sent or not passage.cancellable:
                return Unknown(Reason.CANCELLED)
            return NotRun(Reason.DRAINING)

    def idle(self, task: Task, ends_at: float) -> Entry[Task, float]:
        """Let a connection wait for a request for the length of the block.

        :param task: serves the connection and is cancelled if the wait takes too long.
        :param ends_at: monotonic seconds at which the wait is too long.
        """
        return Entry(self._idle, task, ends_at)

    async def end_all(self) -> None:
        """End all calls in progress; whoever awaits them is told by `outcome_or_end`."""
        for watched in list(self._watched.values()):
            await watched.task.cancel(exc=EndedEarly, blocking=False)

    async def run(self, timer: Timer) -> None:
        """Look after all calls in progress once in each period, until cancelled."""
        subscription = timer.subscribe(WATCH_PERIOD_S)
        rounds = 0
        while True:
            await subscription.wait()
            await self._end_unawaited()
            await self._end_overdue(timer.now())
            rounds += 1
            if rounds % ROUNDS_PER_IDLE_LOOK == 0:
                await self._end_idle(timer.now())
            if rounds % ROUNDS_PER_PROGRESS == 0:
                self._send_progress()

    async def _end_unawaited(self) -> None:
        poller = poll()
        for descriptor in self._watched:
            poller.register(descriptor, CLOSED_EVENTS)
        for descriptor, _ in poller.poll(0):
            watched = self._watched[descriptor]
            if watched.passage.cancellable:
                self._left += 1
                await watched.task.cancel(blocking=False)

    async def _end_overdue(self, now: float) -> None:
        for watched in list(self._watched.values()):
            ends_at = watched.passage.ends_at
            if ends_at is not None and now > ends_at + OVERDUE_S:
                watched.passage.ends_at = None
                self._left += 1
                await watched.task.cancel(blocking=False)

    async def _end_idle(self, now: float) -> None:
        for task in [task for task, ends_at in self._idle.items() if now > ends_at]:
            await task.cancel(blocking=False)

    def _send_progress(self) -> None:
        for watched in self._watched.values():
            if watched.link is not None and watched.call_id is not None:
                watched.link.send_progress(watched.call_id)


def make_watch() -> Watch:
    """Return a watch over nothing yet."""
    return Watch()
