"""The client's end of HTTP: answers to other requests, answers without a length, answers cut."""

from typing import Any

from curio import run, sleep, spawn, timeout_after
from curio.socket import socketpair
from pytest import mark, raises

from pollenbay.http1 import (
    HttpAnswerError,
    HttpExchangeError,
    HttpRequest,
    HttpResponse,
    header_value,
)
from pollenbay.httpclient import STRAYS_MAX, HttpClient

REQUEST = HttpRequest(b"GET", b"/", [(b"host", b"t")])
LONG_REQUEST = HttpRequest(b"PUT", b"/", [(b"host", b"t")], b"b" * 4_000_000)
ANSWERED_WITHIN_S = 4.0


def answer(name: bytes, body: bytes = b"body") -> bytes:
    """Return the bytes of an answer to a request of this name."""
    return b"HTTP/1.1 200 OK\r\nname: %s\r\ncontent-length: %d\r\n\r\n%s" % (name, len(body), body)


def belongs(response: HttpResponse) -> bool:
    """Tell whether an answer is to the request of the tests."""
    return header_value(response.headers, b"name") == b"mine"


async def _exchange(data: bytes, unframed: bool) -> tuple[HttpResponse, HttpClient]:
    near, far = socketpair()
    sender = await spawn(_send, far, data)
    client = HttpClient(near, unframed=unframed)
    try:
        return await client.exchange(REQUEST, belongs), client
    finally:
        await sender.cancel()
        await near.close()


async def _send(sock: Any, data: bytes) -> None:
    async with sock:
        await sock.recv(65536)
        await sock.sendall(data)


def exchange(data: bytes, unframed: bool = True) -> tuple[HttpResponse, HttpClient]:
    """Return the answer found in what a server sends before it closes."""
    return run(_exchange, data, unframed)


def test_a_late_answer_to_an_earlier_request_is_passed_over() -> None:
    response, client = exchange(answer(b"other", b"wrong") + answer(b"mine", b"right"))
    assert response.body == b"right"
    assert client.reusable


def test_too_many_strays_end_the_connection() -> None:
    with raises(HttpAnswerError):
        exchange(answer(b"other") * STRAYS_MAX + answer(b"mine"))


def test_bytes_past_the_answer_end_the_connection() -> None:
    response, client = exchange(answer(b"mine", b"right") + answer(b"mine", b"again"))
    assert response.body == b"right"
    assert not client.reusable


def test_an_answer_that_ends_with_the_connection() -> None:
    response, client = exchange(b"HTTP/1.1 200 OK\r\nname: mine\r\n\r\nwhole")
    assert response.body == b"whole"
    assert not client.reusable


def test_without_a_length_where_that_is_not_allowed() -> None:
    with raises(HttpAnswerError):
        exchange(b"HTTP/1.1 200 OK\r\nname: mine\r\n\r\nwhole", unframed=False)


@mark.parametrize("cut", [1, 20, len(answer(b"mine")) - 1])
def test_an_answer_that_is_cut_is_none(cut: int) -> None:
    with raises((HttpAnswerError, HttpExchangeError)):
        exchange(answer(b"mine")[:cut])


async def _answer_early(sock: Any, closes: bool) -> None:
    await sock.recv(100)
    await sock.sendall(answer(b"mine", b"early"))
    if closes:
        await sock.close()
        return
    await sleep(ANSWERED_WITHIN_S)


async def _exchange_long(closes: bool) -> tuple[HttpResponse, bool]:
    near, far = socketpair()
    client = HttpClient(near)
    server = await spawn(_answer_early, far, closes, daemon=True)
    async with timeout_after(ANSWERED_WITHIN_S / 2):
        response = await client.exchange(LONG_REQUEST, belongs)
    reusable = client.reusable
    await server.cancel()
    await near.close()
    return response, reusable


@mark.parametrize("closes", [False, True])
def test_an_answer_before_a_long_body_is_read_ends_the_connection(closes: bool) -> None:
    response, reusable = run(_exchange_long, closes)
    assert response.body == b"early"
    assert not reusable
