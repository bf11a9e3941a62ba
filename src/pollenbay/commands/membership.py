"""Changes to what a node believes of the members, itself among them."""

from dataclasses import replace

from pollenbay.gossip import (
    REFUTE_S,
    REINCARNATE_GAP_S,
    REPORT_SENDS,
    REPORTS_KEPT,
    STALE_VIEW_S,
    STALL_S,
    SUSPECT_HOLD_S,
    SUSPECT_S,
    TOMBSTONE_S,
    Clock,
    Contact,
    Gossip,
)
from pollenbay.ids import Incarnation, InstanceId
from pollenbay.news import Record, Report
from pollenbay.queries.membership import member_of, standing_of, supersedes, suspects_are_many
from pollenbay.queries.peers import choose_peers
from pollenbay.states import MemberState
from pollenbay.view import Load, Member, View


def apply_record(
    gossip: Gossip, view: View, record: Record, clock: Clock, source: InstanceId
) -> bool:
    """Take in news of a member and tell whether it changed anything.

    :param source: who told it, and so need not be told.
    """
    if record.instance == gossip.own:
        return refute(gossip, view, record, clock)
    member = view.members.get(record.instance)
    if not supersedes(record, member):
        gossip.counts.records_ignored += 1
        return False
    view.put(_merge(member, record, clock.now))
    gossip.counts.records_applied += 1
    _spread(gossip, record.instance, source)
    return True


def refute(gossip: Gossip, view: View, record: Record, clock: Clock) -> bool:
    """Answer news of this node itself that is newer than its own state.

    A suspicion is answered by a higher sequence, a death or a later run by a new incarnation.
    """
    me = view.members[gossip.own]
    if standing_of(record) <= standing_of(me):
        return False
    if record.incarnation == me.incarnation and record.state is MemberState.SUSPECT:
        gossip.counts.refutations += 1
        _put_own(gossip, view, replace(me, sequence=record.sequence + 1, state_at=clock.now))
        return True
    if clock.now - gossip.reincarnated_at < REINCARNATE_GAP_S:
        return False
    gossip.reincarnated_at = clock.now
    _reincarnate(gossip, view, record.incarnation, clock)
    return True


def raise_incarnation(gossip: Gossip, view: View, known: Incarnation, clock: Clock) -> bool:
    """Pass the incarnation of an earlier run, in case the wall clock was set back since."""
    if known <= view.members[gossip.own].incarnation:
        return False
    _reincarnate(gossip, view, known, clock)
    return True


def next_incarnation(known: Incarnation, epoch_ms: int) -> Incarnation:
    """Return an incarnation above one that is known, by the wall clock if that suffices."""
    return Incarnation(max(epoch_ms, known + 1))


def announce_state(gossip: Gossip, view: View, state: MemberState, now: float) -> bool:
    """Change this node's own state; leaving is final for its incarnation."""
    me = view.members[gossip.own]
    if me.state is state or me.state is MemberState.LEAVING:
        return False
    _put_own(gossip, view, replace(me, state=state, sequence=me.sequence + 1, state_at=now))
    return True


def apply_report(gossip: Gossip, view: View, report: Report, now: float) -> bool:
    """Take in a member's report, if it is newer than the last one of the same incarnation."""
    member = view.members.get(report.instance)
    if member is None or report.instance == gossip.own:
        return False
    if report.incarnation != member.incarnation or report.tick <= member.tick:
        return False
    member.tick = report.tick
    member.heard_at = now
    member.rule_version = report.rule_version
    member.rule_since = report.rule_since
    member.load = Load(report.in_flight, report.limit, report.queued, report.admitted_rank)
    if len(gossip.reports) < REPORTS_KEPT:
        gossip.reports[report.instance] = REPORT_SENDS
    return True


def hear(gossip: Gossip, view: View, instance: InstanceId, now: float) -> Contact:
    """Note a message that came from a member itself."""
    contact = gossip.contacts.get(instance)
    if contact is None:
        contact = gossip.contacts[instance] = Contact(now)
    contact.heard_at = now
    member = view.members.get(instance)
    if member is not None:
        member.heard_at = now
    return contact


def confirm(gossip: Gossip, instance: InstanceId, sent_at: float) -> None:
    """Note that a peer answered a heartbeat, which renews this node's lease."""
    if instance in gossip.contacts:
        gossip.confirmed_at = max(gossip.confirmed_at, sent_at)


def update_peers(gossip: Gossip, view: View, now: float) -> None:
    """Choose the peers anew and drop contacts that neither side keeps."""
    wanted = set(choose_peers(view, gossip.own))
    for instance in wanted:
        contact = gossip.contacts.setdefault(instance, Contact(now))
        if not contact.chosen and not contact.asks:
            contact.heard_at = now
        contact.chosen = True
    for instance, contact in list(gossip.contacts.items()):
        contact.chosen = instance in wanted
        if not contact.chosen and not contact.asks:
            drop_contact(gossip, instance)


def drop_contact(gossip: Gossip, instance: InstanceId) -> None:
    """Forget a contact and what it was to be told."""
    gossip.contacts.pop(instance, None)
    gossip.outbox.pop(instance, None)


