"""Goodput and recovery of both deployments, under nodes of ours and under plain forwarders.

``PYTHONPATH=src:bench python bench/deployments.py`` runs one after another and prints a table.
Load and capacity are those of `src/standins/deployments`, two instances a service.
"""

from functools import singledispatch
from pathlib import Path
from tempfile import TemporaryDirectory

import click
from curio import TaskGroup, run, sleep, spawn
from graph import (
    ADDRESS,
    INSTANCES,
    OURS,
    SETTINGS,
    Graph,
    Instance,
    end_graph,
    make_graph,
    restart_target,
    spawn_module,
    start_graph,
)
from msgspec import Struct
from msgspec.json import decode, encode
from msgspec.structs import replace
from table import Figures, format_figures
from yaml import safe_dump

from pollenbay.http1 import HttpRequest
from pollenbay.httpclient import connect_http
from pollenbay.queries.status import Status
from standins.load import Load
from standins.load_settings import LoadSettings, Phase, load_load_settings
from standins.load_state import LoadState, make_load_state
from standins.pool import make_pool
from standins.queries.load import check_truth, make_report
from standins.target_settings import load_target_settings
from standins.target_state import Faults, RunLog

VARIANTS = (OURS, "none", "retries", "fixed")
RUN_LOG_LIMIT_BYTES = 256 * 1024 * 1024
SLOW_FACTOR = 10.0
FLOOD_FACTOR = 5.0
WATCH_PERIOD_S = 1.0


class Deployment(Struct, frozen=True):
    """What the scenarios need to know of a deployment.

    :param deep_part: part of the requests of open loops that need the deepest service.
    :param middle: service of which a target is killed.
    :param flooded: call of a forgotten script.
    """

    deepest: str
    deep_part: float
    middle: str
    flooded: str
    flood_wait_ms: int


DEPLOYMENTS = {
    "sagbru": Deployment("stock", 0.3 + 0.35 * 6 / 7 + 0.35 / 2, "bookings", "routes.list", 1500),
    "esernyo": Deployment("allapot", 0.6, "rendeles", "jegyek.status", 600),
}


class Scenario(Struct, frozen=True):
    """Base of what happens in the second phase of a run."""


class Surge(Scenario, frozen=True):
    """Three times the calls arrive."""


class SlowDeep(Scenario, frozen=True):
    """All targets of the deepest service are slow."""


class Killed(Scenario, frozen=True):
    """One of the targets of a service is killed, and started again at the end."""


class Flood(Scenario, frozen=True):
    """One more caller makes five times the calls of all others and retries hard."""


SCENARIOS = {"surge": Surge(), "slow": SlowDeep(), "killed": Killed(), "flood": Flood()}
#: What is run unless deployments are named, so that the whole takes under 12 minutes.
SUITE = {
    "surge": ("sagbru", "esernyo"),
    "slow": ("esernyo",),
    "killed": ("sagbru",),
    "flood": ("esernyo",),
}


class Run(Struct):
    """One run while it lasts.

    :param lost_logs: run logs of targets that were killed.
    """

    graph: Graph
    deployment: Deployment
    settings: LoadSettings
    folder: Path
    lost_logs: list[RunLog]


@singledispatch
def phases_of(scenario: Scenario, base_per_s: float) -> tuple[Phase, ...]:
    """Return the phases of a scenario."""
    raise TypeError(f"not a scenario: {type(scenario).__name__}")


@phases_of.register
def _(scenario: Surge, base_per_s: float) -> tuple[Phase, ...]:
    return _phases(base_per_s, 3.0 * base_per_s, 7, 8, 10)


@phases_of.register
def _(scenario: SlowDeep, base_per_s: float) -> tuple[Phase, ...]:
    return _phases(base_per_s, base_per_s, 6, 30, 11)


@phases_of.register(Killed)
@phases_of.register(Flood)
def _(scenario: Scenario, base_per_s: float) -> tuple[Phase, ...]:
    return _phases(base_per_s, base_per_s, 6, 8, 8)


def _phases(base_per_s: float, second_per_s: float, *seconds: int) -> tuple[Phase, ...]:
    rates = (base_per_s, second_per_s, base_per_s)
    names = ("base", "during", "after")
    return tuple(
        Phase(name=name, rate_per_s=rate, seconds=length)
        for name, rate, length in zip(names, rates, seconds, strict=True)
    )


@singledispatch
async def begin(scenario: Scenario, this: Run) -> None:
    """Bring about what the second phase is for."""


@begin.register
async def _(scenario: SlowDeep, this: Run) -> None:
    await _set_faults(this, Faults(service_time_factor=SLOW_FACTOR))


@begin.register
async def _(scenario: Killed, this: Run) -> None:
    victim = this.graph.of_service(this.deployment.middle)[0]
    this.lost_logs.append(await _read_log(victim))
    victim.target.process.kill()


@begin.register
async def _(scenario: Flood, this: Run) -> None:
    phase = this.settings.phases[1]
    rate_per_s = phase.rate_per_s * FLOOD_FACTOR
    call, wait_ms = this.deployment.flooded, this.deployment.flood_wait_ms
    document = {
        "seed": this.settings.seed + 1,
        "max_in_flight": 500,
        "phases": [{"name": "flood", "rate_per_s": rate_per_s, "seconds": phase.seconds}],
        "groups": [
            {
                "name": "forgotten",
                "callers": 1,
                "retry": {"kind": "hard", "times": 2},
                "mix": [{"call": call, "class": "sheddable", "wait_ms": wait_ms}],
            }
        ],
    }
    path = this.folder / "flood.yaml"
    path.write_text(safe_dump(document), encoding="utf-8")
    ports = [str(item.beside.ready["callers"]) for item in this.graph.instances]
    options = [text for port in ports for text in ("--port", port)]
    spawn_module(this.graph, "standins.caller", "--config", str(path), *options)


