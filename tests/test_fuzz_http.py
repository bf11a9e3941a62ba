"""Damaged, split, repeated and endless HTTP messages, on both sides of a connection."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, repeat
from tracemalloc import get_traced_memory, start, stop

import pytest
from fuzzing import FUZZ, ScriptedSocket, damaged, drive, receive, split
from hypothesis import given
from hypothesis import strategies as st

from pollenbay.call import Call
from pollenbay.dialect import DialectError
from pollenbay.http1 import (
    FRAMING_LIMIT_BYTES,
    HEADER_LIMIT_BYTES,
    RECEIVE_BYTES,
    HttpAnswerError,
    HttpExchangeError,
    HttpRequest,
    HttpRequestError,
    HttpResponse,
    header_value,
)
from pollenbay.httpclient import HttpClient
from pollenbay.httpserver import HttpServer
from pollenbay.ids import CallerId, CallName, RequestId, ServiceName
from pollenbay.outcome import Answered, NotRun
from pollenbay.platform.instance import make_instance_dialect
from pollenbay.states import CallClass

BODY_LIMIT_BYTES = 100_000
#: Bytes that may be read of a message that never ends: its body with the framing, and one read.
ENDLESS_LIMIT_BYTES = BODY_LIMIT_BYTES * 9 + FRAMING_LIMIT_BYTES + 2 * RECEIVE_BYTES
CLIENT_ERRORS = (HttpAnswerError, HttpExchangeError, DialectError)
REQUEST = HttpRequest(b"GET", b"/", [(b"host", b"t")])
CALL = Call(
    request=RequestId("mine"),
    service=ServiceName("stock"),
    name=CallName("read"),
    call_class=CallClass.NORMAL,
    caller=CallerId(""),
    method="GET",
    path="/",
    headers=[],
    body=b"",
    deadline=1.0,
)
REQUESTS = [
    b"POST /stock/read HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\n\r\nhello",
    b"GET /a?b=c HTTP/1.1\r\nhost: t\r\nx-pollenbay-request-id: 7\r\n\r\n",
    b"PUT / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nx: y\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n",
]


@pytest.fixture(autouse=True)
def scripted_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Read from `ScriptedSocket` in place of sockets."""
    monkeypatch.setattr("pollenbay.httpclient.receive", receive)
    monkeypatch.setattr("pollenbay.httpserver.receive", receive)


