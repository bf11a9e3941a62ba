"""What the scripts of this review share: one deployment on loopback addresses.

The nodes are started with the command of the deploy file and the settings of its template. Store,
instances and clients are small stand-ins in the process of the script; they speak what PROTOCOL.md
says. Every wait has a limit, and `run_trial` ends all processes that it started.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "shop.example"
HEARTBEAT_S = 1.5
READY_S = 20.0
LIMIT_S = 110.0
#: Bounds of the site file sagbru-mesh.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "sync_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 50,
    "recovery_s": 15,
}


class CouldNotRunError(Exception):
    """The deployment did not start, so nothing was shown."""


class Record:
    """Lines with the seconds since the start of the script, also written to `record.txt`."""

    def __init__(self, folder):
        self._start = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.write(f"trouble {int(TROUBLE)}")

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


# HTTP -------------------------------------------------------------------------------------------


async def read_head(reader):
    """Return the first line and the headers (names in lower case), or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head is cut") from error
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_message_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Answer:
    """What a client saw: a whole response, or `status` 0 and the way in which it failed."""

    def __init__(self, status, headers=None, body=b"", error=""):
        self.status, self.headers, self.body, self.error = status, headers or {}, body, error
        self.at = time.monotonic()

    @property
    def signed(self):
        return "x-pollenbay-server-signature" in self.headers

    def __str__(self):
        if not self.status:
            return f"no whole answer: {self.error}"
        signed = "signed" if self.signed else "not signed"
        return f"{self.status} {signed}, {len(self.body)} bytes"


async def exchange(address, method, path, headers, body=b"", limit_s=10.0):
    """Send one request on a new connection and return the answer."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers)]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                return Answer(0, error="closed before an answer")
            status = int(head[0].split()[1])
            return Answer(status, head[1], await read_message_body(reader, head[1]))
    except asyncio.IncompleteReadError as error:
        return Answer(0, error=f"cut after {len(error.partial)} bytes of the body")
    except TimeoutError:
        return Answer(0, error="none in time")
    except OSError as error:
        return Answer(0, error=f"{type(error).__name__}")
    finally:
        if writer is not None:
            writer.close()


# The platform -------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store, as far as the nodes use it."""

    def __init__(self):
        self._rows, self._ver, self._changed = {}, 0, asyncio.Event()
        self.address = ""

    async def start(self, address):
        self.address = address
        host, port = address.rsplit(":", 1)
        return await asyncio.start_server(self._serve, host, int(port))

    def put(self, table, key, value, part=""):
        self._ver += 1
        coded = base64.b64encode(value).decode()
        row = {"table": table, "part": part, "key": key, "value": coded, "ver": self._ver}
        self._rows[table, part, key] = row
        self._wake()

    def put_config(self, version, services, paths):
        config = {
            "version": f"r{version}",
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_connections": 250,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "header_bytes": 16384,
                "body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "hosts": [{"host": HOST, "paths": paths}],
        }
        self.put("op", "config", json.dumps(config).encode())

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = await read_message_body(reader, head[1])
                status, answer = await self._handle(head[0], body)
                kind = ("content-type", "application/json")
                writer.write(encode_response(status, [kind], json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, line, body):
        from urllib.parse import parse_qs, urlsplit

        target = urlsplit(line.split()[1])
        query = {k: v[0] for k, v in parse_qs(target.query, keep_blank_values=True).items()}
        if target.path == "/rows-get":
            return 200, self._found(query)
        if target.path == "/rows-feed":
            return 200, await self._feed(query)
        if target.path == "/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _answer(self, rows, has_more=False):
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "has_more": has_more, "ver": self._ver, "now_ms": now_ms}

    def _found(self, query):
        start, end = query.get("from", ""), query.get("target")
        rows = [
            row
            for key, row in sorted(self._rows.items())
            if key[:2] == (query["table"], query.get("part", "")) and not row.get("deleted")
            if key[2] >= start and (end is None or key[2] < end)
        ]
        limit = int(query.get("limit", 500))
        return self._answer(rows[:limit], len(rows) > limit)

    async def _feed(self, query):
        after, ends_at = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            rows = [
                row
                for key, row in self._rows.items()
                if key[0] == query["table"] and row["ver"] > after
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return self._answer(sorted(rows, key=lambda row: row["ver"]))
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body):
        for check in body.get("expected", []):
            row = self._rows.get((check["table"], check.get("part", ""), check["key"]))
            if (0 if row is None or row.get("deleted") else row["ver"]) != check["ver"]:
                return 412, self._answer([])
        self._ver += 1
        for name, deleted in (("writes", False), ("remove", True)):
            for entry in body.get(name, []):
                key = entry["table"], entry.get("part", ""), entry["key"]
                row = {"table": key[0], "part": key[1], "key": key[2], "ver": self._ver}
                row |= {"deleted": True} if deleted else {"value": entry["value"]}
                self._rows[key] = row
        self._wake()
        return 200, self._answer([])


