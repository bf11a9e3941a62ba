"""Levels of demand: they fall and rise with the saturation of a target, and spread with replies."""

from pytest import approx

from pollenbay.arrival import Arrival
from pollenbay.commands.admission import admit
from pollenbay.commands.saturation import forget_tellers, hear_levels, measure
from pollenbay.gate import Gate, make_gate
from pollenbay.ids import CallerId, InstanceId, ServiceName
from pollenbay.queries.saturation import level_of, levels_to_tell, services_below
from pollenbay.saturation import FULL_LEVEL, READING_VALID_S, Saturation, make_saturation
from pollenbay.states import CallClass

PERIOD_S = 0.1
A, B, C = ServiceName("a"), ServiceName("b"), ServiceName("c")
ONE, TWO = InstanceId("1"), InstanceId("2")


def full_gate() -> Gate:
    """Return a gate whose slots are all taken and whose queue is full."""
    gate = make_gate(10, adaptive=False)
    for _ in range(100):
        admit(gate, Arrival(CallClass.NORMAL, CallerId(""), 100.0, 0.0), 0.0)
    return gate


def measured(gate: Gate, seconds: float, saturation: Saturation | None = None) -> Saturation:
    """Return the state after so many seconds at one gate."""
    saturation = saturation or make_saturation()
    for _ in range(round(seconds / PERIOD_S)):
        measure(saturation, gate, PERIOD_S)
    return saturation


class TestOwn:
    """The target beside the node."""

    def test_falls_to_the_last_class_within_two_seconds(self) -> None:
        assert measured(full_gate(), 2.0).level < 2.0

    def test_returns_to_all_within_two_seconds(self) -> None:
        saturation = measured(full_gate(), 1.0)
        assert saturation.level < FULL_LEVEL
        assert measured(make_gate(10, adaptive=False), 2.0, saturation).level > 2.5

    def test_idle_takes_all(self) -> None:
        assert measured(make_gate(10, adaptive=False), 1.0).level == FULL_LEVEL

    def test_refusals_count_beyond_a_full_queue(self) -> None:
        gate = full_gate()
        saturation = make_saturation()
        for _ in range(10):
            saturation.arrive()
            saturation.refuse()
        measure(saturation, gate, PERIOD_S)
        assert saturation.value > measured(gate, PERIOD_S).value


class TestHeard:
    """What others tell."""

    def test_mean_of_the_tellers(self) -> None:
        saturation = make_saturation()
        hear_levels(saturation, ONE, A, ((A, 1.0),), 0.0)
        hear_levels(saturation, TWO, A, ((A, 3.0),), 0.0)
        assert level_of(saturation, A, 0.1) == approx(2.0)

    def test_old_news_says_nothing(self) -> None:
        saturation = make_saturation()
        hear_levels(saturation, ONE, A, ((A, 1.0),), 0.0)
        assert level_of(saturation, A, READING_VALID_S + 0.1) == FULL_LEVEL

    def test_gone_tellers_say_nothing(self) -> None:
        saturation = make_saturation()
        hear_levels(saturation, ONE, A, ((A, 1.0),), 0.0)
        forget_tellers(saturation, {TWO})
        assert level_of(saturation, A, 0.1) == FULL_LEVEL

    def test_news_of_the_deepest_service_is_passed_on(self) -> None:
        middle = make_saturation()
        hear_levels(middle, ONE, B, ((B, 3.0), (C, 0.5)), 0.0)
        told = levels_to_tell(middle, A, [B], 0.1)
        assert dict(told) == {A: FULL_LEVEL, B: 3.0, C: 0.5}
        entry = make_saturation()
        hear_levels(entry, TWO, A, told, 0.2)
        assert set(services_below(entry, A, 0.3)) == {B, C}
        assert level_of(entry, C, 0.3) == 0.5

    def test_a_ring_of_services_tells_itself_once(self) -> None:
        saturation = make_saturation()
        hear_levels(saturation, ONE, B, ((B, 3.0), (A, 1.0)), 0.0)
        told = levels_to_tell(saturation, A, [B], 0.1)
        assert [service for service, _ in told].count(A) == 1
