"""A target that answers with bytes of the test's choice, whatever HTTP says."""

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

Reply = Callable[[bytes], bytes]


@contextmanager
def raw_target(
    node_port: int, service: str, reply: Reply, close: bool, again_s: float | None = None
) -> Iterator[None]:
    """Serve and announce a target until the block ends.

    :param node_port: outbound port of the node beside it.
    :param reply: returns the bytes to answer with, from the bytes of a request.
    :param close: whether each connection is closed after one answer.
    :param again_s: seconds after which each answer is sent a second time; None for never.
    """
    stop = Event()
    listener = create_server((ADDRESS, 0))
    listener.settimeout(POLL_S)
    port = listener.getsockname()[1]
    threads = [
        Thread(target=_accept, args=(stop, listener, reply, close, again_s)),
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


def marker_in(request: bytes) -> str:
    """Return the marker that a request carries."""
    for line in request.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "x-marker":
            return value.strip()
    return "-"


def _accept(
    stop: Event, listener: socket, reply: Reply, close: bool, again_s: float | None
) -> None:
    threads: list[Thread] = []
    while not stop.is_set():
        with suppress(TimeoutError):
            connection, _ = listener.accept()
            threads.append(Thread(target=_serve, args=(stop, connection, reply, close, again_s)))
            threads[-1].start()
    for thread in threads:
        thread.join()


def _serve(
    stop: Event, connection: socket, reply: Reply, close: bool, again_s: float | None
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
            answer = reply(request)
            connection.sendall(answer)
            if close:
                return
            if again_s is not None:
                sleep(again_s)
                connection.sendall(answer)


def _announce(stop: Event, node_port: int, service: str, port: int) -> None:
    word = {"service": service, "address": ADDRESS, "port": port, "slots": 4, "state": "serving"}
    body = json.dumps(word)
    while not stop.is_set():
        with suppress(OSError):
            send(node_port, ANNOUNCE_PATH, "POST", body)
        stop.wait(ANNOUNCE_PERIOD_S)
