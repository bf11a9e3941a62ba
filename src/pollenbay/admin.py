"""HTTP server of the administration API: one task for each connection of an operator."""

from hmac import compare_digest

from curio import TaskTimeout, timeout_after
from curio.io import Socket
from result import Err

from pollenbay.adminendpoint import BadRequestError, EndpointKind, find_endpoint
from pollenbay.adminresponse import Unauthorized, make_response
from pollenbay.commands.dispatch import execute
from pollenbay.http1 import HttpRequest, HttpRequestError, HttpResponse, header_value
from pollenbay.httpserver import HttpServer
from pollenbay.node import Node
from pollenbay.queries.dispatch import answer

BODY_LIMIT_BYTES = 2 * 1024 * 1024
REQUEST_TIMEOUT_S = 30.0
RESPONSE_TIMEOUT_S = 10.0
BAD_INPUT_SOURCE = "admin"

_AUTH_SCHEME = b"bearer"


async def serve_admin(node: Node, sock: Socket) -> None:
    """Serve one connection until it is closed, fails or times out."""
    server = HttpServer(sock, BODY_LIMIT_BYTES)
    try:
        while await _serve_next(node, server):
            pass
    except TaskTimeout:
        return


async def _serve_next(node: Node, server: HttpServer) -> bool:
    """Serve one request and return whether the connection can be reused."""
    try:
        request = await timeout_after(REQUEST_TIMEOUT_S, server.read_request)
    except HttpRequestError as error:
        node.metrics.record_bad_input(BAD_INPUT_SOURCE)
        await timeout_after(RESPONSE_TIMEOUT_S, server.write_failure, make_response(error))
        return False
    if request is None:
        return False
    response = await respond(node, request)
    return await timeout_after(RESPONSE_TIMEOUT_S, server.write_response, response)


async def respond(node: Node, request: HttpRequest) -> HttpResponse:
    """Execute the command or query of a request and return the response."""
    lookup = find_endpoint(request)
    if isinstance(lookup, Err):
        return make_response(lookup.err_value)
    endpoint = lookup.ok_value
    if endpoint.requires_token and not has_token(request, node.settings.admin_token):
        return make_response(Unauthorized())
    try:
        operation = endpoint.decode(request)
    except BadRequestError as error:
        node.metrics.record_bad_input(BAD_INPUT_SOURCE)
        return make_response(error)
    handle = execute if endpoint.kind is EndpointKind.COMMAND else answer
    return make_response(await handle(operation, node))


def has_token(request: HttpRequest, token: str) -> bool:
    """Return whether a request carries the bearer token, compared in constant time.

    An empty token matches no request.
    """
    value = header_value(request.headers, b"authorization") or b""
    scheme, _, credentials = value.partition(b" ")
    if scheme.lower() != _AUTH_SCHEME or not token:
        return False
    return compare_digest(credentials.strip(), token.encode("utf-8"))
