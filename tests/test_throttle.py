"""What is held back at the entry: whole requests end, the important ones first."""

from chain_replay import Kind, Replay, Tally, best_worth, worth_of
from pytest import mark

from pollenbay.commands.throttle import FAILED_MIN, forget_routes, note_end, note_entry
from pollenbay.ids import CallName
from pollenbay.queries.throttle import LEAST_PARTS, admitted_part, retry_after_s
from pollenbay.saturation import FULL_LEVEL
from pollenbay.states import CallClass
from pollenbay.throttle import Throttle, make_throttle

ROUTE = CallName("lookup")
NOW = 100.0
SLOTS = 25
#: Slots that the gates use, and relative speeds of the targets.
USED_SLOTS = 23
SPEEDS = [0.7, 0.7, 1.6, 0.7]
MEASURED_S = 10.0
#: Aim of the entry throttle: this part of what the deep service has room for.
WORTH_AIM = 0.95
#: Time after the start of a surge from which on that is to be reached, in seconds.
SETTLED_S = 2.0


def chain(factor: float) -> list[Kind]:
    """Return a load whose lookups and bookings each make eight calls at one deep service."""
    return [
        Kind("lookup", CallClass.SHEDDABLE, 410.0 * factor, 8, 0.022, 0.12, 5.0, 1.0),
        Kind("booking", CallClass.CRITICAL, 218.0 * factor, 8, 0.022, 0.15, 0.8, 3.0),
        Kind("check", CallClass.NORMAL, 105.0 * factor, 1, 0.036, 0.0, 0.6, 2.0),
    ]


def play(kinds: list[Kind], throttled: bool) -> dict[str, Tally]:
    """Return how the requests ended that began once the surge had lasted for `SETTLED_S`."""
    replay = Replay(kinds, SPEEDS, SLOTS, throttled, seed=1)
    return replay.run(SETTLED_S + MEASURED_S + 2.0, SETTLED_S)


def exposed(is_entry: bool = True) -> Throttle:
    """Return a throttle that knows a route whose requests have failed under saturation."""
    throttle = make_throttle()
    note_entry(throttle, ROUTE, is_entry)
    for _ in range(int(FAILED_MIN) + 1):
        note_end(throttle, ROUTE, True, NOW)
    return throttle


class TestReplay:
    """Recorded load on a service four calls below the entry."""

    @mark.parametrize("factor", [0.6, 1.0, 1.4, 1.8])
    def test_most_of_the_possible_worth_ends_whole(self, factor: float) -> None:
        kinds = chain(factor)
        tallies = play(kinds, throttled=True)
        capacity_s = MEASURED_S * USED_SLOTS * sum(SPEEDS)
        assert worth_of(kinds, tallies) >= WORTH_AIM * best_worth(kinds, capacity_s, tallies)

    @mark.parametrize("factor", [1.0, 1.8])
    def test_more_than_by_refusal_in_the_depth(self, factor: float) -> None:
        kinds = chain(factor)
        assert worth_of(kinds, play(kinds, True)) > 1.2 * worth_of(kinds, play(kinds, False))

    def test_nothing_is_held_back_with_room(self) -> None:
        tallies = play(chain(0.6), throttled=True)
        assert [tally.held_back for tally in tallies.values()] == [0, 0, 0]

    def test_what_is_let_in_is_not_wasted(self) -> None:
        tallies = play(chain(1.8), throttled=True)
        failed = sum(tally.failed for tally in tallies.values())
        whole = sum(tally.whole for tally in tallies.values())
        assert failed < 0.05 * whole


class TestParts:
    """The part of a route's requests that is let in."""

    def test_least_important_first(self) -> None:
        parts = [
            admitted_part(exposed(), ROUTE, call_class, FULL_LEVEL, 2.3, NOW)
            for call_class in CallClass
        ]
        assert parts[:2] == [1.0, 1.0]
        assert 0.29 < parts[2] < 0.31

    def test_no_class_is_shut_out(self) -> None:
        for call_class in CallClass:
            part = admitted_part(exposed(), ROUTE, call_class, FULL_LEVEL, 0.0, NOW)
            assert part == LEAST_PARTS[call_class.rank] > 0.0

    def test_calls_of_targets_are_never_held_back(self) -> None:
        part = admitted_part(exposed(False), ROUTE, CallClass.SHEDDABLE, 0.0, 0.0, NOW)
        assert part == 1.0

    def test_a_route_of_which_nothing_is_known_is_let_in(self) -> None:
        assert admitted_part(make_throttle(), ROUTE, CallClass.SHEDDABLE, 0.0, 0.0, NOW) == 1.0

    def test_a_route_that_does_not_need_what_is_saturated_is_let_in(self) -> None:
        throttle = make_throttle()
        note_entry(throttle, ROUTE, True)
        for number in range(100):
            note_end(throttle, ROUTE, number % 20 == 0, NOW)
        part = admitted_part(throttle, ROUTE, CallClass.SHEDDABLE, FULL_LEVEL, 0.0, NOW)
        assert part == 1.0

    def test_a_small_share_of_the_calls_is_kept(self) -> None:
        throttle = make_throttle()
        note_entry(throttle, ROUTE, True, 0.05)
        part = admitted_part(throttle, ROUTE, CallClass.NORMAL, 0.0, FULL_LEVEL, NOW)
        assert part == 0.8

    def test_forgotten_routes_are_let_in(self) -> None:
        throttle = exposed()
        forget_routes(throttle, set())
        assert admitted_part(throttle, ROUTE, CallClass.SHEDDABLE, 0.0, 0.0, NOW) == 1.0


class TestReturn:
    """When a request that was turned away may come back."""

    def test_early_enough_for_its_full_value(self) -> None:
        times = [retry_after_s(1.2, point / 10.0) for point in range(10)]
        assert min(times) > 0.0
        assert max(times) <= 0.6
        assert len(set(times)) == 10
