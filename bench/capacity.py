"""Slopes of control measured on real nodes, and the capacity page worked out from them.

``PYTHONPATH=src python bench/capacity.py measure bench/slopes.json`` starts groups of daemons on
loopback and writes what they cost; ``... page bench/slopes.json`` prints docs/CAPACITY.md.
"""

import json
import subprocess
import sys
from os import getloadavg
from pathlib import Path
from re import findall
from resource import getpagesize
from tempfile import TemporaryDirectory
from time import monotonic, sleep, time
from urllib.request import urlopen

import click
from curio import run
from msgspec import Struct
from msgspec.json import decode, encode
from yaml import safe_dump

from bench.membership import LargeView, measure_large_view
from pollenbay.commands.publication import Accepted, Publish, publish
from pollenbay.ids import CallName, ServiceName
from pollenbay.rule import CallRule, ServiceRule
from pollenbay.states import CallClass
from pollenbay.table import make_table

ADDRESS = "127.0.0.1"
SIZES = (8, 16, 32, 64)
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1", "z4": "r2", "z5": "r2", "z6": "r3", "z7": "r3"}
SERVICES = 140
CALLS_PER_SERVICE = 10
REST_S = 10.0
SETTLE_S = 8.0
CHANGES = 10
READY_WITHIN_S = 60.0
POLL_S = 0.25
TICKS_PER_S = 100
MB = 1e6
DAY_S = 86400.0


class GroupSlope(Struct):
    """What one daemon costs in a group, as a mean over it.

    :param core_part: processor time by elapsed time, at rest.
    :param worst_core_part: that of the costliest one.
    :param bytes_per_s: payload of gossip in both directions, at rest.
    :param exchanges_per_s: questions asked and answered.
    :param change_cpu_ms: processor time that one more accepted version costs.
    :param change_bytes: payload that it costs.
    :param change_s: longest time until a version was in force everywhere, over all changes.
    """

    nodes: int
    core_part: float
    worst_core_part: float
    bytes_per_s: float
    exchanges_per_s: float
    rss_mb: float
    change_cpu_ms: float
    change_bytes: float
    change_s: float


class Slopes(Struct):
    """Everything measured.

    :param load_average: load of the machine over five minutes when it ended.
    """

    groups: list[GroupSlope]
    view: LargeView
    rule_set_bytes: int
    load_average: float


