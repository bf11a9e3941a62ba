"""Measures the cost of control on real nodes and prints the capacity page computed from it.

``PYTHONPATH=src:. python bench/capacity.py measure bench/slopes.json`` starts groups of daemons on
loopback and writes their costs; ``... page bench/slopes.json`` prints docs/CAPACITY.md.
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
REST_WINDOW_S = 10.0
SETTLE_S = 8.0
CHANGES_PER_GROUP = 10
WAIT_TIMEOUT_S = 60.0
POLL_S = 0.25
TICKS_PER_S = 100
BYTES_PER_MB = 1e6
DAY_S = 86400.0


class GroupSlope(Struct):
    """Cost of one daemon, as the mean over a group.

    :param core_part: processor time divided by elapsed time, at rest.
    :param worst_core_part: the highest such ratio in the group.
    :param bytes_per_s: gossip payload in both directions, at rest.
    :param exchanges_per_s: gossip requests sent and served, at rest.
    :param change_cpu_ms: additional processor time for one accepted version.
    :param change_bytes: additional gossip payload for one accepted version.
    :param change_s: longest time until all daemons had adopted a version, over all changes.
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
    """Result of a measurement.

    :param load_average: load of the machine over five minutes at the end of the run.
    """

    groups: list[GroupSlope]
    view: LargeView
    rule_set_bytes: int
    load_average: float


