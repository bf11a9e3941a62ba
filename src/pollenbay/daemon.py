"""The daemon `pollenbayd`: one node beside one target."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from logging import getLogger
from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import exit, stderr

import click
from curio import SignalEvent, TaskGroup, run, spawn
from curio.io import Socket
from msgspec import Struct
from msgspec.json import encode
from result import Err

from pollenbay.admin import serve_admin
from pollenbay.callers import make_callers, serve_target
from pollenbay.commands.life import change_state, drain
from pollenbay.commands.upkeep import keep_up
from pollenbay.linking import serve_link
from pollenbay.membership import Membership, make_membership
from pollenbay.node import Node, make_node
from pollenbay.settings import Settings, load_settings
from pollenbay.states import NodeState
from pollenbay.stream import accept_streams, listen, port_of

LOG = getLogger("pollenbay.daemon")
EXIT_CUT_SHORT = 1
EXIT_BAD_SETTINGS = 2
STATUS_LINE_END = "\n"

Serve = Callable[[Socket], Awaitable[None]]


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
    """The listening sockets of a node."""

    callers: Socket
    outbound: Socket
    link: Socket
    admin: Socket


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
    if not check:
        exit(run(serve_node, settings.ok_value))


async def serve_node(settings: Settings) -> int:
    """Run a node until it is stopped and return the exit code."""
    start_logs(settings.log_level, settings.instance, settings.host)
    node = make_node(settings)
    listeners = _listen(settings)
    membership = make_membership(node, port_of(listeners.link))
    async with TaskGroup(wait=any) as group:
        await _spawn_parts(group, node, listeners, membership)
        _print_ready(listeners, membership)
        await group.spawn(_stop_when_asked, node, membership)
    return group.result


def _listen(settings: Settings) -> Listeners:
    address, ports = settings.address, settings.ports
    return Listeners(
        callers=listen(address, ports.callers),
        outbound=listen(address, ports.outbound),
        link=listen(address, ports.link),
        admin=listen(address, ports.admin),
    )
