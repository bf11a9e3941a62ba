"""Conversion of the platform operator's configuration to a rule set."""

from typing import Annotated

from msgspec import Meta, Struct
from result import Err, Ok, Result

from pollenbay.codec import CodecError, decode_json
from pollenbay.ids import CallName, OperatorId, RuleVersion, ServiceName
from pollenbay.ranges import Count, Milliseconds, Ratio
from pollenbay.rule import Destination, Route, RuleSet, ServiceRule
from pollenbay.rulerow import make_rule_set
from pollenbay.states import CallClass

VERSION_PREFIX = "r"
#: Route types whose requests may run more than once; those of any other type run at most once.
IDEMPOTENT_ROUTE_TYPES = frozenset({"safe", "download"})
OPERATOR_ID = OperatorId("platform")
CALL_CLASSES = tuple(CallClass)


class ConfigUnreadableError(Exception):
    """The configuration is malformed."""


class _WeightedService(Struct, frozen=True):
    service: ServiceName
    weight: Ratio


class _Path(Struct, frozen=True, kw_only=True):
    """One route of a host.

    :param slo_ms: latency objective, within which a response has its full value.
    :param priority: 0 is the most important.
    """

    name: CallName
    prefix: str
    route_type: str
    timeout_ms: Milliseconds
    slo_ms: Milliseconds = 0
    priority: int = 0
    max_attempts: Count = 1
    service: ServiceName | None = None
    traffic_split: tuple[_WeightedService, ...] = ()


class _Host(Struct, frozen=True):
    host: str
    paths: tuple[_Path, ...] = ()


class _Service(Struct, frozen=True):
    name: ServiceName


class _Config(Struct, frozen=True):
    """Configuration written by the platform operator.

    :param version: `VERSION_PREFIX` followed by a number.
    """

    version: Annotated[str, Meta(pattern=rf"^{VERSION_PREFIX}?[0-9]{{1,18}}\Z")]
    services: tuple[_Service, ...] = ()
    hosts: tuple[_Host, ...] = ()


def parse_config(value: bytes) -> Result[RuleSet, ConfigUnreadableError]:
    """Return the rule set that is equivalent to a configuration."""
    try:
        config = decode_json(value, _Config)
    except CodecError as error:
        return Err(ConfigUnreadableError(str(error)))
    version = RuleVersion(int(config.version.removeprefix(VERSION_PREFIX)))
    if not all(_has_destination(path) for host in config.hosts for path in host.paths):
        return Err(ConfigUnreadableError("expected a service or a traffic split for each path"))
    services = tuple(ServiceRule(service=service.name, calls=()) for service in config.services)
    routes = tuple(_make_route(host, path) for host in config.hosts for path in host.paths)
    return Ok(make_rule_set(version, services, OPERATOR_ID, 0.0, routes))


def _has_destination(path: _Path) -> bool:
    return path.service is not None or bool(path.traffic_split)


def _make_route(host: _Host, path: _Path) -> Route:
    return Route(
        name=path.name,
        host=host.host,
        prefix=path.prefix,
        call_class=CALL_CLASSES[min(max(path.priority, 0), len(CALL_CLASSES) - 1)],
        idempotent=path.route_type in IDEMPOTENT_ROUTE_TYPES,
        wait_ms=path.timeout_ms,
        objective_ms=path.slo_ms,
        attempts=path.max_attempts,
        destinations=_make_destinations(path),
    )


def _make_destinations(path: _Path) -> tuple[Destination, ...]:
    if path.service is not None:
        return (Destination(path.service),)
    return tuple(Destination(split.service, split.weight) for split in path.traffic_split)
