"""Tests of pollenbay.queries.rollout."""

import pytest
from admin_node import make_admin_node, make_member
from curio import run

from pollenbay.gossipmessage import Report
from pollenbay.ids import InstanceId, RuleVersion
from pollenbay.queries import answer, rollout
from pollenbay.queries.rollout import Rollout, ShowRollout
from pollenbay.states import MemberState


def _rollout(version: int, *members: tuple[str, int, MemberState]) -> Rollout:
    node = make_admin_node()
    for name, member_version, state in members:
        node.view.put(make_member(name, member_version, state, node.timer.now()))
    return run(answer, ShowRollout(RuleVersion(version)), node)


def _report(instance: str, version: int) -> Report:
    return Report(instance, 1, 1, version, 0.0, 0, 1, 0, 2)


class TestRollout:
    def test_lagging_live_members_are_listed(self) -> None:
        result = _rollout(
            2,
            ("a", 2, MemberState.SERVING),
            ("b", 1, MemberState.SERVING),
            ("c", 1, MemberState.DEAD),
            ("d", 1, MemberState.SUSPECT),
            ("e", 3, MemberState.LEAVING),
        )
        assert result.lagging == ("b", "d", "docs-1")
        assert result.reached == ("a", "e")
        assert not result.complete

    def test_rollout_is_complete_when_all_members_have_the_version(self) -> None:
        assert _rollout(0, ("a", 2, MemberState.SERVING)).complete

    def test_members_not_reported_at_the_version_are_queried(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        queried: list[InstanceId] = []

        async def request_reports(membership: object, instances: list[InstanceId]) -> dict:
            queried.extend(instances)
            return {"b": _report("b", 2), "c": _report("c", 1), "d": None}

        monkeypatch.setattr(rollout, "request_reports", request_reports)
        result = _rollout(
            2,
            ("a", 2, MemberState.SERVING),
            ("b", 1, MemberState.SERVING),
            ("c", 1, MemberState.SERVING),
            ("d", 1, MemberState.SUSPECT),
        )
        assert queried == ["b", "c", "d"]
        assert result.reached == ("a", "b")
        assert result.lagging == ("c", "d", "docs-1")
