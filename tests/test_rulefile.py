"""Tests of reading rule files: content, and errors with file, line, key and expected value."""

from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from msgspec import to_builtins
from yaml import safe_dump

from pollenbay.rule import CallRule, ServiceRule
from pollenbay.rulefile import (
    FILE_BYTES_MAX,
    RuleFileContentError,
    RuleFileError,
    RuleFileSyntaxError,
    RuleFileUnreadableError,
    parse_rule_file,
    read_rule_file,
    read_rule_folder,
)
from pollenbay.states import CallClass

BOOKINGS = """\
service: bookings
slots: 13
calls:
  - name: book
    class: critical
    idempotent: false
    wait_ms: 2000
    calls: [stock.reserve]
"""


def _error(text: str) -> RuleFileError:
    return parse_rule_file(text, "rules/a.yaml").unwrap_err()


class TestParse:
    def test_complete_file_is_parsed(self) -> None:
        file = parse_rule_file(BOOKINGS, "a.yaml").unwrap()
        book = CallRule(
            name="book",
            call_class=CallClass.CRITICAL,
            idempotent=False,
            wait_ms=2000,
            calls=("stock.reserve",),
        )
        assert file.rule == ServiceRule(service="bookings", slots=13, calls=(book,))

    @given(
        st.builds(
            ServiceRule,
            service=st.text("abc-", min_size=1),
            slots=st.integers(1, 99),
            calls=st.lists(
                st.builds(
                    CallRule,
                    name=st.text("abc", min_size=1),
                    call_class=st.sampled_from(CallClass),
                    idempotent=st.booleans(),
                    wait_ms=st.integers(1, 9999),
                    retries=st.integers(0, 9),
                    calls=st.lists(st.just("a.b"), max_size=2).map(tuple),
                ),
                max_size=3,
            ).map(tuple),
        )
    )
    def test_dumped_rules_are_parsed_back(self, rule: ServiceRule) -> None:
        assert parse_rule_file(safe_dump(to_builtins(rule)), "a.yaml").unwrap().rule == rule

    @given(st.text(max_size=200))
    @example("[" * 5000)
    @example("{a: " * 2000)
    @example("service: " + "9" * 5000)
    @example("? [a]\n: b")
    @example("a: 2020-99-99")
    @example("!!python/object/apply:os.system [ls]")
    @example("a: !!int x")
    @example("- &a [*a]")
    @example("\x00")
    @example("<<: 3")
    @example("a: b\n---\nc: d")
    def test_any_text_gives_rules_or_a_typed_error(self, text: str) -> None:
        result = parse_rule_file(text, "a.yaml")
        if result.is_err():
            assert str(result.unwrap_err()).startswith("a.yaml")


class TestErrors:
    @pytest.mark.parametrize(
        ("old", "new", "line", "key", "expected"),
        [
            ("wait_ms: 2000", "wait_ms: soon", 7, "$.calls[0].wait_ms", "Expected `int`"),
            ("class: critical", "class: vital", 5, "$.calls[0].class", "critical, normal"),
            ("idempotent: false", "idempotant: false", 4, "$.calls[0]", "idempotent"),
            ("slots: 13", "slot: 13", 1, "$", "slots"),
            ("    wait_ms: 2000\n", "", 4, "$.calls[0]", "wait_ms"),
            ("service: bookings", "service: no", 1, "$.service", "Expected `str`"),
            ("[stock.reserve]", "[stock.reserve, 7]", 8, "$.calls[0].calls[1]", "`str`"),
            ("calls:\n", "calls: {}\nx:\n", 3, "$.calls", "Expected `array`"),
        ],
    )
    def test_invalid_content_is_reported_with_line_and_key(
        self, old: str, new: str, line: int, key: str, expected: str
    ) -> None:
        error = _error(BOOKINGS.replace(old, new, 1))
        assert isinstance(error, RuleFileContentError)
        assert (error.line, error.key) == (line, key)
        assert expected in error.expected
        assert str(error).startswith(f"rules/a.yaml:{line}: {key}: ")

    def test_duplicate_key_is_reported_with_line_and_key(self) -> None:
        error = _error(BOOKINGS + "    wait_ms: 3\n")
        assert isinstance(error, RuleFileSyntaxError)
        assert (error.line, error.key) == (9, "$.calls[0].wait_ms")

    @pytest.mark.parametrize(
        ("text", "line"),
        [
            ("service: [a", 1),
            ("a: b\n  c: d", 2),
            ("a: &x b\nc: *x", 2),
            ("[[[[[[[[[a]]]]]]]]]", 1),
        ],
    )
    def test_unsupported_yaml_is_reported_with_its_line(self, text: str, line: int) -> None:
        error = _error(text)
        assert isinstance(error, RuleFileSyntaxError)
        assert error.line == line

    def test_file_without_content_is_a_content_error(self) -> None:
        error = _error("# nothing\n")
        assert isinstance(error, RuleFileContentError)
        assert "Expected `object`" in error.expected


class TestReadFile:
    def test_file_over_the_size_limit_is_unreadable(self, tmp_path: Path) -> None:
        path = tmp_path / "a.yaml"
        path.write_text("#" * (FILE_BYTES_MAX + 1))
        error = read_rule_file(path).unwrap_err()
        assert isinstance(error, RuleFileUnreadableError)
        assert str(FILE_BYTES_MAX) in error.expected

    def test_file_that_is_not_utf8_is_unreadable(self, tmp_path: Path) -> None:
        path = tmp_path / "a.yaml"
        path.write_bytes(b"service: \xff")
        assert isinstance(read_rule_file(path).unwrap_err(), RuleFileUnreadableError)

    def test_missing_file_is_unreadable(self, tmp_path: Path) -> None:
        error = read_rule_file(tmp_path / "a.yaml").unwrap_err()
        assert isinstance(error, RuleFileUnreadableError)


class TestReadFolder:
    def test_rule_files_in_nested_folders_are_found_in_order(self, tmp_path: Path) -> None:
        nested = tmp_path / "stock" / "src"
        nested.mkdir(parents=True)
        (nested / "pollenbay.yaml").write_text("service: stock\ncalls: []\n")
        (nested / "settings.yaml").write_text("not: rules\n")
        (tmp_path / "b.yml").write_text("service: b\ncalls: []\n")
        (tmp_path / "a.yaml").write_text("service: a\ncalls: []\n")
        (tmp_path / "README").write_text("not yaml: [")
        files = read_rule_folder(tmp_path).unwrap()
        assert [file.rule.service for file in files] == ["a", "b", "stock"]

    def test_errors_of_all_files_are_reported(self, tmp_path: Path) -> None:
        (tmp_path / "a.yaml").write_text("x: 1\n")
        (tmp_path / "b.yaml").write_text("[")
        (tmp_path / "c.yaml").write_text(BOOKINGS)
        errors = read_rule_folder(tmp_path).unwrap_err()
        assert [Path(error.file).name for error in errors] == ["a.yaml", "b.yaml"]

    def test_empty_or_missing_folder_is_an_error(self, tmp_path: Path) -> None:
        assert len(read_rule_folder(tmp_path).unwrap_err()) == 1
        assert len(read_rule_folder(tmp_path / "none").unwrap_err()) == 1
