"""Starts the daemon from a source checkout without installing the package."""

from pathlib import Path
from signal import SIG_IGN, SIGHUP, signal
from sys import path

# The settings are read later, and until then a hangup would end the process.
signal(SIGHUP, SIG_IGN)
path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from pollenbay.daemon import main  # noqa: E402

main()
