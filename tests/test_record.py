"""Answers of claimed calls: kept through outages, bounded, and never over another row."""

from claim_hosts import ANSWER, Hosts, run_test, settle

from pollenbay.claim import (
    ANSWER_LIMIT_BYTES,
    AnsweredRow,
    row_key_of,
)
from pollenbay.commands.claim import (
    record_answer,
    take_claim,
)
from pollenbay.outcome import Answered, Unknown
from pollenbay.states import Reason


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
