"""Cost of a call through one and two nodes, as ratios against the direct call of the same run.

Run: ``PYTHONPATH=src python bench/path.py --calls 3000``. Starts a target, the platform's
stand-in and two nodes as processes on loopback, and calls in turn the target, the node beside
it, and a node beside another service.
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
TARGET_ADDED_MS = 0.55
READY_WITHIN_S = 15.0
IDLE_CONNECTIONS = 1050
ROUND_CALLS = 50
WARM_UP_CALLS = 200
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Place(Struct):
    """One process of the measurement and what it printed when it listened."""

    process: subprocess.Popen
    ready: dict


class PathFigures(Struct):
    """Latency in milliseconds of one way to the target, and CPU spent by the nodes in it."""

    way: str
    p50_ms: float
    p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    ratio_p50: float
    node_cpu_ms: float


def start(places: list[Place], *arguments: str) -> Place:
    """Start a process of ours and wait for the line that it prints when it listens."""
    process = subprocess.Popen([sys.executable, *arguments], stdout=subprocess.PIPE)
    place = Place(process, json.loads(process.stdout.readline()))
    places.append(place)
    return place


def start_node(places: list[Place], folder: Path, service: str, table_port: int) -> Place:
    """Start a node of a service."""
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
    return start(places, "-m", "pollenbay.daemon", "--settings", str(path))


def publish_rules(table_port: int) -> None:
    """Publish the rules of two services, one of which is called."""
    rule = CallRule(name="read", call_class=CallClass.NORMAL, wait_ms=2000, retries=0)
    services = tuple(ServiceRule(service=name, calls=(rule,)) for name in ("front", "stock"))
    run(
        publish, make_table(ADDRESS, table_port), Publish(services=services, author="bench"), time()
    )


def cpu_s(place: Place) -> float:
    """Return CPU seconds spent by a process so far."""
    stat = Path(f"/proc/{place.process.pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(place: Place) -> float:
    """Return resident memory of a process in MB."""
    statm = Path(f"/proc/{place.process.pid}/statm").read_text(encoding="ascii")
    return int(statm.split()[1]) * getpagesize() / 1e6


async def connect(port: int) -> HttpClient:
    """Open one kept connection."""
    return await connect_http(ADDRESS, port)


async def call(client: HttpClient, path: bytes) -> float:
    """Make one call and return its seconds."""
    request = HttpRequest(b"GET", path, [(b"host", b"bench"), (b"x-marker", b"m")])
    begun = perf_counter()
    response = await client.exchange(request)
    seconds = perf_counter() - begun
    if response.status != 200:
        raise RuntimeError(f"status {response.status} from {path!r}")
    return seconds


async def wait_until_served(port: int, path: bytes) -> None:
    """Call until the node answers for the target."""
    give_up_at = monotonic() + READY_WITHIN_S
    while monotonic() < give_up_at:
        client = await connect(port)
        try:
            await call(client, path)
            return
        except RuntimeError:
            sleep(0.2)
        finally:
            await client.close()
    raise RuntimeError("no node serves in time")


async def measure(ways: dict[str, tuple[int, bytes]], nodes: list[Place], calls: int):
    """Return the seconds of each call by way, and the nodes' CPU seconds a call by way."""
    clients = {way: await connect(port) for way, (port, _) in ways.items()}
    seconds: dict[str, list[float]] = {way: [] for way in ways}
    cpu = dict.fromkeys(ways, 0.0)
    for way, (_, path) in ways.items():
        for _ in range(WARM_UP_CALLS):
            await call(clients[way], path)
    for _ in range(calls // ROUND_CALLS):
        for way, (_, path) in ways.items():
            before = sum(cpu_s(node) for node in nodes)
            for _ in range(ROUND_CALLS):
                seconds[way].append(await call(clients[way], path))
            cpu[way] += sum(cpu_s(node) for node in nodes) - before
    return seconds, {way: cpu[way] / len(seconds[way]) for way in ways}


def percentile(values: list[float], part: float) -> float:
    """Return a percentile in milliseconds."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * part)] * MS_PER_S


def figures(seconds: dict[str, list[float]], cpu: dict[str, float]) -> list[PathFigures]:
    """Return the figures of each way against the direct one."""
    direct = seconds["direct"]
    return [
        PathFigures(
            way=way,
            p50_ms=median(values) * MS_PER_S,
            p99_ms=percentile(values, 0.99),
            added_p50_ms=(median(values) - median(direct)) * MS_PER_S,
            added_p99_ms=percentile(values, 0.99) - percentile(direct, 0.99),
            ratio_p50=median(values) / median(direct),
            node_cpu_ms=cpu[way] * MS_PER_S,
        )
        for way, values in seconds.items()
    ]


async def memory_of_idle(node: Place) -> float:
    """Return KB of memory for each idle connection of a caller."""
    before = resident_mb(node)
    clients = [await connect(node.ready["callers"]) for _ in range(IDLE_CONNECTIONS)]
    for client in clients:
        await client.exchange(HttpRequest(b"GET", b"/front/none", [(b"host", b"bench")]))
    grown = resident_mb(node) - before
    for client in clients:
        await client.close()
    return grown * 1000.0 / IDLE_CONNECTIONS


@click.command()
@click.option("--calls", default=2000, help="Calls by each way.")
def main(calls: int) -> None:
    """Measure and print a table."""
    places: list[Place] = []
    with TemporaryDirectory() as name:
        try:
            _measure_all(places, Path(name), calls)
        finally:
            for place in places:
                place.process.kill()
                place.process.wait()


def _measure_all(places: list[Place], folder: Path, calls: int) -> None:
    platform = start(places, "-m", "standins.platform", "--port", "0")
    table_port = platform.ready["port"]
    publish_rules(table_port)
    nodes = [start_node(places, folder, name, table_port) for name in ("stock", "front")]
    config = {
        "service": "stock",
        "slots": 20,
        "node_port": nodes[0].ready["outbound"],
        "calls": [{"name": "read", "service_ms": 0.0}],
    }
    path = folder / "target.yaml"
    path.write_text(safe_dump(config), encoding="utf-8")
    target = start(places, "-m", "standins.target", "--config", str(path))
    ways = {
        "direct": (target.ready["port"], b"/read"),
        "one node": (nodes[0].ready["callers"], b"/stock/read"),
        "two nodes": (nodes[1].ready["callers"], b"/stock/read"),
    }
    for _, (port, target_path) in ways.items():
        run(wait_until_served, port, target_path)
    _print(figures(*run(measure, ways, nodes, calls)))
    click.echo(f"memory of an idle caller's connection: {run(memory_of_idle, nodes[1]):.1f} KB")
    click.echo(f"resident memory of a node: {resident_mb(nodes[1]):.0f} MB")


def _print(rows: list[PathFigures]) -> None:
    click.echo("way        p50 ms  p99 ms  added p50  added p99  ratio p50  node CPU ms a call")
    for row in rows:
        click.echo(
            f"{row.way:10} {row.p50_ms:6.3f}  {row.p99_ms:6.3f}  {row.added_p50_ms:9.3f}"
            f"  {row.added_p99_ms:9.3f}  {row.ratio_p50:9.2f}  {row.node_cpu_ms:10.3f}"
        )
    click.echo(f"target: {TARGET_ADDED_MS} ms added for 99 in 100 calls")


if __name__ == "__main__":
    main()
