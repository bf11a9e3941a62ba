"""Stand-in for a target: slots, cold start, nested calls, cancellation, deadlines and faults.

It serves ``/CALL`` and ``/SERVICE/CALL`` with any method. On its control port ``POST /control``
sets faults and ``GET /control/runs`` returns the run log.
"""

from pathlib import Path
from signal import SIGTERM, signal
from time import monotonic

import click
from curio import (
    CancelledError,
    Event,
    Semaphore,
    Task,
    TaskTimeout,
    current_task,
    run,
    sleep,
    spawn,
    timeout_after,
)
from curio.io import Socket
from curio.socket import MSG_PEEK
from msgspec import MsgspecError
from msgspec.json import decode
from msgspec.structs import replace

from pollenbay.announcement import ANNOUNCE_PERIOD_S
from pollenbay.http1 import HttpRequest, HttpResponse, header_value
from pollenbay.httpserver import HttpServer
from pollenbay.ids import CallName
from pollenbay.stream import accept_streams, listen, port_of
from pollenbay.timer import make_timer
from pollenbay.translation import DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER
from standins.commands.target import (
    begin_run,
    draw_failure,
    draw_service_time,
    finish_run,
    sample_load,
    set_faults,
)
from standins.listener import (
    accept_http,
    json_response,
    print_ready,
    read_or_refuse,
    text_response,
)
from standins.marker import DEFAULT_SIZE_BYTES, MARKER_HEADER, SIZE_HEADER, make_body
from standins.node_client import NodeClient, ParentCall, make_node_client
from standins.pool import make_pool
from standins.queries.target import find_call, make_announcement, run_log
from standins.target_settings import CallSettings, TargetSettings, read_target_settings
from standins.target_state import CallRun, Faults, TargetStore, make_target_store

FOREIGN_MARKER = "foreign"
TRUNCATED_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"


class Target:
    """Serves requests and runs their calls.

    :param downstream: client of the target's node; None without a node.
    """

    def __init__(self, store: TargetStore, downstream: NodeClient | None) -> None:
        self._store = store
        self._downstream = downstream
        self._slots = Semaphore(store.settings.slots)

    async def serve(self, sock: Socket) -> None:
        """Serve one connection until it closes."""
        server = HttpServer(sock)
        while (request := await read_or_refuse(server)) is not None:
            response = await self._respond(sock, request)
            if self._store.faults.cut_short:
                await sock.sendall(TRUNCATED_HEAD % len(response.body) + response.body[:-1])
                return
            if not await server.write_response(response):
                return

    async def control(self, request: HttpRequest) -> HttpResponse:
        """Handle a request on the control port."""
        if request.method == b"GET":
            return json_response(run_log(self._store))
        try:
            set_faults(self._store, decode(request.body, type=Faults))
        except MsgspecError as error:
            return text_response(400, str(error))
        return json_response(self._store.faults)

    async def announce(self, port: int) -> None:
        """Announce the target to its node, unless suppressed by a fault."""
        sample = sample_load(self._store, monotonic())
        if self._downstream is not None and not self._store.faults.silent:
            await self._downstream.announce(make_announcement(self._store, port, sample))

    async def _respond(self, sock: Socket, request: HttpRequest) -> HttpResponse:
        call = find_call(self._store, request.target.decode("ascii"))
        if call is None:
            return text_response(404, "no such call")
        self._store.counts.received += 1
        if self._store.settings.shed and self._store.in_flight >= self._store.settings.slots:
            self._store.counts.shed += 1
            return text_response(503, "all slots are taken")
        watcher = await spawn(_cancel_when_closed, sock, await current_task(), daemon=True)
        self._store.in_flight += 1
        try:
            return await self._run_with_deadline(call, request)
        except ValueError as error:
            return text_response(400, str(error))
        except CancelledError:
            self._store.counts.cancelled += 1
            raise
        finally:
            self._store.in_flight -= 1
            # Two tasks must never wait for one socket: the next request is read only once the
            # watcher has ended.
            await watcher.cancel()

    async def _run_with_deadline(self, call: CallName, request: HttpRequest) -> HttpResponse:
        text = header_value(request.headers, DEADLINE_HEADER)
        if text is None:
            return await self._run_in_slot(call, request, None)
        remaining_s = float(text) / 1000.0
        deadline = monotonic() + remaining_s
        try:
            return await timeout_after(remaining_s, self._run_in_slot, call, request, deadline)
        except TaskTimeout:
            self._store.counts.expired += 1
            return text_response(504, "past its deadline")

    async def _run_in_slot(
        self, call: CallName, request: HttpRequest, deadline: float | None
    ) -> HttpResponse:
        marker = (header_value(request.headers, MARKER_HEADER) or b"-").decode("latin-1")
        key = header_value(request.headers, IDEMPOTENCY_KEY_HEADER)
        key_text = None if key is None else key.decode("latin-1")
        async with self._slots:
            call_run = begin_run(self._store, call, key_text, marker, monotonic())
            return await self._execute(call_run, ParentCall(request.headers, marker, deadline))

    async def _execute(self, call_run: CallRun, parent: ParentCall) -> HttpResponse:
        if self._store.faults.hang:
            await Event().wait()
        await sleep(draw_service_time(self._store, call_run.call, monotonic()))
        call = self._store.calls[call_run.call]
        if call.calls and not await self._make_nested_calls(call, parent):
            self._store.counts.calls_failed += 1
            return text_response(502, "a call failed")
        finish_run(self._store, call_run)
        if draw_failure(self._store):
            self._store.counts.failed += 1
            return text_response(500, "failed")
        marker = FOREIGN_MARKER if self._store.faults.foreign else parent.marker
        return _make_response(parent, marker)

    async def _make_nested_calls(self, call: CallSettings, parent: ParentCall) -> bool:
        return self._downstream is not None and await self._downstream.call_all(call, parent)


