"""State of a node's membership: its view, its contacts and whether it has joined.

The tasks that change it are started by `pollenbay.commands.gossiping`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from curio import Event, Task
from result import Result

from pollenbay.departures import Departures, make_departures
from pollenbay.gossip import Clock, Gossip, make_gossip
from pollenbay.ids import Incarnation, InstanceId, RuleVersion
from pollenbay.peer import PeerServer, PeerTraffic, make_peer_server, make_peer_traffic
from pollenbay.rule import RuleSet
from pollenbay.rulebook import Rulebook
from pollenbay.settings import Settings
from pollenbay.states import MemberState
from pollenbay.table import Table
from pollenbay.timer import Subscription, Timer
from pollenbay.view import Endpoints, Location, Member, View

MS_PER_S = 1000

#: Activates rules if they are newer and complete; the last argument is seconds since the epoch.
AdoptRules = Callable[[Rulebook, RuleSet, float], object]
#: Reads the rules stored in the table.
ReadRules = Callable[[Table], Awaitable[Result[RuleSet | None, Exception]]]


class JoinProblem(Enum):
    """Why a node has not joined the others."""

    NOT_TRIED = "not-tried"
    TABLE_UNAVAILABLE = "table-unavailable-and-no-peer-answers"


@dataclass(frozen=True, slots=True)
class RuleSource:
    """A node that has newer rules."""

    version: RuleVersion
    address: str
    gossip_port: int


@dataclass(slots=True)
class Membership:
    """State shared by the membership tasks.

    :param rng: source of all random choices.
    :param departures: recent departures of the local target, which this node's row holds.
    :param peer_tasks: the task of each peer.
    :param heartbeat_timers: the heartbeat subscription of each peer; firing it sends a heartbeat at
        once.
    :param contacted_peers: peers to which at least one request has completed or failed.
    :param views_differ_since: for each peer whose view differs, monotonic seconds since when.
    :param newer_rules: nodes that have newer rules.
    :param newer_rules_event: set when `newer_rules` grows.
    :param rules_table_queried: whether the rules were requested from the table at least once, with
        or without success.
    :param ready: whether the node has joined and holds the newest rules reported to it.
    :param join_problem: why the node has not joined; None once it has.
    """

    settings: Settings
    view: View
    rulebook: Rulebook
    table: Table
    timer: Timer
    adopt: AdoptRules
    read_rules: ReadRules
    gossip: Gossip
    traffic: PeerTraffic
    server: PeerServer
    rng: Random
    departures: Departures
    peer_tasks: dict[InstanceId, Task] = field(default_factory=dict)
    heartbeat_timers: dict[InstanceId, Subscription] = field(default_factory=dict)
    contacted_peers: set[InstanceId] = field(default_factory=set)
    views_differ_since: dict[InstanceId, float] = field(default_factory=dict)
    newer_rules: dict[InstanceId, RuleSource] = field(default_factory=dict)
    newer_rules_event: Event = field(default_factory=Event)
    rules_table_queried: bool = False
    ready: bool = False
    join_problem: JoinProblem | None = JoinProblem.NOT_TRIED

    @property
    def local_member(self) -> Member:
        """Return the member record of this node."""
        return self.view.members[self.gossip.local_instance]

    @property
    def incarnation(self) -> Incarnation:
        """Return the current incarnation; it increases if the node was declared dead."""
        return self.local_member.incarnation

    @property
    def gossip_port(self) -> int:
        """Return the bound gossip port."""
        return self.server.port

    @property
    def joined(self) -> bool:
        """Return whether the node has found other nodes or established that there are none."""
        return self.join_problem is None

    def clock(self) -> Clock:
        """Return the current time on both clocks."""
        return Clock(self.timer.now(), int(self.timer.epoch() * MS_PER_S))


def make_membership(
    settings: Settings,
    link_port: int,
    view: View,
    rulebook: Rulebook,
    table: Table,
    timer: Timer,
    adopt: AdoptRules,
    read_rules: ReadRules,
    rng: Random | None = None,
    incarnation: Incarnation | None = None,
) -> Membership:
    """Return the membership of a node that listens and has only itself in its view.

    :param link_port: port on which calls from other nodes are accepted.
    :param incarnation: incarnation of this run; taken from the wall clock if not given.
    :raises PeerListenError: if the gossip port cannot be opened.
    """
    traffic = make_peer_traffic()
    server = make_peer_server(settings.address, settings.ports.gossip, traffic)
    now = timer.now()
    incarnation = incarnation or Incarnation(int(timer.epoch() * MS_PER_S))
    view.put(
        Member(
            instance=settings.instance,
            incarnation=incarnation,
            service=settings.service,
            location=Location(settings.host, settings.zone, settings.region),
            endpoints=_endpoints(settings, link_port, server.port),
            state=MemberState.STARTING,
            last_seen_at=now,
            first_seen_at=now,
            state_at=now,
        )
    )
    return Membership(
        settings=settings,
        view=view,
        rulebook=rulebook,
        table=table,
        timer=timer,
        adopt=adopt,
        read_rules=read_rules,
        gossip=make_gossip(settings.instance, now),
        traffic=traffic,
        server=server,
        rng=rng or Random(),
        departures=make_departures(now),
    )


def _endpoints(settings: Settings, link_port: int, gossip_port: int) -> Endpoints:
    advertised = settings.advertised
    return Endpoints(
        settings.address, advertised.link or link_port, advertised.gossip or gossip_port
    )
