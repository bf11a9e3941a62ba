"""Tests of settings: valid ones load; errors name the file, the key and the expected value."""

from copy import deepcopy
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from pollenbay.daemon import EXIT_BAD_SETTINGS, main
from pollenbay.settings import load_settings, parse_settings

VALID_SETTINGS = {
    "instance": "stock-1",
    "host": "h1",
    "zone": "z1",
    "region": "r1",
    "service": "stock",
    "address": "127.0.0.1",
    "table": {"address": "127.0.0.1", "port": 7000},
    "admin_token": "0123456789abcdef",
}
LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
DOCUMENTS = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from([*VALID_SETTINGS, "ports", "x"]) | st.text(max_size=4), inner
    ),
    max_leaves=12,
)


def valid_settings_with(key: str, value: object) -> dict:
    """Return valid settings with the key at this dotted path set to a value."""
    document = deepcopy(VALID_SETTINGS)
    *parents, last = key.split(".")
    section = document
    for parent in parents:
        section = section.setdefault(parent, {})
    section[last] = value
    return document


class TestParse:
    def test_valid_settings_are_parsed(self) -> None:
        settings = parse_settings(VALID_SETTINGS, "node.yaml").unwrap()
        assert settings.drain_s == 30.0

    @pytest.mark.parametrize(
        ("key", "value", "expected"),
        [
            ("instanse", "x", "unknown field `instanse`"),
            ("ports.calers", 1, "unknown field `calers` - at `$.ports`"),
            ("ports.link", 70000, "expected a port from 0 to 65535 - at `$.ports.link`"),
            ("ports.link", "x", "Expected `int`, got `str` - at `$.ports.link`"),
            ("table.port", -1, "expected a port from 0 to 65535 - at `$.table.port`"),
            ("table.timeout_s", 0, "expected more than 0 - at `$.table.timeout_s`"),
            ("address", "localhost", "expected an IPv4 number - at `$.address`"),
            ("admin_token", "short", "expected 16 characters or more - at `$.admin_token`"),
            ("drain_s", -1, "expected 0 or more - at `$.drain_s`"),
            ("drain_s", float("nan"), "expected 0 or more - at `$.drain_s`"),
            ("peers", ["10.0.0.1"], "expected ADDRESS:PORT - at `$.peers[0]`"),
            ("service", "", "expected a name - at `$.service`"),
            ("log_level", "LOUD", "expected a level such as INFO - at `$.log_level`"),
        ],
    )
    def test_invalid_value_is_reported_with_file_key_and_expectation(
        self, key: str, value: object, expected: str
    ) -> None:
        result = parse_settings(valid_settings_with(key, value), "node.yaml")
        assert isinstance(result, Err)
        text = str(result.err_value)
        assert text.startswith("node.yaml: ")
        assert expected in text

    def test_missing_key_is_reported(self) -> None:
        document = {key: value for key, value in VALID_SETTINGS.items() if key != "zone"}
        result = parse_settings(document, "node.yaml")
        assert "missing required field `zone`" in str(result.err_value)

    @given(DOCUMENTS)
    def test_any_document_is_loaded_or_rejected(self, document: object) -> None:
        assert isinstance(parse_settings(document, "node.yaml"), Ok | Err)


class TestLoad:
    @pytest.mark.parametrize("content", [b"a: [", b"\xff\xfe\x00", b"", b"- 1"])
    def test_unreadable_file_is_reported_with_its_path(
        self, tmp_path: Path, content: bytes
    ) -> None:
        path = tmp_path / "node.yaml"
        path.write_bytes(content)
        result = load_settings(path)
        assert isinstance(result, Err)
        assert str(path) in str(result.err_value)

    def test_daemon_exits_with_an_error_on_invalid_settings(self, tmp_path: Path) -> None:
        path = tmp_path / "node.yaml"
        path.write_text("instance: 5\n")
        outcome = CliRunner().invoke(main, ["--settings", str(path)])
        assert outcome.exit_code == EXIT_BAD_SETTINGS
        assert "instance" in outcome.output
