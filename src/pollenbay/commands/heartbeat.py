"""What a heartbeat says, and what it changes on the node that receives it."""

from random import Random

from pollenbay.commands.membership import apply_record, apply_report, drop_contact, hear
from pollenbay.gossip import Clock, Gossip
from pollenbay.ids import InstanceId
from pollenbay.news import (
    NEWS_LIMIT,
    REPORT_LIMIT,
    REPORT_ROUND_LIMIT,
    Heartbeat,
    Record,
    Report,
)
from pollenbay.queries.membership import record_of, standing_of, view_digest
from pollenbay.rulebook import Rulebook
from pollenbay.states import MemberState
from pollenbay.view import Member, View


def renew_report(gossip: Gossip, view: View, rulebook: Rulebook) -> None:
    """Make a new report of this node, which others prefer to the earlier ones."""
    gossip.tick += 1
    me = view.members[gossip.own]
    me.tick = gossip.tick
    me.load = gossip.load
    me.rule_version = rulebook.version
    me.rule_since = rulebook.adopted_at


def compose_heartbeat(
    gossip: Gossip,
    view: View,
    rulebook: Rulebook,
    receiver: InstanceId | None,
    rng: Random,
    said: Record | None = None,
    last: bool = False,
) -> Heartbeat:
    """Return the heartbeat for a receiver; its news stays queued until `acknowledge_news`.

    :param receiver: None if it is not known yet.
    :param said: what the receiver said of itself in the question that this answers.
    :param last: whether this node will send it no more.
    """
    me = view.members[gossip.own]
    gossip.counts.heartbeats_sent += 1
    return Heartbeat(
        sender=record_of(me),
        report=report_of(me),
        rule_digest=rulebook.rules.digest,
        view_digest=view_digest(view),
        last=last,
        news=_pick_news(gossip, view, receiver, said),
        reports=_pick_reports(gossip, view, receiver, rng),
    )


def acknowledge_news(gossip: Gossip, view: View, receiver: InstanceId, sent: Heartbeat) -> None:
    """Take what was sent off the queue for a receiver, except what has changed since."""
    queue = gossip.outbox.get(receiver)
    if not queue:
        return
    for record in sent.news:
        member = view.members.get(record.instance)
        if member is None or record_of(member) == record:
            queue.pop(record.instance, None)


def absorb_heartbeat(gossip: Gossip, view: View, beat: Heartbeat, clock: Clock) -> None:
    """Take in a heartbeat or the answer to one."""
    gossip.counts.heartbeats_received += 1
    sender = beat.sender.instance
    if sender == gossip.own:
        apply_record(gossip, view, beat.sender, clock, sender)
        return
    absorb_records(gossip, view, [beat.sender, *beat.news], sender, clock)
    if not _is_current(view, beat.sender):
        return
    hear(gossip, view, sender, clock.now)
    apply_report(gossip, view, beat.report, clock.now)
    for report in beat.reports:
        apply_report(gossip, view, report, clock.now)


def absorb_question(gossip: Gossip, view: View, beat: Heartbeat, clock: Clock) -> None:
    """Take in a heartbeat of a member that chose this node as its peer."""
    absorb_heartbeat(gossip, view, beat, clock)
    contact = gossip.contacts.get(beat.sender.instance)
    if contact is None:
        return
    contact.asks = not beat.last
    if beat.last and not contact.chosen:
        drop_contact(gossip, beat.sender.instance)


def absorb_records(
    gossip: Gossip, view: View, records: list[Record], source: InstanceId, clock: Clock
) -> int:
    """Take in records told by a member and return how many were news."""
    news = 0
    for record in records:
        news += apply_record(gossip, view, record, clock, source)
    return news


def absorb_bucket(
    gossip: Gossip, view: View, bucket: list[Record], own: list[Record], peer: InstanceId
) -> None:
    """Queue for a peer what this node knows better in a bucket that they compared.

    :param bucket: the peer's records.
    :param own: this node's records of the same bucket, from before the peer's were taken in.
    """
    theirs = {record.instance: record for record in bucket}
    for record in own:
        known = theirs.get(record.instance)
        if record.instance != peer and _is_news_to(record, known):
            gossip.outbox.setdefault(peer, {})[record.instance] = None


def report_of(member: Member) -> Report:
    """Return a member's last report."""
    load = member.load
    return Report(
        instance=member.instance,
        incarnation=member.incarnation,
        tick=member.tick,
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


def _is_news_to(record: Record, known: Record | None) -> bool:
    if known is None:
        return record.state is not MemberState.DEAD
    return record != known


def _pick_news(
    gossip: Gossip, view: View, receiver: InstanceId | None, said: Record | None
) -> list[Record]:
    if receiver is None or gossip.isolated:
        return []
    queued = list(gossip.outbox.get(receiver, {}))[: NEWS_LIMIT - 1]
    records = [record_of(view.members[each]) for each in queued if each in view.members]
    member = view.members.get(receiver)
    if member is not None and _must_refute(member, said):
        records.append(record_of(member))
    return records


def _must_refute(member: Member, said: Record | None) -> bool:
    """Tell whether a member has to be told what is believed of it."""
    if said is not None:
        return standing_of(member) > standing_of(said)
    return member.state in (MemberState.SUSPECT, MemberState.DEAD)


def _pick_reports(
    gossip: Gossip, view: View, receiver: InstanceId | None, rng: Random
) -> list[Report]:
    waiting = [each for each in gossip.reports if each != receiver]
    share = REPORT_ROUND_LIMIT // max(len(gossip.contacts), 1)
    picked = rng.sample(waiting, min(REPORT_LIMIT, share, len(waiting)))
    for instance in picked:
        _count_report(gossip, instance)
    return [report_of(view.members[each]) for each in picked if each in view.members]


def _count_report(gossip: Gossip, instance: InstanceId) -> None:
    gossip.reports[instance] -= 1
    if gossip.reports[instance] <= 0:
        del gossip.reports[instance]