def _make_response(parent: ParentCall, marker: str) -> HttpResponse:
    size = int(header_value(parent.headers, SIZE_HEADER) or DEFAULT_SIZE_BYTES)
    headers = [(b"content-type", b"text/plain"), (MARKER_HEADER, marker.encode("latin-1"))]
    return HttpResponse(200, headers, make_body(marker, size))


async def _cancel_when_closed(sock: Socket, task: Task) -> None:
    try:
        data = await sock.recv(1, MSG_PEEK)
    except OSError:
        data = b""
    if not data:
        await task.cancel(blocking=False)


async def serve_target(settings: TargetSettings) -> None:
    """Serve until SIGTERM, then until the linger time is over and no call is in flight."""
    store = make_target_store(settings, monotonic())
    downstream = None
    if settings.node_port:
        pool = make_pool(settings.node_address, settings.node_port)
        downstream = make_node_client(pool, store.counts)
    target = Target(store, downstream)
    listener = listen(settings.address, settings.port)
    control = listen(settings.address, settings.control_port)
    await spawn(accept_streams, listener, target.serve, daemon=True)
    await spawn(accept_http, control, target.control, daemon=True)
    signal(SIGTERM, lambda number, frame: setattr(store, "stopping", True))
    print_ready(port_of(listener), port_of(control))
    await _announce_until_stopped(store, target, port_of(listener))


async def _announce_until_stopped(store: TargetStore, target: Target, port: int) -> None:
    timer = make_timer()
    await spawn(timer.run, daemon=True)
    subscription = timer.subscribe(ANNOUNCE_PERIOD_S)
    stopping_at = None
    while True:
        await target.announce(port)
        await subscription.wait()
        if store.stopping and stopping_at is None:
            stopping_at = monotonic()
        lingered = stopping_at is not None and _linger_elapsed(store, stopping_at)
        if lingered and store.in_flight == 0:
            return


def _linger_elapsed(store: TargetStore, stopping_at: float) -> bool:
    return monotonic() - stopping_at >= store.settings.linger_s


@click.command()
@click.option(
    "--config", required=True, type=click.Path(exists=True, path_type=Path), help="Settings file."
)
@click.option("--node-port", type=int, help="Outbound port of its node, in place of the file's.")
def main(config: Path, node_port: int | None) -> None:
    """Run a target stand-in until SIGTERM and the end of the calls in flight."""
    settings = read_target_settings(config)
    if node_port is not None:
        settings = replace(settings, node_port=node_port)
    run(serve_target, settings)


if __name__ == "__main__":
    main()
