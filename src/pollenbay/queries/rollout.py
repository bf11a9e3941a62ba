"""Progress of the rollout of a published version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from pollenbay.ids import InstanceId, RuleVersion
from pollenbay.queries.dispatch import answer
from pollenbay.queries.reports import request_reports
from pollenbay.states import MemberState

if TYPE_CHECKING:
    from pollenbay.node import Node

Versions = dict[InstanceId, RuleVersion]


class ShowRollout(Struct, frozen=True):
    """Query for the instances on which a version is active. Answered by `Rollout`."""

    version: RuleVersion


class Rollout(Struct, frozen=True, kw_only=True):
    """Instances on which a version is active.

    :param reached: live instances that run the version or a later one, by name.
    :param lagging: live instances that are not known to run it, by name.
    """

    version: RuleVersion
    reached: tuple[InstanceId, ...]
    lagging: tuple[InstanceId, ...]

    @property
    def complete(self) -> bool:
        """Return whether the version is active on all live instances."""
        return not self.lagging


def make_rollout(version: RuleVersion, versions: Versions) -> Rollout:
    """Return the rollout of a version.

    :param versions: versions that the live instances run.
    """
    reached = sorted(each for each, runs in versions.items() if runs >= version)
    lagging = sorted(each for each, runs in versions.items() if runs < version)
    return Rollout(version=version, reached=tuple(reached), lagging=tuple(lagging))


def known_versions(node: Node) -> Versions:
    """Return the last reported version of each live instance.

    An instance counts as live until it is known to be dead, so an unresponsive one delays a
    rollout.
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
    reports = await request_reports(node.membership, others) if others else {}
    for instance, report in reports.items():
        if report is not None:
            versions[instance] = report.rule_version
    return make_rollout(query.version, versions)
