"""Acquiring and releasing claims, with lost table responses and with cancellation."""

from unittest.mock import patch

import pytest
from claim_hosts import (
    CALL,
    CALL_TIMEOUT_S,
    DRAIN_TIMEOUT_S,
    RESPONSE,
    SERVICE,
    Hosts,
    drain_records,
    run_test,
)
from curio import Event, TaskTimeout, sleep, spawn, timeout_after
from table_double import Fault

from pollenbay.claim import (
    AnsweredRow,
    Claim,
    ClaimedRow,
    ClaimRequest,
    ReleasedRow,
    row_key_of,
)
from pollenbay.commands.claim import (
    UNSETTLED_CACHE_S,
    abandon_claim,
    acquire_claim,
    record_response,
    release_claim,
)
from pollenbay.ids import (
    CallerId,
    IdempotencyKey,
    ServiceName,
)
from pollenbay.outcome import NotRun, Unknown
from pollenbay.states import Reason


class TestAcquire:
    def test_first_request_is_granted_and_repeats_get_its_response(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            assert isinstance(claim, Claim)
            await record_response(first, claim, RESPONSE)
            await drain_records(first)
            assert await acquire_claim(other, hosts.request()) == RESPONSE
            assert await acquire_claim(first, hosts.request()) == RESPONSE

        run_test(test)

    def test_repeat_gets_duplicate_before_the_deadline_and_deadline_after_it(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            assert isinstance(claim, Claim)
            for ledger in (first, other):
                assert await acquire_claim(ledger, hosts.request()) == Unknown(Reason.DUPLICATE)
            hosts.timer.time_s += CALL_TIMEOUT_S + 1
            for ledger in (first, other):
                assert await acquire_claim(ledger, hosts.request()) == Unknown(Reason.DEADLINE)

        run_test(test)

    def test_local_repeat_does_not_access_the_table(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            await acquire_claim(ledger, hosts.request())
            before = (len(hosts.table.transaction_sizes), hosts.table.reads)
            await acquire_claim(ledger, hosts.request())
            assert (len(hosts.table.transaction_sizes), hosts.table.reads) == before

        run_test(test)

    def test_repeats_of_an_answered_call_do_not_access_the_table(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            await record_response(first, claim, RESPONSE)
            assert await acquire_claim(first, hosts.request()) == RESPONSE
            await drain_records(first)
            assert await acquire_claim(other, hosts.request()) == RESPONSE
            before = (len(hosts.table.transaction_sizes), hosts.table.reads)
            hosts.table.down = True
            for ledger in (first, other):
                assert await acquire_claim(ledger, hosts.request()) == RESPONSE
            assert (len(hosts.table.transaction_sizes), hosts.table.reads) == before

        run_test(test)

    def test_duplicate_outcome_is_cached_briefly(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            assert await acquire_claim(other, hosts.request()) == Unknown(Reason.DUPLICATE)
            await record_response(first, claim, RESPONSE)
            await drain_records(first)
            reads = hosts.table.reads
            assert await acquire_claim(other, hosts.request()) == Unknown(Reason.DUPLICATE)
            assert hosts.table.reads == reads
            hosts.timer.time_s += 2 * UNSETTLED_CACHE_S
            assert await acquire_claim(other, hosts.request()) == RESPONSE

        run_test(test)

    def test_refusal_of_another_request_is_not_cached(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            changed = hosts.request(body=b"two bales")
            assert await acquire_claim(other, changed) == NotRun(Reason.BAD_REQUEST)
            await release_claim(first, claim)
            assert isinstance(await acquire_claim(other, changed), Claim)

        run_test(test)

    def test_key_reused_for_another_request_is_refused(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            assert isinstance(claim, Claim)
            changed = hosts.request(body=b"two bales")
            assert await acquire_claim(other, changed) == NotRun(Reason.BAD_REQUEST)
            await record_response(first, claim, RESPONSE)
            await drain_records(first)
            assert await acquire_claim(other, changed) == NotRun(Reason.BAD_REQUEST)

        run_test(test)

    def test_equal_keys_of_two_callers_are_two_claims(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            request = hosts.request()
            shop = ClaimRequest(
                SERVICE, CALL, CallerId("shop"), request.key, request.fingerprint, 2000.0
            )
            assert isinstance(await acquire_claim(ledger, request), Claim)
            assert isinstance(await acquire_claim(ledger, shop), Claim)

        run_test(test)

    def test_row_key_components_are_unambiguous(self) -> None:
        one = ClaimRequest(
            ServiceName("a"), CALL, CallerId("bc"), IdempotencyKey("d"), "", 0.0
        )  # type: ignore[arg-type]
        two = ClaimRequest(
            ServiceName("ab"), CALL, CallerId("c"), IdempotencyKey("d"), "", 0.0
        )  # type: ignore[arg-type]
        assert row_key_of(one) != row_key_of(two)

    def test_request_past_its_deadline_writes_no_claim(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            request = hosts.request()
            hosts.timer.time_s += CALL_TIMEOUT_S
            assert await acquire_claim(ledger, request) == NotRun(Reason.DEADLINE)
            assert not hosts.table.rows

        run_test(test)

    def test_concurrent_requests_on_many_hosts_grant_one_claim(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledgers = [await hosts.start(f"b{n}") for n in range(5)]
            tasks = [await spawn(acquire_claim, each, hosts.request()) for each in ledgers]
            outcomes = [await task.join() for task in tasks]
            assert sum(isinstance(outcome, Claim) for outcome in outcomes) == 1
            assert outcomes.count(Unknown(Reason.DUPLICATE)) == 4

        run_test(test)

    def test_malformed_row_grants_no_claim(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            await acquire_claim(ledger, hosts.request())
            row = hosts.table.rows[row_key_of(hosts.request())]
            row.value = b"\xff"
            other = await hosts.start("b2")
            assert await acquire_claim(other, hosts.request()) == Unknown(Reason.ANSWER_BROKEN)

        run_test(test)


class TestRelease:
    def test_released_key_can_be_claimed_on_another_host(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            await release_claim(first, claim)
            await drain_records(first)
            assert isinstance(hosts.row(), ReleasedRow)
            assert isinstance(await acquire_claim(other, hosts.request()), Claim)

        run_test(test)

    def test_release_returns_after_its_write(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            hosts.table.gate = gate = Event()
            with patch("pollenbay.commands.claim.RELEASE_WAIT_S", DRAIN_TIMEOUT_S):
                task = await spawn(release_claim, first, claim)
                await sleep(0.01)
                assert not task.terminated
                hosts.table.gate = None
                await gate.set()
                await task.join()
            assert isinstance(hosts.row(), ReleasedRow)
            assert isinstance(await acquire_claim(other, hosts.request()), Claim)
            assert hosts.table.reads == 1

        run_test(test)

    def test_release_does_not_wait_for_a_table_that_is_down(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await acquire_claim(ledger, hosts.request())
            hosts.table.down = True
            with patch("pollenbay.commands.claim.RELEASE_WAIT_S", 0.01):
                await timeout_after(DRAIN_TIMEOUT_S, release_claim, ledger, claim)
            assert ledger.pending_records == 1
            hosts.table.down = False
            await drain_records(ledger)
            assert isinstance(hosts.row(), ReleasedRow)

        run_test(test)

    def test_holder_can_claim_again_before_the_release_is_written(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await acquire_claim(ledger, hosts.request())
            hosts.table.read_down = True
            await release_claim(ledger, claim)
            await sleep(0.02)
            hosts.table.read_down = False
            second_claim = await acquire_claim(ledger, hosts.request())
            assert isinstance(second_claim, Claim)
            await drain_records(ledger)
            assert hosts.row().nonce == second_claim.nonce

        run_test(test)

    def test_abandoned_claim_stays_claimed(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await acquire_claim(ledger, hosts.request())
            abandon_claim(ledger, claim)
            assert await acquire_claim(ledger, hosts.request()) == Unknown(Reason.DUPLICATE)
            assert isinstance(hosts.row(), ClaimedRow)

        run_test(test)


class TestLostResponses:
    def test_claim_whose_table_response_was_lost_is_read_back(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.faults.append(Fault.RESPONSE_LOST)
            claim = await acquire_claim(ledger, hosts.request())
            assert isinstance(claim, Claim)
            await record_response(ledger, claim, RESPONSE)
            await drain_records(ledger)
            assert isinstance(hosts.row(), AnsweredRow)

        run_test(test)

    def test_lost_table_response_does_not_grant_another_hosts_claim(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            assert isinstance(await acquire_claim(first, hosts.request()), Claim)
            hosts.table.faults.append(Fault.RESPONSE_LOST)
            assert await acquire_claim(other, hosts.request()) == Unknown(Reason.DUPLICATE)

        run_test(test)

    def test_write_that_never_arrived_is_sent_again(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.faults.append(Fault.NOT_ARRIVED)
            assert isinstance(await acquire_claim(ledger, hosts.request()), Claim)

        run_test(test)

    def test_claim_that_cannot_be_read_back_is_not_run_and_released_later(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            hosts.table.faults.append(Fault.RESPONSE_LOST)
            hosts.table.read_down = True
            outcome = await acquire_claim(first, hosts.request())
            assert isinstance(outcome, NotRun)
            assert outcome.reason is Reason.CLAIM_UNAVAILABLE
            assert isinstance(hosts.row(), ClaimedRow)
            hosts.table.read_down = False
            await drain_records(first)
            assert isinstance(hosts.row(), ReleasedRow)
            assert isinstance(await acquire_claim(other, hosts.request()), Claim)

        run_test(test)

    def test_delayed_claim_write_has_no_effect_after_its_release(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            hosts.table.faults.append(Fault.DELAYED)
            hosts.table.read_down = True
            assert isinstance(await acquire_claim(first, hosts.request()), NotRun)
            hosts.table.read_down = False
            await drain_records(first)
            hosts.table.deliver_delayed()
            assert isinstance(hosts.row(), ReleasedRow)
            assert isinstance(await acquire_claim(other, hosts.request()), Claim)

        run_test(test)

    def test_record_whose_table_response_was_lost_is_not_counted_lost(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await acquire_claim(ledger, hosts.request())
            hosts.table.faults.append(Fault.RESPONSE_LOST)
            await record_response(ledger, claim, RESPONSE)
            await drain_records(ledger)
            assert (ledger.counts.recorded, ledger.counts.lost) == (1, 0)

        run_test(test)

    def test_stale_read_grants_no_claim(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            await release_claim(first, claim)
            await drain_records(first)
            hosts.table.stale_rows = dict(hosts.table.rows)
            assert isinstance(await acquire_claim(first, hosts.request()), Claim)
            outcome = await acquire_claim(other, hosts.request())
            assert isinstance(outcome, NotRun)
            assert outcome.reason is Reason.CLAIM_UNAVAILABLE

        run_test(test)


class TestCancel:
    def test_claim_cancelled_before_sending_leaves_no_row(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1", gap_s=10 * DRAIN_TIMEOUT_S)
            await acquire_claim(ledger, hosts.request("k0"))
            with pytest.raises(TaskTimeout):
                await timeout_after(0.01, acquire_claim, ledger, hosts.request())
            assert (ledger.batcher.queued, ledger.pending_records) == (0, 0)

        run_test(test)

    def test_claim_cancelled_in_flight_is_released(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.gate = Event()
            task = await spawn(acquire_claim, ledger, hosts.request())
            await sleep(0.01)
            await task.cancel()
            await hosts.table.gate.set()
            await drain_records(ledger)
            assert isinstance(hosts.row(), ReleasedRow)

        run_test(test)

    def test_record_is_written_after_its_task_was_cancelled(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")

            async def call() -> None:
                claim = await acquire_claim(ledger, hosts.request())
                hosts.table.down = True
                await record_response(ledger, claim, RESPONSE)
                await sleep(DRAIN_TIMEOUT_S)

            task = await spawn(call)
            await sleep(0.05)
            await task.cancel()
            hosts.table.down = False
            await drain_records(ledger)
            assert isinstance(hosts.row(), AnsweredRow)

        run_test(test)
