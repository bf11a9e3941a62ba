"""Tests of the HTTP client: unsolicited, unframed, truncated and early responses.

A response to an earlier request may arrive late on a reused connection. It must not be returned as
the response to the current request.
"""

from struct import pack
from typing import Any

from curio import run, sleep, spawn, timeout_after
from curio.io import Socket
from curio.socket import SHUT_WR, SO_LINGER, SOL_SOCKET, socketpair
from pytest import mark, raises

from pollenbay.http1 import (
    HttpAnswerError,
    HttpExchangeError,
    HttpRequest,
    HttpResponse,
    header_value,
)
from pollenbay.httpclient import UNSOLICITED_RESPONSES_MAX, HttpClient
from pollenbay.stream import listen, open_stream, port_of

REQUEST = HttpRequest(b"GET", b"/", [(b"host", b"t")])
LONG_REQUEST = HttpRequest(b"PUT", b"/", [(b"host", b"t")], b"b" * 4_000_000)
RESPONSE_TIMEOUT_S = 4.0
#: The part of a response and the reset arrive in an order that differs from run to run.
RESET_ROUNDS = 40
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nname: mine\r\n\r\n"


def make_response(name: bytes, body: bytes = b"body") -> bytes:
    """Return the encoded response to the request with this name."""
    return b"HTTP/1.1 200 OK\r\nname: %s\r\ncontent-length: %d\r\n\r\n%s" % (name, len(body), body)


def is_expected(response: HttpResponse) -> bool:
    """Return whether a response belongs to the request of the tests."""
    return header_value(response.headers, b"name") == b"mine"


async def _exchange(data: bytes, unframed: bool) -> tuple[HttpResponse, HttpClient]:
    near, far = socketpair()
    sender = await spawn(_send, far, data)
    client = HttpClient(near, unframed=unframed)
    try:
        return await client.exchange(REQUEST, is_expected), client
    finally:
        await sender.cancel()
        await near.close()


async def _send(sock: Any, data: bytes) -> None:
    async with sock:
        await sock.recv(65536)
        await sock.sendall(data)


def exchange(data: bytes, unframed: bool = True) -> tuple[HttpResponse, HttpClient]:
    """Return the response read from these bytes, after which the server closes the connection."""
    return run(_exchange, data, unframed)


def test_late_response_to_an_earlier_request_is_skipped() -> None:
    response, client = exchange(
        make_response(b"other", b"wrong") + make_response(b"mine", b"right")
    )
    assert response.body == b"right"
    assert client.reusable


def test_too_many_unsolicited_responses_are_an_error() -> None:
    with raises(HttpAnswerError):
        exchange(make_response(b"other") * UNSOLICITED_RESPONSES_MAX + make_response(b"mine"))


def test_bytes_after_the_response_make_the_connection_unusable() -> None:
    response, client = exchange(make_response(b"mine", b"right") + make_response(b"mine", b"again"))
    assert response.body == b"right"
    assert not client.reusable


def test_response_framed_by_connection_close_is_complete() -> None:
    response, client = exchange(b"HTTP/1.1 200 OK\r\nname: mine\r\n\r\nwhole")
    assert response.body == b"whole"
    assert not client.reusable


def test_unframed_response_is_an_error_where_not_allowed() -> None:
    with raises(HttpAnswerError):
        exchange(b"HTTP/1.1 200 OK\r\nname: mine\r\n\r\nwhole", unframed=False)


# h11 joins a line that begins with a blank to the one before it and takes LF for the end of a line,
# so that the response had another head or body than the server sent.
@mark.parametrize("character", [*range(0x21), 0x7F])
@mark.parametrize("name", [b"%cx-odd", b"x-%codd", b"x-odd%c", b"%ccontent-length"])
def test_name_of_a_header_with_a_blank_or_control_character_is_an_error(
    name: bytes, character: int
) -> None:
    head = b"HTTP/1.1 200 OK\r\nname: mine\r\nx-last: 1\r\n" + name % character
    with raises(HttpAnswerError):
        exchange(head + b": 4\r\ncontent-length: 4\r\n\r\nbody")


@mark.parametrize("character", [each for each in range(0x20) if each != 0x09] + [0x7F])
def test_value_of_a_header_with_a_control_character_is_an_error(character: int) -> None:
    head = b"HTTP/1.1 200 OK\r\nname: mine\r\nx-odd: a%cb\r\n" % character
    with raises(HttpAnswerError):
        exchange(head + b"content-length: 4\r\n\r\nbody")


