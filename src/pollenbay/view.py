"""What a node believes of the instances of every service: a cache, never a record."""

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

#: Buckets of the view's summary; two views compare bucket by bucket.
SUMMARY_BUCKETS = 64
MARK_BYTES = 8

_DOUBTED = frozenset({MemberState.SUSPECT, MemberState.DEAD})


@dataclass(frozen=True, slots=True)
class Place:
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
class Load:
    """Load that a node reports of the target beside it.

    :param in_flight: calls that the target is running.
    :param limit: calls that it may run at once now.
    :param queued: calls that wait for a slot.
    :param admitted_rank: least important class rank that is admitted now.
    """

    in_flight: int = 0
    limit: int = 1
    queued: int = 0
    admitted_rank: int = 2


@dataclass(slots=True)
class Member:
    """One instance as last heard of.

    :param heard_at: monotonic seconds at which it was last known to be alive.
    :param first_seen_at: monotonic seconds at which this incarnation appeared.
    :param rule_since: seconds since the epoch from which it runs its rule version, as it reports.
    :param sequence: grows each time the member changes its own state within an incarnation.
    :param state_at: monotonic seconds at which this node learned of the state.
    :param tick: counter of the member's own reports; the highest one is the newest.
    """

    instance: InstanceId
    incarnation: Incarnation
    service: ServiceName
    place: Place
    endpoints: Endpoints
    state: MemberState
    heard_at: float
    first_seen_at: float
    rule_version: RuleVersion = RuleVersion(0)
    rule_since: float = 0.0
    load: Load = field(default_factory=Load)
    sequence: int = 0
    state_at: float = 0.0
    tick: int = 0


class View:
    """All members, by instance and by service."""

    def __init__(self) -> None:
        self._members: dict[InstanceId, Member] = {}
        self._by_service: dict[ServiceName, dict[InstanceId, Member]] = {}
        self._changes: dict[ServiceName, int] = {}
        self._marks: dict[InstanceId, tuple[int, int]] = {}
        self._summary = [0] * SUMMARY_BUCKETS
        self._total_changes = 0
        self._doubted: dict[InstanceId, Member] = {}

    @property
    def total_changes(self) -> int:
        """Return how often a member was put or removed."""
        return self._total_changes

    @property
    def doubted(self) -> dict[InstanceId, Member]:
        """Return the suspected and the dead members by instance."""
        return self._doubted

    @property
    def summary(self) -> list[int]:
        """Return one 64-bit sum for each bucket; equal for views that hold the same news."""
        return self._summary

    @property
    def members(self) -> dict[InstanceId, Member]:
        """Return the members by instance."""
        return self._members

    def of_service(self, service: ServiceName) -> Iterable[Member]:
        """Return the members of a service."""
        return self._by_service.get(service, {}).values()

    def changes_of(self, service: ServiceName) -> int:
        """Return a count that grows when a member comes, goes, or changes state or place."""
        return self._changes.get(service, 0)

    def in_bucket(self, bucket: int) -> list[Member]:
        """Return the members of one bucket of the summary."""
        marks = self._marks.items()
        return [self._members[instance] for instance, (each, _) in marks if each == bucket]

    def put(self, member: Member) -> None:
        """Add a member or replace what was known of it."""
        old = self._take(member.instance)
        self._members[member.instance] = member
        self._by_service.setdefault(member.service, {})[member.instance] = member
        self._add_mark(member)
        if member.state in _DOUBTED:
            self._doubted[member.instance] = member
        self._total_changes += 1
        if old is None or _changes_candidates(old, member):
            self._count_change(member.service)
        if old is not None and old.service != member.service:
            self._count_change(old.service)

    def remove(self, instance: InstanceId) -> None:
        """Forget a member, if it is known."""
        old = self._take(instance)
        if old is not None:
            self._total_changes += 1
            self._count_change(old.service)

    def _take(self, instance: InstanceId) -> Member | None:
        member = self._members.pop(instance, None)
        if member is not None:
            self._by_service[member.service].pop(instance, None)
            self._doubted.pop(instance, None)
            bucket, mark = self._marks.pop(instance)
            self._summary[bucket] ^= mark
        return member

    def _add_mark(self, member: Member) -> None:
        bucket, mark = bucket_of(member.instance), mark_of(member)
        self._marks[member.instance] = (bucket, mark)
        self._summary[bucket] ^= mark

    def _count_change(self, service: ServiceName) -> None:
        self._changes[service] = self._changes.get(service, 0) + 1


def _changes_candidates(old: Member, new: Member) -> bool:
    same_place = old.service == new.service and old.place == new.place
    return old.state is not new.state or not same_place


def make_view() -> View:
    """Return an empty view."""
    return View()


def bucket_of(instance: InstanceId) -> int:
    """Return the bucket of the summary that an instance belongs to."""
    return blake2b(instance.encode(), digest_size=1).digest()[0] % SUMMARY_BUCKETS


def mark_of(member: Member) -> int:
    """Return a 64-bit hash of what is known of a member; 0 for a dead one.

    Dead members count for nothing, so that views which forget them at other times still agree.
    """
    if member.state is MemberState.DEAD:
        return 0
    text = f"{member.instance}/{member.incarnation}/{member.sequence}/{member.state.value}"
    return int.from_bytes(blake2b(text.encode(), digest_size=MARK_BYTES).digest(), "big")
