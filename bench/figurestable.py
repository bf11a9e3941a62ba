"""Table of the figures of bench/deployments.py; as a program, prints a file of kept figures."""

from pathlib import Path

import click
from msgspec import Struct
from msgspec.json import decode

from pollenbay.states import CallClass
from standins.load_state import ClassReport, LoadReport

COLUMNS = (
    "deployment",
    "scenario",
    "variant",
    "critical/s",
    "normal/s",
    "sheddable/s",
    "whole part",
)
COLUMNS += ("p99 crit ms", "recovery s", "deep tries", "wrong", "doubled", "told not run")


class RunFigures(Struct):
    """Figures of one run.

    :param deep_tries: calls received by targets of the deepest service, per request that needs it.
    """

    deployment: str
    scenario: str
    variant: str
    report: LoadReport
    deep_tries: float


def format_figures(rows: list[RunFigures]) -> str:
    """Return a plain-text table with right-aligned columns."""
    cells = [COLUMNS] + [_format_row(row) for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(COLUMNS))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )


def _format_row(row: RunFigures) -> tuple[str, ...]:
    report, truth = row.report, row.report.truth
    recovery_s = report.recovery.share_s
    goodputs = (_format_phases(report, kind, _format_goodput) for kind in CallClass)
    return (
        row.deployment,
        row.scenario,
        row.variant,
        *goodputs,
        _format_success_ratios(report),
        _format_phases(report, CallClass.CRITICAL, _format_p99),
        "not seen" if recovery_s is None else f"{recovery_s:.0f}",
        f"{row.deep_tries:.2f}",
        str(sum(item.wrong for item in report.classes)),
        str(truth.doubled),
        str(truth.run_after_all),
    )


def _format_phases(report: LoadReport, call_class: CallClass, format_item) -> str:
    items = [item for item in report.classes if item.call_class is call_class]
    if not any(item.sent for item in items):
        return "-"
    return " / ".join(format_item(item) for item in items)


def _format_goodput(item: ClassReport) -> str:
    return f"{item.goodput_per_s:.0f}"


def _format_p99(item: ClassReport) -> str:
    return "-" if item.p99_ms is None else f"{item.p99_ms:.0f}"


def _format_success_ratios(report: LoadReport) -> str:
    phases = list(dict.fromkeys(item.phase for item in report.classes))
    return " / ".join(f"{_success_ratio(report, name):.0%}" for name in phases)


def _success_ratio(report: LoadReport, phase: str) -> float:
    items = [item for item in report.classes if item.phase == phase]
    requests = sum(item.sent + item.not_sent for item in items)
    return sum(item.whole for item in items) / requests if requests else 1.0


@click.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
def main(file: Path) -> None:
    """Print the figures kept in a file."""
    click.echo(format_figures([decode(line, type=RunFigures) for line in file.open("rb")]))


if __name__ == "__main__":
    main()
