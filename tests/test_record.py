"""Recorded responses of claimed calls: bounded in size, and never written over another row."""

from claim_hosts import RESPONSE, Hosts, drain_records, run_test

from pollenbay.claim import (
    STORED_RESPONSE_BYTES_MAX,
    AnsweredRow,
    row_key_of,
)
from pollenbay.commands.claim import (
    acquire_claim,
    record_response,
)
from pollenbay.outcome import Answered, Unknown
from pollenbay.states import Reason


class TestResponses:
    def test_too_large_response_is_marked_and_the_call_not_run_again(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            body = b"x" * (STORED_RESPONSE_BYTES_MAX + 1)
            await record_response(first, claim, Answered(200, [], body))
            await drain_records(first)
            assert await acquire_claim(other, hosts.request()) == Unknown(Reason.TOO_LARGE)
            assert hosts.row().body == b""

        run_test(test)

    def test_response_is_recorded_for_a_key_whose_row_was_removed_earlier(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            hosts.table.versions[row_key_of(hosts.request())] = 7
            claim = await acquire_claim(ledger, hosts.request())
            await record_response(ledger, claim, RESPONSE)
            await drain_records(ledger)
            assert isinstance(hosts.row(), AnsweredRow)

        run_test(test)

    def test_response_for_a_removed_row_is_counted_lost(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await acquire_claim(ledger, hosts.request())
            hosts.table.rows.clear()
            await record_response(ledger, claim, RESPONSE)
            await drain_records(ledger)
            assert (ledger.counts.recorded, ledger.counts.lost) == (0, 1)

        run_test(test)

    def test_response_never_overwrites_another_attempts_row(self) -> None:
        async def test(hosts: Hosts) -> None:
            first, other = await hosts.start("b1"), await hosts.start("b2")
            claim = await acquire_claim(first, hosts.request())
            hosts.table.rows.clear()
            second_claim = await acquire_claim(other, hosts.request())
            await record_response(first, claim, RESPONSE)
            await drain_records(first)
            assert (first.counts.recorded, first.counts.lost) == (0, 1)
            assert hosts.row().nonce == second_claim.nonce

        run_test(test)
