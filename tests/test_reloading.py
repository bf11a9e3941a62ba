"""Reloading the settings file of a node that runs."""

from collections.abc import Callable
from copy import deepcopy
from logging import ERROR
from pathlib import Path
from typing import Any

from pytest import LogCaptureFixture, fixture, mark
from yaml import safe_dump

from pollenbay.commands.adoption import adopt
from pollenbay.commands.reloading import reload_settings
from pollenbay.node import Node, make_node
from pollenbay.platform.frontend import make_platform_adapter
from pollenbay.platform.settings import adapt_settings, read_platform_settings
from pollenbay.queries.rules import read_current
from pollenbay.settings import load_settings

Document = dict[str, Any]

TABLE = {"address": "10.0.0.9", "port": 1}
COMMON: Document = {
    "instance": "n1",
    "host": "n1",
    "zone": "z1",
    "region": "r1",
    "service": "stock",
    "address": "127.0.0.1",
    "admin_token": "0123456789abcdef",
    "log_level": "INFO",
}
PLATFORM: Document = {
    **COMMON,
    "platform": {
        "store": "10.0.0.9:8309",
        "target": "127.0.0.1:8301",
        "requests": "127.0.0.1:8304",
        "readiness": "127.0.0.1:8302",
        "check_ins": "127.0.0.1:8306",
        "check_in_ms": 1500,
        "bounds": {"grace_s": 6},
        "limits": {"memory_mb": 300, "max_fds": 4100},
    },
}
PLAIN: Document = {**COMMON, "table": TABLE}


@fixture
def path(tmp_path: Path) -> Path:
    """Return the path of the settings file."""
    return tmp_path / "node.yaml"


def write(path: Path, document: Document) -> None:
    """Write the settings file."""
    path.write_text(safe_dump(document), encoding="utf-8")


def make_platform_node(path: Path) -> Node:
    """Return a node of the users' platform that was started with a settings file."""
    write(path, PLATFORM)
    settings = load_settings(path).unwrap()
    adapter = make_platform_adapter(read_platform_settings(settings).unwrap())
    return make_node(adapt_settings(settings).unwrap(), 1, adopt, read_current, adapter)


def make_plain_node(path: Path) -> Node:
    """Return a node with this project's own interfaces that was started with a settings file."""
    write(path, PLAIN)
    return make_node(load_settings(path).unwrap(), 1, adopt, read_current)


def without_platform_keys(*keys: str) -> Document:
    """Return the settings of a node of the platform without some keys of that section."""
    document = deepcopy(PLATFORM)
    for key in keys:
        del document["platform"][key]
    return document


# A file that is rewritten in place may be read while it ends at any of its lines. Defaults for what
# was missing made a planned stop longer than the grace period, at whose end the node was killed.
@mark.parametrize(
    ("make", "document"),
    [
        (make_platform_node, without_platform_keys("check_in_ms", "bounds", "limits")),
        (make_platform_node, without_platform_keys("bounds", "limits")),
        (make_platform_node, without_platform_keys("limits")),
        (make_platform_node, without_platform_keys("store")),
        (make_platform_node, {**COMMON, "platform": {}}),
        (make_platform_node, {**COMMON, "platform": None}),
        (make_platform_node, COMMON),
        (make_platform_node, PLAIN),
        (make_platform_node, {**PLATFORM, "table": TABLE}),
        (make_platform_node, {}),
        (make_plain_node, COMMON),
        (make_plain_node, PLATFORM),
        (make_plain_node, {**PLAIN, "platform": PLATFORM["platform"]}),
    ],
)
def test_invalid_file_changes_nothing_and_is_logged(
    make: Callable[[Path], Node], document: Document, path: Path, caplog: LogCaptureFixture
) -> None:
    node = make(path)
    before = node.settings
    write(path, {**document, "drain_s": 99.0})
    reload_settings(node, path)
    assert node.settings == before
    errors = [each.message for each in caplog.records if each.levelno == ERROR]
    assert errors == ["settings not reloaded"]


# A scalar that only looks like a date raised an error that stopped the node.
@mark.parametrize(
    "text", ["drain_s: 2026-99-99", "drain_s: " + "9" * 5000, "drain_s: " + "[" * 2000]
)
def test_file_with_an_odd_scalar_changes_nothing_and_is_logged(
    text: str, path: Path, caplog: LogCaptureFixture
) -> None:
    node = make_plain_node(path)
    before = node.settings
    path.write_text(text, encoding="utf-8")
    reload_settings(node, path)
    assert node.settings == before
    assert [each.message for each in caplog.records] == ["settings not reloaded"]


@mark.parametrize("make", [make_platform_node, make_plain_node])
def test_unchanged_file_changes_nothing(make: Callable[[Path], Node], path: Path) -> None:
    node = make(path)
    before = node.settings
    reload_settings(node, path)
    assert node.settings == before


def test_changed_bounds_of_the_platform_are_applied(path: Path) -> None:
    node = make_platform_node(path)
    document = deepcopy(PLATFORM)
    document["platform"]["bounds"]["grace_s"] = 4
    write(path, document)
    reload_settings(node, path)
    assert node.settings == adapt_settings(load_settings(path).unwrap()).unwrap()
    assert node.settings.leave_s + node.settings.drain_s < 4
