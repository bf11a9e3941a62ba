"""Tests that the rules and settings under examples/ are valid."""

from pathlib import Path

import pytest

from pollenbay.queries.check import check_rules
from pollenbay.rulefile import read_rule_folder
from pollenbay.settings import load_settings

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


class TestExamples:
    @pytest.mark.parametrize("folder", ["minimal/rules", "sagbru", "esernyo"])
    def test_rules_have_no_findings(self, folder: str) -> None:
        files = read_rule_folder(EXAMPLES / folder).unwrap()
        assert len(files) > 1
        assert check_rules(files) == ()

    def test_settings_are_valid(self) -> None:
        assert load_settings(EXAMPLES / "minimal" / "node.yaml").is_ok()
