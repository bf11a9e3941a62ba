"""The daemon `pollenbayd`: one node beside one target."""

from collections.abc import Awaitable
from dataclasses import dataclass
from functools import partial
from logging import getLogger
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM
from sys import exit

import click
from curio import TaskGroup, run, sleep
from curio.io import Socket
from msgspec import Struct
from msgspec.json import encode
from result import Err

from pollenbay.adapter import Adapter, make_plain_adapter
from pollenbay.admin import serve_admin
from pollenbay.callers import make_callers, serve_target
from pollenbay.commands.adoption import adopt
from pollenbay.commands.gossiping import run_membership
from pollenbay.commands.life import LINGER_S, drain
from pollenbay.commands.reloading import reload_settings, watch_settings
from pollenbay.commands.sweep import run_sweeper
from pollenbay.commands.upkeep import keep_up
from pollenbay.linking import serve_link
from pollenbay.logs import start_logs
from pollenbay.node import Node, make_node
from pollenbay.platform.frontend import make_platform_adapter, platform_parts
from pollenbay.platform.settings import adapt_settings, read_platform_settings
from pollenbay.queries.rules import read_current
from pollenbay.selector import make_selector
from pollenbay.settings import Settings, load_settings
from pollenbay.signals import StopSignals, catch_signals
from pollenbay.stream import accept_streams, listen, port_of

LOG = getLogger("pollenbay.daemon")
EXIT_DONE = 0
EXIT_CUT_SHORT = 1
EXIT_BAD_SETTINGS = 2


class Ready(Struct, frozen=True):
    """Line on standard output once the node listens, with the ports in use."""

    ready: bool
    callers: int
    outbound: int
    link: int
    gossip: int
    admin: int


@dataclass(slots=True)
class Listeners:
    """The listening sockets that every node has."""

    link: Socket
    admin: Socket


@dataclass(slots=True)
class OwnListeners:
    """The listening sockets of this project's own interface to callers and targets."""

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
    flight end first. A second SIGTERM ends it at once. Exit code 0 after a planned stop, 1 if
    calls were cut short, 2 for wrong settings.
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
        exit(run(serve_node, settings.ok_value, path, selector=make_selector()))


async def serve_node(settings: Settings, path: Path) -> int:
    """Run a node until it is stopped and return the exit code.

    :param path: file of the settings, which is watched for changes.
    """
    if settings.platform is None:
        return await _serve_own(settings, path)
    return await _serve_platform(settings, path)


async def _serve_own(settings: Settings, path: Path) -> int:
    """Run a node with this project's own interface to callers, targets and table."""
    address, ports = settings.address, settings.ports
    listeners = _listen(settings)
    own = OwnListeners(listen(address, ports.callers), listen(address, ports.outbound))
    adapter = make_plain_adapter(settings.table)
    node = make_node(settings, port_of(listeners.link), adopt, read_current, adapter)
    parts = [
        node.ledger.run(),
        run_sweeper(node.ledger),
        accept_streams(own.callers, partial(make_callers().serve, node)),
        accept_streams(own.outbound, partial(serve_target, node)),
    ]
    return await _run(
        node, path, listeners, [*parts, *_common_parts(node, listeners, adapter)], own
    )


async def _serve_platform(settings: Settings, path: Path) -> int:
    """Run a node with the interfaces of the users' platform.

    :raises SettingsError: if the platform's settings are wrong; `main` has checked them.
    """
    platform = read_platform_settings(settings).unwrap()
    settings = adapt_settings(settings)
    listeners = _listen(settings)
    adapter = make_platform_adapter(platform)
    node = make_node(settings, port_of(listeners.link), adopt, read_current, adapter)
    parts = [*platform_parts(node, platform), *_common_parts(node, listeners, adapter)]
    return await _run(node, path, listeners, parts, None)


async def _run(
    node: Node,
    path: Path,
    listeners: Listeners,
    parts: list[Awaitable[None]],
    own: OwnListeners | None,
) -> int:
    settings = node.settings
    _print_ready(node, listeners, own)
    start_logs(settings.log_level, settings.instance, settings.host)
    LOG.info("start", extra={"service": settings.service, "zone": settings.zone})
    async with TaskGroup(wait=any) as group:
        for part in parts:
            await group.spawn(part)
        await group.spawn(watch_settings, node, path)
        await group.spawn(_stop_when_asked, node, path)
    LOG.info("stop", extra={"exit_code": group.result})
    return group.result


def _listen(settings: Settings) -> Listeners:
    address, ports = settings.address, settings.ports
    return Listeners(link=listen(address, ports.link), admin=listen(address, ports.admin))


def _common_parts(node: Node, listeners: Listeners, adapter: Adapter) -> list[Awaitable[None]]:
    """Return what every node runs; the timer comes last, so that it begins with subscribers."""
    return [
        node.watch.run(node.timer),
        run_membership(node.membership, adapter.run_rules),
        keep_up(node),
        accept_streams(listeners.link, partial(serve_link, node)),
        accept_streams(listeners.admin, partial(serve_admin, node)),
        node.timer.run(),
    ]


def _print_ready(node: Node, listeners: Listeners, own: OwnListeners | None) -> None:
    ready = Ready(
        ready=True,
        callers=port_of(own.callers) if own else 0,
        outbound=port_of(own.outbound) if own else 0,
        link=port_of(listeners.link),
        gossip=node.membership.gossip_port,
        admin=port_of(listeners.admin),
    )
    click.echo(encode(ready))


async def _stop_when_asked(node: Node, path: Path) -> int:
    """Wait for a signal or a command to stop, stop as planned, and return the exit code."""
    with catch_signals(SIGTERM, SIGINT, SIGHUP) as asked:
        async with TaskGroup(wait=any) as group:
            await group.spawn(_wait_for_stop, node, path, asked)
            await group.spawn(node.stopping.wait)
        async with TaskGroup(wait=any) as group:
            await group.spawn(_drain, node)
            await group.spawn(_end_early, node, asked)
    return group.result


async def _wait_for_stop(node: Node, path: Path, asked: StopSignals) -> None:
    """Return at the first signal to stop; a hangup reloads the settings."""
    while await asked.wait() == SIGHUP:
        reload_settings(node, path)


async def _drain(node: Node) -> int:
    finished = await drain(node)
    return EXIT_DONE if finished else EXIT_CUT_SHORT


async def _end_early(node: Node, asked: StopSignals) -> int:
    while await asked.wait() == SIGHUP:
        LOG.info("hangup passed over while stopping")
    LOG.warning("stop without waiting", extra={"in_progress": node.watch.in_progress})
    await node.watch.end_all()
    await sleep(LINGER_S)
    return EXIT_CUT_SHORT


if __name__ == "__main__":
    main()
