"""Table rows by which nodes discover each other, and the load that they put on the table."""

import pytest
from curio import run
from membership_double import SharedTable, record_for

from pollenbay.departures import Departure
from pollenbay.ids import RowKey, RuleVersion, TargetId
from pollenbay.rendezvous import (
    ABANDONED_PERIODS,
    ANNOUNCE_MIN_S,
    LOCAL_ZONE_SEED_ROWS,
    OTHER_ZONES_SEED_ROWS,
    REMOVALS_LIMIT,
    WITHDRAWN_RETENTION_S,
    announce_node,
    announce_period_s,
    backoff_limit_s,
    has_newer_rules,
    poll_period_s,
    read_node,
    read_seeds,
    remove_abandoned,
    row_key,
    withdraw_node,
)
from pollenbay.states import MemberState
from pollenbay.table import Write

NODE_COUNT = 3800
SCANS_MAX = 4


async def fill(table: SharedTable, zones: tuple[str, ...], count: int, epoch_s: float) -> None:
    """Announce `count` nodes in each zone."""
    for zone in zones:
        for number in range(count):
            await announce_node(table, record_for(f"{zone}-{number:03d}", zone=zone), epoch_s)


class TestBudget:
    def test_table_load_at_the_target_size_is_within_budget(self):
        writes_per_s = NODE_COUNT / announce_period_s(NODE_COUNT)
        announcement_reads_per_s = writes_per_s * (1 + 1 + SCANS_MAX)
        poll_reads_per_s = NODE_COUNT / poll_period_s(NODE_COUNT)
        assert writes_per_s <= 100
        assert announcement_reads_per_s + poll_reads_per_s <= 300
        assert NODE_COUNT / backoff_limit_s(NODE_COUNT) <= 100

    def test_few_nodes_poll_often(self):
        assert poll_period_s(8) == 2.0
        assert announce_period_s(8) == ANNOUNCE_MIN_S


class TestSeeds:
    def test_seeds_are_bounded_and_of_several_zones(self):
        table = SharedTable()

        async def main():
            await fill(table, ("z1", "z2", "z3"), 100, 0.0)
            result = await read_seeds(table, record_for("z2-050", zone="z2"))
            return result.ok_value

        seeds = run(main)
        assert 0 < len(seeds) <= 2 * (LOCAL_ZONE_SEED_ROWS + OTHER_ZONES_SEED_ROWS)
        zones = {row.instance.partition("-")[0] for row in seeds}
        assert {"z2", "z3"} <= zones
        assert "z2-050" not in {row.instance for row in seeds}

    def test_last_node_of_the_last_zone_finds_others(self):
        table = SharedTable()

        async def main():
            await fill(table, ("z1", "z2"), 2, 0.0)
            result = await read_seeds(table, record_for("z2-001", zone="z2"))
            return {row.instance for row in result.ok_value}

        assert run(main) == {"z1-000", "z1-001", "z2-000"}

    # After a release the rows of departed nodes filled the page, and new nodes found no others.
    @pytest.mark.parametrize("departed", [40, 400])
    def test_nodes_are_found_behind_the_rows_of_many_that_have_left(self, departed):
        table = SharedTable()

        async def main():
            for number in range(departed):
                left = record_for(f"a-{number:03d}", state=MemberState.LEAVING)
                await announce_node(table, left, 0.0)
            await announce_node(table, record_for("b"), 0.0)
            seeds = await read_seeds(table, record_for("a"))
            return [row.instance for row in seeds.ok_value]

        assert run(main) == ["b"]

    def test_malformed_rows_are_skipped(self):
        table = SharedTable()

        async def main():
            await fill(table, ("z1",), 1, 0.0)
            await table.transact([], [Write(RowKey("nodes/z1/broken"), b"\xff")])
            result = await read_seeds(table, record_for("me"))
            return [row.instance for row in result.ok_value]

        assert run(main) == ["z1-000"]

    def test_table_that_is_down_is_an_error(self):
        table = SharedTable()
        table.down = True
        assert run(read_seeds, table, record_for("a")).is_err()


class TestRows:
    def test_incarnation_is_read_back_and_removed_on_withdrawal(self):
        table = SharedTable()

        async def main():
            record = record_for("a", incarnation=17)
            absent = await read_node(table, record)
            await announce_node(table, record, 1.0)
            present = await read_node(table, record)
            await withdraw_node(table, record, present.ok_value.version)
            return absent.ok_value.row, present.ok_value.row.incarnation, list(table.rows)

        assert run(main) == (None, 17, [])

    @pytest.mark.parametrize("age_factor, left", [(0.5, 41), (2.0, 41 - REMOVALS_LIMIT)])
    def test_only_abandoned_rows_are_removed_and_few_at_once(self, age_factor, left):
        table = SharedTable()

        async def main():
            await fill(table, ("z1",), 40, 0.0)
            local_record = record_for("z1", zone="z1")
            now = age_factor * ABANDONED_PERIODS * announce_period_s(41)
            await announce_node(table, local_record, now)
            await remove_abandoned(table, local_record, now, 41)
            return row_key(local_record.zone, local_record.instance) in table.rows

        assert run(main)
        assert len(table.rows) == left

    # A process that was stopped as planned took the departures that it had confirmed with it.
    def test_departures_stay_in_the_row_of_a_node_that_has_left(self):
        table = SharedTable()
        departure = Departure(TargetId("i-1"), 17, 4)

        async def main():
            leaving = record_for("a", state=MemberState.LEAVING)
            await announce_node(table, leaving, 1.0, [departure])
            stored = await read_node(table, leaving)
            seeds = await read_seeds(table, record_for("b"))
            return stored.ok_value.row, seeds.ok_value

        row, seeds = run(main)
        assert row.departures == [departure]
        assert seeds == []

    @pytest.mark.parametrize("periods, left", [(0.5, 2), (1.5, 1)])
    def test_row_of_a_node_that_has_left_is_removed_early(self, periods, left):
        table = SharedTable()

        async def main():
            await announce_node(table, record_for("b", state=MemberState.LEAVING), 0.0)
            await announce_node(table, record_for("a"), 0.0)
            await remove_abandoned(table, record_for("a"), periods * WITHDRAWN_RETENTION_S, 2)

        run(main)
        assert len(table.rows) == left

    def test_late_write_does_not_replace_a_newer_row(self):
        table = SharedTable()

        async def main():
            me = record_for("a")
            stored = (await read_node(table, me)).ok_value
            await announce_node(table, me, 1.0, [Departure(TargetId("i-1"), 17)], stored.version)
            late = await announce_node(table, me, 0.0, [], stored.version)
            return late.is_err(), (await read_node(table, me)).ok_value.row.departures

        refused, departures = run(main)
        assert refused
        assert [each.target for each in departures] == ["i-1"]


class TestNewerRules:
    def test_only_a_higher_version_is_newer(self):
        table = SharedTable()

        async def main():
            await table.transact([], [Write(RowKey("rules/history/0000000012"), b"")])
            results = [await has_newer_rules(table, RuleVersion(each)) for each in (9, 11, 12, 13)]
            return [result.ok_value for result in results]

        assert run(main) == [True, True, False, False]
