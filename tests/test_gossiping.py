"""Whole memberships over loopback in one process: join, leave, die, restart, rules."""

from collections.abc import Callable
from time import monotonic

from curio import run, sleep
from membership_double import Group, SharedTable, seed_of, state_in
from test_delta import rules_of

from pollenbay.commands import joining, peering, pulling
from pollenbay.commands.gossiping import announce_leaving, announce_serving, report_load
from pollenbay.commands.pulling import adopt_rules
from pollenbay.ids import RowKey, RuleVersion
from pollenbay.membership import JoinProblem
from pollenbay.peer import (
    EXCHANGE_TIMEOUT_S,
    PeerLink,
    PeerSilentError,
    PeerTraffic,
    make_peer_link,
)
from pollenbay.queries.survey import ask_reports
from pollenbay.rulerow import CURRENT_KEY, encode_row, history_key
from pollenbay.states import MemberState
from pollenbay.table import Write
from pollenbay.view import Load

#: Bounds that the project states: death and rules within 5 s, leaving within 2 s.
DEAD_WITHIN_S = 5.0
LEAVING_WITHIN_S = 2.0
RULES_WITHIN_S = 5.0
#: For what has no stated bound.
SOON_S = 15.0
SIZE = 8


async def wait_for(condition: Callable[[], bool], within_s: float, what: str) -> float:
    """Wait for a condition and return how long it took."""
    start = monotonic()
    while not condition():
        assert monotonic() - start < within_s, f"waited {within_s} s in vain for {what}"
        await sleep(0.02)
    return monotonic() - start


async def start_group(group: Group, size: int = SIZE) -> None:
    """Start a group over three zones and wait until all serve and all know it."""
    for number in range(size):
        await group.start(f"i{number}", zone=f"z{number % 3}")
    for membership in group.members:
        announce_serving(membership)
    await wait_for(lambda: all_believe(group, MemberState.SERVING), SOON_S, "all to serve")


def all_believe(group: Group, state: MemberState) -> bool:
    """Tell whether everybody believes everybody to be in a state."""
    names = [membership.gossip.own for membership in group.members]
    return all(state_in(each, name) is state for each in group.members for name in names)


def others_believe(group: Group, name: str, *states: MemberState) -> bool:
    """Tell whether all others believe one to be in one of these states."""
    others = [each for each in group.members if each.gossip.own != name]
    return all(state_in(each, name) in states for each in others)


def in_group(scenario, table: SharedTable | None = None) -> None:
    """Run a scenario with a group that is stopped in the end."""

    async def main():
        group = Group(table or SharedTable())
        try:
            await scenario(group)
        finally:
            await group.stop()

    run(main)


class TestJoin:
    def test_nodes_find_each_other_through_the_table(self):
        async def scenario(group):
            await start_group(group)
            await wait_for(lambda: all(each.ready for each in group.members), SOON_S, "ready")
            keys = [key for key in group.table.rows if key.startswith("nodes/")]
            assert len(keys) == SIZE

        in_group(scenario)

    def test_while_the_table_is_down_nodes_join_through_peers(self):
        table = SharedTable()
        table.down = True

        async def scenario(group):
            first = await group.start("i0")
            await wait_for(lambda: first.problem is JoinProblem.TABLE_UNAVAILABLE, SOON_S, "why")
            assert not first.ready
            for number in range(1, 4):
                await group.start(f"i{number}", peers=("127.0.0.1:1", seed_of(first)))
            await wait_for(lambda: all(each.ready for each in group.members), SOON_S, "ready")
            assert all(len(each.view.members) == 4 for each in group.members)

        in_group(scenario, table)

    def test_groups_that_formed_apart_find_together_through_the_table(self):
        table = SharedTable()
        table.down = True

        async def scenario(group):
            for half in ("a", "b"):
                first = await group.start(f"{half}0")
                await group.start(f"{half}1", peers=(seed_of(first),))
            pairs = [each.gossip.contacts for each in group.members]
            await wait_for(lambda: all(pairs), SOON_S, "two groups")
            assert all(len(each.view.members) == 2 for each in group.members)
            table.down = False
            whole = lambda: all(len(each.view.members) == 4 for each in group.members)  # noqa: E731
            await wait_for(whole, 2 * SOON_S, "one group")

        in_group(scenario, table)


