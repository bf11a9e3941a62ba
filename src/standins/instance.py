"""Stand-in for an instance on the users' platform: signs its responses or injects faults.

In a request's query ``spoil`` selects a fault, see `ResponseFault`, ``by`` the name of the only
instance that injects it, if only one does, ``work_s`` sets the run time in
seconds and ``answer_bytes`` the least length of the body. ``GET /log`` on the control port lists
the executed requests.
"""

from enum import Enum
from time import monotonic
from urllib.parse import parse_qs, urlsplit

import click
from curio import TaskGroup, run, sleep
from curio.io import Socket
from msgspec import Struct

from pollenbay.http1 import HttpRequest, HttpResponse, header_value
from pollenbay.httpserver import HttpServer
from pollenbay.platform.names import (
    DEADLINE_HEADER,
    EXPECTED_TARGET_HEADER,
    NOT_RUN_HEADER,
    ORIGIN_HEADER,
    REQUEST_HEADER,
    SIGNATURE_HEADER,
    TARGET_HEADER,
)
from pollenbay.stream import accept_streams, listen, port_of
from standins.listener import (
    LISTEN_ADDRESS,
    accept_http,
    json_response,
    print_ready,
    read_or_refuse,
)

SIGNATURE = b"signed"
#: Longest request body that is read, as allowed by the platform's configuration.
REQUEST_LIMIT_BYTES = 64 * 1024 * 1024
#: Body bytes of an executed request that are listed.
LISTED_BODY_BYTES = 65536
#: Longer than any client waits for a response.
HANG_S = 3600.0


class ResponseFault(Enum):
    """Fault of a response."""

    NOTHING = "nothing"
    #: A second response to the same request follows the first.
    EXTRA = "extra"
    #: No content length; the close of the connection ends the response.
    UNFRAMED = "unframed"
    #: The connection closes in the middle of the body.
    CUT = "cut"
    #: The connection closes in the middle of the head, after as many bytes as ``cut`` says.
    CUT_HEAD = "cut-head"
    #: The line that ``line`` says stands in the head, before the length.
    ODD_LINE = "odd-line"
    #: The status that ``status`` says.
    ODD_STATUS = "odd-status"
    #: Header lines without end, until the caller closes.
    ENDLESS_HEAD = "endless-head"
    #: A body without end, which has no length, in chunks of `ENDLESS_PIECE_BYTES` or one byte.
    ENDLESS_BODY = "endless-body"
    ENDLESS_CHUNKS = "endless-chunks"
    ENDLESS_SMALL_CHUNKS = "endless-small-chunks"
    #: The connection closes without a response.
    LOST = "lost"
    #: Bytes that are not an HTTP response.
    NOISE = "noise"
    #: A successful response without a signature.
    UNSIGNED = "unsigned"
    #: A body with a content encoding that the request did not accept.
    ENCODED = "encoded"
    #: A 503 with the header that states that the request did not run.
    REFUSED = "refused"
    #: A 503 without that header.
    BARE_503 = "bare-503"
    #: No response; the connection stays open.
    HANG = "hang"
    #: As `REFUSED`; the refusal is written once more when the next request arrives.
    REFUSED_AGAIN = "refused-again"
    #: The same, without the id of the request when it is written once more.
    REFUSED_AGAIN_UNNAMED = "refused-again-unnamed"


REFUSALS = frozenset(
    {
        ResponseFault.REFUSED,
        ResponseFault.REFUSED_AGAIN,
        ResponseFault.REFUSED_AGAIN_UNNAMED,
    }
)


ENDLESS_PIECE_BYTES = 65536
CHUNKED_HEADER = b"transfer-encoding: chunked\r\n"
#: End of the head and the piece that is repeated, of each endless response.
ENDLESS_RESPONSES = {
    ResponseFault.ENDLESS_HEAD: (b"", b"x-more: " + b"x" * 100 + b"\r\n"),
    ResponseFault.ENDLESS_BODY: (b"\r\n", b"x" * ENDLESS_PIECE_BYTES),
    ResponseFault.ENDLESS_CHUNKS: (
        CHUNKED_HEADER + b"\r\n",
        b"%x\r\n%s\r\n" % (ENDLESS_PIECE_BYTES, b"x" * ENDLESS_PIECE_BYTES),
    ),
    ResponseFault.ENDLESS_SMALL_CHUNKS: (CHUNKED_HEADER + b"\r\n", b"1\r\nx\r\n" * 10_000),
}


