"""Announcements of the local target, and the expiry of its lease."""

from logging import getLogger

from pollenbay.announcement import Announcement
from pollenbay.commands.admission import set_slots, start_cold
from pollenbay.node import Node
from pollenbay.states import TargetState

LOG = getLogger("pollenbay.target")


def apply_announcement(node: Node, announcement: Announcement, now: float) -> None:
    """Apply an announcement; a target that was absent or has moved starts cold.

    An announcement of another service is counted as bad input and ignored.
    """
    if announcement.service != node.settings.service:
        node.metrics.record_bad_input("announcement")
        return
    previous = node.target.state
    endpoint = announcement.address, announcement.port
    moved = endpoint != node.target.endpoint or announcement.target != node.target.name
    node.target.update(announcement.state, *endpoint, now, announcement.target)
    set_slots(node.gate, announcement.slots)
    if previous is TargetState.ABSENT or moved:
        start_cold(node.gate, now)
    _record_state_change(node, previous)


def expire_target(node: Node, now: float) -> None:
    """Mark the target absent once its last announcement is older than the lease."""
    previous = node.target.state
    if (
        previous is TargetState.ABSENT
        or now - node.target.last_seen_at < node.settings.target_lease_s
    ):
        return
    node.target.mark_absent()
    _record_state_change(node, previous)


def _record_state_change(node: Node, previous: TargetState) -> None:
    current = node.target.state
    if current is not previous:
        node.metrics.record_state_change(f"target-{current.value}")
        LOG.info("target state", extra={"before": previous.value, "after": current.value})
