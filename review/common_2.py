"""Parts shared by the scripts of the second review: processes, instances, clients, a store.

Every machine of a script has a loopback address of its own, so that all use the same ports. The
node is started with the command and the settings template of the deploy file.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from base64 import b64encode
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
RUN_LIMIT_S = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: Bounds of both deployments, as `deploy/node.yaml` gets them.
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 50,
}
CHECK_IN_S = 1.5
#: Seconds for which an instance stays silent on an idle connection before it closes it.
INSTANCE_IDLE_S = 10.0
#: Pieces in which an instance writes a long body.
PIECES = 20
#: Segment size on an Ethernet, which loopback would exceed many times.
ETHERNET_SEGMENT_BYTES = 1460
SLOW_READER_WINDOW_BYTES = 16384
SLOW_READER_PIECE_BYTES = 8192


class CouldNotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """Lines of `record.txt` with seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


@dataclass
class Run:
    """A request that an instance began to work on, or refused."""

    at: float
    request: str
    path: str
    method: str
    headers: dict[str, str]
    ended_at: float | None = None
    end: str = "running"


@dataclass
class Answer:
    """What a client saw."""

    request: str
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body_bytes: int = 0
    complete: bool = False
    error: str = ""


def free_port(address: str, random: Random) -> int:
    """Return a port of an address that is free now, outside the range of outgoing connections."""
    import socket

    for _ in range(200):
        port = random.randrange(10_000, 30_000)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((address, port))
            return port
    raise CouldNotRunError(f"no free port at {address}")


def fill_template(text: str, fields: dict) -> str:
    """Fill the placeholders that `deploy/node.yaml` uses."""

    def value_of(match: re.Match) -> str:
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, text)


