"""Claims: taking, repeating, answering, giving back, and what the faults of the table do."""

from collections.abc import Awaitable, Callable
from unittest.mock import patch

import pytest
from curio import Event, Kernel, TaskTimeout, sleep, spawn, timeout_after
from table_double import Fault, ManualTimer, TableDouble

from pollenbay.batch import BATCH_ROWS, QUEUE_LIMIT_ROWS, WRITERS
from pollenbay.claim import (
    ANSWER_LIMIT_BYTES,
    AnsweredRow,
    Claim,
    ClaimedRow,
    ClaimRequest,
    ReleasedRow,
    decode_row,
    fingerprint_of,
    row_key_of,
)
from pollenbay.commands.claim import (
    PROBE_PERIOD_S,
    abandon_claim,
    drain_ledger,
    record_answer,
    release_claim,
    take_claim,
)
from pollenbay.commands.record import KEEP_S
from pollenbay.commands.sweep import SWEEP_PAGE_ROWS, run_sweeper, sweep_page
from pollenbay.ids import (
    CallerId,
    CallName,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    ServiceName,
)
from pollenbay.ledger import RETENTION_S, Ledger, make_ledger
from pollenbay.outcome import Answered, NotRun, Unknown
from pollenbay.states import Reason
from pollenbay.timer import make_timer

SERVICE = ServiceName("bookings")
CALL = CallName("book")
CALLER = CallerId("mill")
WAIT_S = 10.0
SETTLE_S = 5.0
ANSWER = Answered(201, [(b"content-type", b"text/plain")], b"booked")


class Hosts:
    """Several ledgers on one table, with one clock."""

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
        """Return a request whose deadline is `WAIT_S` from now."""
        fingerprint = fingerprint_of(SERVICE, CALL, "POST", "/book", body)
        deadline = self.timer.time_s + WAIT_S
        return ClaimRequest(SERVICE, CALL, CALLER, IdempotencyKey(key), fingerprint, deadline)

    def row(self, key: str = "k1"):
        """Return the value of the row of a key, or None."""
        row = self.table.rows.get(row_key_of(self.request(key)))
        return None if row is None else decode_row(row.value).unwrap()


def run_test(test: Callable[[Hosts], Awaitable[None]]) -> None:
    """Run a test on a kernel of its own, within `SETTLE_S` seconds and more."""
    with (
        patch("pollenbay.commands.record.RETRY_FIRST_S", 0.005),
        patch("pollenbay.commands.record.RETRY_LONGEST_S", 0.01),
        Kernel() as kernel,
    ):
        kernel.run(timeout_after, 4 * SETTLE_S, test, Hosts(TableDouble()))


async def settle(ledger: Ledger) -> None:
    """Wait for the records and demand that none is left."""
    assert await drain_ledger(ledger, SETTLE_S) == 0


