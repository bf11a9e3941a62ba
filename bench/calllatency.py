"""Cost of a call through one and two nodes, compared with the direct call of the same run.

Run: ``PYTHONPATH=src python bench/calllatency.py --calls 3000``. Starts a target, the platform
stand-in and two nodes as processes on loopback, and alternates batches of calls to the target, to
the target's node, and to the node of another service.
"""

import json
import os
import subprocess
import sys
from pathlib import Path
from resource import getpagesize
from statistics import median
from tempfile import TemporaryDirectory
from time import monotonic, perf_counter, sleep, time

import click
from curio import run
from msgspec import Struct
from yaml import safe_dump

from pollenbay.commands.publication import Publish, publish
from pollenbay.http1 import HttpRequest
from pollenbay.httpclient import HttpClient, connect_http
from pollenbay.rule import CallRule, ServiceRule
from pollenbay.states import CallClass
from pollenbay.table import make_table

ADDRESS = "127.0.0.1"
MS_PER_S = 1000.0
ADDED_P99_LIMIT_MS = 0.55
READY_TIMEOUT_S = 15.0
IDLE_CONNECTIONS = 1050
CALLS_PER_BATCH = 50
WARM_UP_CALLS = 200
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ReadyProcess(Struct):
    """A running process and its ready line, printed once it accepts connections."""

    process: subprocess.Popen
    ready: dict


class PathFigures(Struct):
    """Latency of one route to the target, and processor time of all nodes per call."""

    route: str
    p50_ms: float
    p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    ratio_p50: float
    node_cpu_ms: float


def start(processes: list[ReadyProcess], *arguments: str) -> ReadyProcess:
    """Start a Python process and wait for its ready line."""
    process = subprocess.Popen([sys.executable, *arguments], stdout=subprocess.PIPE)
    ready_process = ReadyProcess(process, json.loads(process.stdout.readline()))
    processes.append(ready_process)
    return ready_process


def start_node(
    processes: list[ReadyProcess], folder: Path, service: str, table_port: int
) -> ReadyProcess:
    """Start the node of a service."""
    settings = {
        "instance": f"{service}-1",
        "host": f"{service}-1",
        "zone": "z1",
        "region": "r1",
        "service": service,
        "address": ADDRESS,
        "table": {"address": ADDRESS, "port": table_port},
        "admin_token": "0123456789abcdef",
        "log_level": "ERROR",
    }
    path = folder / f"{service}.yaml"
    path.write_text(safe_dump(settings), encoding="utf-8")
    return start(processes, "-m", "pollenbay.daemon", "--settings", str(path))


def publish_rules(table_port: int) -> None:
    """Publish rules for the services ``front`` and ``stock``."""
    rule = CallRule(name="read", call_class=CallClass.NORMAL, wait_ms=2000, retries=0)
    services = tuple(ServiceRule(service=name, calls=(rule,)) for name in ("front", "stock"))
    run(
        publish, make_table(ADDRESS, table_port), Publish(services=services, author="bench"), time()
    )


