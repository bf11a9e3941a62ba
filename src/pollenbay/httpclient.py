"""The client's end of an HTTP/1.1 connection: whole requests out, whole responses in."""

from collections.abc import Callable

import h11
from curio import spawn
from curio.io import Socket

from pollenbay.http1 import (
    BODY_LIMIT_BYTES,
    HEADER_LIMIT_BYTES,
    RECEIVE_BYTES,
    STATUSES_WITHOUT_BODY,
    HttpAnswerError,
    HttpBodyError,
    HttpConnectError,
    HttpExchangeError,
    HttpRequest,
    HttpResponse,
    collect_body,
    headers_of,
)
from pollenbay.outcome import Headers
from pollenbay.stream import StreamConnectError, open_stream, peer_has_spoken, receive

#: Responses to earlier requests that are passed over before the connection is given up.
STRAYS_MAX = 2
#: A longer request may fill the buffers between both ends, of which the smallest in use hold some
#: pages, and is sent beside the reading.
AT_ONCE_BYTES = 4096

Belongs = Callable[[HttpResponse], bool]


class HttpClient:
    """The client's end of one kept connection, for one exchange at a time.

    :param sock: a connected socket.
    :param body_limit_bytes: longest response body that is taken.
    :param unframed: whether a response without a stated length may end with the connection.
    :param endpoint: address and port of the server.
    """

    def __init__(
        self,
        sock: Socket,
        body_limit_bytes: int = BODY_LIMIT_BYTES,
        unframed: bool = False,
        endpoint: tuple[str, int] = ("", 0),
    ) -> None:
        self._sock = sock
        self._endpoint = endpoint
        self._body_limit_bytes = body_limit_bytes
        self._unframed = unframed
        self._at_end = False
        self._conn = _make_connection()

    @property
    def sock(self) -> Socket:
        """Return the socket."""
        return self._sock

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return address and port of the server."""
        return self._endpoint

    @property
    def reusable(self) -> bool:
        """Tell whether another exchange can follow on this connection.

        Bytes past the end of a response would be taken for the response to the next request.
        """
        idle = self._conn.our_state is h11.IDLE and self._conn.their_state is h11.IDLE
        return idle and not self._at_end and not self._conn.trailing_data[0]

    @property
    def stale(self) -> bool:
        """Tell whether the server has closed the connection or sent an unasked answer."""
        return peer_has_spoken(self._sock)

    async def exchange(self, request: HttpRequest, belongs: Belongs | None = None) -> HttpResponse:
        """Send a request and return the whole response.

        :param belongs: tells the response to this request from strays; None takes the first.
        :raises HttpExchangeError: if the connection broke.
        :raises HttpAnswerError: if the response is not whole and correct.
        """
        data = self._encode(request)
        try:
            if len(data) > AT_ONCE_BYTES:
                response = await self._send_and_read(data, request, belongs)
            else:
                await self._sock.sendall(data)
                response = await self._read_belonging(request, belongs)
        except OSError as error:
            raise HttpExchangeError(str(error)) from error
        self._finish_cycle()
        return response

    async def _send_and_read(
        self, data: bytes, request: HttpRequest, belongs: Belongs | None
    ) -> HttpResponse:
        """Read the response beside the sending, since it may come before the request is read.

        After a response to a part of a request the rest of it must not be taken for the next one.
        """
        sending = await spawn(self._sock.sendall, data, daemon=True)
        try:
            response = await self._read_belonging(request, belongs)
            self._at_end = self._at_end or not sending.terminated or sending.exception is not None
            return response
        finally:
            await sending.cancel()

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()

    def _encode(self, request: HttpRequest) -> bytes:
        headers = list(request.headers)
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self._conn.send(head)]
        if request.body:
            parts.append(self._conn.send(h11.Data(data=request.body)))
        parts.append(self._conn.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _read_belonging(self, request: HttpRequest, belongs: Belongs | None) -> HttpResponse:
        for _ in range(STRAYS_MAX):
            response = await self._read_response(request.method)
            if belongs is None or belongs(response):
                return response
            self._expect_anew(request)
        raise HttpAnswerError("the connection brings answers to other requests")

    def _expect_anew(self, request: HttpRequest) -> None:
        """Await the response once more, on what has been received past a stray one."""
        rest, closed = self._conn.trailing_data
        self._conn = _make_connection()
        self._encode(request)
        if rest:
            self._conn.receive_data(rest)
        if closed:
            self._conn.receive_data(b"")

    async def _read_response(self, method: bytes) -> HttpResponse:
        if not self._conn.trailing_data[0]:
            await self._receive()
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise HttpExchangeError("closed before an answer")
        headers = headers_of(head)
        if not _is_framed(method, head.status_code, headers):
            self._at_end = True
            if not self._unframed:
                raise HttpAnswerError("the answer has no stated length: a part looks like a whole")
        body = await self._read_body()
        return HttpResponse(head.status_code, headers, body)

    async def _read_body(self) -> bytes:
        try:
            return await collect_body(self._next_event, self._body_limit_bytes)
        except HttpBodyError as error:
            raise HttpAnswerError(str(error)) from error

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                raise HttpAnswerError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        self._conn.receive_data(await receive(self._sock, RECEIVE_BYTES))

    def _finish_cycle(self) -> None:
        if self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE:
            self._conn.start_next_cycle()


def _make_connection() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT_BYTES)


async def connect_http(
    address: str,
    port: int,
    body_limit_bytes: int = BODY_LIMIT_BYTES,
    unframed: bool = False,
) -> HttpClient:
    """Open a connection to an HTTP server.

    :raises HttpConnectError: if none can be opened.
    """
    try:
        sock = await open_stream(address, port)
    except StreamConnectError as error:
        raise HttpConnectError(str(error)) from error
    return HttpClient(sock, body_limit_bytes, unframed, (address, port))


def _is_framed(method: bytes, status: int, headers: Headers) -> bool:
    """Tell whether a response ends by its own account, not with its connection."""
    if method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return True
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
