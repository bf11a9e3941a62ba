"""Tests of which classes a target reports as served, and of the advice to refused callers."""

from pollenbay.shedding import (
    CLOSE_MIN_ARRIVALS,
    LEAST_RANK,
    OPEN_AFTER_PERIODS,
    PERIOD_S,
    RETRY_AFTER_MAX_S,
    Shedding,
    make_shedding,
)
from pollenbay.states import CallClass

NOW = 10.0


class Periods:
    """Plays one period after the other."""

    def __init__(self) -> None:
        self.shedding: Shedding = make_shedding()
        self.now = NOW
        self.shedding.end_period(NOW)

    def play(self, arrivals: int, granted: int, rank: int, spare: bool = False) -> int:
        for _ in range(arrivals):
            self.shedding.arrive(rank, self.now)
        for _ in range(granted):
            self.shedding.grant(rank)
        if spare:
            self.shedding.note_spare()
        self.now += PERIOD_S
        self.shedding.end_period(self.now)
        return self.shedding.admitted_rank


class TestRank:
    def test_every_class_is_served_at_first(self) -> None:
        assert make_shedding().admitted_rank == LEAST_RANK

    def test_an_unserved_class_is_closed(self) -> None:
        assert Periods().play(100, 5, LEAST_RANK) == LEAST_RANK - 1

    def test_a_class_served_in_part_stays_open(self) -> None:
        assert Periods().play(100, 30, LEAST_RANK) == LEAST_RANK

    def test_a_few_refusals_close_nothing(self) -> None:
        assert Periods().play(CLOSE_MIN_ARRIVALS - 1, 0, LEAST_RANK) == LEAST_RANK

    def test_classes_close_one_by_one_but_never_the_first(self) -> None:
        periods = Periods()
        ranks = [periods.play(100, 0, rank) for rank in (2, 1, 0, 0)]
        assert ranks == [1, 0, 0, 0]

    def test_a_class_opens_after_some_periods_with_a_free_slot(self) -> None:
        periods = Periods()
        periods.play(100, 0, LEAST_RANK)
        ranks = [periods.play(0, 0, 0, spare=True) for _ in range(OPEN_AFTER_PERIODS)]
        assert ranks == [LEAST_RANK - 1] * (OPEN_AFTER_PERIODS - 1) + [LEAST_RANK]

    def test_a_single_free_slot_does_not_open_it(self) -> None:
        periods = Periods()
        periods.play(100, 0, LEAST_RANK)
        ranks = [periods.play(50, 50, 0, spare=step % 2 == 0) for step in range(6)]
        assert ranks == [LEAST_RANK - 1] * 6


class TestAdvice:
    def test_grows_with_the_part_refused(self) -> None:
        waits_s = []
        for granted in (100, 50, 10):
            periods = Periods()
            for _ in range(6):
                periods.play(100, granted, 0)
            waits_s.append(sum(periods.shedding.retry_after_s(0) for _ in range(50)))
        assert waits_s == sorted(waits_s)
        assert waits_s[-1] > 4 * waits_s[0]

    def test_is_bounded_and_spread(self) -> None:
        periods = Periods()
        for _ in range(20):
            periods.play(100, 0, 0)
        waits_s = [periods.shedding.retry_after_s(LEAST_RANK) for _ in range(100)]
        assert max(waits_s) <= 1.5 * RETRY_AFTER_MAX_S
        assert len({round(wait_s, 2) for wait_s in waits_s}) > 50

    def test_falls_again_when_nothing_is_refused(self) -> None:
        periods = Periods()
        for _ in range(6):
            periods.play(100, 0, CallClass.NORMAL.rank)
        for _ in range(6):
            periods.play(0, 0, CallClass.NORMAL.rank)
        assert periods.shedding.refused_part < 0.05
