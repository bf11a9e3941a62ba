"""What a node believes of the instances of every service: a cache, never a record."""

from collections.abc import Iterable
from dataclasses import dataclass, field

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


class View:
    """All members, by instance and by service."""

    def __init__(self) -> None:
        self._members: dict[InstanceId, Member] = {}
        self._by_service: dict[ServiceName, dict[InstanceId, Member]] = {}
        self._changes: dict[ServiceName, int] = {}

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

    def put(self, member: Member) -> None:
        """Add a member or replace what was known of it."""
        old = self._members.get(member.instance)
        if old is not None and old.service != member.service:
            self.remove(member.instance)
            old = None
        self._members[member.instance] = member
        self._by_service.setdefault(member.service, {})[member.instance] = member
        if old is None or _changes_candidates(old, member):
            self._count_change(member.service)

    def remove(self, instance: InstanceId) -> None:
        """Forget a member, if it is known."""
        member = self._members.pop(instance, None)
        if member is not None:
            self._by_service[member.service].pop(instance, None)
            self._count_change(member.service)

    def _count_change(self, service: ServiceName) -> None:
        self._changes[service] = self._changes.get(service, 0) + 1


def _changes_candidates(old: Member, new: Member) -> bool:
    return old.state is not new.state or old.place != new.place


def make_view() -> View:
    """Return an empty view."""
    return View()
