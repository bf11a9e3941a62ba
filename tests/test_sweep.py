"""Removal of claim rows past their retention time."""

from unittest.mock import patch

from claim_hosts import CALL_TIMEOUT_S, Hosts, drain_records, run_test
from curio import sleep, spawn

from pollenbay.claim import (
    Claim,
    row_key_of,
)
from pollenbay.commands.claim import (
    acquire_claim,
    release_claim,
)
from pollenbay.commands.sweep import SWEEP_PAGE_ROWS, run_sweeper, sweep_page
from pollenbay.ledger import RETENTION_S
from pollenbay.timer import make_timer


class TestSweep:
    def test_rows_past_retention_are_removed_and_newer_rows_kept(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            for n in range(3):
                await acquire_claim(ledger, hosts.request(f"old{n}"))
            hosts.timer.time_s += CALL_TIMEOUT_S + RETENTION_S + 1
            await acquire_claim(ledger, hosts.request("young"))
            assert await sweep_page(ledger, "") == 3
            assert list(hosts.table.rows) == [row_key_of(hosts.request("young"))]

        run_test(test)

    def test_retention_counts_from_the_deadline(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            await acquire_claim(ledger, hosts.request())
            hosts.timer.time_s += RETENTION_S + CALL_TIMEOUT_S / 2
            assert await sweep_page(ledger, "") == 0

        run_test(test)

    def test_page_size_is_bounded(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            for n in range(SWEEP_PAGE_ROWS + 20):
                await acquire_claim(ledger, hosts.request(f"k{n}"))
            hosts.timer.time_s += CALL_TIMEOUT_S + RETENTION_S + 1
            assert await sweep_page(ledger, "") == SWEEP_PAGE_ROWS
            assert await sweep_page(ledger, "") == 20

        run_test(test)

    def test_row_claimed_again_after_the_page_was_read_is_kept(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            claim = await acquire_claim(ledger, hosts.request())
            await release_claim(ledger, claim)
            await drain_records(ledger)
            hosts.timer.time_s += CALL_TIMEOUT_S + RETENTION_S + 1
            hosts.table.stale_rows = dict(hosts.table.rows)
            second_claim = await acquire_claim(ledger, hosts.request())
            assert isinstance(second_claim, Claim)
            assert await sweep_page(ledger, "") == 0
            assert hosts.row().nonce == second_claim.nonce

        run_test(test)

    def test_sweeper_continues_while_pages_are_full_of_old_rows(self) -> None:
        async def test(hosts: Hosts) -> None:
            ledger = await hosts.start("b1")
            for n in range(3 * SWEEP_PAGE_ROWS):
                await acquire_claim(ledger, hosts.request(f"k{n}"))
            hosts.timer.time_s += CALL_TIMEOUT_S + RETENTION_S + 1
            ledger.timer = make_timer()
            await spawn(ledger.timer.run, daemon=True)
            await spawn(run_sweeper, ledger, daemon=True)
            while hosts.table.rows:
                await sleep(0.01)
            assert ledger.counts.removed == 3 * SWEEP_PAGE_ROWS

        with (
            patch("pollenbay.commands.sweep.SWEEP_PERIOD_S", 0.01),
            patch("pollenbay.commands.sweep.SWEEP_GAP_S", 0.001),
            patch("pollenbay.commands.sweep.random_start_key", lambda: ""),
        ):
            run_test(test)
