"""Gossip state of a node: contacts, pending membership updates and counters."""

from dataclasses import dataclass, field
from math import inf

from pollenbay.ids import InstanceId
from pollenbay.view import TargetLoad

HEARTBEAT_PERIOD_S = 1.0
#: Period of the contact checks.
CONTACT_CHECK_PERIOD_S = 0.25
#: Check period until the node may serve. That takes two checks: one selects the peers, the next one
#: sees that they were contacted. A short period keeps the start short.
STARTUP_CHECK_PERIOD_S = 0.05
#: Time without a message from a contact after which it is suspected.
SUSPICION_TIMEOUT_S = 2.0
#: Time that a suspect has to refute the suspicion before it is declared dead.
REFUTATION_TIMEOUT_S = 2.0
#: Time without a response from any peer after which a node no longer holds its lease.
NODE_LEASE_S = SUSPICION_TIMEOUT_S + REFUTATION_TIMEOUT_S
#: Minimum time between two new incarnations; limits the rate if two nodes have the same name.
REINCARNATION_INTERVAL_MIN_S = 1.0
#: Time between two checks above which this node itself was paused or starved of processor time.
STALL_THRESHOLD_S = 1.0
#: Pause of this node after which its complete view counts as outdated.
VIEW_EXPIRY_S = 1800.0
#: Maximum time for which members stay suspects while many are suspected at once.
MASS_SUSPICION_HOLD_S = 1800.0
#: Time for which a dead member is kept, so that late updates about it are recognised as old.
TOMBSTONE_RETENTION_S = 3600.0
#: Ratio of live members from which members suspected at once stay suspects instead of being
#: declared dead.
MASS_SUSPICION_RATIO = 0.25
#: Minimum number of members suspected at once for the same.
MASS_SUSPICION_MIN = 3
#: Number of times that this node passes on one report of another member.
REPORT_TRANSMISSIONS = 3
#: Maximum number of reports of other members that wait to be passed on.
PENDING_REPORTS_MAX = 256


@dataclass(frozen=True, slots=True)
class Clock:
    """One moment, on the two clocks that the gossip needs.

    :param now: monotonic seconds.
    :param epoch_ms: milliseconds since the epoch.
    """

    now: float
    epoch_ms: int


@dataclass(slots=True)
class Contact:
    """A member that this node exchanges heartbeats with.

    :param last_seen_at: monotonic seconds of its last message.
    :param selected: whether this node sends heartbeats to it.
    :param sends_heartbeats: whether it sends heartbeats to this node.
    """

    last_seen_at: float
    selected: bool = False
    sends_heartbeats: bool = False


@dataclass(slots=True)
class GossipCounts:
    """Gossip counters since the process started."""

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
    """Gossip state of this node.

    :param local_instance: instance id of this node.
    :param load: load of the local target.
    :param report_sequence: counter of this node's own reports.
    :param contacts: members in direct contact.
    :param pending_updates: for each contact, the members whose updates it has not yet received.
    :param pending_reports: members whose reports are to be passed on, with the remaining number of
        transmissions.
    :param checked_at: monotonic seconds of the last check of the contacts.
    :param lease_renewed_at: monotonic seconds at which the last heartbeat that got a response was
        sent.
    :param reincarnated_at: monotonic seconds of the last new incarnation.
    :param declarations_held_at: monotonic seconds of the last check at which no member could be
        declared dead, because too many were suspected or this node was isolated.
    :param isolated: whether more than half of the selected peers are unresponsive.
    :param has_urgent_updates: whether there are updates that must not wait for the next heartbeat.
    :param view_outdated: whether the view has to be fetched again.
    """

    local_instance: InstanceId
    load: TargetLoad = field(default_factory=TargetLoad)
    report_sequence: int = 0
    contacts: dict[InstanceId, Contact] = field(default_factory=dict)
    pending_updates: dict[InstanceId, dict[InstanceId, None]] = field(default_factory=dict)
    pending_reports: dict[InstanceId, int] = field(default_factory=dict)
    checked_at: float = 0.0
    lease_renewed_at: float = 0.0
    reincarnated_at: float = -inf
    declarations_held_at: float = -inf
    isolated: bool = False
    has_urgent_updates: bool = False
    view_outdated: bool = False
    counts: GossipCounts = field(default_factory=GossipCounts)

    @property
    def selected_peers(self) -> list[InstanceId]:
        """Return the peers that this node sends heartbeats to."""
        return [instance for instance, contact in self.contacts.items() if contact.selected]


def make_gossip(own: InstanceId, now: float) -> Gossip:
    """Return the gossip state of a node that has no contacts."""
    return Gossip(local_instance=own, checked_at=now, lease_renewed_at=now)
