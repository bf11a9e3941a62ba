"""Measure membership: cost of a node by group size, propagation delay, memory of a large view.

Run as ``PYTHONPATH=src python bench/membership.py --json FILE``; prints a table. Each node is a
separate process; a stand-in provides the platform, and all use the loopback interface.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from statistics import mean
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

import click
from msgspec import Struct
from msgspec.json import encode
from msgspec.json import format as format_json

from pollenbay.commands.heartbeat import apply_peer_heartbeat, compose_heartbeat
from pollenbay.commands.membership import apply_record, check_contacts, update_peers
from pollenbay.gossip import Clock, Gossip, make_gossip
from pollenbay.gossipmessage import Record, encode_message
from pollenbay.ids import HostId, Incarnation, InstanceId, RegionId, ServiceName, ZoneId
from pollenbay.queries.membership import member_of
from pollenbay.queries.peers import select_peers
from pollenbay.rulebook import make_rulebook
from pollenbay.states import MemberState
from pollenbay.view import View, make_view

ROOT = Path(__file__).resolve().parent.parent
SIZES = (1, 8, 16, 32, 64)
#: Groups below this size are measured at rest only.
EVENTS_SIZE_MIN = 4
REST_WINDOW_S = 12.0
LOG_PERIOD_S = 4.0
SETTLE_S = 6.0
WAIT_TIMEOUT_S = 60.0
PUBLISHED_VERSIONS = 3
TARGET_SIZE = 3800
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1", "z4": "r2", "z5": "r2", "z6": "r3", "z7": "r3"}
ITERATIONS = 200
#: IPv4 and TCP headers with timestamps, for a message and its acknowledgement.
HEADER_BYTES = 2 * 52
#: Length prefix and request id that pynng adds to each message.
PYNNG_FRAME_BYTES = 12
US_PER_S = 1_000_000
MS_PER_S = 1000


class GroupCost(Struct):
    """Cost of one node, as the mean over a group of `nodes`.

    :param core_part: processor time divided by elapsed time.
    :param worst_core_part: the highest such ratio in the group.
    :param bytes_per_s: payload sent and received.
    :param wire_bytes_per_s: the same with estimated headers and acknowledgements.
    :param version_ms: for each published version, time between its first and last adoption.
    :param suspect_s: time until all nodes considered a killed node suspect or dead.
    :param dead_s: time until all nodes considered a killed node dead.
    :param leaving_ms: time until all nodes considered a terminated node leaving.
    """

    nodes: int
    contacts: float
    core_part: float
    worst_core_part: float
    bytes_per_s: float
    wire_bytes_per_s: float
    rss_mb: float
    join_s: float
    version_ms: list[float]
    suspect_s: float
    dead_s: float
    leaving_ms: float


class LargeView(Struct):
    """Costs with a view of `members` members; times in microseconds of processor time."""

    members: int
    view_mb: float
    apply_record_us: float
    compose_us: float
    absorb_us: float
    check_us: float
    choose_peers_us: float
    heartbeat_bytes: int
    full_heartbeat_bytes: int


class Result(Struct):
    """Result of a measurement."""

    groups: list[GroupCost]
    large_view: LargeView


class Node:
    """One node process and its log."""

    def __init__(self, name: str, popen: subprocess.Popen, log: Path, port: int) -> None:
        self.name = name
        self.popen = popen
        self.log = log
        self.port = port

    def lines(self) -> list[dict]:
        """Return the complete lines of the log."""
        complete, _, _ = self.log.read_bytes().rpartition(b"\n")
        return [json.loads(line) for line in complete.splitlines()]

    def last_line(self) -> dict:
        """Return the last complete line of the log, reading only the end of the file."""
        with self.log.open("rb") as file:
            file.seek(max(0, self.log.stat().st_size - 65536))
            complete, _, _ = file.read().rpartition(b"\n")
        return json.loads(complete.splitlines()[-1])

    def rss_mb(self) -> float:
        """Return the resident memory in MiB."""
        status = Path(f"/proc/{self.popen.pid}/status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024


class Group:
    """The processes of one measurement: the platform stand-in and the nodes."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._platform = self._start("standins.platform", "--port", "0")
        self._table_port = _read_ready(self._platform)["port"]
        self.nodes: list[Node] = []

    def start_nodes(self, size: int) -> float:
        """Start nodes in seven zones; return the seconds until each sees all of them as serving."""
        zones = list(ZONES.items())
        for number in range(size):
            self._start_node(f"i{number:03d}", *zones[number % len(zones)])
        start = time.monotonic()
        names = {node.name for node in self.nodes}
        _wait_until(lambda: all(_serving(node, names) for node in self.nodes), "all nodes to serve")
        return time.monotonic() - start

    def stop(self) -> None:
        """Kill all processes and wait for them."""
        processes = [node.popen for node in self.nodes] + [self._platform]
        for popen in processes:
            popen.kill()
        for popen in processes:
            popen.wait()

    def _start_node(self, name: str, zone: str, region: str) -> None:
        log = self._folder / f"{name}.jsonl"
        popen = self._start(
            "tests.member_node",
            *("--instance", name, "--zone", zone, "--region", region),
            *("--table-port", str(self._table_port), "--log", str(log)),
            *("--every-s", str(LOG_PERIOD_S)),
        )
        self.nodes.append(Node(name, popen, log, _read_ready(popen)["port"]))

    def _start(self, module: str, *arguments: str) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        )


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, default=SIZES)
@click.option("--json", "json_path", type=click.Path(path_type=Path))
def main(sizes: tuple[int, ...], json_path: Path | None) -> None:
    """Measure and print."""
    result = Result([measure_group(size) for size in sizes], measure_large_view())
    if json_path is not None:
        json_path.write_bytes(format_json(encode(result), indent=2) + b"\n")
    _print(result)


