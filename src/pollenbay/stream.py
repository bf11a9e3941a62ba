"""TCP streams: connecting by IP address without name resolution, listening, and closed peers."""

from collections.abc import Awaitable, Callable, Iterable
from errno import EMFILE, ENFILE
from logging import getLogger
from select import POLLERR, POLLHUP, POLLIN, POLLRDHUP, poll

from curio import TaskGroup, TaskTimeout, ignore_after, sleep, timeout_after
from curio.io import Socket
from curio.socket import (
    AF_INET,
    IPPROTO_TCP,
    SHUT_WR,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
)
from curio.socket import socket as make_socket
from curio.traps import _read_wait as wait_readable

CONNECT_TIMEOUT_S = 1.0
BACKLOG_CONNECTIONS = 1024
#: Longest message whose parts are joined before they are sent.
JOINED_BYTES_MAX = 65536
#: Maximum time for which the other side may leave a connection open after the last bytes sent.
CLOSE_WAIT_S = 1.0
DISCARD_BYTES = 65536
CLOSED_EVENTS = POLLRDHUP | POLLHUP | POLLERR
#: Time between two attempts to accept a connection after one has failed.
ACCEPT_RETRY_S = 0.1
DESCRIPTOR_ERRNOS = frozenset({EMFILE, ENFILE})

LOG = getLogger("pollenbay.stream")

Serve = Callable[[Socket], Awaitable[None]]
FreeDescriptors = Callable[[], Awaitable[None]]


class StreamError(Exception):
    """Base class of the errors of this layer."""


class StreamConnectError(StreamError):
    """No connection could be opened within the time allowed."""


async def open_stream(address: str, port: int, timeout_s: float = CONNECT_TIMEOUT_S) -> Socket:
    """Open a connection to an IP address.

    :raises StreamConnectError: if it cannot be opened in time.
    """
    try:
        sock = make_socket(AF_INET, SOCK_STREAM)
    except OSError as error:
        raise StreamConnectError(f"{address}:{port}: {error}") from error
    try:
        await timeout_after(timeout_s, sock.connect, (address, port))
    except (OSError, OverflowError, ValueError, TaskTimeout) as error:
        # A port out of range raises OverflowError, an address with a NUL character ValueError.
        await sock.close()
        raise StreamConnectError(f"{address}:{port}: {error}") from error
    except BaseException:
        await sock.close()
        raise
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    return sock


def listen(address: str, port: int) -> Socket:
    """Return a listening socket; with port 0 the operating system selects the port."""
    sock = make_socket(AF_INET, SOCK_STREAM)
    sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(BACKLOG_CONNECTIONS)
    return sock


def port_of(sock: Socket) -> int:
    """Return the local port of a socket."""
    return sock.getsockname()[1]


async def accept_streams(
    sock: Socket, serve: Serve, free_descriptors: FreeDescriptors | None = None
) -> None:
    """Run one task for each accepted connection until cancelled, then cancel them all.

    :param free_descriptors: called when a connection waits because the process has no descriptor
        for it.
    """
    async with TaskGroup() as group:
        await group.spawn(_accept_each, sock, serve, free_descriptors, group)
        async for task in group:
            task.joined = True


async def _accept_each(
    sock: Socket, serve: Serve, free_descriptors: FreeDescriptors | None, group: TaskGroup
) -> None:
    failing = False
    async with sock:
        while True:
            try:
                stream, _ = await sock.accept()
            except OSError as error:
                # A listener that gave up would take the node out of service for good.
                if not failing:
                    LOG.warning("connections are not accepted", extra={"error": str(error)})
                failing = True
                if error.errno in DESCRIPTOR_ERRNOS and free_descriptors is not None:
                    await free_descriptors()
                await sleep(ACCEPT_RETRY_S)
                continue
            if failing:
                LOG.info("connections are accepted again")
            failing = False
            await group.spawn(_serve_one, stream, serve)


async def _serve_one(stream: Socket, serve: Serve) -> None:
    async with stream:
        try:
            stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            await serve(stream)
        except OSError:
            return


async def receive(sock: Socket, limit_bytes: int) -> bytes:
    """Wait for bytes and return them; empty when the other side has closed.

    It waits first, since data has rarely arrived already and an earlier attempt to read would
    usually waste a system call.

    :raises OSError: if the connection broke.
    """
    await wait_readable(sock)
    return await sock.recv(limit_bytes)


async def send_parts(sock: Socket, parts: list[bytes]) -> None:
    """Send parts of a message: in one write, or without a copy if they are long.

    :raises OSError: if the connection broke.
    """
    if len(parts) == 1 or sum(map(len, parts)) <= JOINED_BYTES_MAX:
        await sock.sendall(b"".join(parts))
        return
    for part in parts:
        await sock.sendall(part)


async def shut_down_sending(sock: Socket) -> None:
    """Tell the other side that no more bytes follow.

    :raises OSError: if the connection broke.
    """
    await sock.shutdown(SHUT_WR)


async def finish(sock: Socket, wait_s: float = CLOSE_WAIT_S) -> None:
    """End a connection after its last bytes: wait until the other side has closed it, too.

    What still arrives is discarded. A close with unread bytes, or before further ones, resets the
    connection, and what has not been delivered is lost.

    :param wait_s: maximum seconds to wait.
    :raises OSError: if the connection broke.
    """
    await shut_down_sending(sock)
    async with ignore_after(wait_s):
        while await receive(sock, DISCARD_BYTES):
            continue


def peer_has_closed(sock: Socket) -> bool:
    """Return, without waiting or reading, whether the other side has closed the connection."""
    return _has_event(sock, CLOSED_EVENTS)


def peer_has_sent_or_closed(sock: Socket) -> bool:
    """Return, without waiting or reading, whether the other side has sent bytes or closed."""
    return _has_event(sock, CLOSED_EVENTS | POLLIN)


def closed_by_peers(socks: Iterable[Socket]) -> set[int]:
    """Return, without waiting, the descriptors of the connections that their other sides closed."""
    poller = poll()
    for sock in socks:
        poller.register(sock.fileno(), CLOSED_EVENTS)
    return {descriptor for descriptor, _ in poller.poll(0)}


def _has_event(sock: Socket, events: int) -> bool:
    poller = poll()
    poller.register(sock.fileno(), events)
    return bool(poller.poll(0))