class TestLeaving:
    def test_announcement_is_everywhere_within_its_bound(self):
        async def scenario(group):
            await start_group(group)
            announce_leaving(group.members[3])
            leaving = lambda: others_believe(group, "i3", MemberState.LEAVING)  # noqa: E731
            await wait_for(leaving, LEAVING_WITHIN_S, "the announcement")
            await sleep(1.0)
            assert leaving()

        in_group(scenario)

    def test_member_that_left_is_dead_without_having_been_suspected(self):
        async def scenario(group):
            await start_group(group)
            member = group.members[3]
            announce_leaving(member)
            await sleep(LEAVING_WITHIN_S)
            await group.kill(member)
            dead = lambda: others_believe(group, "i3", MemberState.DEAD)  # noqa: E731
            await wait_for(dead, DEAD_WITHIN_S, "its end")
            assert sum(each.gossip.counts.suspected for each in group.members) == 0

        in_group(scenario)


class TestDeath:
    def test_dead_node_is_out_within_the_bound_and_its_restart_is_new(self):
        async def scenario(group):
            await start_group(group)
            old = group.members[2].incarnation
            await group.kill(group.members[2])
            dead = lambda: others_believe(group, "i2", MemberState.DEAD)  # noqa: E731
            await wait_for(dead, DEAD_WITHIN_S, "death")
            again = await group.start("i2", zone="z2")
            announce_serving(again)
            assert again.incarnation > old
            back = lambda: others_believe(group, "i2", MemberState.SERVING)  # noqa: E731
            await wait_for(back, SOON_S, "the restarted node")

        in_group(scenario)

    def test_restart_with_the_clock_set_back_still_gets_a_higher_incarnation(self):
        async def scenario(group):
            await start_group(group, 4)
            old = group.members[1].incarnation
            await group.kill(group.members[1])
            again = await group.start("i1", zone="z1", incarnation=5)
            announce_serving(again)
            known = lambda: {  # noqa: E731
                each.view.members["i1"].incarnation for each in group.members if each is not again
            }
            await wait_for(lambda: known() == {again.incarnation}, SOON_S, "one incarnation")
            assert again.incarnation > old
            assert others_believe(group, "i1", MemberState.SERVING)

        in_group(scenario)

    def test_row_of_an_earlier_run_alone_raises_the_incarnation(self):
        async def scenario(group):
            first = await group.start("i1", incarnation=9_000_000_000_000)
            await wait_for(lambda: bool(group.table.rows), SOON_S, "the row")
            await group.kill(first)
            again = await group.start("i1", incarnation=5)
            await wait_for(lambda: again.incarnation > 9_000_000_000_000, SOON_S, "incarnation")

        in_group(scenario)

    def test_live_nodes_are_not_suspected(self):
        async def scenario(group):
            await start_group(group)
            await sleep(6.0)
            assert sum(each.gossip.counts.suspected for each in group.members) == 0
            assert all_believe(group, MemberState.SERVING)

        in_group(scenario)


class TestReports:
    def test_load_reaches_all_nodes_of_a_small_group(self):
        async def scenario(group):
            await start_group(group)
            report_load(group.members[0], Load(5, 9, 4, 1))
            arrived = lambda: all(  # noqa: E731
                each.view.members["i0"].load == Load(5, 9, 4, 1) for each in group.members
            )
            await wait_for(arrived, SOON_S, "the load")

        in_group(scenario)

    def test_survey_names_the_version_of_each_and_who_does_not_answer(self):
        async def scenario(group):
            await start_group(group, 4)
            await adopt_rules(group.members[0], rules_of(7, 10))
            behind = lambda: any(each.rulebook.version < 7 for each in group.members)  # noqa: E731
            await wait_for(lambda: not behind(), RULES_WITHIN_S, "the rules")
            await group.kill(group.members[3])
            await sleep(1.2)
            reports = await ask_reports(group.members[0])
            assert reports["i3"] is None
            assert [reports[name].rule_version for name in ("i0", "i1", "i2")] == [7, 7, 7]

        in_group(scenario)