def measure_group(size: int) -> GroupCost:
    """Measure a group at rest, then while versions spread, a node is killed and a node leaves."""
    with tempfile.TemporaryDirectory() as folder:
        group = Group(Path(folder))
        try:
            join_s = group.start_nodes(size)
            time.sleep(SETTLE_S)
            cost = _measure_rest(group, join_s)
            if size < EVENTS_SIZE_MIN:
                return cost
            cost.version_ms = [_measure_version(group) for _ in range(PUBLISHED_VERSIONS)]
            cost.suspect_s, cost.dead_s = _measure_death(group)
            cost.leaving_ms = _measure_leaving(group)
            return cost
        finally:
            group.stop()


def measure_large_view(members: int = TARGET_SIZE) -> LargeView:
    """Measure operations on a view of the target size, in this process."""
    start_tracing()
    before, _ = get_traced_memory()
    gossip, view = _make_large_view(members)
    view_mb = (get_traced_memory()[0] - before) / 2**20
    stop_tracing()
    rulebook, rng = make_rulebook(), Random(1)
    peer = gossip.selected_peers[0]
    heartbeat = compose_heartbeat(gossip, view, rulebook, peer, rng)
    receiver, receiver_view = _make_large_view(members, local_number=1)
    changed_records = _changed_records(members)
    apply_us = _time_us(lambda: _apply(gossip, view, next(changed_records)))
    check_times_ms = iter(range(1, ITERATIONS * 10))
    return LargeView(
        members=members,
        view_mb=view_mb,
        apply_record_us=apply_us,
        compose_us=_time_us(lambda: compose_heartbeat(gossip, view, rulebook, peer, rng)),
        absorb_us=_time_us(
            lambda: apply_peer_heartbeat(receiver, receiver_view, heartbeat, Clock(1.0, 1000))
        ),
        check_us=_time_us(lambda: check_contacts(gossip, view, next(check_times_ms) / MS_PER_S)),
        choose_peers_us=_time_us(lambda: select_peers(view, gossip.local_instance)),
        heartbeat_bytes=len(encode_message(heartbeat)),
        full_heartbeat_bytes=len(
            encode_message(compose_heartbeat(gossip, view, rulebook, peer, rng))
        ),
    )


def _measure_rest(group: Group, join_s: float) -> GroupCost:
    first = [node.last_line() for node in group.nodes]
    time.sleep(REST_WINDOW_S)
    last = [node.last_line() for node in group.nodes]
    pairs = list(zip(first, last, strict=True))
    core_ratios = [(b["cpu_s"] - a["cpu_s"]) / (b["at"] - a["at"]) for a, b in pairs]
    payload_bytes_per_s = [
        _rate(a, b, "sent_bytes") + _rate(a, b, "received_bytes") for a, b in pairs
    ]
    messages_per_s = [_rate(a, b, "messages") for a, b in pairs]
    return GroupCost(
        nodes=len(group.nodes),
        contacts=mean(line["contacts"] for line in last),
        core_part=mean(core_ratios),
        worst_core_part=max(core_ratios),
        bytes_per_s=mean(payload_bytes_per_s),
        wire_bytes_per_s=mean(payload_bytes_per_s)
        + mean(messages_per_s) * (HEADER_BYTES + PYNNG_FRAME_BYTES),
        rss_mb=mean(node.rss_mb() for node in group.nodes),
        join_s=join_s,
        version_ms=[],
        suspect_s=0.0,
        dead_s=0.0,
        leaving_ms=0.0,
    )


