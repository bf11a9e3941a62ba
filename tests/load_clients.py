"""Concurrent callers for integration tests, and the result that each of them received."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from http.client import HTTPException
from threading import Event
from time import monotonic

from harness import Process, Response, run_log, send

BODY_BYTES = 300
REPEAT_SUFFIX = "-repeat"
#: Upper bound on the duration of a load, so that a failing test terminates too.
LOAD_LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """One request and the response that its caller received.

    :param response: None if the connection to the node broke.
    :param key: idempotency key, which is the marker of the first request with that key.
    """

    marker: str
    path: str
    response: Response | None
    started_at: float
    ended_at: float
    key: str | None = None

    @property
    def outcome(self) -> str:
        """Return the outcome that the node reported, or ``lost`` if the connection broke."""
        if self.response is None:
            return "lost"
        return self.response.headers.get("pollenbay-outcome", "none")

    @property
    def reason(self) -> str:
        """Return the reason that the node reported, or an empty string."""
        return "" if self.response is None else self.response.headers.get("pollenbay-reason", "")

    @property
    def answered(self) -> bool:
        """Return whether the call succeeded."""
        return self.response is not None and self.response.status == 200

    @property
    def complete(self) -> bool:
        """Return whether the response is complete and belongs to this request.

        A repeat may receive the response to an earlier request with the same key.
        """
        if self.response is None:
            return False
        marker = self.response.body.partition(b"\n")[0].decode("latin-1")
        matches = marker == self.marker or self.key in (marker, marker.rpartition(REPEAT_SUFFIX)[0])
        return matches and self.response.body == expected_body(marker)


def expected_body(marker: str) -> bytes:
    """Return the complete response body for a marker."""
    line = f"{marker}\n".encode("ascii")
    return (line * (BODY_BYTES // len(line) + 1))[:BODY_BYTES]


def send_call(
    port: int, marker: str, path: str, method: str, caller: str, key: str | None
) -> CallResult:
    """Make one call and return its result."""
    headers = {"x-marker": marker, "x-size": str(BODY_BYTES), "pollenbay-caller": caller}
    if key is not None:
        headers["idempotency-key"] = key
    started_at = monotonic()
    try:
        response = send(port, path, method, headers=headers)
    except (OSError, HTTPException):
        response = None
    return CallResult(marker, path, response, started_at, monotonic(), key)


@dataclass(slots=True)
class LoadClients:
    """Callers that each send one request after another until stopped.

    :param ports: ports of the nodes, used in turn.
    :param callers: number of callers for each path.
    :param key: whether each request has an idempotency key, equal to its marker.
    :param repeats: maximum number of repeats, with the same key, of a request that fails.
    :param pause_s: seconds between two requests of a caller.
    :ivar results: results so far, readable while the load runs.
    """

    ports: list[int]
    paths: list[str]
    callers: int = 4
    method: str = "GET"
    key: bool = False
    repeats: int = 0
    pause_s: float = 0.0
    name: str = "load"
    results: list[CallResult] = field(default_factory=list)

    def run(self, stop: Event) -> list[CallResult]:
        """Send requests until `stop` is set and return all results."""
        with ThreadPoolExecutor(self.callers * len(self.paths)) as pool:
            futures = [
                pool.submit(self._run_caller, path, number, stop)
                for path in self.paths
                for number in range(self.callers)
            ]
            return [result for future in futures for result in future.result()]

    def run_in_background(self, pool: ThreadPoolExecutor, stop: Event):
        """Send requests in the background; the future returns all results."""
        return pool.submit(self.run, stop)

    def _run_caller(self, path: str, number: int, stop: Event) -> list[CallResult]:
        results: list[CallResult] = []
        ends_at = monotonic() + LOAD_LIMIT_S
        while not stop.is_set() and monotonic() < ends_at:
            marker = f"{self.name}-{path.strip('/').replace('/', '.')}-{number}-{len(results)}"
            results += self._call_with_repeats(path, number, marker, len(results))
            stop.wait(self.pause_s)
        return results

    def _call_with_repeats(
        self, path: str, number: int, marker: str, sequence: int
    ) -> list[CallResult]:
        results: list[CallResult] = []
        key = marker if self.key else None
        for attempt in range(1 + self.repeats):
            port = self.ports[(number + sequence + attempt) % len(self.ports)]
            attempt_marker = f"{marker}{REPEAT_SUFFIX}{attempt}" if attempt else marker
            results.append(
                send_call(port, attempt_marker, path, self.method, f"caller-{number}", key)
            )
            self.results.append(results[-1])
            if results[-1].answered:
                break
        return results


@contextmanager
def running_load(*groups: LoadClients) -> Iterator[list[CallResult]]:
    """Run load during the block; the yielded list holds all results once the block has ended."""
    results: list[CallResult] = []
    stop = Event()
    with ThreadPoolExecutor(len(groups)) as pool:
        futures = [group.run_in_background(pool, stop) for group in groups]
        try:
            yield results
        finally:
            stop.set()
        for future in futures:
            results += future.result()


def runs_by_marker(targets: Iterable[Process]) -> dict[str, int]:
    """Return the number of runs of each marker, over all targets."""
    counted: dict[str, int] = {}
    for target in targets:
        for run in run_log(target)["runs"]:
            counted[run["marker"]] = counted.get(run["marker"], 0) + 1
    return counted


def markers_not_run(results: Iterable[CallResult]) -> list[str]:
    """Return the markers of requests that were rejected as not run."""
    return [each.marker for each in results if each.outcome == "not-run"]
