"""HTTP/1.1 client connection that sends complete requests and returns complete responses."""

from collections.abc import Callable

import h11
from curio import spawn
from curio.io import Socket

from pollenbay.http1 import (
    BODY_LIMIT_BYTES,
    HEADER_LIMIT_BYTES,
    RECEIVE_BYTES,
    STATUSES_WITHOUT_BODY,
    HoldBody,
    HttpAnswerError,
    HttpBodyError,
    HttpConnectError,
    HttpExchangeError,
    HttpRequest,
    HttpResponse,
    check_response_head,
    collect_body,
    headers_of,
    hold_unlimited,
)
from pollenbay.outcome import Headers
from pollenbay.stream import (
    StreamConnectError,
    open_stream,
    peer_has_sent_or_closed,
    receive,
    send_parts,
)

#: Unsolicited responses (to earlier requests) after which the connection is given up.
UNSOLICITED_RESPONSES_MAX = 2
#: Interim responses before the final one after which the connection is given up.
INTERIM_RESPONSES_MAX = 16
#: A longer request is sent while the response is read, since it may fill the buffers between client
#: and server. The smallest buffers in use hold a few pages.
SEQUENTIAL_SEND_BYTES_MAX = 4096

ResponseMatcher = Callable[[HttpResponse], bool]


