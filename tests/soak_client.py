"""A client on a kept connection, which pipelines, uploads in chunks and reads slowly."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random
from select import POLLERR, POLLHUP, POLLRDHUP, poll
from socket import SO_RCVBUF, SOL_SOCKET, create_connection, socket
from time import monotonic, sleep

from harness import ADDRESS
from platform_node import HOST

#: Longer than any request is kept waiting.
SILENT_S = 20.0
CONNECT_S = 1.0
RECONNECT_S = 0.05
READ_BYTES = 65536
SLOW_READ_BUFFER_BYTES = 16384
CHUNKS = 4
SIGNATURE_HEADER = b"x-pollenbay-server-signature"


class Ending(Enum):
    """How a connection ended that owed a response."""

    CLOSED = "closed"
    #: Reset, as by a process that ends with unread bytes.
    RESET = "reset"
    SILENT = "silent"


@dataclass(slots=True)
class SoakRequest:
    """A request and what its client saw; times are monotonic seconds.

    :param entry: name of the node that it is sent to.
    :param read_s: seconds for which its client reads the answer.
    :param written_at: time of its last byte; infinite if the connection broke before.
    :param status: status of the response, as soon as its head is complete.
    :param whole: whether the response was complete.
    :param signed: whether it bears the signature of an instance.
    :param ending: end of the connection, if that came before the end of the response.
    """

    name: str
    entry: str
    service: str
    safe: bool
    wait_s: float
    work_s: float
    answer_bytes: int = 0
    read_s: float = 0.0
    body: bytes = b""
    chunked: bool = False
    pipelined: bool = False
    sent_at: float = inf
    written_at: float = inf
    ended_at: float = inf
    status: int | None = None
    whole: bool = False
    signed: bool = False
    body_of_answer: bytes = b""
    ending: Ending | None = None

    @property
    def answered(self) -> bool:
        """Return whether the response is the complete one of an instance."""
        return self.whole and self.signed and self.status == 200

    @property
    def owns_answer(self) -> bool:
        """Return whether the body is that which the instance gives to this request."""
        own = f"answer to {self.name}".encode("ascii")
        return self.body_of_answer == own.ljust(self.answer_bytes, b".")

    def pieces(self) -> list[bytes]:
        """Return the bytes of the request, in the pieces in which they are sent."""
        method = "GET" if self.safe else "POST"
        path = f"/{'safe' if self.safe else 'unsafe'}-{self.service}/"
        lines = [
            f"{method} {path}?work_s={self.work_s:.2f}&answer_bytes={self.answer_bytes} HTTP/1.1",
            f"host: {HOST}",
            f"x-pollenbay-request-id: {self.name}",
            f"x-pollenbay-deadline-ms: {int(self.wait_s * 1000)}",
        ]
        if self.chunked:
            size = len(self.body) // CHUNKS
            chunks = [self.body[at : at + size] for at in range(0, len(self.body), size)]
            body = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks]
            lines.append("transfer-encoding: chunked")
            body.append(b"0\r\n\r\n")
        else:
            body = [self.body]
            if self.body:
                lines.append(f"content-length: {len(self.body)}")
        head = "\r\n".join([*lines, "", ""]).encode("ascii")
        return [head, *body] if self.chunked else [head + body[0]]


class KeptConnection:
    """A connection to a node that is used until the node closes it.

    :param slow: whether the kernel keeps few unread bytes of answers.
    :raises OSError: if no connection is established.
    """

    def __init__(self, port: int, slow: bool) -> None:
        self._sock: socket = create_connection((ADDRESS, port), CONNECT_S)
        if slow:
            self._sock.setsockopt(SOL_SOCKET, SO_RCVBUF, SLOW_READ_BUFFER_BYTES)
        self._sock.settimeout(SILENT_S)
        self._data = bytearray()
        self._closing = False
        self._poll = poll()
        self._poll.register(self._sock, POLLRDHUP | POLLHUP | POLLERR)
        #: Monotonic seconds at which the end of the connection was noticed while nothing was read.
        self._ended_at: float | None = None

    def close(self) -> None:
        self._sock.close()

    def exchange(self, batch: list[SoakRequest], random: Random) -> bool:
        """Send requests, one behind the other, and read their responses.

        Each request holds what was seen of it.

        :returns: whether the connection can be used again.
        """
        try:
            for request in batch:
                self._write(request, random)
        except OSError:
            self._closing = True
        for request in batch:
            if request.sent_at == inf:
                continue
            try:
                self._read(request)
            except ConnectionResetError:
                request.ending = Ending.RESET
            except TimeoutError:
                request.ending = Ending.SILENT
            except OSError:
                request.ending = Ending.CLOSED
            request.ended_at = monotonic()
            if request.ending is not None and self._ended_at is not None:
                request.ended_at = self._ended_at
            self._closing = self._closing or request.ending is not None
        return not self._closing

    def _write(self, request: SoakRequest, random: Random) -> None:
        request.sent_at = monotonic()
        for number, piece in enumerate(request.pieces()):
            self._pause(random.uniform(0.0, 0.05) if number else 0.0)
            self._sock.sendall(piece)
        request.written_at = monotonic()

    def _read(self, request: SoakRequest) -> None:
        while b"\r\n\r\n" not in self._data:
            self._receive()
        head, _, rest = bytes(self._data).partition(b"\r\n\r\n")
        self._data = bytearray(rest)
        status_line, *lines = head.split(b"\r\n")
        headers = {name.lower(): value.strip() for name, _, value in _split(lines)}
        request.status = int(status_line.split()[1])
        request.signed = SIGNATURE_HEADER in headers
        self._closing = self._closing or headers.get(b"connection", b"").lower() == b"close"
        if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            request.body_of_answer = self._read_chunks()
        else:
            length = int(headers.get(b"content-length", b"0"))
            request.body_of_answer = self._read_bytes(length, request.read_s)
        request.whole = True

    def _read_chunks(self) -> bytes:
        body = bytearray()
        while size := int(self._read_line(), 16):
            body += self._read_bytes(size + 2, 0.0)[:-2]
        self._read_line()
        return bytes(body)

    def _read_line(self) -> bytes:
        while b"\r\n" not in self._data:
            self._receive()
        line, _, rest = bytes(self._data).partition(b"\r\n")
        self._data = bytearray(rest)
        return line

    def _read_bytes(self, length: int, within_s: float) -> bytes:
        begins_at = monotonic()
        while len(self._data) < length:
            self._receive()
            due_at = begins_at + within_s * min(len(self._data) / length, 1.0)
            self._pause(max(due_at - monotonic(), 0.0))
        data = bytes(self._data[:length])
        del self._data[:length]
        return data

    def _pause(self, seconds: float) -> None:
        """Wait, and note when the node ends the connection meanwhile."""
        ends_at = monotonic() + seconds
        if self._ended_at is None and self._poll.poll(seconds * 1000.0):
            self._ended_at = monotonic()
        sleep(max(ends_at - monotonic(), 0.0))

    def _receive(self) -> None:
        data = self._sock.recv(READ_BYTES)
        if not data:
            raise BrokenPipeError("closed")
        self._data += data


def send_in_turn(
    port: int,
    random: Random,
    draw: Callable[[Random], list[SoakRequest]],
    is_over: Callable[[], bool],
    slow: bool,
) -> None:
    """Send what is drawn on kept connections, each until the node closes it, until it is over.

    :param slow: as of `KeptConnection`.
    """
    while not is_over():
        try:
            connection = KeptConnection(port, slow)
        except OSError:
            sleep(RECONNECT_S)
            continue
        try:
            while not is_over() and connection.exchange(batch := draw(random), random):
                refused = any(request.status in (429, 503) for request in batch)
                sleep(random.uniform(0.2, 1.0) if refused else random.uniform(0.0, 0.05))
        finally:
            connection.close()


def _split(lines: list[bytes]) -> list[tuple[bytes, bytes, bytes]]:
    return [line.partition(b":") for line in lines]
