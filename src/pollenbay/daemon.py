"""The daemon `pollenbayd`, which runs one node for its local target."""

from collections.abc import Awaitable
from dataclasses import dataclass
from functools import partial
from logging import getLogger
from os import _exit
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM
from sys import exit, stderr, stdout
from typing import NoReturn

import click
from curio import Event, TaskGroup, TaskTimeout, run, sleep
from curio.io import Socket
from msgspec import Struct
from msgspec.json import encode
from result import Err

from pollenbay.adapter import Adapter, make_plain_adapter
from pollenbay.admin import serve_admin
from pollenbay.callerfrontend import make_caller_connections, serve_caller, serve_target
from pollenbay.commands.adoption import adopt
from pollenbay.commands.descriptors import free_descriptors
from pollenbay.commands.gossiping import run_membership
from pollenbay.commands.lifecycle import LINGER_S, abort_calls, drain
from pollenbay.commands.maintenance import run_maintenance
from pollenbay.commands.reloading import reload_settings, watch_settings
from pollenbay.commands.sweep import run_sweeper
from pollenbay.linkfrontend import serve_link
from pollenbay.logs import configure_logging
from pollenbay.node import Node, make_node
from pollenbay.platform.frontend import make_platform_adapter, platform_tasks
from pollenbay.platform.settings import adapt_settings, read_platform_settings
from pollenbay.queries.rules import read_current
from pollenbay.selector import make_selector
from pollenbay.settings import Settings, load_settings
from pollenbay.signals import StopSignals, catch_signals
from pollenbay.stream import accept_streams, listen, port_of
from pollenbay.task import AcyclicTask

LOG = getLogger("pollenbay.daemon")
EXIT_OK = 0
EXIT_CALLS_ABORTED = 1
EXIT_BAD_SETTINGS = 2
EXIT_TASK_FAILED = 3


class Ready(Struct, frozen=True):
    """JSON line printed on standard output once the node listens, with the ports in use."""

    ready: bool
    callers: int
    outbound: int
    link: int
    gossip: int
    admin: int


@dataclass(slots=True)
class Listeners:
    """Listening sockets of every node."""

    link: Socket
    admin: Socket


@dataclass(slots=True)
class PlainListeners:
    """Listening sockets of this project's own interface to callers and targets."""

    callers: Socket
    outbound: Socket


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="YAML file with the settings of this node.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(path: Path, check: bool) -> None:
    """Run one node beside one target.

    Prints one JSON line with its ports when it listens. SIGTERM stops it as planned: calls in
    flight end first. SIGINT ends a stopping node at once; SIGTERM and SIGHUP do not. Exit code 0
    after a planned stop, 1 if calls were cut short, 2 for wrong settings, 3 if a task of the node
    failed, which stops it as planned too.
    """
    settings = load_settings(path)
    if isinstance(settings, Err):
        click.echo(f"pollenbayd: {settings.err_value}", err=True)
        exit(EXIT_BAD_SETTINGS)
    if settings.ok_value.platform is not None:
        platform = read_platform_settings(settings.ok_value)
        if isinstance(platform, Err):
            click.echo(f"pollenbayd: {path}: {platform.err_value}", err=True)
            exit(EXIT_BAD_SETTINGS)
    if not check:
        exit_code = run(
            serve_node, settings.ok_value, path, selector=make_selector(), taskcls=AcyclicTask
        )
        _end_process(exit_code)


def _end_process(exit_code: int) -> NoReturn:
    """End the process at once; all of its connections are closed.

    The interpreter would free its heap object by object first, which may take longer than the rest
    of the grace period where processor time is scarce.
    """
    stdout.flush()
    stderr.flush()
    _exit(exit_code)


async def serve_node(settings: Settings, path: Path) -> int:
    """Run a node until it is stopped and return the exit code.

    :param path: settings file, which is watched for changes.
    """
    # From before the first connection until the last one is closed.
    with catch_signals(SIGTERM, SIGINT, SIGHUP) as signals:
        if settings.platform is None:
            return await _serve_plain(settings, path, signals)
        return await _serve_platform(settings, path, signals)


async def _serve_plain(settings: Settings, path: Path, signals: StopSignals) -> int:
    """Run a node with this project's own interface to callers, targets and table."""
    address, ports = settings.address, settings.ports
    listeners = _listen(settings)
    plain = PlainListeners(listen(address, ports.callers), listen(address, ports.outbound))
    adapter = make_plain_adapter(settings.table)
    node = make_node(settings, port_of(listeners.link), adopt, read_current, adapter)
    make_room = partial(free_descriptors, node)
    serve_callers = partial(make_caller_connections().serve, node, serve_caller)
    tasks = [
        node.ledger.run(),
        run_sweeper(node.ledger),
        accept_streams(plain.callers, serve_callers, make_room),
        accept_streams(plain.outbound, partial(serve_target, node), make_room),
    ]
    return await _run(
        node, path, signals, listeners, [*tasks, *_common_tasks(node, listeners, adapter)], plain
    )


