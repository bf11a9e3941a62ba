"""Endpoints of the administration API: each decodes an HTTP request to a command or query."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar
from urllib.parse import parse_qs

from msgspec import Struct
from result import Err, Ok, Result

from pollenbay.codec import CodecError, decode_json
from pollenbay.commands.lifecycle import Drain
from pollenbay.commands.publication import Publish
from pollenbay.commands.settlement import Settle
from pollenbay.http1 import HttpRequest
from pollenbay.ids import RuleVersion
from pollenbay.queries.health import ShowHealth, ShowMetrics, ShowReadiness
from pollenbay.queries.history import HISTORY_DEFAULT_ENTRIES, HISTORY_MAX_ENTRIES, ShowHistory
from pollenbay.queries.rollout import ShowRollout
from pollenbay.queries.rules import ShowRules
from pollenbay.queries.status import ShowMembers, ShowStatus

VERSION_MAX = 9_999_999_999

_Body = TypeVar("_Body")


class EndpointError(Exception):
    """Base class of the errors of this module; the text is sent to the client."""


class UnknownPathError(EndpointError):
    """No endpoint has this path."""


class WrongMethodError(EndpointError):
    """The path does not support the method.

    :param allowed: the only supported method.
    """

    def __init__(self, allowed: bytes) -> None:
        super().__init__(f"expected method {allowed.decode('ascii')}")
        self.allowed = allowed


class BadRequestError(EndpointError):
    """The query string or the body is invalid."""


class EndpointKind(Enum):
    """Whether an endpoint changes state."""

    COMMAND = "command"
    QUERY = "query"


@dataclass(frozen=True, slots=True)
class AdminEndpoint:
    """One endpoint of the API.

    :param requires_token: whether the bearer token is required.
    :param decode: decodes a request to a command or query; raises `BadRequestError` if it is
        invalid.
    """

    method: bytes
    kind: EndpointKind
    requires_token: bool
    decode: Callable[[HttpRequest], object]


class _EmptyBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Body without keys."""


def find_endpoint(
    request: HttpRequest,
) -> Result[AdminEndpoint, UnknownPathError | WrongMethodError]:
    """Return the endpoint for the path and method of a request."""
    path = _path(request)
    endpoint = _ENDPOINTS.get(path)
    if endpoint is None:
        return Err(UnknownPathError(f"no such path; expected one of {', '.join(_ENDPOINTS)}"))
    if request.method != endpoint.method:
        return Err(WrongMethodError(endpoint.method))
    return Ok(endpoint)


def _path(request: HttpRequest) -> str:
    return request.target.decode("latin-1").partition("?")[0]


def _read_history(request: HttpRequest) -> ShowHistory:
    limit = _read_number(request, "limit", 1, HISTORY_MAX_ENTRIES)
    return ShowHistory(HISTORY_DEFAULT_ENTRIES if limit is None else limit)


def _read_rollout(request: HttpRequest) -> ShowRollout:
    version = _read_number(request, "version", 1, VERSION_MAX)
    if version is None:
        raise BadRequestError("expected the parameter version")
    return ShowRollout(RuleVersion(version))


def _read_number(request: HttpRequest, name: str, low: int, high: int) -> int | None:
    query = request.target.decode("latin-1").partition("?")[2]
    values = parse_qs(query, keep_blank_values=True)
    unknown = sorted(values.keys() - {name})
    if unknown:
        raise BadRequestError(f"unknown parameter {unknown[0]!r}, expected {name}")
    if name not in values:
        return None
    text = values[name][-1]
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(high))
    if not is_number or not low <= int(text) <= high:
        raise BadRequestError(f"expected {name} from {low} to {high}, got {text!r}")
    return int(text)


def _read_publish(request: HttpRequest) -> Publish:
    return _decode_body(request.body, Publish)


def _read_settle(request: HttpRequest) -> Settle:
    return _decode_body(request.body, Settle)


def _read_drain(request: HttpRequest) -> Drain:
    _decode_body(request.body or b"{}", _EmptyBody)
    return Drain()


def _decode_body(body: bytes, body_type: type[_Body]) -> _Body:
    try:
        return decode_json(body, body_type)
    except CodecError as error:
        raise BadRequestError(f"the body is not what is expected: {error}") from error


def _query(make_query: Callable[[], object], requires_token: bool = True) -> AdminEndpoint:
    return AdminEndpoint(b"GET", EndpointKind.QUERY, requires_token, lambda request: make_query())


def _command(read: Callable[[HttpRequest], object]) -> AdminEndpoint:
    return AdminEndpoint(b"POST", EndpointKind.COMMAND, True, read)


_ENDPOINTS: dict[str, AdminEndpoint] = {
    "/healthz": _query(ShowHealth, requires_token=False),
    "/readyz": _query(ShowReadiness, requires_token=False),
    "/metrics": _query(ShowMetrics, requires_token=False),
    "/v1/status": _query(ShowStatus),
    "/v1/members": _query(ShowMembers),
    "/v1/rules": _query(ShowRules),
    "/v1/history": AdminEndpoint(b"GET", EndpointKind.QUERY, True, _read_history),
    "/v1/rollout": AdminEndpoint(b"GET", EndpointKind.QUERY, True, _read_rollout),
    "/v1/publish": _command(_read_publish),
    "/v1/settle": _command(_read_settle),
    "/v1/drain": _command(_read_drain),
}