class TestTake:
    def test_first_is_granted_and_repeat_gets_its_answer(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            assert isinstance(claim, Claim)
            await record_answer(first, claim, ANSWER)
            await settle(first)
            assert await take_claim(other, hosts.request()) == ANSWER
            assert await take_claim(first, hosts.request()) == ANSWER

        run_test(test)

    def test_repeat_while_running_is_told_so_and_later_unknown(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            assert isinstance(claim, Claim)
            for ledger in (first, other):
                assert await take_claim(ledger, hosts.request()) == Unknown(Reason.DUPLICATE)
            hosts.timer.time_s += WAIT_S + 1
            for ledger in (first, other):
                assert await take_claim(ledger, hosts.request()) == Unknown(Reason.DEADLINE)

        run_test(test)

    def test_local_repeat_costs_no_use_of_the_table(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            await take_claim(ledger, hosts.request())
            before = (len(hosts.table.sizes), hosts.table.reads)
            await take_claim(ledger, hosts.request())
            assert (len(hosts.table.sizes), hosts.table.reads) == before

        run_test(test)

    def test_key_of_another_request_is_refused(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            assert isinstance(claim, Claim)
            changed = hosts.request(body=b"two bales")
            assert await take_claim(other, changed) == NotRun(Reason.BAD_REQUEST)
            await record_answer(first, claim, ANSWER)
            await settle(first)
            assert await take_claim(other, changed) == NotRun(Reason.BAD_REQUEST)

        run_test(test)

    def test_equal_keys_of_two_callers_are_two_claims(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            request = hosts.request()
            shop = ClaimRequest(
                SERVICE, CALL, CallerId("shop"), request.key, request.fingerprint, 2000.0
            )
            assert isinstance(await take_claim(ledger, request), Claim)
            assert isinstance(await take_claim(ledger, shop), Claim)

        run_test(test)

    def test_parts_of_a_row_key_do_not_run_into_each_other(self) -> None:
        one = ClaimRequest(
            ServiceName("a"), CALL, CallerId("bc"), IdempotencyKey("d"), "", 0.0
        )  # type: ignore[arg-type]
        two = ClaimRequest(
            ServiceName("ab"), CALL, CallerId("c"), IdempotencyKey("d"), "", 0.0
        )  # type: ignore[arg-type]
        assert row_key_of(one) != row_key_of(two)

    def test_past_deadline_takes_nothing(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            request = hosts.request()
            hosts.timer.time_s += WAIT_S
            assert await take_claim(ledger, request) == NotRun(Reason.DEADLINE)
            assert not hosts.table.rows

        run_test(test)

    def test_one_of_many_hosts_at_once_gets_it(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledgers = [await hosts.start(f"b{n}") for n in range(5)]
            tasks = [await spawn(take_claim, each, hosts.request()) for each in ledgers]
            outcomes = [await task.join() for task in tasks]
            assert sum(isinstance(outcome, Claim) for outcome in outcomes) == 1
            assert outcomes.count(Unknown(Reason.DUPLICATE)) == 4

        run_test(test)

    def test_unreadable_row_runs_nothing(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            await take_claim(ledger, hosts.request())
            row = hosts.table.rows[row_key_of(hosts.request())]
            row.value = b"\xff"
            other = await hosts.start("b2")
            assert await take_claim(other, hosts.request()) == Unknown(Reason.ANSWER_BROKEN)

        run_test(test)


class TestRelease:
    def test_released_may_be_claimed_again_elsewhere(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            await release_claim(first, claim)
            await settle(first)
            assert isinstance(hosts.row(), ReleasedRow)
            assert isinstance(await take_claim(other, hosts.request()), Claim)

        run_test(test)

    def test_holder_may_claim_again_before_the_release_is_written(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await take_claim(ledger, hosts.request())
            hosts.table.read_down = True
            await release_claim(ledger, claim)
            await sleep(0.02)
            hosts.table.read_down = False
            again = await take_claim(ledger, hosts.request())
            assert isinstance(again, Claim)
            await settle(ledger)
            assert hosts.row().nonce == again.nonce

        run_test(test)

    def test_abandoned_stays_claimed(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await take_claim(ledger, hosts.request())
            abandon_claim(ledger, claim)
            assert await take_claim(ledger, hosts.request()) == Unknown(Reason.DUPLICATE)
            assert isinstance(hosts.row(), ClaimedRow)

        run_test(test)


class TestLostAnswers:
    def test_claim_written_with_answer_lost_is_read_back(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.faults.append(Fault.ANSWER_LOST)
            claim = await take_claim(ledger, hosts.request())
            assert isinstance(claim, Claim)
            await record_answer(ledger, claim, ANSWER)
            await settle(ledger)
            assert isinstance(hosts.row(), AnsweredRow)

        run_test(test)

    def test_lost_answer_of_another_hosts_claim_is_not_taken_for_ones_own(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            assert isinstance(await take_claim(first, hosts.request()), Claim)
            hosts.table.faults.append(Fault.ANSWER_LOST)
            assert await take_claim(other, hosts.request()) == Unknown(Reason.DUPLICATE)

        run_test(test)

    def test_write_that_never_arrived_is_sent_again(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.faults.append(Fault.NOT_ARRIVED)
            assert isinstance(await take_claim(ledger, hosts.request()), Claim)

        run_test(test)

    def test_unreadable_claim_is_not_run_and_released_later(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            hosts.table.faults.append(Fault.ANSWER_LOST)
            hosts.table.read_down = True
            outcome = await take_claim(first, hosts.request())
            assert isinstance(outcome, NotRun)
            assert outcome.reason is Reason.CLAIM_UNAVAILABLE
            assert isinstance(hosts.row(), ClaimedRow)
            hosts.table.read_down = False
            await settle(first)
            assert isinstance(hosts.row(), ReleasedRow)
            assert isinstance(await take_claim(other, hosts.request()), Claim)

        run_test(test)

    def test_late_write_cannot_come_into_force_after_its_release(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            hosts.table.faults.append(Fault.LATE)
            hosts.table.read_down = True
            assert isinstance(await take_claim(first, hosts.request()), NotRun)
            hosts.table.read_down = False
            await settle(first)
            hosts.table.land()
            assert isinstance(hosts.row(), ReleasedRow)
            assert isinstance(await take_claim(other, hosts.request()), Claim)

        run_test(test)

    def test_answer_written_with_answer_lost_is_not_counted_lost(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await take_claim(ledger, hosts.request())
            hosts.table.faults.append(Fault.ANSWER_LOST)
            await record_answer(ledger, claim, ANSWER)
            await settle(ledger)
            assert (ledger.counts.recorded, ledger.counts.lost) == (1, 0)

        run_test(test)

    def test_stale_read_grants_nothing(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            await release_claim(first, claim)
            await settle(first)
            hosts.table.stale = dict(hosts.table.rows)
            assert isinstance(await take_claim(first, hosts.request()), Claim)
            outcome = await take_claim(other, hosts.request())
            assert isinstance(outcome, NotRun)
            assert outcome.reason is Reason.CLAIM_UNAVAILABLE

        run_test(test)


class TestOutage:
    def test_down_table_refuses_at_once_and_recovers(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.down = True
            for key in ("k1", "k2", "k3"):
                outcome = await take_claim(ledger, hosts.request(key))
                assert isinstance(outcome, NotRun)
                assert outcome.reason is Reason.CLAIM_UNAVAILABLE
                assert outcome.retry_after_s > 0
            assert len(hosts.table.sizes) == 1
            hosts.table.down = False
            hosts.timer.time_s += PROBE_PERIOD_S
            assert isinstance(await take_claim(ledger, hosts.request()), Claim)

        run_test(test)

    def test_silent_table_refuses_in_time_and_releases(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            with patch("pollenbay.commands.claim.CLAIM_TIMEOUT_S", 0.02):
                outcome = await take_claim(ledger, hosts.request())
            assert isinstance(outcome, NotRun)
            await hosts.table.gate.set()
            await settle(ledger)
            assert isinstance(hosts.row(), ReleasedRow)

        run_test(test)

    def test_answer_is_kept_through_an_outage(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            hosts.table.down = True
            await record_answer(first, claim, ANSWER)
            await sleep(0.05)
            assert first.records == 1
            hosts.table.down = False
            await settle(first)
            assert await take_claim(other, hosts.request()) == ANSWER

        run_test(test)

    def test_answer_is_given_up_after_a_bound_and_counted(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await take_claim(ledger, hosts.request())
            hosts.table.down = True
            await record_answer(ledger, claim, ANSWER)
            await sleep(0.02)
            hosts.timer.time_s += KEEP_S
            await settle(ledger)
            assert (ledger.counts.recorded, ledger.counts.lost) == (0, 1)

        run_test(test)

    def test_records_are_bounded(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await take_claim(ledger, hosts.request())
            with patch("pollenbay.commands.record.RECORD_LIMIT", 0):
                await record_answer(ledger, claim, ANSWER)
            assert (ledger.records, ledger.counts.lost) == (0, 1)

        run_test(test)


class TestCancel:
    def test_cancelled_before_sending_leaves_no_row(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1", gap_s=10 * SETTLE_S)
            await take_claim(ledger, hosts.request("k0"))
            with pytest.raises(TaskTimeout):
                await timeout_after(0.01, take_claim, ledger, hosts.request())
            assert (ledger.batcher.queued, ledger.records) == (0, 0)

        run_test(test)

    def test_cancelled_in_flight_is_released(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            task = await spawn(take_claim, ledger, hosts.request())
            await sleep(0.01)
            await task.cancel()
            await hosts.table.gate.set()
            await settle(ledger)
            assert isinstance(hosts.row(), ReleasedRow)

        run_test(test)

    def test_record_outlives_the_task_that_made_it(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")

            async def call() -> None:
                claim = await take_claim(ledger, hosts.request())
                hosts.table.down = True
                await record_answer(ledger, claim, ANSWER)
                await sleep(SETTLE_S)

            task = await spawn(call)
            await sleep(0.05)
            await task.cancel()
            hosts.table.down = False
            await settle(ledger)
            assert isinstance(hosts.row(), AnsweredRow)

        run_test(test)


class TestAnswers:
    def test_too_large_an_answer_is_marked_and_never_run_again(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            body = b"x" * (ANSWER_LIMIT_BYTES + 1)
            await record_answer(first, claim, Answered(200, [], body))
            await settle(first)
            assert await take_claim(other, hosts.request()) == Unknown(Reason.TOO_LARGE)
            assert hosts.row().body == b""

        run_test(test)

    def test_version_of_a_key_used_before_its_removal_is_found(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.versions[row_key_of(hosts.request())] = 7
            claim = await take_claim(ledger, hosts.request())
            await record_answer(ledger, claim, ANSWER)
            await settle(ledger)
            assert isinstance(hosts.row(), AnsweredRow)

        run_test(test)

    def test_answer_of_a_row_that_is_gone_is_counted_lost(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await take_claim(ledger, hosts.request())
            hosts.table.rows.clear()
            await record_answer(ledger, claim, ANSWER)
            await settle(ledger)
            assert (ledger.counts.recorded, ledger.counts.lost) == (0, 1)

        run_test(test)

    def test_answer_never_replaces_another_attempts_row(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            hosts.table.rows.clear()
            again = await take_claim(other, hosts.request())
            await record_answer(first, claim, ANSWER)
            await settle(first)
            assert (first.counts.recorded, first.counts.lost) == (0, 1)
            assert hosts.row().nonce == again.nonce

        run_test(test)


class TestBatches:
    def test_concurrent_claims_share_transactions(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            tasks = [await spawn(take_claim, ledger, hosts.request(f"k{n}")) for n in range(100)]
            await sleep(0.01)
            await hosts.table.gate.set()
            outcomes = [await task.join() for task in tasks]
            assert all(isinstance(outcome, Claim) for outcome in outcomes)
            assert len(hosts.table.sizes) <= 6
            assert max(hosts.table.sizes) <= BATCH_ROWS

        run_test(test)

    def test_conflict_of_one_does_not_fail_the_others(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            assert isinstance(await take_claim(first, hosts.request("k5")), Claim)
            hosts.table.gate = Event()
            tasks = [await spawn(take_claim, other, hosts.request(f"k{n}")) for n in range(20)]
            await sleep(0.01)
            await hosts.table.gate.set()
            outcomes = [await task.join() for task in tasks]
            assert outcomes.pop(5) == Unknown(Reason.DUPLICATE)
            assert all(isinstance(outcome, Claim) for outcome in outcomes)
            assert hosts.table.reads == 1

        run_test(test)

    def test_lost_answer_of_a_batch_grants_all_by_reading_back(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            tasks = [await spawn(take_claim, ledger, hosts.request(f"k{n}")) for n in range(9)]
            await sleep(0.01)
            hosts.table.faults.extend([Fault.ANSWER_LOST] * 3)
            await hosts.table.gate.set()
            outcomes = [await task.join() for task in tasks]
            assert all(isinstance(outcome, Claim) for outcome in outcomes)

        run_test(test)

    def test_full_queue_refuses(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            for n in range(QUEUE_LIMIT_ROWS + WRITERS * BATCH_ROWS):
                await spawn(take_claim, ledger, hosts.request(f"k{n}"), daemon=True)
            while ledger.batcher.queued < QUEUE_LIMIT_ROWS:
                await sleep(0.01)
            with patch("pollenbay.commands.claim.CLAIM_TIMEOUT_S", 10 * SETTLE_S):
                outcome = await take_claim(ledger, hosts.request("one more"))
            assert isinstance(outcome, NotRun)
            assert ledger.batcher.queued == QUEUE_LIMIT_ROWS

        run_test(test)


class TestSweep:
    def test_rows_past_retention_go_and_younger_stay(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            for n in range(3):
                await take_claim(ledger, hosts.request(f"old{n}"))
            hosts.timer.time_s += WAIT_S + RETENTION_S + 1
            await take_claim(ledger, hosts.request("young"))
            assert await sweep_page(ledger, "") == 3
            assert list(hosts.table.rows) == [row_key_of(hosts.request("young"))]

        run_test(test)

    def test_retention_counts_from_the_deadline(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            await take_claim(ledger, hosts.request())
            hosts.timer.time_s += RETENTION_S + WAIT_S / 2
            assert await sweep_page(ledger, "") == 0

        run_test(test)

    def test_a_page_is_bounded(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            for n in range(SWEEP_PAGE_ROWS + 20):
                await take_claim(ledger, hosts.request(f"k{n}"))
            hosts.timer.time_s += WAIT_S + RETENTION_S + 1
            assert await sweep_page(ledger, "") == SWEEP_PAGE_ROWS
            assert await sweep_page(ledger, "") == 20

        run_test(test)

    def test_row_claimed_again_since_the_page_was_read_stays(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await take_claim(ledger, hosts.request())
            await release_claim(ledger, claim)
            await settle(ledger)
            hosts.timer.time_s += WAIT_S + RETENTION_S + 1
            hosts.table.stale = dict(hosts.table.rows)
            again = await take_claim(ledger, hosts.request())
            assert isinstance(again, Claim)
            assert await sweep_page(ledger, "") == 0
            assert hosts.row().nonce == again.nonce

        run_test(test)

    def test_sweeper_goes_on_while_pages_are_full_of_old_rows(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            for n in range(3 * SWEEP_PAGE_ROWS):
                await take_claim(ledger, hosts.request(f"k{n}"))
            hosts.timer.time_s += WAIT_S + RETENTION_S + 1
            ledger.timer = make_timer()
            await spawn(ledger.timer.run, daemon=True)
            await spawn(run_sweeper, ledger, daemon=True)
            while hosts.table.rows:
                await sleep(0.01)
            assert ledger.counts.removed == 3 * SWEEP_PAGE_ROWS

        with (
            patch("pollenbay.commands.sweep.SWEEP_PERIOD_S", 0.01),
            patch("pollenbay.commands.sweep.SWEEP_GAP_S", 0.001),
            patch("pollenbay.commands.sweep.random_place", lambda: ""),
        ):
            run_test(test)
