"""Taking over settings that have changed while the node runs."""

from logging import getLogger
from pathlib import Path

from msgspec.structs import asdict, replace
from result import Err

from pollenbay.logs import set_log_level
from pollenbay.node import Node
from pollenbay.settings import Settings, load_settings

LOG = getLogger("pollenbay.settings")
#: How often the file is looked at, for changes that no signal tells of.
LOOK_PERIOD_S = 1.0
#: Settings that a running node takes over; the others need a restart.
RELOADED = ("drain_s", "leave_s", "target_lease_s", "limits", "log_level", "platform")


async def watch_settings(node: Node, path: Path) -> None:
    """Reload the settings whenever their file changes, until cancelled."""
    ticks = node.timer.subscribe(LOOK_PERIOD_S)
    seen = _modified_at(path)
    while True:
        await ticks.wait()
        modified_at = _modified_at(path)
        if modified_at != seen:
            seen = modified_at
            reload_settings(node, path)


def reload_settings(node: Node, path: Path) -> None:
    """Read the settings again; wrong ones change nothing."""
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        LOG.error("settings not reloaded", extra={"error": str(loaded.err_value)})
        return
    before = asdict(node.settings)
    after = asdict(node.adapt(loaded.ok_value))
    changed = [name for name, value in after.items() if before[name] != value]
    node.settings = _merge(node.settings, after, changed)
    set_log_level(node.settings.log_level)
    fields = {
        "changed": changed,
        "need_restart": [each for each in changed if each not in RELOADED],
    }
    LOG.info("settings reloaded", extra=fields)


def _merge(settings: Settings, after: dict[str, object], changed: list[str]) -> Settings:
    return replace(settings, **{name: after[name] for name in changed if name in RELOADED})


def _modified_at(path: Path) -> int:
    """Return when the file was written last; 0 if it cannot be looked at now."""
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        LOG.warning("settings file not readable", extra={"error": str(error)})
        return 0
