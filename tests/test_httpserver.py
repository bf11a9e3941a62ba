"""Tests of the HTTP server: input is a complete request, end of stream or an HTTP error."""

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
VALID_REQUEST = b"POST /stock/read HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\n\r\nhello"


async def read_requests(chunks: list[bytes]) -> list[HttpRequest]:
    """Return the requests read from these chunks, after which the client shuts down its side."""
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


def read_outcome(chunks: list[bytes]) -> list[HttpRequest] | HttpRequestError:
    """Return the requests read from these chunks, or the error raised."""
    try:
        return run(read_requests, chunks)
    except HttpRequestError as error:
        return error


class TestValid:
    """Valid requests."""

    @given(st.lists(st.integers(1, len(VALID_REQUEST) - 1), max_size=6))
    def test_request_split_into_any_chunks_is_read(self, cuts: list[int]) -> None:
        edges = [0, *sorted(cuts), len(VALID_REQUEST)]
        chunks = [VALID_REQUEST[start:end] for start, end in zip(edges, edges[1:], strict=False)]
        requests = read_outcome([chunk for chunk in chunks if chunk])
        assert isinstance(requests, list)
        assert [request.body for request in requests] == [b"hello"]

    def test_pipelined_requests_are_read(self) -> None:
        requests = read_outcome([VALID_REQUEST * 3])
        assert isinstance(requests, list)
        assert len(requests) == 3


class TestInvalid:
    """Malformed, truncated and oversized requests."""

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_not_a_request(self, data: bytes) -> None:
        outcome = read_outcome([data])
        assert isinstance(outcome, HttpRequestError) or outcome == []

    @given(st.integers(0, len(VALID_REQUEST) - 1), st.binary(min_size=1, max_size=4))
    def test_corrupted_request_is_read_or_rejected(self, position: int, replacement: bytes) -> None:
        outcome = read_outcome(
            [VALID_REQUEST[:position] + replacement + VALID_REQUEST[position + 1 :]]
        )
        if isinstance(outcome, list):
            assert all(isinstance(request.body, bytes) for request in outcome)
        else:
            assert 400 <= outcome.status < 600

    @given(st.integers(1, len(VALID_REQUEST) - 1))
    def test_truncated_request_is_never_read(self, length: int) -> None:
        outcome = read_outcome([VALID_REQUEST[:length]])
        assert isinstance(outcome, HttpRequestError) or outcome == []

    @pytest.mark.parametrize(
        ("make", "status"),
        [
            (lambda: b"GET / HTTP/1.1\r\nhost: t\r\nx: " + b"a" * 2 * HEADER_LIMIT_BYTES, 431),
            (lambda: VALID_REQUEST.replace(b"5\r\n", b"101\r\n"), 413),
            (lambda: VALID_REQUEST.replace(b"5\r\n", b"-5\r\n"), 400),
            (lambda: VALID_REQUEST[:-1], 400),
            (
                lambda: b"POST / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n"
                + b"64\r\n%b\r\n" % (b"a" * 100) * 2,
                413,
            ),
        ],
    )
    def test_invalid_request_is_rejected_with_its_status(
        self, make: Callable[[], bytes], status: int
    ) -> None:
        outcome = read_outcome([make()])
        assert isinstance(outcome, HttpRequestError)
        assert outcome.status == status
