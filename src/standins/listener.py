"""HTTP listeners of the stand-ins, with one task for each connection."""

from collections.abc import Awaitable, Callable

from curio.io import Socket
from msgspec import Struct
from msgspec.json import encode

from pollenbay.http1 import HttpRequest, HttpRequestError, HttpResponse
from pollenbay.httpserver import HttpServer
from pollenbay.outcome import Headers
from pollenbay.stream import accept_streams

LISTEN_ADDRESS = "127.0.0.1"
JSON_HEADERS: Headers = [(b"content-type", b"application/json")]
TEXT_HEADERS: Headers = [(b"content-type", b"text/plain; charset=utf-8")]

#: Returns the response to a request, or None to close the connection without one.
Handler = Callable[[HttpRequest], Awaitable[HttpResponse | None]]


class Ready(Struct, omit_defaults=True):
    """Line that a stand-in prints once it listens.

    :param port: port that serves requests.
    :param control_port: port for faults and queries; 0 if there is no separate one.
    """

    ready: bool
    port: int
    control_port: int = 0


def print_ready(port: int, control_port: int = 0) -> None:
    """Print the line that shows the parent process that the stand-in listens."""
    print(encode(Ready(ready=True, port=port, control_port=control_port)).decode(), flush=True)


async def accept_http(listener: Socket, handle: Handler) -> None:
    """Accept connections until cancelled and serve each in a task, one request at a time."""

    async def serve(sock: Socket) -> None:
        await _serve_http(HttpServer(sock), handle)

    await accept_streams(listener, serve)


async def read_or_refuse(server: HttpServer) -> HttpRequest | None:
    """Return the next request, or None at the end of the connection.

    A malformed request is answered with an error and ends the connection.
    """
    try:
        return await server.read_request()
    except HttpRequestError as error:
        await server.write_failure(text_response(error.status, str(error)))
        return None


def json_response(value: Struct, status: int = 200) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, list(JSON_HEADERS), encode(value))


def text_response(status: int, text: str) -> HttpResponse:
    """Return a response with a plain text body."""
    return HttpResponse(status, list(TEXT_HEADERS), text.encode("utf-8"))


async def _serve_http(server: HttpServer, handle: Handler) -> None:
    while (request := await read_or_refuse(server)) is not None:
        response = await handle(request)
        if response is None:
            return
        if not await server.write_response(response):
            return
