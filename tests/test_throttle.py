"""Tests of the throttle at the entry: admitted requests complete, and important classes go first.

When only the gates of a saturated downstream service refuse calls, requests fail after some of
their calls have run, and the capacity spent on them is lost.
"""

from chain_replay import Replay, RequestKind, Tally, highest_value, total_value
from pytest import mark

from pollenbay.commands.throttle import FAILED_MIN, drop_removed_routes, record_end, record_entry
from pollenbay.ids import CallName
from pollenbay.queries.throttle import MIN_ADMISSION_RATIOS, admission_ratio, retry_after_s
from pollenbay.saturation import FULL_LEVEL
from pollenbay.states import CallClass
from pollenbay.throttle import Throttle, make_throttle

ROUTE = CallName("lookup")
NOW = 100.0
SLOTS = 25
#: Slots in use at each gate, for the capacity estimate, and relative speeds of the targets.
USED_SLOTS = 23
SPEEDS = [0.7, 0.7, 1.6, 0.7]
MEASURED_S = 10.0
#: Minimum ratio of the achieved value to the highest value that the deep service's capacity allows.
VALUE_RATIO_MIN = 0.95
#: Seconds after the start of a surge from which this ratio must be reached.
SETTLED_S = 2.0


def make_load(load_factor: float) -> list[RequestKind]:
    """Return a load whose lookups and bookings each make eight calls to one deep service."""
    return [
        RequestKind("lookup", CallClass.SHEDDABLE, 410.0 * load_factor, 8, 0.022, 0.12, 5.0, 1.0),
        RequestKind("booking", CallClass.CRITICAL, 218.0 * load_factor, 8, 0.022, 0.15, 0.8, 3.0),
        RequestKind("check", CallClass.NORMAL, 105.0 * load_factor, 1, 0.036, 0.0, 0.6, 2.0),
    ]


def replay_load(kinds: list[RequestKind], throttled: bool) -> dict[str, Tally]:
    """Return the outcomes of requests that arrived `SETTLED_S` or later after the surge began."""
    replay = Replay(kinds, SPEEDS, SLOTS, throttled, seed=1)
    return replay.run(SETTLED_S + MEASURED_S + 2.0, SETTLED_S)


def make_exposed_throttle(is_entry: bool = True) -> Throttle:
    """Return a throttle with a route whose requests have failed under saturation."""
    throttle = make_throttle()
    record_entry(throttle, ROUTE, is_entry)
    for _ in range(int(FAILED_MIN) + 1):
        record_end(throttle, ROUTE, True, NOW)
    return throttle


class TestReplay:
    """Recorded load on a service four calls downstream of the entry."""

    @mark.parametrize("factor", [0.6, 1.0, 1.4, 1.8])
    def test_completed_value_is_close_to_the_highest_possible(self, factor: float) -> None:
        kinds = make_load(factor)
        tallies = replay_load(kinds, throttled=True)
        capacity_s = MEASURED_S * USED_SLOTS * sum(SPEEDS)
        assert total_value(kinds, tallies) >= VALUE_RATIO_MIN * highest_value(
            kinds, capacity_s, tallies
        )

    @mark.parametrize("factor", [1.0, 1.8])
    def test_completed_value_exceeds_that_of_refusal_at_the_gates_only(self, factor: float) -> None:
        kinds = make_load(factor)
        assert total_value(kinds, replay_load(kinds, True)) > 1.2 * total_value(
            kinds, replay_load(kinds, False)
        )

    def test_no_request_is_rejected_with_free_capacity(self) -> None:
        tallies = replay_load(make_load(0.6), throttled=True)
        assert [tally.rejected_at_entry for tally in tallies.values()] == [0, 0, 0]

    def test_admitted_requests_rarely_fail(self) -> None:
        tallies = replay_load(make_load(1.8), throttled=True)
        failed = sum(tally.failed for tally in tallies.values())
        completed = sum(tally.completed for tally in tallies.values())
        assert failed < 0.05 * completed


