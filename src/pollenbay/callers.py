"""HTTP front end for callers and for the target's own calls: one task for each connection."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from curio import Task, current_task, sleep
from curio.io import Socket
from msgspec import MsgspecError
from msgspec.json import decode

from pollenbay.announcement import ANNOUNCE_PATH, Announcement
from pollenbay.call import Asked, Passage
from pollenbay.commands.announcing import hear_target
from pollenbay.commands.entry import enter_from_caller, enter_from_target
from pollenbay.http1 import HttpRequest, HttpRequestError, HttpResponse
from pollenbay.httpserver import HttpServer
from pollenbay.ids import CallerId
from pollenbay.node import Node
from pollenbay.outcome import NotRun, Outcome
from pollenbay.queries.rules import find_call
from pollenbay.states import NodeState, Reason
from pollenbay.translation import (
    TranslationError,
    read_asked,
    response_of,
    response_to_bad_request,
)
from pollenbay.watch import Watched

#: A connection that always has a next request lets the other tasks run after so many.
REQUESTS_PER_TURN = 8
STATUS_NO_CONTENT = 204
STATUS_BAD_REQUEST = 400


@dataclass(frozen=True, slots=True)
class Connection:
    """A connection on which requests come in, and the task that serves it."""

    sock: Socket
    task: Task


Respond = Callable[[Node, Connection, HttpRequest], Awaitable[HttpResponse]]


class Source(Enum):
    """Listener on which bad input was counted."""

    CALLERS = "callers"
    OUTBOUND = "outbound"


class Callers:
    """Counts the connections of outside callers and holds them under the limit."""

    def __init__(self) -> None:
        self._connections = 0

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return self._connections

    async def serve(self, node: Node, sock: Socket) -> None:
        """Serve one connection until it closes."""
        if self._connections >= node.settings.limits.caller_connections:
            return
        self._connections += 1
        try:
            await serve_requests(node, sock, Source.CALLERS.value, _respond_to_caller)
        finally:
            self._connections -= 1


def make_callers() -> Callers:
    """Return a count of no connections."""
    return Callers()


async def serve_target(node: Node, sock: Socket) -> None:
    """Serve one connection of the target beside this node until it closes."""
    await serve_requests(node, sock, Source.OUTBOUND.value, _respond_to_target)


async def serve_requests(node: Node, sock: Socket, source: str, respond: Respond) -> None:
    """Answer the requests of one connection in order until it closes.

    :param source: name under which bad input is counted.
    """
    server = HttpServer(sock, node.settings.limits.body_bytes)
    connection = Connection(sock, await current_task())
    served = 0
    while True:
        request = await _read_request(node, server, connection.task, source)
        if request is None:
            return
        response = await respond(node, connection, request)
        if node.state is NodeState.DRAINING:
            response.headers.append((b"connection", b"close"))
        if not await server.write_response(response):
            return
        served += 1
        if served % REQUESTS_PER_TURN == 0:
            await sleep(0)


async def _read_request(
    node: Node, server: HttpServer, task: Task, source: str
) -> HttpRequest | None:
    ends_at = node.timer.now() + node.settings.limits.caller_idle_s
    try:
        with node.watch.idle(task, ends_at):
            return await server.read_request()
    except HttpRequestError as error:
        node.metrics.note_bad_input(source)
        await server.write_failure(response_to_bad_request(error.status))
        return None


async def _respond_to_caller(
    node: Node, connection: Connection, request: HttpRequest
) -> HttpResponse:
    origin = CallerId(connection.sock.getpeername()[0])
    started_at = node.timer.now()
    try:
        asked = read_asked(request)
    except TranslationError:
        return _refuse_bad(node, Source.CALLERS)
    passage = Passage()
    watched = Watched(connection.sock, connection.task, passage)
    work = enter_from_caller(node, asked, origin, passage)
    outcome = await node.watch.outcome_or_end(watched, work)
    _note_call(node, asked, asked.caller or origin, outcome, node.timer.now() - started_at)
    return response_of(outcome)


async def _respond_to_target(
    node: Node, connection: Connection, request: HttpRequest
) -> HttpResponse:
    if request.target == ANNOUNCE_PATH.encode("ascii"):
        return _hear_announcement(node, request)
    try:
        asked = read_asked(request)
    except TranslationError:
        return _refuse_bad(node, Source.OUTBOUND)
    passage = Passage()
    watched = Watched(connection.sock, connection.task, passage)
    outcome = await node.watch.outcome_or_end(watched, enter_from_target(node, asked, passage))
    return response_of(outcome)


def _hear_announcement(node: Node, request: HttpRequest) -> HttpResponse:
    try:
        announcement = decode(request.body, type=Announcement)
    except MsgspecError:
        node.metrics.note_bad_input(Source.OUTBOUND.value)
        return response_to_bad_request(STATUS_BAD_REQUEST)
    hear_target(node, announcement, node.timer.now())
    return HttpResponse(STATUS_NO_CONTENT, [])


def _refuse_bad(node: Node, source: Source) -> HttpResponse:
    node.metrics.note_bad_input(source.value)
    return response_of(NotRun(Reason.BAD_REQUEST))


def _note_call(
    node: Node, asked: Asked, caller: CallerId, outcome: Outcome, seconds: float
) -> None:
    rule = find_call(node.rulebook, asked.service, asked.name)
    node.metrics.note_call(None if rule is None else rule.call_class, outcome, seconds)
    node.metrics.note_caller(caller, seconds)
