"""Table double with the methods of the client, each suspended until the driver supplies a fault."""

from collections.abc import Coroutine, Generator, Iterable
from enum import Enum
from types import coroutine
from typing import Any

from result import Err, Ok, Result

from pollenbay.badrows import make_bad_rows
from pollenbay.ids import RowKey, RowVersion
from pollenbay.table import (
    Check,
    Row,
    TableConflictError,
    TableError,
    TableUnavailableError,
    TableUnknownError,
    Transaction,
    Write,
)


class Fault(Enum):
    """Fault of one request."""

    NONE = "none"
    DOWN = "down"
    LOST_AFTER = "lost-after"
    LOST_BEFORE = "lost-before"
    DELAYED = "delayed"
    STALE = "stale"


class TableDouble:
    """Rows in memory; stale reads return the rows of the last `snapshot`."""

    def __init__(self) -> None:
        self.bad_rows = make_bad_rows()
        self.rows: dict[RowKey, Row] = {}
        self.applied: list[Transaction] = []
        self.delayed: list[Transaction] = []
        self._versions: dict[RowKey, int] = {}
        self._stale: dict[RowKey, Row] = {}

    def snapshot(self) -> None:
        """Make stale reads return the current rows."""
        self._stale = dict(self.rows)

    def deliver(self, index: int) -> None:
        """Apply a delayed transaction."""
        self.apply(self.delayed.pop(index))

    def apply(self, transaction: Transaction) -> RowKey | None:
        """Apply a transaction; return the key whose check failed."""
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                return check.key
        for write in transaction.writes:
            self.apply_write(write)
        self.applied.append(transaction)
        return None

    def apply_write(self, write: Write) -> None:
        """Write one row without checks."""
        if write.value is None:
            self.rows.pop(write.key, None)
            return
        version = self._versions.get(write.key, 0) + 1
        self._versions[write.key] = version
        self.rows[write.key] = Row(write.key, RowVersion(version), write.value)

    async def get(self, key: RowKey) -> Result[Row | None, TableError]:
        """Read one row."""
        rows = await self._read()
        return rows.map(lambda found: found.get(key))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], TableError]:
        """Read rows by prefix."""
        rows = await self._read()
        return rows.map(
            lambda found: [
                found[key] for key in sorted(found) if key.startswith(prefix) and key > after
            ][:limit]
        )

    async def transact(self, checks: list[Check], writes: list[Write]) -> Result[None, TableError]:
        """Apply all writes if all checks hold."""
        fault = await _next_fault()
        transaction = Transaction(list(checks), list(writes))
        if fault is Fault.DOWN:
            return Err(TableUnavailableError("down"))
        if fault is Fault.DELAYED:
            self.delayed.append(transaction)
        if fault in (Fault.DELAYED, Fault.LOST_BEFORE):
            return Err(TableUnknownError("lost"))
        failed = self.apply(transaction)
        if fault is Fault.LOST_AFTER:
            return Err(TableUnknownError("lost"))
        return Ok(None) if failed is None else Err(TableConflictError(failed))

    async def _read(self) -> Result[dict[RowKey, Row], TableError]:
        fault = await _next_fault()
        if fault is Fault.STALE:
            return Ok(self._stale)
        if fault is Fault.NONE:
            return Ok(self.rows)
        return Err(TableUnavailableError("down"))


@coroutine
def _next_fault() -> Generator[None, Fault, Fault]:
    return (yield)


def drive(operation: Coroutine[None, Fault, Any], faults: Iterable[Fault] = ()) -> Any:
    """Run a coroutine to completion, with one fault per request and none after the last."""
    planned = iter(faults)
    fault: Fault | None = None
    while True:
        try:
            operation.send(fault)
        except StopIteration as stop:
            return stop.value
        fault = next(planned, Fault.NONE)
