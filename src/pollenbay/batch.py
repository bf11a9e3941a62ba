"""Group commit: single-row changes of many tasks go to the table in shared transactions."""

from collections import deque
from collections.abc import Iterator
from enum import Enum
from time import monotonic

from curio import Event, TaskGroup, sleep
from msgspec import Struct
from result import Err, Ok, Result

from pollenbay.ids import RowKey, RowVersion
from pollenbay.table import (
    Check,
    Table,
    TableConflictError,
    TableError,
    TableUnavailableError,
    Write,
)

BATCH_ROWS = 64
BATCH_BYTES = 256 * 1024
BATCH_GAP_S = 0.005
QUEUE_LIMIT_ROWS = 1024
WRITERS = 2


class BatchError(Exception):
    """Root of the errors of this layer."""


class BatchFullError(BatchError):
    """Too many changes wait already; this one was not taken."""


class WriteState(Enum):
    """Progress of one change; the last four are final."""

    QUEUED = "queued"
    SENT = "sent"
    APPLIED = "applied"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Change(Struct, frozen=True):
    """New value of one row, provided that the row has a version.

    :param version: the version demanded; 0 demands that the row is absent.
    """

    key: RowKey
    version: RowVersion
    value: bytes


class PendingWrite:
    """One change on its way to the table.

    :param due: monotonic seconds by which it should leave.
    """

    def __init__(self, change: Change, due: float) -> None:
        self._change = change
        self._due = due
        self._state = WriteState.QUEUED
        self._final = Event()

    @property
    def change(self) -> Change:
        """Return the change."""
        return self._change

    @property
    def due(self) -> float:
        """Return the monotonic seconds by which it should leave."""
        return self._due

    @property
    def state(self) -> WriteState:
        """Return how far it has come."""
        return self._state

    @property
    def may_apply(self) -> bool:
        """Tell whether the change is in force or may still come into force."""
        return self._state in (WriteState.SENT, WriteState.APPLIED, WriteState.UNKNOWN)

    async def wait(self) -> WriteState:
        """Return the final state."""
        await self._final.wait()
        return self._state

    def mark_sent(self) -> None:
        """Note that it has left for the table."""
        self._state = WriteState.SENT

    async def finish(self, state: WriteState) -> None:
        """Set the final state and wake whoever waits."""
        self._state = state
        await self._final.set()


class Batcher:
    """Queue of changes and the tasks that write them.

    An urgent change that finds the queue empty leaves at once; those that come within the gap
    after it, or while every writer waits for the table, leave together. A patient one leaves with
    the next urgent one, or when it is due.

    :param gap_s: least time in seconds between the starts of two transactions.
    """

    def __init__(self, table: Table, gap_s: float = BATCH_GAP_S) -> None:
        self._table = table
        self._gap_s = gap_s
        self._urgent: deque[PendingWrite] = deque()
        self._patient: deque[PendingWrite] = deque()
        self._arrived = Event()
        self._patient_arrived = Event()
        self._next_start = 0.0
        self._transactions = 0
        self._rows = 0

    @property
    def transactions(self) -> int:
        """Return how many transactions were sent."""
        return self._transactions

    @property
    def rows(self) -> int:
        """Return how many rows they held, those sent again after a conflict counted again."""
        return self._rows

    @property
    def queued(self) -> int:
        """Return how many changes wait."""
        return len(self._urgent) + len(self._patient)

    async def submit(
        self, change: Change, patience_s: float = 0.0
    ) -> Result[PendingWrite, BatchFullError]:
        """Queue a change.

        :param patience_s: seconds for which it waits for others; 0 makes it urgent.
        """
        if self.queued >= QUEUE_LIMIT_ROWS:
            return Err(BatchFullError(f"{self.queued} changes wait"))
        pending = PendingWrite(change, monotonic() + patience_s)
        if patience_s > 0.0:
            self._patient.append(pending)
            await self._patient_arrived.set()
        else:
            self._urgent.append(pending)
            await self._arrived.set()
        return Ok(pending)

    def withdraw(self, pending: PendingWrite) -> bool:
        """Take a change back and tell whether it was still queued, so never sent."""
        for queue in (self._urgent, self._patient):
            if pending in queue:
                queue.remove(pending)
                return True
        return False

    async def run(self) -> None:
        """Write until cancelled; a task that fails ends the others and its error is raised."""
        async with TaskGroup(wait=any) as group:
            for _ in range(WRITERS):
                await group.spawn(self._write_each)
            await group.spawn(self._promote_each)
        return group.result

    async def _write_each(self) -> None:
        while True:
            await self._wait_for_work()
            if await self._wait_for_gap():
                await self._send(self._take_batch())

    async def _wait_for_work(self) -> None:
        while not self._urgent:
            self._arrived.clear()
            await self._arrived.wait()

    async def _promote_each(self) -> None:
        while True:
            while not self._patient:
                self._patient_arrived.clear()
                await self._patient_arrived.wait()
            await sleep(max(self._patient[0].due - monotonic(), 0.0))
            await self._promote_due(monotonic())

    async def _promote_due(self, now: float) -> None:
        while self._patient and self._patient[0].due <= now:
            self._urgent.append(self._patient.popleft())
        if self._urgent:
            await self._arrived.set()

    async def _wait_for_gap(self) -> bool:
        left_s = self._next_start - monotonic()
        if left_s > 0.0:
            await sleep(left_s)
            return False
        self._next_start = monotonic() + self._gap_s
        return True

    def _take_batch(self) -> list[PendingWrite]:
        batch: list[PendingWrite] = []
        for queue in (self._urgent, self._patient):
            while queue and _fits(batch, queue[0]):
                batch.append(queue.popleft())
        for pending in batch:
            pending.mark_sent()
        return batch

    async def _send(self, batch: list[PendingWrite]) -> None:
        if not batch:
            return
        self._transactions += 1
        self._rows += len(batch)
        checks = [Check(pending.change.key, pending.change.version) for pending in batch]
        writes = [Write(pending.change.key, pending.change.value) for pending in batch]
        result = await self._table.transact(checks, writes)
        state = _state_of(result)
        if state is WriteState.CONFLICT and len(batch) > 1:
            for half in _halves(batch):
                await self._send(half)
            return
        for pending in batch:
            await pending.finish(state)


def make_batcher(table: Table, gap_s: float = BATCH_GAP_S) -> Batcher:
    """Return a batcher with an empty queue; its owner runs it in a task."""
    return Batcher(table, gap_s)


def _fits(batch: list[PendingWrite], pending: PendingWrite) -> bool:
    if not batch:
        return True
    if len(batch) >= BATCH_ROWS or any(each.change.key == pending.change.key for each in batch):
        return False
    size_bytes = sum(len(each.change.value) for each in batch)
    return size_bytes + len(pending.change.value) <= BATCH_BYTES


def _halves(batch: list[PendingWrite]) -> Iterator[list[PendingWrite]]:
    middle = len(batch) // 2
    yield batch[:middle]
    yield batch[middle:]


def _state_of(result: Result[None, TableError]) -> WriteState:
    if isinstance(result, Ok):
        return WriteState.APPLIED
    error = result.unwrap_err()
    if isinstance(error, TableConflictError):
        return WriteState.CONFLICT
    if isinstance(error, TableUnavailableError):
        return WriteState.REFUSED
    return WriteState.UNKNOWN
