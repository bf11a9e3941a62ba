"""Precedence between records of a member, and records and digests of a view.

Records are totally ordered: by incarnation, then by the finality of the state, then by the
member's own sequence, and last a suspicion above the state that it suspects. A view keeps the
greatest record of each member, so that the order and number of deliveries make no difference.
"""

from typing import NamedTuple

from pollenbay.gossip import MASS_SUSPICION_MIN, MASS_SUSPICION_RATIO, NODE_LEASE_S, Gossip
from pollenbay.gossipmessage import PAGE_RECORDS_MAX, Record
from pollenbay.ids import InstanceId
from pollenbay.states import MemberState
from pollenbay.view import Endpoints, Location, Member, View

_FINALITY = {MemberState.LEAVING: 1, MemberState.DEAD: 2}


class Precedence(NamedTuple):
    """Position of a record in the order of the records of one member."""

    incarnation: int
    finality: int
    sequence: int
    suspected: bool


def precedence_of(entry: Record | Member) -> Precedence:
    """Return the position of a record or member in the order."""
    finality = _FINALITY.get(entry.state, 0)
    suspected = entry.state is MemberState.SUSPECT
    return Precedence(entry.incarnation, finality, entry.sequence, suspected)


def supersedes(record: Record, member: Member | None) -> bool:
    """Return whether a record has precedence over the known state of the member.

    The death of an unknown member is ignored; otherwise dead members would be kept forever.
    """
    if member is None:
        return record.state is not MemberState.DEAD
    return precedence_of(record) > precedence_of(member)


def record_of(member: Member) -> Record:
    """Return the record of a member that is sent to other nodes."""
    return Record(
        instance=member.instance,
        incarnation=member.incarnation,
        sequence=member.sequence,
        state=member.state,
        service=member.service,
        host=member.location.host,
        zone=member.location.zone,
        region=member.location.region,
        address=member.endpoints.address,
        link_port=member.endpoints.link_port,
        gossip_port=member.endpoints.gossip_port,
    )


def member_of(record: Record, now: float) -> Member:
    """Return a member from a record that another node sent.

    :param now: monotonic seconds.
    """
    return Member(
        instance=record.instance,
        incarnation=record.incarnation,
        service=record.service,
        location=Location(record.host, record.zone, record.region),
        endpoints=Endpoints(record.address, record.link_port, record.gossip_port),
        state=record.state,
        last_seen_at=now,
        first_seen_at=now,
        sequence=record.sequence,
        state_at=now,
    )


def view_digest(view: View) -> int:
    """Return the XOR of the view's buckets; equal for views that hold the same live records."""
    digest = 0
    for bucket in view.summary:
        digest ^= bucket
    return digest


def next_difference(view: View, summary: list[int], after: int) -> int:
    """Return the first bucket past `after`, in rotation, in which a summary differs.

    -1 if none differs or the summaries differ in size.
    """
    own = view.summary
    size = len(own)
    if len(summary) != size:
        return -1
    for step in range(1, size + 1):
        bucket = (after + step) % size
        if summary[bucket] != own[bucket]:
            return bucket
    return -1


def records_in_bucket(view: View, bucket: int) -> list[Record]:
    """Return the records of one bucket of the view."""
    return [record_of(member) for member in view.members_in_bucket(bucket)]


def page_after(view: View, after: InstanceId) -> list[Record]:
    """Return up to `PAGE_RECORDS_MAX` records past `after`, by instance id, except dead members."""
    members = view.members
    instances = sorted(instance for instance in members if instance > after)
    live = [each for each in instances if members[each].state is not MemberState.DEAD]
    return [record_of(members[instance]) for instance in live[:PAGE_RECORDS_MAX]]


def is_mass_suspicion(view: View) -> bool:
    """Return whether the number of suspects makes a network partition likelier than their death."""
    suspect_or_dead = view.suspect_or_dead.values()
    suspects = sum(member.state is MemberState.SUSPECT for member in suspect_or_dead)
    live = len(view.members) - (len(suspect_or_dead) - suspects)
    return suspects >= max(MASS_SUSPICION_MIN, MASS_SUSPICION_RATIO * live)


def holds_lease(gossip: Gossip, now: float) -> bool:
    """Return whether other nodes may still consider this node alive.

    A node without peers holds its lease, since no other node can have declared it dead.
    """
    return not gossip.selected_peers or now - gossip.lease_renewed_at < NODE_LEASE_S
