"""The short queue before a target: by class, then callers within their share, then time left."""

from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from itertools import count

from pollenbay.arrival import Waiter
from pollenbay.states import CallClass

#: Callers within their share come first in each class.
LEVELS_PER_CLASS = 2
LEVELS = LEVELS_PER_CLASS * len(CallClass)
#: A level that has not been empty for so long serves its newest waiter first.
NEWEST_FIRST_AFTER_S = 0.5
STALE_HEAP_ENTRIES = 16


def level_of(rank: int, over_share: bool) -> int:
    """Return the level of a class rank."""
    return rank * LEVELS_PER_CLASS + int(over_share)


class Level:
    """Waiters of equal standing, by deadline and by arrival."""

    def __init__(self) -> None:
        self._by_arrival: dict[Waiter, None] = {}
        self._by_deadline: list[tuple[float, int, Waiter]] = []
        self._order = count()
        self._busy_since = 0.0

    def __len__(self) -> int:
        return len(self._by_arrival)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._by_arrival)

    def add(self, waiter: Waiter, now: float) -> None:
        """Queue a waiter."""
        if not self._by_arrival:
            self._busy_since = now
            self._by_deadline.clear()
        self._by_arrival[waiter] = None
        heappush(self._by_deadline, (waiter.arrival.deadline, next(self._order), waiter))

    def remove(self, waiter: Waiter) -> bool:
        """Take a waiter out and tell whether it was queued."""
        if waiter not in self._by_arrival:
            return False
        del self._by_arrival[waiter]
        if len(self._by_deadline) > 2 * len(self._by_arrival) + STALE_HEAP_ENTRIES:
            self._by_deadline = [item for item in self._by_deadline if item[2] in self._by_arrival]
            heapify(self._by_deadline)
        return True

    def newest_first(self, now: float) -> bool:
        """Tell whether it has been busy for so long that old waiters are beyond help."""
        return now - self._busy_since > NEWEST_FIRST_AFTER_S

    def pop(self, now: float) -> Waiter:
        """Take out the next one to serve."""
        if self.newest_first(now):
            return self._by_arrival.popitem()[0]
        while True:
            waiter = heappop(self._by_deadline)[2]
            if waiter in self._by_arrival:
                del self._by_arrival[waiter]
                return waiter

    def last(self, now: float) -> Waiter:
        """Return the one that would be served last."""
        if self.newest_first(now):
            return next(iter(self._by_arrival))
        return next(reversed(self._by_arrival))


class WaitingLine:
    """All levels of one queue."""

    def __init__(self) -> None:
        self._levels = [Level() for _ in range(LEVELS)]
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        for level in self._levels:
            yield from level

    @property
    def levels(self) -> list[Level]:
        """Return the levels, most important first."""
        return self._levels

    def add(self, waiter: Waiter, now: float) -> None:
        """Queue a waiter at its level."""
        self._levels[waiter.level].add(waiter, now)
        self._size += 1

    def remove(self, waiter: Waiter) -> bool:
        """Take a waiter out and tell whether it was queued."""
        removed = self._levels[waiter.level].remove(waiter)
        self._size -= int(removed)
        return removed

    def pop(self, now: float) -> Waiter | None:
        """Take out the next one to serve, or None if there is none."""
        for level in self._levels:
            if level:
                self._size -= 1
                return level.pop(now)
        return None

    def last(self, now: float) -> Waiter | None:
        """Return the one that would be served last, or None if there is none."""
        for level in reversed(self._levels):
            if level:
                return level.last(now)
        return None


def make_waiting_line() -> WaitingLine:
    """Return an empty queue."""
    return WaitingLine()
