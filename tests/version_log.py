"""A record of the active rule version of each node, sampled while a test runs."""

from __future__ import annotations

from http.client import HTTPException
from threading import Event, Thread

from cluster import ADMIN_TOKEN, Cluster
from harness import HarnessError, send

READ_PERIOD_S = 0.25
READ_TIMEOUT_S = 0.5


class VersionLog:
    """Samples the versions while the context is active; skips nodes that do not respond."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._versions: dict[str, list[int]] = {name: [] for name in cluster.instances}
        self._stop = Event()
        self._threads = [Thread(target=self._read, args=(name,)) for name in self._versions]

    def __enter__(self) -> VersionLog:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def decreases(self) -> list[tuple[str, int, int]]:
        """Return each change to a lower version as (node, before, after)."""
        return [
            (name, before, after)
            for name, versions in self._versions.items()
            for before, after in zip(versions, versions[1:], strict=False)
            if after < before
        ]

    def _read(self, name: str) -> None:
        port = self._cluster[name].admin_port
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        while not self._stop.wait(READ_PERIOD_S):
            try:
                response = send(port, "/v1/status", headers=headers, within_s=READ_TIMEOUT_S)
            except (OSError, HTTPException, HarnessError):
                continue
            if response.status == 200:
                self._versions[name].append(response.json()["rule_version"])
