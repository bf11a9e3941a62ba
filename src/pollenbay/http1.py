"""HTTP/1.1 over curio sockets, by h11: whole messages in, whole messages out."""

from collections.abc import Iterable

import h11
from curio.io import Socket
from msgspec import Struct

from pollenbay.outcome import Headers
from pollenbay.stream import StreamConnectError, open_stream, peer_has_spoken

RECEIVE_BYTES = 65536
HEADER_LIMIT_BYTES = 16384
BODY_LIMIT_BYTES = 8 * 1024 * 1024
#: Headers that concern one connection only and never pass a node.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"host",
    }
)
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class HttpError(Exception):
    """Root of the errors of this layer."""


class HttpConnectError(HttpError):
    """No connection could be opened, so nothing was sent."""


class HttpExchangeError(HttpError):
    """The connection broke after bytes may have been sent."""


class HttpAnswerError(HttpError):
    """The answer broke the protocol, stopped short or had no stated length."""


class HttpRequestError(HttpError):
    """A request that cannot be read.

    :param status: HTTP status that tells the client why.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class HttpRequest(Struct):
    """One whole request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class HttpResponse(Struct):
    """One whole response."""

    status: int
    headers: Headers
    body: bytes = b""


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    :param name: in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that pass from one end to the other."""
    named = _headers_named_by_connection(headers)
    return [pair for pair in headers if pair[0] not in HOP_HEADERS and pair[0] not in named]


def _headers_named_by_connection(headers: Headers) -> frozenset[bytes]:
    value = header_value(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(part.strip().lower() for part in value.split(b","))


class HttpServer:
    """The server's end of one connection.

    :param sock: an accepted socket.
    :param body_limit_bytes: longest request body that is taken.
    """

    def __init__(self, sock: Socket, body_limit_bytes: int = BODY_LIMIT_BYTES) -> None:
        self._sock = sock
        self._body_limit_bytes = body_limit_bytes
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT_BYTES)
        self._head_request = False

    @property
    def sock(self) -> Socket:
        """Return the socket."""
        return self._sock

    async def read_request(self) -> HttpRequest | None:
        """Return the next request, or None when the client has closed.

        :raises HttpRequestError: if the request is broken, too long or stops short.
        """
        if self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE:
            self._conn.start_next_cycle()
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        self._head_request = head.method == b"HEAD"
        self._require_length_in_limit(list(head.headers))
        body = await self._read_body()
        return HttpRequest(head.method, head.target, list(head.headers), body)

    async def write_response(self, response: HttpResponse) -> bool:
        """Send a response in one write and tell whether the connection can be used again."""
        await self._sock.sendall(self._encode(response))
        return self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE

    async def write_failure(self, response: HttpResponse) -> None:
        """Send a response to a request that could not be read, as far as that is possible."""
        if self._conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response.headers.append((b"connection", b"close"))
            await self._sock.sendall(self._encode(response))

    def _require_length_in_limit(self, headers: Headers) -> None:
        stated = header_value(headers, b"content-length")
        if stated is not None and int(stated) > self._body_limit_bytes:
            raise HttpRequestError(413, "the body is too long")

    def _encode(self, response: HttpResponse) -> bytes:
        body = b"" if response.status in STATUSES_WITHOUT_BODY else response.body
        headers = response.headers
        if response.status not in STATUSES_WITHOUT_BODY:
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        parts = [self._conn.send(h11.Response(status_code=response.status, headers=headers))]
        if body and not self._head_request:
            parts.append(self._conn.send(h11.Data(data=body)))
        parts.append(self._conn.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise HttpRequestError(400, "the body stops short")
            size += len(event.data)
            if size > self._body_limit_bytes:
                raise HttpRequestError(413, "the body is too long")
            parts.append(bytes(event.data))

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                raise HttpRequestError(error.error_status_hint, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        if self._conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._sock.sendall(self._conn.send(go_on))
        self._conn.receive_data(await self._sock.recv(RECEIVE_BYTES))


class HttpClient:
    """The client's end of one kept connection, for one exchange at a time.

    :param sock: a connected socket.
    :param body_limit_bytes: longest response body that is taken.
    """

    def __init__(self, sock: Socket, body_limit_bytes: int = BODY_LIMIT_BYTES) -> None:
        self._sock = sock
        self._body_limit_bytes = body_limit_bytes
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT_BYTES)

    @property
    def sock(self) -> Socket:
        """Return the socket."""
        return self._sock

    @property
    def reusable(self) -> bool:
        """Tell whether another exchange can follow on this connection.

        Bytes past the end of a response would be taken for the response to the next request.
        """
        idle = self._conn.our_state is h11.IDLE and self._conn.their_state is h11.IDLE
        return idle and not self._conn.trailing_data[0]

    @property
    def stale(self) -> bool:
        """Tell whether the server has closed the connection, or sent an unasked answer."""
        return peer_has_spoken(self._sock)

    async def exchange(self, request: HttpRequest) -> HttpResponse:
        """Send a request and return the whole response.

        :raises HttpExchangeError: if the connection broke.
        :raises HttpAnswerError: if the response is not whole and correct.
        """
        data = self._encode(request)
        try:
            await self._sock.sendall(data)
            response = await self._read_response(request.method)
        except OSError as error:
            raise HttpExchangeError(str(error)) from error
        self._finish_cycle()
        return response

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

    async def _read_response(self, method: bytes) -> HttpResponse:
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise HttpExchangeError("closed before an answer")
        headers = list(head.headers)
        _require_length(method, head.status_code, headers)
        body = await self._read_body()
        return HttpResponse(head.status_code, headers, body)

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise HttpAnswerError("the answer stops short")
            size += len(event.data)
            if size > self._body_limit_bytes:
                raise HttpAnswerError("the answer is too long")
            parts.append(bytes(event.data))

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                raise HttpAnswerError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self._conn.receive_data(await self._sock.recv(RECEIVE_BYTES))

    def _finish_cycle(self) -> None:
        if self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE:
            self._conn.start_next_cycle()


async def connect_http(
    address: str, port: int, body_limit_bytes: int = BODY_LIMIT_BYTES
) -> HttpClient:
    """Open a connection to an HTTP server.

    :raises HttpConnectError: if none can be opened.
    """
    try:
        sock = await open_stream(address, port)
    except StreamConnectError as error:
        raise HttpConnectError(str(error)) from error
    return HttpClient(sock, body_limit_bytes)


def _require_length(method: bytes, status: int, headers: Headers) -> None:
    if method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return
    if not _has_length(name for name, _ in headers):
        raise HttpAnswerError("the answer has no stated length, so a part looks like the whole")


def _has_length(names: Iterable[bytes]) -> bool:
    return any(name in (b"content-length", b"transfer-encoding") for name in names)
