"""Reloading settings while the node runs."""

from logging import getLogger
from pathlib import Path

from msgspec.structs import asdict, replace
from result import Err

from pollenbay.logs import set_log_level
from pollenbay.node import Node
from pollenbay.settings import Settings, load_settings

LOG = getLogger("pollenbay.settings")
#: Interval at which the file is checked, for changes that are not announced by a signal.
POLL_PERIOD_S = 1.0
#: Settings that a running node applies; the others need a restart.
RELOADABLE = ("drain_s", "leave_s", "target_lease_s", "limits", "log_level", "platform")


async def watch_settings(node: Node, path: Path) -> None:
    """Reload the settings whenever their file changes, until cancelled."""
    subscription = node.timer.subscribe(POLL_PERIOD_S)
    last_modified_at = _modified_at(path)
    while True:
        await subscription.wait()
        modified_at = _modified_at(path)
        if modified_at != last_modified_at:
            last_modified_at = modified_at
            reload_settings(node, path)


def reload_settings(node: Node, path: Path) -> None:
    """Reload the settings; invalid ones are logged and change nothing."""
    loaded = load_settings(path).and_then(node.adapt)
    if isinstance(loaded, Err):
        LOG.error("settings not reloaded", extra={"error": str(loaded.err_value)})
        return
    before = asdict(node.settings)
    after = asdict(loaded.ok_value)
    changed = [name for name, value in after.items() if before[name] != value]
    node.settings = _apply_changes(node.settings, after, changed)
    set_log_level(node.settings.log_level)
    fields = {
        "changed": changed,
        "need_restart": [name for name in changed if name not in RELOADABLE],
    }
    LOG.info("settings reloaded", extra=fields)


def _apply_changes(settings: Settings, after: dict[str, object], changed: list[str]) -> Settings:
    return replace(settings, **{name: after[name] for name in changed if name in RELOADABLE})


def _modified_at(path: Path) -> int:
    # Nanoseconds since the epoch; 0 if the file cannot be checked now.
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        LOG.warning("settings file not readable", extra={"error": str(error)})
        return 0
