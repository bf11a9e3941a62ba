"""Taking and giving back claims, and what lost answers and cancellation do to them."""

from unittest.mock import patch

import pytest
from claim_hosts import ANSWER, CALL, SERVICE, SETTLE_S, WAIT_S, Hosts, run_test, settle
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
    BRIEF_S,
    abandon_claim,
    record_answer,
    release_claim,
    take_claim,
)
from pollenbay.ids import (
    CallerId,
    IdempotencyKey,
    ServiceName,
)
from pollenbay.outcome import NotRun, Unknown
from pollenbay.states import Reason


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

    def test_repeats_of_an_answered_call_cost_no_use_of_the_table(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            await record_answer(first, claim, ANSWER)
            assert await take_claim(first, hosts.request()) == ANSWER
            await settle(first)
            assert await take_claim(other, hosts.request()) == ANSWER
            before = (len(hosts.table.sizes), hosts.table.reads)
            hosts.table.down = True
            for ledger in (first, other):
                assert await take_claim(ledger, hosts.request()) == ANSWER
            assert (len(hosts.table.sizes), hosts.table.reads) == before

        run_test(test)

    def test_that_the_first_still_runs_is_remembered_briefly(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            assert await take_claim(other, hosts.request()) == Unknown(Reason.DUPLICATE)
            await record_answer(first, claim, ANSWER)
            await settle(first)
            reads = hosts.table.reads
            assert await take_claim(other, hosts.request()) == Unknown(Reason.DUPLICATE)
            assert hosts.table.reads == reads
            hosts.timer.time_s += 2 * BRIEF_S
            assert await take_claim(other, hosts.request()) == ANSWER

        run_test(test)

    def test_refusal_of_another_request_is_not_remembered(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            changed = hosts.request(body=b"two bales")
            assert await take_claim(other, changed) == NotRun(Reason.BAD_REQUEST)
            await release_claim(first, claim)
            assert isinstance(await take_claim(other, changed), Claim)

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

    def test_release_is_written_when_it_returns(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await take_claim(first, hosts.request())
            hosts.table.gate = gate = Event()
            with patch("pollenbay.commands.claim.RELEASE_WAIT_S", SETTLE_S):
                task = await spawn(release_claim, first, claim)
                await sleep(0.01)
                assert not task.terminated
                hosts.table.gate = None
                await gate.set()
                await task.join()
            assert isinstance(hosts.row(), ReleasedRow)
            assert isinstance(await take_claim(other, hosts.request()), Claim)
            assert hosts.table.reads == 1

        run_test(test)

    def test_release_does_not_wait_for_a_table_that_is_down(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await take_claim(ledger, hosts.request())
            hosts.table.down = True
            with patch("pollenbay.commands.claim.RELEASE_WAIT_S", 0.01):
                await timeout_after(SETTLE_S, release_claim, ledger, claim)
            assert ledger.records == 1
            hosts.table.down = False
            await settle(ledger)
            assert isinstance(hosts.row(), ReleasedRow)

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
