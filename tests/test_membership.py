"""Membership views: precedence of records, failure detection, isolation and refutation."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from membership_double import clock_at, member_for, record_for, view_of

from pollenbay.commands.heartbeat import (
    acknowledge_updates,
    apply_heartbeat,
    apply_peer_heartbeat,
    apply_records,
    compose_heartbeat,
    queue_bucket_differences,
)
from pollenbay.commands.membership import (
    announce_state,
    apply_record,
    check_contacts,
    mark_seen,
    raise_incarnation,
    renew_lease,
    update_peers,
)
from pollenbay.gossip import (
    CONTACT_CHECK_PERIOD_S,
    MASS_SUSPICION_HOLD_S,
    NODE_LEASE_S,
    REFUTATION_TIMEOUT_S,
    SUSPICION_TIMEOUT_S,
    TOMBSTONE_RETENTION_S,
    VIEW_EXPIRY_S,
    Gossip,
    make_gossip,
)
from pollenbay.gossipmessage import Heartbeat
from pollenbay.ids import InstanceId
from pollenbay.queries.membership import (
    holds_lease,
    is_mass_suspicion,
    page_after,
    precedence_of,
    record_of,
    records_in_bucket,
    supersedes,
    view_digest,
)
from pollenbay.rulebook import make_rulebook
from pollenbay.states import MemberState
from pollenbay.view import Member, View

LOCAL_NODE = InstanceId("a")
NAMES = ("a", "b", "c", "d", "e")
MACHINE_EXAMPLES = 300
RECORDS = st.builds(
    record_for,
    st.just("b"),
    incarnation=st.integers(1, 3),
    sequence=st.integers(0, 3),
    state=st.sampled_from(list(MemberState)),
)


def make_node_state(names: tuple[str, ...] = NAMES) -> tuple[Gossip, View]:
    """Return node `a` at 0 s, with the named members in its view and its peers selected."""
    view = view_of(*(member_for(name) for name in names))
    gossip = make_gossip(LOCAL_NODE, 0.0)
    update_peers(gossip, view, 0.0)
    return gossip, view


def run_checks(gossip: Gossip, view: View, start: float, end: float, responding: set[str]) -> None:
    """Check the contacts at the node's period, while the named members keep responding."""
    now = start
    while now <= end:
        for name in responding & set(gossip.contacts):
            mark_seen(gossip, view, InstanceId(name), now)
        check_contacts(gossip, view, now)
        now += CONTACT_CHECK_PERIOD_S


