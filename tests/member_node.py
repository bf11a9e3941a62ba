"""Runs one membership in a process, for tests with real processes and for benchmarks.

Writes a JSON line to its log when its view or its rules change, and at least every `--every-s`
seconds. On SIGUSR1 it adopts the next version of the rules, as if that had been published on it.
"""

from pathlib import Path
from random import Random
from resource import RUSAGE_SELF, getrusage
from signal import SIGTERM, SIGUSR1

import click
from curio import TaskGroup, run, sleep
from msgspec import Struct
from msgspec.json import encode

from pollenbay.commands.adoption import adopt
from pollenbay.commands.gossiping import announce_leaving, announce_serving, run_membership
from pollenbay.commands.rulesync import adopt_rules
from pollenbay.gossip import GossipCounts
from pollenbay.ids import (
    CallName,
    HostId,
    Incarnation,
    InstanceId,
    OperatorId,
    RegionId,
    RuleVersion,
    ServiceName,
    ZoneId,
)
from pollenbay.membership import Membership, make_membership
from pollenbay.queries.membership import holds_lease
from pollenbay.queries.rules import read_current
from pollenbay.rule import CallRule, ServiceRule
from pollenbay.rulebook import make_rulebook
from pollenbay.rulerow import make_rule_set
from pollenbay.settings import Settings, TableSettings
from pollenbay.signals import catch_signals
from pollenbay.states import CallClass, MemberState
from pollenbay.table import make_table
from pollenbay.timer import make_timer
from pollenbay.view import make_view

ADDRESS = "127.0.0.1"
POLL_PERIOD_S = 0.25
LEAVE_DELAY_S = 2.5
SERVICE_COUNT = 8


class Ready(Struct):
    """First line on standard output."""

    ready: bool
    port: int


class MemberSnapshot(Struct):
    """State of one member in the node's view.

    :param since: when the member entered the state, in seconds on the system's monotonic clock.
    """

    state: MemberState
    incarnation: Incarnation
    since: float


class LogLine(Struct):
    """One line of the log.

    :param at: seconds on the system's monotonic clock.
    :param adopted_at: when the rules were adopted, in seconds since the epoch.
    :param cpu_s: processor time used since the start.
    """

    at: float
    incarnation: Incarnation
    ready: bool
    lease: bool
    isolated: bool
    version: RuleVersion
    adopted_at: float
    cpu_s: float
    sent_bytes: int
    received_bytes: int
    messages: int
    contacts: int
    counts: GossipCounts
    members: dict[InstanceId, MemberSnapshot]


@click.command()
@click.option("--instance", required=True)
@click.option("--zone", default="z1")
@click.option("--region", default="r1")
@click.option("--table-port", type=int, default=1)
@click.option("--peer", "peers", multiple=True)
@click.option("--every-s", type=float, default=1.0, help="Maximum time between two lines.")
@click.option("--log", "log_path", type=click.Path(path_type=Path), required=True)
def main(
    instance: str,
    zone: str,
    region: str,
    table_port: int,
    peers: tuple[str, ...],
    every_s: float,
    log_path: Path,
) -> None:
    """Run until SIGTERM."""
    settings = Settings(
        instance=InstanceId(instance),
        host=HostId(f"host-{instance}"),
        zone=ZoneId(zone),
        region=RegionId(region),
        service=ServiceName("stock"),
        address=ADDRESS,
        table=TableSettings(ADDRESS, table_port),
        admin_token="0123456789abcdef",
        peers=peers,
    )
    run(serve, settings, log_path, every_s)


async def serve(settings: Settings, log_path: Path, every_s: float) -> None:
    """Run the membership, the log writer and the signal handler."""
    timer = make_timer()
    membership = make_membership(
        settings,
        1,
        make_view(),
        make_rulebook(),
        make_table(settings.table.address, settings.table.port),
        timer,
        adopt,
        read_current,
        Random(settings.instance),
    )
    print(encode(Ready(True, membership.gossip_port)).decode(), flush=True)
    async with TaskGroup(wait=any) as group:
        await group.spawn(timer.run)
        await group.spawn(run_membership, membership)
        await group.spawn(write_log, membership, log_path, every_s)
        await group.spawn(handle_signals, membership)


async def write_log(membership: Membership, path: Path, every_s: float) -> None:
    """Write a line at each change and at least every `every_s` seconds."""
    announce_serving(membership)
    last: tuple[int, int, bool] | None = None
    written_at = 0.0
    with path.open("ab", buffering=0) as file:
        while True:
            now = membership.timer.now()
            current = (
                membership.view.total_changes,
                membership.rulebook.version,
                membership.ready,
            )
            if current != last or now - written_at >= every_s:
                file.write(encode(make_line(membership, now)) + b"\n")
                last, written_at = current, now
            await sleep(POLL_PERIOD_S)


async def handle_signals(membership: Membership) -> None:
    """Adopt the next version on SIGUSR1; on SIGTERM announce leaving, then exit after a delay."""
    with catch_signals(SIGTERM, SIGUSR1) as signals:
        while await signals.wait() != SIGTERM:
            await adopt_rules(membership, next_rules(membership))
        announce_leaving(membership)
        await sleep(LEAVE_DELAY_S)


def next_rules(membership: Membership):
    """Return rules of the next version, in which one service has a different wait time."""
    version = RuleVersion(membership.rulebook.version + 1)
    services = tuple(make_service(number, version) for number in range(SERVICE_COUNT))
    return make_rule_set(version, services, OperatorId("op"), membership.timer.epoch())


def make_service(number: int, version: RuleVersion) -> ServiceRule:
    """Return a service whose wait time differs if the version modulo the count is its number."""
    wait_ms = 1000 + (version if number == version % SERVICE_COUNT else 0)
    call = CallRule(name=CallName("c"), call_class=CallClass.NORMAL, wait_ms=wait_ms)
    return ServiceRule(service=ServiceName(f"s{number}"), calls=(call,))


def make_line(membership: Membership, now: float) -> LogLine:
    """Return the current state."""
    usage = getrusage(RUSAGE_SELF)
    traffic = membership.traffic
    return LogLine(
        at=now,
        incarnation=membership.incarnation,
        ready=membership.ready,
        lease=holds_lease(membership.gossip, now),
        isolated=membership.gossip.isolated,
        version=membership.rulebook.version,
        adopted_at=membership.rulebook.adopted_at,
        cpu_s=usage.ru_utime + usage.ru_stime,
        sent_bytes=traffic.sent_bytes,
        received_bytes=traffic.received_bytes,
        messages=2 * (traffic.questions_sent + traffic.questions_served),
        contacts=len(membership.gossip.contacts),
        counts=membership.gossip.counts,
        members={
            name: MemberSnapshot(member.state, member.incarnation, member.state_at)
            for name, member in membership.view.members.items()
        },
    )


if __name__ == "__main__":
    main()
