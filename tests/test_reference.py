"""The reference pages under docs/ are those that the code makes."""

from pathlib import Path

from pollenbay.reference import metrics_page, settings_page

DOCS = Path(__file__).resolve().parent.parent / "docs"


class TestPages:
    """Pages for operators."""

    def test_settings(self) -> None:
        assert (DOCS / "SETTINGS.md").read_text(encoding="utf-8") == settings_page()

    def test_every_setting_has_a_meaning(self) -> None:
        rows = [row for row in settings_page().splitlines() if row.startswith("| `")]
        assert rows
        assert not [row for row in rows if row.endswith("|  |")]

    def test_metrics(self) -> None:
        assert (DOCS / "METRICS.md").read_text(encoding="utf-8") == metrics_page()