class Machine:
    """A machine with a node and an instance beside it."""

    def __init__(
        self,
        system: "System",
        name: str,
        service: str,
        address: str,
        ports: dict[str, int] | None = None,
        zone: str = "z1",
    ) -> None:
        self.system, self.name, self.service, self.address = system, name, service, address
        self.ports = ports or {
            each: free_port(address, system.random)
            for each in ("outbound", "ready", "admin", "app", "link", "gossip")
        }
        self.process: subprocess.Popen | None = None
        self.settings = system.folder / f"{name}.conf"
        fields = {
            "node_name": name,
            "zone": zone,
            "region": "r1",
            "service": service,
            "ip": address,
            "internal_ports": [self.ports["link"], self.ports["gossip"]],
            "provider": {"address": f"127.0.0.1:{system.store_port}"},
            "app_addr": f"{address}:{self.ports['app']}",
            "listen": {
                each: f"{address}:{self.ports[each]}" for each in ("outbound", "ready", "admin")
            },
            "heartbeat_ms": int(CHECK_IN_S * 1000),
            "bounds": BOUNDS,
            "limits": {"memory_mb": 300, "max_fds": 4100},
        }
        template = (ROOT / "deploy" / "node.yaml").read_text(encoding="utf-8")
        self.settings.write_text(fill_template(template, fields), encoding="utf-8")

    def start(self) -> None:
        """Start the node with the command of the deploy file."""
        command = ["python3", "deploy/pollenbayd.py", "--settings", str(self.settings)]
        self.process = self.system.spawn(command, f"{self.name}.log")
        self.system.record.write(f"node {self.name} started, pid {self.process.pid}")

    def send_signal(self, number: int) -> None:
        """Send a signal to the node."""
        self.system.record.write(f"node {self.name} gets {signal.Signals(number).name}")
        os.kill(self.process.pid, number)

    def memory_bytes(self) -> int:
        """Return the memory of the node's process that is not of files; 0 if it is gone."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0
        found = re.search(r"RssAnon:\s+(\d+) kB", status)
        return int(found.group(1)) * 1024 if found else 0

    async def is_ready(self) -> bool:
        """Return whether the node answers the readiness probe with 200."""
        try:
            answer = await exchange(
                self.address, self.ports["ready"], b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n", 1.0
            )
        except (OSError, asyncio.TimeoutError, ValueError):
            return False
        return answer[0] == 200

    async def wait_ready(self, within_s: float = 20.0) -> None:
        """Wait until the node is ready."""
        ends_at = time.monotonic() + within_s
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise CouldNotRunError(f"node {self.name} is not ready")
            await asyncio.sleep(0.1)


class System:
    """All processes of one script, and its temporary folder."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case / "record.txt")
        self.random = Random(os.getpid())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen] = []
        self.network = f"127.{self.random.randrange(20, 250)}.{self.random.randrange(250)}"
        self.machines: list[Machine] = []
        self.store_port = 0

    def spawn(self, command: list[str], log: str) -> subprocess.Popen:
        """Start a process at the root of the repository, as the deploy file's page tells."""
        environment = {
            each: os.environ[each] for each in ("PATH", "HOME", "LANG") if each in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        if command[1] == "-m":
            environment["PYTHONPATH"] += os.pathsep + str(ROOT / "src")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=(self.folder / log).open("ab"),
            stderr=subprocess.STDOUT,
        )
        self.processes.append(process)
        return process

    async def start_store(self) -> None:
        """Start the project's stand-in for the store."""
        self.spawn(["python3", "-m", "standins.metadata", "--port", "0"], "store.log")
        log = self.folder / "store.log"
        for _ in range(100):
            lines = log.read_text(encoding="utf-8").splitlines()
            if lines and lines[0].startswith("{"):
                self.store_port = json.loads(lines[0])["port"]
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"the store did not start: {log.read_text()}")

    async def publish(self, version: int, services: list[str], routes: list[dict]) -> None:
        """Write a config as the operator does."""
        config = {
            "version": f"r{version}",
            "services": [
                {
                    "name": each,
                    "health_path": "/healthz",
                    "max_connections": 424,
                    "protocol": "h1",
                    "tls": False,
                }
                for each in services
            ],
            "limits": {
                "header_bytes": 16384,
                "body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "hosts": [{"host": "shop.example", "paths": routes}],
        }
        body = json.dumps(config).encode()
        head = f"POST /operator/config HTTP/1.1\r\nHost: s\r\nContent-Length: {len(body)}\r\n\r\n"
        status, _, _ = await exchange("127.0.0.1", self.store_port, head.encode() + body, 3.0)
        self.record.write(f"config r{version} confirmed: {status}")

    def add_machine(
        self, name: str, service: str, lost: Machine | None = None, zone: str = "z1"
    ) -> Machine:
        """Return a machine at the next loopback address, or at that of a lost machine."""
        address = lost.address if lost else f"{self.network}.{10 + len(self.machines)}"
        machine = Machine(self, name, service, address, lost.ports if lost else None, zone)
        self.machines.append(machine)
        return machine

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for process in self.processes:
            with suppress(OSError):
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, prefix: str, service: str, kind: str, timeout_ms: int, **more) -> dict:
    """Return a route of `shop.example`."""
    return {
        "name": name,
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": 1500,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        **more,
    }


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ValueError("the message ends in its head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def exchange(
    address: str, port: int, data: bytes, within_s: float
) -> tuple[int, dict[str, str], bytes]:
    """Send bytes on a new connection and return the status, headers and body of the answer."""

    async def run() -> tuple[int, dict[str, str], bytes]:
        reader, writer = await asyncio.open_connection(address, port)
        try:
            writer.write(data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ValueError("closed without an answer")
            line, headers = head
            return int(line.split()[1]), headers, await read_body(reader, headers)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), within_s)
    except asyncio.IncompleteReadError as error:
        raise ValueError("the answer ends early") from error


