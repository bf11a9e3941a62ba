"""Taking over what the target beside the node announces, and noticing when it falls silent."""

from logging import getLogger

from pollenbay.announcement import Announcement
from pollenbay.commands.admission import resume, set_slots
from pollenbay.node import Node
from pollenbay.states import TargetState

LOG = getLogger("pollenbay.target")


def hear_target(node: Node, announcement: Announcement, now: float) -> None:
    """Take over an announcement; a target that was absent or has moved starts cold."""
    if announcement.service != node.settings.service:
        node.metrics.note_bad_input("announcement")
        return
    before = node.target.state
    endpoint = announcement.address, announcement.port
    moved = endpoint != node.target.endpoint or announcement.target != node.target.name
    node.target.update(announcement.state, *endpoint, now, announcement.target)
    set_slots(node.gate, announcement.slots)
    if before is TargetState.ABSENT or moved:
        resume(node.gate, now)
    _note_change(node, before)


def expire_target(node: Node, now: float) -> None:
    """Count the target as absent once its last announcement is too old."""
    before = node.target.state
    if before is TargetState.ABSENT or now - node.target.heard_at < node.settings.target_lease_s:
        return
    node.target.mark_absent()
    _note_change(node, before)


def _note_change(node: Node, before: TargetState) -> None:
    after = node.target.state
    if after is not before:
        node.metrics.note_state(f"target-{after.value}")
        LOG.info("target state", extra={"before": before.value, "after": after.value})
