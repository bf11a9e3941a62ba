"""HTTP/1.1 on h11: complete messages, their headers and the errors of client and server."""

import re
from collections.abc import Awaitable, Callable
from enum import Enum

import h11
from msgspec import Struct

from pollenbay.outcome import Headers

RECEIVE_BYTES = 65536
HEADER_LIMIT_BYTES = 16384
BODY_LIMIT_BYTES = 8 * 1024 * 1024
#: Bytes of a message that are not of its body (its head, sizes and extensions of chunks, trailers)
#: beyond `FRAMING_BYTES_PER_BODY_BYTE` for each byte of the body.
FRAMING_LIMIT_BYTES = 256 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8
#: Headers that concern a single connection and are never forwarded by a node.
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
STATUS_MAX = 599
HTTP_VERSIONS = frozenset({b"1.0", b"1.1"})
#: Lines of a head, which h11 reads more leniently: each ends with CR LF, holds no other control
#: character than tabs, and starts no continuation of the line before it.
STRICT_HEAD = re.compile(rb"(?:[^\x00-\x08\x0a-\x1f\x7f]+\r\n(?![ \t]))+\r\n")


#: Holds memory for more bytes of a body and returns whether there is room.
HoldBody = Callable[[int], Awaitable[bool]]


class HttpError(Exception):
    """Base class of the errors of this layer."""


class HttpConnectError(HttpError):
    """No connection could be opened, so nothing was sent."""


class HttpExchangeError(HttpError):
    """The connection broke after bytes may have been sent."""


class HttpAnswerError(HttpError):
    """The response broke the protocol, was truncated or had no stated length."""


class HttpRequestError(HttpError):
    """A request that cannot be read.

    :param status: HTTP status to send to the client.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class BodyProblem(Enum):
    """Why a body was not accepted; the value is the message of the error."""

    CUT_SHORT = "the body stops short"
    TOO_LONG = "the body is too long"
    TOO_MUCH_FRAMING = "the body comes in too many or too long chunks"
    NO_MEMORY = "there is no memory for the body"


class HttpBodyError(HttpError):
    """A body that is truncated or longer than allowed."""

    def __init__(self, problem: BodyProblem) -> None:
        super().__init__(problem.value)
        self.problem = problem


class HttpRequest(Struct):
    """One complete request.

    :param arrived_at: monotonic seconds at which it was read; 0 for a request to be sent.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    arrived_at: float = 0.0


class HttpResponse(Struct):
    """One complete response."""

    status: int
    headers: Headers
    body: bytes = b""


def check_response_head(
    head: h11.Response | h11.InformationalResponse, received: bytes | bytearray
) -> None:
    """Check what h11 accepts in the head of a response although it is no valid HTTP/1.1.

    :param received: bytes from which the head was read; more may follow.
    :raises HttpAnswerError: if the head is not valid.
    """
    if head.status_code > STATUS_MAX:
        raise HttpAnswerError(f"status {head.status_code} is out of range")
    if head.http_version not in HTTP_VERSIONS:
        raise HttpAnswerError(f"unsupported version {head.http_version!r}")
    if STRICT_HEAD.match(received) is None:
        raise HttpAnswerError("the head has a folded line or a control character")


def headers_of(head: h11.Request | h11.Response) -> Headers:
    """Return the headers of a message with their names in lower case."""
    return [(name.lower(), value) for name, value in head.headers.raw_items()]


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    :param name: in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(headers: Headers, dropped: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers that are forwarded from one end to the other.

    :param dropped: names of further headers that are not forwarded, in lower case.
    """
    connection_headers = _headers_named_by_connection(headers)
    excluded = dropped | connection_headers if connection_headers else dropped
    return [pair for pair in headers if pair[0] not in HOP_HEADERS and pair[0] not in excluded]


def _headers_named_by_connection(headers: Headers) -> frozenset[bytes]:
    value = header_value(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(part.strip().lower() for part in value.split(b","))


async def hold_unlimited(added_bytes: int) -> bool:
    """Let a body take any memory up to the limit of its length."""
    return True


async def collect_body(
    next_event: Callable[[], Awaitable[h11.Event | type[h11.PAUSED]]],
    received_bytes: Callable[[], int],
    limit_bytes: int,
    hold: HoldBody = hold_unlimited,
    stated_bytes: int = 0,
) -> bytes:
    """Return a complete body from the events of a connection.

    :param received_bytes: returns the number of bytes received since the message began.
    :param hold: holds memory for more bytes of the body and returns whether there is room.
    :param stated_bytes: length of the body if memory for all of it is held from the first piece on.
    :raises HttpBodyError: if it is truncated, exceeds the limit, is mostly framing or finds no
        memory.
    """
    if stated_bytes > limit_bytes:
        raise HttpBodyError(BodyProblem.TOO_LONG)
    body = bytearray()
    held_bytes = 0
    while True:
        event = await next_event()
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise HttpBodyError(BodyProblem.CUT_SHORT)
        if len(body) + len(event.data) > limit_bytes:
            raise HttpBodyError(BodyProblem.TOO_LONG)
        needed_bytes = max(stated_bytes, len(body) + len(event.data))
        if not await hold(needed_bytes - held_bytes):
            raise HttpBodyError(BodyProblem.NO_MEMORY)
        held_bytes = needed_bytes
        body += event.data
        framing_limit = FRAMING_LIMIT_BYTES + FRAMING_BYTES_PER_BODY_BYTE * len(body)
        if received_bytes() - len(body) > framing_limit:
            raise HttpBodyError(BodyProblem.TOO_MUCH_FRAMING)