def check_contacts(gossip: Gossip, view: View, now: float) -> None:
    """Suspect contacts that went silent, declare dead whoever did not refute, forget the dead."""
    gap = now - gossip.checked_at
    gossip.checked_at = now
    view.members[gossip.own].heard_at = now
    if gap > STALL_S:
        _recover_from_stall(gossip, view, gap, now)
    _update_isolation(gossip, now)
    _suspect_silent(gossip, view, now)
    _declare_dead(gossip, view, now)
    _forget_dead(gossip, view, now)


def _recover_from_stall(gossip: Gossip, view: View, gap: float, now: float) -> None:
    gossip.counts.stalls += 1
    for contact in gossip.contacts.values():
        contact.heard_at = now
    for member in view.doubted.values():
        if member.state is MemberState.SUSPECT:
            member.state_at = now
    if gap > STALE_VIEW_S:
        _drop_view(gossip, view)


def _drop_view(gossip: Gossip, view: View) -> None:
    for instance in [each for each in view.members if each != gossip.own]:
        view.remove(instance)
        drop_contact(gossip, instance)
    gossip.outdated = True


def _update_isolation(gossip: Gossip, now: float) -> None:
    chosen = [contact for contact in gossip.contacts.values() if contact.chosen]
    silent = sum(_is_silent(contact, now) for contact in chosen)
    isolated = silent * 2 > len(chosen)
    if isolated and not gossip.isolated:
        gossip.counts.isolations += 1
    gossip.isolated = isolated


def _suspect_silent(gossip: Gossip, view: View, now: float) -> None:
    for instance, contact in list(gossip.contacts.items()):
        if not _is_silent(contact, now):
            continue
        member = view.members.get(instance)
        if member is None or member.state is MemberState.DEAD or not _is_kept(contact):
            drop_contact(gossip, instance)
        elif member.state is MemberState.LEAVING:
            _declare(gossip, view, member, now)
        elif member.state is not MemberState.SUSPECT:
            _suspect(gossip, view, member, now)


def _is_kept(contact: Contact) -> bool:
    """Tell whether one side sends heartbeats, so that silence means something.

    A late answer can bring back a contact that neither side keeps any more.
    """
    return contact.chosen or contact.asks


def _suspect(gossip: Gossip, view: View, member: Member, now: float) -> None:
    gossip.counts.suspected += 1
    view.put(replace(member, state=MemberState.SUSPECT, state_at=now))
    if not gossip.isolated:
        _spread(gossip, member.instance, gossip.own)


def _declare_dead(gossip: Gossip, view: View, now: float) -> None:
    """Declare dead the suspects whose time to refute is over.

    Whoever remains suspected when a hold ends has that time anew, since the others' refutations
    ended it.
    """
    held = suspects_are_many(view)
    if held or gossip.isolated:
        gossip.held_at = now
    for member in list(view.doubted.values()):
        if member.state is not MemberState.SUSPECT:
            continue
        if now - max(member.state_at, gossip.held_at) >= REFUTE_S:
            _declare(gossip, view, member, now)
        elif held and now - member.state_at >= SUSPECT_HOLD_S:
            _declare(gossip, view, member, now)


def _declare(gossip: Gossip, view: View, member: Member, now: float) -> None:
    if gossip.isolated:
        return
    gossip.counts.declared_dead += 1
    view.put(replace(member, state=MemberState.DEAD, state_at=now))
    drop_contact(gossip, member.instance)
    _spread(gossip, member.instance, gossip.own)


def _forget_dead(gossip: Gossip, view: View, now: float) -> None:
    for member in list(view.doubted.values()):
        if member.state is MemberState.DEAD and now - member.state_at >= TOMBSTONE_S:
            gossip.counts.forgotten += 1
            view.remove(member.instance)
            gossip.reports.pop(member.instance, None)


def _is_silent(contact: Contact, now: float) -> bool:
    return now - contact.heard_at >= SUSPECT_S


def _merge(member: Member | None, record: Record, now: float) -> Member:
    fresh = member_of(record, now)
    if member is None or member.incarnation != record.incarnation:
        return fresh
    fresh.heard_at = member.heard_at
    fresh.first_seen_at = member.first_seen_at
    fresh.rule_version = member.rule_version
    fresh.rule_since = member.rule_since
    fresh.tick = member.tick
    fresh.load = member.load
    return fresh


def _reincarnate(gossip: Gossip, view: View, known: Incarnation, clock: Clock) -> None:
    gossip.counts.reincarnations += 1
    incarnation = next_incarnation(known, clock.epoch_ms)
    me = view.members[gossip.own]
    _put_own(gossip, view, replace(me, incarnation=incarnation, sequence=0, state_at=clock.now))


def _put_own(gossip: Gossip, view: View, me: Member) -> None:
    view.put(me)
    _spread(gossip, gossip.own, gossip.own)


def _spread(gossip: Gossip, about: InstanceId, source: InstanceId) -> None:
    for instance in gossip.contacts:
        if instance not in (source, about):
            gossip.outbox.setdefault(instance, {})[about] = None
    gossip.urgent = True
