"""Starts, queries and stops real processes for integration tests.

Every wait has a deadline. `Processes` is a context manager that kills, by process id, every process
that it started.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException, HTTPResponse
from itertools import count
from pathlib import Path
from random import Random
from select import select
from socket import AF_INET, SOCK_DGRAM, socket
from typing import Any, TypeVar

import yaml

ADDRESS = "127.0.0.1"
READY_WITHIN_S = 20.0
EXIT_WITHIN_S = 20.0
RESPONSE_WITHIN_S = 10.0
POLL_S = 0.05
PORTS = range(10_000, 30_000)
#: Ports that a process keeps for itself, more than one test uses.
RESERVED_PORTS = 400
SOURCE = Path(__file__).resolve().parent.parent / "src"
#: Source of the product under test, if it is that of another commit; stand-ins are always our own.
PRODUCT_SOURCE = Path(os.environ.get("PRODUCT_SOURCE", SOURCE))

T = TypeVar("T")


class HarnessError(AssertionError):
    """A process or a response did not meet its deadline."""


@dataclass(slots=True)
class Process:
    """One running process.

    :param ready: the JSON line that it printed once it was listening.
    """

    name: str
    popen: subprocess.Popen[bytes]
    error_path: Path
    ready: dict[str, Any] = field(default_factory=dict)

    @property
    def pid(self) -> int:
        return self.popen.pid

    @property
    def port(self) -> int:
        """Return the port that the process serves."""
        return self.ready["port"]

    @property
    def control_port(self) -> int:
        """Return the port that accepts faults and reports counters."""
        return self.ready.get("control_port", 0) or self.port

    @property
    def alive(self) -> bool:
        """Return whether the process is running."""
        return self.popen.poll() is None

    def pause(self) -> None:
        """Send SIGSTOP and wait until the process has stopped."""
        os.kill(self.pid, signal.SIGSTOP)
        wait_until(lambda: self._state() == "T", 5.0, f"{self.name} to pause")

    def resume(self) -> None:
        """Send SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.popen.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process, even if it is paused, and wait for its exit."""
        if self.alive:
            self.popen.kill()
        self.popen.wait(EXIT_WITHIN_S)

    def wait(self, within_s: float = EXIT_WITHIN_S) -> int:
        """Wait for the process to exit and return its exit code."""
        try:
            return self.popen.wait(within_s)
        except subprocess.TimeoutExpired as error:
            raise HarnessError(f"{self.name} is still running after {within_s} s") from error

    def errors(self) -> str:
        """Return the standard error output."""
        return self.error_path.read_text(encoding="utf-8", errors="replace")

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the log lines that were not read yet, once the process has ended."""
        return [json.loads(line) for line in self.popen.stdout.read().splitlines()]

    def _state(self) -> str:
        stat = Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        return stat.rpartition(")")[2].split()[0]


@dataclass(slots=True)
class Response:
    """One complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body as JSON."""
        return json.loads(self.body)


class Processes:
    """The processes of one test.

    :param folder: directory for settings and error output, such as `tmp_path`.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._started: list[Process] = []

    def __enter__(self) -> Processes:
        return self

    def __exit__(self, *details: object) -> None:
        for process in reversed(self._started):
            process.kill()
            if process.popen.stdout is not None:
                process.popen.stdout.close()

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start ``python -m module`` and wait until it reports that it is listening."""
        process = self.spawn(name, module, *arguments)
        process.ready = _read_ready(process)
        return process

    def spawn(self, name: str, module: str, *arguments: str) -> Process:
        """Start ``python -m module`` without waiting."""
        error_path = self._folder / f"{name}-{len(self._started)}.err"
        source = PRODUCT_SOURCE if module.startswith("pollenbay.") else SOURCE
        with error_path.open("wb") as error_file:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=error_file,
                env={**os.environ, "PYTHONPATH": str(source)},
            )
        process = Process(name, popen, error_path)
        self._started.append(process)
        return process

    def write_yaml(self, name: str, document: object) -> Path:
        """Write a YAML file and return its path."""
        path = self._folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(yaml.safe_dump(document, sort_keys=False), encoding="utf-8")
        return path

    def start_platform(self, **options: float) -> Process:
        """Start the platform stand-in, rate-limited by `max_writes_per_s` and `max_reads_per_s`."""
        arguments = ["--port", "0"]
        for option, value in options.items():
            arguments += ["--" + option.replace("_", "-"), str(value)]
        return self.start("platform", "standins.platform", *arguments)

    def start_target(self, name: str, settings: dict[str, Any]) -> Process:
        """Start a target stand-in with settings as in `standins.target_settings`."""
        path = self.write_yaml(f"target-{name}.yaml", settings)
        return self.start(name, "standins.target", "--config", str(path))

    def start_proxy(self, upstream_port: int) -> Process:
        """Start a fault-injecting proxy in front of a port."""
        return self.start("proxy", "standins.faults", "--upstream-port", str(upstream_port))

    def start_node(self, name: str, settings: dict[str, Any]) -> Process:
        """Start a node with settings as in `pollenbay.settings`."""
        path = self.write_yaml(f"node-{name}.yaml", settings)
        return self.start(name, "pollenbay.daemon", "--settings", str(path))


