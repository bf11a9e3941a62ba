"""Removal of claims' rows that are past their retention, a page at a time from a random place.

Every node sweeps on its own; two that meet harm nothing, since each removal demands the version
that was read.
"""

from functools import singledispatch
from random import random
from secrets import token_hex

from curio import sleep
from result import Err, Ok

from pollenbay.claim import CLAIM_PREFIX, AnyClaimRow, ClaimedRow, ClaimRow, decode_row
from pollenbay.ledger import Ledger
from pollenbay.table import Check, Row, Write

SWEEP_PERIOD_S = 600.0
SWEEP_PAGE_ROWS = 100
SWEEP_GAP_S = 1.0
PLACE_BYTES = 8


async def run_sweeper(ledger: Ledger) -> None:
    """Sweep once in a period, and on while at least half of a full page was removed."""
    ticks = ledger.timer.subscribe(SWEEP_PERIOD_S)
    await sleep(random() * SWEEP_PERIOD_S)
    while True:
        await ticks.wait()
        while await sweep_page(ledger, random_place()) >= SWEEP_PAGE_ROWS // 2:
            await sleep(SWEEP_GAP_S)


async def sweep_page(ledger: Ledger, after: str) -> int:
    """Remove the rows past their retention from one page and return how many they were.

    :param after: key after which the page starts.
    """
    page = await ledger.table.scan(CLAIM_PREFIX, after, SWEEP_PAGE_ROWS)
    if isinstance(page, Err):
        return 0
    expired = [row for row in page.unwrap() if _is_expired(ledger, row)]
    if not expired:
        return 0
    checks = [Check(row.key, row.version) for row in expired]
    writes = [Write(row.key, None) for row in expired]
    result = await ledger.table.transact(checks, writes)
    removed = len(expired) if isinstance(result, Ok) else 0
    ledger.counts.removed += removed
    return removed


def random_place() -> str:
    """Return a key at a random place among the claims."""
    return f"{CLAIM_PREFIX}{token_hex(PLACE_BYTES)}"


@singledispatch
def settled_epoch_s(row: AnyClaimRow) -> float:
    """Return the seconds since the epoch from which the retention of a row counts.

    :raises TypeError: if no handler is registered for the type of the row.
    """
    raise TypeError(f"not a row of a claim: {type(row).__name__}")


@settled_epoch_s.register
def _(row: ClaimRow) -> float:
    return row.written_epoch_s


@settled_epoch_s.register
def _(row: ClaimedRow) -> float:
    return max(row.written_epoch_s, row.deadline_epoch_s)


def _is_expired(ledger: Ledger, row: Row) -> bool:
    value = decode_row(row.value)
    if isinstance(value, Err):
        ledger.counts.unreadable += 1
        return False
    return settled_epoch_s(value.unwrap()) + ledger.retention_s < ledger.clock()
