"""Changes to a node's view of the members, including itself."""

from dataclasses import replace

from pollenbay.gossip import (
    MASS_SUSPICION_HOLD_S,
    PENDING_REPORTS_MAX,
    REFUTATION_TIMEOUT_S,
    REINCARNATION_INTERVAL_MIN_S,
    REPORT_TRANSMISSIONS,
    STALL_THRESHOLD_S,
    SUSPICION_TIMEOUT_S,
    TOMBSTONE_RETENTION_S,
    VIEW_EXPIRY_S,
    Clock,
    Contact,
    Gossip,
)
from pollenbay.gossipmessage import Record, Report
from pollenbay.ids import Incarnation, InstanceId
from pollenbay.queries.membership import is_mass_suspicion, member_of, precedence_of, supersedes
from pollenbay.queries.peers import select_peers
from pollenbay.states import MemberState
from pollenbay.view import Member, TargetLoad, View


def apply_record(
    gossip: Gossip, view: View, record: Record, clock: Clock, source: InstanceId
) -> bool:
    """Apply a record of a member and return whether it changed anything.

    :param source: the member that sent it, for which the update is not queued.
    """
    if record.instance == gossip.local_instance:
        return refute(gossip, view, record, clock)
    member = view.members.get(record.instance)
    if not supersedes(record, member):
        gossip.counts.records_ignored += 1
        return False
    view.put(_merge_record(member, record, clock.now))
    gossip.counts.records_applied += 1
    _queue_update(gossip, record.instance, source)
    return True


def refute(gossip: Gossip, view: View, record: Record, clock: Clock) -> bool:
    """Supersede a record of this node that has precedence over its own; return whether it did.

    A suspicion is refuted by a higher sequence, a death or a later run by a new incarnation.
    """
    me = view.members[gossip.local_instance]
    if precedence_of(record) <= precedence_of(me):
        return False
    if record.incarnation == me.incarnation and record.state is MemberState.SUSPECT:
        gossip.counts.refutations += 1
        _put_local_member(
            gossip, view, replace(me, sequence=record.sequence + 1, state_at=clock.now)
        )
        return True
    if clock.now - gossip.reincarnated_at < REINCARNATION_INTERVAL_MIN_S:
        return False
    gossip.reincarnated_at = clock.now
    _reincarnate(gossip, view, record.incarnation, clock)
    return True


def raise_incarnation(gossip: Gossip, view: View, known: Incarnation, clock: Clock) -> bool:
    """Move past the incarnation of an earlier run, in case the wall clock was set back since."""
    if known <= view.members[gossip.local_instance].incarnation:
        return False
    _reincarnate(gossip, view, known, clock)
    return True


def next_incarnation(known: Incarnation, epoch_ms: int) -> Incarnation:
    """Return an incarnation above a known one, taken from the wall clock if that is higher.

    :param epoch_ms: milliseconds since the epoch.
    """
    return Incarnation(max(epoch_ms, known + 1))


def announce_state(gossip: Gossip, view: View, state: MemberState, now: float) -> bool:
    """Change this node's own state; leaving is final for its incarnation."""
    me = view.members[gossip.local_instance]
    if me.state is state or me.state is MemberState.LEAVING:
        return False
    _put_local_member(
        gossip, view, replace(me, state=state, sequence=me.sequence + 1, state_at=now)
    )
    return True


def apply_report(gossip: Gossip, view: View, report: Report, now: float) -> bool:
    """Apply a member's report if it is newer than the last one of the same incarnation."""
    member = view.members.get(report.instance)
    if member is None or report.instance == gossip.local_instance:
        return False
    if report.incarnation != member.incarnation or report.report_sequence <= member.report_sequence:
        return False
    member.report_sequence = report.report_sequence
    member.last_seen_at = now
    member.rule_version = report.rule_version
    member.rule_since = report.rule_since
    member.load = TargetLoad(report.in_flight, report.limit, report.queued, report.admitted_rank)
    if len(gossip.pending_reports) < PENDING_REPORTS_MAX:
        gossip.pending_reports[report.instance] = REPORT_TRANSMISSIONS
    return True


def mark_seen(gossip: Gossip, view: View, instance: InstanceId, now: float) -> Contact:
    """Record that a message arrived from a member itself."""
    contact = gossip.contacts.get(instance)
    if contact is None:
        contact = gossip.contacts[instance] = Contact(now)
    contact.last_seen_at = now
    member = view.members.get(instance)
    if member is not None:
        member.last_seen_at = now
    return contact


def renew_lease(gossip: Gossip, instance: InstanceId, sent_at: float) -> None:
    """Record that a peer responded to a heartbeat, which renews this node's lease.

    :param sent_at: monotonic seconds at which the heartbeat was sent.
    """
    if instance in gossip.contacts:
        gossip.lease_renewed_at = max(gossip.lease_renewed_at, sent_at)


def update_peers(gossip: Gossip, view: View, now: float) -> None:
    """Select the peers again and drop contacts to which neither side sends heartbeats."""
    selected = set(select_peers(view, gossip.local_instance))
    for instance in selected:
        contact = gossip.contacts.setdefault(instance, Contact(now))
        if not contact.selected and not contact.sends_heartbeats:
            contact.last_seen_at = now
        contact.selected = True
    for instance, contact in list(gossip.contacts.items()):
        contact.selected = instance in selected
        if not contact.selected and not contact.sends_heartbeats:
            drop_contact(gossip, instance)


def drop_contact(gossip: Gossip, instance: InstanceId) -> None:
    """Remove a contact and its pending updates."""
    gossip.contacts.pop(instance, None)
    gossip.pending_updates.pop(instance, None)