def _read_ready(process: Process) -> dict[str, Any]:
    deadline = time.monotonic() + READY_WITHIN_S
    line = b""
    descriptor = process.popen.stdout.fileno()
    while not line.endswith(b"\n"):
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0 or not select([descriptor], [], [], remaining_s)[0]:
            raise HarnessError(f"{process.name} is not ready: {process.errors()}")
        data = os.read(descriptor, 1)
        if not data:
            raise HarnessError(f"{process.name} exited early: {process.errors()}")
        line += data
    return json.loads(line)


def send(
    port: int,
    path: str,
    method: str = "GET",
    body: bytes | str | None = None,
    headers: dict[str, str] | None = None,
    within_s: float = RESPONSE_WITHIN_S,
) -> Response:
    """Send one request on a new connection and return the complete response.

    :param within_s: socket timeout for each part of the response.
    :raises OSError: if the connection fails or the response times out.
    :raises http.client.HTTPException: if the response is malformed or truncated.
    """
    connection = HTTPConnection(ADDRESS, port, timeout=within_s)
    try:
        connection.request(method, path, body, headers or {})
        return read_response(connection.getresponse())
    finally:
        connection.close()


def read_response(response: HTTPResponse) -> Response:
    """Read a standard library response completely."""
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Response(response.status, headers, response.read())


@contextmanager
def keep_alive_connection(port: int, within_s: float = RESPONSE_WITHIN_S):
    """Yield a persistent connection for several requests."""
    connection = HTTPConnection(ADDRESS, port, timeout=within_s)
    try:
        yield connection
    finally:
        connection.close()


def control(process: Process, **faults: object) -> Any:
    """Set the faults of a stand-in; the platform and the proxy take one fault as `mode`."""
    response = send(process.control_port, "/control", "POST", json.dumps(faults))
    if response.status != 200:
        raise HarnessError(f"{process.name}: {response.body!r}")
    return response.json()


def read_counters(process: Process) -> dict[str, Any]:
    """Return the counters of the platform or the proxy."""
    return send(process.control_port, "/control").json()


def run_log(target: Process) -> dict[str, Any]:
    """Return `runs` and `counts` of a target."""
    return send(target.control_port, "/control/runs").json()


def runs_of_key(targets: list[Process], key: str) -> int:
    """Return the number of runs with an idempotency key, over all targets."""
    runs = [run for target in targets for run in run_log(target)["runs"]]
    return sum(run["idempotency_key"] == key for run in runs)


def runs_of_marker(targets: list[Process], marker: str) -> int:
    """Return the number of runs with a marker, over all targets."""
    runs = [run for target in targets for run in run_log(target)["runs"]]
    return sum(run["marker"] == marker for run in runs)


def wait_until(
    condition: Callable[[], T], within_s: float = RESPONSE_WITHIN_S, what: str = "a condition"
) -> T:
    """Poll a condition until it returns a truthy value, and return that value.

    Connection failures in the condition count as not yet true.
    """
    deadline = time.monotonic() + within_s
    while True:
        try:
            value = condition()
        except (OSError, HTTPException):
            value = None
        if value:
            return value
        if time.monotonic() > deadline:
            raise HarnessError(f"timed out after {within_s} s waiting for {what}")
        time.sleep(POLL_S)


def _candidate_ports() -> Iterator[int]:
    """Yield ports in turn, starting at a place that differs between processes."""
    start = Random(os.getpid()).randrange(len(PORTS))
    for offset in count(start):
        yield PORTS[offset % len(PORTS)]


_CANDIDATE_PORTS = _candidate_ports()
#: Sockets that reserve the latest ports, oldest first.
_RESERVATIONS: deque[socket] = deque()


def free_port() -> int:
    """Return a port that was just free; prefer port 0 for processes that report their port.

    It lies outside the range from which the kernel takes the ports of outgoing connections, one of
    which could take it before it is used. A UDP socket reserves it among all processes of tests.
    """
    for port in _CANDIDATE_PORTS:
        reservation = socket(AF_INET, SOCK_DGRAM)
        try:
            reservation.bind((ADDRESS, port))
            with socket() as sock:
                sock.bind((ADDRESS, port))
        except OSError:
            reservation.close()
            continue
        _RESERVATIONS.append(reservation)
        if len(_RESERVATIONS) > RESERVED_PORTS:
            _RESERVATIONS.popleft().close()
        return port
    raise HarnessError("no free port")