class Daemon:
    """One running daemon."""

    def __init__(self, popen: subprocess.Popen, ready: dict) -> None:
        self.popen = popen
        self.ready = ready

    def cpu_s(self) -> float:
        """Return processor seconds so far."""
        stat = Path(f"/proc/{self.popen.pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def rss_mb(self) -> float:
        """Return resident memory."""
        statm = Path(f"/proc/{self.popen.pid}/statm").read_text(encoding="ascii")
        return int(statm.split()[1]) * getpagesize() / MB

    def counters(self) -> dict[str, float]:
        """Return its metrics without labels."""
        with urlopen(f"http://{ADDRESS}:{self.ready['admin']}/metrics", timeout=10) as answer:
            text = answer.read().decode("utf-8")
        return {name: float(value) for name, value in findall(r"(?m)^(\w+) (\S+)$", text)}


class Group:
    """A platform stand-in and a number of daemons."""

    def __init__(self, folder: Path, size: int) -> None:
        self._folder = folder
        self._popens: list[subprocess.Popen] = []
        self.table_port = self._start("standins.platform", "--port", "0").ready["port"]
        self.change(0)
        zones = list(ZONES.items())
        self.daemons = [self._start_daemon(index, *zones[index % 7]) for index in range(size)]
        self.wait_for("pollenbay_members", float(size))

    def change(self, number: int) -> float:
        """Publish rules that differ in one service from the last ones and return the version."""
        table = make_table(ADDRESS, self.table_port)
        outcome = run(publish, table, Publish(services=rules(number), author="bench"), time())
        if not isinstance(outcome, Accepted):
            raise RuntimeError(str(outcome))
        return float(outcome.version)

    def wait_for(self, metric: str, value: float) -> float:
        """Wait until a metric has a value on all daemons and return the seconds it took."""
        begun = monotonic()
        while monotonic() - begun < READY_WITHIN_S:
            if all(daemon.counters().get(metric) == value for daemon in self.daemons):
                return monotonic() - begun
            sleep(POLL_S)
        raise RuntimeError(f"{metric} is not {value} everywhere in time")

    def stop(self) -> None:
        """End all processes."""
        for popen in self._popens:
            popen.kill()
            popen.wait()

    def _start_daemon(self, index: int, zone: str, region: str) -> Daemon:
        settings = {
            "instance": f"i{index}",
            "host": f"h{index}",
            "zone": zone,
            "region": region,
            "service": f"s{index % SERVICES}",
            "address": ADDRESS,
            "table": {"address": ADDRESS, "port": self.table_port},
            "admin_token": "0123456789abcdef",
            "log_level": "ERROR",
        }
        path = self._folder / f"i{index}.yaml"
        path.write_text(safe_dump(settings), encoding="utf-8")
        return self._start("pollenbay.daemon", "--settings", str(path))

    def _start(self, module: str, *arguments: str) -> Daemon:
        command = [sys.executable, "-m", module, *arguments]
        popen = subprocess.Popen(command, stdout=subprocess.PIPE)
        self._popens.append(popen)
        return Daemon(popen, json.loads(popen.stdout.readline()))


def rules(number: int) -> tuple[ServiceRule, ...]:
    """Return rules of the target size; `number` changes those of one service."""
    return tuple(_service(index, number) for index in range(SERVICES))


def _service(index: int, number: int) -> ServiceRule:
    calls = tuple(
        CallRule(name=CallName(f"c{each}"), call_class=CallClass.NORMAL, wait_ms=1000 + each)
        for each in range(CALLS_PER_SERVICE)
    )
    slots = 20 + (number if index == number % SERVICES else 0)
    return ServiceRule(service=ServiceName(f"s{index}"), slots=slots, calls=calls)


def measure_group(size: int) -> GroupSlope:
    """Start a group and measure it at rest and under changes of the rules."""
    with TemporaryDirectory() as name:
        group = Group(Path(name), size)
        try:
            sleep(SETTLE_S)
            return _measure(group, size)
        finally:
            group.stop()


def _measure(group: Group, size: int) -> GroupSlope:
    rest = _sample(group, lambda: sleep(REST_S))
    longest: list[float] = []
    changed = _sample(group, lambda: longest.extend(_make_changes(group)))
    seconds = changed.seconds
    return GroupSlope(
        nodes=size,
        core_part=rest.cpu_s / size / rest.seconds,
        worst_core_part=rest.worst_cpu_s / rest.seconds,
        bytes_per_s=rest.payload / size / rest.seconds,
        exchanges_per_s=rest.exchanges / size / rest.seconds,
        rss_mb=sum(daemon.rss_mb() for daemon in group.daemons) / size,
        change_cpu_ms=_more(changed.cpu_s, rest.cpu_s, rest, seconds) / size / CHANGES * 1000,
        change_bytes=_more(changed.payload, rest.payload, rest, seconds) / size / CHANGES,
        change_s=max(longest),
    )


class Sample(Struct):
    """Sums over a group and a time."""

    seconds: float
    cpu_s: float
    worst_cpu_s: float
    payload: float
    exchanges: float


def _sample(group: Group, work) -> Sample:
    cpu, counters = _read(group)
    begun = monotonic()
    work()
    seconds = monotonic() - begun
    cpu_after, counters_after = _read(group)
    spent = [after - before for before, after in zip(cpu, cpu_after, strict=True)]
    moved = {name: counters_after[name] - counters[name] for name in counters}
    return Sample(
        seconds,
        sum(spent),
        max(spent),
        moved["sent_bytes"] + moved["received_bytes"],
        moved["questions_sent"] + moved["questions_served"],
    )


def _read(group: Group) -> tuple[list[float], dict[str, float]]:
    names = ("sent_bytes", "received_bytes", "questions_sent", "questions_served")
    counters = [daemon.counters() for daemon in group.daemons]
    sums = {
        name: sum(each[f"pollenbay_traffic_{name}_total"] for each in counters) for name in names
    }
    return [daemon.cpu_s() for daemon in group.daemons], sums


def _make_changes(group: Group) -> list[float]:
    longest = []
    for number in range(1, CHANGES + 1):
        version = group.change(number)
        longest.append(group.wait_for("pollenbay_rule_version", version))
    return longest


def _more(value: float, at_rest: float, rest: Sample, seconds: float) -> float:
    return value - at_rest / rest.seconds * seconds


@click.group()
def main() -> None:
    """Measure slopes, or print the capacity page from them."""


@main.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--size", "sizes", type=int, multiple=True, default=SIZES)
def measure(path: Path, sizes: tuple[int, ...]) -> None:
    """Measure and write the slopes."""
    groups = []
    for size in sizes:
        groups.append(measure_group(size))
        click.echo(groups[-1])
    rule_set_bytes = len(encode(rules(0)))
    slopes = Slopes(groups, measure_large_view(), rule_set_bytes, getloadavg()[1])
    path.write_text(json.dumps(json.loads(encode(slopes)), indent=2) + "\n", encoding="utf-8")


@main.command()
@click.argument("path", type=click.Path(path_type=Path))
def page(path: Path) -> None:
    """Print the capacity page."""
    from bench.capacitypage import make_page

    click.echo(make_page(decode(path.read_bytes(), type=Slopes)), nl=False)


if __name__ == "__main__":
    main()
