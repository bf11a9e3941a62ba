"""What nodes believe of each other: order of news, silence, isolation, refutation."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from membership_double import clock_at, member_for, record_for, view_of

from pollenbay.commands.heartbeat import (
    absorb_bucket,
    absorb_heartbeat,
    absorb_question,
    absorb_records,
    acknowledge_news,
    compose_heartbeat,
)
from pollenbay.commands.membership import (
    announce_state,
    apply_record,
    check_contacts,
    confirm,
    hear,
    raise_incarnation,
    update_peers,
)
from pollenbay.gossip import (
    LEASE_S,
    REFUTE_S,
    STALE_VIEW_S,
    SUSPECT_HOLD_S,
    SUSPECT_S,
    TOMBSTONE_S,
    WATCH_S,
    Gossip,
    make_gossip,
)
from pollenbay.ids import InstanceId
from pollenbay.news import Heartbeat
from pollenbay.queries.membership import (
    holds_lease,
    page_after,
    record_of,
    records_in_bucket,
    standing_of,
    supersedes,
    suspects_are_many,
    view_digest,
)
from pollenbay.rulebook import make_rulebook
from pollenbay.states import MemberState
from pollenbay.view import Member, View

ME = InstanceId("a")
NAMES = ("a", "b", "c", "d", "e")
MACHINE_EXAMPLES = 300
RECORDS = st.builds(
    record_for,
    st.just("b"),
    incarnation=st.integers(1, 3),
    sequence=st.integers(0, 3),
    state=st.sampled_from(list(MemberState)),
)


def make_side(names: tuple[str, ...] = NAMES) -> tuple[Gossip, View]:
    """Return node `a` that knows the named members and has chosen its peers, at second 0."""
    view = view_of(*(member_for(name) for name in names))
    gossip = make_gossip(ME, 0.0)
    update_peers(gossip, view, 0.0)
    return gossip, view


def run_checks(gossip: Gossip, view: View, start: float, end: float, alive: set[str]) -> None:
    """Check the contacts as the node does, while the named ones keep answering."""
    now = start
    while now <= end:
        for name in alive & set(gossip.contacts):
            hear(gossip, view, InstanceId(name), now)
        check_contacts(gossip, view, now)
        now += WATCH_S


class TestOrder:
    @given(st.lists(RECORDS, min_size=1, max_size=8), st.randoms())
    def test_any_order_and_repetition_gives_the_same_member(self, records, random):
        shuffled = records + random.sample(records, len(records) // 2)
        random.shuffle(shuffled)
        outcomes = []
        for series in (records, shuffled):
            gossip, view = make_side()
            for record in series:
                apply_record(gossip, view, record, clock_at(1.0), InstanceId("c"))
            outcomes.append(standing_of(view.members[InstanceId("b")]))
        assert outcomes[0] == outcomes[1]

    def test_earlier_incarnation_changes_nothing(self):
        member = member_for("b", incarnation=2)
        for state in MemberState:
            assert not supersedes(record_for("b", 1, 99, state), member)

    def test_leaving_wins_over_alive_of_any_sequence(self):
        leaving = member_for("b", state=MemberState.LEAVING, sequence=1)
        assert not supersedes(record_for("b", sequence=9), leaving)
        assert supersedes(record_of(leaving), member_for("b", sequence=9))

    def test_only_a_higher_sequence_refutes_a_suspicion(self):
        suspect = member_for("b", state=MemberState.SUSPECT, sequence=4)
        assert not supersedes(record_for("b", sequence=4), suspect)
        assert supersedes(record_for("b", sequence=5), suspect)

    def test_only_a_new_incarnation_follows_death(self):
        dead = member_for("b", state=MemberState.DEAD)
        assert not supersedes(record_for("b", sequence=99), dead)
        assert supersedes(record_for("b", incarnation=2), dead)

    def test_the_same_news_again_changes_nothing_and_spreads_no_further(self):
        gossip, view = make_side()
        record = record_for("b", sequence=1)
        assert apply_record(gossip, view, record, clock_at(1.0), InstanceId("c"))
        gossip.outbox.clear()
        assert not apply_record(gossip, view, record, clock_at(2.0), InstanceId("d"))
        assert not gossip.outbox

    def test_death_of_a_stranger_is_no_news(self):
        gossip, view = make_side()
        dead = record_for("x", state=MemberState.DEAD)
        assert not apply_record(gossip, view, dead, clock_at(1.0), InstanceId("b"))
        assert "x" not in view.members


class TestRefutation:
    def test_suspected_node_raises_its_sequence(self):
        gossip, view = make_side()
        suspicion = record_for("a", state=MemberState.SUSPECT, sequence=0)
        assert apply_record(gossip, view, suspicion, clock_at(1.0), InstanceId("b"))
        assert supersedes(record_of(view.members[ME]), member_for("a", state=MemberState.SUSPECT))
        assert all(ME in gossip.outbox[peer] for peer in gossip.chosen)

    def test_node_declared_dead_returns_as_a_new_incarnation(self):
        gossip, view = make_side()
        death = record_for("a", state=MemberState.DEAD)
        assert apply_record(gossip, view, death, clock_at(5.0), InstanceId("b"))
        assert view.members[ME].incarnation == 5000
        assert view.members[ME].state is MemberState.SERVING

    def test_new_incarnation_passes_one_from_a_clock_that_was_ahead(self):
        gossip, view = make_side()
        earlier_run = record_for("a", incarnation=9_000_000)
        apply_record(gossip, view, earlier_run, clock_at(5.0), InstanceId("b"))
        assert view.members[ME].incarnation == 9_000_001

    def test_row_of_an_earlier_run_is_passed_and_own_row_is_not(self):
        gossip, view = make_side()
        assert not raise_incarnation(gossip, view, view.members[ME].incarnation, clock_at(1.0))
        assert raise_incarnation(gossip, view, 9_000_000, clock_at(1.0))
        assert view.members[ME].incarnation == 9_000_001

    def test_two_nodes_of_one_name_do_not_outbid_each_other_at_once(self):
        gossip, view = make_side()
        apply_record(gossip, view, record_for("a", 10_000), clock_at(5.0), InstanceId("b"))
        again = record_for("a", 20_000)
        assert not apply_record(gossip, view, again, clock_at(5.1), InstanceId("b"))
        assert apply_record(gossip, view, again, clock_at(6.5), InstanceId("b"))

    def test_leaving_node_ignores_suspicion_and_stays_leaving_after_death(self):
        gossip, view = make_side()
        announce_state(gossip, view, MemberState.LEAVING, 1.0)
        suspicion = record_for("a", state=MemberState.SUSPECT, sequence=9)
        assert not apply_record(gossip, view, suspicion, clock_at(2.0), InstanceId("b"))
        death = record_for("a", state=MemberState.DEAD)
        apply_record(gossip, view, death, clock_at(3.0), InstanceId("b"))
        assert view.members[ME].state is MemberState.LEAVING

    def test_leaving_is_final(self):
        gossip, view = make_side()
        announce_state(gossip, view, MemberState.LEAVING, 1.0)
        assert not announce_state(gossip, view, MemberState.SERVING, 2.0)


class TestSilence:
    def test_a_contact_that_neither_side_keeps_is_not_suspected(self):
        gossip, view = make_side()
        gossip.contacts.clear()
        hear(gossip, view, InstanceId("b"), 0.0)
        check_contacts(gossip, view, WATCH_S)
        gossip.checked_at = SUSPECT_S
        check_contacts(gossip, view, SUSPECT_S + WATCH_S)
        assert gossip.counts.suspected == 0
        assert view.members[InstanceId("b")].state is MemberState.SERVING
        assert InstanceId("b") not in gossip.contacts

    def test_silent_peer_is_suspected_then_dead_within_the_bound(self):
        gossip, view = make_side()
        run_checks(gossip, view, WATCH_S, SUSPECT_S, {"b", "c", "d"})
        assert view.members[InstanceId("e")].state is MemberState.SUSPECT
        run_checks(gossip, view, SUSPECT_S + WATCH_S, SUSPECT_S + REFUTE_S, {"b", "c", "d"})
        assert view.members[InstanceId("e")].state is MemberState.DEAD
        assert SUSPECT_S + REFUTE_S < 5.0

    def test_leaving_peer_that_falls_silent_is_dead_without_suspicion(self):
        gossip, view = make_side()
        view.put(replace(view.members[InstanceId("e")], state=MemberState.LEAVING))
        run_checks(gossip, view, WATCH_S, SUSPECT_S, {"b", "c", "d"})
        assert view.members[InstanceId("e")].state is MemberState.DEAD
        assert gossip.counts.suspected == 0

    def test_node_cut_off_declares_nobody_dead(self):
        gossip, view = make_side()
        run_checks(gossip, view, WATCH_S, 100.0, set())
        assert gossip.isolated
        assert not any(member.state is MemberState.DEAD for member in view.members.values())
        assert gossip.counts.declared_dead == 0
        assert not any(gossip.outbox.values())

    def test_node_cut_off_in_a_large_group_declares_nobody_dead(self):
        gossip, view = make_side(NAMES + tuple(f"x{number}" for number in range(40)))
        first, *rest = gossip.chosen
        view.put(replace(view.members[first], state=MemberState.LEAVING))
        run_checks(gossip, view, WATCH_S, 100.0, set())
        states = [member.state for member in view.members.values()]
        assert states.count(MemberState.SUSPECT) == len(rest)
        assert states.count(MemberState.LEAVING) == 1
        assert not suspects_are_many(view)
        assert MemberState.DEAD not in states

    def test_many_suspects_at_once_are_kept_until_the_hold_ends(self):
        names = NAMES + ("f", "g", "h")
        gossip, view = make_side(names)
        for name in ("f", "g", "h"):
            suspicion = record_for(name, state=MemberState.SUSPECT)
            apply_record(gossip, view, suspicion, clock_at(1.0), InstanceId("b"))
        assert suspects_are_many(view)
        run_checks(gossip, view, 1.0, 20.0, {"b", "c", "d", "e"})
        kept = [view.members[InstanceId(name)].state for name in ("f", "g", "h")]
        assert kept == [MemberState.SUSPECT] * 3
        end = 1.0 + SUSPECT_HOLD_S
        gossip.checked_at = end - 3 * WATCH_S
        run_checks(gossip, view, end - 2 * WATCH_S, end - WATCH_S, {"b", "c", "d", "e"})
        assert view.members[InstanceId("f")].state is MemberState.SUSPECT
        run_checks(gossip, view, end, end, {"b", "c", "d", "e"})
        assert view.members[InstanceId("f")].state is MemberState.DEAD

    def test_remaining_suspects_have_time_to_refute_when_a_hold_ends(self):
        gossip, view = make_side(NAMES + ("f", "g", "h"))
        for name in ("f", "g", "h"):
            suspicion = record_for(name, state=MemberState.SUSPECT)
            apply_record(gossip, view, suspicion, clock_at(0.0), InstanceId("b"))
        alive = {"b", "c", "d", "e", "f"}
        run_checks(gossip, view, WATCH_S, 10.0, alive)
        refutation = record_for("f", sequence=1)
        apply_record(gossip, view, refutation, clock_at(10.0), InstanceId("b"))
        run_checks(gossip, view, 10.0 + WATCH_S, 10.0 + REFUTE_S - WATCH_S, alive)
        assert gossip.counts.declared_dead == 0
        run_checks(gossip, view, 10.0 + REFUTE_S, 10.0 + REFUTE_S, alive)
        assert view.members[InstanceId("g")].state is MemberState.DEAD

    def test_peers_have_time_to_refute_when_isolation_ends(self):
        gossip, view = make_side(NAMES + tuple(f"x{number}" for number in range(40)))
        run_checks(gossip, view, WATCH_S, 10.0, set())
        heard = set(gossip.chosen)
        run_checks(gossip, view, 10.0 + WATCH_S, 10.0 + REFUTE_S - WATCH_S, heard)
        assert not gossip.isolated
        assert gossip.counts.declared_dead == 0

    def test_a_single_suspect_is_not_many(self):
        _, view = make_side(NAMES + ("f", "g", "h"))
        view.put(replace(view.members[InstanceId("h")], state=MemberState.SUSPECT))
        assert not suspects_are_many(view)


class TestForgetting:
    def test_dead_member_is_kept_and_then_forgotten(self):
        gossip, view = make_side()
        death = record_for("e", state=MemberState.DEAD)
        apply_record(gossip, view, death, clock_at(1.0), InstanceId("b"))
        old_news = record_for("e", sequence=9)
        assert not apply_record(gossip, view, old_news, clock_at(2.0), InstanceId("b"))
        gossip.checked_at = TOMBSTONE_S
        check_contacts(gossip, view, TOMBSTONE_S)
        assert "e" in view.members
        check_contacts(gossip, view, 1.0 + TOMBSTONE_S)
        assert "e" not in view.members

    def test_tombstone_outlasts_every_held_suspicion(self):
        assert TOMBSTONE_S > SUSPECT_HOLD_S + REFUTE_S

    def test_views_that_forget_at_other_times_agree(self):
        _, view = make_side()
        other = view_of(*(member_for(name) for name in NAMES[:4]))
        view.put(replace(view.members[InstanceId("e")], state=MemberState.DEAD))
        assert view_digest(view) == view_digest(other)


class TestPause:
    def test_node_that_was_paused_suspects_nobody_on_waking(self):
        gossip, view = make_side()
        check_contacts(gossip, view, WATCH_S)
        check_contacts(gossip, view, 60.0)
        assert gossip.counts.stalls == 1
        assert all(member.state is MemberState.SERVING for member in view.members.values())

    def test_suspect_gets_its_time_to_refute_after_a_pause(self):
        gossip, view = make_side()
        suspicion = record_for("e", state=MemberState.SUSPECT)
        apply_record(gossip, view, suspicion, clock_at(0.1), InstanceId("b"))
        check_contacts(gossip, view, 60.0)
        assert view.members[InstanceId("e")].state is MemberState.SUSPECT

    def test_lease_lapses_in_a_pause_and_is_renewed_by_an_answer(self):
        gossip, _ = make_side()
        confirm(gossip, InstanceId("b"), 1.0)
        assert holds_lease(gossip, 1.0 + LEASE_S / 2)
        assert not holds_lease(gossip, 60.0)
        confirm(gossip, InstanceId("b"), 60.0)
        assert holds_lease(gossip, 60.1)

    def test_view_older_than_the_others_memory_is_dropped(self):
        gossip, view = make_side()
        check_contacts(gossip, view, STALE_VIEW_S + 1.0)
        assert list(view.members) == [ME]
        assert gossip.outdated


class TestComparison:
    def test_two_views_agree_after_one_exchange_of_each_bucket(self):
        gossip, view = make_side()
        other = view_of(member_for("a"), member_for("b", incarnation=2), member_for("x"))
        for bucket in range(len(view.summary)):
            theirs = records_in_bucket(other, bucket)
            own = records_in_bucket(view, bucket)
            absorb_records(gossip, view, theirs, InstanceId("b"), clock_at(1.0))
            absorb_bucket(gossip, view, theirs, own, InstanceId("b"))
        assert view.members[InstanceId("b")].incarnation == 2
        assert "x" in view.members
        assert {"c", "d", "e"} <= set(gossip.outbox[InstanceId("b")])

    def test_pages_hold_the_living_in_order(self):
        _, view = make_side()
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


class Side:
    """One simulated node.

    :param run: grows with each restart.
    """

    def __init__(self, name: str, now: float, incarnation: int) -> None:
        self.name = InstanceId(name)
        self.gossip = make_gossip(self.name, now)
        self.view = view_of(member_for(name, incarnation=incarnation))
        self.rulebook = make_rulebook()
        self.last: dict[InstanceId, Member] = {}

    def record(self):
        """Return its own record."""
        return record_of(self.view.members[self.name])


class ViewsMachine(RuleBasedStateMachine):
    """Nodes that exchange heartbeats over a network which loses, repeats and reorders them."""

    NODES = ("a", "b", "c", "d")

    @initialize(random=st.randoms(use_true_random=False))
    def start(self, random):
        self.random = random
        self.now = 10.0
        self.network: list[tuple[str, Heartbeat]] = []
        self.sides = {name: Side(name, self.now, 1) for name in self.NODES}
        records = [side.record() for side in self.sides.values()]
        for side in self.sides.values():
            absorb_records(side.gossip, side.view, records, side.name, clock_at(self.now))
            update_peers(side.gossip, side.view, self.now)

    @rule(step=st.sampled_from([0.05, 0.25, 1.0, 2.5, 30.0]))
    def pass_time(self, step):
        self.now = min(self.now + step, TOMBSTONE_S / 2)

    @rule(name=st.sampled_from(NODES), other=st.sampled_from(NODES))
    def send(self, name, other):
        if name != other:
            side = self.sides[name]
            beat = compose_heartbeat(
                side.gossip, side.view, side.rulebook, InstanceId(other), self.random
            )
            self.network.append((other, beat))

    @precondition(lambda self: self.network)
    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        place = data.draw(st.integers(0, len(self.network) - 1))
        name, beat = self.network[place] if keep else self.network.pop(place)
        side = self.sides[name]
        absorb_question(side.gossip, side.view, beat, clock_at(self.now))

    @precondition(lambda self: self.network)
    @rule(data=st.data())
    def lose(self, data):
        self.network.pop(data.draw(st.integers(0, len(self.network) - 1)))

    @rule(name=st.sampled_from(NODES))
    def check(self, name):
        side = self.sides[name]
        check_contacts(side.gossip, side.view, self.now)
        update_peers(side.gossip, side.view, self.now)

    @rule(name=st.sampled_from(NODES))
    def check_without_a_stall(self, name):
        self.sides[name].gossip.checked_at = self.now
        self.check(name)

    @rule(
        name=st.sampled_from(NODES),
        victim=st.sampled_from(NODES),
        silence_s=st.sampled_from([WATCH_S, SUSPECT_S, SUSPECT_S + REFUTE_S]),
    )
    def hear_all_but_one(self, name, victim, silence_s):
        side = self.sides[name]
        side.gossip.checked_at = self.now
        end = self.now + silence_s + WATCH_S
        run_checks(side.gossip, side.view, self.now, end, set(self.NODES) - {victim})
        self.now = end

    @rule(name=st.sampled_from(NODES))
    def restart(self, name):
        before = self.sides[name].record().incarnation
        self.sides[name] = Side(name, self.now, max(before + 1, int(self.now * 1000)))

    @rule(name=st.sampled_from(NODES))
    def leave(self, name):
        side = self.sides[name]
        announce_state(side.gossip, side.view, MemberState.LEAVING, self.now)

    @invariant()
    def news_never_goes_back(self):
        for side in getattr(self, "sides", {}).values():
            for instance, member in side.view.members.items():
                last = side.last.get(instance, member)
                assert member.incarnation >= last.incarnation
                if member.incarnation == last.incarnation:
                    assert member.state in LATER_STATES[last.state]
                side.last[instance] = member

    @invariant()
    def nobody_who_was_known_is_forgotten_so_soon(self):
        for side in getattr(self, "sides", {}).values():
            assert side.last.keys() <= side.view.members.keys()

    @invariant()
    def nobody_invents_an_incarnation(self):
        for side in getattr(self, "sides", {}).values():
            for instance, member in side.view.members.items():
                assert member.incarnation <= self.sides[instance].record().incarnation

    @invariant()
    def nobody_doubts_itself(self):
        for side in getattr(self, "sides", {}).values():
            state = side.view.members[side.name].state
            assert state not in (MemberState.SUSPECT, MemberState.DEAD)

    def teardown(self):
        if not getattr(self, "sides", None):
            return
        for _ in range(6):
            self.now += 1.5
            self._exchange_everything()
        truth = {side.name: side.record() for side in self.sides.values()}
        for side in self.sides.values():
            known = {each: record_of(member) for each, member in side.view.members.items()}
            assert known == truth

    def _exchange_everything(self):
        clock = clock_at(self.now)
        for side in self.sides.values():
            for other in self.sides.values():
                if side is not other:
                    self._compare(side, other, clock)

    def _compare(self, side, other, clock):
        side.gossip.isolated = other.gossip.isolated = False
        for bucket in range(len(side.view.summary)):
            theirs = records_in_bucket(other.view, bucket)
            absorb_records(side.gossip, side.view, theirs, other.name, clock)
        beat = compose_heartbeat(side.gossip, side.view, side.rulebook, other.name, self.random)
        absorb_question(other.gossip, other.view, beat, clock)
        answer = compose_heartbeat(
            other.gossip, other.view, other.rulebook, side.name, self.random, said=beat.sender
        )
        acknowledge_news(side.gossip, side.view, other.name, beat)
        absorb_heartbeat(side.gossip, side.view, answer, clock)


TestViews = ViewsMachine.TestCase
TestViews.settings = settings(max_examples=MACHINE_EXAMPLES)


class TestMachineIsStrict:
    def test_convergence_check_sees_a_lost_member(self):
        machine = ViewsMachine()
        machine.start(Random(1))
        machine.sides["a"].view.remove(InstanceId("b"))
        machine._exchange_everything = lambda: None
        with pytest.raises(AssertionError):
            machine.teardown()
