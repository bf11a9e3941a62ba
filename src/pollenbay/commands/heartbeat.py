"""Composing heartbeats, and applying those received to the view."""

from random import Random

from pollenbay.commands.membership import apply_record, apply_report, drop_contact, mark_seen
from pollenbay.gossip import Clock, Gossip
from pollenbay.gossipmessage import (
    REPORTS_PER_HEARTBEAT_MAX,
    REPORTS_PER_INTERVAL_MAX,
    UPDATES_PER_HEARTBEAT_MAX,
    Heartbeat,
    Record,
    Report,
)
from pollenbay.ids import InstanceId
from pollenbay.queries.membership import precedence_of, record_of, view_digest
from pollenbay.rulebook import Rulebook
from pollenbay.states import MemberState
from pollenbay.view import Member, View


def renew_report(gossip: Gossip, view: View, rulebook: Rulebook) -> None:
    """Update this node's report and increment its sequence; receivers keep the highest one."""
    gossip.report_sequence += 1
    me = view.members[gossip.local_instance]
    me.report_sequence = gossip.report_sequence
    me.load = gossip.load
    me.rule_version = rulebook.version
    me.rule_since = rulebook.adopted_at


def compose_heartbeat(
    gossip: Gossip,
    view: View,
    rulebook: Rulebook,
    receiver: InstanceId | None,
    rng: Random,
    receiver_record: Record | None = None,
    last: bool = False,
) -> Heartbeat:
    """Return the heartbeat for a receiver; its updates stay queued until `acknowledge_updates`.

    :param receiver: None if it is not known yet.
    :param receiver_record: the receiver's own record, if this heartbeat responds to a request.
    :param last: whether this node sends no more heartbeats to the receiver.
    """
    me = view.members[gossip.local_instance]
    gossip.counts.heartbeats_sent += 1
    return Heartbeat(
        sender=record_of(me),
        report=report_of(me),
        rule_digest=rulebook.rules.digest,
        view_digest=view_digest(view),
        is_last=last,
        updates=_select_updates(gossip, view, receiver, receiver_record),
        reports=_select_reports(gossip, view, receiver, rng),
    )


def acknowledge_updates(gossip: Gossip, view: View, receiver: InstanceId, sent: Heartbeat) -> None:
    """Remove sent updates from a receiver's queue, except those that have changed since."""
    queue = gossip.pending_updates.get(receiver)
    if not queue:
        return
    for record in sent.updates:
        member = view.members.get(record.instance)
        if member is None or record_of(member) == record:
            queue.pop(record.instance, None)


def apply_heartbeat(gossip: Gossip, view: View, heartbeat: Heartbeat, clock: Clock) -> None:
    """Apply a heartbeat or the response to one."""
    gossip.counts.heartbeats_received += 1
    sender = heartbeat.sender.instance
    if sender == gossip.local_instance:
        apply_record(gossip, view, heartbeat.sender, clock, sender)
        return
    apply_records(gossip, view, [heartbeat.sender, *heartbeat.updates], sender, clock)
    if not _is_current(view, heartbeat.sender):
        return
    mark_seen(gossip, view, sender, clock.now)
    apply_report(gossip, view, heartbeat.report, clock.now)
    for report in heartbeat.reports:
        apply_report(gossip, view, report, clock.now)


def apply_peer_heartbeat(gossip: Gossip, view: View, heartbeat: Heartbeat, clock: Clock) -> None:
    """Apply a heartbeat of a member that has selected this node as its peer."""
    apply_heartbeat(gossip, view, heartbeat, clock)
    contact = gossip.contacts.get(heartbeat.sender.instance)
    if contact is None:
        return
    contact.sends_heartbeats = not heartbeat.is_last
    if heartbeat.is_last and not contact.selected:
        drop_contact(gossip, heartbeat.sender.instance)


def apply_records(
    gossip: Gossip, view: View, records: list[Record], source: InstanceId, clock: Clock
) -> int:
    """Apply records received from a member and return how many changed the view."""
    changed = 0
    for record in records:
        changed += apply_record(gossip, view, record, clock, source)
    return changed


def queue_bucket_differences(
    gossip: Gossip, view: View, bucket: list[Record], local_records: list[Record], peer: InstanceId
) -> None:
    """Queue for a peer the records in which it differs from this node in a compared bucket.

    :param bucket: the peer's records.
    :param local_records: this node's records of the same bucket, read before the peer's were
        applied.
    """
    peer_records = {record.instance: record for record in bucket}
    for record in local_records:
        peer_record = peer_records.get(record.instance)
        if record.instance != peer and _lacks_record(record, peer_record):
            gossip.pending_updates.setdefault(peer, {})[record.instance] = None


def report_of(member: Member) -> Report:
    """Return a member's last report."""
    load = member.load
    return Report(
        instance=member.instance,
        incarnation=member.incarnation,
        report_sequence=member.report_sequence,
        rule_version=member.rule_version,
        rule_since=member.rule_since,
        in_flight=load.in_flight,
        limit=load.limit,
        queued=load.queued,
        admitted_rank=load.admitted_rank,
    )


def _is_current(view: View, sender: Record) -> bool:
    member = view.members.get(sender.instance)
    return member is not None and member.incarnation == sender.incarnation


def _lacks_record(record: Record, peer_record: Record | None) -> bool:
    if peer_record is None:
        return record.state is not MemberState.DEAD
    return record != peer_record


def _select_updates(
    gossip: Gossip, view: View, receiver: InstanceId | None, receiver_record: Record | None
) -> list[Record]:
    if receiver is None or gossip.isolated:
        return []
    queued = list(gossip.pending_updates.get(receiver, {}))[: UPDATES_PER_HEARTBEAT_MAX - 1]
    records = [record_of(view.members[each]) for each in queued if each in view.members]
    member = view.members.get(receiver)
    if member is not None and _needs_own_record(member, receiver_record):
        records.append(record_of(member))
    return records


def _needs_own_record(member: Member, receiver_record: Record | None) -> bool:
    """Return whether the receiver must get this node's record of it, so that it can refute it."""
    if receiver_record is not None:
        return precedence_of(member) > precedence_of(receiver_record)
    return member.state in (MemberState.SUSPECT, MemberState.DEAD)


def _select_reports(
    gossip: Gossip, view: View, receiver: InstanceId | None, rng: Random
) -> list[Report]:
    pending = [each for each in gossip.pending_reports if each != receiver]
    per_contact = REPORTS_PER_INTERVAL_MAX // max(len(gossip.contacts), 1)
    selected = rng.sample(pending, min(REPORTS_PER_HEARTBEAT_MAX, per_contact, len(pending)))
    for instance in selected:
        _count_report_send(gossip, instance)
    return [report_of(view.members[each]) for each in selected if each in view.members]


def _count_report_send(gossip: Gossip, instance: InstanceId) -> None:
    gossip.pending_reports[instance] -= 1
    if gossip.pending_reports[instance] <= 0:
        del gossip.pending_reports[instance]