def check_contacts(gossip: Gossip, view: View, now: float) -> None:
    """Suspect unresponsive contacts, declare unrefuted suspects dead, remove old dead members."""
    pause_s = now - gossip.checked_at
    gossip.checked_at = now
    view.members[gossip.local_instance].last_seen_at = now
    if pause_s > STALL_THRESHOLD_S:
        _recover_from_stall(gossip, view, pause_s, now)
    _update_isolation(gossip, now)
    _suspect_unresponsive(gossip, view, now)
    _declare_unrefuted_dead(gossip, view, now)
    _remove_dead(gossip, view, now)


def _recover_from_stall(gossip: Gossip, view: View, pause_s: float, now: float) -> None:
    gossip.counts.stalls += 1
    for contact in gossip.contacts.values():
        contact.last_seen_at = now
    for member in view.suspect_or_dead.values():
        if member.state is MemberState.SUSPECT:
            member.state_at = now
    if pause_s > VIEW_EXPIRY_S:
        _clear_view(gossip, view)


def _clear_view(gossip: Gossip, view: View) -> None:
    for instance in [each for each in view.members if each != gossip.local_instance]:
        view.remove(instance)
        drop_contact(gossip, instance)
    gossip.view_outdated = True


def _update_isolation(gossip: Gossip, now: float) -> None:
    selected = [contact for contact in gossip.contacts.values() if contact.selected]
    unresponsive = sum(_is_unresponsive(contact, now) for contact in selected)
    isolated = unresponsive * 2 > len(selected)
    if isolated and not gossip.isolated:
        gossip.counts.isolations += 1
    gossip.isolated = isolated


def _suspect_unresponsive(gossip: Gossip, view: View, now: float) -> None:
    for instance, contact in list(gossip.contacts.items()):
        if not _is_unresponsive(contact, now):
            continue
        member = view.members.get(instance)
        if member is None or member.state is MemberState.DEAD or not _exchanges_heartbeats(contact):
            drop_contact(gossip, instance)
        elif member.state is MemberState.LEAVING:
            _declare_dead(gossip, view, member, now)
        elif member.state is not MemberState.SUSPECT:
            _suspect(gossip, view, member, now)


def _exchanges_heartbeats(contact: Contact) -> bool:
    """Return whether either side sends heartbeats, so that a time-out indicates a failure.

    A late response can recreate a contact to which neither side sends heartbeats any more.
    """
    return contact.selected or contact.sends_heartbeats


def _suspect(gossip: Gossip, view: View, member: Member, now: float) -> None:
    gossip.counts.suspected += 1
    view.put(replace(member, state=MemberState.SUSPECT, state_at=now))
    if not gossip.isolated:
        _queue_update(gossip, member.instance, gossip.local_instance)


def _declare_unrefuted_dead(gossip: Gossip, view: View, now: float) -> None:
    """Declare dead the suspects whose time to refute has expired.

    Suspects that remain when a hold ends get the full time again, since the hold was ended by the
    refutations of others.
    """
    mass_suspicion = is_mass_suspicion(view)
    if mass_suspicion or gossip.isolated:
        gossip.declarations_held_at = now
    for member in list(view.suspect_or_dead.values()):
        if member.state is not MemberState.SUSPECT:
            continue
        if now - max(member.state_at, gossip.declarations_held_at) >= REFUTATION_TIMEOUT_S:
            _declare_dead(gossip, view, member, now)
        elif mass_suspicion and now - member.state_at >= MASS_SUSPICION_HOLD_S:
            _declare_dead(gossip, view, member, now)


def _declare_dead(gossip: Gossip, view: View, member: Member, now: float) -> None:
    if gossip.isolated:
        return
    gossip.counts.declared_dead += 1
    view.put(replace(member, state=MemberState.DEAD, state_at=now))
    drop_contact(gossip, member.instance)
    _queue_update(gossip, member.instance, gossip.local_instance)


def _remove_dead(gossip: Gossip, view: View, now: float) -> None:
    for member in list(view.suspect_or_dead.values()):
        if member.state is MemberState.DEAD and now - member.state_at >= TOMBSTONE_RETENTION_S:
            gossip.counts.forgotten += 1
            view.remove(member.instance)
            gossip.pending_reports.pop(member.instance, None)


def _is_unresponsive(contact: Contact, now: float) -> bool:
    return now - contact.last_seen_at >= SUSPICION_TIMEOUT_S


def _merge_record(member: Member | None, record: Record, now: float) -> Member:
    merged = member_of(record, now)
    if member is None or member.incarnation != record.incarnation:
        return merged
    merged.last_seen_at = member.last_seen_at
    merged.first_seen_at = member.first_seen_at
    merged.rule_version = member.rule_version
    merged.rule_since = member.rule_since
    merged.report_sequence = member.report_sequence
    merged.load = member.load
    return merged


def _reincarnate(gossip: Gossip, view: View, known: Incarnation, clock: Clock) -> None:
    gossip.counts.reincarnations += 1
    incarnation = next_incarnation(known, clock.epoch_ms)
    me = view.members[gossip.local_instance]
    _put_local_member(
        gossip, view, replace(me, incarnation=incarnation, sequence=0, state_at=clock.now)
    )


def _put_local_member(gossip: Gossip, view: View, me: Member) -> None:
    view.put(me)
    _queue_update(gossip, gossip.local_instance, gossip.local_instance)


def _queue_update(gossip: Gossip, subject: InstanceId, source: InstanceId) -> None:
    for instance in gossip.contacts:
        if instance not in (source, subject):
            gossip.pending_updates.setdefault(instance, {})[subject] = None
    gossip.has_urgent_updates = True
