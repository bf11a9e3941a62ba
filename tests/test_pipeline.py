"""Several requests sent on one connection before the first is answered, through a real node."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from socket import create_connection, socket

from curio import run, sleep
from curio.socket import socketpair
from harness import ADDRESS, Process, Processes, send, wait_until
from hypothesis import given
from hypothesis import strategies as st
from platform_node import HOST, PlatformNode, make_route
from pytest import fixture, mark

from pollenbay.http1 import HttpResponse
from pollenbay.httpserver import HttpServer
from pollenbay.pipeline import CALLS_MAX, make_pipeline

WORK_S = 0.6
RECEIVE_BYTES = 65536
#: Request by which the node was seen to serve.
PROBE = "0123456789abcdef"


class PipelinedClient:
    """One connection of a client; requests are named by a number."""

    def __init__(self, port: int) -> None:
        self._sock: socket = create_connection((ADDRESS, port), timeout=10)
        self._received = b""

    def send(self, *paths: str, first: int = 0, **headers: str) -> None:
        """Send one request for each path, all at once."""
        lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        requests = [
            f"GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-pollenbay-request-id: p{first + at}\r\n"
            f"{lines}\r\n"
            for at, path in enumerate(paths)
        ]
        self._sock.sendall("".join(requests).encode())

    def send_bytes(self, data: bytes) -> None:
        self._sock.sendall(data)

    def read(self, count: int) -> list[tuple[int, str]]:
        """Return status and request id of the next responses, in their order."""
        return [self._read_one() for _ in range(count)]

    def at_end(self) -> bool:
        """Return whether the node closes the connection without sending more."""
        try:
            return not self._received and self._sock.recv(1) == b""
        except ConnectionResetError:
            return True

    def close(self) -> None:
        self._sock.close()

    def _read_one(self) -> tuple[int, str]:
        while b"\r\n\r\n" not in self._received:
            self._receive()
        head, _, self._received = self._received.partition(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        length = int(headers.get("content-length", "0"))
        while len(self._received) < length:
            self._receive()
        self._received = self._received[length:]
        return int(lines[0].split()[1]), headers.get("x-pollenbay-request-id", "")

    def _receive(self) -> None:
        data = self._sock.recv(RECEIVE_BYTES)
        assert data, "the connection was closed before the response"
        self._received += data


@fixture
def served(tmp_path: Path) -> Iterator[tuple[PlatformNode, Process]]:
    """Yield a serving node with its stand-ins."""
    with Processes(tmp_path) as processes:
        platform = PlatformNode(processes, tmp_path)
        node = platform.serve(make_route("/safe/"), make_route("/unsafe/", "unsafe"))
        yield platform, node


def work(seconds: float, route: str = "safe") -> str:
    """Return the path of a request that takes this long."""
    return f"/{route}/?work_s={seconds}"


def started(platform: PlatformNode) -> set[str]:
    """Return the ids of the requests that the instance has begun."""
    return {each["name"] for each in platform.runs()}


def in_flight(node: Process) -> float:
    """Return the number of calls at the instance, as the node counts them."""
    text = send(node.ready["admin"], "/metrics").body.decode("utf-8")
    lines = [line for line in text.splitlines() if line.startswith("pollenbay_in_flight ")]
    return float(lines[0].split()[1])


class TestOrder:
    def test_requests_run_side_by_side_and_are_answered_in_order(self, served) -> None:
        platform, _ = served
        client = PipelinedClient(platform.requests_port)
        client.send(work(WORK_S), work(0), work(0.1), work(0))
        wait_until(lambda: {"p0", "p1", "p2", "p3"} <= started(platform), WORK_S, "all to run")
        assert client.read(4) == [(200, f"p{number}") for number in range(4)]

    def test_requests_that_follow_later_run_beside_the_first(self, served) -> None:
        platform, _ = served
        client = PipelinedClient(platform.requests_port)
        client.send(work(WORK_S))
        wait_until(lambda: platform.has_started("p0"), 2.0)
        client.send(work(0), first=1)
        wait_until(lambda: platform.has_started("p1"), WORK_S, "the second to run")
        assert client.read(2) == [(200, "p0"), (200, "p1")]

    def test_unsafe_request_runs_alone(self, served) -> None:
        platform, _ = served
        client = PipelinedClient(platform.requests_port)
        client.send(work(0.3), work(0.3, "unsafe"), work(0))
        assert client.read(1) == [(200, "p0")]
        wait_until(lambda: platform.has_started("p1"), 2.0)
        assert "p2" not in started(platform)
        assert client.read(2) == [(200, "p1"), (200, "p2")]
        names = [each["name"] for each in platform.runs() if each["name"].startswith("p")]
        assert names == ["p0", "p1", "p2"]

    def test_each_request_has_its_own_deadline(self, served) -> None:
        platform, _ = served
        client = PipelinedClient(platform.requests_port)
        client.send(work(WORK_S))
        client.send(work(5.0), first=1, x_pollenbay_deadline_ms="200")
        wait_until(lambda: {"p0", "p1"} <= started(platform), WORK_S)
        assert client.read(2) == [(200, "p0"), (504, "p1")]

    def test_number_of_requests_that_run_at_once_is_bounded(self, served) -> None:
        platform, _ = served
        client = PipelinedClient(platform.requests_port)
        client.send(*[work(WORK_S)] * (CALLS_MAX + 4))
        wait_until(lambda: len([each for each in started(platform) if each[0] == "p"]) >= 10, 2.0)
        assert f"p{CALLS_MAX}" not in started(platform)
        statuses = [status for status, _ in client.read(CALLS_MAX + 4)]
        assert statuses.count(200) >= CALLS_MAX


class TestEnd:
    def test_client_that_leaves_cancels_all(self, served) -> None:
        platform, node = served
        client = PipelinedClient(platform.requests_port)
        client.send(*[work(5.0)] * 4)
        wait_until(lambda: len(started(platform)) >= 5, 2.0)
        wait_until(lambda: in_flight(node) == 4, 2.0)
        client.close()
        wait_until(lambda: in_flight(node) == 0, 1.0, "the calls to be cancelled")

    def test_malformed_request_ends_only_what_follows_it(self, served) -> None:
        platform, _ = served
        client = PipelinedClient(platform.requests_port)
        client.send(work(0.3), work(0))
        client.send_bytes(b"\x00 no request\r\n\r\n")
        client.send(work(0), first=8)
        assert client.read(2) == [(200, "p0"), (200, "p1")]
        assert client.read(1)[0][0] == 400
        assert client.at_end()
        assert "p8" not in started(platform)

    def test_nothing_runs_behind_a_request_that_closes_the_connection(self, served) -> None:
        platform, _ = served
        client = PipelinedClient(platform.requests_port)
        client.send(work(0.3))
        client.send(work(0), first=1, connection="close")
        client.send(work(0), first=2)
        assert client.read(2) == [(200, "p0"), (200, "p1")]
        assert client.at_end()
        assert "p2" not in started(platform)

    def test_planned_stop_answers_all_that_was_begun(self, served) -> None:
        platform, node = served
        client = PipelinedClient(platform.requests_port)
        client.send(work(WORK_S), work(0.1), work(0.3))
        wait_until(lambda: {"p0", "p1", "p2"} <= started(platform), WORK_S)
        node.terminate()
        assert client.read(3) == [(200, "p0"), (200, "p1"), (200, "p2")]

    # A response that closed its connection, as the last one begun, left the request behind it
    # without an answer: read and waiting for its turn, received with the one before it, or unread.
    @mark.parametrize(
        "writes",
        [
            ([work(WORK_S), work(0, "unsafe")],),
            ([work(WORK_S, "unsafe"), work(0, "unsafe"), work(0)],),
            ([work(WORK_S, "unsafe")], [work(0, "unsafe"), work(0)]),
            ([work(WORK_S)] * (CALLS_MAX + 2),),
        ],
        ids=["read", "received", "unread", "waits-for-room"],
    )
    def test_planned_stop_answers_all_that_was_received(self, served, writes) -> None:
        platform, node = served
        client = PipelinedClient(platform.requests_port)
        client.send(*writes[0])
        wait_until(lambda: platform.has_started("p0"), 2.0)
        node.terminate()
        sent = len(writes[0])
        for paths in writes[1:]:
            client.send(*paths, first=sent)
            sent += len(paths)
        responses = client.read(sent)
        assert [name for _, name in responses] == [f"p{number}" for number in range(sent)]
        answered = {name for status, name in responses if status == 200}
        assert "p0" in answered and {status for status, _ in responses} <= {200, 503}
        assert answered == started(platform) - {PROBE}
        assert client.at_end()

    def test_interim_response_waits_for_the_responses_before_it(self, served) -> None:
        platform, _ = served
        client = PipelinedClient(platform.requests_port)
        client.send(work(0.3))
        client.send_bytes(
            f"PUT /safe/ HTTP/1.1\r\nhost: {HOST}\r\nx-pollenbay-request-id: p1\r\n"
            "content-length: 2\r\nexpect: 100-continue\r\n\r\n".encode()
        )
        assert client.read(2) == [(200, "p0"), (100, "")]
        client.send_bytes(b"ab")
        assert client.read(1) == [(200, "p1")]


@given(st.lists(st.sampled_from([0.0, 0.001, 0.003]), min_size=1, max_size=8))
def test_responses_are_in_the_order_of_the_requests(delays: list[float]) -> None:
    """Each response goes out once, whole and in order, whichever call ends first."""

    async def main() -> list[bytes]:
        near, far = socketpair()
        async with near, far:
            request = b"GET /%d HTTP/1.1\r\nhost: t\r\n\r\n"
            await far.sendall(b"".join(request % number for number in range(len(delays))))
            server = HttpServer(near)
            pipeline = make_pipeline(None)
            for delay_s in delays:
                await pipeline.start(
                    await server.read_request(),
                    server.detach_response(),
                    make_work(delay_s),
                )
            await pipeline.wait_until_empty()
            received = await far.recv(RECEIVE_BYTES)
        return received.split(b"HTTP/1.1 200 \r\n")[1:]

    numbers = iter(range(len(delays)))

    def make_work(delay_s: float):
        number = next(numbers)

        async def answer(task) -> HttpResponse:
            await sleep(delay_s)
            return HttpResponse(200, [], b"answer %d" % number)

        return answer

    bodies = [response.partition(b"\r\n\r\n")[2] for response in run(main)]
    assert bodies == [b"answer %d" % number for number in range(len(delays))]