async def _serve_platform(settings: Settings, path: Path, signals: StopSignals) -> int:
    """Run a node with the interfaces of the users' platform, whose settings `main` has checked."""
    platform = read_platform_settings(settings).unwrap()
    settings = adapt_settings(settings).unwrap()
    listeners = _listen(settings)
    adapter = make_platform_adapter(platform)
    node = make_node(settings, port_of(listeners.link), adopt, read_current, adapter)
    tasks = [*platform_tasks(node, platform), *_common_tasks(node, listeners, adapter)]
    return await _run(node, path, signals, listeners, tasks, None)


async def _run(
    node: Node,
    path: Path,
    signals: StopSignals,
    listeners: Listeners,
    tasks: list[Awaitable[None]],
    plain: PlainListeners | None,
) -> int:
    settings = node.settings
    _print_ready(node, listeners, plain)
    configure_logging(settings.log_level, settings.instance, settings.host)
    LOG.info("start", extra={"service": settings.service, "zone": settings.zone})
    failed = Event()
    async with TaskGroup(wait=any) as group:
        for task in [*tasks, watch_settings(node, path)]:
            await group.spawn(_supervise, node, task, failed)
        await group.spawn(_stop_on_request, node, path, signals)
    exit_code = EXIT_TASK_FAILED if failed.is_set() else group.result
    LOG.info("stop", extra={"exit_code": exit_code})
    return exit_code


async def _supervise(node: Node, work: Awaitable[None], failed: Event) -> None:
    """Run a task of the node, and stop the node as planned if the task fails or ends.

    The end of the process would cut the calls in progress, which do not depend on most tasks.
    """
    try:
        await work
        LOG.error("task ended", extra={"task": work.__name__})
    except (Exception, TaskTimeout):
        LOG.exception("task failed", extra={"task": work.__name__})
    await failed.set()
    await node.stopping.set()
    await Event().wait()


def _listen(settings: Settings) -> Listeners:
    address, ports = settings.address, settings.ports
    return Listeners(link=listen(address, ports.link), admin=listen(address, ports.admin))


def _common_tasks(node: Node, listeners: Listeners, adapter: Adapter) -> list[Awaitable[None]]:
    """Return the tasks of every node; the timer is last, so that it starts with subscribers."""
    make_room = partial(free_descriptors, node)
    return [
        node.watch.run(node.timer),
        run_membership(node.membership, adapter.run_rule_sync),
        run_maintenance(node),
        accept_streams(listeners.link, partial(serve_link, node), make_room),
        accept_streams(listeners.admin, partial(serve_admin, node), make_room),
        node.timer.run(),
    ]


def _print_ready(node: Node, listeners: Listeners, plain: PlainListeners | None) -> None:
    ready = Ready(
        ready=True,
        callers=port_of(plain.callers) if plain else 0,
        outbound=port_of(plain.outbound) if plain else 0,
        link=port_of(listeners.link),
        gossip=node.membership.gossip_port,
        admin=port_of(listeners.admin),
    )
    click.echo(encode(ready))


async def _stop_on_request(node: Node, path: Path, signals: StopSignals) -> int:
    """Wait for a signal or command to stop, drain the node and return the exit code."""
    async with TaskGroup(wait=any) as group:
        await group.spawn(_wait_for_stop, node, path, signals)
        await group.spawn(node.stopping.wait)
    async with TaskGroup(wait=any) as group:
        await group.spawn(_drain, node)
        await group.spawn(_abort_on_interrupt, node, signals)
    return group.result


async def _wait_for_stop(node: Node, path: Path, signals: StopSignals) -> None:
    """Return at the first stop signal; SIGHUP reloads the settings."""
    while (signal := await signals.wait()) == SIGHUP:
        reload_settings(node, path)
    LOG.info("stop requested", extra={"signal": signal.name})


async def _drain(node: Node) -> int:
    finished = await drain(node)
    return EXIT_OK if finished else EXIT_CALLS_ABORTED


async def _abort_on_interrupt(node: Node, signals: StopSignals) -> int:
    """Wait for an interrupt, cancel the calls in progress and return the exit code.

    Other signals change nothing: stops of several hosts may overlap, and each of them asks for the
    planned stop that is in progress.
    """
    while (signal := await signals.wait()) != SIGINT:
        LOG.info("signal while stopping", extra={"signal": signal.name})
    LOG.warning("stop without waiting", extra={"in_progress": node.watch.in_progress})
    await abort_calls(node)
    await sleep(LINGER_S)
    return EXIT_CALLS_ABORTED


if __name__ == "__main__":
    main()
