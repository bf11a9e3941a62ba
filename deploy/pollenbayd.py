"""Starts the daemon from a source checkout without installing the package."""

from pathlib import Path
from sys import path

path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from pollenbay.daemon import main  # noqa: E402

main()
