"""What a node keeps of its exchanges with other nodes: contacts, news to pass on, counters."""

from dataclasses import dataclass, field
from math import inf

from pollenbay.ids import InstanceId
from pollenbay.view import Load

HEARTBEAT_S = 1.0
WATCH_S = 0.25
#: The same until the node may serve, which takes two rounds: one to choose peers, one to see that
#: they were asked.
START_WATCH_S = 0.05
#: Silence of a contact after which it is suspected.
SUSPECT_S = 2.0
#: Time a suspect has to refute before it is declared dead.
REFUTE_S = 2.0
#: Time after which a node that no peer has answered no longer holds its lease.
LEASE_S = SUSPECT_S + REFUTE_S
#: Least time between two new incarnations, in case two nodes bear the same name.
REINCARNATE_GAP_S = 1.0
#: Time between two checks after which the node itself was paused or starved.
STALL_S = 1.0
#: Pause after which the whole view counts as outdated.
STALE_VIEW_S = 1800.0
#: How long many suspects at once stay suspects.
SUSPECT_HOLD_S = 1800.0
#: How long a dead member is kept, so that old news of it is recognised.
TOMBSTONE_S = 3600.0
#: Share of live members that, suspected together, are kept as suspects.
MASS_SHARE = 0.25
MASS_MIN = 3
#: How often this node passes on one report of another member.
REPORT_SENDS = 3
#: Most reports of other members that wait to be passed on.
REPORTS_KEPT = 256


@dataclass(frozen=True, slots=True)
class Clock:
    """One moment on the two clocks that the gossip needs.

    :param now: monotonic seconds.
    :param epoch_ms: milliseconds since the epoch.
    """

    now: float
    epoch_ms: int


@dataclass(slots=True)
class Contact:
    """A member that this node exchanges heartbeats with.

    :param heard_at: monotonic seconds of its last message.
    :param chosen: whether this node sends heartbeats to it.
    :param asks: whether it sends heartbeats to this node.
    """

    heard_at: float
    chosen: bool = False
    asks: bool = False


@dataclass(slots=True)
class GossipCounts:
    """Counters since the start."""

    heartbeats_sent: int = 0
    heartbeats_received: int = 0
    records_applied: int = 0
    records_ignored: int = 0
    suspected: int = 0
    declared_dead: int = 0
    forgotten: int = 0
    refutations: int = 0
    reincarnations: int = 0
    isolations: int = 0
    stalls: int = 0
    comparisons: int = 0
    rules_pulled: int = 0
    rules_pulls_failed: int = 0


@dataclass(slots=True)
class Gossip:
    """State of this node's part in the gossip.

    :param own: this instance.
    :param load: load of the target beside this node.
    :param tick: counter of own reports.
    :param contacts: members in direct contact.
    :param outbox: for each contact, the members whose news it has yet to be told.
    :param reports: members whose reports are to be passed on, with the times left.
    :param checked_at: monotonic seconds of the last check of the contacts.
    :param confirmed_at: monotonic seconds at which the last answered heartbeat was sent.
    :param reincarnated_at: monotonic seconds of the last new incarnation.
    :param held_at: monotonic seconds at which nobody could be declared dead for the last time.
    :param isolated: whether more than half of the chosen peers are silent.
    :param urgent: whether there is news that must not wait for the next heartbeat.
    :param outdated: whether the view has to be fetched anew.
    """

    own: InstanceId
    load: Load = field(default_factory=Load)
    tick: int = 0
    contacts: dict[InstanceId, Contact] = field(default_factory=dict)
    outbox: dict[InstanceId, dict[InstanceId, None]] = field(default_factory=dict)
    reports: dict[InstanceId, int] = field(default_factory=dict)
    checked_at: float = 0.0
    confirmed_at: float = 0.0
    reincarnated_at: float = -inf
    held_at: float = -inf
    isolated: bool = False
    urgent: bool = False
    outdated: bool = False
    counts: GossipCounts = field(default_factory=GossipCounts)

    @property
    def chosen(self) -> list[InstanceId]:
        """Return the peers that this node sends heartbeats to."""
        return [instance for instance, contact in self.contacts.items() if contact.chosen]


def make_gossip(own: InstanceId, now: float) -> Gossip:
    """Return the state of a node that knows nobody."""
    return Gossip(own=own, checked_at=now, confirmed_at=now)
