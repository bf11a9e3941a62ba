"""Choice of the few members that a node exchanges heartbeats with.

Each node stands on several rings, on each of which the members are ordered by a hash, and takes
its successor on each. Every node then has about as many observers as peers, and a change of one
member moves only its neighbours.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache
from hashlib import blake2b

from pollenbay.ids import InstanceId
from pollenbay.states import MemberState
from pollenbay.view import Member, View

ZONE_RINGS = 2
REGION_RINGS = 2
WORLD_RINGS = 1
RINGS = ZONE_RINGS + REGION_RINGS + WORLD_RINGS
POSITION_BYTES = 8
POSITION_MODULUS = 1 << (8 * POSITION_BYTES)
POSITIONS_KEPT = 65536

_PEER_STATES = frozenset({MemberState.STARTING, MemberState.SERVING, MemberState.SUSPECT})


def choose_peers(view: View, own: InstanceId) -> list[InstanceId]:
    """Return up to `RINGS` members: of the own zone, of other zones, of another region.

    Rings on which nobody qualifies are filled from all members.
    """
    me = view.members[own]
    others = [member for member in view.members.values() if _can_be_peer(member, own)]
    chosen: list[InstanceId] = []
    for ring in range(RINGS):
        pool = filter(_qualifies(ring, me), others)
        _add_successor(chosen, pool, ring, own)
    for ring in range(RINGS):
        if len(chosen) < RINGS:
            _add_successor(chosen, others, ring, own)
    return chosen


@lru_cache(maxsize=POSITIONS_KEPT)
def ring_position(instance: InstanceId, ring: int) -> int:
    """Return the place of a member on a ring."""
    digest = blake2b(f"{ring}/{instance}".encode(), digest_size=POSITION_BYTES).digest()
    return int.from_bytes(digest, "big")


def _can_be_peer(member: Member, own: InstanceId) -> bool:
    return member.instance != own and member.state in _PEER_STATES


def _qualifies(ring: int, me: Member) -> Callable[[Member], bool]:
    if ring < ZONE_RINGS:
        return lambda member: member.place.zone == me.place.zone
    if ring < ZONE_RINGS + REGION_RINGS:
        return lambda member: _is_in_other_zone(member, me)
    return lambda member: member.place.region != me.place.region


def _is_in_other_zone(member: Member, me: Member) -> bool:
    same_region = member.place.region == me.place.region
    return same_region and member.place.zone != me.place.zone


def _add_successor(
    chosen: list[InstanceId], pool: Iterable[Member], ring: int, own: InstanceId
) -> None:
    start = ring_position(own, ring)
    candidates = [member.instance for member in pool if member.instance not in chosen]
    if candidates:
        chosen.append(min(candidates, key=lambda each: _distance(start, each, ring)))


def _distance(start: int, instance: InstanceId, ring: int) -> int:
    return (ring_position(instance, ring) - start) % POSITION_MODULUS
