"""Goodput and recovery of both example deployments, with Pollenbay nodes and plain forwarders.

``PYTHONPATH=src:bench python bench/deployments.py`` runs the scenarios in sequence and prints a
table. Load and capacity come from `src/standins/deployments`, with two instances per service.
"""

from functools import singledispatch
from pathlib import Path
from tempfile import TemporaryDirectory

import click
from curio import TaskGroup, run, sleep, spawn
from figurestable import RunFigures, format_figures
from msgspec import Struct
from msgspec.json import decode, encode
from msgspec.structs import replace
from processes import (
    ADDRESS,
    INSTANCES_PER_SERVICE,
    NODE_VARIANT,
    SETTINGS_FOLDER,
    DeploymentProcesses,
    Instance,
    make_deployment_processes,
    restart_target,
    spawn_module,
    start_deployment,
    stop_deployment,
)
from yaml import safe_dump

from pollenbay.http1 import HttpRequest
from pollenbay.httpclient import connect_http
from pollenbay.queries.status import Status
from standins.load import LoadGenerator
from standins.load_settings import LoadSettings, Phase, read_load_settings
from standins.load_state import LoadState, make_load_state
from standins.pool import make_pool
from standins.queries.load import compare_with_run_logs, make_report
from standins.target_settings import read_target_settings
from standins.target_state import Faults, RunLog

VARIANTS = (NODE_VARIANT, "none", "retries", "fixed")
RUN_LOG_LIMIT_BYTES = 256 * 1024 * 1024
SLOW_FACTOR = 10.0
FLOOD_FACTOR = 5.0
PRINT_PERIOD_S = 1.0


class Deployment(Struct, frozen=True):
    """Parameters of the scenarios for a deployment.

    :param deepest_ratio: ratio of the open-loop requests that need the deepest service.
    :param killed_service: service in the middle of the chain, one target of which is killed.
    :param flood_call: call that the flooding caller makes, as a forgotten script would.
    """

    deepest: str
    deepest_ratio: float
    killed_service: str
    flood_call: str
    flood_wait_ms: int


DEPLOYMENTS = {
    "sagbru": Deployment("stock", 0.3 + 0.35 * 6 / 7 + 0.35 / 2, "bookings", "routes.list", 1500),
    "esernyo": Deployment("allapot", 0.6, "rendeles", "jegyek.status", 600),
}


class Scenario(Struct, frozen=True):
    """Base class of the disturbances in the second phase of a run."""


class Surge(Scenario, frozen=True):
    """The arrival rate triples."""


class SlowDeepest(Scenario, frozen=True):
    """All targets of the deepest service are slow."""


class Killed(Scenario, frozen=True):
    """One target of a service is killed, and restarted at the end of the phase."""


class Flood(Scenario, frozen=True):
    """An additional caller makes five times the calls of all others and retries at once."""


SCENARIOS = {"surge": Surge(), "slow": SlowDeepest(), "killed": Killed(), "flood": Flood()}
#: Deployments run by default for each scenario; the full suite takes under 12 minutes.
DEFAULT_DEPLOYMENTS = {
    "surge": ("sagbru", "esernyo"),
    "slow": ("esernyo",),
    "killed": ("sagbru",),
    "flood": ("esernyo",),
}


class Run(Struct):
    """State of a run in progress.

    :param killed_target_logs: run logs read from targets before they were killed.
    """

    cluster: DeploymentProcesses
    deployment: Deployment
    settings: LoadSettings
    folder: Path
    killed_target_logs: list[RunLog]


@singledispatch
def make_phases(scenario: Scenario, base_per_s: float) -> tuple[Phase, ...]:
    """Return the load phases of a scenario."""
    raise TypeError(f"not a scenario: {type(scenario).__name__}")


@make_phases.register
def _(scenario: Surge, base_per_s: float) -> tuple[Phase, ...]:
    return _three_phases(base_per_s, 3.0 * base_per_s, 7, 8, 10)


@make_phases.register
def _(scenario: SlowDeepest, base_per_s: float) -> tuple[Phase, ...]:
    return _three_phases(base_per_s, base_per_s, 6, 30, 11)


@make_phases.register(Killed)
@make_phases.register(Flood)
def _(scenario: Scenario, base_per_s: float) -> tuple[Phase, ...]:
    return _three_phases(base_per_s, base_per_s, 6, 8, 8)


def _three_phases(base_per_s: float, second_per_s: float, *seconds: int) -> tuple[Phase, ...]:
    rates = (base_per_s, second_per_s, base_per_s)
    names = ("base", "during", "after")
    return tuple(
        Phase(name=name, rate_per_s=rate, seconds=duration_s)
        for name, rate, duration_s in zip(names, rates, seconds, strict=True)
    )


@singledispatch
async def start_disturbance(scenario: Scenario, scenario_run: Run) -> None:
    """Start the disturbance of a scenario; by default there is none besides the load."""


@start_disturbance.register
async def _(scenario: SlowDeepest, scenario_run: Run) -> None:
    await _set_faults(scenario_run, Faults(service_time_factor=SLOW_FACTOR))


@start_disturbance.register
async def _(scenario: Killed, scenario_run: Run) -> None:
    killed = scenario_run.cluster.of_service(scenario_run.deployment.killed_service)[0]
    scenario_run.killed_target_logs.append(await _read_log(killed))
    killed.target.process.kill()


