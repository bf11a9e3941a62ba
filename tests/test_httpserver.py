"""The server's end of HTTP: whatever arrives is a whole request, an end or a stated refusal."""

from collections.abc import Callable
from typing import Any

import pytest
from curio import run, spawn
from curio.socket import SHUT_WR, socketpair
from hypothesis import given
from hypothesis import strategies as st

from pollenbay.http1 import HEADER_LIMIT_BYTES, HttpRequest, HttpRequestError, HttpResponse
from pollenbay.httpserver import HttpServer

LIMIT_BYTES = 100
GOOD = b"POST /stock/read HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\n\r\nhello"


async def read_sent(chunks: list[bytes]) -> list[HttpRequest]:
    """Return the requests read from these chunks, after which the client sends no more."""
    near, far = socketpair()
    sender = await spawn(_send, far, chunks)
    requests = []
    async with near, far:
        server = HttpServer(near, LIMIT_BYTES)
        try:
            while (request := await server.read_request()) is not None:
                requests.append(request)
                await server.write_response(HttpResponse(200, [], b"ok"))
        finally:
            await sender.cancel()
    return requests


async def _send(sock: Any, chunks: list[bytes]) -> None:
    for chunk in chunks:
        await sock.sendall(chunk)
    await sock.shutdown(SHUT_WR)


def outcome_of(chunks: list[bytes]) -> list[HttpRequest] | HttpRequestError:
    """Return what reading these chunks comes to."""
    try:
        return run(read_sent, chunks)
    except HttpRequestError as error:
        return error


class TestWhole:
    """Requests that are right."""

    @given(st.lists(st.integers(1, len(GOOD) - 1), max_size=6))
    def test_however_they_are_split(self, cuts: list[int]) -> None:
        edges = [0, *sorted(cuts), len(GOOD)]
        chunks = [GOOD[start:end] for start, end in zip(edges, edges[1:], strict=False)]
        requests = outcome_of([chunk for chunk in chunks if chunk])
        assert isinstance(requests, list)
        assert [request.body for request in requests] == [b"hello"]

    def test_pipelined(self) -> None:
        requests = outcome_of([GOOD * 3])
        assert isinstance(requests, list)
        assert len(requests) == 3


class TestBroken:
    """Requests that are not."""

    @given(st.binary(max_size=200))
    def test_any_bytes(self, data: bytes) -> None:
        outcome = outcome_of([data])
        assert isinstance(outcome, HttpRequestError) or outcome == []

    @given(st.integers(0, len(GOOD) - 1), st.binary(min_size=1, max_size=4))
    def test_any_change_of_a_good_request(self, place: int, other: bytes) -> None:
        outcome = outcome_of([GOOD[:place] + other + GOOD[place + 1 :]])
        if isinstance(outcome, list):
            assert all(isinstance(request.body, bytes) for request in outcome)
        else:
            assert 400 <= outcome.status < 600

    @given(st.integers(1, len(GOOD) - 1))
    def test_cut_short_is_never_a_request(self, length: int) -> None:
        outcome = outcome_of([GOOD[:length]])
        assert isinstance(outcome, HttpRequestError) or outcome == []

    @pytest.mark.parametrize(
        ("make", "status"),
        [
            (lambda: b"GET / HTTP/1.1\r\nhost: t\r\nx: " + b"a" * 2 * HEADER_LIMIT_BYTES, 431),
            (lambda: GOOD.replace(b"5\r\n", b"101\r\n"), 413),
            (lambda: GOOD.replace(b"5\r\n", b"-5\r\n"), 400),
            (lambda: GOOD[:-1], 400),
            (
                lambda: b"POST / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n"
                + b"64\r\n%b\r\n" % (b"a" * 100) * 2,
                413,
            ),
        ],
    )
    def test_status(self, make: Callable[[], bytes], status: int) -> None:
        outcome = outcome_of([make()])
        assert isinstance(outcome, HttpRequestError)
        assert outcome.status == status