def _measure_version(group: Group) -> float:
    version = group.nodes[0].last_line()["version"] + 1
    os.kill(group.nodes[0].popen.pid, signal.SIGUSR1)
    nodes = group.nodes
    _wait_until(
        lambda: all(node.last_line()["version"] == version for node in nodes),
        "all nodes to adopt a version",
    )
    times = [node.last_line()["adopted_at"] for node in nodes]
    return (max(times) - min(times)) * MS_PER_S


def _measure_death(group: Group) -> tuple[float, float]:
    killed = group.nodes.pop()
    started_at = time.monotonic()
    killed.popen.kill()
    killed.popen.wait()
    _wait_until(
        lambda: all(_has_state(node, killed, "dead") for node in group.nodes),
        "all nodes to detect a killed node",
    )
    return (
        _slowest_detection_s(group, killed, started_at, ("suspect", "dead")),
        _slowest_detection_s(group, killed, started_at, ("dead",)),
    )


def _measure_leaving(group: Group) -> float:
    leaving = group.nodes.pop()
    started_at = time.monotonic()
    leaving.popen.terminate()
    all_updated = lambda: all(  # noqa: E731
        _has_state(node, leaving, "leaving", "dead") for node in group.nodes
    )
    _wait_until(all_updated, "all nodes to detect a leaving node")
    delay_s = _slowest_detection_s(group, leaving, started_at, ("leaving",))
    leaving.popen.wait()
    return delay_s * MS_PER_S


def _slowest_detection_s(
    group: Group, member: Node, started_at: float, states: tuple[str, ...]
) -> float:
    return (
        max(_entered_state_at(node, member, started_at, states) for node in group.nodes)
        - started_at
    )


def _entered_state_at(
    node: Node, member: Node, started_at: float, states: tuple[str, ...]
) -> float:
    for line in node.lines():
        entry = line["members"].get(member.name)
        if line["at"] >= started_at and entry is not None and entry["state"] in states:
            return entry["since"]
    raise AssertionError(f"{node.name} has not recorded {member.name} as {states}")


def _has_state(node: Node, member: Node, *states: str) -> bool:
    entry = node.last_line()["members"].get(member.name)
    return entry is not None and entry["state"] in states


def _serving(node: Node, names: set[str]) -> bool:
    if not node.log.exists() or not node.log.stat().st_size:
        return False
    try:
        members = node.last_line()["members"]
    except IndexError:
        return False
    return names == {name for name, each in members.items() if each["state"] == "serving"}


def _rate(first: dict, last: dict, key: str) -> float:
    return (last[key] - first[key]) / (last["at"] - first["at"])


def _read_ready(popen: subprocess.Popen) -> dict:
    return json.loads(popen.stdout.readline())


def _wait_until(condition: Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out after {WAIT_TIMEOUT_S} s waiting for {what}")
        time.sleep(0.2)


def _make_large_view(members: int, local_number: int = 0) -> tuple[Gossip, View]:
    view = make_view()
    for number in range(members):
        view.put(member_of(_record(number), 0.0))
    gossip = make_gossip(_instance_id(local_number), 0.0)
    update_peers(gossip, view, 0.0)
    return gossip, view


def _record(number: int, incarnation: int = 1_800_000_000_000) -> Record:
    zone, region = list(ZONES.items())[number % len(ZONES)]
    return Record(
        instance=_instance_id(number),
        incarnation=Incarnation(incarnation),
        sequence=0,
        state=MemberState.SERVING,
        service=ServiceName(f"service-{number % 140}"),
        host=HostId(f"host-{number:05d}"),
        zone=ZoneId(zone),
        region=RegionId(region),
        address=f"10.{number % 7}.{number // 250}.{number % 250}",
        link_port=7001,
        gossip_port=7002,
    )


def _instance_id(number: int) -> InstanceId:
    return InstanceId(f"service-{number % 140}-{number:05d}")


def _changed_records(members: int):
    incarnation = 1_800_000_000_001
    while True:
        for number in range(2, members):
            yield _record(number, incarnation)
        incarnation += 1


def _apply(gossip: Gossip, view: View, record: Record) -> None:
    apply_record(gossip, view, record, Clock(1.0, 1000), _instance_id(1))


def _time_us(action: Callable[[], object]) -> float:
    start = time.process_time()
    for _ in range(ITERATIONS):
        action()
    return (time.process_time() - start) / ITERATIONS * US_PER_S


def _print(result: Result) -> None:
    columns = [name for name in GroupCost.__struct_fields__]
    print("| " + " | ".join(columns) + " |")
    print("|" + " --- |" * len(columns))
    for group in result.groups:
        print("| " + " | ".join(_format(getattr(group, name)) for name in columns) + " |")
    print()
    for name in LargeView.__struct_fields__:
        print(f"| {name} | {_format(getattr(result.large_view, name))} |")


def _format(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(_format(each) for each in value)
    return f"{value:.4g}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    main()
