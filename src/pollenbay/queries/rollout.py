"""How far a published version has come."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from pollenbay.ids import InstanceId, RuleVersion
from pollenbay.queries.dispatch import answer
from pollenbay.queries.survey import ask_reports
from pollenbay.states import MemberState

if TYPE_CHECKING:
    from pollenbay.node import Node

Versions = dict[InstanceId, RuleVersion]


class ShowRollout(Struct, frozen=True):
    """Where is this version in force? Answered by `Rollout`."""

    version: RuleVersion


class Rollout(Struct, frozen=True, kw_only=True):
    """Where a version is in force.

    :param reached: live instances that run the version or a later one, by name.
    :param lagging: live instances that are not known to, by name.
    """

    version: RuleVersion
    reached: tuple[InstanceId, ...]
    lagging: tuple[InstanceId, ...]

    @property
    def complete(self) -> bool:
        """Tell whether the version is in force on all live instances."""
        return not self.lagging


def make_rollout(version: RuleVersion, versions: Versions) -> Rollout:
    """Return how far a version has come.

    :param versions: what the live instances run.
    """
    reached = sorted(each for each, runs in versions.items() if runs >= version)
    lagging = sorted(each for each, runs in versions.items() if runs < version)
    return Rollout(version=version, reached=tuple(reached), lagging=tuple(lagging))


def known_versions(node: Node) -> Versions:
    """Return what the live instances run, as far as it was heard.

    An instance counts as live until it is known to be dead, so a silent one holds a rollout up.
    """
    versions = {
        member.instance: member.rule_version
        for member in node.view.members.values()
        if member.state is not MemberState.DEAD
    }
    versions[node.settings.instance] = node.rulebook.version
    return versions


@answer.register(ShowRollout)
async def _show_rollout(query: ShowRollout, node: Node) -> Rollout:
    versions = known_versions(node)
    behind = make_rollout(query.version, versions).lagging
    others = [each for each in behind if each != node.settings.instance]
    reports = await ask_reports(node.membership, others) if others else {}
    for instance, report in reports.items():
        if report is not None:
            versions[instance] = report.rule_version
    return make_rollout(query.version, versions)
