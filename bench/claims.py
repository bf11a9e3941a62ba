"""Latency of a claim and the number of rows in a transaction, at several rates.

``PYTHONPATH=src python bench/claims.py [--quick]`` prints the tables of docs/CLAIMS.md. The
database table is a stand-in that runs as a separate process on the same machine.
"""

from collections.abc import Callable
from statistics import quantiles
from subprocess import PIPE, Popen
from sys import executable
from time import perf_counter, time

from click import command, echo, option
from curio import TaskGroup, run, sleep, spawn
from msgspec import Struct
from msgspec.json import decode

from pollenbay.claim import Claim, ClaimRequest, fingerprint_of
from pollenbay.commands.claim import acquire_claim, drain_ledger, record_response
from pollenbay.ids import (
    CallerId,
    CallName,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    ServiceName,
)
from pollenbay.ledger import Ledger, make_ledger
from pollenbay.outcome import Answered
from pollenbay.table import make_table
from pollenbay.timer import make_timer

ADDRESS = "127.0.0.1"
SERVICE = ServiceName("bookings")
CALL = CallName("book")
CALLER = CallerId("mill")
ANSWER = Answered(201, [(b"content-type", b"application/json")], b"x" * 200)
RATES_PER_S = (20, 100, 300, 600)
GAPS_S = (0.0, 0.005, 0.02)
RUN_S = 4.0
QUICK_RUN_S = 0.5
DEADLINE_S = 30.0
DRAIN_S = 20.0
MS_PER_S = 1000.0


class ReadyLine(Struct):
    """Line that the stand-in prints once it accepts connections."""

    port: int


class Figures(Struct):
    """Result of one run.

    :param gap_s: minimum time between the starts of two transactions.
    :param latencies_s: latency of each granted claim.
    """

    rate_per_s: float
    gap_s: float
    latencies_s: list[float]
    refused: int
    transactions: int
    rows: int
    elapsed_s: float


@command()
@option("--quick", is_flag=True, help="Short runs, for a quick check.")
def main(quick: bool) -> None:
    """Print the tables."""
    duration_s = QUICK_RUN_S if quick else RUN_S
    with Popen([executable, "-m", "standins.platform"], stdout=PIPE) as platform:
        try:
            port = decode(platform.stdout.readline(), type=ReadyLine).port
            print_rates(port, duration_s)
            print_repeats(port, duration_s)
        finally:
            platform.terminate()


def print_rates(port: int, duration_s: float) -> None:
    """Print latency and rows per transaction for new keys, each claimed and answered."""
    echo("| gap ms | claims/s | p50 ms | p99 ms | refused | transactions/s | rows/transaction |")
    echo("| --- | --- | --- | --- | --- | --- | --- |")
    for gap_s in GAPS_S:
        for rate in RATES_PER_S:
            echo(_format_row(run(_measure, port, rate, gap_s, duration_s, _new_key)))


def print_repeats(port: int, duration_s: float) -> None:
    """Print the same where one claim in four repeats a key whose answer is recorded."""
    echo("\none of four is a repeat of one answered key:\n")
    echo(
        _format_row(
            run(_measure, port, RATES_PER_S[2], GAPS_S[1], duration_s, _partly_repeated_key)
        )
    )


def _format_row(figures: Figures) -> str:
    cuts_s = quantiles(figures.latencies_s, n=100)
    return (
        f"| {figures.gap_s * MS_PER_S:.0f} | {len(figures.latencies_s) / figures.elapsed_s:.0f}"
        f" | {cuts_s[49] * MS_PER_S:.1f} | {cuts_s[98] * MS_PER_S:.1f} | {figures.refused}"
        f" | {figures.transactions / figures.elapsed_s:.0f}"
        f" | {figures.rows / max(figures.transactions, 1):.1f} |"
    )


def _new_key(number: int) -> str:
    return str(number)


def _partly_repeated_key(number: int) -> str:
    return "repeated" if number % 4 == 0 else str(number)


async def _measure(
    port: int, rate_per_s: float, gap_s: float, duration_s: float, make_key: Callable[[int], str]
) -> Figures:
    timer = make_timer()
    instance = InstanceId(f"b{time()}")
    ledger = make_ledger(make_table(ADDRESS, port), instance, Incarnation(1), timer, gap_s)
    tasks = [await spawn(task_function, daemon=True) for task_function in (timer.run, ledger.run)]
    figures = Figures(rate_per_s, gap_s, [], 0, 0, 0, 0.0)
    started = perf_counter()
    await _generate_claims(ledger, figures, duration_s, make_key)
    figures.elapsed_s = perf_counter() - started
    await drain_ledger(ledger, DRAIN_S)
    figures.transactions, figures.rows = ledger.batcher.transactions, ledger.batcher.rows
    for task in tasks:
        await task.cancel()
    return figures


async def _generate_claims(
    ledger: Ledger, figures: Figures, duration_s: float, make_key: Callable[[int], str]
) -> None:
    started = perf_counter()
    async with TaskGroup() as group:
        for number in range(int(duration_s * figures.rate_per_s)):
            due = started + number / figures.rate_per_s
            await sleep(max(due - perf_counter(), 0.0))
            await group.spawn(_claim_and_answer, ledger, figures, make_key(number))


async def _claim_and_answer(ledger: Ledger, figures: Figures, key: str) -> None:
    request = ClaimRequest(
        service=SERVICE,
        call=CALL,
        caller=CallerId(f"{CALLER}-{ledger.instance}"),
        key=IdempotencyKey(key),
        fingerprint=fingerprint_of(SERVICE, CALL, "POST", "/book", b"one bale"),
        deadline_epoch_s=time() + DEADLINE_S,
    )
    started = perf_counter()
    outcome = await acquire_claim(ledger, request)
    if isinstance(outcome, Claim):
        figures.latencies_s.append(perf_counter() - started)
        await record_response(ledger, outcome, ANSWER)
    else:
        figures.refused += 1


if __name__ == "__main__":
    main()
