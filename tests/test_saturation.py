"""Tests of admission levels: they follow a target's saturation and propagate with responses."""

from types import SimpleNamespace

from pytest import approx

from pollenbay.arrival import Arrival
from pollenbay.commands.admission import admit
from pollenbay.commands.saturation import (
    drop_departed_reporters,
    record_levels,
    record_local,
    refresh_service_levels,
    update_admission_level,
)
from pollenbay.gate import Gate, make_gate
from pollenbay.ids import CallerId, InstanceId, ServiceName
from pollenbay.queries.feedback import local_levels
from pollenbay.queries.saturation import (
    fails_on_its_own,
    level_age_s,
    levels_to_report,
    reported_downstream,
    service_level,
)
from pollenbay.saturation import FULL_LEVEL, LEVEL_REPORT_VALID_S, Saturation, make_saturation
from pollenbay.states import CallClass, TargetState

PERIOD_S = 0.1
A, B, C = ServiceName("a"), ServiceName("b"), ServiceName("c")
ONE, TWO = InstanceId("1"), InstanceId("2")


def make_full_gate() -> Gate:
    """Return a gate whose slots are all occupied and whose queue is full."""
    gate = make_gate(10, adaptive=False)
    for _ in range(100):
        admit(gate, Arrival(CallClass.NORMAL, CallerId(""), 100.0, 0.0), 0.0)
    return gate


def measure_for(gate: Gate, seconds: float, saturation: Saturation | None = None) -> Saturation:
    """Return the saturation after measuring a gate for the given number of seconds."""
    saturation = saturation or make_saturation()
    for _ in range(round(seconds / PERIOD_S)):
        update_admission_level(saturation, gate, PERIOD_S)
    return saturation


class TestLocalLevel:
    """The admission level of the local target."""

    def test_level_falls_to_the_last_class_within_two_seconds(self) -> None:
        assert measure_for(make_full_gate(), 2.0).level < 2.0

    def test_level_recovers_within_two_seconds(self) -> None:
        saturation = measure_for(make_full_gate(), 1.0)
        assert saturation.level < FULL_LEVEL
        assert measure_for(make_gate(10, adaptive=False), 2.0, saturation).level > 2.5

    def test_idle_target_admits_full_demand(self) -> None:
        assert measure_for(make_gate(10, adaptive=False), 1.0).level == FULL_LEVEL

    def test_refusals_raise_saturation_beyond_a_full_queue(self) -> None:
        gate = make_full_gate()
        saturation = make_saturation()
        for _ in range(10):
            saturation.record_arrival()
            saturation.record_refusal()
        update_admission_level(saturation, gate, PERIOD_S)
        assert saturation.value > measure_for(gate, PERIOD_S).value


class TestReportedLevels:
    """Admission levels that other instances report."""

    def test_level_is_the_mean_over_reporters(self) -> None:
        saturation = make_saturation()
        record_levels(saturation, ONE, A, ((A, 1.0),), 0.0)
        record_levels(saturation, TWO, A, ((A, 3.0),), 0.0)
        assert service_level(saturation, A, 0.1) == approx(2.0)

    def test_newer_reports_outweigh_older_ones(self) -> None:
        saturation = make_saturation()
        stale = [InstanceId(f"stale-{number}") for number in range(9)]
        for reporter in stale:
            record_levels(saturation, reporter, A, ((A, 3.0),), 0.0)
        record_levels(saturation, ONE, A, ((A, 0.0),), 1.0)
        assert service_level(saturation, A, 1.0) < 0.75

    def test_age_is_passed_on_with_the_level(self) -> None:
        middle, entry = make_saturation(), make_saturation()
        record_levels(middle, ONE, B, ((C, 0.5),), 0.0, (0.3,))
        age_s = level_age_s(middle, C, 0.4)
        assert age_s == approx(0.7)
        record_levels(entry, TWO, A, ((C, 0.5),), 5.0, (age_s,))
        assert level_age_s(entry, C, 5.0) == approx(0.7)

    def test_target_that_serves_nothing_reports_no_level(self) -> None:
        node = SimpleNamespace(
            saturation=make_saturation(),
            settings=SimpleNamespace(service=A),
            target=SimpleNamespace(state=TargetState.SERVING),
            downstream_called_at={B: 0.0},
        )
        assert [service for service, _ in local_levels(node, 1.0)] == [A, B]
        for state in (TargetState.LEAVING, TargetState.ABSENT):
            node.target.state = state
            assert [service for service, _ in local_levels(node, 1.0)] == [B]

    def test_own_report_does_not_renew_the_levels_of_others(self) -> None:
        saturation = make_saturation()
        record_levels(saturation, ONE, B, ((B, 1.0),), 0.0)
        for tick in range(1, 40):
            now = tick * PERIOD_S
            record_local(saturation, TWO, levels_to_report(saturation, A, [B], now), A, now)
        assert service_level(saturation, B, now) == FULL_LEVEL
        assert reported_downstream(saturation, A, now) == [B]

    def test_failure_is_that_of_the_target_unless_a_service_below_lacks_capacity(self) -> None:
        saturation = make_saturation()
        assert fails_on_its_own(saturation, A)
        for level, expected in ((FULL_LEVEL, True), (2.9, False)):
            record_levels(saturation, ONE, A, ((A, 0.0), (B, level)), 0.0)
            refresh_service_levels(saturation, 0.0)
            assert fails_on_its_own(saturation, A) is expected

    def test_expired_level_reports_are_ignored(self) -> None:
        saturation = make_saturation()
        record_levels(saturation, ONE, A, ((A, 1.0),), 0.0)
        assert service_level(saturation, A, LEVEL_REPORT_VALID_S + 0.1) == FULL_LEVEL

    def test_levels_of_departed_reporters_are_ignored(self) -> None:
        saturation = make_saturation()
        record_levels(saturation, ONE, A, ((A, 1.0),), 0.0)
        drop_departed_reporters(saturation, {TWO})
        assert service_level(saturation, A, 0.1) == FULL_LEVEL

    def test_level_of_the_deepest_service_is_forwarded(self) -> None:
        middle = make_saturation()
        record_levels(middle, ONE, B, ((B, 3.0), (C, 0.5)), 0.0)
        reported = levels_to_report(middle, A, [B], 0.1)
        assert dict(reported) == {A: FULL_LEVEL, B: 3.0, C: 0.5}
        entry = make_saturation()
        record_levels(entry, TWO, A, reported, 0.2)
        assert set(reported_downstream(entry, A, 0.3)) == {B, C}
        assert service_level(entry, C, 0.3) == 0.5

    def test_cycle_of_services_reports_each_service_once(self) -> None:
        saturation = make_saturation()
        record_levels(saturation, ONE, B, ((B, 3.0), (A, 1.0)), 0.0)
        reported = levels_to_report(saturation, A, [B], 0.1)
        assert [service for service, _ in reported].count(A) == 1
