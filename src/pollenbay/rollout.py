"""How far a published version has come, as a node's status tells it."""

from msgspec import Struct

from pollenbay.ids import InstanceId, RuleVersion
from pollenbay.queries.status import Status
from pollenbay.states import MemberState


class Rollout(Struct, frozen=True, kw_only=True):
    """Where a version is in force.

    :param reached: live instances that run the version or a later one.
    :param lagging: live instances that are not known to, by name.
    """

    version: RuleVersion
    reached: tuple[InstanceId, ...]
    lagging: tuple[InstanceId, ...]

    @property
    def complete(self) -> bool:
        """Tell whether the version is in force on all live instances."""
        return not self.lagging


def make_rollout(version: RuleVersion, status: Status) -> Rollout:
    """Return how far a version has come; a suspect instance counts as live until it is dead."""
    versions = {status.instance: status.rule_version}
    for member in status.members:
        if member.state is not MemberState.DEAD:
            versions.setdefault(member.instance, member.rule_version)
    reached = sorted(each for each, runs in versions.items() if runs >= version)
    lagging = sorted(each for each, runs in versions.items() if runs < version)
    return Rollout(version=version, reached=tuple(reached), lagging=tuple(lagging))
