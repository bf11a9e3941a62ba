"""Complete memberships over loopback in one process: join, leave, failure, restart, rules."""

from collections.abc import Callable
from time import monotonic

from curio import ignore_after, run, sleep
from membership_double import Group, SharedTable, peer_address, state_in
from msgspec.json import decode
from pytest import mark
from table_double import Fault
from test_delta import make_rules

from pollenbay.commands import joining, peering, rulesync
from pollenbay.commands.departures import record_departure, save
from pollenbay.commands.gossiping import (
    announce_leaving,
    announce_serving,
    report_load,
    withdraw,
)
from pollenbay.commands.rulesync import adopt_rules
from pollenbay.departures import Departure
from pollenbay.ids import RowKey, RuleVersion, TargetId
from pollenbay.membership import JoinProblem, Membership
from pollenbay.peer import (
    EXCHANGE_TIMEOUT_S,
    PeerLink,
    PeerTimeoutError,
    PeerTraffic,
    make_peer_link,
)
from pollenbay.queries.reports import request_reports
from pollenbay.rendezvous import NodeRow
from pollenbay.rulerow import CURRENT_RULES_KEY, encode_row, history_key
from pollenbay.states import MemberState
from pollenbay.table import Write
from pollenbay.view import TargetLoad

#: Documented bounds: deaths and new rules reach all nodes within 5 s, leaving within 2 s.
DEAD_WITHIN_S = 5.0
LEAVING_WITHIN_S = 2.0
RULES_WITHIN_S = 5.0
#: Timeout of waits that have no documented bound.
DEFAULT_TIMEOUT_S = 15.0
GROUP_SIZE = 8


async def wait_for(condition: Callable[[], bool], within_s: float, description: str) -> float:
    """Wait for a condition and return the elapsed time in seconds."""
    start = monotonic()
    while not condition():
        assert (
            monotonic() - start < within_s
        ), f"timed out after {within_s} s waiting for {description}"
        await sleep(0.02)
    return monotonic() - start


async def start_group(group: Group, size: int = GROUP_SIZE) -> None:
    """Start nodes in three zones and wait until each view shows all of them serving."""
    for number in range(size):
        await group.start(f"i{number}", zone=f"z{number % 3}")
    for membership in group.members:
        announce_serving(membership)
    await wait_for(
        lambda: all_views_show(group, MemberState.SERVING), DEFAULT_TIMEOUT_S, "all to serve"
    )


def all_views_show(group: Group, state: MemberState) -> bool:
    """Return whether every view shows every node in a state."""
    names = [membership.gossip.local_instance for membership in group.members]
    return all(state_in(each, name) is state for each in group.members for name in names)


def other_views_show(group: Group, name: str, *states: MemberState) -> bool:
    """Return whether the views of all other nodes show a node in one of these states."""
    others = [each for each in group.members if each.gossip.local_instance != name]
    return all(state_in(each, name) in states for each in others)


async def record(membership: Membership, target: str) -> None:
    """Record a departure and wait until it is stored."""
    departure = Departure(TargetId(target), 10)
    record_departure(membership.departures, departure, membership.timer.now())
    assert await save(membership.departures, DEFAULT_TIMEOUT_S)


def stored_targets(group: Group) -> list[str]:
    """Return the departed targets in the only row of a node."""
    (row,) = [row for key, row in group.table.rows.items() if key.startswith("nodes/")]
    return sorted(each.target for each in decode(row.value, type=NodeRow).departures)


def run_scenario(scenario, table: SharedTable | None = None) -> None:
    """Run a scenario with a group, which is stopped afterwards."""

    async def main():
        group = Group(table or SharedTable())
        try:
            await scenario(group)
        finally:
            await group.stop()

    run(main)


