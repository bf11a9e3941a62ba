"""Tests of the order in which the admission queue serves waiting calls."""

from pollenbay.admissionqueue import (
    NEWEST_FIRST_AFTER_S,
    PRIORITIES,
    STALE_HEAP_ENTRIES,
    AdmissionQueue,
    make_admission_queue,
    priority_of,
)
from pollenbay.arrival import Arrival, Waiter
from pollenbay.ids import CallerId
from pollenbay.states import CallClass

NOW = 10.0
LATER = NOW + NEWEST_FIRST_AFTER_S + 0.1


def make_waiter(priority: int = 0, deadline: float = 20.0) -> Waiter:
    return Waiter(Arrival(CallClass.NORMAL, CallerId("driver"), deadline, NOW), priority)


def make_queue_of(*waiters: Waiter) -> AdmissionQueue:
    queue = make_admission_queue()
    for item in waiters:
        queue.add(item, NOW)
    return queue


class TestPriorities:
    def test_priority_over_share_stays_within_its_class(self) -> None:
        priorities = [priority_of(c.rank, over) for c in CallClass for over in (False, True)]
        assert priorities == list(range(PRIORITIES))

    def test_priorities_are_served_in_order_and_the_last_is_the_eviction_candidate(self) -> None:
        items = [make_waiter(priority) for priority in (3, 0, 5, 1)]
        queue = make_queue_of(*items)
        assert queue.peek_last(NOW) is items[2]
        assert [queue.pop(NOW) for _ in range(5)] == [items[1], items[3], items[0], items[2], None]

    def test_empty_queue_has_no_eviction_candidate(self) -> None:
        assert make_admission_queue().peek_last(NOW) is None


class TestOrder:
    def test_earliest_deadline_is_served_first(self) -> None:
        items = [make_waiter(deadline=deadline) for deadline in (13.0, 11.0, 12.0)]
        queue = make_queue_of(*items)
        assert [queue.pop(NOW) for _ in range(3)] == [items[1], items[2], items[0]]

    def test_newest_is_served_first_once_the_queue_has_been_busy_for_long(self) -> None:
        items = [make_waiter(deadline=deadline) for deadline in (13.0, 11.0, 12.0)]
        queue = make_queue_of(*items)
        assert queue.peek_last(LATER) is items[0]
        assert [queue.pop(LATER) for _ in range(3)] == [items[2], items[1], items[0]]

    def test_deadline_order_returns_after_the_queue_was_empty(self) -> None:
        queue = make_queue_of(make_waiter())
        queue.pop(LATER)
        items = [make_waiter(deadline=deadline) for deadline in (13.0, 11.0)]
        for item in items:
            queue.add(item, LATER)
        assert queue.pop(LATER) is items[1]


class TestRemoval:
    def test_removed_waiter_is_not_served(self) -> None:
        items = [make_waiter(), make_waiter()]
        queue = make_queue_of(*items)
        assert queue.remove(items[0])
        assert not queue.remove(items[0])
        assert len(queue) == 1
        assert queue.pop(NOW) is items[1]
        assert queue.pop(NOW) is None

    def test_removed_waiters_are_freed(self) -> None:
        queue = make_queue_of(make_waiter())
        for _ in range(1000):
            item = make_waiter()
            queue.add(item, NOW)
            queue.remove(item)
        priority_queue = queue.queues[0]
        assert len(priority_queue) == 1
        assert len(priority_queue._deadline_heap) <= 2 + STALE_HEAP_ENTRIES