@mark.parametrize("value", [b"", b"a\tb", b"a b", b"\xe9", b'"quoted, value"; x=1'])
def test_any_other_value_of_a_header_is_passed_on(value: bytes) -> None:
    head = b"HTTP/1.1 200 OK\r\nname: mine\r\nx-usual: %s\r\n" % value
    response, _ = exchange(head + b"content-length: 4\r\n\r\nbody")
    assert header_value(response.headers, b"x-usual") == value
    assert response.body == b"body"


@mark.parametrize("status", [b"000", b"099", b"600", b"999", b"20", b"2000"])
def test_status_that_is_none_is_an_error(status: bytes) -> None:
    with raises(HttpAnswerError):
        exchange(make_response(b"mine").replace(b"200", status))


@mark.parametrize("version", [b"0.9", b"2.0", b"9.9"])
def test_version_that_is_not_spoken_is_an_error(version: bytes) -> None:
    with raises(HttpAnswerError):
        exchange(make_response(b"mine").replace(b"1.1", version))


@mark.parametrize("length", [1, 20, len(make_response(b"mine")) - 1])
def test_truncated_response_is_an_error(length: int) -> None:
    with raises((HttpAnswerError, HttpExchangeError)):
        exchange(make_response(b"mine")[:length])


async def _respond_early(sock: Any, closes: bool) -> None:
    await sock.recv(100)
    await sock.sendall(make_response(b"mine", b"early"))
    if closes:
        await sock.close()
        return
    await sleep(RESPONSE_TIMEOUT_S)


async def _exchange_long(closes: bool) -> tuple[HttpResponse, bool]:
    near, far = socketpair()
    client = HttpClient(near)
    server = await spawn(_respond_early, far, closes, daemon=True)
    async with timeout_after(RESPONSE_TIMEOUT_S / 2):
        response = await client.exchange(LONG_REQUEST, is_expected)
    reusable = client.reusable
    await server.cancel()
    await near.close()
    return response, reusable


@mark.parametrize("closes", [False, True])
def test_response_before_the_request_body_is_read_makes_the_connection_unusable(
    closes: bool,
) -> None:
    response, reusable = run(_exchange_long, closes)
    assert response.body == b"early"
    assert not reusable


async def _respond_and_reset(listener: Socket, data: bytes) -> None:
    sock, _ = await listener.accept()
    async with sock:
        await sock.recv(100)
        await sock.sendall(data)
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))


async def _exchange_until_reset(request: HttpRequest, data: bytes) -> HttpResponse:
    listener = listen("127.0.0.1", 0)
    server = await spawn(_respond_and_reset, listener, data, daemon=True)
    client = HttpClient(await open_stream("127.0.0.1", port_of(listener)), unframed=True)
    try:
        async with timeout_after(RESPONSE_TIMEOUT_S):
            return await client.exchange(request, is_expected)
    finally:
        await client.close()
        await server.cancel()
        await listener.close()


# A part of a response without a length passed for all of it if the upload met the reset first.
@mark.parametrize("request_", [LONG_REQUEST, REQUEST])
def test_unframed_response_is_incomplete_if_the_connection_is_reset(request_: HttpRequest) -> None:
    for _ in range(RESET_ROUNDS):
        with raises((HttpAnswerError, HttpExchangeError)):
            run(_exchange_until_reset, request_, UNFRAMED_HEAD + b"a part")


async def _respond_early_unframed(sock: Any) -> None:
    await sock.recv(100)
    await sock.sendall(UNFRAMED_HEAD + b"whole")
    await sock.shutdown(SHUT_WR)
    await sleep(RESPONSE_TIMEOUT_S)


async def _exchange_early_unframed() -> HttpResponse:
    near, far = socketpair()
    client = HttpClient(near, unframed=True)
    server = await spawn(_respond_early_unframed, far, daemon=True)
    try:
        async with timeout_after(RESPONSE_TIMEOUT_S / 2):
            return await client.exchange(LONG_REQUEST, is_expected)
    finally:
        await server.cancel()
        await client.close()


def test_early_unframed_response_is_complete_if_the_server_has_only_ended_it() -> None:
    assert run(_exchange_early_unframed).body == b"whole"