class TestJoin:
    def test_nodes_discover_each_other_through_the_table(self):
        async def scenario(group):
            await start_group(group)
            await wait_for(
                lambda: all(each.ready for each in group.members), DEFAULT_TIMEOUT_S, "ready"
            )
            keys = [key for key in group.table.rows if key.startswith("nodes/")]
            assert len(keys) == GROUP_SIZE

        run_scenario(scenario)

    def test_nodes_join_through_peers_while_the_table_is_down(self):
        table = SharedTable()
        table.down = True

        async def scenario(group):
            first = await group.start("i0")
            await wait_for(
                lambda: first.join_problem is JoinProblem.TABLE_UNAVAILABLE,
                DEFAULT_TIMEOUT_S,
                "the join problem",
            )
            assert not first.ready
            for number in range(1, 4):
                await group.start(f"i{number}", peers=("127.0.0.1:1", peer_address(first)))
            await wait_for(
                lambda: all(each.ready for each in group.members), DEFAULT_TIMEOUT_S, "ready"
            )
            assert all(len(each.view.members) == 4 for each in group.members)

        run_scenario(scenario, table)

    def test_separate_groups_merge_through_the_table(self):
        table = SharedTable()
        table.down = True

        async def scenario(group):
            for half in ("a", "b"):
                first = await group.start(f"{half}0")
                await group.start(f"{half}1", peers=(peer_address(first),))
            pairs = [each.gossip.contacts for each in group.members]
            await wait_for(lambda: all(pairs), DEFAULT_TIMEOUT_S, "two groups")
            assert all(len(each.view.members) == 2 for each in group.members)
            table.down = False
            merged = lambda: all(  # noqa: E731
                len(each.view.members) == 4 for each in group.members
            )
            await wait_for(merged, 2 * DEFAULT_TIMEOUT_S, "one group")

        run_scenario(scenario, table)


class TestLeaving:
    def test_announcement_reaches_all_nodes_within_the_bound(self):
        async def scenario(group):
            await start_group(group)
            announce_leaving(group.members[3])
            leaving = lambda: other_views_show(group, "i3", MemberState.LEAVING)  # noqa: E731
            await wait_for(leaving, LEAVING_WITHIN_S, "the announcement")
            await sleep(1.0)
            assert leaving()

        run_scenario(scenario)

    def test_departed_member_is_declared_dead_without_suspicion(self):
        async def scenario(group):
            await start_group(group)
            member = group.members[3]
            announce_leaving(member)
            await sleep(LEAVING_WITHIN_S)
            await group.kill(member)
            dead = lambda: other_views_show(group, "i3", MemberState.DEAD)  # noqa: E731
            await wait_for(dead, DEAD_WITHIN_S, "its death")
            assert sum(each.gossip.counts.suspected for each in group.members) == 0

        run_scenario(scenario)


