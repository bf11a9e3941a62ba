"""HTTP front end for callers and for the calls of the local target: one task per connection."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from curio import Task, current_task, sleep
from curio.io import Socket

from pollenbay.announcement import ANNOUNCE_PATH, Announcement
from pollenbay.call import CallProgress, CallRequest
from pollenbay.codec import CodecError, decode_json
from pollenbay.commands.announcing import apply_announcement
from pollenbay.commands.entry import enter_from_caller, enter_from_target
from pollenbay.http1 import HttpRequest, HttpRequestError, HttpResponse
from pollenbay.httpserver import HttpServer
from pollenbay.ids import CallerId
from pollenbay.node import Node
from pollenbay.outcome import NotRun, Outcome
from pollenbay.pipeline import Pipeline, make_pipeline
from pollenbay.queries.rules import find_call
from pollenbay.states import NodeState, Reason
from pollenbay.translation import (
    TranslationError,
    read_call_request,
    response_of,
    response_to_bad_request,
)
from pollenbay.watch import WatchedCall

#: Number of requests after which a connection that always has a next one lets other tasks run.
REQUESTS_PER_YIELD = 8
#: Time by which a connection with calls in progress may be idle for longer.
CALL_LIMIT_S = 60.0
STATUS_NO_CONTENT = 204
STATUS_BAD_REQUEST = 400


@dataclass(frozen=True, slots=True)
class Connection:
    """An incoming connection and the task that serves it."""

    sock: Socket
    task: Task


Respond = Callable[[Node, Connection, HttpRequest], Awaitable[HttpResponse]]
MayOverlap = Callable[[Node, HttpRequest], bool]


class BadInputSource(Enum):
    """Listener on which bad input was received."""

    CALLERS = "callers"
    OUTBOUND = "outbound"


class CallerConnections:
    """Counts the connections of callers and limits their number."""

    def __init__(self) -> None:
        self._connections = 0

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return self._connections

    async def serve(self, node: Node, sock: Socket) -> None:
        """Serve one connection until it closes; close it at once if the limit is reached."""
        if self._connections >= node.settings.limits.caller_connections:
            return
        self._connections += 1
        try:
            await serve_requests(node, sock, BadInputSource.CALLERS.value, _respond_to_caller)
        finally:
            self._connections -= 1


def make_caller_connections() -> CallerConnections:
    """Return a counter without open connections."""
    return CallerConnections()


async def serve_target(node: Node, sock: Socket) -> None:
    """Serve one connection of the local target until it closes."""
    await serve_requests(node, sock, BadInputSource.OUTBOUND.value, _respond_to_target)


def never_overlaps(node: Node, request: HttpRequest) -> bool:
    """Let every request wait for the response to the one before it."""
    return False


async def serve_requests(
    node: Node,
    sock: Socket,
    source: str,
    respond: Respond,
    may_overlap: MayOverlap = never_overlaps,
) -> None:
    """Respond to the requests of one connection, in their order, until it closes.

    :param source: label under which bad input is counted.
    :param may_overlap: returns whether a request may run beside earlier and later ones. Any other
        request runs alone: after all before it and before all behind it.
    """
    task = await current_task()
    pipeline = make_pipeline(task)
    server = HttpServer(sock, node.settings.limits.body_bytes, pipeline.wait_until_empty)
    served = 0
    try:
        while True:
            request = await _read_request(node, server, pipeline, task, source)
            if request is None or pipeline.closed:
                return
            work = partial(_respond, node, sock, request, respond)
            if may_overlap(node, request):
                is_last = not server.expects_more
                await pipeline.wait_for_room()
                await pipeline.start(request, server.detach_response(), work)
            else:
                await pipeline.wait_until_empty()
                is_last = not await server.write_response(await work(task))
            if is_last:
                await pipeline.wait_until_empty()
                return
            served += 1
            if served % REQUESTS_PER_YIELD == 0:
                await sleep(0)
    finally:
        await pipeline.cancel()


async def _respond(
    node: Node, sock: Socket, request: HttpRequest, respond: Respond, task: Task
) -> HttpResponse:
    response = await respond(node, Connection(sock, task), request)
    if node.state is NodeState.DRAINING:
        response.headers.append((b"connection", b"close"))
    return response


async def _read_request(
    node: Node, server: HttpServer, pipeline: Pipeline, task: Task, source: str
) -> HttpRequest | None:
    """Return the next request, or None at the end of the connection."""
    limit_s = node.settings.limits.caller_idle_s + (CALL_LIMIT_S if pipeline.calls else 0.0)
    try:
        with node.watch.watching_idle(task, node.timer.now() + limit_s):
            request = await server.read_request()
    except HttpRequestError as error:
        node.metrics.record_bad_input(source)
        await pipeline.wait_until_empty()
        await server.write_failure(response_to_bad_request(error.status))
        return None
    if request is not None:
        request.arrived_at = node.timer.now()
    return request


async def _respond_to_caller(
    node: Node, connection: Connection, request: HttpRequest
) -> HttpResponse:
    origin = CallerId(connection.sock.getpeername()[0])
    started_at = node.timer.now()
    try:
        call_request = read_call_request(request)
    except TranslationError:
        return _reject_bad_request(node, BadInputSource.CALLERS)
    progress = CallProgress()
    watched = WatchedCall(connection.sock, connection.task, progress)
    work = enter_from_caller(node, call_request, origin, progress)
    outcome = await node.watch.run_watched(watched, work)
    _record_call(
        node, call_request, call_request.caller or origin, outcome, node.timer.now() - started_at
    )
    return response_of(outcome)


async def _respond_to_target(
    node: Node, connection: Connection, request: HttpRequest
) -> HttpResponse:
    if request.target == ANNOUNCE_PATH.encode("ascii"):
        return _apply_announcement(node, request)
    try:
        call_request = read_call_request(request)
    except TranslationError:
        return _reject_bad_request(node, BadInputSource.OUTBOUND)
    progress = CallProgress()
    watched = WatchedCall(connection.sock, connection.task, progress)
    outcome = await node.watch.run_watched(watched, enter_from_target(node, call_request, progress))
    return response_of(outcome)


def _apply_announcement(node: Node, request: HttpRequest) -> HttpResponse:
    try:
        announcement = decode_json(request.body, Announcement)
    except CodecError:
        node.metrics.record_bad_input(BadInputSource.OUTBOUND.value)
        return response_to_bad_request(STATUS_BAD_REQUEST)
    apply_announcement(node, announcement, node.timer.now())
    return HttpResponse(STATUS_NO_CONTENT, [])


def _reject_bad_request(node: Node, source: BadInputSource) -> HttpResponse:
    node.metrics.record_bad_input(source.value)
    return response_of(NotRun(Reason.BAD_REQUEST))


def _record_call(
    node: Node, call_request: CallRequest, caller: CallerId, outcome: Outcome, seconds: float
) -> None:
    rule = find_call(node.rulebook, call_request.service, call_request.name)
    node.metrics.record_call(None if rule is None else rule.call_class, outcome, seconds)
    node.metrics.record_caller(caller, seconds)
