"""Rule sets passed on as differences."""

from pollenbay.ids import CallName, OperatorId, RuleVersion, ServiceName
from pollenbay.queries.delta import answer_rules, assemble_rules, request_rules
from pollenbay.rule import EMPTY_RULES, CallRule, RuleSet, ServiceRule
from pollenbay.rulerow import make_rule_set, services_digest
from pollenbay.states import CallClass


def rules_of(version: int, *waits: int) -> RuleSet:
    """Return a rule set with one service for each waiting time."""
    services = tuple(
        ServiceRule(
            service=ServiceName(f"s{number}"),
            calls=(CallRule(name=CallName("c"), call_class=CallClass.NORMAL, wait_ms=wait),),
        )
        for number, wait in enumerate(waits)
    )
    return make_rule_set(RuleVersion(version), services, OperatorId("op"), 1.0)


class TestDelta:
    def test_only_changed_services_travel(self):
        held, newer = rules_of(1, 10, 20, 30), rules_of(2, 10, 25, 30)
        answer = answer_rules(newer, request_rules(held))
        assert [rule.service for rule in answer.changed] == ["s1"]
        assert assemble_rules(held, answer) == newer

    def test_node_without_rules_gets_all(self):
        newer = rules_of(3, 10, 20)
        answer = answer_rules(newer, request_rules(EMPTY_RULES))
        assert assemble_rules(EMPTY_RULES, answer) == newer

    def test_removed_service_is_removed(self):
        held, newer = rules_of(1, 10, 20), rules_of(2, 10)
        rules = assemble_rules(held, answer_rules(newer, request_rules(held)))
        assert rules == newer

    def test_whole_answer_does_not_rest_on_what_is_held(self):
        held, newer = rules_of(1, 10, 20), rules_of(2, 10, 20)
        answer = answer_rules(newer, request_rules(held, whole=True))
        assert len(answer.changed) == 2

    def test_assembled_rules_match_the_digest(self):
        held, newer = rules_of(1, 10, 20), rules_of(2, 11, 20)
        rules = assemble_rules(held, answer_rules(newer, request_rules(held)))
        assert services_digest(rules.services) == rules.digest


class TestNothingNewer:
    def test_peer_that_is_behind_offers_nothing(self):
        held = rules_of(5, 10)
        answer = answer_rules(rules_of(4, 99), request_rules(held))
        assert answer.version == 0
        assert assemble_rules(held, answer) is None

    def test_older_answer_is_not_taken(self):
        answer = answer_rules(rules_of(4, 99), request_rules(rules_of(3, 10)))
        assert assemble_rules(rules_of(5, 10), answer) is None

    def test_answer_that_lacks_a_service_is_not_taken(self):
        held, newer = rules_of(1, 10, 20), rules_of(2, 11, 20)
        answer = answer_rules(newer, request_rules(held))
        assert assemble_rules(EMPTY_RULES, answer) is None
