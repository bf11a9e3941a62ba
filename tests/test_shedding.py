"""Tests of the classes that a target reports as served, and of the retry delay after a refusal."""

from pollenbay.shedding import (
    CLOSE_MIN_ARRIVALS,
    LEAST_IMPORTANT_RANK,
    OPEN_AFTER_PERIODS,
    RETRY_AFTER_MAX_S,
    SHEDDING_PERIOD_S,
    Shedding,
    make_shedding,
)
from pollenbay.states import CallClass

NOW = 10.0


class PeriodSimulation:
    """Simulates consecutive periods of arrivals and grants."""

    def __init__(self) -> None:
        self.shedding: Shedding = make_shedding()
        self.now = NOW
        self.shedding.end_period(NOW)

    def run_period(
        self, arrivals: int, granted: int, rank: int, has_free_slot: bool = False
    ) -> int:
        for _ in range(arrivals):
            self.shedding.record_arrival(rank, self.now)
        for _ in range(granted):
            self.shedding.record_grant(rank)
        if has_free_slot:
            self.shedding.record_free_slot()
        self.now += SHEDDING_PERIOD_S
        self.shedding.end_period(self.now)
        return self.shedding.admitted_rank


class TestRank:
    def test_every_class_is_served_initially(self) -> None:
        assert make_shedding().admitted_rank == LEAST_IMPORTANT_RANK

    def test_unserved_class_is_closed(self) -> None:
        assert (
            PeriodSimulation().run_period(100, 5, LEAST_IMPORTANT_RANK) == LEAST_IMPORTANT_RANK - 1
        )

    def test_partly_served_class_stays_open(self) -> None:
        assert PeriodSimulation().run_period(100, 30, LEAST_IMPORTANT_RANK) == LEAST_IMPORTANT_RANK

    def test_few_refusals_close_no_class(self) -> None:
        assert (
            PeriodSimulation().run_period(CLOSE_MIN_ARRIVALS - 1, 0, LEAST_IMPORTANT_RANK)
            == LEAST_IMPORTANT_RANK
        )

    def test_classes_close_one_at_a_time_except_the_most_important(self) -> None:
        simulation = PeriodSimulation()
        ranks = [simulation.run_period(100, 0, rank) for rank in (2, 1, 0, 0)]
        assert ranks == [1, 0, 0, 0]

    def test_class_reopens_after_consecutive_periods_with_a_free_slot(self) -> None:
        simulation = PeriodSimulation()
        simulation.run_period(100, 0, LEAST_IMPORTANT_RANK)
        ranks = [
            simulation.run_period(0, 0, 0, has_free_slot=True) for _ in range(OPEN_AFTER_PERIODS)
        ]
        assert ranks == [LEAST_IMPORTANT_RANK - 1] * (OPEN_AFTER_PERIODS - 1) + [
            LEAST_IMPORTANT_RANK
        ]

    def test_single_free_slot_does_not_reopen_a_class(self) -> None:
        simulation = PeriodSimulation()
        simulation.run_period(100, 0, LEAST_IMPORTANT_RANK)
        ranks = [simulation.run_period(50, 50, 0, has_free_slot=step % 2 == 0) for step in range(6)]
        assert ranks == [LEAST_IMPORTANT_RANK - 1] * 6


class TestRetryDelay:
    def test_retry_delay_grows_with_the_refused_ratio(self) -> None:
        waits_s = []
        for granted in (100, 50, 10):
            simulation = PeriodSimulation()
            for _ in range(6):
                simulation.run_period(100, granted, 0)
            waits_s.append(sum(simulation.shedding.retry_after_s(0) for _ in range(50)))
        assert waits_s == sorted(waits_s)
        assert waits_s[-1] > 4 * waits_s[0]

    def test_retry_delay_is_bounded_and_jittered(self) -> None:
        simulation = PeriodSimulation()
        for _ in range(20):
            simulation.run_period(100, 0, 0)
        waits_s = [simulation.shedding.retry_after_s(LEAST_IMPORTANT_RANK) for _ in range(100)]
        assert max(waits_s) <= 1.5 * RETRY_AFTER_MAX_S
        assert len({round(wait_s, 2) for wait_s in waits_s}) > 50

    def test_refused_ratio_decays_without_refusals(self) -> None:
        simulation = PeriodSimulation()
        for _ in range(6):
            simulation.run_period(100, 0, CallClass.NORMAL.rank)
        for _ in range(6):
            simulation.run_period(0, 0, CallClass.NORMAL.rank)
        assert simulation.shedding.refused_ratio < 0.05
