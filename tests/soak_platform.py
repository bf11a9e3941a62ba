"""Base of soaks on the users' platform: instances that check in and clients beside the steps."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from http.client import HTTPException
from itertools import count
from threading import Event, Lock, Thread
from time import time

from harness import Response
from platform_node import PlatformNode

CHECK_IN_PERIOD_S = 0.3
#: Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (429, 503, 421, 408)


class PlatformSoak:
    """Nodes whose instances and clients outlive their processes.

    :param nodes: nodes by name.
    """

    def __init__(self, nodes: Mapping[str, PlatformNode]) -> None:
        self._nodes = dict(nodes)
        self._log: list[str] = []
        self._numbers = count()
        self._lock = Lock()
        self._over = Event()
        self._born = {name: int(time() * 1000) for name in nodes}
        self._leaving: set[str] = set()

    @property
    def log(self) -> str:
        """Return the steps so far."""
        return ", ".join(self._log)

    @contextmanager
    def running(self, *work: Callable[[], None]) -> Iterator[None]:
        """Let the work of clients and the check-ins of instances run beside the block."""
        workers = [Thread(target=each) for each in (self._check_in, *work)]
        for worker in workers:
            worker.start()
        try:
            yield
        finally:
            self._over.set()
            for worker in workers:
                worker.join()

    def _drain(self, name: str) -> Response:
        return self._nodes[name].check_in("draining", born=self._born[name])

    def _check_in(self) -> None:
        while not self._over.wait(CHECK_IN_PERIOD_S):
            for name, node in self._nodes.items():
                if name not in self._leaving:
                    with suppress(OSError, HTTPException):
                        node.check_in(born=self._born[name])