@start_disturbance.register
async def _(scenario: Flood, scenario_run: Run) -> None:
    phase = scenario_run.settings.phases[1]
    rate_per_s = phase.rate_per_s * FLOOD_FACTOR
    call, wait_ms = scenario_run.deployment.flood_call, scenario_run.deployment.flood_wait_ms
    document = {
        "seed": scenario_run.settings.seed + 1,
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
    path = scenario_run.folder / "flood.yaml"
    path.write_text(safe_dump(document), encoding="utf-8")
    ports = [str(item.proxy.ready["callers"]) for item in scenario_run.cluster.instances]
    options = [text for port in ports for text in ("--port", port)]
    spawn_module(scenario_run.cluster, "standins.caller", "--config", str(path), *options)


@singledispatch
async def stop_disturbance(scenario: Scenario, scenario_run: Run) -> None:
    """Stop the disturbance at the end of the second phase."""


@stop_disturbance.register
async def _(scenario: SlowDeepest, scenario_run: Run) -> None:
    await _set_faults(scenario_run, Faults())


@stop_disturbance.register
async def _(scenario: Killed, scenario_run: Run) -> None:
    restart_target(
        scenario_run.cluster,
        scenario_run.cluster.of_service(scenario_run.deployment.killed_service)[0],
    )


async def _set_faults(scenario_run: Run, faults: Faults) -> None:
    for instance in scenario_run.cluster.of_service(scenario_run.deployment.deepest):
        port = instance.target.ready["control_port"]
        await _send_request(
            port, HttpRequest(b"POST", b"/control", [(b"host", b"bench")], encode(faults))
        )


async def _read_log(instance: Instance) -> RunLog:
    request = HttpRequest(b"GET", b"/control/runs", [(b"host", b"bench")])
    return decode(await _send_request(instance.target.ready["control_port"], request), type=RunLog)


async def _send_request(port: int, request: HttpRequest) -> bytes:
    client = await connect_http(ADDRESS, port, RUN_LOG_LIMIT_BYTES)
    try:
        return (await client.exchange(request)).body
    finally:
        await client.close()


async def _run_disturbance(scenario: Scenario, scenario_run: Run) -> None:
    base, during = scenario_run.settings.phases[:2]
    await sleep(base.seconds)
    await start_disturbance(scenario, scenario_run)
    await sleep(during.seconds)
    await stop_disturbance(scenario, scenario_run)


async def _print_load(scenario_run: Run) -> None:
    second = 0
    headers = [
        (b"host", b"bench"),
        (b"authorization", f"Bearer {scenario_run.cluster.token}".encode()),
    ]
    while True:
        texts = []
        for instance in scenario_run.cluster.instances:
            port = instance.proxy.ready["admin"]
            body = await _send_request(port, HttpRequest(b"GET", b"/v1/status", headers))
            load = decode(body, type=Status).load
            if load is not None:
                text = f"{load.limit}/{load.in_flight}/{load.queued}/{load.admitted_rank}"
                texts.append(f"{instance.service[:4]} {text}")
        click.echo(f"{second:3} s  {'  '.join(texts)}", err=True)
        await sleep(PRINT_PERIOD_S)
        second += 1


async def _run_load(
    scenario: Scenario, scenario_run: Run, state: LoadState, print_load: bool
) -> list[RunLog]:
    entries = [
        make_pool(ADDRESS, item.proxy.ready["callers"]) for item in scenario_run.cluster.instances
    ]
    load = LoadGenerator(scenario_run.settings, entries, state)
    if print_load:
        await spawn(_print_load, scenario_run, daemon=True)
    async with TaskGroup() as group:
        await group.spawn(load.run)
        await group.spawn(_run_disturbance, scenario, scenario_run)
    logs = [await _read_log(instance) for instance in scenario_run.cluster.instances]
    return logs + scenario_run.killed_target_logs


def measure(name: str, scenario_name: str, variant: str, print_load: bool) -> RunFigures:
    """Run one scenario of a deployment with one variant."""
    scenario, deployment = SCENARIOS[scenario_name], DEPLOYMENTS[name]
    settings = read_load_settings(SETTINGS_FOLDER / name / "load.yaml")
    settings = replace(settings, phases=make_phases(scenario, settings.phases[0].rate_per_s))
    cluster, state = make_deployment_processes(name), make_load_state()
    with TemporaryDirectory() as folder:
        scenario_run = Run(cluster, deployment, settings, Path(folder), [])
        try:
            start_deployment(cluster, scenario_run.folder, variant)
            logs = run(
                _run_load, scenario, scenario_run, state, print_load and variant == NODE_VARIANT
            )
        finally:
            stop_deployment(cluster)
    report = make_report(state, settings.phases)
    report.truth = compare_with_run_logs(state, logs)
    deepest = _calls_of_deepest(name, deployment)
    arrivals = sum(phase.rate_per_s * phase.seconds for phase in settings.phases)
    received_calls = sum(log.counts.received for log in logs if _ran_any_of(log, deepest))
    expected_calls = arrivals * deployment.deepest_ratio
    return RunFigures(name, scenario_name, variant, report, received_calls / expected_calls)


def _calls_of_deepest(name: str, deployment: Deployment) -> set[str]:
    settings = read_target_settings(SETTINGS_FOLDER / name / f"{deployment.deepest}.yaml")
    return {call.name for call in settings.calls}


def _ran_any_of(log: RunLog, calls: set[str]) -> bool:
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
        for deployment in deployments or DEFAULT_DEPLOYMENTS[scenario]:
            for variant in variants:
                rows.append(measure(deployment, scenario, variant, watch))
                click.echo(f"{deployment} {scenario} {variant} done", err=True)
                if keep is not None:
                    with keep.open("ab") as file:
                        file.write(encode(rows[-1]) + b"\n")
    click.echo(
        f"{INSTANCES_PER_SERVICE} instances a service; "
        "whole answers a second: base / during / after"
    )
    click.echo(format_figures(rows))


if __name__ == "__main__":
    main()
