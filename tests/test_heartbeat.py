"""Content of heartbeats and their effect on the receiver."""

from dataclasses import replace
from random import Random

from membership_double import clock_at, member_for, record_for, view_of

from pollenbay.commands.heartbeat import (
    acknowledge_updates,
    apply_heartbeat,
    apply_peer_heartbeat,
    compose_heartbeat,
    renew_report,
)
from pollenbay.commands.membership import apply_record, apply_report, mark_seen, update_peers
from pollenbay.gossip import PENDING_REPORTS_MAX, REPORT_TRANSMISSIONS, Gossip, make_gossip
from pollenbay.gossipmessage import (
    REPORTS_PER_HEARTBEAT_MAX,
    REPORTS_PER_INTERVAL_MAX,
    UPDATES_PER_HEARTBEAT_MAX,
    Heartbeat,
    Report,
    decode_request,
    decode_response,
    encode_message,
)
from pollenbay.ids import InstanceId, RuleVersion
from pollenbay.rulebook import Rulebook, make_rulebook
from pollenbay.states import MemberState
from pollenbay.view import TargetLoad, View

A, B, C = InstanceId("a"), InstanceId("b"), InstanceId("c")


class NodeState:
    """Node `name` at 0 s, with the others in its view and its peers selected."""

    def __init__(self, name: InstanceId, others: tuple[str, ...] = ("a", "b", "c", "d")) -> None:
        self.name = name
        self.view: View = view_of(*(member_for(each) for each in others))
        self.gossip: Gossip = make_gossip(name, 0.0)
        self.rulebook: Rulebook = make_rulebook()
        self.rng = Random(1)
        update_peers(self.gossip, self.view, 0.0)

    def compose(self, receiver: InstanceId, **details: object) -> Heartbeat:
        return compose_heartbeat(
            self.gossip, self.view, self.rulebook, receiver, self.rng, **details
        )

    def apply_records(self, *records) -> None:
        """Apply records as if they had been received from another node."""
        for record in records:
            apply_record(self.gossip, self.view, record, clock_at(1.0), InstanceId("z"))


class TestUpdates:
    def test_update_is_repeated_until_acknowledged(self):
        node = NodeState(A)
        update = record_for("d", incarnation=2)
        node.apply_records(update)
        assert node.compose(B).updates == [update]
        heartbeat = node.compose(B)
        assert heartbeat.updates == [update]
        acknowledge_updates(node.gossip, node.view, B, heartbeat)
        assert node.compose(B).updates == []

    def test_update_changed_since_it_was_sent_is_sent_again(self):
        node = NodeState(A)
        node.apply_records(record_for("d", incarnation=2))
        heartbeat = node.compose(B)
        newer = record_for("d", incarnation=3)
        node.apply_records(newer)
        acknowledge_updates(node.gossip, node.view, B, heartbeat)
        assert node.compose(B).updates == [newer]

    def test_update_is_not_sent_back_to_its_source(self):
        node = NodeState(A)
        heartbeat = replace_updates(NodeState(B).compose(A), [record_for("d", incarnation=2)])
        apply_peer_heartbeat(node.gossip, node.view, heartbeat, clock_at(1.0))
        assert node.compose(B).updates == []
        assert node.compose(C).updates == [record_for("d", incarnation=2)]

    def test_updates_per_heartbeat_are_bounded_and_the_rest_follow(self):
        node = NodeState(A)
        node.apply_records(
            *(record_for(f"x{number:03d}") for number in range(2 * UPDATES_PER_HEARTBEAT_MAX))
        )
        sent: set[InstanceId] = set()
        for _ in range(3):
            heartbeat = node.compose(B)
            assert len(heartbeat.updates) <= UPDATES_PER_HEARTBEAT_MAX
            acknowledge_updates(node.gossip, node.view, B, heartbeat)
            sent.update(record.instance for record in heartbeat.updates)
        assert len(sent) == 2 * UPDATES_PER_HEARTBEAT_MAX

    def test_isolated_node_sends_no_updates(self):
        node = NodeState(A)
        node.apply_records(record_for("d", incarnation=2))
        node.gossip.isolated = True
        assert node.compose(B).updates == []

    def test_suspected_receiver_is_notified_of_the_suspicion(self):
        node = NodeState(A)
        node.view.put(replace(node.view.members[B], state=MemberState.SUSPECT))
        assert [record.state for record in node.compose(B).updates] == [MemberState.SUSPECT]

    def test_sender_of_an_earlier_incarnation_is_notified_of_the_later_one(self):
        node = NodeState(A)
        node.apply_records(record_for("b", incarnation=7))
        response = node.compose(B, receiver_record=record_for("b", incarnation=1))
        assert record_for("b", incarnation=7) in response.updates

    def test_up_to_date_sender_is_not_notified_of_itself(self):
        node = NodeState(A)
        assert node.compose(B, receiver_record=record_for("b")).updates == []