class ReadyProcess:
    """A running process and the line that it printed when it was ready."""

    def __init__(self, popen: subprocess.Popen, ready: dict) -> None:
        self.popen = popen
        self.ready = ready

    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        stat = Path(f"/proc/{self.popen.pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def rss_mb(self) -> float:
        """Return the resident memory in units of 1,000,000 bytes."""
        statm = Path(f"/proc/{self.popen.pid}/statm").read_text(encoding="ascii")
        return int(statm.split()[1]) * getpagesize() / BYTES_PER_MB

    def counters(self) -> dict[str, float]:
        """Return the values of the metrics that have no labels, by name."""
        with urlopen(f"http://{ADDRESS}:{self.ready['admin']}/metrics", timeout=10) as response:
            text = response.read().decode("utf-8")
        return {name: float(value) for name, value in findall(r"(?m)^(\w+) (\S+)$", text)}


class Group:
    """A platform stand-in and a number of daemons."""

    def __init__(self, folder: Path, size: int) -> None:
        self._folder = folder
        self._popens: list[subprocess.Popen] = []
        self.table_port = self._start("standins.platform", "--port", "0").ready["port"]
        self.publish_change(0)
        zones = list(ZONES.items())
        self.daemons = [self._start_daemon(index, *zones[index % 7]) for index in range(size)]
        self.wait_for("pollenbay_members", float(size))

    def publish_change(self, number: int) -> float:
        """Publish rules that differ from the previous ones in one service; return their version.

        :raises RuntimeError: if the publication is not accepted.
        """
        table = make_table(ADDRESS, self.table_port)
        outcome = run(publish, table, Publish(services=make_rules(number), author="bench"), time())
        if not isinstance(outcome, Accepted):
            raise RuntimeError(str(outcome))
        return float(outcome.version)

    def wait_for(self, metric: str, value: float) -> float:
        """Wait until a metric has a value on all daemons and return the elapsed seconds.

        :raises RuntimeError: if that takes longer than ``WAIT_TIMEOUT_S``.
        """
        started = monotonic()
        while monotonic() - started < WAIT_TIMEOUT_S:
            if all(daemon.counters().get(metric) == value for daemon in self.daemons):
                return monotonic() - started
            sleep(POLL_S)
        raise RuntimeError(f"{metric} did not reach {value} on all daemons before the timeout")

    def stop(self) -> None:
        """Kill all processes and wait for them."""
        for popen in self._popens:
            popen.kill()
            popen.wait()

    def _start_daemon(self, index: int, zone: str, region: str) -> ReadyProcess:
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

    def _start(self, module: str, *arguments: str) -> ReadyProcess:
        command = [sys.executable, "-m", module, *arguments]
        popen = subprocess.Popen(command, stdout=subprocess.PIPE)
        self._popens.append(popen)
        return ReadyProcess(popen, json.loads(popen.stdout.readline()))


def make_rules(number: int) -> tuple[ServiceRule, ...]:
    """Return a rule set of the target size; `number` varies the slots of one service."""
    return tuple(_make_service_rule(index, number) for index in range(SERVICES))


def _make_service_rule(index: int, number: int) -> ServiceRule:
    calls = tuple(
        CallRule(name=CallName(f"c{each}"), call_class=CallClass.NORMAL, wait_ms=1000 + each)
        for each in range(CALLS_PER_SERVICE)
    )
    slots = 20 + (number if index == number % SERVICES else 0)
    return ServiceRule(service=ServiceName(f"s{index}"), slots=slots, calls=calls)


def measure_group(size: int) -> GroupSlope:
    """Start a group and measure it at rest and while rules are published."""
    with TemporaryDirectory() as name:
        group = Group(Path(name), size)
        try:
            sleep(SETTLE_S)
            return _measure(group, size)
        finally:
            group.stop()


def _measure(group: Group, size: int) -> GroupSlope:
    at_rest = _sample(group, lambda: sleep(REST_WINDOW_S))
    adoption_times_s: list[float] = []
    under_changes = _sample(group, lambda: adoption_times_s.extend(_make_changes(group)))
    seconds = under_changes.seconds
    return GroupSlope(
        nodes=size,
        core_part=at_rest.cpu_s / size / at_rest.seconds,
        worst_core_part=at_rest.worst_cpu_s / at_rest.seconds,
        bytes_per_s=at_rest.payload_bytes / size / at_rest.seconds,
        exchanges_per_s=at_rest.exchanges / size / at_rest.seconds,
        rss_mb=sum(daemon.rss_mb() for daemon in group.daemons) / size,
        change_cpu_ms=_excess_over_rest(under_changes.cpu_s, at_rest.cpu_s, at_rest, seconds)
        / size
        / CHANGES_PER_GROUP
        * 1000,
        change_bytes=_excess_over_rest(
            under_changes.payload_bytes, at_rest.payload_bytes, at_rest, seconds
        )
        / size
        / CHANGES_PER_GROUP,
        change_s=max(adoption_times_s),
    )


class Sample(Struct):
    """Totals of a group over a period."""

    seconds: float
    cpu_s: float
    worst_cpu_s: float
    payload_bytes: float
    exchanges: float


def _sample(group: Group, action) -> Sample:
    cpu, counters = _read_totals(group)
    started = monotonic()
    action()
    seconds = monotonic() - started
    cpu_after, counters_after = _read_totals(group)
    cpu_deltas = [after - before for before, after in zip(cpu, cpu_after, strict=True)]
    counter_deltas = {name: counters_after[name] - counters[name] for name in counters}
    return Sample(
        seconds,
        sum(cpu_deltas),
        max(cpu_deltas),
        counter_deltas["sent_bytes"] + counter_deltas["received_bytes"],
        counter_deltas["questions_sent"] + counter_deltas["questions_served"],
    )


def _read_totals(group: Group) -> tuple[list[float], dict[str, float]]:
    names = ("sent_bytes", "received_bytes", "questions_sent", "questions_served")
    counters = [daemon.counters() for daemon in group.daemons]
    sums = {
        name: sum(each[f"pollenbay_traffic_{name}_total"] for each in counters) for name in names
    }
    return [daemon.cpu_s() for daemon in group.daemons], sums


def _make_changes(group: Group) -> list[float]:
    adoption_times_s = []
    for number in range(1, CHANGES_PER_GROUP + 1):
        version = group.publish_change(number)
        adoption_times_s.append(group.wait_for("pollenbay_rule_version", version))
    return adoption_times_s


def _excess_over_rest(value: float, rest_value: float, rest: Sample, seconds: float) -> float:
    return value - rest_value / rest.seconds * seconds


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
    rule_set_bytes = len(encode(make_rules(0)))
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