class ExecutedRequest(Struct):
    """A request that was executed.

    :param name: value of the request id header.
    :param deadline_ms: value of the deadline header; 0 without one.
    :param body: beginning of the body.
    :param started_at: monotonic seconds at which it started to run.
    :param ended_at: monotonic seconds at which its response was ready; 0 before.
    """

    name: str
    method: str
    path: str
    host: str
    origin: str
    deadline_ms: float
    body: str
    started_at: float
    ended_at: float = 0.0


class ExecutedRequests(Struct):
    """All executed requests, in the order of their start."""

    runs: list[ExecutedRequest]


class Instance:
    """Serves requests, one at a time on each connection.

    :param name: name of the instance, as in its check-ins.
    """

    def __init__(self, name: str) -> None:
        self._name = name.encode("ascii")
        self._executed: list[ExecutedRequest] = []

    async def serve(self, sock: Socket) -> None:
        """Serve a connection until it closes."""
        server = HttpServer(sock, REQUEST_LIMIT_BYTES)
        leftover = b""
        while (request := await read_or_refuse(server)) is not None:
            await sock.sendall(leftover)
            leftover = repeated_refusal(request, self._name)
            if not await self._respond(sock, server, request):
                return

    async def control(self, request: HttpRequest) -> HttpResponse:
        """Return the executed requests."""
        return json_response(ExecutedRequests(self._executed))

    async def _respond(self, sock: Socket, server: HttpServer, request: HttpRequest) -> bool:
        expected = header_value(request.headers, EXPECTED_TARGET_HEADER)
        echo = (REQUEST_HEADER, header_value(request.headers, REQUEST_HEADER) or b"")
        if expected not in (None, self._name):
            headers = [echo, (TARGET_HEADER, self._name)]
            return await server.write_response(HttpResponse(421, headers))
        query = _query_of(request)
        fault = _fault_of(query, self._name)
        if fault in REFUSALS:
            return await server.write_response(HttpResponse(503, [echo, (NOT_RUN_HEADER, b"1")]))
        executed = self._record(request)
        await sleep(float(query.get("work_s", ["0"])[0]))
        executed.ended_at = monotonic()
        return await self._respond_with_fault(sock, server, request, fault)

    def _record(self, request: HttpRequest) -> ExecutedRequest:
        def value(name: bytes) -> str:
            return (header_value(request.headers, name) or b"").decode("latin-1")

        executed = ExecutedRequest(
            name=value(REQUEST_HEADER),
            method=request.method.decode("ascii"),
            path=request.target.decode("latin-1"),
            host=value(b"host"),
            origin=value(ORIGIN_HEADER),
            deadline_ms=float(value(DEADLINE_HEADER) or 0.0),
            body=request.body[:LISTED_BODY_BYTES].decode("latin-1"),
            started_at=monotonic(),
        )
        self._executed.append(executed)
        return executed

    async def _respond_with_fault(
        self, sock: Socket, server: HttpServer, request: HttpRequest, fault: ResponseFault
    ) -> bool:
        name = header_value(request.headers, REQUEST_HEADER) or b""
        headers = [(REQUEST_HEADER, name), (SIGNATURE_HEADER, SIGNATURE)]
        body = b"answer to " + name
        body = body.ljust(int(_query_of(request).get("answer_bytes", ["0"])[0]), b".")
        head = b"HTTP/1.1 200 OK\r\n" + b"".join(b"%s: %s\r\n" % pair for pair in headers)
        if fault in ENDLESS_RESPONSES:
            await _send_without_end(sock, head, *ENDLESS_RESPONSES[fault])
        match fault:
            case ResponseFault.CUT_HEAD:
                head += b"content-length: %d\r\n\r\n" % len(body)
                await sock.sendall(head[: int(_query_of(request)["cut"][0])])
                return False
            case ResponseFault.ODD_LINE:
                line = _query_of(request)["line"][0].encode("latin-1")
                length = b"content-length: %d\r\n\r\n" % len(body)
                await sock.sendall(head + line + b"\r\n" + length + body)
                return False
            case ResponseFault.ODD_STATUS:
                status = _query_of(request)["status"][0].encode("latin-1")
                length = b"content-length: %d\r\n\r\n" % len(body)
                await sock.sendall(head.replace(b"200", status, 1) + length + body)
                return False
            case ResponseFault.LOST:
                return False
            case ResponseFault.NOISE:
                await sock.sendall(b"\x00\x01 no answer \r\n\r\n")
                return False
            case ResponseFault.CUT:
                await sock.sendall(head + b"content-length: %d\r\n\r\n" % len(body) + body[:-3])
                return False
            case ResponseFault.UNFRAMED:
                await sock.sendall(head + b"\r\n" + body)
                return False
            case ResponseFault.EXTRA:
                extra = head + b"content-length: %d\r\n\r\n" % len(body) + body
                await sock.sendall(extra)
            case ResponseFault.HANG:
                await sleep(HANG_S)
            case ResponseFault.UNSIGNED:
                headers = headers[:1]
            case ResponseFault.ENCODED:
                headers.append((b"content-encoding", b"gzip"))
            case ResponseFault.BARE_503:
                return await server.write_response(HttpResponse(503, headers[:1]))
        return await server.write_response(HttpResponse(200, headers, body))


