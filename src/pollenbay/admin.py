"""Administration API of a node, over HTTP: one task for each connection of an operator."""

from hmac import compare_digest

from curio import TaskTimeout, timeout_after
from curio.io import Socket
from result import Err

from pollenbay.commands.dispatch import execute
from pollenbay.endpoint import BadRequestError, Kind, find_endpoint
from pollenbay.http1 import HttpRequest, HttpRequestError, HttpResponse, header_value
from pollenbay.httpserver import HttpServer
from pollenbay.node import Node
from pollenbay.queries.dispatch import answer
from pollenbay.reply import TokenMissing, make_reply

BODY_LIMIT_BYTES = 2 * 1024 * 1024
REQUEST_TIMEOUT_S = 30.0
RESPONSE_TIMEOUT_S = 10.0
BAD_INPUT_SOURCE = "admin"

_SCHEME = b"bearer"


async def serve_admin(node: Node, sock: Socket) -> None:
    """Serve the requests of one connection until it closes, breaks or idles for too long."""
    server = HttpServer(sock, BODY_LIMIT_BYTES)
    try:
        while await _serve_next(node, server):
            pass
    except TaskTimeout:
        return


async def _serve_next(node: Node, server: HttpServer) -> bool:
    """Serve one request and tell whether another can follow."""
    try:
        request = await timeout_after(REQUEST_TIMEOUT_S, server.read_request)
    except HttpRequestError as error:
        node.metrics.note_bad_input(BAD_INPUT_SOURCE)
        await timeout_after(RESPONSE_TIMEOUT_S, server.write_failure, make_reply(error))
        return False
    if request is None:
        return False
    response = await respond(node, request)
    return await timeout_after(RESPONSE_TIMEOUT_S, server.write_response, response)


async def respond(node: Node, request: HttpRequest) -> HttpResponse:
    """Carry out one request and return the response."""
    found = find_endpoint(request)
    if isinstance(found, Err):
        return make_reply(found.err_value)
    endpoint = found.ok_value
    if endpoint.guarded and not has_token(request, node.settings.admin_token):
        return make_reply(TokenMissing())
    try:
        asked = endpoint.read(request)
    except BadRequestError as error:
        node.metrics.note_bad_input(BAD_INPUT_SOURCE)
        return make_reply(error)
    carry_out = execute if endpoint.kind is Kind.COMMAND else answer
    return make_reply(await carry_out(asked, node))


def has_token(request: HttpRequest, token: str) -> bool:
    """Tell, in a time that does not depend on the token, whether a request carries it."""
    value = header_value(request.headers, b"authorization") or b""
    scheme, _, given = value.partition(b" ")
    if scheme.lower() != _SCHEME or not token:
        return False
    return compare_digest(given.strip(), token.encode("utf-8"))
