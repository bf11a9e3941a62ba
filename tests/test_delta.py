"""Rule sets transferred as differences."""

from pollenbay.ids import CallName, OperatorId, RuleVersion, ServiceName
from pollenbay.queries.delta import assemble_rules, make_rules_request, make_rules_response
from pollenbay.rule import EMPTY_RULES, CallRule, RuleSet, ServiceRule
from pollenbay.rulerow import make_rule_set, services_digest
from pollenbay.states import CallClass


def make_rules(version: int, *waits: int) -> RuleSet:
    """Return a rule set with one service for each wait time."""
    services = tuple(
        ServiceRule(
            service=ServiceName(f"s{number}"),
            calls=(CallRule(name=CallName("c"), call_class=CallClass.NORMAL, wait_ms=wait),),
        )
        for number, wait in enumerate(waits)
    )
    return make_rule_set(RuleVersion(version), services, OperatorId("op"), 1.0)


class TestDelta:
    def test_response_contains_only_changed_services(self):
        current, newer = make_rules(1, 10, 20, 30), make_rules(2, 10, 25, 30)
        response = make_rules_response(newer, make_rules_request(current))
        assert [rule.service for rule in response.changed_services] == ["s1"]
        assert assemble_rules(current, response) == newer

    def test_node_without_rules_receives_all_services(self):
        newer = make_rules(3, 10, 20)
        response = make_rules_response(newer, make_rules_request(EMPTY_RULES))
        assert assemble_rules(EMPTY_RULES, response) == newer

    def test_removed_service_is_removed(self):
        current, newer = make_rules(1, 10, 20), make_rules(2, 10)
        rules = assemble_rules(current, make_rules_response(newer, make_rules_request(current)))
        assert rules == newer

    def test_complete_response_contains_all_services(self):
        current, newer = make_rules(1, 10, 20), make_rules(2, 10, 20)
        response = make_rules_response(newer, make_rules_request(current, complete=True))
        assert len(response.changed_services) == 2

    def test_assembled_rules_match_the_digest(self):
        current, newer = make_rules(1, 10, 20), make_rules(2, 11, 20)
        rules = assemble_rules(current, make_rules_response(newer, make_rules_request(current)))
        assert services_digest(rules.services) == rules.digest


class TestNoNewerRules:
    def test_peer_with_older_rules_offers_none(self):
        current = make_rules(5, 10)
        response = make_rules_response(make_rules(4, 99), make_rules_request(current))
        assert response.version == 0
        assert assemble_rules(current, response) is None

    def test_older_response_is_rejected(self):
        response = make_rules_response(make_rules(4, 99), make_rules_request(make_rules(3, 10)))
        assert assemble_rules(make_rules(5, 10), response) is None

    def test_response_that_lacks_a_service_is_rejected(self):
        current, newer = make_rules(1, 10, 20), make_rules(2, 11, 20)
        response = make_rules_response(newer, make_rules_request(current))
        assert assemble_rules(EMPTY_RULES, response) is None
