"""Tests of pollenbay.queries.rules and pollenbay.queries.history."""

from stepped_table import Fault, TableDouble, drive

from pollenbay.ids import OperatorId, RuleVersion
from pollenbay.queries.history import read_history
from pollenbay.queries.rules import (
    RulesDecodeError,
    RulesUnreachableError,
    digest,
    find_call,
    read_current,
)
from pollenbay.rule import CallRule, ServiceRule
from pollenbay.rulebook import make_rulebook
from pollenbay.rulerow import CURRENT_RULES_KEY, encode_row, history_key, make_rule_set
from pollenbay.states import CallClass
from pollenbay.table import Write

GET = CallRule(name="get", call_class=CallClass.NORMAL, wait_ms=100)
DOCS = ServiceRule(service="docs", calls=(GET,))
STOCK = ServiceRule(service="stock", calls=(GET,))


class TestFindCall:
    def test_only_calls_in_the_rules_are_found(self) -> None:
        rulebook = make_rulebook()
        rulebook.activate(make_rule_set(RuleVersion(1), (DOCS,), OperatorId("a"), 0.0), 0.0)
        assert find_call(rulebook, "docs", "get") == GET
        assert find_call(rulebook, "docs", "put") is None
        assert find_call(rulebook, "stock", "get") is None


class TestDigest:
    def test_digest_ignores_the_order_of_services(self) -> None:
        assert digest((DOCS, STOCK)) == digest((STOCK, DOCS))

    def test_digest_depends_on_the_content(self) -> None:
        assert digest((DOCS,)) != digest((STOCK,))


class TestReadCurrent:
    def test_encoded_rules_are_read_back(self) -> None:
        table = TableDouble()
        rules = make_rule_set(RuleVersion(1), (STOCK, DOCS), OperatorId("a"), 3.0)
        table.apply_write(Write(CURRENT_RULES_KEY, encode_row(rules)))
        assert drive(read_current(table)).unwrap() == rules

    def test_table_that_is_down_is_an_error(self) -> None:
        error = drive(read_current(TableDouble()), [Fault.DOWN]).unwrap_err()
        assert isinstance(error, RulesUnreachableError)

    def test_malformed_row_is_an_error(self) -> None:
        table = TableDouble()
        for value in (b"", b"\xc1", b"\x81\xa1a\x01"):
            table.apply_write(Write(CURRENT_RULES_KEY, value))
            error = drive(read_current(table)).unwrap_err()
            assert isinstance(error, RulesDecodeError)


class TestReadHistory:
    def test_malformed_entry_is_an_error(self) -> None:
        table = TableDouble()
        table.apply_write(Write(history_key(RuleVersion(1)), b"\xc1"))
        assert isinstance(drive(read_history(table, 5)).unwrap_err(), RulesDecodeError)

    def test_history_without_entries_is_empty(self) -> None:
        assert drive(read_history(TableDouble(), 5)).unwrap().entries == ()
