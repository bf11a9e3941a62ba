"""Tests of pollenbay.commands.adoption."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from pollenbay.commands.adoption import (
    Adoption,
    ConflictingRulesError,
    OlderRulesError,
    RulesDigestError,
    adopt,
)
from pollenbay.ids import CallName, Digest, OperatorId, RuleVersion, ServiceName
from pollenbay.rule import EMPTY_RULES, CallRule, RuleSet, ServiceRule
from pollenbay.rulebook import make_rulebook
from pollenbay.rulerow import make_rule_set
from pollenbay.states import AdoptionRefusal, CallClass


def _rules(version: int, wait_ms: int = 100) -> RuleSet:
    call = CallRule(name=CallName("get"), call_class=CallClass.NORMAL, wait_ms=wait_ms)
    service = ServiceRule(service=ServiceName("docs"), calls=(call,))
    return make_rule_set(RuleVersion(version), (service,), OperatorId("anna"), 5.0)


class TestAdopt:
    def test_higher_version_is_adopted(self) -> None:
        rulebook = make_rulebook()
        assert adopt(rulebook, _rules(3), 9.0).unwrap() is Adoption.ADOPTED
        assert rulebook.version == 3
        assert rulebook.adopted_at == 9.0

    def test_same_rules_leave_the_rulebook_unchanged(self) -> None:
        rulebook = make_rulebook()
        adopt(rulebook, _rules(3), 9.0).unwrap()
        assert adopt(rulebook, _rules(3), 10.0).unwrap() is Adoption.UNCHANGED
        assert rulebook.adopted_at == 9.0

    def test_empty_rules_leave_a_new_rulebook_unchanged(self) -> None:
        assert adopt(make_rulebook(), EMPTY_RULES, 1.0).unwrap() is Adoption.UNCHANGED

    def test_older_version_is_refused_and_counted(self) -> None:
        rulebook = make_rulebook()
        adopt(rulebook, _rules(3), 9.0).unwrap()
        error = adopt(rulebook, _rules(2), 10.0).unwrap_err()
        assert isinstance(error, OlderRulesError)
        assert rulebook.version == 3
        assert rulebook.refusals[AdoptionRefusal.OLDER] == 1

    def test_same_version_with_other_digest_is_refused_and_counted(self) -> None:
        rulebook = make_rulebook()
        adopt(rulebook, _rules(3), 9.0).unwrap()
        error = adopt(rulebook, _rules(3, wait_ms=200), 10.0).unwrap_err()
        assert isinstance(error, ConflictingRulesError)
        assert rulebook.calls[ServiceName("docs"), CallName("get")].wait_ms == 100
        assert rulebook.refusals[AdoptionRefusal.CONFLICTING] == 1

    def test_wrong_digest_is_refused_and_counted(self) -> None:
        rulebook = make_rulebook()
        error = adopt(rulebook, replace(_rules(4), digest=Digest("00")), 9.0).unwrap_err()
        assert isinstance(error, RulesDigestError)
        assert rulebook.version == 0
        assert rulebook.refusals[AdoptionRefusal.DIGEST] == 1

    @given(st.lists(st.tuples(st.integers(0, 6), st.integers(1, 3)), max_size=20))
    def test_versions_never_fall(self, heard: list[tuple[int, int]]) -> None:
        rulebook = make_rulebook()
        contents: dict[int, str] = {0: ""}
        for version, wait_ms in heard:
            before = rulebook.version
            adopt(rulebook, _rules(version, wait_ms), 1.0)
            assert rulebook.version >= before
            held = contents.setdefault(rulebook.version, rulebook.rules.digest)
            assert held == rulebook.rules.digest
