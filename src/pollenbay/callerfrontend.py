"""HTTP front end for callers and for the calls of the local target: one task per connection."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from curio import Task, current_task, sleep
from curio.io import Socket

from pollenbay.announcement import ANNOUNCE_PATH, Announcement
from pollenbay.bodymemory import BodyHolding, make_holding
from pollenbay.call import CallProgress, CallRequest
from pollenbay.codec import CodecError, decode_json
from pollenbay.commands.announcing import apply_announcement
from pollenbay.commands.bodymemory import (
    count_piece,
    hold,
    hold_received,
    release,
    wait_for_token,
)
from pollenbay.commands.entry import enter_from_caller, enter_from_target
from pollenbay.exchange import Exchange
from pollenbay.http1 import HttpRequest, HttpRequestError, HttpResponse
from pollenbay.httpserver import HttpServer
from pollenbay.ids import CallerId
from pollenbay.node import Node
from pollenbay.outcome import NotRun, Outcome
from pollenbay.pipeline import Pipeline, Work, make_pipeline
from pollenbay.queries.bodymemory import has_room
from pollenbay.queries.rules import find_call
from pollenbay.states import BodyHolder, Reason
from pollenbay.stream import CLOSE_WAIT_S, finish
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
#: Longest body of a response that closes its connection in a planned stop. While a longer one is
#: being sent, further requests may arrive, and they are owed a response.
CLOSING_BODY_MAX_BYTES = 65536
STATUS_NO_CONTENT = 204
STATUS_BAD_REQUEST = 400


@dataclass(frozen=True, slots=True)
class Connection:
    """An incoming connection and the task that serves it."""

    sock: Socket
    task: Task


Respond = Callable[[Node, Connection, HttpRequest], Awaitable[HttpResponse]]
MayOverlap = Callable[[Node, HttpRequest], bool]
ServeConnection = Callable[[Node, Socket], Awaitable[None]]


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

    async def serve(self, node: Node, serve: ServeConnection, sock: Socket) -> None:
        """Serve one connection until it closes.

        At the limit, the connection that has been idle for longest makes room for it; if all are
        busy, it is closed at once.
        """
        if self._connections >= node.settings.limits.caller_connections_max:
            if not await node.watch.close_longest_idle():
                return
        self._connections += 1
        try:
            await serve(node, sock)
        finally:
            self._connections -= 1


def make_caller_connections() -> CallerConnections:
    """Return a counter without open connections."""
    return CallerConnections()


async def serve_caller(node: Node, sock: Socket) -> None:
    """Serve one connection of a caller until it closes."""
    await serve_requests(
        node, sock, BadInputSource.CALLERS.value, _respond_to_caller, closable=True
    )


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
    closable: bool = False,
) -> None:
    """Respond to the requests of one connection, in their order, until it closes.

    :param source: label under which bad input is counted.
    :param may_overlap: returns whether a request may run beside earlier and later ones. Any other
        request runs alone: after all before it and before all behind it.
    :param closable: whether the connection may be closed in favour of another one while it waits
        for a request and has no calls.
    """

    def closes(response: HttpResponse) -> bool:
        return _may_close_after(node, response) and not server.has_next

    task = await current_task()
    pipeline = make_pipeline(task, closes)
    server = HttpServer(
        sock,
        node.settings.limits.body_bytes,
        pipeline.wait_until_empty,
        partial(_record_bytes, node, task, pipeline),
    )
    served = 0
    holding = make_holding(node.body_memory, BodyHolder.CLIENT)
    exchange: Exchange | None = None
    try:
        while not pipeline.closed:
            request = await _read_request(node, server, pipeline, task, source, holding, closable)
            if request is None:
                return
            if pipeline.closed:
                break
            exchange = node.exchanges.begin()
            work = partial(_respond, node, sock, request, respond, holding)
            overlaps = may_overlap(node, request)
            await (pipeline.wait_for_room() if overlaps else pipeline.wait_until_empty())
            if pipeline.closed:
                return
            if overlaps:
                is_last = not server.expects_more
                on_end = partial(_end_call, node, task, pipeline, holding, exchange, closable)
                await pipeline.start(request, server.detach_response(), work, on_end)
                exchange = None
                holding = make_holding(node.body_memory, BodyHolder.CLIENT)
            else:
                is_last = not await _respond_alone(node, server, work, task)
                release(holding)
                exchange.end()
            # Their bodies must not outlast the memory that is held for them.
            del request, work
            if is_last:
                break
            served += 1
            if served % REQUESTS_PER_YIELD == 0:
                await sleep(0)
        await pipeline.wait_until_empty()
        await finish(sock)
    finally:
        release(holding)
        if exchange is not None:
            exchange.end()
        await pipeline.cancel()


async def _respond(
    node: Node,
    sock: Socket,
    request: HttpRequest,
    respond: Respond,
    holding: BodyHolding,
    task: Task,
) -> HttpResponse:
    response = await respond(node, Connection(sock, task), request)
    hold_received(holding, len(response.body))
    return response


async def _respond_alone(
    node: Node,
    server: HttpServer,
    work: Work,
    task: Task,
) -> bool:
    """Send the response to the last request and return whether the connection can be used again."""
    response = await work(task)
    if _may_close_after(node, response) and not server.has_trailing:
        response.headers.append((b"connection", b"close"))
    return await server.write_response(response)


def _may_close_after(node: Node, response: HttpResponse) -> bool:
    return node.is_stopping and len(response.body) <= CLOSING_BODY_MAX_BYTES


def _end_call(
    node: Node,
    task: Task,
    pipeline: Pipeline,
    holding: BodyHolding,
    exchange: Exchange,
    closable: bool,
) -> None:
    release(holding)
    exchange.end()
    if not pipeline.calls:
        idle_s = CLOSE_WAIT_S if pipeline.closed else node.settings.limits.caller_idle_s
        ends_at = node.timer.now() + idle_s
        node.watch.record_calls_ended(task, ends_at, closable)


def _record_bytes(node: Node, task: Task, pipeline: Pipeline) -> None:
    stall_s = node.settings.limits.caller_stall_s + _call_time_s(pipeline)
    node.watch.record_bytes(task, node.timer.now(), stall_s)


def _call_time_s(pipeline: Pipeline) -> float:
    """Return the time by which a connection may be idle for longer, since it has calls."""
    return CALL_LIMIT_S if pipeline.calls else 0.0


async def _hold_body(
    node: Node, task: Task, pipeline: Pipeline, holding: BodyHolding, added_bytes: int
) -> bool:
    """Hold memory for more bytes of a request, if need be in place of one that has stalled.

    Other tasks run in between, however short the pieces of a body are.
    """
    if count_piece(holding):
        node.watch.record_pause(task)
        await wait_for_token(node.body_memory, node.timer.now)
        _record_bytes(node, task, pipeline)
    if not has_room(holding, added_bytes):
        if await node.watch.close_longest_stalled(node.timer.now()):
            await sleep(0)
    return hold(holding, added_bytes)


async def _read_request(
    node: Node,
    server: HttpServer,
    pipeline: Pipeline,
    task: Task,
    source: str,
    holding: BodyHolding,
    closable: bool,
) -> HttpRequest | None:
    """Return the next request, or None at the end of the connection."""
    ends_at = node.timer.now() + node.settings.limits.caller_idle_s + _call_time_s(pipeline)
    try:
        with node.watch.watching_idle(
            task, server.sock, ends_at, closable and not pipeline.calls
        ) as wait:
            request = await server.read_request(partial(_hold_body, node, task, pipeline, holding))
    except HttpRequestError as error:
        status = error.status
    else:
        if request is None or wait.given_up:
            return None
        request.arrived_at = node.timer.now()
        return request
    # The error, which refers to the bytes of the body, is gone before any wait.
    release(holding)
    node.metrics.record_bad_input(source)
    await pipeline.wait_until_empty()
    if not pipeline.closed:
        await server.write_failure(response_to_bad_request(status))
    await finish(server.sock)
    return None


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
