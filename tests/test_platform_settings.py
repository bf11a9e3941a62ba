"""The platform section of the settings, and the node settings derived from it."""

from copy import deepcopy
from typing import Any

from pytest import mark

from pollenbay.platform.settings import (
    LEAVE_MAX_S,
    STOP_MARGIN_S,
    adapt_settings,
    read_endpoint,
    read_platform_settings,
)
from pollenbay.settings import Settings, parse_settings

VALID = {
    "instance": "n1",
    "host": "n1",
    "zone": "z1",
    "region": "r1",
    "service": "stock",
    "address": "10.0.0.1",
    "platform": {
        "store": "10.0.0.9:8309",
        "target": "10.0.0.1:8301",
        "requests": "10.0.0.1:8304",
        "readiness": "10.0.0.1:8302",
        "check_ins": "10.0.0.1:8306",
        "check_in_ms": 1500,
        "bounds": {"grace_s": 6, "closed": True, "retry_budget_ratio": 0.2},
        "limits": {},
    },
}


def settings(**platform: Any) -> Settings:
    """Return valid settings with changes to the platform section."""
    document = deepcopy(VALID)
    document["platform"].update(platform)
    return parse_settings(document, "test").unwrap()


def test_valid_settings_are_accepted() -> None:
    assert read_platform_settings(settings()).is_ok()
    assert read_endpoint("10.0.0.9:8309").port == 8309


@mark.parametrize(
    "changes",
    [
        {"store": "nowhere"},
        {"store": 7},
        {"requests": "10.0.0.1:x"},
        {"check_in_ms": "often"},
        {"bounds": {"grace_s": "long"}},
        {"limits": {"memory_mb": 0}},
        {"limits": {"max_fds": "many"}},
        {"colour": "green"},
    ],
)
def test_invalid_settings_are_rejected(changes: dict[str, Any]) -> None:
    assert read_platform_settings(settings(**changes)).is_err()
    assert adapt_settings(settings(**changes)).is_err()


@mark.parametrize("key", list(VALID["platform"]))
def test_each_platform_key_is_required(key: str) -> None:
    document = deepcopy(VALID)
    del document["platform"][key]
    incomplete = parse_settings(document, "test").unwrap()
    assert read_platform_settings(incomplete).is_err()
    assert adapt_settings(incomplete).is_err()


def test_leave_and_drain_fit_in_the_grace_period() -> None:
    adapted = adapt_settings(settings()).unwrap()
    assert adapted.leave_s + adapted.drain_s <= 6 - STOP_MARGIN_S + 1e-9
    assert adapted.target_lease_s > 3.0


def test_limits_of_the_machine_replace_those_of_the_node() -> None:
    machine = {"memory_mb": 300, "max_fds": 4100, "x": 1}
    limits = adapt_settings(settings(limits=machine)).unwrap().limits
    assert (limits.memory_mb, limits.caller_connections_max) == (300.0, 2050)
    unset = adapt_settings(settings()).unwrap().limits
    assert unset == settings().limits


def test_settings_without_table_and_platform_are_rejected() -> None:
    document = deepcopy(VALID)
    del document["platform"]
    document["admin_token"] = "0123456789abcdef"
    assert parse_settings(document, "test").is_err()


def test_settings_with_both_table_and_platform_are_rejected() -> None:
    document = deepcopy(VALID)
    document["table"] = {"address": "10.0.0.9", "port": 1}
    assert parse_settings(document, "test").is_err()


def test_new_work_is_accepted_for_a_bounded_time_in_a_long_stop() -> None:
    long = adapt_settings(settings(bounds={"grace_s": 10})).unwrap()
    assert long.leave_s == LEAVE_MAX_S
    assert long.leave_s + long.drain_s == 10 - STOP_MARGIN_S