class TestPrecedence:
    @given(st.lists(RECORDS, min_size=1, max_size=8), st.randoms())
    def test_records_in_any_order_and_repeated_give_the_same_member(self, records, random):
        shuffled = records + random.sample(records, len(records) // 2)
        random.shuffle(shuffled)
        outcomes = []
        for series in (records, shuffled):
            gossip, view = make_node_state()
            for record in series:
                apply_record(gossip, view, record, clock_at(1.0), InstanceId("c"))
            outcomes.append(precedence_of(view.members[InstanceId("b")]))
        assert outcomes[0] == outcomes[1]

    def test_record_of_an_earlier_incarnation_does_not_supersede(self):
        member = member_for("b", incarnation=2)
        for state in MemberState:
            assert not supersedes(record_for("b", 1, 99, state), member)

    def test_leaving_supersedes_serving_at_any_sequence(self):
        leaving = member_for("b", state=MemberState.LEAVING, sequence=1)
        assert not supersedes(record_for("b", sequence=9), leaving)
        assert supersedes(record_of(leaving), member_for("b", sequence=9))

    def test_only_a_higher_sequence_refutes_a_suspicion(self):
        suspect = member_for("b", state=MemberState.SUSPECT, sequence=4)
        assert not supersedes(record_for("b", sequence=4), suspect)
        assert supersedes(record_for("b", sequence=5), suspect)

    def test_only_a_new_incarnation_supersedes_dead(self):
        dead = member_for("b", state=MemberState.DEAD)
        assert not supersedes(record_for("b", sequence=99), dead)
        assert supersedes(record_for("b", incarnation=2), dead)

    def test_repeated_record_is_neither_applied_nor_gossiped(self):
        gossip, view = make_node_state()
        record = record_for("b", sequence=1)
        assert apply_record(gossip, view, record, clock_at(1.0), InstanceId("c"))
        gossip.pending_updates.clear()
        assert not apply_record(gossip, view, record, clock_at(2.0), InstanceId("d"))
        assert not gossip.pending_updates

    def test_death_of_an_unknown_member_is_ignored(self):
        gossip, view = make_node_state()
        dead = record_for("x", state=MemberState.DEAD)
        assert not apply_record(gossip, view, dead, clock_at(1.0), InstanceId("b"))
        assert "x" not in view.members


class TestRefutation:
    def test_suspected_node_raises_its_sequence(self):
        gossip, view = make_node_state()
        suspicion = record_for("a", state=MemberState.SUSPECT, sequence=0)
        assert apply_record(gossip, view, suspicion, clock_at(1.0), InstanceId("b"))
        assert supersedes(
            record_of(view.members[LOCAL_NODE]), member_for("a", state=MemberState.SUSPECT)
        )
        assert all(LOCAL_NODE in gossip.pending_updates[peer] for peer in gossip.selected_peers)

    def test_node_declared_dead_returns_as_a_new_incarnation(self):
        gossip, view = make_node_state()
        death = record_for("a", state=MemberState.DEAD)
        assert apply_record(gossip, view, death, clock_at(5.0), InstanceId("b"))
        assert view.members[LOCAL_NODE].incarnation == 5000
        assert view.members[LOCAL_NODE].state is MemberState.SERVING

    def test_new_incarnation_exceeds_one_from_a_clock_that_was_ahead(self):
        gossip, view = make_node_state()
        earlier_run = record_for("a", incarnation=9_000_000)
        apply_record(gossip, view, earlier_run, clock_at(5.0), InstanceId("b"))
        assert view.members[LOCAL_NODE].incarnation == 9_000_001

    def test_row_of_an_earlier_run_raises_the_incarnation_and_own_row_does_not(self):
        gossip, view = make_node_state()
        assert not raise_incarnation(
            gossip, view, view.members[LOCAL_NODE].incarnation, clock_at(1.0)
        )
        assert raise_incarnation(gossip, view, 9_000_000, clock_at(1.0))
        assert view.members[LOCAL_NODE].incarnation == 9_000_001

    def test_two_nodes_with_one_name_raise_incarnations_at_a_limited_rate(self):
        gossip, view = make_node_state()
        apply_record(gossip, view, record_for("a", 10_000), clock_at(5.0), InstanceId("b"))
        again = record_for("a", 20_000)
        assert not apply_record(gossip, view, again, clock_at(5.1), InstanceId("b"))
        assert apply_record(gossip, view, again, clock_at(6.5), InstanceId("b"))

    def test_leaving_node_ignores_suspicion_and_stays_leaving_when_declared_dead(self):
        gossip, view = make_node_state()
        announce_state(gossip, view, MemberState.LEAVING, 1.0)
        suspicion = record_for("a", state=MemberState.SUSPECT, sequence=9)
        assert not apply_record(gossip, view, suspicion, clock_at(2.0), InstanceId("b"))
        death = record_for("a", state=MemberState.DEAD)
        apply_record(gossip, view, death, clock_at(3.0), InstanceId("b"))
        assert view.members[LOCAL_NODE].state is MemberState.LEAVING

    def test_leaving_is_final(self):
        gossip, view = make_node_state()
        announce_state(gossip, view, MemberState.LEAVING, 1.0)
        assert not announce_state(gossip, view, MemberState.SERVING, 2.0)


class TestFailureDetection:
    def test_contact_that_neither_node_selects_is_dropped_without_suspicion(self):
        gossip, view = make_node_state()
        gossip.contacts.clear()
        mark_seen(gossip, view, InstanceId("b"), 0.0)
        check_contacts(gossip, view, CONTACT_CHECK_PERIOD_S)
        gossip.checked_at = SUSPICION_TIMEOUT_S
        check_contacts(gossip, view, SUSPICION_TIMEOUT_S + CONTACT_CHECK_PERIOD_S)
        assert gossip.counts.suspected == 0
        assert view.members[InstanceId("b")].state is MemberState.SERVING
        assert InstanceId("b") not in gossip.contacts

    def test_unresponsive_peer_is_suspected_then_declared_dead_within_the_bound(self):
        gossip, view = make_node_state()
        run_checks(gossip, view, CONTACT_CHECK_PERIOD_S, SUSPICION_TIMEOUT_S, {"b", "c", "d"})
        assert view.members[InstanceId("e")].state is MemberState.SUSPECT
        run_checks(
            gossip,
            view,
            SUSPICION_TIMEOUT_S + CONTACT_CHECK_PERIOD_S,
            SUSPICION_TIMEOUT_S + REFUTATION_TIMEOUT_S,
            {"b", "c", "d"},
        )
        assert view.members[InstanceId("e")].state is MemberState.DEAD
        assert SUSPICION_TIMEOUT_S + REFUTATION_TIMEOUT_S < 5.0

    def test_unresponsive_leaving_peer_is_declared_dead_without_suspicion(self):
        gossip, view = make_node_state()
        view.put(replace(view.members[InstanceId("e")], state=MemberState.LEAVING))
        run_checks(gossip, view, CONTACT_CHECK_PERIOD_S, SUSPICION_TIMEOUT_S, {"b", "c", "d"})
        assert view.members[InstanceId("e")].state is MemberState.DEAD
        assert gossip.counts.suspected == 0

    def test_isolated_node_declares_no_member_dead(self):
        gossip, view = make_node_state()
        run_checks(gossip, view, CONTACT_CHECK_PERIOD_S, 100.0, set())
        assert gossip.isolated
        assert not any(member.state is MemberState.DEAD for member in view.members.values())
        assert gossip.counts.declared_dead == 0
        assert not any(gossip.pending_updates.values())

    def test_isolated_node_in_a_large_group_declares_no_member_dead(self):
        gossip, view = make_node_state(NAMES + tuple(f"x{number}" for number in range(40)))
        first, *rest = gossip.selected_peers
        view.put(replace(view.members[first], state=MemberState.LEAVING))
        run_checks(gossip, view, CONTACT_CHECK_PERIOD_S, 100.0, set())
        states = [member.state for member in view.members.values()]
        assert states.count(MemberState.SUSPECT) == len(rest)
        assert states.count(MemberState.LEAVING) == 1
        assert not is_mass_suspicion(view)
        assert MemberState.DEAD not in states

    def test_mass_suspicion_postpones_deaths_until_the_hold_ends(self):
        names = NAMES + ("f", "g", "h")
        gossip, view = make_node_state(names)
        for name in ("f", "g", "h"):
            suspicion = record_for(name, state=MemberState.SUSPECT)
            apply_record(gossip, view, suspicion, clock_at(1.0), InstanceId("b"))
        assert is_mass_suspicion(view)
        run_checks(gossip, view, 1.0, 20.0, {"b", "c", "d", "e"})
        kept = [view.members[InstanceId(name)].state for name in ("f", "g", "h")]
        assert kept == [MemberState.SUSPECT] * 3
        end = 1.0 + MASS_SUSPICION_HOLD_S
        gossip.checked_at = end - 3 * CONTACT_CHECK_PERIOD_S
        run_checks(
            gossip,
            view,
            end - 2 * CONTACT_CHECK_PERIOD_S,
            end - CONTACT_CHECK_PERIOD_S,
            {"b", "c", "d", "e"},
        )
        assert view.members[InstanceId("f")].state is MemberState.SUSPECT
        run_checks(gossip, view, end, end, {"b", "c", "d", "e"})
        assert view.members[InstanceId("f")].state is MemberState.DEAD

    def test_remaining_suspects_can_refute_when_the_hold_ends(self):
        gossip, view = make_node_state(NAMES + ("f", "g", "h"))
        for name in ("f", "g", "h"):
            suspicion = record_for(name, state=MemberState.SUSPECT)
            apply_record(gossip, view, suspicion, clock_at(0.0), InstanceId("b"))
        alive = {"b", "c", "d", "e", "f"}
        run_checks(gossip, view, CONTACT_CHECK_PERIOD_S, 10.0, alive)
        refutation = record_for("f", sequence=1)
        apply_record(gossip, view, refutation, clock_at(10.0), InstanceId("b"))
        run_checks(
            gossip,
            view,
            10.0 + CONTACT_CHECK_PERIOD_S,
            10.0 + REFUTATION_TIMEOUT_S - CONTACT_CHECK_PERIOD_S,
            alive,
        )
        assert gossip.counts.declared_dead == 0
        run_checks(gossip, view, 10.0 + REFUTATION_TIMEOUT_S, 10.0 + REFUTATION_TIMEOUT_S, alive)
        assert view.members[InstanceId("g")].state is MemberState.DEAD

    def test_peers_can_refute_when_isolation_ends(self):
        gossip, view = make_node_state(NAMES + tuple(f"x{number}" for number in range(40)))
        run_checks(gossip, view, CONTACT_CHECK_PERIOD_S, 10.0, set())
        responding = set(gossip.selected_peers)
        run_checks(
            gossip,
            view,
            10.0 + CONTACT_CHECK_PERIOD_S,
            10.0 + REFUTATION_TIMEOUT_S - CONTACT_CHECK_PERIOD_S,
            responding,
        )
        assert not gossip.isolated
        assert gossip.counts.declared_dead == 0

    def test_single_suspect_is_not_mass_suspicion(self):
        _, view = make_node_state(NAMES + ("f", "g", "h"))
        view.put(replace(view.members[InstanceId("h")], state=MemberState.SUSPECT))
        assert not is_mass_suspicion(view)


class TestTombstones:
    def test_dead_member_is_retained_then_removed(self):
        gossip, view = make_node_state()
        death = record_for("e", state=MemberState.DEAD)
        apply_record(gossip, view, death, clock_at(1.0), InstanceId("b"))
        stale_record = record_for("e", sequence=9)
        assert not apply_record(gossip, view, stale_record, clock_at(2.0), InstanceId("b"))
        gossip.checked_at = TOMBSTONE_RETENTION_S
        check_contacts(gossip, view, TOMBSTONE_RETENTION_S)
        assert "e" in view.members
        check_contacts(gossip, view, 1.0 + TOMBSTONE_RETENTION_S)
        assert "e" not in view.members

    def test_tombstone_retention_exceeds_the_suspicion_hold(self):
        assert TOMBSTONE_RETENTION_S > MASS_SUSPICION_HOLD_S + REFUTATION_TIMEOUT_S

    def test_view_digest_ignores_dead_members(self):
        _, view = make_node_state()
        other = view_of(*(member_for(name) for name in NAMES[:4]))
        view.put(replace(view.members[InstanceId("e")], state=MemberState.DEAD))
        assert view_digest(view) == view_digest(other)


class TestPause:
    def test_paused_node_suspects_no_member_on_resuming(self):
        gossip, view = make_node_state()
        check_contacts(gossip, view, CONTACT_CHECK_PERIOD_S)
        check_contacts(gossip, view, 60.0)
        assert gossip.counts.stalls == 1
        assert all(member.state is MemberState.SERVING for member in view.members.values())

    def test_suspect_can_refute_after_the_node_was_paused(self):
        gossip, view = make_node_state()
        suspicion = record_for("e", state=MemberState.SUSPECT)
        apply_record(gossip, view, suspicion, clock_at(0.1), InstanceId("b"))
        check_contacts(gossip, view, 60.0)
        assert view.members[InstanceId("e")].state is MemberState.SUSPECT

    def test_lease_expires_in_a_pause_and_is_renewed_by_a_response(self):
        gossip, _ = make_node_state()
        renew_lease(gossip, InstanceId("b"), 1.0)
        assert holds_lease(gossip, 1.0 + NODE_LEASE_S / 2)
        assert not holds_lease(gossip, 60.0)
        renew_lease(gossip, InstanceId("b"), 60.0)
        assert holds_lease(gossip, 60.1)

    def test_view_past_its_expiry_is_dropped(self):
        gossip, view = make_node_state()
        check_contacts(gossip, view, VIEW_EXPIRY_S + 1.0)
        assert list(view.members) == [LOCAL_NODE]
        assert gossip.view_outdated


class TestComparison:
    def test_two_views_agree_after_one_exchange_of_each_bucket(self):
        gossip, view = make_node_state()
        other = view_of(member_for("a"), member_for("b", incarnation=2), member_for("x"))
        for bucket in range(len(view.summary)):
            theirs = records_in_bucket(other, bucket)
            own = records_in_bucket(view, bucket)
            apply_records(gossip, view, theirs, InstanceId("b"), clock_at(1.0))
            queue_bucket_differences(gossip, view, theirs, own, InstanceId("b"))
        assert view.members[InstanceId("b")].incarnation == 2
        assert "x" in view.members
        assert {"c", "d", "e"} <= set(gossip.pending_updates[InstanceId("b")])

    def test_pages_list_live_members_in_order(self):
        _, view = make_node_state()
        view.put(replace(view.members[InstanceId("c")], state=MemberState.DEAD))
        names = [record.instance for record in page_after(view, InstanceId("a"))]
        assert names == ["b", "d", "e"]


#: States that may follow a state within one incarnation.
LATER_STATES = {
    MemberState.STARTING: set(MemberState),
    MemberState.SERVING: set(MemberState),
    MemberState.SUSPECT: set(MemberState),
    MemberState.LEAVING: {MemberState.LEAVING, MemberState.DEAD},
    MemberState.DEAD: {MemberState.DEAD},
}


class SimulatedNode:
    """One simulated node.

    :param last_members: the members of its view when the invariants were last checked.
    """

    def __init__(self, name: str, now: float, incarnation: int) -> None:
        self.name = InstanceId(name)
        self.gossip = make_gossip(self.name, now)
        self.view = view_of(member_for(name, incarnation=incarnation))
        self.rulebook = make_rulebook()
        self.last_members: dict[InstanceId, Member] = {}

    def record(self):
        """Return the node's record of itself."""
        return record_of(self.view.members[self.name])


class ViewsMachine(RuleBasedStateMachine):
    """Nodes that exchange heartbeats over a network that loses, duplicates and reorders them."""

    NODES = ("a", "b", "c", "d")

    @initialize(random=st.randoms(use_true_random=False))
    def start(self, random):
        self.random = random
        self.now = 10.0
        self.network: list[tuple[str, Heartbeat]] = []
        self.nodes = {name: SimulatedNode(name, self.now, 1) for name in self.NODES}
        records = [node.record() for node in self.nodes.values()]
        for node in self.nodes.values():
            apply_records(node.gossip, node.view, records, node.name, clock_at(self.now))
            update_peers(node.gossip, node.view, self.now)

    @rule(step=st.sampled_from([0.05, 0.25, 1.0, 2.5, 30.0]))
    def advance_clock(self, step):
        self.now = min(self.now + step, TOMBSTONE_RETENTION_S / 2)

    @rule(name=st.sampled_from(NODES), other=st.sampled_from(NODES))
    def send_heartbeat(self, name, other):
        if name != other:
            node = self.nodes[name]
            heartbeat = compose_heartbeat(
                node.gossip, node.view, node.rulebook, InstanceId(other), self.random
            )
            self.network.append((other, heartbeat))

    @precondition(lambda self: self.network)
    @rule(data=st.data(), keep=st.booleans())
    def deliver_heartbeat(self, data, keep):
        index = data.draw(st.integers(0, len(self.network) - 1))
        name, heartbeat = self.network[index] if keep else self.network.pop(index)
        node = self.nodes[name]
        apply_peer_heartbeat(node.gossip, node.view, heartbeat, clock_at(self.now))

    @precondition(lambda self: self.network)
    @rule(data=st.data())
    def lose_message(self, data):
        self.network.pop(data.draw(st.integers(0, len(self.network) - 1)))

    @rule(name=st.sampled_from(NODES))
    def check(self, name):
        node = self.nodes[name]
        check_contacts(node.gossip, node.view, self.now)
        update_peers(node.gossip, node.view, self.now)

    @rule(name=st.sampled_from(NODES))
    def check_without_a_stall(self, name):
        self.nodes[name].gossip.checked_at = self.now
        self.check(name)

    @rule(
        name=st.sampled_from(NODES),
        unresponsive=st.sampled_from(NODES),
        timeout_s=st.sampled_from(
            [
                CONTACT_CHECK_PERIOD_S,
                SUSPICION_TIMEOUT_S,
                SUSPICION_TIMEOUT_S + REFUTATION_TIMEOUT_S,
            ]
        ),
    )
    def miss_one_contact(self, name, unresponsive, timeout_s):
        node = self.nodes[name]
        node.gossip.checked_at = self.now
        end = self.now + timeout_s + CONTACT_CHECK_PERIOD_S
        run_checks(node.gossip, node.view, self.now, end, set(self.NODES) - {unresponsive})
        self.now = end

    @rule(name=st.sampled_from(NODES))
    def restart(self, name):
        before = self.nodes[name].record().incarnation
        self.nodes[name] = SimulatedNode(name, self.now, max(before + 1, int(self.now * 1000)))

    @rule(name=st.sampled_from(NODES))
    def leave(self, name):
        node = self.nodes[name]
        announce_state(node.gossip, node.view, MemberState.LEAVING, self.now)

    @invariant()
    def members_never_revert(self):
        for node in getattr(self, "nodes", {}).values():
            for instance, member in node.view.members.items():
                last = node.last_members.get(instance, member)
                assert member.incarnation >= last.incarnation
                if member.incarnation == last.incarnation:
                    assert member.state in LATER_STATES[last.state]
                node.last_members[instance] = member

    @invariant()
    def known_members_are_retained(self):
        for node in getattr(self, "nodes", {}).values():
            assert node.last_members.keys() <= node.view.members.keys()

    @invariant()
    def incarnations_come_from_their_own_node(self):
        for node in getattr(self, "nodes", {}).values():
            for instance, member in node.view.members.items():
                assert member.incarnation <= self.nodes[instance].record().incarnation

    @invariant()
    def no_node_suspects_itself(self):
        for node in getattr(self, "nodes", {}).values():
            state = node.view.members[node.name].state
            assert state not in (MemberState.SUSPECT, MemberState.DEAD)

    def teardown(self):
        if not getattr(self, "nodes", None):
            return
        for _ in range(6):
            self.now += 1.5
            self._exchange_all()
        truth = {node.name: node.record() for node in self.nodes.values()}
        for node in self.nodes.values():
            known = {each: record_of(member) for each, member in node.view.members.items()}
            assert known == truth

    def _exchange_all(self):
        clock = clock_at(self.now)
        for node in self.nodes.values():
            for other in self.nodes.values():
                if node is not other:
                    self._exchange(node, other, clock)

    def _exchange(self, node, other, clock):
        node.gossip.isolated = other.gossip.isolated = False
        for bucket in range(len(node.view.summary)):
            theirs = records_in_bucket(other.view, bucket)
            apply_records(node.gossip, node.view, theirs, other.name, clock)
        heartbeat = compose_heartbeat(
            node.gossip, node.view, node.rulebook, other.name, self.random
        )
        apply_peer_heartbeat(other.gossip, other.view, heartbeat, clock)
        response = compose_heartbeat(
            other.gossip,
            other.view,
            other.rulebook,
            node.name,
            self.random,
            receiver_record=heartbeat.sender,
        )
        acknowledge_updates(node.gossip, node.view, other.name, heartbeat)
        apply_heartbeat(node.gossip, node.view, response, clock)


TestViews = ViewsMachine.TestCase
TestViews.settings = settings(max_examples=MACHINE_EXAMPLES)


class TestConvergenceCheck:
    def test_convergence_check_detects_a_lost_member(self):
        machine = ViewsMachine()
        machine.start(Random(1))
        machine.nodes["a"].view.remove(InstanceId("b"))
        machine._exchange_all = lambda: None
        with pytest.raises(AssertionError):
            machine.teardown()
