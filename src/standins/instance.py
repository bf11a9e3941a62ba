"""Stand-in for an instance on the users' platform: signs its answers, or spoils them as asked.

The query of a request's path says how its answer is spoiled, see `Spoil`. ``GET /log`` on the
control port lists the requests that ran.
"""

from enum import Enum
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
HANG_S = 3600.0


class Spoil(Enum):
    """How an answer is spoiled."""

    NOTHING = "nothing"
    #: A second answer to the same request follows the first.
    EXTRA = "extra"
    #: No stated length; the connection ends the answer.
    UNFRAMED = "unframed"
    #: The connection closes in the middle of the body.
    CUT = "cut"
    #: The connection closes without an answer.
    LOST = "lost"
    #: Bytes that are no answer.
    NOISE = "noise"
    #: A success without a signature.
    UNSIGNED = "unsigned"
    #: A body in an encoding that nobody asked for.
    ENCODED = "encoded"
    #: A refusal that says that nothing ran.
    REFUSED = "refused"
    #: A 503 that does not say so.
    BARE_503 = "bare-503"
    #: No answer at all.
    HANG = "hang"


class Run(Struct):
    """One request that ran.

    :param deadline_ms: as it was told.
    """

    name: str
    method: str
    path: str
    host: str
    origin: str
    deadline_ms: float
    body: str


class Runs(Struct):
    """All requests that ran."""

    runs: list[Run]


class Instance:
    """Answers requests one at a time on each connection.

    :param name: as it tells itself in check-ins.
    """

    def __init__(self, name: str) -> None:
        self._name = name.encode("ascii")
        self._runs: list[Run] = []

    async def serve(self, sock: Socket) -> None:
        """Serve one connection."""
        server = HttpServer(sock)
        while (request := await read_or_refuse(server)) is not None:
            if not await self._answer(sock, server, request):
                return

    async def control(self, request: HttpRequest) -> HttpResponse:
        """Tell what ran."""
        return json_response(Runs(self._runs))

    async def _answer(self, sock: Socket, server: HttpServer, request: HttpRequest) -> bool:
        expected = header_value(request.headers, EXPECTED_TARGET_HEADER)
        if expected not in (None, self._name):
            return await server.write_response(HttpResponse(421, [(TARGET_HEADER, self._name)]))
        query = parse_qs(urlsplit(request.target.decode("latin-1")).query)
        spoil = Spoil(query.get("spoil", ["nothing"])[0])
        if spoil is Spoil.REFUSED:
            return await server.write_response(HttpResponse(503, [(NOT_RUN_HEADER, b"1")]))
        self._note(request)
        await sleep(float(query.get("work_s", ["0"])[0]))
        return await self._spoiled(sock, server, request, spoil)

    def _note(self, request: HttpRequest) -> None:
        def value(name: bytes) -> str:
            return (header_value(request.headers, name) or b"").decode("latin-1")

        run_ = Run(
            name=value(REQUEST_HEADER),
            method=request.method.decode("ascii"),
            path=request.target.decode("latin-1"),
            host=value(b"host"),
            origin=value(ORIGIN_HEADER),
            deadline_ms=float(value(DEADLINE_HEADER) or 0.0),
            body=request.body.decode("latin-1"),
        )
        self._runs.append(run_)

    async def _spoiled(
        self, sock: Socket, server: HttpServer, request: HttpRequest, spoil: Spoil
    ) -> bool:
        name = header_value(request.headers, REQUEST_HEADER) or b""
        headers = [(REQUEST_HEADER, name), (SIGNATURE_HEADER, SIGNATURE)]
        body = b"answer to " + name
        head = b"HTTP/1.1 200 OK\r\n" + b"".join(b"%s: %s\r\n" % pair for pair in headers)
        match spoil:
            case Spoil.LOST:
                return False
            case Spoil.NOISE:
                await sock.sendall(b"\x00\x01 no answer \r\n\r\n")
                return False
            case Spoil.CUT:
                await sock.sendall(head + b"content-length: %d\r\n\r\n" % len(body) + body[:-3])
                return False
            case Spoil.UNFRAMED:
                await sock.sendall(head + b"\r\n" + body)
                return False
            case Spoil.EXTRA:
                extra = head + b"content-length: %d\r\n\r\n" % len(body) + body
                await sock.sendall(extra)
            case Spoil.HANG:
                await sleep(HANG_S)
            case Spoil.UNSIGNED:
                headers = headers[:1]
            case Spoil.ENCODED:
                headers.append((b"content-encoding", b"gzip"))
            case Spoil.BARE_503:
                return await server.write_response(HttpResponse(503, headers[:1]))
        return await server.write_response(HttpResponse(200, headers, body))


async def serve_instance(name: str, port: int, control_port: int) -> None:
    """Listen for good."""
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
