"""Reports of the load generator."""

from collections import Counter
from collections.abc import Iterable, Sequence

from pollenbay.states import CallClass
from standins.load_settings import Phase
from standins.load_state import (
    ClassReport,
    LoadReport,
    LoadState,
    Recovery,
    RefusalCount,
    RequestRecord,
    Result,
    RunLogComparison,
)
from standins.target_state import RunLog

#: Goodput counts as recovered at this ratio of the base, on average over `RECOVERY_HOLD_S`.
RECOVERED_RATIO = 0.95
RECOVERY_HOLD_S = 3
#: Seconds at the start of the base phase that are left out of the base.
WARM_UP_S = 1
MS_PER_S = 1000.0


def make_report(state: LoadState, phases: Sequence[Phase]) -> LoadReport:
    """Return the report of a finished run."""
    classes = []
    start_s = 0.0
    for phase in phases:
        end_s = start_s + phase.seconds
        arrived = [item for item in state.request_records if start_s <= item.arrived_s < end_s]
        classes += [_class_report(phase, kind, arrived) for kind in CallClass]
        start_s = end_s
    complete = [record for record in state.request_records if record.result is Result.COMPLETE]
    whole_per_s = _per_second((record.ended_s for record in complete), start_s)
    refusals = [RefusalCount(item, count) for item, count in state.refusals.most_common()]
    recovery = _recovery(state.request_records, whole_per_s, phases)
    return LoadReport(classes, recovery, whole_per_s, refusals)


def compare_with_run_logs(state: LoadState, logs: Iterable[RunLog]) -> RunLogComparison:
    """Compare the results that callers received with the run logs of the targets."""
    runs = Counter(
        (run.call, run.idempotency_key)
        for log in logs
        for run in log.runs
        if run.idempotency_key is not None
    )
    root_keys = {key.partition("/")[0] for _, key in runs}
    reported_not_run = [
        item.key for item in state.request_records if item.key and item.all_reported_not_run
    ]
    return RunLogComparison(
        keys_run=len(runs),
        doubled=sum(count > 1 for count in runs.values()),
        run_after_all=sum(key in root_keys for key in reported_not_run),
    )


def format_table(report: LoadReport) -> str:
    """Return the report as a text table."""
    head = ("phase", "class", "sent", "tries", "whole", "whole/s", "not run", "unknown")
    head += ("failed", "wrong", "not sent", "p50 ms", "p99 ms")
    rows = [head] + [_cells(item) for item in report.classes if item.sent or item.not_sent]
    widths = [max(len(row[column]) for row in rows) for column in range(len(head))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    lines += [_refusal_line(count) for count in report.refusals]
    lines.append(f"whole answers in the base: {_percent(report.recovery.base_share)}")
    lines.append(f"recovery by goodput: {_seconds(report.recovery.goodput_s)}")
    lines.append(f"recovery by share of whole answers: {_seconds(report.recovery.share_s)}")
    if report.truth is not None:
        lines.append(
            f"keyed calls run: {report.truth.keys_run}, more than once: {report.truth.doubled}, "
            f"run though told not run: {report.truth.run_after_all}"
        )
    return "\n".join(lines)


def _class_report(phase: Phase, kind: CallClass, arrived: list[RequestRecord]) -> ClassReport:
    records = [record for record in arrived if record.call_class is kind]
    results = Counter(record.result for record in records)
    times_ms = sorted(
        (record.ended_s - record.arrived_s) * MS_PER_S
        for record in records
        if record.result is Result.COMPLETE
    )
    return ClassReport(
        phase=phase.name,
        call_class=kind,
        sent=len(records) - results[Result.NOT_SENT],
        attempts=sum(len(record.attempts) for record in records),
        whole=results[Result.COMPLETE],
        goodput_per_s=results[Result.COMPLETE] / phase.seconds,
        not_run=results[Result.NOT_RUN],
        unknown=results[Result.UNKNOWN],
        failed=results[Result.FAILED],
        wrong=results[Result.WRONG],
        not_sent=results[Result.NOT_SENT],
        p50_ms=_percentile(times_ms, 0.50),
        p99_ms=_percentile(times_ms, 0.99),
    )


def _percentile(ordered: list[float], ratio: float) -> float | None:
    if not ordered:
        return None
    return ordered[min(int(len(ordered) * ratio), len(ordered) - 1)]


def _per_second(times_s: Iterable[float], duration_s: float) -> list[int]:
    counts = [0] * int(duration_s)
    for time_s in times_s:
        if time_s < len(counts):
            counts[int(time_s)] += 1
    return counts


def _recovery(
    records: list[RequestRecord], whole_per_s: list[int], phases: Sequence[Phase]
) -> Recovery:
    if len(phases) < 3:
        return Recovery(None, None, None)
    base_s = int(phases[0].seconds)
    surge_end_s = int(phases[0].seconds + phases[1].seconds)
    sent = _per_second((record.arrived_s for record in records), len(whole_per_s))
    complete_by_arrival = (item.arrived_s for item in records if item.result is Result.COMPLETE)
    complete = _per_second(complete_by_arrival, len(whole_per_s))
    shares = [done / total if total else 1.0 for done, total in zip(complete, sent, strict=True)]
    base_sent = sum(sent[WARM_UP_S:base_s])
    return Recovery(
        base_share=sum(complete[WARM_UP_S:base_s]) / base_sent if base_sent else None,
        goodput_s=_recovery_time_s(whole_per_s, base_s, surge_end_s),
        share_s=_recovery_time_s(shares, base_s, surge_end_s),
    )


def _recovery_time_s(series: Sequence[float], base_s: int, surge_end_s: int) -> float | None:
    base = series[WARM_UP_S:base_s]
    if not base:
        return None
    threshold = RECOVERED_RATIO * sum(base) / len(base)
    for second in range(surge_end_s, len(series) - RECOVERY_HOLD_S + 1):
        if sum(series[second : second + RECOVERY_HOLD_S]) / RECOVERY_HOLD_S >= threshold:
            return float(second - surge_end_s)
    return None


def _cells(item: ClassReport) -> tuple[str, ...]:
    return (
        item.phase,
        item.call_class.value,
        str(item.sent),
        str(item.attempts),
        str(item.whole),
        f"{item.goodput_per_s:.1f}",
        str(item.not_run),
        str(item.unknown),
        str(item.failed),
        str(item.wrong),
        str(item.not_sent),
        _milliseconds(item.p50_ms),
        _milliseconds(item.p99_ms),
    )


def _refusal_line(count: RefusalCount) -> str:
    refusal = count.refusal
    return f"{refusal.call}: {refusal.result.value}, {refusal.reason}: {count.attempts} attempts"


def _milliseconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"


def _seconds(value: float | None) -> str:
    return "not seen" if value is None else f"{value:.0f} s"


def _percent(value: float | None) -> str:
    return "not seen" if value is None else f"{value:.1%}"
