"""Group commit: changes that share a transaction, the result of each, and withdrawal."""

from collections.abc import Awaitable, Callable

from curio import Event, Kernel, sleep, spawn, timeout_after
from table_double import Fault, TableDouble

from pollenbay.batch import (
    BATCH_BYTES,
    QUEUE_ROWS_MAX,
    Batcher,
    Change,
    PendingWrite,
    WriteState,
    make_batcher,
)
from pollenbay.ids import RowKey, RowVersion
from pollenbay.table import Table

TEST_TIMEOUT_S = 20.0


def run_test(test: Callable[[Batcher, TableDouble], Awaitable[None]]) -> None:
    """Run a test on its own kernel, with a running batcher."""

    async def main() -> None:
        table = TableDouble()
        batcher = make_batcher(_as_table(table), gap_s=0.0)
        await spawn(batcher.run, daemon=True)
        await test(batcher, table)

    with Kernel() as kernel:
        kernel.run(timeout_after, TEST_TIMEOUT_S, main)


async def submit(
    batcher: Batcher, key: str, version: int = 0, value: bytes = b"v", max_delay_s: float = 0.0
) -> PendingWrite:
    """Queue a change, which must be accepted."""
    change = Change(RowKey(key), RowVersion(version), value)
    return (await batcher.submit(change, max_delay_s)).unwrap()


class TestSharing:
    def test_two_changes_of_a_key_never_share_a_transaction(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            pending = [await submit(batcher, "a"), await submit(batcher, "a")]
            states = [await each.wait() for each in pending]
            assert states == [WriteState.APPLIED, WriteState.CONFLICT]

        run_test(test)

    def test_conflict_is_reported_only_to_its_own_change(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            pending = [await submit(batcher, f"k{n}", version=int(n % 3 == 0)) for n in range(32)]
            states = [await each.wait() for each in pending]
            for n, state in enumerate(states):
                assert state is (WriteState.CONFLICT if n % 3 == 0 else WriteState.APPLIED)

        run_test(test)

    def test_bytes_of_a_transaction_are_bounded(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            value = b"x" * (BATCH_BYTES // 2)
            pending = [await submit(batcher, f"k{n}", value=value) for n in range(6)]
            for each in pending:
                assert await each.wait() is WriteState.APPLIED
            assert max(table.transaction_sizes) == 2

        run_test(test)

    def test_change_larger_than_the_bound_is_written_alone(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            pending = await submit(batcher, "a", value=b"x" * (BATCH_BYTES + 1))
            assert await pending.wait() is WriteState.APPLIED

        run_test(test)


class TestDelay:
    def test_delayed_change_is_written_with_the_next_urgent_one(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            delayed = await submit(batcher, "a", max_delay_s=2 * TEST_TIMEOUT_S)
            await sleep(0.01)
            assert delayed.state is WriteState.QUEUED
            await submit(batcher, "b")
            assert await delayed.wait() is WriteState.APPLIED
            assert table.transaction_sizes == [2]

        run_test(test)

    def test_delayed_change_is_written_alone_when_due(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            delayed = await submit(batcher, "a", max_delay_s=0.01)
            assert await delayed.wait() is WriteState.APPLIED

        run_test(test)

    def test_delayed_changes_count_against_the_queue_limit(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            for n in range(QUEUE_ROWS_MAX):
                await submit(batcher, f"k{n}", max_delay_s=2 * TEST_TIMEOUT_S)
            assert (await batcher.submit(Change(RowKey("a"), RowVersion(0), b"v"))).is_err()

        run_test(test)


class TestResults:
    def test_each_fault_gives_its_write_state(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            faults = {
                Fault.REFUSED: WriteState.REFUSED,
                Fault.RESPONSE_LOST: WriteState.UNKNOWN,
                Fault.NOT_ARRIVED: WriteState.UNKNOWN,
                Fault.NONE: WriteState.APPLIED,
            }
            for n, (fault, state) in enumerate(faults.items()):
                table.faults.append(fault)
                assert await (await submit(batcher, f"k{n}")).wait() is state

        run_test(test)


class TestWithdraw:
    def test_only_unsent_changes_can_be_withdrawn(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            table.gate = Event()
            sent = []
            for key in ("a", "b"):
                sent.append(await submit(batcher, key))
                await sleep(0.01)
            queued = await submit(batcher, "c")
            await sleep(0.01)
            assert [batcher.withdraw(each) for each in (*sent, queued)] == [False, False, True]
            await table.gate.set()
            for each in sent:
                assert await each.wait() is WriteState.APPLIED
            assert set(table.rows) == {"a", "b"}

        run_test(test)


def _as_table(table: TableDouble) -> Table:
    return table  # type: ignore[return-value]