def route(name, prefix, service, kind="unsafe", **more):
    return {
        "name": name,
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": 6000,
        "slo_ms": 1500,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
    } | more


# Machines -----------------------------------------------------------------------------------------


class Machine:
    """One machine: its node, and the addresses of the instance and of the node."""

    _taken = set()

    def __init__(self, trial, name, service, ip=None):
        self.trial, self.name, self.service = trial, name, service
        self.ip = ip or self._free_ip()
        ports = trial.ports
        self.app = f"{self.ip}:{ports['app']}"
        self.outbound = f"{self.ip}:{ports['outbound']}"
        self.ready = f"{self.ip}:{ports['ready']}"
        self.admin = f"{self.ip}:{ports['admin']}"
        self.process = None
        self.log = None

    def _free_ip(self):
        while True:
            parts = [random.randrange(2, 250) for _ in range(3)]
            ip = ".".join(str(each) for each in (127, *parts))
            if ip not in Machine._taken:
                Machine._taken.add(ip)
                return ip

    def _fields(self):
        ports = self.trial.ports
        return {
            "node_name": self.name,
            "zone": "z1",
            "region": "r1",
            "service": self.service,
            "ip": self.ip,
            "internal_ports": [ports["link"], ports["gossip"]],
            "limits": {"max_fds": 4100},
            "provider": {"address": self.trial.store.address},
            "app_addr": self.app,
            "listen": {"outbound": self.outbound, "ready": self.ready, "admin": self.admin},
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
        }

    def start(self):
        """Start the node as the deploy file does, with the settings of its template."""
        path = self.trial.folder / f"{self.name}.yaml"
        path.write_text(fill_in(self._fields()), encoding="utf-8")
        self.log = (self.trial.folder / f"{self.name}.log").open("ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        command = [sys.executable, "deploy/pollenbayd.py", "--settings", str(path)]
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=self.log, stderr=subprocess.STDOUT
        )
        self.trial.processes.append(self.process)
        self.trial.record.write(f"{self.name}: node started")

    async def wait_until_ready(self):
        await wait_until(self._is_ready, READY_S, f"{self.name} to be ready")

    async def _is_ready(self):
        return (
            await exchange(self.ready, "GET", "/ready", [("Host", "n")], limit_s=1)
        ).status == 200

    async def request(self, method, path, name, body=b"", deadline_ms=6000, limit_s=None):
        """Send a request as a client on this machine does, and record what it got."""
        headers = [
            ("Host", HOST),
            ("X-Pollenbay-Request-Id", name),
            ("X-Pollenbay-Deadline-Ms", deadline_ms),
        ]
        self.trial.record.write(f"client on {self.name} sends {name} {method} {path}")
        answer = await exchange(
            self.outbound, method, path, headers, body, limit_s or deadline_ms / 1000
        )
        self.trial.record.write(f"client on {self.name} got for {name}: {answer}")
        return answer


