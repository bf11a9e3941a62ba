"""What a node is doing, and what it believes of the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from pollenbay.ids import Incarnation, InstanceId, RuleVersion, ServiceName, ZoneId
from pollenbay.queries.dispatch import answer
from pollenbay.states import AdoptionRefusal, MemberState, NodeState
from pollenbay.view import Load, Member

if TYPE_CHECKING:
    from pollenbay.node import Node


class ShowStatus(Struct, frozen=True):
    """What is this node doing? Answered by `Status`."""


class ShowMembers(Struct, frozen=True):
    """What does this node believe of the others? Answered by `Members`."""


class MemberStatus(Struct, frozen=True, kw_only=True):
    """One instance as last heard of.

    :param rule_since: seconds since the epoch from which it runs that version, as it reports;
        0 if it has not said.
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
    """All instances in view, by name."""

    members: tuple[MemberStatus, ...]


class Status(Struct, frozen=True, kw_only=True):
    """One node.

    :param rule_adopted_at: seconds since the epoch; 0 before the first rules.
    :param rules_refused: rule sets heard of and not put in force, by why.
    :param load: load of the target beside it; None while it has announced nothing.
    """

    instance: InstanceId
    incarnation: Incarnation
    state: NodeState
    rule_version: RuleVersion
    rule_adopted_at: float
    rules_refused: dict[AdoptionRefusal, int]
    members: tuple[MemberStatus, ...]
    load: Load | None


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
        zone=member.place.zone,
        state=member.state,
        rule_version=node.rulebook.version,
        rule_since=node.rulebook.adopted_at,
        heard_ago_s=0.0,
    )


def _member_status(member: Member, now: float) -> MemberStatus:
    return MemberStatus(
        instance=member.instance,
        service=member.service,
        zone=member.place.zone,
        state=member.state,
        rule_version=member.rule_version,
        rule_since=member.rule_since,
        heard_ago_s=max(0.0, now - member.heard_at),
    )