class TestSurge:
    """A surge that begins at the moment when the service loses an instance."""

    STARTS_S, ENDS_S, RUN_S = 10.0, 18.0, 30.0
    SPEEDS = [0.6, 1.0, 1.4]
    SLOTS, USED_SLOTS = 30, 28
    KINDS = [
        RequestKind("lookup", CallClass.SHEDDABLE, 170.0, 4, 0.040, 0.21, 1.0, 1.0),
        RequestKind("booking", CallClass.CRITICAL, 77.0, 4, 0.040, 0.27, 1.2, 3.0),
        RequestKind("confirm", CallClass.SHEDDABLE, 26.0, 1, 0.130, 0.0, 0.8, 1.0),
    ]

    def replay(self, factor: float, from_s: float, seed: int) -> float:
        """Return the value of requests that arrived later, as a ratio of the highest possible."""
        replay = Replay(
            self.KINDS,
            self.SPEEDS,
            self.SLOTS,
            True,
            seed,
            lambda now: factor if self.STARTS_S <= now < self.ENDS_S else 1.0,
            self.STARTS_S,
        )
        until_s = self.ENDS_S if from_s < self.ENDS_S else self.RUN_S
        tallies = replay.run(until_s + 2.0, from_s)
        capacity_s = (until_s - from_s) * self.USED_SLOTS * sum(self.SPEEDS[:2])
        best = highest_value(self.KINDS, capacity_s, tallies)
        return total_value(self.KINDS, tallies) / best

    def mean_ratio(self, factor: float, from_s: float) -> float:
        """Return the mean over several seeds, since one replay is only some seconds long."""
        return sum(self.replay(factor, from_s, seed) for seed in (1, 2, 3)) / 3

    @mark.parametrize("factor", [1.4, 1.7])
    def test_value_is_close_to_the_highest_possible_soon_after_the_start(
        self, factor: float
    ) -> None:
        assert self.mean_ratio(factor, self.STARTS_S + SETTLED_S) >= VALUE_RATIO_MIN

    @mark.parametrize("factor", [1.4, 1.7])
    def test_value_is_close_to_the_highest_possible_soon_after_the_end(self, factor: float) -> None:
        assert self.mean_ratio(factor, self.ENDS_S + SETTLED_S) >= VALUE_RATIO_MIN


class TestAdmissionRatio:
    """The ratio of a route's requests that is admitted."""

    def test_least_important_class_is_throttled_first(self) -> None:
        ratios = [
            admission_ratio(make_exposed_throttle(), ROUTE, call_class, FULL_LEVEL, 2.3, NOW)
            for call_class in CallClass
        ]
        assert ratios[:2] == [1.0, 1.0]
        assert 0.29 < ratios[2] < 0.31

    def test_each_class_keeps_its_minimum_ratio(self) -> None:
        for call_class in CallClass:
            ratio = admission_ratio(
                make_exposed_throttle(), ROUTE, call_class, FULL_LEVEL, 0.0, NOW
            )
            assert ratio == MIN_ADMISSION_RATIOS[call_class.rank] > 0.0

    def test_calls_made_by_targets_are_not_throttled(self) -> None:
        ratio = admission_ratio(
            make_exposed_throttle(False), ROUTE, CallClass.SHEDDABLE, 0.0, 0.0, NOW
        )
        assert ratio == 1.0

    def test_unknown_route_is_admitted(self) -> None:
        assert admission_ratio(make_throttle(), ROUTE, CallClass.SHEDDABLE, 0.0, 0.0, NOW) == 1.0

    def test_route_that_rarely_fails_under_saturation_is_admitted(self) -> None:
        throttle = make_throttle()
        record_entry(throttle, ROUTE, True)
        for number in range(100):
            record_end(throttle, ROUTE, number % 20 == 0, NOW)
        ratio = admission_ratio(throttle, ROUTE, CallClass.SHEDDABLE, FULL_LEVEL, 0.0, NOW)
        assert ratio == 1.0

    def test_route_with_a_small_share_of_the_calls_is_mostly_admitted(self) -> None:
        throttle = make_throttle()
        record_entry(throttle, ROUTE, True, 0.05)
        ratio = admission_ratio(throttle, ROUTE, CallClass.NORMAL, 0.0, FULL_LEVEL, NOW)
        assert ratio == 0.8

    def test_forgotten_route_is_admitted(self) -> None:
        throttle = make_exposed_throttle()
        drop_removed_routes(throttle, set())
        assert admission_ratio(throttle, ROUTE, CallClass.SHEDDABLE, 0.0, 0.0, NOW) == 1.0


class TestRetryDelay:
    """The retry delay of a request rejected at the entry."""

    def test_delay_is_jittered_and_keeps_the_full_value_of_the_request(self) -> None:
        delays_s = [retry_after_s(1.2, point / 10.0) for point in range(10)]
        assert min(delays_s) > 0.0
        assert max(delays_s) <= 0.6
        assert len(set(delays_s)) == 10