def make_answer(name: bytes | None, refusal: bool, framing: str = "length") -> bytes:
    """Return an instance's response to the request with this id; with no id if `name` is None."""
    lines = [b"HTTP/1.1 503 Full" if refusal else b"HTTP/1.1 200 OK"]
    if name is not None:
        lines.append(b"x-pollenbay-request-id: " + name)
    mark = b"x-pollenbay-not-executed: 1" if refusal else b"x-pollenbay-server-signature: s"
    lines.append(mark)
    body = b"answer to " + (name or b"nobody")
    if framing == "length":
        lines.append(b"content-length: %d" % len(body))
    elif framing == "chunked":
        lines.append(b"transfer-encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return b"\r\n".join([*lines, b"", body])


ANSWERS = [
    make_answer(name, refusal, framing)
    for name in (b"mine", b"other", None)
    for refusal in (False, True)
    for framing in ("length", "chunked", "unframed")
]


def exchange(pieces: Iterator[bytes] | list[bytes]) -> tuple[Answered | NotRun, HttpResponse]:
    """Return the outcome of a call for which these bytes are received, and the response."""
    dialect = make_instance_dialect()
    client = HttpClient(ScriptedSocket(pieces), BODY_LIMIT_BYTES, unframed=True)

    def is_response(response: HttpResponse) -> bool:
        return dialect.is_response_to(CALL, response)

    response = drive(client.exchange(REQUEST, is_response))
    return dialect.outcome(CALL, response), response


def read_requests(pieces: list[bytes]) -> tuple[list[HttpRequest], int]:
    """Return the requests read from these bytes, and the status of the error that ended them."""
    server = HttpServer(ScriptedSocket(pieces), BODY_LIMIT_BYTES)
    requests: list[HttpRequest] = []
    try:
        while (request := drive(server.read_request())) is not None:
            requests.append(request)
            if not drive(server.write_response(HttpResponse(200, [], b"ok"))):
                break
    except HttpRequestError as error:
        return requests, error.status
    return requests, 0


class TestClient:
    @FUZZ
    @given(st.data())
    def test_damaged_responses_give_the_answer_to_the_request_or_an_error(self, data) -> None:
        received = data.draw(damaged(ANSWERS)) + data.draw(damaged(ANSWERS))
        try:
            outcome, response = exchange(data.draw(split(received)))
        except CLIENT_ERRORS:
            return
        assert header_value(response.headers, b"x-pollenbay-request-id") == b"mine"
        assert isinstance(outcome, Answered | NotRun)

    @FUZZ
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([b"mine", b"other", None]),
                st.booleans(),
                st.sampled_from(["length", "chunked"]),
            ),
            max_size=5,
        ),
        st.data(),
    )
    def test_only_the_first_response_with_the_id_counts(self, answers, data) -> None:
        received = b"".join(make_answer(*answer) for answer in answers)
        names = [name for name, _, _ in answers]
        skipped = next((at for at, name in enumerate(names) if name != b"other"), len(names))
        is_answered = skipped < 2 and names[skipped : skipped + 1] == [b"mine"]
        try:
            outcome, response = exchange(data.draw(split(received)))
        except CLIENT_ERRORS:
            assert not is_answered
            return
        assert is_answered
        assert isinstance(outcome, NotRun) == answers[skipped][1]
        assert response.body == b"answer to mine"

    @pytest.mark.parametrize(
        "start, more",
        [
            (b"HTTP/1.1 200 OK\r\nx: ", b"a" * 1000),
            (b"HTTP/1.1 200 OK\r\n", b"x: a\r\n" * 100),
            (b"", b"a" * 1000),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (b"", b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" * 40),
            (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 1000),
            (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"1\r\na\r\n" * 100),
            (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"3e8\r\n" + b"a" * 1000),
            (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", b"x=" + b"y" * 1000),
            (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                b"1;" + b"y" * 10_000 + b"\r\na\r\n",
            ),
            (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"x: a\r\n" * 100),
            (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: ", b"a" * 1000),
        ],
        ids=[
            "header",
            "headers",
            "status-line",
            "interim",
            "interim-with-headers",
            "body-without-length",
            "tiny-chunks",
            "chunk-without-end",
            "chunk-extension",
            "chunk-extensions",
            "trailers",
            "trailer",
        ],
    )
    def test_response_without_end_is_given_up(self, start: bytes, more: bytes) -> None:
        sock = ScriptedSocket(chain([start] if start else [], repeat(more)))
        client = HttpClient(sock, BODY_LIMIT_BYTES, unframed=True)
        with pytest.raises(HttpAnswerError):
            drive(client.exchange(REQUEST))
        assert sock.received <= ENDLESS_LIMIT_BYTES
        assert not client.reusable

    def test_tiny_chunks_take_little_more_memory_than_their_bytes(self) -> None:
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        pieces = chain([head], repeat(b"1\r\na\r\n" * 1000, 90), [b"0\r\n\r\n"])
        client = HttpClient(ScriptedSocket(pieces), BODY_LIMIT_BYTES)
        start()
        try:
            assert drive(client.exchange(REQUEST)).body == b"a" * 90_000
            assert get_traced_memory()[1] < 10 * BODY_LIMIT_BYTES
        finally:
            stop()


class TestServer:
    @FUZZ
    @given(st.data())
    def test_damaged_requests_raise_only_the_error_of_the_layer(self, data) -> None:
        received = data.draw(damaged(REQUESTS)) + data.draw(damaged(REQUESTS))
        _, status = read_requests(data.draw(split(received)))
        assert status == 0 or 400 <= status < 600

    @FUZZ
    @given(st.lists(st.sampled_from(REQUESTS), max_size=4), st.data())
    def test_requests_are_the_same_however_they_are_split(self, requests, data) -> None:
        received = b"".join(requests)
        whole = read_requests([received] if received else [])
        assert read_requests(data.draw(split(received))) == whole

    @pytest.mark.parametrize(
        "start, more",
        [
            (b"GET /", b"a" * 1000),
            (b"GET / HTTP/1.1\r\nx: ", b"a" * 1000),
            (b"GET / HTTP/1.1\r\nhost: t\r\n", b"x: a\r\n" * 100),
            (b"\r\n", b"\r\n" * 100),
            (
                b"PUT / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n",
                b"1\r\na\r\n" * 99,
            ),
            (
                b"PUT / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n",
                b"1;" + b"y" * 10_000 + b"\r\na\r\n",
            ),
            (
                b"PUT / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                b"x: a\r\n" * 100,
            ),
        ],
        ids=["target", "header", "headers", "empty-lines", "chunks", "extensions", "trailers"],
    )
    def test_request_without_end_is_rejected(self, start: bytes, more: bytes) -> None:
        sock = ScriptedSocket(chain([start], repeat(more)))
        with pytest.raises(HttpRequestError) as caught:
            drive(HttpServer(sock, BODY_LIMIT_BYTES).read_request())
        assert caught.value.status in (400, 413, 431)
        assert sock.received <= max(ENDLESS_LIMIT_BYTES, 2 * HEADER_LIMIT_BYTES)

    @pytest.mark.parametrize("response", [
        HttpResponse(100, []),
        HttpResponse(200, [(b"bad name", b"x")]),
        HttpResponse(200, [(b"x", b"a\r\nb: c")]),
    ])  # fmt: skip
    def test_response_that_cannot_be_sent_becomes_a_failure(self, response: HttpResponse) -> None:
        sock = ScriptedSocket([REQUESTS[1]])
        server = HttpServer(sock)
        drive(server.read_request())
        assert drive(server.write_response(response))
        assert bytes(sock.sent).startswith(b"HTTP/1.1 502 ")