class HttpClient:
    """Persistent client connection, for one exchange at a time.

    :param sock: a connected socket.
    :param body_limit_bytes: longest response body that is accepted.
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
        self._hold: HoldBody = hold_unlimited
        self._must_close = False
        self._response_is_framed = True
        self._received_bytes = 0
        self._conn = _make_connection()

    @property
    def sock(self) -> Socket:
        """Return the connected socket."""
        return self._sock

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return the address and port of the server."""
        return self._endpoint

    @property
    def reusable(self) -> bool:
        """Return whether another exchange can follow on this connection.

        It cannot if bytes follow the response: they would be read as the response to the next
        request.
        """
        idle = self._conn.our_state is h11.IDLE and self._conn.their_state is h11.IDLE
        return idle and not self._must_close and not self._conn.trailing_data[0]

    @property
    def stale(self) -> bool:
        """Return whether the server has closed the connection or sent an unsolicited response."""
        return peer_has_sent_or_closed(self._sock)

    async def exchange(
        self,
        request: HttpRequest,
        matches: ResponseMatcher | None = None,
        hold: HoldBody = hold_unlimited,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        :param matches: returns whether a response is the one to this request and not an unsolicited
            one; None accepts the first response.
        :param hold: holds memory for more bytes of the response and returns whether there is room.
        :raises HttpExchangeError: if the connection broke, also while the request was sent.
        :raises HttpAnswerError: if the response is truncated or malformed.
        """
        self._hold = hold
        try:
            parts = self._encode(request)
        except h11.LocalProtocolError as error:
            raise HttpExchangeError(f"the request cannot be sent: {error}") from error
        try:
            if sum(map(len, parts)) > SEQUENTIAL_SEND_BYTES_MAX:
                response = await self._send_while_reading(parts, request, matches)
            else:
                await send_parts(self._sock, parts)
                response = await self._read_matching_response(request, matches)
        except OSError as error:
            raise HttpExchangeError(str(error)) from error
        self._finish_cycle()
        return response

    async def _send_while_reading(
        self, parts: list[bytes], request: HttpRequest, matches: ResponseMatcher | None
    ) -> HttpResponse:
        """Read the response while sending, since it may arrive before the server has read all.

        If the response arrives before the complete request was sent, the connection is not used
        again: the server would read the rest of the request as the next one.

        The system reports a reset of the connection only once. If that is while sending, reading
        ends as if the server had closed the connection after its last byte, so that a response
        without a stated length is incomplete.
        """
        sending = await spawn(self._send, parts, daemon=True)
        try:
            response = await self._read_matching_response(request, matches)
            send_error = sending.result if sending.terminated else None
            if send_error is not None and not self._response_is_framed:
                raise HttpExchangeError("reset before the end of the response") from send_error
            if send_error is not None or not sending.terminated:
                self._must_close = True
            return response
        finally:
            await sending.cancel()

    async def _send(self, parts: list[bytes]) -> OSError | None:
        """Send a request and return the error that ended it, if any."""
        try:
            await send_parts(self._sock, parts)
        except OSError as error:
            return error
        return None

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()

    def _encode(self, request: HttpRequest) -> list[bytes]:
        headers = list(request.headers)
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self._conn.send(head)]
        if request.body:
            parts.append(self._conn.send(h11.Data(data=request.body)))
        parts.append(self._conn.send(h11.EndOfMessage()))
        return [part for part in parts if part]

    async def _read_matching_response(
        self, request: HttpRequest, matches: ResponseMatcher | None
    ) -> HttpResponse:
        for _ in range(UNSOLICITED_RESPONSES_MAX):
            response = await self._read_response(request.method)
            if matches is None or matches(response):
                return response
            self._restart_response(request)
        raise HttpAnswerError("received only responses to other requests")

    def _restart_response(self, request: HttpRequest) -> None:
        """Prepare to read another response, starting with the bytes after an unsolicited one."""
        trailing_data, closed = self._conn.trailing_data
        self._conn = _make_connection()
        self._encode(request)
        if trailing_data:
            self._conn.receive_data(trailing_data)
        if closed:
            self._conn.receive_data(b"")

    async def _read_response(self, method: bytes) -> HttpResponse:
        self._received_bytes = len(self._conn.trailing_data[0])
        if not self._received_bytes:
            await self._receive()
        head = await self._read_final_head()
        if not isinstance(head, h11.Response):
            raise HttpExchangeError("connection closed before a response")
        headers = headers_of(head)
        self._response_is_framed = _is_framed(method, head.status_code, headers)
        if not self._response_is_framed:
            self._must_close = True
            if not self._unframed:
                raise HttpAnswerError(
                    "response has no stated length, so truncation would not be noticed"
                )
        body = await self._read_body(_stated_bytes(method, head.status_code, headers))
        return HttpResponse(head.status_code, headers, body)

    async def _read_final_head(self) -> h11.Event | type[h11.PAUSED]:
        for _ in range(INTERIM_RESPONSES_MAX):
            head = await self._next_head()
            if not isinstance(head, h11.InformationalResponse):
                return head
        raise HttpAnswerError("received only interim responses")

    async def _next_head(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next head, or what came in its place.

        :raises HttpAnswerError: if it is malformed.
        """
        while True:
            received = self._conn.trailing_data[0]
            event = self._parse_event()
            if isinstance(event, (h11.InformationalResponse, h11.Response)):
                check_response_head(event, received)
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _read_body(self, stated_bytes: int) -> bytes:
        try:
            return await collect_body(
                self._next_event,
                lambda: self._received_bytes,
                self._body_limit_bytes,
                self._hold,
                stated_bytes,
            )
        except HttpBodyError as error:
            raise HttpAnswerError(str(error)) from error

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._parse_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    def _parse_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as error:
            raise HttpAnswerError(str(error)) from error

    async def _receive(self) -> None:
        data = await receive(self._sock, RECEIVE_BYTES)
        self._received_bytes += len(data)
        self._conn.receive_data(data)

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

    :raises HttpConnectError: if it cannot be opened.
    """
    try:
        sock = await open_stream(address, port)
    except StreamConnectError as error:
        raise HttpConnectError(str(error)) from error
    return HttpClient(sock, body_limit_bytes, unframed, (address, port))


def _is_framed(method: bytes, status: int, headers: Headers) -> bool:
    """Return whether the end of a response is known without the connection being closed."""
    if method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return True
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)


def _stated_bytes(method: bytes, status: int, headers: Headers) -> int:
    """Return the length of the body that a head states; 0 if it states none or no body follows."""
    if method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return 0
    names = dict(headers)
    if b"transfer-encoding" in names:
        return 0
    return int(names.get(b"content-length", b"0"))
