"""View of a node: the instances of all services. It is a cache, not an authoritative record."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from pollenbay.ids import (
    HostId,
    Incarnation,
    InstanceId,
    RegionId,
    RuleVersion,
    ServiceName,
    ZoneId,
)
from pollenbay.states import MemberState

#: Number of buckets in the summary of a view; two views are compared bucket by bucket.
SUMMARY_BUCKETS = 64
MEMBER_HASH_BYTES = 8

_SUSPECT_OR_DEAD = frozenset({MemberState.SUSPECT, MemberState.DEAD})


@dataclass(frozen=True, slots=True)
class Location:
    """Where an instance runs."""

    host: HostId
    zone: ZoneId
    region: RegionId


@dataclass(frozen=True, slots=True)
class Endpoints:
    """Where other nodes reach a node."""

    address: str
    link_port: int
    gossip_port: int


@dataclass(slots=True)
class TargetLoad:
    """Load of a node's local target, as reported by the node.

    :param in_flight: calls that the target is running.
    :param limit: maximum number of calls that it may currently run at once.
    :param queued: calls that wait for a slot.
    :param admitted_rank: rank of the least important class that is currently admitted.
    """

    in_flight: int = 0
    limit: int = 1
    queued: int = 0
    admitted_rank: int = 2


@dataclass(slots=True)
class Member:
    """Last known state of one instance.

    :param last_seen_at: monotonic seconds at which it was last known to be alive.
    :param first_seen_at: monotonic seconds at which this incarnation appeared.
    :param rule_since: seconds since the epoch at which it adopted its rule version, as reported.
    :param sequence: increases each time the member changes its own state within an incarnation.
    :param state_at: monotonic seconds at which this node received the state.
    :param report_sequence: counter of the member's own reports; the highest one is the newest.
    """

    instance: InstanceId
    incarnation: Incarnation
    service: ServiceName
    location: Location
    endpoints: Endpoints
    state: MemberState
    last_seen_at: float
    first_seen_at: float
    rule_version: RuleVersion = RuleVersion(0)
    rule_since: float = 0.0
    load: TargetLoad = field(default_factory=TargetLoad)
    sequence: int = 0
    state_at: float = 0.0
    report_sequence: int = 0


class View:
    """All members, by instance and by service."""

    def __init__(self) -> None:
        self._members: dict[InstanceId, Member] = {}
        self._by_service: dict[ServiceName, dict[InstanceId, Member]] = {}
        self._changes: dict[ServiceName, int] = {}
        self._hashes: dict[InstanceId, tuple[int, int]] = {}
        self._summary = [0] * SUMMARY_BUCKETS
        self._total_changes = 0
        self._suspect_or_dead: dict[InstanceId, Member] = {}

    @property
    def total_changes(self) -> int:
        """Return the number of times that a member was put or removed."""
        return self._total_changes

    @property
    def suspect_or_dead(self) -> dict[InstanceId, Member]:
        """Return the suspect and dead members by instance."""
        return self._suspect_or_dead

    @property
    def summary(self) -> list[int]:
        """Return the XOR of the 64-bit member hashes of each bucket; equal for equal views."""
        return self._summary

    @property
    def members(self) -> dict[InstanceId, Member]:
        """Return the members by instance."""
        return self._members

    def members_of(self, service: ServiceName) -> Iterable[Member]:
        """Return the members of a service."""
        return self._by_service.get(service, {}).values()

    def changes_of(self, service: ServiceName) -> int:
        """Return a count that grows when a member joins, leaves, or changes state or location."""
        return self._changes.get(service, 0)

    def members_in_bucket(self, bucket: int) -> list[Member]:
        """Return the members of one bucket of the summary."""
        hashes = self._hashes.items()
        return [
            self._members[instance]
            for instance, (member_bucket, _) in hashes
            if member_bucket == bucket
        ]

    def put(self, member: Member) -> None:
        """Add a member or replace its previous state."""
        old = self._detach(member.instance)
        self._members[member.instance] = member
        self._by_service.setdefault(member.service, {})[member.instance] = member
        self._add_hash(member)
        if member.state in _SUSPECT_OR_DEAD:
            self._suspect_or_dead[member.instance] = member
        self._total_changes += 1
        if old is None or _affects_selection(old, member):
            self._count_change(member.service)
        if old is not None and old.service != member.service:
            self._count_change(old.service)

    def remove(self, instance: InstanceId) -> None:
        """Remove a member, if it is in the view."""
        old = self._detach(instance)
        if old is not None:
            self._total_changes += 1
            self._count_change(old.service)

    def _detach(self, instance: InstanceId) -> Member | None:
        member = self._members.pop(instance, None)
        if member is not None:
            self._by_service[member.service].pop(instance, None)
            self._suspect_or_dead.pop(instance, None)
            bucket, hash_value = self._hashes.pop(instance)
            self._summary[bucket] ^= hash_value
        return member

    def _add_hash(self, member: Member) -> None:
        bucket, hash_value = bucket_of(member.instance), member_hash(member)
        self._hashes[member.instance] = (bucket, hash_value)
        self._summary[bucket] ^= hash_value

    def _count_change(self, service: ServiceName) -> None:
        self._changes[service] = self._changes.get(service, 0) + 1


def _affects_selection(old: Member, new: Member) -> bool:
    same_place = old.service == new.service and old.location == new.location
    return old.state is not new.state or not same_place


def make_view() -> View:
    """Return an empty view."""
    return View()


def bucket_of(instance: InstanceId) -> int:
    """Return the index of the summary bucket of an instance."""
    return blake2b(instance.encode(), digest_size=1).digest()[0] % SUMMARY_BUCKETS


def member_hash(member: Member) -> int:
    """Return a 64-bit hash of a member's state; 0 for a dead member.

    Dead members do not affect the summary, so that views which drop them at different times still
    agree.
    """
    if member.state is MemberState.DEAD:
        return 0
    text = f"{member.instance}/{member.incarnation}/{member.sequence}/{member.state.value}"
    return int.from_bytes(blake2b(text.encode(), digest_size=MEMBER_HASH_BYTES).digest(), "big")
