"""Fault-injecting TCP proxy: forwards connections to an upstream and injects faults on request.

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
from standins.commands.proxy import close_session, lose_response, open_session, set_mode
from standins.listener import (
    LISTEN_ADDRESS,
    accept_http,
    json_response,
    print_ready,
    text_response,
)
from standins.proxy_state import AnyMode, Direction, ProxyState, Session, make_proxy_state
from standins.queries.proxy import delay_s, refuses_connections

RECEIVE_BYTES = 65536
LISTEN_BACKLOG = 1024
#: SO_LINGER value, on with a time-out of 0 s: closing the socket sends a reset.
RESET_ON_CLOSE = pack("ii", 1, 0)


class Proxy:
    """Fault-injecting TCP proxy.

    :param listener: initial listening socket; replaced while connections are refused.
    :param address: IP address of the upstream.
    :param port: port of the upstream.
    """

    def __init__(self, state: ProxyState, listener: Socket, address: str, port: int) -> None:
        self._state = state
        self._listener = listener
        self._listen_port = port_of(listener)
        self._upstream_address = address
        self._upstream_port = port
        self._accept_task: Task | None = None

    @property
    def listen_port(self) -> int:
        """Return the port that the proxy listens on."""
        return self._listen_port

    async def start(self) -> None:
        """Start to accept connections in the background."""
        self._accept_task = await spawn(accept_streams, self._listener, self._serve, daemon=True)

    async def control(self, request: HttpRequest) -> HttpResponse:
        """Handle a request on the control port."""
        if request.method == b"GET":
            return json_response(self._state.counts)
        try:
            mode = decode(request.body, type=AnyMode)
        except MsgspecError as error:
            return text_response(400, str(error))
        set_mode(self._state, mode)
        await self._update_listener(mode)
        return json_response(mode)

    async def _update_listener(self, mode: AnyMode) -> None:
        if refuses_connections(mode) and self._accept_task is not None:
            await self._accept_task.cancel()
            self._accept_task = None
            self._listener = _bind_without_listening(self._listen_port)
        elif not refuses_connections(mode) and self._accept_task is None:
            self._listener.listen(LISTEN_BACKLOG)
            await self.start()

    async def _serve(self, downstream: Socket) -> None:
        session = Session(downstream)
        open_session(self._state, session)
        try:
            await self._relay(session)
        except CancelledError:
            _reset_on_close(session)
            raise
        finally:
            close_session(self._state, session)
            if session.upstream is not None:
                await session.upstream.close()

    async def _relay(self, session: Session) -> None:
        try:
            session.upstream = await open_stream(self._upstream_address, self._upstream_port)
        except StreamConnectError:
            return
        async with TaskGroup() as group:
            await group.spawn(self._forward, session, Direction.TO_UPSTREAM)
            await group.spawn(self._forward, session, Direction.TO_DOWNSTREAM)

    async def _forward(self, session: Session, direction: Direction) -> None:
        source, sink = session.source_and_sink(direction)
        while data := await source.recv(RECEIVE_BYTES):
            if lose_response(self._state.mode, self._state, direction):
                raise ConnectionAbortedError("response dropped by the lose-answer fault")
            await sleep(delay_s(self._state.mode))
            if direction in session.stalled:
                self._state.counts.dropped_bytes += len(data)
            else:
                await sink.sendall(data)
        if direction in session.stalled:
            await Event().wait()
        await sink.shutdown(SHUT_WR)


def _bind_without_listening(port: int) -> Socket:
    # A socket that is bound but does not listen keeps the port and refuses connections.
    sock = make_socket(AF_INET, SOCK_STREAM)
    sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    sock.bind((LISTEN_ADDRESS, port))
    return sock


def _reset_on_close(session: Session) -> None:
    for sock in (session.downstream, session.upstream):
        if sock is not None:
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)


async def serve_proxy(port: int, control_port: int, address: str, upstream_port: int) -> None:
    """Run the proxy and its control port until cancelled."""
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