async def _send_without_end(sock: Socket, head: bytes, head_end: bytes, piece: bytes) -> None:
    """Send a response that has no end, until the caller closes.

    :raises OSError: when it does.
    """
    await sock.sendall(head + head_end)
    while True:
        await sock.sendall(piece)


def repeated_refusal(request: HttpRequest, name: bytes) -> bytes:
    """Return the refusal that is written once more before the response to the next request.

    :param name: name of the instance.
    """
    fault = _fault_of(_query_of(request), name)
    lines = [b"HTTP/1.1 503 Service Unavailable", NOT_RUN_HEADER + b": 1", b"content-length: 0"]
    if fault is ResponseFault.REFUSED_AGAIN:
        lines.append(
            REQUEST_HEADER + b": " + (header_value(request.headers, REQUEST_HEADER) or b"")
        )
    elif fault is not ResponseFault.REFUSED_AGAIN_UNNAMED:
        return b""
    return b"\r\n".join([*lines, b"", b""])


def _query_of(request: HttpRequest) -> dict[str, list[str]]:
    return parse_qs(urlsplit(request.target.decode("latin-1")).query)


def _fault_of(query: dict[str, list[str]], name: bytes) -> ResponseFault:
    if query.get("by", [name.decode("ascii")]) != [name.decode("ascii")]:
        return ResponseFault.NOTHING
    return ResponseFault(query.get("spoil", ["nothing"])[0])


async def serve_instance(name: str, port: int, control_port: int) -> None:
    """Serve requests and the control port until cancelled."""
    instance = Instance(name)
    listener, control = listen(LISTEN_ADDRESS, port), listen(LISTEN_ADDRESS, control_port)
    print_ready(port_of(listener), port_of(control))
    async with TaskGroup() as group:
        await group.spawn(accept_streams, listener, instance.serve)
        await group.spawn(accept_http, control, instance.control)


@click.command()
@click.option("--name", default="i-1", help="Name of the run of the instance.")
@click.option("--port", default=0, help="Port to listen on; 0 takes any free one.")
@click.option("--control-port", default=0, help="Port that lists what ran.")
def main(name: str, port: int, control_port: int) -> None:
    """Run the stand-in until SIGTERM."""
    run(serve_instance, name, port, control_port)


if __name__ == "__main__":
    main()