class TestDeath:
    def test_killed_node_is_declared_dead_within_the_bound_and_restarts_as_new(self):
        async def scenario(group):
            await start_group(group)
            old = group.members[2].incarnation
            await group.kill(group.members[2])
            dead = lambda: other_views_show(group, "i2", MemberState.DEAD)  # noqa: E731
            await wait_for(dead, DEAD_WITHIN_S, "death")
            restarted = await group.start("i2", zone="z2")
            announce_serving(restarted)
            assert restarted.incarnation > old
            back = lambda: other_views_show(group, "i2", MemberState.SERVING)  # noqa: E731
            await wait_for(back, DEFAULT_TIMEOUT_S, "the restarted node")

        run_scenario(scenario)

    def test_restart_with_the_clock_set_back_still_gets_a_higher_incarnation(self):
        async def scenario(group):
            await start_group(group, 4)
            old = group.members[1].incarnation
            await group.kill(group.members[1])
            restarted = await group.start("i1", zone="z1", incarnation=5)
            announce_serving(restarted)
            known = lambda: {  # noqa: E731
                each.view.members["i1"].incarnation
                for each in group.members
                if each is not restarted
            }
            await wait_for(
                lambda: known() == {restarted.incarnation}, DEFAULT_TIMEOUT_S, "one incarnation"
            )
            assert restarted.incarnation > old
            assert other_views_show(group, "i1", MemberState.SERVING)

        run_scenario(scenario)

    def test_row_of_an_earlier_run_alone_raises_the_incarnation(self):
        async def scenario(group):
            first = await group.start("i1", incarnation=9_000_000_000_000)
            await wait_for(lambda: bool(group.table.rows), DEFAULT_TIMEOUT_S, "the row")
            await group.kill(first)
            restarted = await group.start("i1", incarnation=5)
            await wait_for(
                lambda: restarted.incarnation > 9_000_000_000_000, DEFAULT_TIMEOUT_S, "incarnation"
            )

        run_scenario(scenario)

    # A late write of a stopped process erased the departures that the next one had stored.
    @mark.parametrize("departed", [(), ("i-1",)])
    def test_late_withdrawal_does_not_undo_the_row_of_the_next_process(self, departed):
        async def scenario(group):
            first = await group.start("i1")
            await wait_for(lambda: bool(group.table.rows), DEFAULT_TIMEOUT_S, "the row")
            for target in departed:
                await record(first, target)
            announce_leaving(first)
            group.table.faults.append(Fault.DELAYED)
            await ignore_after(0.1, withdraw, first)
            await group.kill(first)
            restarted = await group.start("i1")
            await record(restarted, "i-2")
            group.table.deliver_delayed()
            assert stored_targets(group) == [*departed, "i-2"]

        run_scenario(scenario)

    # A process that stopped before it had read its row replaced the departures in it by its own.
    def test_withdrawal_keeps_departures_that_were_not_recalled(self):
        async def scenario(group):
            first = await group.start("i1")
            await wait_for(lambda: bool(group.table.rows), DEFAULT_TIMEOUT_S, "the row")
            await record(first, "i-1")
            await group.kill(first)
            group.table.read_down = True
            restarted = await group.start("i1")
            departure = Departure(TargetId("i-2"), 20)
            record_departure(restarted.departures, departure, restarted.timer.now())
            announce_leaving(restarted)
            group.table.read_down = False
            await withdraw(restarted)
            assert stored_targets(group) == ["i-1", "i-2"]

        run_scenario(scenario)

    def test_live_nodes_are_not_suspected(self):
        async def scenario(group):
            await start_group(group)
            await sleep(6.0)
            assert sum(each.gossip.counts.suspected for each in group.members) == 0
            assert all_views_show(group, MemberState.SERVING)

        run_scenario(scenario)


class TestReports:
    def test_load_reaches_all_nodes_of_a_small_group(self):
        async def scenario(group):
            await start_group(group)
            report_load(group.members[0], TargetLoad(5, 9, 4, 1))
            arrived = lambda: all(  # noqa: E731
                each.view.members["i0"].load == TargetLoad(5, 9, 4, 1) for each in group.members
            )
            await wait_for(arrived, DEFAULT_TIMEOUT_S, "the load")

        run_scenario(scenario)

    def test_reports_give_each_rule_version_and_mark_unresponsive_nodes(self):
        async def scenario(group):
            await start_group(group, 4)
            await adopt_rules(group.members[0], make_rules(7, 10))
            behind = lambda: any(each.rulebook.version < 7 for each in group.members)  # noqa: E731
            await wait_for(lambda: not behind(), RULES_WITHIN_S, "the rules")
            await group.kill(group.members[3])
            await sleep(1.2)
            reports = await request_reports(group.members[0])
            assert reports["i3"] is None
            assert [reports[name].rule_version for name in ("i0", "i1", "i2")] == [7, 7, 7]

        run_scenario(scenario)


