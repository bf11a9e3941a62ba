"""The operator's configuration, read into a rule set."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode
from result import Err, Ok, Result

from pollenbay.ids import CallName, OperatorId, RuleVersion, ServiceName
from pollenbay.rule import Destination, Route, RuleSet, ServiceRule
from pollenbay.rulerow import make_rule_set
from pollenbay.states import CallClass

VERSION_TAG = "r"
#: Kinds of route whose requests may run more than once; any other kind may run once at most.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})
OPERATOR = OperatorId("platform")
CLASSES = tuple(CallClass)


class RulesUnreadableError(Exception):
    """A configuration that cannot be read."""


class _Part(Struct, frozen=True):
    service: ServiceName
    weight: float


class _Path(Struct, frozen=True, kw_only=True):
    """One route of a host.

    :param slo_ms: time within which an answer has its full value.
    :param priority: 0 for the most important.
    """

    name: CallName
    prefix: str
    route_type: str
    timeout_ms: int
    slo_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    service: ServiceName | None = None
    traffic_split: tuple[_Part, ...] = ()


class _Host(Struct, frozen=True):
    host: str
    paths: tuple[_Path, ...] = ()


class _Service(Struct, frozen=True):
    name: ServiceName


class _Config(Struct, frozen=True):
    """What the operator writes.

    :param version: a tag before a number.
    """

    version: str
    services: tuple[_Service, ...] = ()
    hosts: tuple[_Host, ...] = ()


def read_rules(value: bytes) -> Result[RuleSet, RulesUnreadableError]:
    """Return the rule set that a configuration stands for."""
    try:
        config = decode(value, type=_Config)
        version = RuleVersion(int(config.version.removeprefix(VERSION_TAG)))
    except (DecodeError, ValidationError, ValueError) as error:
        return Err(RulesUnreadableError(str(error)))
    services = tuple(ServiceRule(service=each.name, calls=()) for each in config.services)
    routes = tuple(_route(host, path) for host in config.hosts for path in host.paths)
    return Ok(make_rule_set(version, services, OPERATOR, 0.0, routes))


def _route(host: _Host, path: _Path) -> Route:
    return Route(
        name=path.name,
        host=host.host,
        prefix=path.prefix,
        call_class=CLASSES[min(max(path.priority, 0), len(CLASSES) - 1)],
        idempotent=path.route_type in IDEMPOTENT_KINDS,
        wait_ms=path.timeout_ms,
        objective_ms=path.slo_ms,
        attempts=path.max_attempts,
        destinations=_destinations(path),
    )


def _destinations(path: _Path) -> tuple[Destination, ...]:
    if path.service is not None:
        return (Destination(path.service),)
    return tuple(Destination(part.service, part.weight) for part in path.traffic_split)
