"""Tests of the order of the queue."""

from pollenbay.arrival import Arrival, Waiter
from pollenbay.ids import CallerId
from pollenbay.states import CallClass
from pollenbay.waiting import (
    LEVELS,
    NEWEST_FIRST_AFTER_S,
    STALE_HEAP_ENTRIES,
    WaitingLine,
    level_of,
    make_waiting_line,
)

NOW = 10.0
LATER = NOW + NEWEST_FIRST_AFTER_S + 0.1


def waiter(level: int = 0, deadline: float = 20.0) -> Waiter:
    return Waiter(Arrival(CallClass.NORMAL, CallerId("driver"), deadline, NOW), level)


def line_of(*waiters: Waiter) -> WaitingLine:
    line = make_waiting_line()
    for item in waiters:
        line.add(item, NOW)
    return line


class TestLevels:
    def test_over_share_stays_within_its_class(self) -> None:
        levels = [level_of(c.rank, over) for c in CallClass for over in (False, True)]
        assert levels == list(range(LEVELS))

    def test_lower_levels_are_served_first_and_last_from_the_end(self) -> None:
        items = [waiter(level) for level in (3, 0, 5, 1)]
        line = line_of(*items)
        assert line.last(NOW) is items[2]
        assert [line.pop(NOW) for _ in range(5)] == [items[1], items[3], items[0], items[2], None]

    def test_an_empty_line_has_no_last(self) -> None:
        assert make_waiting_line().last(NOW) is None


class TestOrder:
    def test_least_time_left_first(self) -> None:
        items = [waiter(deadline=deadline) for deadline in (13.0, 11.0, 12.0)]
        line = line_of(*items)
        assert [line.pop(NOW) for _ in range(3)] == [items[1], items[2], items[0]]

    def test_newest_first_once_it_has_been_busy_for_long(self) -> None:
        items = [waiter(deadline=deadline) for deadline in (13.0, 11.0, 12.0)]
        line = line_of(*items)
        assert line.last(LATER) is items[0]
        assert [line.pop(LATER) for _ in range(3)] == [items[2], items[1], items[0]]

    def test_back_to_time_left_after_it_was_empty(self) -> None:
        line = line_of(waiter())
        line.pop(LATER)
        items = [waiter(deadline=deadline) for deadline in (13.0, 11.0)]
        for item in items:
            line.add(item, LATER)
        assert line.pop(LATER) is items[1]


class TestRemoval:
    def test_a_removed_waiter_is_not_served(self) -> None:
        items = [waiter(), waiter()]
        line = line_of(*items)
        assert line.remove(items[0])
        assert not line.remove(items[0])
        assert len(line) == 1
        assert line.pop(NOW) is items[1]
        assert line.pop(NOW) is None

    def test_removed_waiters_take_no_memory(self) -> None:
        line = line_of(waiter())
        for _ in range(1000):
            item = waiter()
            line.add(item, NOW)
            line.remove(item)
        level = line.levels[0]
        assert len(level) == 1
        assert len(level._by_deadline) <= 2 + STALE_HEAP_ENTRIES
