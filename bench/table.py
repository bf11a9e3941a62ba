"""Table of figures of the deployments. As a program, it prints lines kept by earlier runs."""

from pathlib import Path

import click
from msgspec import Struct
from msgspec.json import decode

from pollenbay.states import CallClass
from standins.load_state import ClassReport, LoadReport

HEAD = ("deployment", "scenario", "variant", "critical/s", "normal/s", "sheddable/s", "whole part")
HEAD += ("p99 crit ms", "recovery s", "deep tries", "wrong", "doubled", "told not run")


class Figures(Struct):
    """Figures of one run.

    :param deep_tries: calls that reached targets of the deepest service, by request needing it.
    """

    deployment: str
    scenario: str
    variant: str
    report: LoadReport
    deep_tries: float


def format_figures(rows: list[Figures]) -> str:
    """Return a table for a terminal."""
    cells = [HEAD] + [_cells(row) for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(HEAD))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )


def _cells(row: Figures) -> tuple[str, ...]:
    report, truth = row.report, row.report.truth
    recovery_s = report.recovery.share_s
    goodputs = (_by_phase(report, kind, _goodput) for kind in CallClass)
    return (
        row.deployment,
        row.scenario,
        row.variant,
        *goodputs,
        _parts(report),
        _by_phase(report, CallClass.CRITICAL, _p99),
        "not seen" if recovery_s is None else f"{recovery_s:.0f}",
        f"{row.deep_tries:.2f}",
        str(sum(item.wrong for item in report.classes)),
        str(truth.doubled),
        str(truth.run_after_all),
    )


def _by_phase(report: LoadReport, kind: CallClass, cell) -> str:
    items = [item for item in report.classes if item.call_class is kind]
    if not any(item.sent for item in items):
        return "-"
    return " / ".join(cell(item) for item in items)


def _goodput(item: ClassReport) -> str:
    return f"{item.goodput_per_s:.0f}"


def _p99(item: ClassReport) -> str:
    return "-" if item.p99_ms is None else f"{item.p99_ms:.0f}"


def _parts(report: LoadReport) -> str:
    names = list(dict.fromkeys(item.phase for item in report.classes))
    return " / ".join(f"{_part(report, name):.0%}" for name in names)


def _part(report: LoadReport, phase: str) -> float:
    items = [item for item in report.classes if item.phase == phase]
    asked = sum(item.sent + item.not_sent for item in items)
    return sum(item.whole for item in items) / asked if asked else 1.0


@click.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
def main(file: Path) -> None:
    """Print the figures kept in a file."""
    click.echo(format_figures([decode(line, type=Figures) for line in file.open("rb")]))


if __name__ == "__main__":
    main()
