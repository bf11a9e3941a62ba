"""HTTP/1.1 server connection that reads complete requests and writes complete responses."""

from collections.abc import Awaitable, Callable
from logging import getLogger

import h11
from curio.io import Socket

from pollenbay.http1 import (
    BODY_LIMIT_BYTES,
    HEADER_LIMIT_BYTES,
    RECEIVE_BYTES,
    STATUSES_WITHOUT_BODY,
    BodyProblem,
    HoldBody,
    HttpBodyError,
    HttpRequest,
    HttpRequestError,
    HttpResponse,
    collect_body,
    header_value,
    headers_of,
    hold_unlimited,
)
from pollenbay.outcome import Headers
from pollenbay.stream import peer_has_sent_or_closed, receive, send_parts, shut_down_sending

PROBLEM_STATUSES = {
    BodyProblem.CUT_SHORT: 400,
    BodyProblem.TOO_LONG: 413,
    BodyProblem.TOO_MUCH_FRAMING: 413,
    BodyProblem.NO_MEMORY: 503,
}
STATUS_BAD_GATEWAY = 502

LOG = getLogger("pollenbay.http")


async def _send_at_once() -> None:
    """Let interim responses go out without waiting."""


def _ignore_progress() -> None:
    """Take no note of received bytes."""


class PendingResponse:
    """The response to one request, which is still to be sent.

    :param conn: connection state in which the request was read.
    """

    def __init__(self, sock: Socket, conn: h11.Connection, is_head_request: bool) -> None:
        self._sock = sock
        self._conn = conn
        self._is_head_request = is_head_request

    async def send(self, response: HttpResponse) -> bool:
        """Send a response and return whether the connection can be used again."""
        await send_parts(self._sock, self._encode(response))
        return self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE

    async def shut_down(self) -> None:
        """Tell the client that no response follows."""
        await shut_down_sending(self._sock)

    async def send_failure(self, response: HttpResponse) -> None:
        """Send a response to an unreadable request, unless a response was already started."""
        if self._conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response.headers.append((b"connection", b"close"))
            await send_parts(self._sock, self._encode(response))

    def _encode(self, response: HttpResponse) -> list[bytes]:
        body = b"" if response.status in STATUSES_WITHOUT_BODY else response.body
        headers = response.headers
        if response.status not in STATUSES_WITHOUT_BODY:
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        try:
            head = h11.Response(status_code=response.status, headers=headers)
        except h11.LocalProtocolError as error:
            LOG.warning("response cannot be sent", extra={"error": str(error)})
            return self._encode(HttpResponse(STATUS_BAD_GATEWAY, []))
        parts = [self._conn.send(head)]
        if body and not self._is_head_request:
            parts.append(self._conn.send(h11.Data(data=body)))
        parts.append(self._conn.send(h11.EndOfMessage()))
        return [part for part in parts if part]


class HttpServer:
    """Server side of one HTTP/1.1 connection.

    :param sock: an accepted socket.
    :param body_limit_bytes: longest request body that is accepted.
    :param wait_for_turn: returns once the responses to all earlier requests have been sent, before
        an interim response may be.
    :param note_progress: called when bytes have been received.
    """

    def __init__(
        self,
        sock: Socket,
        body_limit_bytes: int = BODY_LIMIT_BYTES,
        wait_for_turn: Callable[[], Awaitable[None]] = _send_at_once,
        note_progress: Callable[[], None] = _ignore_progress,
    ) -> None:
        self._sock = sock
        self._body_limit_bytes = body_limit_bytes
        self._wait_for_turn = wait_for_turn
        self._note_progress = note_progress
        self._conn = _make_connection()
        self._is_head_request = False
        self._received_bytes = 0

    @property
    def sock(self) -> Socket:
        """Return the accepted socket."""
        return self._sock

    @property
    def expects_more(self) -> bool:
        """Return whether the client may send another request after the last one."""
        return self._conn.their_state is h11.DONE

    @property
    def has_next(self) -> bool:
        """Return, without waiting, whether another request has begun to arrive.

        One that was read counts until its response is detached.
        """
        return self._received_bytes > 0 or peer_has_sent_or_closed(self._sock)

    @property
    def has_trailing(self) -> bool:
        """Return, without waiting, whether bytes have arrived behind the request read last."""
        return bool(self._conn.trailing_data[0]) or peer_has_sent_or_closed(self._sock)

    async def read_request(self, hold: HoldBody = hold_unlimited) -> HttpRequest | None:
        """Return the next request, or None when the client has closed.

        :param hold: holds memory for more bytes of the body and returns whether there is room.
        :raises HttpRequestError: if the request is malformed, too long or truncated.
        """
        if self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE:
            self._conn.start_next_cycle()
        self._received_bytes = len(self._conn.trailing_data[0])
        if not self._received_bytes:
            await self._receive()
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        self._is_head_request = head.method == b"HEAD"
        headers = headers_of(head)
        self._require_length_in_limit(headers)
        body = await self._read_body(hold)
        return HttpRequest(head.method, head.target, headers, body)

    def detach_response(self) -> PendingResponse:
        """Return the response to the last request, to be sent later.

        The next request can be read before.
        """
        pending = self._pending_response()
        unread_bytes, has_closed = self._conn.trailing_data
        self._conn = _make_connection()
        self._received_bytes = len(unread_bytes)
        if unread_bytes:
            self._conn.receive_data(unread_bytes)
        if has_closed:
            self._conn.receive_data(b"")
        return pending

    async def write_response(self, response: HttpResponse) -> bool:
        """Send a response in one write and return whether the connection can be used again."""
        return await self._pending_response().send(response)

    async def write_failure(self, response: HttpResponse) -> None:
        """Send a response to an unreadable request, unless a response was already started."""
        await self._pending_response().send_failure(response)

    def _pending_response(self) -> PendingResponse:
        return PendingResponse(self._sock, self._conn, self._is_head_request)

    def _require_length_in_limit(self, headers: Headers) -> None:
        content_length = header_value(headers, b"content-length")
        if content_length is not None and int(content_length) > self._body_limit_bytes:
            raise HttpRequestError(
                PROBLEM_STATUSES[BodyProblem.TOO_LONG], BodyProblem.TOO_LONG.value
            )

    async def _read_body(self, hold: HoldBody) -> bytes:
        try:
            return await collect_body(
                self._next_event, lambda: self._received_bytes, self._body_limit_bytes, hold
            )
        except HttpBodyError as error:
            raise HttpRequestError(PROBLEM_STATUSES[error.problem], str(error)) from error

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
            await self._wait_for_turn()
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self._sock.sendall(self._conn.send(continue_response))
        data = await receive(self._sock, RECEIVE_BYTES)
        self._received_bytes += len(data)
        self._note_progress()
        self._conn.receive_data(data)


def _make_connection() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT_BYTES)
