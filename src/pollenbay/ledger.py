"""State of the claims held by one node, and the tasks that write them to the table."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from time import time

from curio import Event, TaskGroup
from curio.task import Task

from pollenbay.batch import BATCH_GAP_S, Batcher, make_batcher
from pollenbay.claim import ClaimNonce
from pollenbay.ids import Incarnation, InstanceId, RowKey
from pollenbay.outcomecache import OutcomeCache, make_outcome_cache
from pollenbay.table import Table
from pollenbay.timer import Timer

RETENTION_S = 24 * 3600.0
PURGE_PERIOD_S = 5.0
PENDING_RECORDS_MAX = 1024


@dataclass(slots=True)
class ClaimCounts:
    """Counts of claims and records by result.

    :param granted: claims granted.
    :param repeats: requests answered with the stored response.
    :param duplicates: requests answered as unknown because the first one is still running.
    :param mismatches: requests refused because the key was used for another request.
    :param unsettled: requests answered as unknown because the first one has no known outcome.
    :param unavailable: requests refused because the table was unavailable.
    :param recorded: responses stored.
    :param released: claims released.
    :param lost: responses and releases that were given up.
    :param removed: rows removed after their retention.
    :param unreadable: rows that could not be decoded.
    """

    granted: int = 0
    repeats: int = 0
    duplicates: int = 0
    mismatches: int = 0
    unsettled: int = 0
    unavailable: int = 0
    recorded: int = 0
    released: int = 0
    lost: int = 0
    removed: int = 0
    unreadable: int = 0


@dataclass(slots=True)
class TableHealth:
    """Whether the last table operation of a claim failed.

    :param probe_at: monotonic seconds from which one claim may try a failing table.
    """

    failing: bool = False
    probe_at: float = 0.0


@dataclass(slots=True)
class Ledger:
    """State of the claims of one node; `pollenbay.commands.claim` changes it.

    :param clock: returns seconds since the epoch.
    :param running_claims: claims of this node whose calls are running, with their deadlines.
    :param unsent_nonces: attempts whose call was never sent, although a row may name them.
    :param pending_records: number of responses and releases being written.
    :param outcomes: outcomes recently returned to repeated requests.
    """

    table: Table
    instance: InstanceId
    incarnation: Incarnation
    timer: Timer
    batcher: Batcher
    retention_s: float = RETENTION_S
    clock: Callable[[], float] = time
    running_claims: dict[RowKey, float] = field(default_factory=dict)
    unsent_nonces: set[ClaimNonce] = field(default_factory=set)
    outcomes: OutcomeCache = field(default_factory=make_outcome_cache)
    pending_records: int = 0
    records_written: Event = field(default_factory=Event)
    health: TableHealth = field(default_factory=TableHealth)
    counts: ClaimCounts = field(default_factory=ClaimCounts)
    group: TaskGroup = field(default_factory=TaskGroup)

    async def run(self) -> None:
        """Write changes and purge expired claims until cancelled.

        An error of the writer or of the purge is raised.
        """
        async with self.group as group:
            long_running = {
                await group.spawn(self.batcher.run),
                await group.spawn(self._purge_expired),
            }
            async for task in group:
                task.joined = True
                if task in long_running:
                    return task.result

    async def spawn(self, work: Callable[..., Awaitable[None]], *args: object) -> Task:
        """Run a task that outlives the one that starts it."""
        return await self.group.spawn(work, *args)

    async def _purge_expired(self) -> None:
        ticks = self.timer.subscribe(PURGE_PERIOD_S)
        while True:
            await ticks.wait()
            now = self.clock()
            for key in [key for key, deadline in self.running_claims.items() if deadline < now]:
                del self.running_claims[key]


def make_ledger(
    table: Table,
    instance: InstanceId,
    incarnation: Incarnation,
    timer: Timer,
    gap_s: float = BATCH_GAP_S,
) -> Ledger:
    """Return a ledger that holds no claims; its owner runs it in a task.

    :param gap_s: minimum seconds between the starts of two transactions.
    """
    return Ledger(table, instance, incarnation, timer, make_batcher(table, gap_s))
