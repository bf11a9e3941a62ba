"""Admission queue of a target, ordered by class, callers within their share first, and deadline."""

from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from itertools import count

from pollenbay.arrival import Waiter
from pollenbay.states import CallClass

#: In each class, callers within their share are served first.
PRIORITIES_PER_CLASS = 2
PRIORITIES = PRIORITIES_PER_CLASS * len(CallClass)
#: Seconds without being empty after which a queue serves its newest waiter first.
NEWEST_FIRST_AFTER_S = 0.5
STALE_HEAP_ENTRIES = 16


def priority_of(rank: int, over_share: bool) -> int:
    """Return the queue priority of a class rank; 0 is served first."""
    return rank * PRIORITIES_PER_CLASS + int(over_share)


class PriorityQueue:
    """Waiters of equal queue priority, by deadline and by arrival."""

    def __init__(self) -> None:
        self._by_arrival: dict[Waiter, None] = {}
        self._deadline_heap: list[tuple[float, int, Waiter]] = []
        self._sequence = count()
        self._busy_since = 0.0

    def __len__(self) -> int:
        return len(self._by_arrival)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._by_arrival)

    def add(self, waiter: Waiter, now: float) -> None:
        """Queue a waiter."""
        if not self._by_arrival:
            self._busy_since = now
            self._deadline_heap.clear()
        self._by_arrival[waiter] = None
        heappush(self._deadline_heap, (waiter.arrival.deadline, next(self._sequence), waiter))

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter and return whether it was queued."""
        if waiter not in self._by_arrival:
            return False
        del self._by_arrival[waiter]
        if len(self._deadline_heap) > 2 * len(self._by_arrival) + STALE_HEAP_ENTRIES:
            self._deadline_heap = [
                item for item in self._deadline_heap if item[2] in self._by_arrival
            ]
            heapify(self._deadline_heap)
        return True

    def serves_newest_first(self, now: float) -> bool:
        """Return whether the newest waiter is served first.

        It is, once the queue has been non-empty for `NEWEST_FIRST_AFTER_S`: its oldest waiters can
        no longer be served in time.
        """
        return now - self._busy_since > NEWEST_FIRST_AFTER_S

    def pop(self, now: float) -> Waiter:
        """Remove and return the next waiter to serve."""
        if self.serves_newest_first(now):
            return self._by_arrival.popitem()[0]
        while True:
            waiter = heappop(self._deadline_heap)[2]
            if waiter in self._by_arrival:
                del self._by_arrival[waiter]
                return waiter

    def peek_last(self, now: float) -> Waiter:
        """Return the waiter that would be served last."""
        if self.serves_newest_first(now):
            return next(iter(self._by_arrival))
        return next(reversed(self._by_arrival))


class AdmissionQueue:
    """Admission queue with one queue for each priority."""

    def __init__(self) -> None:
        self._queues = [PriorityQueue() for _ in range(PRIORITIES)]
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        for queue in self._queues:
            yield from queue

    @property
    def queues(self) -> list[PriorityQueue]:
        """Return the queues by priority, most important first."""
        return self._queues

    def add(self, waiter: Waiter, now: float) -> None:
        """Queue a waiter at its priority."""
        self._queues[waiter.priority].add(waiter, now)
        self._size += 1

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter and return whether it was queued."""
        removed = self._queues[waiter.priority].remove(waiter)
        self._size -= int(removed)
        return removed

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the next waiter to serve, or None if the queue is empty."""
        for queue in self._queues:
            if queue:
                self._size -= 1
                return queue.pop(now)
        return None

    def peek_last(self, now: float) -> Waiter | None:
        """Return the waiter that would be served last, or None if the queue is empty."""
        for queue in reversed(self._queues):
            if queue:
                return queue.peek_last(now)
        return None


def make_admission_queue() -> AdmissionQueue:
    """Return an empty queue."""
    return AdmissionQueue()
