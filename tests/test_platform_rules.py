"""Operator configurations: parsed completely into routes, or rejected with a reason."""

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from platform_node import HOST, make_config, make_route
from pytest import mark
from result import Ok

from pollenbay.platform.rules import parse_config
from pollenbay.rule import Destination
from pollenbay.states import CallClass


def read_path(**more: Any):
    """Parse a configuration with one path and return its route."""
    return parse_config(make_config(3, make_route("/a/", **more))).unwrap().routes[0]


def test_route_fields() -> None:
    rules = parse_config(make_config(12, make_route("/a/", "unsafe", priority=0))).unwrap()
    route = rules.routes[0]
    assert rules.version == 12
    assert (route.host, route.prefix, route.wait_ms, route.objective_ms) == (HOST, "/a/", 1500, 500)
    assert (route.idempotent, route.attempts) == (False, 2)
    assert route.call_class is CallClass.CRITICAL
    assert route.destinations == (Destination("stock"),)


def test_traffic_split() -> None:
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    route = read_path(service=None, traffic_split=split)
    assert route.destinations == (Destination("a", 90.0), Destination("b", 10.0))


@mark.parametrize("kind, idempotent", [("safe", True), ("download", True), ("other", False)])
def test_only_known_route_types_are_idempotent(kind: str, idempotent: bool) -> None:
    assert read_path(route_type=kind).idempotent is idempotent


@mark.parametrize("priority, call_class", [(0, "critical"), (1, "normal"), (2, "sheddable")])
def test_priority_sets_the_call_class(priority: int, call_class: str) -> None:
    assert read_path(priority=priority).call_class.value == call_class
    assert read_path(priority=priority + 7).call_class is CallClass.SHEDDABLE


def test_unknown_fields_are_ignored() -> None:
    document = json.loads(make_config(3, make_route("/a/", colour="green")))
    assert parse_config(json.dumps({**document, "more": [1]}).encode()).is_ok()


@mark.parametrize(
    "value",
    [
        b"",
        b"\xff",
        b"[]",
        b"{}",
        b'{"version": 3}',
        b'{"version": "x"}',
        b'{"version": "r3", "hosts": 7}',
        b'{"version": "r3", "hosts": [{"host": "h", "paths": [{"name": "a"}]}]}',
    ],
)
def test_malformed_configuration_is_rejected(value: bytes) -> None:
    assert parse_config(value).is_err()


@given(st.binary(max_size=60) | st.text(max_size=30).map(lambda text: json.dumps(text).encode()))
def test_arbitrary_bytes_are_parsed_or_rejected(value: bytes) -> None:
    assert parse_config(value).is_err() or isinstance(parse_config(value), Ok)
