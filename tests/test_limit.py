"""Tests of the adaptive concurrency limit against a simulated target with saturating load."""

from heapq import heappop, heappush
from itertools import pairwise
from random import Random
from statistics import median

from pollenbay.limit import CEILING_PER_SLOT, Limit, make_limit

SERVICE_S = 0.05
REFUSAL_S = 0.0002
RANK = 1
SEED = 3


class _SimulatedTarget:
    """Simulated target whose latency grows once all of its slots are occupied."""

    def __init__(self, limit: Limit, slots: int) -> None:
        self.limit = limit
        self.slots = slots
        self.latency_factor = 1.0
        self.fails = False
        self.refuses_above = 10**9
        self._rng = Random(SEED)
        self._running: list[tuple[float, float]] = []
        self.now = 0.0
        self.responses = 0

    def run(self, seconds: float, usage_ratio: float = 1.0) -> list[int]:
        """Advance the simulation and return the limit after each call.

        :param usage_ratio: ratio of the limit that is in use.
        """
        end = self.now + seconds
        values = []
        self._fill(usage_ratio)
        while self._running[0][0] < end:
            self.now, began_at = heappop(self._running)
            in_flight = len(self._running) + 1
            latency_s = self.now - began_at
            ok = not self.fails and latency_s > REFUSAL_S
            self.limit.observe(RANK, latency_s, ok, in_flight, self.now)
            self.responses += 1
            self._fill(usage_ratio)
            values.append(self.limit.value)
        self.now = end
        return values

    def _fill(self, usage_ratio: float) -> None:
        while len(self._running) < max(int(self.limit.value * usage_ratio), 1):
            congestion = max((len(self._running) + 1) / self.slots, 1.0)
            noise = self._rng.lognormvariate(-0.125, 0.5)
            latency_s = SERVICE_S * self.latency_factor * congestion * noise
            if sum(end - began > REFUSAL_S for end, began in self._running) >= self.refuses_above:
                latency_s = REFUSAL_S
            heappush(self._running, (self.now + latency_s, self.now))


