"""Removal of claim rows that are past their retention, one page at a time from a random key.

Every node sweeps independently; concurrent sweeps are safe, since each removal requires the row
version that was read.
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
START_KEY_BYTES = 8


async def run_sweeper(ledger: Ledger) -> None:
    """Sweep once in a period, and repeat while at least half of a full page was removed."""
    ticks = ledger.timer.subscribe(SWEEP_PERIOD_S)
    await sleep(random() * SWEEP_PERIOD_S)
    while True:
        await ticks.wait()
        while await sweep_page(ledger, random_start_key()) >= SWEEP_PAGE_ROWS // 2:
            await sleep(SWEEP_GAP_S)


async def sweep_page(ledger: Ledger, after: str) -> int:
    """Remove the expired rows from one page and return their number.

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


def random_start_key() -> str:
    """Return a random key in the range of the claims, at which a sweep starts."""
    return f"{CLAIM_PREFIX}{token_hex(START_KEY_BYTES)}"


@singledispatch
def retention_start_epoch_s(row: AnyClaimRow) -> float:
    """Return the time from which the retention of a row counts, in seconds since the epoch.

    :raises TypeError: if no handler is registered for the type of the row.
    """
    raise TypeError(f"unsupported claim row type: {type(row).__name__}")


@retention_start_epoch_s.register
def _(row: ClaimRow) -> float:
    return row.written_epoch_s


@retention_start_epoch_s.register
def _(row: ClaimedRow) -> float:
    return max(row.written_epoch_s, row.deadline_epoch_s)


def _is_expired(ledger: Ledger, row: Row) -> bool:
    value = decode_row(row.value)
    if isinstance(value, Err):
        ledger.counts.unreadable += 1
        return False
    return retention_start_epoch_s(value.unwrap()) + ledger.retention_s < ledger.clock()
