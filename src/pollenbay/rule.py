"""Typed rules for the calls of each service, as published by operators."""

from msgspec import Struct, field

from pollenbay.ids import CallName, Digest, OperatorId, RuleVersion, ServiceName
from pollenbay.ranges import Count, EpochSeconds, KnownRuleVersion, Milliseconds, Ratio
from pollenbay.states import CallClass

DEFAULT_RETRIES = 2
DEFAULT_SLOTS = 20


class CallRule(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Rule for one call of a service.

    :param name: name of the call, the first segment of its path.
    :param call_class: importance; `class` in a rule file.
    :param idempotent: whether running it twice does no harm.
    :param wait_ms: maximum time that a caller waits for the response, in milliseconds.
    :param retries: retry allowance, for its whole chain, of a request that enters with this call.
    :param calls: nested calls that it makes, each as ``service.call``.
    """

    name: CallName
    call_class: CallClass = field(name="class")
    idempotent: bool = True
    wait_ms: int
    retries: int = DEFAULT_RETRIES
    calls: tuple[str, ...] = ()


class ServiceRule(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Rules of one service, the content of one rule file.

    :param service: name of the service.
    :param slots: maximum concurrent calls of one instance, where the adaptive limit starts.
    :param calls: its calls.
    """

    service: ServiceName
    slots: int = DEFAULT_SLOTS
    calls: tuple[CallRule, ...]


class Destination(Struct, frozen=True, forbid_unknown_fields=True):
    """A service that serves a route.

    :param weight: its share of the requests, relative to the other destinations of the route.
    """

    service: ServiceName
    weight: Ratio = 1.0


class Route(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Rule for the requests that host name and path select, whichever service serves them.

    :param host: value of the request's host header, without a port.
    :param prefix: start of the path; begins and ends with a slash.
    :param objective_ms: time within which a response has its full value, in milliseconds.
    :param attempts: maximum number of targets to which one request may be sent.
    :param destinations: services that share the requests by weight.
    """

    name: CallName
    host: str
    prefix: str
    call_class: CallClass
    idempotent: bool
    wait_ms: Milliseconds
    objective_ms: Milliseconds
    attempts: Count
    destinations: tuple[Destination, ...]


class RuleSet(Struct, frozen=True, kw_only=True):
    """All rules published in one version.

    :param version: grows by one with each accepted publication; 0 before the first.
    :param digest: SHA-256 of the encoded services and routes, in hexadecimal.
    :param author: operator who published it.
    :param published_at: seconds since the epoch, by the publisher's clock.
    :param services: rules of all services.
    :param routes: rules of all routes, where requests are selected by host and path.
    """

    version: KnownRuleVersion
    digest: Digest
    author: OperatorId
    published_at: EpochSeconds
    services: tuple[ServiceRule, ...]
    routes: tuple[Route, ...] = ()


EMPTY_RULES = RuleSet(
    version=RuleVersion(0),
    digest=Digest(""),
    author=OperatorId(""),
    published_at=0.0,
    services=(),
)
