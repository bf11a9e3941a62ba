"""Tests of pollenbay.queries.rollout."""

import pytest
from admin_node import make_admin_node, make_member
from curio import run

from pollenbay.ids import InstanceId, RuleVersion
from pollenbay.news import Report
from pollenbay.queries import answer, rollout
from pollenbay.queries.rollout import Rollout, ShowRollout
from pollenbay.states import MemberState


def _rollout(version: int, *members: tuple[str, int, MemberState]) -> Rollout:
    node = make_admin_node()
    for name, runs, state in members:
        node.view.put(make_member(name, runs, state, node.timer.now()))
    return run(answer, ShowRollout(RuleVersion(version)), node)


def _report(instance: str, version: int) -> Report:
    return Report(instance, 1, 1, version, 0.0, 0, 1, 0, 2)


class TestRollout:
    def test_live_members_that_lag_are_named(self) -> None:
        seen = _rollout(
            2,
            ("a", 2, MemberState.SERVING),
            ("b", 1, MemberState.SERVING),
            ("c", 1, MemberState.DEAD),
            ("d", 1, MemberState.SUSPECT),
            ("e", 3, MemberState.LEAVING),
        )
        assert seen.lagging == ("b", "d", "docs-1")
        assert seen.reached == ("a", "e")
        assert not seen.complete

    def test_complete(self) -> None:
        assert _rollout(0, ("a", 2, MemberState.SERVING)).complete

    def test_members_of_which_nothing_new_was_heard_are_asked(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        asked: list[InstanceId] = []

        async def ask(membership: object, instances: list[InstanceId]) -> dict:
            asked.extend(instances)
            return {"b": _report("b", 2), "c": _report("c", 1), "d": None}

        monkeypatch.setattr(rollout, "ask_reports", ask)
        seen = _rollout(
            2,
            ("a", 2, MemberState.SERVING),
            ("b", 1, MemberState.SERVING),
            ("c", 1, MemberState.SERVING),
            ("d", 1, MemberState.SUSPECT),
        )
        assert asked == ["b", "c", "d"]
        assert seen.reached == ("a", "b")
        assert seen.lagging == ("c", "d", "docs-1")
