"""Group commit: single-row changes of many tasks are written in shared table transactions."""

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
QUEUE_ROWS_MAX = 1024
WRITER_TASKS = 2


class BatchError(Exception):
    """Base class of the errors of this layer."""


class BatchFullError(BatchError):
    """The queue is full; the change was not queued."""


class WriteState(Enum):
    """Progress of one change; the last four states are final."""

    QUEUED = "queued"
    SENT = "sent"
    APPLIED = "applied"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Change(Struct, frozen=True):
    """New value of one row, conditional on its version.

    :param version: expected version; 0 requires that the row is absent.
    """

    key: RowKey
    version: RowVersion
    value: bytes


class PendingWrite:
    """One change on its way to the table.

    :param due: monotonic seconds by which it should be sent.
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
    def due_at(self) -> float:
        """Return the monotonic seconds by which it should be sent."""
        return self._due

    @property
    def state(self) -> WriteState:
        """Return its progress."""
        return self._state

    @property
    def may_apply(self) -> bool:
        """Return whether the change has been applied or may still be applied."""
        return self._state in (WriteState.SENT, WriteState.APPLIED, WriteState.UNKNOWN)

    async def wait(self) -> WriteState:
        """Wait for the final state and return it."""
        await self._final.wait()
        return self._state

    def mark_sent(self) -> None:
        """Mark the change as sent to the table."""
        self._state = WriteState.SENT

    async def finish(self, state: WriteState) -> None:
        """Set the final state and wake all waiting tasks."""
        self._state = state
        await self._final.set()


class Batcher:
    """Queue of changes and the tasks that write them.

    An urgent change that finds the queue empty is sent at once. Changes that arrive within the gap
    after it, or while every writer waits for the table, are sent together. A deferred change is
    sent with the next urgent one, or when it is due.

    :param gap_s: minimum seconds between the starts of two transactions.
    """

    def __init__(self, table: Table, gap_s: float = BATCH_GAP_S) -> None:
        self._table = table
        self._gap_s = gap_s
        self._urgent: deque[PendingWrite] = deque()
        self._deferred: deque[PendingWrite] = deque()
        self._urgent_arrived = Event()
        self._deferred_arrived = Event()
        self._next_start_at = 0.0
        self._transactions = 0
        self._rows = 0

    @property
    def transactions(self) -> int:
        """Return the number of transactions sent."""
        return self._transactions

    @property
    def rows(self) -> int:
        """Return the number of rows sent; a row resent after a conflict counts again."""
        return self._rows

    @property
    def queued(self) -> int:
        """Return the number of queued changes."""
        return len(self._urgent) + len(self._deferred)

    async def submit(
        self, change: Change, max_delay_s: float = 0.0
    ) -> Result[PendingWrite, BatchFullError]:
        """Queue a change.

        :param max_delay_s: maximum seconds for which it waits for others; 0 makes it urgent.
        """
        if self.queued >= QUEUE_ROWS_MAX:
            return Err(BatchFullError(f"write queue is full: {self.queued} changes queued"))
        pending = PendingWrite(change, monotonic() + max_delay_s)
        if max_delay_s > 0.0:
            self._deferred.append(pending)
            await self._deferred_arrived.set()
        else:
            self._urgent.append(pending)
            await self._urgent_arrived.set()
        return Ok(pending)

    def withdraw(self, pending: PendingWrite) -> bool:
        """Remove a change that is still queued; return False if it was already sent."""
        for queue in (self._urgent, self._deferred):
            if pending in queue:
                queue.remove(pending)
                return True
        return False

    async def run(self) -> None:
        """Write until cancelled.

        A task that fails cancels the others, and its error is raised.
        """
        async with TaskGroup(wait=any) as group:
            for _ in range(WRITER_TASKS):
                await group.spawn(self._run_writer)
            await group.spawn(self._run_promoter)
        return group.result

    async def _run_writer(self) -> None:
        while True:
            await self._wait_for_work()
            if await self._wait_for_gap():
                await self._send(self._take_batch())

    async def _wait_for_work(self) -> None:
        while not self._urgent:
            self._urgent_arrived.clear()
            await self._urgent_arrived.wait()

    async def _run_promoter(self) -> None:
        while True:
            while not self._deferred:
                self._deferred_arrived.clear()
                await self._deferred_arrived.wait()
            await sleep(max(self._deferred[0].due_at - monotonic(), 0.0))
            await self._promote_due(monotonic())

    async def _promote_due(self, now: float) -> None:
        while self._deferred and self._deferred[0].due_at <= now:
            self._urgent.append(self._deferred.popleft())
        if self._urgent:
            await self._urgent_arrived.set()

    async def _wait_for_gap(self) -> bool:
        remaining_s = self._next_start_at - monotonic()
        if remaining_s > 0.0:
            await sleep(remaining_s)
            return False
        self._next_start_at = monotonic() + self._gap_s
        return True

    def _take_batch(self) -> list[PendingWrite]:
        batch: list[PendingWrite] = []
        for queue in (self._urgent, self._deferred):
            while queue and _fits_batch(batch, queue[0]):
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
        state = _write_state_of(result)
        if state is WriteState.CONFLICT and len(batch) > 1:
            for half in _halves(batch):
                await self._send(half)
            return
        for pending in batch:
            await pending.finish(state)


def make_batcher(table: Table, gap_s: float = BATCH_GAP_S) -> Batcher:
    """Return a batcher with an empty queue; its owner runs it in a task."""
    return Batcher(table, gap_s)


def _fits_batch(batch: list[PendingWrite], pending: PendingWrite) -> bool:
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


def _write_state_of(result: Result[None, TableError]) -> WriteState:
    if isinstance(result, Ok):
        return WriteState.APPLIED
    error = result.unwrap_err()
    if isinstance(error, TableConflictError):
        return WriteState.CONFLICT
    if isinstance(error, TableUnavailableError):
        return WriteState.REFUSED
    return WriteState.UNKNOWN
