"""HTTP front end for clients and for nested calls of the local instance.

There is one task for each connection.
"""

from functools import singledispatch
from math import isfinite

from curio.io import Socket

from pollenbay.call import CallProgress, RouteRequest
from pollenbay.callerfrontend import Connection, serve_requests
from pollenbay.commands.routeentry import enter_by_route
from pollenbay.http1 import HttpRequest, HttpResponse, end_to_end_headers, header_value
from pollenbay.ids import RequestId
from pollenbay.node import Node
from pollenbay.outcome import Answered, Headers, NotRun, Outcome, Unknown
from pollenbay.platform.names import (
    DEADLINE_HEADER,
    EXPECTED_TARGET_HEADER,
    ORIGIN_HEADER,
    REQUEST_HEADER,
)
from pollenbay.queries.routes import may_run_beside_others
from pollenbay.states import Reason
from pollenbay.watch import WatchedCall

BAD_INPUT_SOURCE = "requests"
MS_PER_S = 1000.0
STATUS_BAD_REQUEST = 400
STATUS_RESPONSE_LOST = 502
STATUS_NOT_RUN = 503
STATUS_TIMED_OUT = 504
#: Statuses of not-run outcomes that a retry would not change, by reason.
FINAL_STATUSES = {
    Reason.UNKNOWN_CALL: 404,
    Reason.BAD_REQUEST: STATUS_BAD_REQUEST,
    Reason.TOO_LARGE: 413,
}
UNKNOWN_STATUSES = {Reason.DEADLINE: STATUS_TIMED_OUT}
#: Headers that only nodes set; those sent by clients are dropped.
INTERNAL_HEADERS = frozenset(
    {REQUEST_HEADER, DEADLINE_HEADER, ORIGIN_HEADER, EXPECTED_TARGET_HEADER}
)


class MalformedRequestError(Exception):
    """The request has no id or host, or has a malformed header."""


async def serve_client(node: Node, sock: Socket) -> None:
    """Serve one connection of a client or of the local instance until it is closed."""
    await serve_requests(node, sock, BAD_INPUT_SOURCE, respond, may_overlap, closable=True)


def may_overlap(node: Node, request: HttpRequest) -> bool:
    """Return whether a request may run beside the others of its connection."""
    host = header_value(request.headers, b"host") or b""
    path = request.target.partition(b"?")[0].decode("latin-1")
    return may_run_beside_others(node.rulebook, node.throttle, _host_name(host), path)


async def respond(node: Node, connection: Connection, request: HttpRequest) -> HttpResponse:
    """Route one request and return the response."""
    try:
        route_request = read_route_request(request)
    except MalformedRequestError:
        node.metrics.record_bad_input(BAD_INPUT_SOURCE)
        return HttpResponse(STATUS_BAD_REQUEST, [])
    progress = CallProgress()
    watched = WatchedCall(connection.sock, connection.task, progress)
    outcome = await node.watch.run_watched(watched, enter_by_route(node, route_request, progress))
    response = response_of(outcome)
    response.headers.append((REQUEST_HEADER, route_request.request.encode("latin-1")))
    return response


def read_route_request(request: HttpRequest) -> RouteRequest:
    """Decode a request.

    :raises MalformedRequestError: if it has no id or host, or the deadline header is malformed.
    """
    values = dict(request.headers)
    request_id, host = values.get(REQUEST_HEADER), values.get(b"host")
    if not request_id or host is None:
        raise MalformedRequestError("missing request id or host header")
    forwarded = end_to_end_headers(request.headers, INTERNAL_HEADERS)
    return RouteRequest(
        request=RequestId(request_id.decode("latin-1")),
        host=_host_name(host),
        method=request.method.decode("latin-1"),
        path=request.target.decode("latin-1"),
        headers=[(b"host", host), *forwarded],
        body=request.body,
        arrived_at=request.arrived_at,
        wait_s=_read_time_left_s(values.get(DEADLINE_HEADER)),
    )


def _host_name(value: bytes) -> str:
    return value.decode("latin-1").partition(":")[0].lower()


def _read_time_left_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        time_left_ms = float(value)
    except ValueError as error:
        raise MalformedRequestError("the deadline header is not a number") from error
    if not isfinite(time_left_ms):
        raise MalformedRequestError("the deadline header is not a finite number")
    return time_left_ms / MS_PER_S


@singledispatch
def response_of(outcome: Outcome) -> HttpResponse:
    """Return the HTTP response for an outcome."""
    raise TypeError(f"unsupported outcome type: {type(outcome).__name__}")


@response_of.register
def _(outcome: Answered) -> HttpResponse:
    return HttpResponse(outcome.status, list(outcome.headers), outcome.body)


@response_of.register
def _(outcome: NotRun) -> HttpResponse:
    final = FINAL_STATUSES.get(outcome.reason)
    if final is not None:
        return HttpResponse(final, [])
    headers: Headers = []
    if outcome.retry_after_s > 0.0:
        headers.append((b"retry-after", b"%.3f" % outcome.retry_after_s))
    return HttpResponse(STATUS_NOT_RUN, headers)


@response_of.register
def _(outcome: Unknown) -> HttpResponse:
    return HttpResponse(UNKNOWN_STATUSES.get(outcome.reason, STATUS_RESPONSE_LOST), [])
