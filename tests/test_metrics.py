"""Tests of metrics: bounded label values, histograms, gauges and counts kept by components."""

from dataclasses import dataclass

from prometheus_client import generate_latest
from pytest import approx

from pollenbay.ids import CallerId
from pollenbay.metrics import CALLER_LABELS_MAX, MEMBERS, OTHER_CALLERS_LABEL, make_metrics
from pollenbay.outcome import Unknown
from pollenbay.states import CallClass, Reason


@dataclass
class Component:
    """A component with one count."""

    things: int = 3


class TestLabels:
    def test_callers_over_the_limit_share_one_label(self) -> None:
        metrics = make_metrics()
        for number in range(CALLER_LABELS_MAX + 20):
            metrics.record_caller(CallerId(f"c{number}"), 0.01)
        text = generate_latest(metrics.registry).decode()
        assert text.count("pollenbay_caller_seconds_count") == CALLER_LABELS_MAX + 1
        assert f'pollenbay_caller_seconds_count{{caller="{OTHER_CALLERS_LABEL}"}} 20.0' in text

    def test_refusals_are_counted_by_class_and_reason(self) -> None:
        metrics = make_metrics()
        metrics.record_refusal(None, Reason.UNKNOWN_CALL)
        metrics.record_refusal(CallClass.SHEDDABLE, Reason.OVERLOAD)
        text = generate_latest(metrics.registry).decode()
        assert 'pollenbay_refused_total{call_class="none",reason="unknown-call"} 1.0' in text
        assert 'pollenbay_refused_total{call_class="sheddable",reason="overload"} 1.0' in text


class TestSeconds:
    """Call durations by class and outcome."""

    def test_histogram_buckets_are_cumulative(self) -> None:
        metrics = make_metrics()
        for seconds in (0.002, 0.02, 0.02, 60.0):
            metrics.record_call(CallClass.NORMAL, Unknown(Reason.DEADLINE), seconds)
        text = generate_latest(metrics.registry).decode()
        shown = dict(line.rsplit(" ", 1) for line in text.splitlines())
        bucket = 'pollenbay_call_seconds_bucket{call_class="normal",le="%s",outcome="unknown"}'
        counts = [shown[bucket % bound] for bound in ("0.001", "0.0025", "10.0", "+Inf")]
        assert counts == ["0.0", "1.0", "3.0", "4.0"]
        labels = '{call_class="normal",outcome="unknown"}'
        assert shown["pollenbay_call_seconds_count" + labels] == "4.0"
        assert float(shown["pollenbay_call_seconds_sum" + labels]) == approx(60.042)

    def test_gauge_shows_the_last_value(self) -> None:
        metrics = make_metrics()
        metrics.set_gauge(MEMBERS, 3)
        metrics.set_gauge(MEMBERS, 5)
        assert "pollenbay_members 5.0" in generate_latest(metrics.registry).decode()


class TestCounts:
    """Counts kept by other components."""

    def test_counts_are_read_at_collection_time(self) -> None:
        metrics, component = make_metrics(), Component()
        metrics.add_counters("pollenbay_part", component, ("things",))
        component.things += 4
        assert "pollenbay_part_things_total 7.0" in generate_latest(metrics.registry).decode()