class TestRules:
    def test_version_adopted_on_one_node_is_everywhere_within_the_bound(self):
        async def scenario(group):
            await start_group(group)
            await adopt_rules(group.members[5], rules_of(3, 10, 20))
            done = lambda: all(each.rulebook.version == 3 for each in group.members)  # noqa: E731
            await wait_for(done, RULES_WITHIN_S, "version 3")
            await adopt_rules(group.members[1], rules_of(4, 10, 25))
            done = lambda: all(  # noqa: E731
                each.rulebook.rules == rules_of(4, 10, 25) for each in group.members
            )
            await wait_for(done, RULES_WITHIN_S, "version 4")

        in_group(scenario)

    def test_version_in_the_table_alone_is_found_without_its_publisher(self):
        async def scenario(group):
            await start_group(group)
            rules = rules_of(6, 10)
            await publish(group.table, rules)
            done = lambda: all(each.rulebook.rules == rules for each in group.members)  # noqa: E731
            await wait_for(done, RULES_WITHIN_S, "version 6")

        in_group(scenario)

    def test_late_starter_with_an_older_table_takes_its_peers_version(self):
        async def scenario(group):
            await publish(group.table, rules_of(2, 10))
            await start_group(group, 4)
            await adopt_rules(group.members[0], rules_of(9, 99))
            late = await group.start("late")
            await wait_for(lambda: late.ready, SOON_S, "the late node")
            assert late.rulebook.version == 9
            await sleep(3.0)
            assert {each.rulebook.version for each in group.members} == {9}

        in_group(scenario)

    def test_rules_that_do_not_match_their_digest_are_not_adopted(self):
        async def scenario(group):
            await start_group(group, 3)
            good = rules_of(3, 10)
            group.members[0].rulebook.replace(
                type(good)(
                    version=RuleVersion(8),
                    digest=good.digest,
                    author=good.author,
                    published_at=1.0,
                    services=rules_of(8, 77).services,
                ),
                1.0,
            )
            failed = lambda: all(  # noqa: E731
                each.gossip.counts.rules_pulls_failed for each in group.members[1:]
            )
            await wait_for(failed, SOON_S, "a refused pull")
            assert [each.rulebook.version for each in group.members[1:]] == [0, 0]

        in_group(scenario)


class Partition:
    """Cuts the links between two parts of a group.

    :param cut: names on one side; empty while all is whole.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self.cut: set[str] = set()

    def make_link(self, address: str, port: int, traffic: PeerTraffic) -> PeerLink:
        """Return a link that is silent while its two ends are cut apart."""
        link = make_peer_link(address, port, traffic)
        ask = link.ask
        source = next(each for each in self._group.members if each.traffic is traffic)

        async def ask_unless_cut(question):
            target = next(each for each in self._group.members if each.gossip_port == port)
            if (source.gossip.own in self.cut) != (target.gossip.own in self.cut):
                await sleep(EXCHANGE_TIMEOUT_S)
                raise PeerSilentError("cut")
            return await ask(question)

        link.ask = ask_unless_cut
        return link


class TestPartition:
    def test_regions_that_lose_each_other_forget_nobody_and_meet_again(self, monkeypatch):
        async def scenario(group):
            partition = Partition(group)
            for module in (peering, pulling, joining):
                monkeypatch.setattr(module, "make_peer_link", partition.make_link)
            for number in range(9):
                region = "r1" if number < 6 else "r2"
                await group.start(f"i{number}", zone=f"z{number // 2}", region=region)
            for membership in group.members:
                announce_serving(membership)
            await wait_for(lambda: all_believe(group, MemberState.SERVING), SOON_S, "serving")
            partition.cut = {"i6", "i7", "i8"}
            group.table.down = True
            far = [each for each in group.members if each.gossip.own in partition.cut]
            near = [each for each in group.members if each not in far]
            suspected = lambda: all(  # noqa: E731
                state_in(each, name) is MemberState.SUSPECT
                for each in near
                for name in partition.cut
            )
            await wait_for(suspected, SOON_S, "suspicion")
            await adopt_rules(near[0], rules_of(3, 10))
            await sleep(2 * DEAD_WITHIN_S)
            assert suspected()
            assert sum(each.gossip.counts.declared_dead for each in group.members) == 0
            assert {each.rulebook.version for each in near} == {3}
            assert {each.rulebook.version for each in far} == {0}
            partition.cut = set()
            await wait_for(lambda: all_believe(group, MemberState.SERVING), SOON_S, "reunion")
            whole = lambda: {each.rulebook.version for each in group.members} == {3}  # noqa: E731
            await wait_for(whole, RULES_WITHIN_S, "the rules")
            assert sum(each.gossip.counts.reincarnations for each in group.members) == 0

        in_group(scenario)


async def publish(table: SharedTable, rules) -> None:
    """Write a version to the table as a publication does."""
    writes = [
        Write(RowKey(CURRENT_KEY), encode_row(rules)),
        Write(history_key(rules.version), b"{}"),
    ]
    await table.transact([], writes)