def cpu_s(process: ReadyProcess) -> float:
    """Return the processor time used so far by a process in seconds."""
    stat = Path(f"/proc/{process.process.pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(process: ReadyProcess) -> float:
    """Return the resident memory of a process in units of 1,000,000 bytes."""
    statm = Path(f"/proc/{process.process.pid}/statm").read_text(encoding="ascii")
    return int(statm.split()[1]) * getpagesize() / 1e6


async def connect(port: int) -> HttpClient:
    """Open a keep-alive connection."""
    return await connect_http(ADDRESS, port)


async def call(client: HttpClient, path: bytes) -> float:
    """Make one call and return its latency in seconds.

    :raises RuntimeError: if the status is not 200.
    """
    request = HttpRequest(b"GET", path, [(b"host", b"bench"), (b"x-marker", b"m")])
    started = perf_counter()
    response = await client.exchange(request)
    elapsed_s = perf_counter() - started
    if response.status != 200:
        raise RuntimeError(f"status {response.status} from {path!r}")
    return elapsed_s


async def wait_until_served(port: int, path: bytes) -> None:
    """Call until the target responds with status 200.

    :raises RuntimeError: if that takes longer than ``READY_TIMEOUT_S``.
    """
    deadline = monotonic() + READY_TIMEOUT_S
    while monotonic() < deadline:
        client = await connect(port)
        try:
            await call(client, path)
            return
        except RuntimeError:
            sleep(0.2)
        finally:
            await client.close()
    raise RuntimeError("the target was not reachable before the timeout")


async def measure(routes: dict[str, tuple[int, bytes]], nodes: list[ReadyProcess], calls: int):
    """Return the latency of each call and the mean processor time of all nodes, in s by route."""
    clients = {route: await connect(port) for route, (port, _) in routes.items()}
    latencies_s: dict[str, list[float]] = {route: [] for route in routes}
    cpu = dict.fromkeys(routes, 0.0)
    for route, (_, path) in routes.items():
        for _ in range(WARM_UP_CALLS):
            await call(clients[route], path)
    for _ in range(calls // CALLS_PER_BATCH):
        for route, (_, path) in routes.items():
            before = sum(cpu_s(node) for node in nodes)
            for _ in range(CALLS_PER_BATCH):
                latencies_s[route].append(await call(clients[route], path))
            cpu[route] += sum(cpu_s(node) for node in nodes) - before
    return latencies_s, {route: cpu[route] / len(latencies_s[route]) for route in routes}


def percentile_ms(values: list[float], ratio: float) -> float:
    """Return a percentile of seconds in milliseconds.

    :param ratio: rank of the percentile from 0 to 1, for instance 0.99.
    """
    ordered = sorted(values)
    return ordered[int(len(ordered) * ratio)] * MS_PER_S


def make_figures(latencies_s: dict[str, list[float]], cpu: dict[str, float]) -> list[PathFigures]:
    """Return the figures of each route compared with the direct one."""
    direct = latencies_s["direct"]
    return [
        PathFigures(
            route=route,
            p50_ms=median(values) * MS_PER_S,
            p99_ms=percentile_ms(values, 0.99),
            added_p50_ms=(median(values) - median(direct)) * MS_PER_S,
            added_p99_ms=percentile_ms(values, 0.99) - percentile_ms(direct, 0.99),
            ratio_p50=median(values) / median(direct),
            node_cpu_ms=cpu[route] * MS_PER_S,
        )
        for route, values in latencies_s.items()
    ]


async def idle_connection_kb(node: ReadyProcess) -> float:
    """Return the memory of a node for one idle caller connection, in units of 1,000 bytes."""
    before_mb = resident_mb(node)
    clients = [await connect(node.ready["callers"]) for _ in range(IDLE_CONNECTIONS)]
    for client in clients:
        await client.exchange(HttpRequest(b"GET", b"/front/none", [(b"host", b"bench")]))
    growth_mb = resident_mb(node) - before_mb
    for client in clients:
        await client.close()
    return growth_mb * 1000.0 / IDLE_CONNECTIONS


@click.command()
@click.option("--calls", default=2000, help="Calls by each way.")
def main(calls: int) -> None:
    """Measure and print a table."""
    processes: list[ReadyProcess] = []
    with TemporaryDirectory() as name:
        try:
            _measure_all(processes, Path(name), calls)
        finally:
            for place in processes:
                place.process.kill()
                place.process.wait()


def _measure_all(processes: list[ReadyProcess], folder: Path, calls: int) -> None:
    platform = start(processes, "-m", "standins.platform", "--port", "0")
    table_port = platform.ready["port"]
    publish_rules(table_port)
    nodes = [start_node(processes, folder, name, table_port) for name in ("stock", "front")]
    config = {
        "service": "stock",
        "slots": 20,
        "node_port": nodes[0].ready["outbound"],
        "calls": [{"name": "read", "service_ms": 0.0}],
    }
    path = folder / "target.yaml"
    path.write_text(safe_dump(config), encoding="utf-8")
    target = start(processes, "-m", "standins.target", "--config", str(path))
    routes = {
        "direct": (target.ready["port"], b"/read"),
        "one node": (nodes[0].ready["callers"], b"/stock/read"),
        "two nodes": (nodes[1].ready["callers"], b"/stock/read"),
    }
    for _, (port, target_path) in routes.items():
        run(wait_until_served, port, target_path)
    _print(make_figures(*run(measure, routes, nodes, calls)))
    click.echo(f"memory of an idle caller's connection: {run(idle_connection_kb, nodes[1]):.1f} KB")
    click.echo(f"resident memory of a node: {resident_mb(nodes[1]):.0f} MB")


def _print(rows: list[PathFigures]) -> None:
    click.echo("way        p50 ms  p99 ms  added p50  added p99  ratio p50  node CPU ms a call")
    for row in rows:
        click.echo(
            f"{row.route:10} {row.p50_ms:6.3f}  {row.p99_ms:6.3f}  {row.added_p50_ms:9.3f}"
            f"  {row.added_p99_ms:9.3f}  {row.ratio_p50:9.2f}  {row.node_cpu_ms:10.3f}"
        )
    click.echo(f"target: {ADDED_P99_LIMIT_MS} ms added for 99 in 100 calls")


if __name__ == "__main__":
    main()
