"""What news of a member means against what is known of it.

Records are ordered totally: by incarnation, then by how final the state is, then by the member's
own sequence, and last a suspicion above what it doubts. A view keeps the greatest record of each
member, so that the order and number of deliveries make no difference.
"""

from typing import NamedTuple

from pollenbay.gossip import LEASE_S, MASS_MIN, MASS_SHARE, Gossip
from pollenbay.ids import InstanceId
from pollenbay.news import PAGE_LIMIT, Record
from pollenbay.states import MemberState
from pollenbay.view import Endpoints, Member, Place, View

_FINALITY = {MemberState.LEAVING: 1, MemberState.DEAD: 2}


class Standing(NamedTuple):
    """Place of a record in the order of the news of one member."""

    incarnation: int
    finality: int
    sequence: int
    suspected: bool


def standing_of(news: Record | Member) -> Standing:
    """Return the place of a record or member in the order."""
    finality = _FINALITY.get(news.state, 0)
    suspected = news.state is MemberState.SUSPECT
    return Standing(news.incarnation, finality, news.sequence, suspected)


def supersedes(record: Record, member: Member | None) -> bool:
    """Tell whether a record is newer than what is known of the member.

    Death of a member that is not known is no news, so that nobody is remembered for ever.
    """
    if member is None:
        return record.state is not MemberState.DEAD
    return standing_of(record) > standing_of(member)


def record_of(member: Member) -> Record:
    """Return a member as it is told to others."""
    return Record(
        instance=member.instance,
        incarnation=member.incarnation,
        sequence=member.sequence,
        state=member.state,
        service=member.service,
        host=member.place.host,
        zone=member.place.zone,
        region=member.place.region,
        address=member.endpoints.address,
        link_port=member.endpoints.link_port,
        gossip_port=member.endpoints.gossip_port,
    )


def member_of(record: Record, now: float) -> Member:
    """Return a member as told by another node."""
    return Member(
        instance=record.instance,
        incarnation=record.incarnation,
        service=record.service,
        place=Place(record.host, record.zone, record.region),
        endpoints=Endpoints(record.address, record.link_port, record.gossip_port),
        state=record.state,
        heard_at=now,
        first_seen_at=now,
        sequence=record.sequence,
        state_at=now,
    )


def view_digest(view: View) -> int:
    """Return one number that is equal for views which hold the same news."""
    digest = 0
    for bucket in view.summary:
        digest ^= bucket
    return digest


def next_difference(view: View, summary: list[int], after: int) -> int:
    """Return the first bucket past `after`, in rotation, in which a summary differs; -1 if none."""
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
    """Return the records of a bucket of the summary."""
    return [record_of(member) for member in view.in_bucket(bucket)]


def page_after(view: View, after: InstanceId) -> list[Record]:
    """Return up to `PAGE_LIMIT` records by instance id past `after`, without the dead."""
    members = view.members
    instances = sorted(instance for instance in members if instance > after)
    live = [each for each in instances if members[each].state is not MemberState.DEAD]
    return [record_of(members[instance]) for instance in live[:PAGE_LIMIT]]


def suspects_are_many(view: View) -> bool:
    """Tell whether so many are suspected that a cut network is likelier than their death."""
    doubted = view.doubted.values()
    suspects = sum(member.state is MemberState.SUSPECT for member in doubted)
    live = len(view.members) - (len(doubted) - suspects)
    return suspects >= max(MASS_MIN, MASS_SHARE * live)


def holds_lease(gossip: Gossip, now: float) -> bool:
    """Tell whether other nodes can still believe this node alive.

    A node without peers holds it, since nobody can have declared it dead.
    """
    return not gossip.chosen or now - gossip.confirmed_at < LEASE_S
