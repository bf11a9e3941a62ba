"""Selection of the members of a service that one node calls: the nearest, spread over the nodes."""

from hashlib import blake2b

from pollenbay.ids import HostId, InstanceId, ServiceName
from pollenbay.score import Candidates
from pollenbay.states import MemberState
from pollenbay.view import Location, Member, View

#: Maximum number of members of a service that one node calls.
SUBSET_MEMBERS_MAX = 16
RENDEZVOUS_HASH_BYTES = 8


def make_candidates(view: View, service: ServiceName, origin: Location, now: float) -> Candidates:
    """Return the candidate lists for calls of a service from a place.

    Members at equal distance are ordered by a hash of both ends, so that the subsets of all nodes
    together load the members evenly and change little when a member joins or leaves.
    """
    members = list(view.members_of(service))
    serving = [member for member in members if member.state is MemberState.SERVING]
    ordered = _sorted_by_distance(serving, origin)
    subset = ordered[:SUBSET_MEMBERS_MAX]
    return Candidates(
        changes=view.changes_of(service),
        made_at=now,
        nearest=[member.instance for member in _nearest(subset, origin)],
        subset=[member.instance for member in subset],
        outside_subset=[member.instance for member in ordered[SUBSET_MEMBERS_MAX:]],
        suspects=[member.instance for member in members if member.state is MemberState.SUSPECT],
    )


def distance(place: Location, origin: Location) -> int:
    """Return 0 on the same host, 1 in the same zone, 2 in the same region, otherwise 3."""
    if place.region != origin.region:
        return 3
    if place.zone != origin.zone:
        return 2
    return int(place.host != origin.host)


def _sorted_by_distance(members: list[Member], origin: Location) -> list[Member]:
    def key(member: Member) -> tuple[int, bytes]:
        return distance(member.location, origin), _rendezvous_hash(origin.host, member.instance)

    return sorted(members, key=key)


def _nearest(subset: list[Member], origin: Location) -> list[Member]:
    if not subset:
        return []
    least = distance(subset[0].location, origin)
    return [member for member in subset if distance(member.location, origin) == least]


def _rendezvous_hash(origin: HostId, instance: InstanceId) -> bytes:
    return blake2b(f"{origin} {instance}".encode(), digest_size=RENDEZVOUS_HASH_BYTES).digest()
