"""Strategies for damaged input, and sockets without a network, for property tests."""

from __future__ import annotations

from collections.abc import Coroutine, Iterable, Iterator
from os import environ
from typing import Any, TypeVar

from hypothesis import settings
from hypothesis import strategies as st

#: Examples of each property; set it to a large number to search for longer by hand.
EXAMPLES = int(environ.get("FUZZ_EXAMPLES", "150"))
FUZZ = settings(max_examples=EXAMPLES, deadline=None)
#: Pieces that are likely to upset a decoder: nesting, large numbers, lengths and separators.
PIECES = (
    b"[" * 2000,
    b'{"a":' * 2000,
    b"\x91" * 5000,
    b"\x81\xa1a" * 3000,
    b"\xdd\xff\xff\xff\xff",
    b"\xdf\xff\xff\xff\xff",
    b"\xc6\xff\xff\xff\xff",
    b"\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00",
    b"\xcf" + b"\xff" * 8,
    b"\xd3\x80" + b"\x00" * 7,
    b"9" * 400,
    b"1e400",
    b"-1",
    b"null",
    b"NaN",
    b"\x00",
    b"\xff",
    b"\r\n",
    b"\r\n\r\n",
    b"0\r\n\r\n",
    b"transfer-encoding: chunked\r\n",
    b"content-length: " + b"9" * 5000 + b"\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
)
_Result = TypeVar("_Result")


@st.composite
def damaged(draw: st.DrawFn, samples: Iterable[bytes]) -> bytes:
    """Return one of the samples, or several, with bytes removed, replaced, moved or inserted."""
    samples = list(samples)
    data = draw(st.sampled_from(samples))
    for _ in range(draw(st.integers(0, 4))):
        start = draw(st.integers(0, len(data)))
        end = min(start + draw(st.integers(0, 6)), len(data))
        other = draw(st.sampled_from(samples))
        inserted = draw(
            st.one_of(
                st.binary(max_size=4),
                st.sampled_from(PIECES),
                st.just(other[draw(st.integers(0, len(other))) :]),
            )
        )
        data = data[:start] + inserted + data[end:]
    return data


@st.composite
def split(draw: st.DrawFn, data: bytes) -> list[bytes]:
    """Return the data cut into pieces at up to eight places."""
    cuts = sorted(draw(st.lists(st.integers(0, len(data)), max_size=8)))
    edges = [0, *cuts, len(data)]
    pieces = [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]
    return [piece for piece in pieces if piece]


class ScriptedSocket:
    """Socket that receives the given pieces, one with each read, and then the end of the stream.

    :ivar received: number of bytes read.
    """

    def __init__(self, pieces: Iterable[bytes]) -> None:
        self.received = 0
        self.sent = bytearray()
        self._pieces: Iterator[bytes] = iter(pieces)

    async def sendall(self, data: bytes) -> None:
        self.sent += data

    def read(self) -> bytes:
        piece = next(self._pieces, b"")
        self.received += len(piece)
        return piece


async def receive(sock: ScriptedSocket, limit_bytes: int) -> bytes:
    """Replace `pollenbay.stream.receive`."""
    return sock.read()


def drive(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Return the result of a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    coroutine.close()
    raise AssertionError("the coroutine waits")
