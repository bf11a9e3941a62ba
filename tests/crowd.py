"""Clients that send large or endless request bodies, most of which never end, and stay open."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from select import select
from socket import create_connection, socket
from time import monotonic

from harness import ADDRESS

BODY_BYTES = 8_000_000
PIECE_BYTES = 16_384
LARGE_CHUNK_BYTES = 1_000_000
SMALL_CHUNK_BYTES = 16
SMALL_CHUNKS_BODY_BYTES = 200_000
#: Far more than any node accepts, and more than is sent of it.
TOO_LONG_BYTES = 10**12
SENT_TOO_LONG_BYTES = 100_000_000
#: One client in so many completes its request.
COMPLETE_EVERY = 10
#: Time without any progress after which the clients count as done: the node no longer reads.
QUIET_S = 3.0
SEND_WITHIN_S = 240.0


class Shape(Enum):
    """What each client sends."""

    #: A body of legal size, one client after the other.
    WHOLE = "whole"
    #: The same, all clients at once in small pieces.
    PIECEWISE = "piecewise"
    LARGE_CHUNKS = "large-chunks"
    SMALL_CHUNKS = "small-chunks"
    #: A length far over every limit is announced.
    ANNOUNCED_TOO_LONG = "announced-too-long"
    #: Chunks go on far over the limit.
    SENT_TOO_LONG = "sent-too-long"
    #: A body of legal size is announced and never begun.
    HEAD_ONLY = "head-only"


@dataclass(eq=False, slots=True)
class Client:
    """One client and what it still sends."""

    sock: socket
    parts: Iterator[bytes]
    unsent: memoryview = field(default_factory=lambda: memoryview(b""))

    def send_some(self) -> bool:
        """Send what the node takes and return whether there is more."""
        if not self.unsent:
            part = next(self.parts, None)
            if part is None:
                return False
            self.unsent = memoryview(part)
        try:
            self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True


class Crowd:
    """Clients whose connections stay open until the block ends.

    :param port: port of the node.
    :param path: path of the requests, which must not be idempotent.
    :param body_bytes: length of the bodies that are whole or in pieces.
    :param complete_every: one client in so many completes its request.
    """

    def __init__(
        self,
        port: int,
        path: str,
        shape: Shape,
        clients: int,
        body_bytes: int = BODY_BYTES,
        complete_every: int = COMPLETE_EVERY,
    ) -> None:
        self._shape = shape
        self._clients = [
            _connect(port, request_parts(path, shape, number, body_bytes, complete_every))
            for number in range(1, clients + 1)
        ]

    def __enter__(self) -> Crowd:
        return self

    def __exit__(self, *details: object) -> None:
        for client in self._clients:
            client.sock.close()

    def send(self) -> None:
        """Send until the node takes nothing more."""
        if self._shape is not Shape.WHOLE:
            _send_side_by_side(self._clients)
            return
        for client in self._clients:
            _send_side_by_side([client])


def request_parts(
    path: str, shape: Shape, number: int, body_bytes: int, complete_every: int
) -> Iterator[bytes]:
    """Yield the parts of one client's request; few of them are complete.

    :param number: number of the client, from 1.
    """
    complete = number % complete_every == 0
    head = (
        f"POST {path} HTTP/1.1\r\nhost: shop.example\r\nx-pollenbay-request-id: crowd-{number}\r\n"
    )
    if shape in (Shape.WHOLE, Shape.PIECEWISE):
        yield f"{head}content-length: {body_bytes}\r\n\r\n".encode()
        yield from _pieces(body_bytes if complete else body_bytes - 1)
    elif shape is Shape.HEAD_ONLY:
        yield f"{head}content-length: {BODY_BYTES}\r\n\r\n".encode()
    elif shape is Shape.ANNOUNCED_TOO_LONG:
        yield f"{head}content-length: {TOO_LONG_BYTES}\r\n\r\n".encode()
        yield from _pieces(BODY_BYTES)
    else:
        yield f"{head}transfer-encoding: chunked\r\n\r\n".encode()
        yield from _chunks(shape)
        if complete:
            yield b"0\r\n\r\n"


def _pieces(length: int) -> Iterator[bytes]:
    piece = b"x" * PIECE_BYTES
    for start in range(0, length, PIECE_BYTES):
        yield piece[: length - start]


def _chunks(shape: Shape) -> Iterator[bytes]:
    size, length = {
        Shape.LARGE_CHUNKS: (LARGE_CHUNK_BYTES, BODY_BYTES),
        Shape.SMALL_CHUNKS: (SMALL_CHUNK_BYTES, SMALL_CHUNKS_BODY_BYTES),
        Shape.SENT_TOO_LONG: (LARGE_CHUNK_BYTES, SENT_TOO_LONG_BYTES),
    }[shape]
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    repeats = max(PIECE_BYTES // len(chunk), 1)
    for _ in range(length // (size * repeats)):
        yield chunk * repeats


def _connect(port: int, parts: Iterator[bytes]) -> Client:
    sock = create_connection((ADDRESS, port))
    sock.setblocking(False)
    return Client(sock, parts)


def _send_side_by_side(clients: list[Client]) -> None:
    sending = {client.sock.fileno(): client for client in clients}
    ends_at = monotonic() + SEND_WITHIN_S
    while sending and monotonic() < ends_at:
        _, writable, _ = select([], list(sending), [], QUIET_S)
        if not writable:
            return
        for descriptor in writable:
            if not sending[descriptor].send_some():
                del sending[descriptor]