class TestContacts:
    def test_sender_is_a_contact_until_its_last_heartbeat(self):
        node = NodeState(A, ("a",))
        sender = NodeState(B)
        apply_peer_heartbeat(node.gossip, node.view, sender.compose(A), clock_at(1.0))
        assert node.gossip.contacts[B].sends_heartbeats
        apply_peer_heartbeat(node.gossip, node.view, sender.compose(A, last=True), clock_at(2.0))
        assert B not in node.gossip.contacts

    def test_heartbeat_of_an_earlier_incarnation_does_not_mark_the_member_seen(self):
        node = NodeState(A)
        node.apply_records(record_for("b", incarnation=5))
        apply_heartbeat(node.gossip, node.view, NodeState(B).compose(A), clock_at(9.0))
        assert node.gossip.contacts[B].last_seen_at == 0.0
        assert node.view.members[B].last_seen_at < 9.0


class TestReports:
    def test_load_and_rule_version_reach_others_through_a_third_node(self):
        first, middle, last = NodeState(A), NodeState(B), NodeState(C)
        first.gossip.load = TargetLoad(in_flight=3, limit=7, queued=2, admitted_rank=1)
        renew_report(first.gossip, first.view, first.rulebook)
        apply_peer_heartbeat(middle.gossip, middle.view, first.compose(B), clock_at(1.0))
        apply_peer_heartbeat(last.gossip, last.view, middle.compose(C), clock_at(2.0))
        member = last.view.members[A]
        assert member.load == TargetLoad(3, 7, 2, 1)
        assert member.last_seen_at == 2.0

    def test_older_report_is_ignored(self):
        node = NodeState(A)
        newer, older = report_for("b", 2, 5), report_for("b", 1, 9)
        assert apply_report(node.gossip, node.view, newer, 1.0)
        assert not apply_report(node.gossip, node.view, older, 2.0)
        assert node.view.members[B].rule_version == 5

    def test_report_of_another_incarnation_is_ignored(self):
        node = NodeState(A)
        node.apply_records(record_for("b", incarnation=2))
        assert not apply_report(node.gossip, node.view, report_for("b", 2, 5), 1.0)

    def test_report_is_forwarded_a_bounded_number_of_times(self):
        node = NodeState(A)
        apply_report(node.gossip, node.view, report_for("b", 2, 5), 1.0)
        forwarded = [len(node.compose(C).reports) for _ in range(REPORT_TRANSMISSIONS + 2)]
        assert sum(forwarded) == REPORT_TRANSMISSIONS

    def test_reports_are_bounded_in_a_heartbeat_and_in_memory(self):
        names = tuple(f"x{number:03d}" for number in range(PENDING_REPORTS_MAX + 50))
        node = NodeState(A, ("a", *names))
        for name in names:
            apply_report(node.gossip, node.view, report_for(name, 1, 1), 1.0)
        assert len(node.gossip.pending_reports) == PENDING_REPORTS_MAX
        assert 0 < len(node.compose(B).reports) <= REPORTS_PER_HEARTBEAT_MAX

    def test_reports_per_interval_are_bounded_with_many_contacts(self):
        names = tuple(f"x{number:03d}" for number in range(100))
        node = NodeState(A, ("a", *names))
        for name in names:
            apply_report(node.gossip, node.view, report_for(name, 1, 1), 1.0)
            mark_seen(node.gossip, node.view, InstanceId(name), 1.0)
        contacts = list(node.gossip.contacts)[:24]
        for name in set(node.gossip.contacts) - set(contacts):
            del node.gossip.contacts[name]
        sent = [len(node.compose(each).reports) for each in contacts]
        assert 0 < sum(sent) <= REPORTS_PER_INTERVAL_MAX


class TestSize:
    def test_largest_heartbeat_stays_within_its_size_bound(self):
        names = tuple(f"instance-{number:05d}" for number in range(400))
        node = NodeState(A, ("a", *names))
        node.apply_records(*(record_for(name, incarnation=1_800_000_000_000) for name in names))
        for name in names:
            report = report_for(name, 1, 1, incarnation=1_800_000_000_000)
            apply_report(node.gossip, node.view, report, 1.0)
        heartbeat = node.compose(node.gossip.selected_peers[0])
        assert len(heartbeat.updates) == UPDATES_PER_HEARTBEAT_MAX - 1
        assert len(encode_message(heartbeat)) < 16 * 1024

    def test_heartbeat_round_trips_through_its_encoding(self):
        node = NodeState(A)
        node.apply_records(record_for("d", incarnation=2))
        heartbeat = node.compose(B)
        assert decode_request(encode_message(heartbeat)) == heartbeat
        assert decode_response(encode_message(heartbeat)) == heartbeat


def report_for(name: str, sequence: int, version: int, incarnation: int = 1) -> Report:
    """Return a report of an idle member."""
    return Report(InstanceId(name), incarnation, sequence, RuleVersion(version), 0.0, 0, 1, 0, 2)


def replace_updates(heartbeat: Heartbeat, updates: list) -> Heartbeat:
    """Return a heartbeat with other updates."""
    return Heartbeat(
        heartbeat.sender,
        heartbeat.report,
        heartbeat.rule_digest,
        heartbeat.view_digest,
        False,
        updates,
        [],
    )
