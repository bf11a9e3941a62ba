"""Status of a node, and its view of the other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from pollenbay.ids import Incarnation, InstanceId, RuleVersion, ServiceName, ZoneId
from pollenbay.queries.dispatch import answer
from pollenbay.states import AdoptionRefusal, MemberState, NodeState
from pollenbay.view import Member, TargetLoad

if TYPE_CHECKING:
    from pollenbay.node import Node


class ShowStatus(Struct, frozen=True):
    """Query for the status of this node. Answered by `Status`."""


class ShowMembers(Struct, frozen=True):
    """Query for the instances in this node's view. Answered by `Members`."""


class MemberStatus(Struct, frozen=True, kw_only=True):
    """Last known status of one instance.

    :param rule_since: seconds since the epoch from which it runs that version, as it reports;
        0 if it has not reported it.
    :param heard_ago_s: seconds since it was last known to be alive.
    """

    instance: InstanceId
    service: ServiceName
    zone: ZoneId
    state: MemberState
    rule_version: RuleVersion
    rule_since: float
    heard_ago_s: float


class Members(Struct, frozen=True):
    """All instances in the view, by name."""

    members: tuple[MemberStatus, ...]


class Status(Struct, frozen=True, kw_only=True):
    """Status of one node.

    :param rule_adopted_at: seconds since the epoch; 0 before the first rules.
    :param rules_refused: number of refused rule sets, by reason.
    :param load: load of the local target; None if the node is not in its own view.
    """

    instance: InstanceId
    incarnation: Incarnation
    state: NodeState
    rule_version: RuleVersion
    rule_adopted_at: float
    rules_refused: dict[AdoptionRefusal, int]
    members: tuple[MemberStatus, ...]
    load: TargetLoad | None


@answer.register(ShowStatus)
async def _show_status(query: ShowStatus, node: Node) -> Status:
    own = node.view.members.get(node.settings.instance)
    return Status(
        instance=node.settings.instance,
        incarnation=node.incarnation,
        state=node.state,
        rule_version=node.rulebook.version,
        rule_adopted_at=node.rulebook.adopted_at,
        rules_refused=node.rulebook.refusals,
        members=_member_statuses(node),
        load=None if own is None else own.load,
    )


@answer.register(ShowMembers)
async def _show_members(query: ShowMembers, node: Node) -> Members:
    return Members(_member_statuses(node))


def _member_statuses(node: Node) -> tuple[MemberStatus, ...]:
    now = node.timer.now()
    members = sorted(node.view.members.values(), key=lambda member: member.instance)
    own = node.settings.instance
    return tuple(
        _own_status(member, node) if member.instance == own else _member_status(member, now)
        for member in members
    )


def _own_status(member: Member, node: Node) -> MemberStatus:
    return MemberStatus(
        instance=member.instance,
        service=member.service,
        zone=member.location.zone,
        state=member.state,
        rule_version=node.rulebook.version,
        rule_since=node.rulebook.adopted_at,
        heard_ago_s=0.0,
    )


def _member_status(member: Member, now: float) -> MemberStatus:
    return MemberStatus(
        instance=member.instance,
        service=member.service,
        zone=member.location.zone,
        state=member.state,
        rule_version=member.rule_version,
        rule_since=member.rule_since,
        heard_ago_s=max(0.0, now - member.last_seen_at),
    )
