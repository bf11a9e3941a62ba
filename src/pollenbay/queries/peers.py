"""Selection of the few members with which a node exchanges heartbeats.

Each node has a position on several rings, on each of which the members are ordered by a hash, and
selects its successor on each. A change of one member then affects only its neighbours. Outside
its own zone, the node also considers a second ring and selects the successor with the shorter arc
before it, since those with long arcs are selected by many nodes.
"""

from functools import lru_cache
from hashlib import blake2b

from pollenbay.ids import InstanceId
from pollenbay.states import MemberState
from pollenbay.view import Member, View

SAME_ZONE_RINGS = 2
OTHER_ZONE_RINGS = 1
OTHER_REGION_RINGS = 1
RINGS = SAME_ZONE_RINGS + OTHER_ZONE_RINGS + OTHER_REGION_RINGS
POSITION_BYTES = 8
POSITION_MODULUS = 1 << (8 * POSITION_BYTES)
POSITION_CACHE_SIZE = 65536

_PEER_STATES = frozenset({MemberState.STARTING, MemberState.SERVING, MemberState.SUSPECT})


def select_peers(view: View, own: InstanceId) -> list[InstanceId]:
    """Return up to `RINGS` members: of the own zone, of another zone, of another region.

    Rings without a candidate are filled from all members.
    """
    me = view.members[own]
    others = [member for member in view.members.values() if _can_be_peer(member, own)]
    selected: list[InstanceId] = []
    for ring in range(RINGS):
        pool = [each.instance for each in others if _qualifies(each, me, ring)]
        _add_peer(selected, pool, ring, own)
    candidates = [each.instance for each in others]
    for ring in range(RINGS):
        if len(selected) < RINGS:
            _add_peer(selected, candidates, ring, own)
    return selected


@lru_cache(maxsize=POSITION_CACHE_SIZE)
def ring_position(instance: InstanceId, ring: int) -> int:
    """Return the position of a member on a ring, below `POSITION_MODULUS`."""
    digest = blake2b(f"{ring}/{instance}".encode(), digest_size=POSITION_BYTES).digest()
    return int.from_bytes(digest, "big")


def _can_be_peer(member: Member, own: InstanceId) -> bool:
    return member.instance != own and member.state in _PEER_STATES


def _qualifies(member: Member, me: Member, ring: int) -> bool:
    if ring < SAME_ZONE_RINGS:
        return member.location.zone == me.location.zone
    if ring < SAME_ZONE_RINGS + OTHER_ZONE_RINGS:
        same_region = member.location.region == me.location.region
        return same_region and member.location.zone != me.location.zone
    return member.location.region != me.location.region


def _add_peer(
    selected: list[InstanceId], pool: list[InstanceId], ring: int, own: InstanceId
) -> None:
    candidates = [each for each in pool if each not in selected]
    if not candidates:
        return
    first = _successor(candidates, ring, own)
    if ring >= SAME_ZONE_RINGS:
        second = _successor(candidates, ring + RINGS, own)
        if _arc_length(candidates, ring + RINGS, second) < _arc_length(candidates, ring, first):
            first = second
    selected.append(first)


def _successor(candidates: list[InstanceId], ring: int, own: InstanceId) -> InstanceId:
    start = ring_position(own, ring)
    return min(candidates, key=lambda each: (ring_position(each, ring) - start) % POSITION_MODULUS)


def _arc_length(candidates: list[InstanceId], ring: int, instance: InstanceId) -> int:
    """Return the length of the ring from the candidate before an instance to that instance."""
    end = ring_position(instance, ring)
    others = (each for each in candidates if each != instance)
    arcs = ((end - ring_position(each, ring)) % POSITION_MODULUS for each in others)
    return min(arcs, default=POSITION_MODULUS)
