"""A target that responds with arbitrary bytes, valid HTTP or not."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from socket import create_server, socket
from threading import Event, Thread
from time import sleep

from harness import ADDRESS, send

from pollenbay.announcement import ANNOUNCE_PATH, ANNOUNCE_PERIOD_S

RECEIVE_BYTES = 65536
POLL_S = 0.2

Responder = Callable[[bytes], bytes]


@contextmanager
def raw_target(
    node_port: int,
    service: str,
    respond: Responder,
    close: bool,
    resend_after_s: float | None = None,
) -> Iterator[None]:
    """Serve and announce a target until the block ends.

    :param node_port: outbound port of the target's node.
    :param respond: returns the response bytes for the bytes of a request.
    :param close: whether each connection is closed after one response.
    :param resend_after_s: seconds after which each response is sent a second time; None for never.
    """
    stop = Event()
    listener = create_server((ADDRESS, 0))
    listener.settimeout(POLL_S)
    port = listener.getsockname()[1]
    threads = [
        Thread(target=_accept, args=(stop, listener, respond, close, resend_after_s)),
        Thread(target=_announce, args=(stop, node_port, service, port)),
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop.set()
        for thread in threads:
            thread.join()
        listener.close()


def marker_of(request: bytes) -> str:
    """Return the marker of a request, or ``-``."""
    for line in request.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "x-marker":
            return value.strip()
    return "-"


def _accept(
    stop: Event, listener: socket, respond: Responder, close: bool, resend_after_s: float | None
) -> None:
    threads: list[Thread] = []
    while not stop.is_set():
        with suppress(TimeoutError):
            connection, _ = listener.accept()
            threads.append(
                Thread(target=_serve, args=(stop, connection, respond, close, resend_after_s))
            )
            threads[-1].start()
    for thread in threads:
        thread.join()


def _serve(
    stop: Event, connection: socket, respond: Responder, close: bool, resend_after_s: float | None
) -> None:
    connection.settimeout(POLL_S)
    with connection, suppress(OSError):
        while not stop.is_set():
            try:
                request = connection.recv(RECEIVE_BYTES)
            except TimeoutError:
                continue
            if not request:
                return
            response = respond(request)
            connection.sendall(response)
            if close:
                return
            if resend_after_s is not None:
                sleep(resend_after_s)
                connection.sendall(response)


def _announce(stop: Event, node_port: int, service: str, port: int) -> None:
    announcement = {
        "service": service,
        "address": ADDRESS,
        "port": port,
        "slots": 4,
        "state": "serving",
    }
    body = json.dumps(announcement)
    while not stop.is_set():
        with suppress(OSError):
            send(node_port, ANNOUNCE_PATH, "POST", body)
        stop.wait(ANNOUNCE_PERIOD_S)
