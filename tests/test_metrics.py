"""Metrics: label values stay bounded, and counts of parts are offered."""

from dataclasses import dataclass

from prometheus_client import generate_latest

from pollenbay.ids import CallerId
from pollenbay.metrics import CALLER_LABELS_MAX, OTHER_CALLERS, make_metrics
from pollenbay.states import CallClass, Reason


@dataclass
class Part:
    """A part with one count."""

    things: int = 3


class TestLabels:
    """Bounds on label values."""

    def test_callers_past_the_limit_share_one(self) -> None:
        metrics = make_metrics()
        for number in range(CALLER_LABELS_MAX + 20):
            metrics.note_call(CallClass.NORMAL, "answered", CallerId(f"c{number}"), 0.01)
        text = generate_latest(metrics.registry).decode()
        assert text.count("pollenbay_caller_seconds_count") == CALLER_LABELS_MAX + 1
        assert f'pollenbay_caller_seconds_count{{caller="{OTHER_CALLERS}"}} 20.0' in text

    def test_refusals_by_class_and_reason(self) -> None:
        metrics = make_metrics()
        metrics.note_refusal(None, Reason.UNKNOWN_CALL)
        metrics.note_refusal(CallClass.SHEDDABLE, Reason.OVERLOAD)
        text = generate_latest(metrics.registry).decode()
        assert 'pollenbay_refused_total{call_class="none",reason="unknown-call"} 1.0' in text
        assert 'pollenbay_refused_total{call_class="sheddable",reason="overload"} 1.0' in text


class TestCounts:
    """Counts that other parts keep."""

    def test_read_when_asked(self) -> None:
        metrics, part = make_metrics(), Part()
        metrics.add_counts("pollenbay_part", part, ("things",))
        part.things += 4
        assert "pollenbay_part_things_total 7.0" in generate_latest(metrics.registry).decode()
