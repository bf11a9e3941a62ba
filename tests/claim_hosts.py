"""Ledgers of several hosts that share one table double, for tests of claims."""

from collections.abc import Awaitable, Callable
from unittest.mock import patch

from curio import Kernel, spawn, timeout_after
from table_double import ManualTimer, TableDouble

from pollenbay.claim import (
    ClaimRequest,
    decode_row,
    fingerprint_of,
    row_key_of,
)
from pollenbay.commands.claim import (
    drain_ledger,
)
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

SERVICE = ServiceName("bookings")
CALL = CallName("book")
CALLER = CallerId("mill")
CALL_TIMEOUT_S = 10.0
DRAIN_TIMEOUT_S = 5.0
RESPONSE = Answered(201, [(b"content-type", b"text/plain")], b"booked")


class Hosts:
    """Ledgers of several hosts that share a table and a clock."""

    def __init__(self, table: TableDouble) -> None:
        self.table = table
        self.timer = ManualTimer()

    async def start(self, name: str, gap_s: float = 0.0) -> Ledger:
        """Return a running ledger."""
        ledger = make_ledger(
            self.table, InstanceId(name), Incarnation(1), self.timer, gap_s=gap_s
        )  # type: ignore[arg-type]
        ledger.clock = self.timer.now
        await spawn(ledger.run, daemon=True)
        return ledger

    def request(self, key: str = "k1", body: bytes = b"one bale") -> ClaimRequest:
        """Return a request whose deadline is `CALL_TIMEOUT_S` from now."""
        fingerprint = fingerprint_of(SERVICE, CALL, "POST", "/book", body)
        deadline = self.timer.time_s + CALL_TIMEOUT_S
        return ClaimRequest(SERVICE, CALL, CALLER, IdempotencyKey(key), fingerprint, deadline)

    def row(self, key: str = "k1"):
        """Return the value of the row of a key, or None."""
        row = self.table.rows.get(row_key_of(self.request(key)))
        return None if row is None else decode_row(row.value).unwrap()


def run_test(test: Callable[[Hosts], Awaitable[None]]) -> None:
    """Run a test on its own kernel, within a multiple of `DRAIN_TIMEOUT_S`."""
    with (
        patch("pollenbay.commands.record.RETRY_DELAY_MIN_S", 0.005),
        patch("pollenbay.commands.record.RETRY_DELAY_MAX_S", 0.01),
        Kernel() as kernel,
    ):
        kernel.run(timeout_after, 4 * DRAIN_TIMEOUT_S, test, Hosts(TableDouble()))


async def drain_records(ledger: Ledger) -> None:
    """Wait for the pending records to be written and check that none is left."""
    assert await drain_ledger(ledger, DRAIN_TIMEOUT_S) == 0
