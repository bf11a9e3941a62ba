"""Group commit: what shares a transaction, what is told to whom, and what can be taken back."""

from collections.abc import Awaitable, Callable

from curio import Event, Kernel, sleep, spawn, timeout_after
from table_double import Fault, TableDouble

from pollenbay.batch import (
    BATCH_BYTES,
    QUEUE_LIMIT_ROWS,
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
    """Run a test on a kernel of its own, with a running batcher."""

    async def main() -> None:
        table = TableDouble()
        batcher = make_batcher(_as_table(table), gap_s=0.0)
        await spawn(batcher.run, daemon=True)
        await test(batcher, table)

    with Kernel() as kernel:
        kernel.run(timeout_after, TEST_TIMEOUT_S, main)


async def submit(
    batcher: Batcher, key: str, version: int = 0, value: bytes = b"v", patience_s: float = 0.0
) -> PendingWrite:
    """Queue a change that is taken."""
    change = Change(RowKey(key), RowVersion(version), value)
    return (await batcher.submit(change, patience_s)).unwrap()


class TestSharing:
    def test_two_changes_of_a_key_never_share_a_transaction(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            pending = [await submit(batcher, "a"), await submit(batcher, "a")]
            states = [await each.wait() for each in pending]
            assert states == [WriteState.APPLIED, WriteState.CONFLICT]

        run_test(test)

    def test_conflicts_are_told_to_their_own_changes_alone(self) -> None:
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
            assert max(table.sizes) == 2

        run_test(test)

    def test_change_larger_than_the_bound_goes_alone(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            pending = await submit(batcher, "a", value=b"x" * (BATCH_BYTES + 1))
            assert await pending.wait() is WriteState.APPLIED

        run_test(test)


class TestPatience:
    def test_a_patient_change_leaves_with_the_next_urgent_one(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            patient = await submit(batcher, "a", patience_s=2 * TEST_TIMEOUT_S)
            await sleep(0.01)
            assert patient.state is WriteState.QUEUED
            await submit(batcher, "b")
            assert await patient.wait() is WriteState.APPLIED
            assert table.sizes == [2]

        run_test(test)

    def test_a_patient_change_leaves_alone_when_it_is_due(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            patient = await submit(batcher, "a", patience_s=0.01)
            assert await patient.wait() is WriteState.APPLIED

        run_test(test)

    def test_patient_changes_count_against_the_limit(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            for n in range(QUEUE_LIMIT_ROWS):
                await submit(batcher, f"k{n}", patience_s=2 * TEST_TIMEOUT_S)
            assert (await batcher.submit(Change(RowKey("a"), RowVersion(0), b"v"))).is_err()

        run_test(test)


class TestResults:
    def test_each_fault_has_its_state(self) -> None:
        async def test(batcher: Batcher, table: TableDouble) -> None:
            faults = {
                Fault.REFUSED: WriteState.REFUSED,
                Fault.ANSWER_LOST: WriteState.UNKNOWN,
                Fault.NOT_ARRIVED: WriteState.UNKNOWN,
                Fault.NONE: WriteState.APPLIED,
            }
            for n, (fault, state) in enumerate(faults.items()):
                table.faults.append(fault)
                assert await (await submit(batcher, f"k{n}")).wait() is state

        run_test(test)


class TestWithdraw:
    def test_only_what_was_not_sent_can_be_taken_back(self) -> None:
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
