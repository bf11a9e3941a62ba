"""Watches over calls that take long: tells peers that they go on, and ends what nobody awaits."""

from collections.abc import Awaitable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from select import poll

from curio import Task, TaskCancelled
from curio.io import Socket

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


class EndedEarly(TaskCancelled):
    """The node ends without waiting for the calls in progress."""


@dataclass(slots=True)
class Watched:
    """A call in progress and the connection on which its answer is awaited.

    :param link: set if another node awaits it and wants progress messages.
    """

    sock: Socket
    task: Task
    passage: Passage
    link: Link | None = None
    call_id: CallId | None = None


class Watch:
    """All calls in progress on this node, by the file descriptor of their connection."""

    def __init__(self) -> None:
        self._watched: dict[int, Watched] = {}
        self._left = 0

    @property
    def in_progress(self) -> int:
        """Return how many calls are in progress."""
        return len(self._watched)

    @property
    def left(self) -> int:
        """Return how many calls were ended because their caller had left."""
        return self._left

    @contextmanager
    def over(self, watched: Watched) -> Iterator[None]:
        """Watch a call for the length of the block."""
        descriptor = watched.sock.fileno()
        self._watched[descriptor] = watched
        try:
            yield
        finally:
            del self._watched[descriptor]

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
            rounds += 1
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

    def _send_progress(self) -> None:
        for watched in self._watched.values():
            if watched.link is not None and watched.call_id is not None:
                watched.link.send_progress(watched.call_id)


async def outcome_or_end(passage: Passage, work: Awaitable[Outcome]) -> Outcome:
    """Return the outcome of a call, also if the node ends early meanwhile."""
    try:
        return await work
    except EndedEarly:
        if passage.sent or not passage.cancellable:
            return Unknown(Reason.CANCELLED)
        return NotRun(Reason.DRAINING)


def make_watch() -> Watch:
    """Return a watch over nothing yet."""
    return Watch()
