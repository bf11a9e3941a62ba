"""State of a node's membership: its view, its contacts, and how it joined.

`pollenbay.commands.gossiping` runs it.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from curio import Event, Task
from result import Result

from pollenbay.gossip import Clock, Gossip, make_gossip
from pollenbay.ids import Incarnation, InstanceId, RuleVersion
from pollenbay.peer import PeerServer, PeerTraffic, make_peer_server, make_peer_traffic
from pollenbay.rule import RuleSet
from pollenbay.rulebook import Rulebook
from pollenbay.settings import Settings
from pollenbay.states import MemberState
from pollenbay.table import Table
from pollenbay.timer import Subscription, Timer
from pollenbay.view import Endpoints, Member, Place, View

MS_PER_S = 1000

#: Puts rules in force if they are newer and whole; `now_epoch` in seconds.
Adopt = Callable[[Rulebook, RuleSet, float], object]
#: Reads the rules that the table holds.
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
    """Everything that the tasks of the membership share.

    :param rng: source of all random choices.
    :param peers: the task of each peer.
    :param ticks: the heartbeat subscription of each peer; firing it sends at once.
    :param asked: peers that answered or failed to answer once.
    :param differs_since: monotonic seconds since when a peer's view has differed.
    :param newer: nodes that have newer rules.
    :param newer_event: set when `newer` grows.
    :param table_asked: whether the table was asked for rules once, with or without success.
    :param ready: whether the node has joined and holds the newest rules that it was told of.
    :param problem: why the node has not joined; None once it has.
    """

    settings: Settings
    view: View
    rulebook: Rulebook
    table: Table
    timer: Timer
    adopt: Adopt
    read_rules: ReadRules
    gossip: Gossip
    traffic: PeerTraffic
    server: PeerServer
    rng: Random
    peers: dict[InstanceId, Task] = field(default_factory=dict)
    ticks: dict[InstanceId, Subscription] = field(default_factory=dict)
    asked: set[InstanceId] = field(default_factory=set)
    differs_since: dict[InstanceId, float] = field(default_factory=dict)
    newer: dict[InstanceId, RuleSource] = field(default_factory=dict)
    newer_event: Event = field(default_factory=Event)
    table_asked: bool = False
    ready: bool = False
    problem: JoinProblem | None = JoinProblem.NOT_TRIED

    @property
    def me(self) -> Member:
        """Return this node as a member."""
        return self.view.members[self.gossip.own]

    @property
    def incarnation(self) -> Incarnation:
        """Return the present incarnation; it grows if the node was declared dead."""
        return self.me.incarnation

    @property
    def gossip_port(self) -> int:
        """Return the port that is bound."""
        return self.server.port

    @property
    def joined(self) -> bool:
        """Tell whether the node has found the others, or that there are none."""
        return self.problem is None

    def clock(self) -> Clock:
        """Return this moment."""
        return Clock(self.timer.now(), int(self.timer.epoch() * MS_PER_S))


def make_membership(
    settings: Settings,
    link_port: int,
    view: View,
    rulebook: Rulebook,
    table: Table,
    timer: Timer,
    adopt: Adopt,
    read_rules: ReadRules,
    rng: Random | None = None,
    incarnation: Incarnation | None = None,
) -> Membership:
    """Return the membership of a node that listens and knows only itself.

    :param link_port: port at which other nodes' calls are taken.
    :param incarnation: that of this run; by the wall clock if it is not given.
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
            place=Place(settings.host, settings.zone, settings.region),
            endpoints=_endpoints(settings, link_port, server.port),
            state=MemberState.STARTING,
            heard_at=now,
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
    )


def _endpoints(settings: Settings, link_port: int, gossip_port: int) -> Endpoints:
    told = settings.advertised
    return Endpoints(settings.address, told.link or link_port, told.gossip or gossip_port)
