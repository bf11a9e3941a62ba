"""Calls that are cancelled or time out leave no memory behind for the cycle collector."""

import gc
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from tracemalloc import get_traced_memory, start, stop

from curio import TaskCancelled, TaskTimeout, ignore_after, run, sleep, spawn, timeout_after
from curio.io import Socket
from curio.socket import socketpair
from pytest import fixture, mark, raises

from pollenbay.http1 import HttpError, HttpRequest, HttpResponse
from pollenbay.httpclient import HttpClient
from pollenbay.httpserver import HttpServer
from pollenbay.ids import make_call_id
from pollenbay.link import LENGTH_PREFIX, Link, LinkError
from pollenbay.linkmessage import ResponseMessage
from pollenbay.task import AcyclicTask

BODY = b"x" * 1_000_000
ROUNDS = 5
#: Somewhat more than one body, since curio refers to the task of the last event until the next one.
LEFT_BYTES_MAX = 1_500_000
#: Within this time one side has sent what the other reads of it.
SENT_WITHIN_S = 0.05
NEVER_S = 3600.0

Work = Callable[[Socket], Awaitable[object]]


@fixture(autouse=True)
def no_collector() -> Iterator[None]:
    """Keep the cycle collector from running."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def read_response(sock: Socket) -> None:
    """Read a response whose end does not come."""
    await HttpClient(sock).exchange(HttpRequest(b"GET", b"/", [(b"host", b"t")]))


async def send_part_of_response(sock: Socket) -> None:
    """Send a response without its end."""
    await sock.recv(65536)
    await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (2 * len(BODY)) + BODY)
    await sleep(NEVER_S)


async def read_request(sock: Socket) -> None:
    """Read a request whose end does not come."""
    await HttpServer(sock).read_request()


async def send_part_of_request(sock: Socket) -> None:
    """Send a request without its end."""
    head = b"POST / HTTP/1.1\r\nhost: t\r\ncontent-length: %d\r\n\r\n" % (2 * len(BODY))
    await sock.sendall(head + BODY)
    await sleep(NEVER_S)


async def receive_message(sock: Socket) -> None:
    """Receive a message of another node whose end does not come."""
    await Link(sock).receive()


async def send_part_of_message(sock: Socket) -> None:
    """Send a message to another node without its end."""
    await sock.sendall(LENGTH_PREFIX.pack(2 * len(BODY)) + BODY)
    await sleep(NEVER_S)


async def leave_in_response(sock: Socket) -> None:
    """Close the connection in the middle of a response."""
    await sock.recv(65536)
    await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (2 * len(BODY)) + BODY)
    await sock.close()


async def break_response(sock: Socket) -> None:
    """Send what is no chunk after the first one of a response."""
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n" % len(BODY)
    await sock.recv(65536)
    await sock.sendall(head + BODY + b"\r\nnone\r\n")


async def leave_in_request(sock: Socket) -> None:
    """Close the connection in the middle of a request."""
    head = b"POST / HTTP/1.1\r\nhost: t\r\ncontent-length: %d\r\n\r\n" % (2 * len(BODY))
    await sock.sendall(head + BODY)
    await sock.close()


async def break_request(sock: Socket) -> None:
    """Send what is no chunk after the first one of a request."""
    head = b"POST / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n" % len(BODY)
    await sock.sendall(head + BODY + b"\r\nnone\r\n")


async def leave_in_message(sock: Socket) -> None:
    """Close the connection in the middle of a message to another node."""
    await sock.sendall(LENGTH_PREFIX.pack(2 * len(BODY)) + BODY)
    await sock.close()


async def leave_before_response(sock: Socket) -> None:
    """Close the connection while a request is sent."""
    await sock.recv(65536)
    await sock.close()


async def send_request(sock: Socket) -> None:
    """Send a request that is not read."""
    request = HttpRequest(b"PUT", b"/", [(b"host", b"t")], bytes(bytearray(BODY)))
    await HttpClient(sock).exchange(request)


async def send_response(sock: Socket) -> None:
    """Send a response that is not read."""
    server = HttpServer(sock)
    await server.read_request()
    await server.write_response(HttpResponse(200, [], bytes(bytearray(BODY))))


async def send_message(sock: Socket) -> None:
    """Send a message to another node that is not read."""
    await Link(sock).send(ResponseMessage(make_call_id(), 200, [], bytes(bytearray(BODY)), 0))


async def send_short_request(sock: Socket) -> None:
    """Send a request and read no response."""
    await sock.sendall(b"GET / HTTP/1.1\r\nhost: t\r\n\r\n")
    await sleep(NEVER_S)


async def stay_silent(sock: Socket) -> None:
    """Read nothing."""
    await sleep(NEVER_S)


async def cancel(work: Work, sock: Socket) -> None:
    """Run work in a task of its own and cancel it."""
    task = await spawn(work, sock)
    await sleep(SENT_WITHIN_S)
    await task.cancel()
    assert isinstance(task.exception, TaskCancelled)


async def time_out(work: Work, sock: Socket) -> None:
    """Run work that times out."""
    with raises(TaskTimeout):
        await timeout_after(SENT_WITHIN_S, work, sock)


async def time_out_around(work: Work, sock: Socket) -> None:
    """Run work with a time-out of its own that an outer one precedes."""
    with raises(TaskTimeout):
        async with timeout_after(SENT_WITHIN_S):
            await timeout_after(NEVER_S, work, sock)


async def fail(work: Work, sock: Socket) -> None:
    """Run work that ends by an error or by the close of the other side."""
    with suppress(HttpError, LinkError, OSError):
        assert await work(sock) is None


async def measure(end: Callable[[Work, Socket], Awaitable[None]], work: Work, other: Work) -> int:
    """Return the bytes that stay allocated after work that does not come to its end."""
    await _run_once(end, work, other)
    start()
    try:
        for _ in range(ROUNDS):
            await _run_once(end, work, other)
        return get_traced_memory()[0]
    finally:
        stop()


async def _run_once(
    end: Callable[[Work, Socket], Awaitable[None]], work: Work, other: Work
) -> None:
    near, far = socketpair()
    peer = await spawn(other, far)
    async with near, far:
        await end(work, near)
        await peer.cancel()


# Bodies of cancelled calls stayed in cycles of exception, traceback and frames until the collector
# ran, so that a node beside a slow instance outgrew its memory and was killed.
@mark.parametrize("end", [cancel, time_out, time_out_around])
@mark.parametrize(
    ("work", "other"),
    [
        (read_response, send_part_of_response),
        (read_request, send_part_of_request),
        (receive_message, send_part_of_message),
        (send_request, stay_silent),
        (send_response, send_short_request),
        (send_message, stay_silent),
    ],
)
def test_body_is_freed_when_its_call_ends_early(
    end: Callable[[Work, Socket], Awaitable[None]], work: Work, other: Work
) -> None:
    assert run(measure, end, work, other, taskcls=AcyclicTask) < LEFT_BYTES_MAX


@mark.parametrize(
    ("work", "other"),
    [
        (read_response, leave_in_response),
        (read_response, break_response),
        (read_request, leave_in_request),
        (read_request, break_request),
        (receive_message, leave_in_message),
        (send_request, leave_before_response),
    ],
)
def test_body_is_freed_when_the_other_side_leaves_or_errs(work: Work, other: Work) -> None:
    assert run(measure, fail, work, other, taskcls=AcyclicTask) < LEFT_BYTES_MAX


# The exception that is handled while a task is cancelled becomes the context of the cancellation.
def test_body_is_freed_when_its_call_is_cancelled_while_it_handles_an_error() -> None:
    async def fail_slowly(sock: Socket) -> None:
        body = bytearray(BODY)
        try:
            raise ValueError(len(body))
        except ValueError:
            await sleep(NEVER_S)

    assert run(measure, cancel, fail_slowly, stay_silent, taskcls=AcyclicTask) < LEFT_BYTES_MAX


def test_task_goes_on_after_a_time_out() -> None:
    async def wait_twice() -> list[str]:
        kept = ["kept"]
        try:
            await timeout_after(0.0, sleep, NEVER_S)
        except TaskTimeout as error:
            await sleep(0)
            kept.append(type(error).__name__)
        await ignore_after(0.0, sleep, NEVER_S)
        return kept

    assert run(wait_twice, taskcls=AcyclicTask) == ["kept", "TaskTimeout"]


def test_end_of_a_task_by_cancellation_is_known() -> None:
    async def cancel_one() -> BaseException | None:
        task = await spawn(sleep, NEVER_S)
        await sleep(0)
        await task.cancel()
        return task.exception

    assert isinstance(run(cancel_one, taskcls=AcyclicTask), TaskCancelled)


# The log line of a crash has its traceback.
def test_error_of_a_task_keeps_its_traceback() -> None:
    async def fail() -> None:
        raise ValueError

    async def run_failing() -> bool:
        task = await spawn(fail)
        with suppress(BaseException):
            await task.join()
        return task.exception.__traceback__ is not None

    assert run(run_failing, taskcls=AcyclicTask)
