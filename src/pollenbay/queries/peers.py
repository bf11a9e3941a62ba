"""Choice of the few members that a node exchanges heartbeats with.

Each node stands on several rings, on each of which the members are ordered by a hash, and takes
its successor on each. A change of one member then moves only its neighbours. Outside of the own
zone it looks at a second ring and takes the successor with the shorter arc before it, since those
with long arcs are chosen by many.
"""

from functools import lru_cache
from hashlib import blake2b

from pollenbay.ids import InstanceId
from pollenbay.states import MemberState
from pollenbay.view import Member, View

ZONE_RINGS = 2
REGION_RINGS = 1
WORLD_RINGS = 1
RINGS = ZONE_RINGS + REGION_RINGS + WORLD_RINGS
POSITION_BYTES = 8
POSITION_MODULUS = 1 << (8 * POSITION_BYTES)
POSITIONS_KEPT = 65536

_PEER_STATES = frozenset({MemberState.STARTING, MemberState.SERVING, MemberState.SUSPECT})


def choose_peers(view: View, own: InstanceId) -> list[InstanceId]:
    """Return up to `RINGS` members: of the own zone, of another zone, of another region.

    Rings on which nobody qualifies are filled from all members.
    """
    me = view.members[own]
    others = [member for member in view.members.values() if _can_be_peer(member, own)]
    chosen: list[InstanceId] = []
    for ring in range(RINGS):
        pool = [each.instance for each in others if _qualifies(each, me, ring)]
        _add_peer(chosen, pool, ring, own)
    everybody = [each.instance for each in others]
    for ring in range(RINGS):
        if len(chosen) < RINGS:
            _add_peer(chosen, everybody, ring, own)
    return chosen


@lru_cache(maxsize=POSITIONS_KEPT)
def ring_position(instance: InstanceId, ring: int) -> int:
    """Return the place of a member on a ring."""
    digest = blake2b(f"{ring}/{instance}".encode(), digest_size=POSITION_BYTES).digest()
    return int.from_bytes(digest, "big")


def _can_be_peer(member: Member, own: InstanceId) -> bool:
    return member.instance != own and member.state in _PEER_STATES


def _qualifies(member: Member, me: Member, ring: int) -> bool:
    if ring < ZONE_RINGS:
        return member.place.zone == me.place.zone
    if ring < ZONE_RINGS + REGION_RINGS:
        same_region = member.place.region == me.place.region
        return same_region and member.place.zone != me.place.zone
    return member.place.region != me.place.region


def _add_peer(chosen: list[InstanceId], pool: list[InstanceId], ring: int, own: InstanceId) -> None:
    candidates = [each for each in pool if each not in chosen]
    if not candidates:
        return
    first = _successor(candidates, ring, own)
    if ring >= ZONE_RINGS:
        second = _successor(candidates, ring + RINGS, own)
        if _arc(candidates, ring + RINGS, second) < _arc(candidates, ring, first):
            first = second
    chosen.append(first)


def _successor(candidates: list[InstanceId], ring: int, own: InstanceId) -> InstanceId:
    start = ring_position(own, ring)
    return min(candidates, key=lambda each: (ring_position(each, ring) - start) % POSITION_MODULUS)


def _arc(candidates: list[InstanceId], ring: int, instance: InstanceId) -> int:
    """Return the length of the ring from the candidate before an instance to that instance."""
    end = ring_position(instance, ring)
    others = (each for each in candidates if each != instance)
    arcs = ((end - ring_position(each, ring)) % POSITION_MODULUS for each in others)
    return min(arcs, default=POSITION_MODULUS)
