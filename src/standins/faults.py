"""Fault-injecting TCP proxy: listens, passes bytes on to an upstream, and breaks on demand.

On its control port ``POST /control`` sets a fault and ``GET /control`` returns the counts.
"""

from struct import pack

import click
from curio import CancelledError, Event, Task, TaskGroup, run, sleep, spawn
from curio.io import Socket
from curio.socket import AF_INET, SHUT_WR, SO_LINGER, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET
from curio.socket import socket as make_socket
from msgspec import MsgspecError
from msgspec.json import decode

from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.stream import StreamConnectError, accept_streams, listen, open_stream, port_of
from standins.commands.proxy import close_session, lose_answer, open_session, set_mode
from standins.listener import (
    LISTEN_ADDRESS,
    accept_http,
    json_response,
    print_ready,
    text_response,
)
from standins.proxy_state import AnyMode, Direction, ProxyState, Session, make_proxy_state
from standins.queries.proxy import delay_s, refuses

RECEIVE_BYTES = 65536
LISTEN_BACKLOG = 1024
RESET_ON_CLOSE = pack("ii", 1, 0)


class Proxy:
    """The proxy's sockets.

    :param listener: where it listens first; replaced when connections are refused.
    """

    def __init__(self, state: ProxyState, listener: Socket, address: str, port: int) -> None:
        self._state = state
        self._listener = listener
        self._listen_port = port_of(listener)
        self._upstream_address = address
        self._upstream_port = port
        self._accepting: Task | None = None

    @property
    def listen_port(self) -> int:
        """Return the port on which it listens."""
        return self._listen_port

    async def start(self) -> None:
        """Accept connections."""
        self._accepting = await spawn(accept_streams, self._listener, self._serve, daemon=True)

    async def control(self, request: HttpRequest) -> HttpResponse:
        """Answer one request on the control port."""
        if request.method == b"GET":
            return json_response(self._state.counts)
        try:
            mode = decode(request.body, type=AnyMode)
        except MsgspecError as error:
            return text_response(400, str(error))
        set_mode(self._state, mode)
        await self._open_or_refuse(mode)
        return json_response(mode)

    async def _open_or_refuse(self, mode: AnyMode) -> None:
        if refuses(mode) and self._accepting is not None:
            await self._accepting.cancel()
            self._accepting = None
            self._listener = _hold_port(self._listen_port)
        elif not refuses(mode) and self._accepting is None:
            self._listener.listen(LISTEN_BACKLOG)
            await self.start()

    async def _serve(self, downstream: Socket) -> None:
        session = Session(downstream)
        open_session(self._state, session)
        try:
            await self._carry(session)
        except CancelledError:
            _reset_on_close(session)
            raise
        finally:
            close_session(self._state, session)
            if session.upstream is not None:
                await session.upstream.close()

    async def _carry(self, session: Session) -> None:
        try:
            session.upstream = await open_stream(self._upstream_address, self._upstream_port)
        except StreamConnectError:
            return
        async with TaskGroup() as group:
            await group.spawn(self._pump, session, Direction.TO_UPSTREAM)
            await group.spawn(self._pump, session, Direction.TO_DOWNSTREAM)

    async def _pump(self, session: Session, direction: Direction) -> None:
        source, sink = session.ends(direction)
        while data := await source.recv(RECEIVE_BYTES):
            if lose_answer(self._state.mode, self._state, direction):
                raise ConnectionAbortedError("an answer is lost")
            await sleep(delay_s(self._state.mode))
            if direction in session.silent:
                self._state.counts.dropped_bytes += len(data)
            else:
                await sink.sendall(data)
        if direction in session.silent:
            await Event().wait()
        await sink.shutdown(SHUT_WR)


def _hold_port(port: int) -> Socket:
    """Return a socket that keeps a port and refuses connections, as it does not listen."""
    sock = make_socket(AF_INET, SOCK_STREAM)
    sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    sock.bind((LISTEN_ADDRESS, port))
    return sock


def _reset_on_close(session: Session) -> None:
    for sock in (session.downstream, session.upstream):
        if sock is not None:
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)


async def serve_proxy(port: int, control_port: int, address: str, upstream_port: int) -> None:
    """Listen for good."""
    state = make_proxy_state()
    proxy = Proxy(state, listen(LISTEN_ADDRESS, port), address, upstream_port)
    control = listen(LISTEN_ADDRESS, control_port)
    await proxy.start()
    print_ready(proxy.listen_port, port_of(control))
    await accept_http(control, proxy.control)


@click.command()
@click.option("--port", default=0, help="Port to listen on; 0 takes any free one.")
@click.option("--control-port", default=0, help="Port that takes faults and questions.")
@click.option("--upstream-address", default=LISTEN_ADDRESS, help="IP number to pass bytes to.")
@click.option("--upstream-port", type=int, required=True, help="Port to pass bytes to.")
def main(port: int, control_port: int, upstream_address: str, upstream_port: int) -> None:
    """Run a fault-injecting proxy until SIGTERM."""
    run(serve_proxy, port, control_port, upstream_address, upstream_port)


if __name__ == "__main__":
    main()
