"""A record of the rule version in force on each node, read again and again while a test runs."""

from __future__ import annotations

from http.client import HTTPException
from threading import Event, Thread

from cluster import ADMIN_TOKEN, Cluster
from harness import HarnessError, send

READ_PERIOD_S = 0.25
READ_TIMEOUT_S = 0.5


class VersionLog:
    """Reads the versions from entering the context to leaving it; a silent node is passed over."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._seen: dict[str, list[int]] = {name: [] for name in cluster.instances}
        self._stop = Event()
        self._threads = [Thread(target=self._read, args=(name,)) for name in self._seen]

    def __enter__(self) -> VersionLog:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def falls(self) -> list[tuple[str, int, int]]:
        """Return each step from a version to a lower one, with the node's name."""
        return [
            (name, before, after)
            for name, versions in self._seen.items()
            for before, after in zip(versions, versions[1:], strict=False)
            if after < before
        ]

    def _read(self, name: str) -> None:
        port = self._cluster[name].admin
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        while not self._stop.wait(READ_PERIOD_S):
            try:
                answer = send(port, "/v1/status", headers=headers, within_s=READ_TIMEOUT_S)
            except (OSError, HTTPException, HarnessError):
                continue
            if answer.status == 200:
                self._seen[name].append(answer.json()["rule_version"])