class TestRules:
    def test_version_adopted_on_one_node_reaches_all_within_the_bound(self):
        async def scenario(group):
            await start_group(group)
            await adopt_rules(group.members[5], make_rules(3, 10, 20))
            done = lambda: all(each.rulebook.version == 3 for each in group.members)  # noqa: E731
            await wait_for(done, RULES_WITHIN_S, "version 3")
            await adopt_rules(group.members[1], make_rules(4, 10, 25))
            done = lambda: all(  # noqa: E731
                each.rulebook.rules == make_rules(4, 10, 25) for each in group.members
            )
            await wait_for(done, RULES_WITHIN_S, "version 4")

        run_scenario(scenario)

    def test_version_in_the_table_is_adopted_without_its_publisher(self):
        async def scenario(group):
            await start_group(group)
            rules = make_rules(6, 10)
            await publish(group.table, rules)
            done = lambda: all(each.rulebook.rules == rules for each in group.members)  # noqa: E731
            await wait_for(done, RULES_WITHIN_S, "version 6")

        run_scenario(scenario)

    def test_late_node_adopts_its_peers_version_over_an_older_table_row(self):
        async def scenario(group):
            await publish(group.table, make_rules(2, 10))
            await start_group(group, 4)
            await adopt_rules(group.members[0], make_rules(9, 99))
            late = await group.start("late")
            await wait_for(lambda: late.ready, DEFAULT_TIMEOUT_S, "the late node")
            assert late.rulebook.version == 9
            await sleep(3.0)
            assert {each.rulebook.version for each in group.members} == {9}

        run_scenario(scenario)

    def test_rules_that_do_not_match_their_digest_are_not_adopted(self):
        async def scenario(group):
            await start_group(group, 3)
            good = make_rules(3, 10)
            group.members[0].rulebook.activate(
                type(good)(
                    version=RuleVersion(8),
                    digest=good.digest,
                    author=good.author,
                    published_at=1.0,
                    services=make_rules(8, 77).services,
                ),
                1.0,
            )
            failed = lambda: all(  # noqa: E731
                each.gossip.counts.rules_pulls_failed for each in group.members[1:]
            )
            await wait_for(failed, DEFAULT_TIMEOUT_S, "a refused pull")
            assert [each.rulebook.version for each in group.members[1:]] == [0, 0]

        run_scenario(scenario)


class Partition:
    """Network partition between two sides of a group.

    :param cut_off: names of the nodes on one side; empty while there is no partition.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self.cut_off: set[str] = set()

    def make_link(self, address: str, port: int, traffic: PeerTraffic) -> PeerLink:
        """Return a link whose requests time out while its ends are on different sides."""
        link = make_peer_link(address, port, traffic)
        send = link.send_request
        source = next(each for each in self._group.members if each.traffic is traffic)

        async def send_unless_cut_off(request):
            target = next(each for each in self._group.members if each.gossip_port == port)
            if (source.gossip.local_instance in self.cut_off) != (
                target.gossip.local_instance in self.cut_off
            ):
                await sleep(EXCHANGE_TIMEOUT_S)
                raise PeerTimeoutError("partitioned")
            return await send(request)

        link.send_request = send_unless_cut_off
        return link


class TestPartition:
    def test_partitioned_regions_keep_their_members_and_merge_again(self, monkeypatch):
        async def scenario(group):
            partition = Partition(group)
            for module in (peering, rulesync, joining):
                monkeypatch.setattr(module, "make_peer_link", partition.make_link)
            for number in range(9):
                region = "r1" if number < 6 else "r2"
                await group.start(f"i{number}", zone=f"z{number // 2}", region=region)
            for membership in group.members:
                announce_serving(membership)
            await wait_for(
                lambda: all_views_show(group, MemberState.SERVING), DEFAULT_TIMEOUT_S, "serving"
            )
            partition.cut_off = {"i6", "i7", "i8"}
            group.table.down = True
            far = [
                each for each in group.members if each.gossip.local_instance in partition.cut_off
            ]
            near = [each for each in group.members if each not in far]
            suspected = lambda: all(  # noqa: E731
                state_in(each, name) is MemberState.SUSPECT
                for each in near
                for name in partition.cut_off
            )
            await wait_for(suspected, DEFAULT_TIMEOUT_S, "suspicion")
            await adopt_rules(near[0], make_rules(3, 10))
            await sleep(2 * DEAD_WITHIN_S)
            assert suspected()
            assert sum(each.gossip.counts.declared_dead for each in group.members) == 0
            assert {each.rulebook.version for each in near} == {3}
            assert {each.rulebook.version for each in far} == {0}
            partition.cut_off = set()
            await wait_for(
                lambda: all_views_show(group, MemberState.SERVING),
                DEFAULT_TIMEOUT_S,
                "all to serve again",
            )
            updated = lambda: {each.rulebook.version for each in group.members} == {3}  # noqa: E731
            await wait_for(updated, RULES_WITHIN_S, "the rules")
            assert sum(each.gossip.counts.reincarnations for each in group.members) == 0

        run_scenario(scenario)


async def publish(table: SharedTable, rules) -> None:
    """Write a version to the table as a publication does."""
    writes = [
        Write(RowKey(CURRENT_RULES_KEY), encode_row(rules)),
        Write(history_key(rules.version), b"{}"),
    ]
    await table.transact([], writes)
