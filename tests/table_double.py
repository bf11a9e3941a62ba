"""In-memory table with the faults that can affect a claim."""

from collections import deque
from enum import Enum

from curio import Event
from result import Err, Ok, Result

from pollenbay.badrows import make_bad_rows
from pollenbay.ids import RowKey, RowVersion
from pollenbay.table import (
    Check,
    Row,
    TableConflictError,
    TableCounts,
    TableError,
    TableUnavailableError,
    TableUnknownError,
    Write,
)
from pollenbay.timer import Timer


class Fault(Enum):
    """Fault of one write."""

    NONE = "none"
    REFUSED = "refused"
    RESPONSE_LOST = "response-lost"
    NOT_ARRIVED = "not-arrived"
    DELAYED = "delayed"


class TableDouble:
    """Applies transactions to a dictionary.

    :param faults: faults of the next writes, one per write.
    :param down: whether reads and writes fail without effect.
    :param gate: if set, writes wait for it before they take effect.
    :param stale_rows: rows that reads return instead of the current ones, if set.
    :param transaction_sizes: number of rows of each requested transaction.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, Row] = {}
        self.versions: dict[RowKey, int] = {}
        self.faults: deque[Fault] = deque()
        self.delayed: list[tuple[list[Check], list[Write]]] = []
        self.down = False
        self.read_down = False
        self.gate: Event | None = None
        self.stale_rows: dict[RowKey, Row] | None = None
        self.transaction_sizes: list[int] = []
        self.reads = 0
        self.bad_rows = make_bad_rows()
        self.counts = TableCounts()

    async def get(self, key: RowKey) -> Result[Row | None, TableError]:
        """Read one row."""
        self.reads += 1
        if self.down or self.read_down:
            return Err(TableUnavailableError("down"))
        rows = self.rows if self.stale_rows is None else self.stale_rows
        return Ok(rows.get(key))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], TableError]:
        """Read rows in the order of their keys."""
        rows = self.rows if self.stale_rows is None else self.stale_rows
        keys = sorted(key for key in rows if key.startswith(prefix) and key > after)
        return Ok([rows[key] for key in keys[:limit]])

    async def transact(self, checks: list[Check], writes: list[Write]) -> Result[None, TableError]:
        """Apply all writes or none, subject to the next fault."""
        self.transaction_sizes.append(len(writes))
        if self.gate is not None:
            await self.gate.wait()
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if self.down or fault is Fault.REFUSED:
            return Err(TableUnavailableError("down"))
        if fault is Fault.NOT_ARRIVED:
            return Err(TableUnknownError("never arrived"))
        if fault is Fault.DELAYED:
            self.delayed.append((checks, writes))
            return Err(TableUnknownError("arrives later"))
        applied = self.apply(checks, writes)
        if fault is Fault.RESPONSE_LOST:
            return Err(TableUnknownError("response lost"))
        return Ok(None) if applied else Err(TableConflictError("conflict"))

    def deliver_delayed(self) -> None:
        """Apply the delayed transactions."""
        delayed, self.delayed = self.delayed, []
        for checks, writes in delayed:
            self.apply(checks, writes)

    def apply(self, checks: list[Check], writes: list[Write]) -> bool:
        """Apply one transaction and return whether its checks held."""
        if any(self._version(check.key) != check.version for check in checks):
            return False
        for write in writes:
            self._put(write)
        return True

    def _version(self, key: RowKey) -> int:
        row = self.rows.get(key)
        return 0 if row is None else row.version

    def _put(self, write: Write) -> None:
        version = self.versions.get(write.key, 0) + 1
        self.versions[write.key] = version
        self.rows.pop(write.key, None)
        if write.value is not None:
            self.rows[write.key] = Row(write.key, RowVersion(version), write.value)


class ManualTimer(Timer):
    """Timer whose clock advances only when a test sets it."""

    def __init__(self, now: float = 1000.0) -> None:
        super().__init__()
        self.time_s = now
        self.epoch_s = now

    def now(self) -> float:
        """Return the time that the test has set."""
        return self.time_s

    def epoch(self) -> float:
        """Return the time of day that the test has set."""
        return self.epoch_s