def settled_mean(values: list[int]) -> float:
    tail = values[len(values) * 2 // 3 :]
    return sum(tail) / len(tail)


def trial_increase(failure_interval: int) -> int:
    """Return by how much one upward trial changes the limit.

    :param failure_interval: one in this many calls fails immediately.
    """
    limit = make_limit(20)
    limit.start_cold(0.0)
    now = 0.0
    before = limit.value
    while limit.value == before:
        now += SERVICE_S / before
        limit.observe(RANK, SERVICE_S, True, before, now)
    for index in range(300):
        now += SERVICE_S / limit.value
        limit.observe(RANK, SERVICE_S, True, limit.value, now)
        if index % failure_interval == 0:
            limit.observe(RANK, REFUSAL_S, False, limit.value, now)
    return limit.value - before


class TestSearch:
    def test_starts_at_the_announced_slots(self) -> None:
        assert make_limit(20).value == 20

    def test_correct_slots_are_kept(self) -> None:
        assert 18 <= settled_mean(_SimulatedTarget(make_limit(20), 20).run(60.0)) <= 22

    def test_limit_falls_to_fewer_actual_slots(self) -> None:
        assert 17 <= settled_mean(_SimulatedTarget(make_limit(80), 20).run(60.0)) <= 25

    def test_limit_rises_to_more_actual_slots(self) -> None:
        assert 17 <= settled_mean(_SimulatedTarget(make_limit(8), 20).run(60.0)) <= 25

    def test_trials_cost_at_most_5_percent_of_throughput(self) -> None:
        target = _SimulatedTarget(make_limit(20), 20)
        target.run(60.0)
        assert target.responses >= 0.95 * 60.0 * 20 / SERVICE_S

    def test_trials_are_rare_once_the_limit_has_settled(self) -> None:
        target = _SimulatedTarget(make_limit(20), 20)
        target.run(60.0)
        values = target.run(60.0)
        changes = sum(before != after for before, after in pairwise(values))
        assert 2 <= changes <= 24


class TestBounds:
    def test_limit_is_at_least_one(self) -> None:
        values = _SimulatedTarget(make_limit(1), 1).run(60.0)
        assert min(values) == 1
        assert make_limit(0).value == 1

    def test_limit_does_not_exceed_its_ceiling(self) -> None:
        values = _SimulatedTarget(make_limit(5), 1000).run(120.0)
        assert max(values) == 5 * CEILING_PER_SLOT

    def test_limit_is_constant_while_not_in_use(self) -> None:
        assert set(_SimulatedTarget(make_limit(20), 4).run(30.0, usage_ratio=0.5)) == {20}


class TestChange:
    def test_throughput_recovers_after_30_s_of_high_latency(self) -> None:
        target = _SimulatedTarget(make_limit(20), 20)
        target.run(20.0)
        target.latency_factor = 10.0
        target.run(30.0)
        target.latency_factor = 1.0
        target.run(5.0)
        responses = target.responses
        target.run(5.0)
        assert target.responses - responses >= 0.9 * 5.0 * 20 / SERVICE_S

    def test_latency_independent_of_load_does_not_lower_the_limit_permanently(self) -> None:
        target = _SimulatedTarget(make_limit(20), 20)
        target.run(20.0)
        target.latency_factor = 10.0
        values = target.run(30.0)
        assert min(values) >= 8
        assert settled_mean(values) >= 16

    def test_latency_surge_lowers_the_limit_within_2500_ms(self) -> None:
        for offset_s in (0.0, 0.2, 0.4, 0.6):
            target = _SimulatedTarget(make_limit(20), 20)
            target.run(20.0 + offset_s)
            target.latency_factor = 10.0
            assert min(target.run(2.5)) <= 11

    def test_loss_of_slots_lowers_the_limit(self) -> None:
        target = _SimulatedTarget(make_limit(20), 20)
        target.run(20.0)
        target.slots = 8
        assert settled_mean(target.run(40.0)) <= 11

    def test_fast_failures_do_not_raise_the_limit(self) -> None:
        target = _SimulatedTarget(make_limit(10), 1000)
        target.run(5.0)
        before = target.limit.value
        target.fails = True
        target.latency_factor = 0.01
        assert max(target.run(10.0)) <= before

    def test_limit_stays_at_the_concurrency_that_the_target_accepts(self) -> None:
        target = _SimulatedTarget(make_limit(20), 1000)
        target.refuses_above = 25
        values = [target.run(1.0)[-1] for _ in range(30)]
        assert median(values[10:]) <= 25

    def test_target_speedup_during_a_trial_does_not_raise_the_limit(self) -> None:
        target = _SimulatedTarget(make_limit(20), 20)
        target.run(30.0)
        before = 0
        while not 18 <= before < target.limit.value:
            before = target.limit.value
            target.run(0.01)
        target.latency_factor = 0.1
        raised = target.limit.value
        while target.limit.value == raised:
            target.run(0.01)
        assert target.limit.value == before

    def test_trial_is_undone_when_the_target_only_refuses(self) -> None:
        target = _SimulatedTarget(make_limit(20), 20)
        target.run(30.0)
        before = 0
        while not 18 <= before < target.limit.value:
            before = target.limit.value
            target.run(0.01)
        target.fails = True
        target.latency_factor = 0.01
        target.run(1.0)
        assert target.limit.value == before

    def test_frequent_failures_end_a_trial_and_rare_ones_do_not(self) -> None:
        assert trial_increase(failure_interval=50) > 0
        assert trial_increase(failure_interval=5) <= 0

    def test_changed_slots_reset_the_limit(self) -> None:
        limit = make_limit(20)
        limit.set_slots(10)
        assert limit.value == 10
        limit.set_slots(0)
        assert limit.value == 1

    def test_cold_target_reaches_its_slots_at_low_usage(self) -> None:
        target = _SimulatedTarget(make_limit(16), 16)
        target.limit.start_cold(0.0)
        assert target.limit.value == 8
        target.run(20.0, usage_ratio=0.3)
        assert target.limit.value == 16

    def test_slots_removed_by_a_trial_are_not_restored_at_low_usage(self) -> None:
        target = _SimulatedTarget(make_limit(32), 4)
        target.limit.start_cold(0.0)
        settled_limit = settled_mean(target.run(60.0))
        assert settled_limit < 10
        target.run(20.0, usage_ratio=0.3)
        assert target.limit.value < 12

    def test_cold_target_starts_with_half_of_its_slots_and_warms_up(self) -> None:
        limit = make_limit(20)
        limit.start_cold(0.0)
        assert limit.value == 10
        assert settled_mean(_SimulatedTarget(limit, 20).run(60.0)) >= 16
