"""Ledger under load and in a table outage: shared transactions, bounds, refusals, recovery."""

from unittest.mock import patch

from claim_hosts import DRAIN_TIMEOUT_S, RESPONSE, Hosts, drain_records, run_test
from curio import Event, sleep, spawn
from table_double import Fault

from pollenbay.batch import BATCH_ROWS, QUEUE_ROWS_MAX, WRITER_TASKS
from pollenbay.claim import (
    Claim,
    ReleasedRow,
)
from pollenbay.commands.claim import (
    PROBE_PERIOD_S,
    acquire_claim,
    record_response,
)
from pollenbay.commands.record import RECORD_RETRY_MAX_S
from pollenbay.ids import Incarnation, InstanceId
from pollenbay.ledger import make_ledger
from pollenbay.outcome import NotRun, Unknown
from pollenbay.states import Reason


class TestOutage:
    def test_claims_are_refused_at_once_while_the_table_is_down_and_granted_later(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.down = True
            for key in ("k1", "k2", "k3"):
                outcome = await acquire_claim(ledger, hosts.request(key))
                assert isinstance(outcome, NotRun)
                assert outcome.reason is Reason.CLAIM_UNAVAILABLE
                assert outcome.retry_after_s > 0
            assert len(hosts.table.transaction_sizes) == 1
            hosts.table.down = False
            hosts.timer.time_s += PROBE_PERIOD_S
            assert isinstance(await acquire_claim(ledger, hosts.request()), Claim)

        run_test(test)

    def test_lost_table_response_that_is_read_back_refuses_no_claim(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.faults.append(Fault.RESPONSE_LOST)
            assert isinstance(await acquire_claim(ledger, hosts.request("k1")), Claim)
            assert isinstance(await acquire_claim(ledger, hosts.request("k2")), Claim)

        run_test(test)

    def test_unresponsive_table_refuses_the_claim_in_time_and_releases_it(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            with patch("pollenbay.commands.claim.CLAIM_TIMEOUT_S", 0.02):
                outcome = await acquire_claim(ledger, hosts.request())
            assert isinstance(outcome, NotRun)
            await hosts.table.gate.set()
            await drain_records(ledger)
            assert isinstance(hosts.row(), ReleasedRow)

        run_test(test)

    def test_response_is_kept_through_an_outage(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            hosts.table.down = True
            await record_response(first, claim, RESPONSE)
            await sleep(0.05)
            assert first.pending_records == 1
            hosts.table.down = False
            await drain_records(first)
            assert await acquire_claim(other, hosts.request()) == RESPONSE

        run_test(test)

    def test_response_is_dropped_after_a_bound_and_counted_lost(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await acquire_claim(ledger, hosts.request())
            hosts.table.down = True
            await record_response(ledger, claim, RESPONSE)
            await sleep(0.02)
            hosts.timer.time_s += RECORD_RETRY_MAX_S
            await drain_records(ledger)
            assert (ledger.counts.recorded, ledger.counts.lost) == (0, 1)

        run_test(test)

    def test_pending_records_are_bounded(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await acquire_claim(ledger, hosts.request())
            with patch("pollenbay.commands.record.PENDING_RECORDS_MAX", 0):
                await record_response(ledger, claim, RESPONSE)
            assert (ledger.pending_records, ledger.counts.lost) == (0, 1)

        run_test(test)


class TestFailure:
    def test_failed_writer_ends_the_ledger_with_its_error(self) -> None:
        async def test(hosts: Hosts) -> None:
            timer, table = hosts.timer, hosts.table
            ledger = make_ledger(
                table, InstanceId("b1"), Incarnation(1), timer
            )  # type: ignore[arg-type]
            ledger.clock = timer.now
            running = await spawn(ledger.run)
            with patch.object(table, "transact", side_effect=ZeroDivisionError):
                await spawn(acquire_claim, ledger, hosts.request(), daemon=True)
                await running.wait()
            assert isinstance(running.exception, ZeroDivisionError)

        run_test(test)


class TestBatches:
    def test_concurrent_claims_share_transactions(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            tasks = [await spawn(acquire_claim, ledger, hosts.request(f"k{n}")) for n in range(100)]
            await sleep(0.01)
            await hosts.table.gate.set()
            outcomes = [await task.join() for task in tasks]
            assert all(isinstance(outcome, Claim) for outcome in outcomes)
            assert len(hosts.table.transaction_sizes) <= 6
            assert max(hosts.table.transaction_sizes) <= BATCH_ROWS

        run_test(test)

    def test_conflict_of_one_claim_does_not_fail_the_others(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            assert isinstance(await acquire_claim(first, hosts.request("k5")), Claim)
            hosts.table.gate = Event()
            tasks = [await spawn(acquire_claim, other, hosts.request(f"k{n}")) for n in range(20)]
            await sleep(0.01)
            await hosts.table.gate.set()
            outcomes = [await task.join() for task in tasks]
            assert outcomes.pop(5) == Unknown(Reason.DUPLICATE)
            assert all(isinstance(outcome, Claim) for outcome in outcomes)
            assert hosts.table.reads == 1

        run_test(test)

    def test_batch_whose_response_was_lost_is_granted_by_reading_back(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            tasks = [await spawn(acquire_claim, ledger, hosts.request(f"k{n}")) for n in range(9)]
            await sleep(0.01)
            hosts.table.faults.extend([Fault.RESPONSE_LOST] * 3)
            await hosts.table.gate.set()
            outcomes = [await task.join() for task in tasks]
            assert all(isinstance(outcome, Claim) for outcome in outcomes)

        run_test(test)

    def test_full_queue_refuses_claims(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            for n in range(QUEUE_ROWS_MAX + WRITER_TASKS * BATCH_ROWS):
                await spawn(acquire_claim, ledger, hosts.request(f"k{n}"), daemon=True)
            while ledger.batcher.queued < QUEUE_ROWS_MAX:
                await sleep(0.01)
            with patch("pollenbay.commands.claim.CLAIM_TIMEOUT_S", 10 * DRAIN_TIMEOUT_S):
                outcome = await acquire_claim(ledger, hosts.request("one more"))
            assert isinstance(outcome, NotRun)
            assert ledger.batcher.queued == QUEUE_ROWS_MAX

        run_test(test)
