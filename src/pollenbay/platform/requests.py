"""HTTP front end for clients and for the instance's own calls: one task for each connection."""

from functools import singledispatch

from curio.io import Socket

from pollenbay.call import Passage, RouteAsked
from pollenbay.callers import Connection, serve_requests
from pollenbay.commands.routed import enter_by_route
from pollenbay.http1 import HttpRequest, HttpResponse, end_to_end_headers
from pollenbay.ids import RequestId
from pollenbay.node import Node
from pollenbay.outcome import Answered, Headers, NotRun, Outcome, Unknown
from pollenbay.platform.names import (
    DEADLINE_HEADER,
    EXPECTED_TARGET_HEADER,
    ORIGIN_HEADER,
    REQUEST_HEADER,
)
from pollenbay.states import Reason
from pollenbay.watch import Watched

SOURCE = "requests"
MS_PER_S = 1000.0
STATUS_BAD_REQUEST = 400
STATUS_LOST = 502
STATUS_NOT_RUN = 503
STATUS_TIMED_OUT = 504
#: Not-run reasons that coming back cannot mend.
STATUSES_FINAL = {
    Reason.UNKNOWN_CALL: 404,
    Reason.BAD_REQUEST: STATUS_BAD_REQUEST,
    Reason.TOO_LARGE: 413,
}
STATUSES_UNKNOWN = {Reason.DEADLINE: STATUS_TIMED_OUT}
#: Headers that nodes set; what a client sends under these names is dropped.
OWN_HEADERS = frozenset({REQUEST_HEADER, DEADLINE_HEADER, ORIGIN_HEADER, EXPECTED_TARGET_HEADER})


class RequestUnreadableError(Exception):
    """A request without a name or with a header that cannot be read."""


async def serve_client(node: Node, sock: Socket) -> None:
    """Serve one connection of a client or of the instance until it closes."""
    await serve_requests(node, sock, SOURCE, respond)


async def respond(node: Node, connection: Connection, request: HttpRequest) -> HttpResponse:
    """Answer one request."""
    try:
        asked = read_asked(request)
    except RequestUnreadableError:
        node.metrics.note_bad_input(SOURCE)
        return HttpResponse(STATUS_BAD_REQUEST, [])
    passage = Passage()
    watched = Watched(connection.sock, connection.task, passage)
    outcome = await node.watch.outcome_or_end(watched, enter_by_route(node, asked, passage))
    response = response_of(outcome)
    response.headers.append((REQUEST_HEADER, asked.request.encode("latin-1")))
    return response


def read_asked(request: HttpRequest) -> RouteAsked:
    """Return what a request asks for.

    :raises RequestUnreadableError: if it has no name or a header of ours is wrong.
    """
    values = dict(request.headers)
    name, host = values.get(REQUEST_HEADER), values.get(b"host")
    if not name or host is None:
        raise RequestUnreadableError("the request has no name or no host")
    passed = end_to_end_headers(request.headers, OWN_HEADERS)
    return RouteAsked(
        request=RequestId(name.decode("latin-1")),
        host=host.decode("latin-1").partition(":")[0].lower(),
        method=request.method.decode("latin-1"),
        path=request.target.decode("latin-1"),
        headers=[(b"host", host), *passed],
        body=request.body,
        wait_s=_read_wait(values.get(DEADLINE_HEADER)),
    )


def _read_wait(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value) / MS_PER_S
    except ValueError as error:
        raise RequestUnreadableError("the deadline is not a number") from error


@singledispatch
def response_of(outcome: Outcome) -> HttpResponse:
    """Return the HTTP response that tells a client an outcome."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@response_of.register
def _(outcome: Answered) -> HttpResponse:
    return HttpResponse(outcome.status, list(outcome.headers), outcome.body)


@response_of.register
def _(outcome: NotRun) -> HttpResponse:
    final = STATUSES_FINAL.get(outcome.reason)
    if final is not None:
        return HttpResponse(final, [])
    headers: Headers = []
    if outcome.retry_after_s > 0.0:
        headers.append((b"retry-after", b"%.3f" % outcome.retry_after_s))
    return HttpResponse(STATUS_NOT_RUN, headers)


@response_of.register
def _(outcome: Unknown) -> HttpResponse:
    return HttpResponse(STATUSES_UNKNOWN.get(outcome.reason, STATUS_LOST), [])