def fill_in(fields):
    """Fill in the template of the deploy file; only the forms that it uses."""

    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match[2] else str(found)

    text = (ROOT / "deploy" / "node.yaml").read_text(encoding="utf-8")
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Instance:
    """An instance beside a node: runs requests, checks in, leaves.

    :param work: coroutine function; gets the request and returns (status, body).
    """

    def __init__(self, machine, name, capacity=20, work_s=0.0, service=None):
        self.machine, self.name, self.capacity, self.work_s = machine, name, capacity, work_s
        self.service = service or machine.service
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = []  # (request id, monotonic start)
        self.state = "ready"
        self._server, self._beats, self._connections = None, None, set()

    @property
    def record(self):
        return self.machine.trial.record

    async def start(self, beats=True):
        host, port = self.machine.app.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))
        if beats:
            self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await self.check_in()
            await asyncio.sleep(HEARTBEAT_S)

    def body(self, state=None):
        """Return the next check-in."""
        self.seq += 1
        info = {"service": self.service, "version": "v1", "zone": "z1", "capacity": self.capacity}
        status = {"state": state or self.state, "seq": self.seq, "warmup_left_ms": 0}
        address = self.machine.app
        return {"address": address, "info": info, "status": status, "born": self.born}

    async def check_in(self, body=None):
        body = body or self.body()
        answer = await put_check_in(self.machine, self.name, body)
        state = body["status"]["state"]
        self.record.write(f"check-in of {self.name}, {state}: {answer.status or answer.error}")
        return answer

    async def drain(self):
        """Report that this instance is leaving; return the moment of the confirmation."""
        self.state = "draining"
        answer = await self.check_in()
        return answer.at if answer.status == 200 else None

    async def leave(self):
        answer = await exchange(
            self.machine.admin, "DELETE", f"/instances/{self.name}", [("Host", "n")], limit_s=1
        )
        self.record.write(f"DELETE of {self.name}: {answer.status or answer.error}")
        self.stop_beats()
        return answer.at if answer.status == 200 else None

    def stop_beats(self):
        if self._beats is not None:
            self._beats.cancel()

    async def end(self):
        """End as a process does: all its connections break."""
        self.stop_beats()
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        self.record.write(f"instance {self.name} has ended")

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while head := await read_head(reader):
                body = await read_message_body(reader, head[1])
                if not await self.answer(head, body, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def answer(self, head, body, reader, writer):
        line, headers = head
        if line.split()[1] == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(encode_response(status, [("X-Pollenbay-Instance-Id", self.name)], b""))
            return True
        name = headers.get("x-pollenbay-request-id", "")
        echo = [("X-Pollenbay-Request-Id", name)]
        if headers.get("x-pollenbay-target-instance", self.name) != self.name:
            echo.append(("X-Pollenbay-Instance-Id", self.name))
            self.record.write(f"{self.name} answers 421 to {name}")
            writer.write(encode_response(421, echo, b""))
            return True
        self.note_run(name)
        # An instance drops a request when its connection closes.
        work = asyncio.ensure_future(self.work(line, headers, body))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.record.write(f"{self.name} drops {name}: its connection was closed")
            return False
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        status, content = work.result()
        signature = ("X-Pollenbay-Server-Signature", f"3e1b.{name}")
        writer.write(encode_response(status, [*echo, signature], content))
        await writer.drain()
        self.record.write(f"{self.name} has answered {name} with {status}")
        return gone.cancelled()

    def note_run(self, name):
        self.runs.append((name, time.monotonic()))
        self.record.write(f"{self.name} runs {name}")

    async def work(self, line, headers, body):
        await asyncio.sleep(self.work_s)
        return 200, b"answer to " + headers.get("x-pollenbay-request-id", "").encode()


async def put_check_in(machine, name, body, limit_s=1.0):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = [("Host", "n"), ("Content-Type", "application/json")]
    return await exchange(machine.admin, "PUT", f"/instances/{name}", headers, data, limit_s)


# The trial ----------------------------------------------------------------------------------------


class Trial:
    def __init__(self, folder):
        self.folder, self.processes, self.record = folder, [], None
        self.store = Store()
        names = ("app", "outbound", "ready", "admin", "link", "gossip", "store")
        self.ports = dict(zip(names, random.sample(range(12000, 30000), len(names)), strict=True))

    async def start_store(self):
        await self.store.start(f"{Machine(self, 'store', '').ip}:{self.ports['store']}")


async def wait_until(check, limit_s, what):
    ends_at = time.monotonic() + limit_s
    while not await check():
        if time.monotonic() > ends_at:
            raise CouldNotRunError(f"waited {limit_s} s for {what}")
        await asyncio.sleep(0.05)


async def wait_until_served(machine, path, method="GET"):
    """Wait until a request from this machine is served."""

    async def served():
        name = f"{random.getrandbits(64):016x}"
        return (await machine.request(method, path, name, limit_s=2)).status == 200

    await wait_until(served, READY_S, f"an answer on {machine.name}")


def run_trial(script, main):
    """Run `main(trial)`, which returns whether the rule was broken, and exit."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    trial = Trial(folder)
    trial.record = Record(Path(script).resolve().parent)

    async def limited():
        async with asyncio.timeout(LIMIT_S):
            return await main(trial)

    code = COULD_NOT_RUN
    try:
        code = BROKEN if asyncio.run(limited()) else HELD
    except Exception as error:
        trial.record.write(f"could not run: {type(error).__name__}: {error}")
    finally:
        for process in trial.processes:
            if process.poll() is None:
                process.kill()
            process.wait(10)
        if os.environ.get("KEEP"):
            print(folder, file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    trial.record.write(("held", "BROKEN", "could not run")[code])
    print(("the rule held", "the rule was broken", "the case could not run")[code], flush=True)
    # Without the destructors, which complain about connections that are still open.
    os._exit(code)