class Instance:
    """Stand-in for an instance: runs a request a connection, up to its slots; a short queue.

    The path's query states the work in seconds (`work`), the least length of the answer's body
    (`bytes`), the seconds in which that body is written (`send`), and a path that the request calls
    through the system after `call_after` seconds. `slowness` multiplies `send`.
    """

    def __init__(self, machine: Machine, name: str, slots: int) -> None:
        self.machine, self.name, self.slots = machine, name, slots
        self.record = machine.system.record
        self.runs: list[Run] = []
        self.confirmed_leaving_at: float | None = None
        self.slowness = 1.0
        self._state, self._seq, self._born = "ready", 0, int(time.time() * 1000)
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._check_ins: asyncio.Task | None = None

    async def start(self, beats: bool = True) -> None:
        """Listen, and begin to check in."""
        self._server = await asyncio.start_server(
            self._serve, self.machine.address, self.machine.ports["app"]
        )
        if beats:
            self._check_ins = asyncio.create_task(self._beat())

    def body(self, state: str, seq: int, **more) -> bytes:
        """Return the body of a check-in."""
        document = {
            "address": f"{self.machine.address}:{self.machine.ports['app']}",
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": "z1",
                "capacity": self.slots,
            },
            "status": {"state": state, "seq": seq, "warmup_left_ms": 0},
            "born": self._born,
            **more,
        }
        return json.dumps(document).encode()

    def next_seq(self) -> int:
        """Return the next sequence number."""
        self._seq += 1
        return self._seq

    async def say(self, method: str, body: bytes, name: str = "", within_s: float = 1.0) -> int:
        """Send a check-in or a departure and return the status; 0 without an answer."""
        head = (
            f"{method} /instances/{name or self.name} HTTP/1.1\r\nHost: n\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        machine = self.machine
        try:
            status, _, _ = await exchange(
                machine.address, machine.ports["admin"], head.encode() + body, within_s
            )
        except (OSError, asyncio.TimeoutError, ValueError):
            status = 0
        text = body.decode() if body else ""
        self.record.write(f"check-in {method} {name or self.name} {text} -> {status}")
        return status

    async def check_in(self) -> int:
        """Send a check-in in the present state."""
        return await self.say("PUT", self.body(self._state, self.next_seq()))

    async def leave(self, silently: bool = False) -> None:
        """Report `draining`, or the departure at once, until it is confirmed."""
        self._state = "draining"
        if silently and self._check_ins is not None:
            self._check_ins.cancel()
        while True:
            status = await (self.say("DELETE", b"") if silently else self.check_in())
            if status // 100 == 2:
                self.confirmed_leaving_at = self.record.now()
                self.record.write(f"instance {self.name}: leaving is confirmed")
                return
            await asyncio.sleep(0.2)

    async def pause_check_ins(self) -> None:
        """Send no further check-ins by itself, beginning right after one was confirmed."""
        self._check_ins.cancel()
        if await self.check_in() != 200:
            raise CouldNotRunError("the check-in was not confirmed")

    async def stop(self) -> None:
        """End as the process does: all connections break."""
        self.record.write(f"instance {self.name} exits")
        if self._check_ins is not None:
            self._check_ins.cancel()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _beat(self) -> None:
        while True:
            await self.check_in()
            await asyncio.sleep(CHECK_IN_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await asyncio.wait_for(read_head(reader), INSTANCE_IDLE_S)
                if head is None:
                    return
                line, headers = head
                await read_body(reader, headers)
                method, path, _ = line.split(" ")
                await self._respond(reader, writer, method, path, headers)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _respond(self, reader, writer, method, path, headers) -> None:
        request = headers.get("x-pollenbay-request-id", "")
        echo = f"X-Pollenbay-Request-Id: {request}\r\n"
        if path == "/healthz":
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Pollenbay-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % self.name.encode()
            )
            return
        if headers.get("x-pollenbay-target-instance", self.name) != self.name:
            self.record.write(f"instance {self.name} answers 421 to {request}")
            writer.write(
                f"HTTP/1.1 421 Misdirected\r\n{echo}X-Pollenbay-Instance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        query = {name: values[0] for name, values in parse_qs(urlsplit(path).query).items()}
        arrived_at = self.record.now()
        async with self._free:
            run = Run(arrived_at, request, path, method, headers)
            self.runs.append(run)
            self.record.write(f"instance {self.name} runs {request} {method} {path}")
            gone = asyncio.create_task(reader.read(1))
            work = asyncio.create_task(self._work(query))
            try:
                await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
                run.ended_at = self.record.now()
                if not work.done():
                    run.end = "dropped, its connection was closed"
                    self.record.write(f"instance {self.name}: {request} {run.end}")
                    raise ValueError("closed")
                status = work.result()
            except asyncio.CancelledError:
                run.ended_at, run.end = self.record.now(), "lost, the instance exited"
                self.record.write(f"instance {self.name}: {request} {run.end}")
                raise
            finally:
                work.cancel()
                if not gone.done():
                    gone.cancel()
                    with suppress(asyncio.CancelledError):
                        await gone
        run.end = f"answered {status}"
        body = f"answer to {request}".encode().ljust(int(query.get("bytes", "0")), b".")
        writer.write(
            f"HTTP/1.1 {status} X\r\n{echo}X-Pollenbay-Server-Signature: sig\r\n"
            f"X-Pollenbay-Server-Load: 0,0,{self.slots}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
        )
        pieces = PIECES if "send" in query else 1
        size = -(-len(body) // pieces)
        for start in range(0, len(body), size):
            writer.write(body[start : start + size])
            await writer.drain()
            if "send" in query:
                await asyncio.sleep(float(query["send"]) * self.slowness / pieces)

    async def _work(self, query: dict[str, str]) -> int:
        if "call" in query:
            await asyncio.sleep(float(query["call_after"]))
            answer = await call(self.machine, query["call"], 2500)
            if answer.status != 200:
                return 500
        await asyncio.sleep(float(query.get("work", "0")))
        return 200


_REQUESTS = iter(range(1, 10**9))


async def call(
    machine: Machine,
    path: str,
    deadline_ms: int,
    method: str = "GET",
    read_bytes_per_s: float = 0.0,
) -> Answer:
    """Send a request to a node as a client does, on a new connection, and return the answer.

    :param read_bytes_per_s: bytes a second that the client reads; 0 for as many as there are.
    """
    record = machine.system.record
    answer = Answer(f"{next(_REQUESTS):016x}", record.now())
    record.write(f"client sends {answer.request} {method} {path} to {machine.name}")
    try:
        await asyncio.wait_for(
            _call(machine, path, deadline_ms, method, read_bytes_per_s, answer),
            deadline_ms / 1000.0,
        )
        answer.complete = True
    except asyncio.TimeoutError:
        answer.error = "the client's deadline has passed"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    answer.ended_at = record.now()
    record.write(
        f"client got {answer.request}: status {answer.status}, {answer.body_bytes} bytes, "
        f"complete {answer.complete} {answer.error}"
    )
    return answer


async def call_kept(machine: Machine, paths, deadline_ms: int) -> list[Answer]:
    """Send requests that may not be repeated on one kept connection, one after the other.

    The last answer has an error if the connection ended without an answer.
    """
    record = machine.system.record
    answers: list[Answer] = []
    reader, writer = await asyncio.open_connection(machine.address, machine.ports["outbound"])
    try:
        for path in paths:
            answer = Answer(f"{next(_REQUESTS):016x}", record.now())
            answers.append(answer)
            writer.write(
                f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Pollenbay-Request-Id: {answer.request}\r\n"
                f"X-Pollenbay-Deadline-Ms: {deadline_ms}\r\n"
                "Content-Length: 5\r\n\r\norder".encode()
            )
            head = await read_head(reader)
            if head is None:
                raise ValueError("closed without an answer")
            line, answer.headers = head
            answer.status = int(line.split()[1])
            await read_body(reader, answer.headers)
            answer.complete, answer.ended_at = True, record.now()
            if answer.headers.get("connection", "") == "close":
                break
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        answers[-1].error, answers[-1].ended_at = f"{type(error).__name__}: {error}", record.now()
        record.write(f"client lost {answers[-1].request}: {answers[-1].error}")
    finally:
        writer.close()
    return answers


async def _call(
    machine: Machine,
    path: str,
    deadline_ms: int,
    method: str,
    read_bytes_per_s: float,
    answer: Answer,
) -> None:
    import socket

    sock = socket.socket()
    if read_bytes_per_s:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_WINDOW_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(
        sock, (machine.address, machine.ports["outbound"])
    )
    limit = SLOW_READER_PIECE_BYTES if read_bytes_per_s else 2**16
    reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
    try:
        body = b"order" if method == "POST" else b""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Pollenbay-Request-Id: {answer.request}\r\n"
            f"X-Pollenbay-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ValueError("closed without an answer")
        line, answer.headers = head
        answer.status = int(line.split()[1])
        length = int(answer.headers.get("content-length", "0"))
        while answer.body_bytes < length:
            piece = await reader.read(limit)
            if not piece:
                raise ValueError("the connection ends before the end of the answer")
            answer.body_bytes += len(piece)
            if read_bytes_per_s:
                await asyncio.sleep(len(piece) / read_bytes_per_s)
    finally:
        writer.close()


def main(case: str, scenario) -> None:
    """Run a scenario, which returns the reasons why the rule is broken, and exit with a verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    system = System(Path(case).resolve().parent)
    system.record.write(f"TROUBLE={int(trouble)}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        reasons = asyncio.run(asyncio.wait_for(scenario(system, trouble), RUN_LIMIT_S))
    except Exception as error:
        # A mistake of the script must not count as a broken rule.
        system.record.write(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        verdict = COULD_NOT_RUN
    else:
        for reason in reasons:
            system.record.write(f"BROKEN: {reason}")
            print(f"BROKEN: {reason}")
        if not reasons:
            system.record.write("held")
            print("held")
        verdict = BROKEN if reasons else HELD
    finally:
        system.close()
    sys.exit(verdict)
