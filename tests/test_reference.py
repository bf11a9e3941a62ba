"""Tests that the reference pages under docs/ match the pages generated from the code."""

from pathlib import Path

from pollenbay.reference import metrics_page, settings_page

DOCS = Path(__file__).resolve().parent.parent / "docs"


class TestPages:
    def test_settings_page_matches_the_code(self) -> None:
        assert (DOCS / "SETTINGS.md").read_text(encoding="utf-8") == settings_page()

    def test_every_setting_has_a_description(self) -> None:
        rows = [row for row in settings_page().splitlines() if row.startswith("| `")]
        assert rows
        assert not [row for row in rows if row.endswith("|  |")]

    def test_metrics_page_matches_the_code(self) -> None:
        assert (DOCS / "METRICS.md").read_text(encoding="utf-8") == metrics_page()
