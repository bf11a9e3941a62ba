"""Tests of pollenbay.queries.status."""

from admin_node import make_admin_node, make_member
from stepped_table import drive

from pollenbay.queries import answer
from pollenbay.queries.status import ShowMembers, ShowStatus, Status
from pollenbay.states import AdoptionRefusal, MemberState


def _status(*members: tuple[str, int, MemberState], refused: int = 0) -> Status:
    node = make_admin_node()
    for name, version, state in members:
        node.view.put(make_member(name, version, state, node.timer.now() - 3.0))
    for _ in range(refused):
        node.rulebook.count_refusal(AdoptionRefusal.OLDER)
    return drive(answer(ShowStatus(), node))


class TestStatus:
    def test_members_are_in_order_with_version_and_age(self) -> None:
        status = _status(("b", 2, MemberState.SERVING), ("a", 1, MemberState.SUSPECT))
        others = [each for each in status.members if each.instance != "docs-1"]
        assert [(each.instance, each.rule_version) for each in others] == [("a", 1), ("b", 2)]
        assert others[0].rule_since == 7.0
        assert 3.0 <= others[0].heard_ago_s < 30.0

    def test_refusals_are_counted(self) -> None:
        assert _status(refused=2).rules_refused[AdoptionRefusal.OLDER] == 2

    def test_members_query_lists_the_members(self) -> None:
        node = make_admin_node()
        node.view.put(make_member("a", 1, MemberState.SERVING, 0.0))
        members = drive(answer(ShowMembers(), node)).members
        assert "a" in [each.instance for each in members]