@singledispatch
async def end(scenario: Scenario, this: Run) -> None:
    """Undo it at the end of the second phase."""


@end.register
async def _(scenario: SlowDeep, this: Run) -> None:
    await _set_faults(this, Faults())


@end.register
async def _(scenario: Killed, this: Run) -> None:
    restart_target(this.graph, this.graph.of_service(this.deployment.middle)[0])


async def _set_faults(this: Run, faults: Faults) -> None:
    for instance in this.graph.of_service(this.deployment.deepest):
        port = instance.target.ready["control_port"]
        await _ask(port, HttpRequest(b"POST", b"/control", [(b"host", b"bench")], encode(faults)))


async def _read_log(instance: Instance) -> RunLog:
    request = HttpRequest(b"GET", b"/control/runs", [(b"host", b"bench")])
    return decode(await _ask(instance.target.ready["control_port"], request), type=RunLog)


async def _ask(port: int, request: HttpRequest) -> bytes:
    client = await connect_http(ADDRESS, port, RUN_LOG_LIMIT_BYTES)
    try:
        return (await client.exchange(request)).body
    finally:
        await client.close()


async def _happen(scenario: Scenario, this: Run) -> None:
    base, during = this.settings.phases[:2]
    await sleep(base.seconds)
    await begin(scenario, this)
    await sleep(during.seconds)
    await end(scenario, this)


async def _watch(this: Run) -> None:
    second = 0
    headers = [(b"host", b"bench"), (b"authorization", f"Bearer {this.graph.token}".encode())]
    while True:
        texts = []
        for instance in this.graph.instances:
            port = instance.beside.ready["admin"]
            body = await _ask(port, HttpRequest(b"GET", b"/v1/status", headers))
            load = decode(body, type=Status).load
            if load is not None:
                text = f"{load.limit}/{load.in_flight}/{load.queued}/{load.admitted_rank}"
                texts.append(f"{instance.service[:4]} {text}")
        click.echo(f"{second:3} s  {'  '.join(texts)}", err=True)
        await sleep(WATCH_PERIOD_S)
        second += 1


async def _drive(scenario: Scenario, this: Run, state: LoadState, watched: bool) -> list[RunLog]:
    entries = [make_pool(ADDRESS, item.beside.ready["callers"]) for item in this.graph.instances]
    load = Load(this.settings, entries, state)
    if watched:
        await spawn(_watch, this, daemon=True)
    async with TaskGroup() as group:
        await group.spawn(load.run)
        await group.spawn(_happen, scenario, this)
    logs = [await _read_log(instance) for instance in this.graph.instances]
    return logs + this.lost_logs


def measure(name: str, scenario_name: str, variant: str, watched: bool) -> Figures:
    """Run one scenario of a deployment under one variant."""
    scenario, deployment = SCENARIOS[scenario_name], DEPLOYMENTS[name]
    settings = load_load_settings(SETTINGS / name / "load.yaml")
    settings = replace(settings, phases=phases_of(scenario, settings.phases[0].rate_per_s))
    graph, state = make_graph(name), make_load_state()
    with TemporaryDirectory() as folder:
        this = Run(graph, deployment, settings, Path(folder), [])
        try:
            start_graph(graph, this.folder, variant)
            logs = run(_drive, scenario, this, state, watched and variant == OURS)
        finally:
            end_graph(graph)
    report = make_report(state, settings.phases)
    report.truth = check_truth(state, logs)
    deepest = _deepest_calls(name, deployment)
    arrivals = sum(phase.rate_per_s * phase.seconds for phase in settings.phases)
    received = sum(log.counts.received for log in logs if _is_of(log, deepest))
    needed = arrivals * deployment.deep_part
    return Figures(name, scenario_name, variant, report, received / needed)


def _deepest_calls(name: str, deployment: Deployment) -> set[str]:
    settings = load_target_settings(SETTINGS / name / f"{deployment.deepest}.yaml")
    return {call.name for call in settings.calls}


def _is_of(log: RunLog, calls: set[str]) -> bool:
    return bool(log.runs) and log.runs[0].call in calls


@click.command()
@click.option("--deployment", "deployments", multiple=True, type=click.Choice(list(DEPLOYMENTS)))
@click.option("--scenario", "scenarios", multiple=True, default=tuple(SCENARIOS))
@click.option("--variant", "variants", multiple=True, default=VARIANTS)
@click.option("--watch", is_flag=True, help="Print limit/running/queued/rank each second.")
@click.option("--keep", type=click.Path(path_type=Path), help="Add figures to a file of lines.")
def main(
    deployments: tuple[str, ...],
    scenarios: tuple[str, ...],
    variants: tuple[str, ...],
    watch: bool,
    keep: Path | None,
) -> None:
    """Run one scenario after another and print the table."""
    rows = []
    for scenario in scenarios:
        for deployment in deployments or SUITE[scenario]:
            for variant in variants:
                rows.append(measure(deployment, scenario, variant, watch))
                click.echo(f"{deployment} {scenario} {variant} done", err=True)
                if keep is not None:
                    with keep.open("ab") as file:
                        file.write(encode(rows[-1]) + b"\n")
    click.echo(f"{INSTANCES} instances a service; whole answers a second: base / during / after")
    click.echo(format_figures(rows))


if __name__ == "__main__":
    main()
