"""Feedback that a node sends with its replies, on the local target and downstream services."""

from pollenbay.ids import CallName, ServiceName
from pollenbay.linkmessage import TargetFeedback
from pollenbay.node import Node
from pollenbay.queries.admission import occupancy
from pollenbay.queries.saturation import levels_to_report
from pollenbay.states import TargetState

#: Seconds for which a service that the local target called is remembered.
CALLED_VALID_S = 10.0


def make_feedback(node: Node, route: CallName, now: float) -> TargetFeedback:
    """Return the feedback for a node that has called by a route."""
    return TargetFeedback(
        is_entry_route=node.origins.is_entry(route, len(node.rulebook.services), now),
        route_share=round(node.origins.share(route), 3),
        occupancy=round(occupancy(node.gate), 2),
        limit=node.gate.limit.value,
        admission_levels=node.saturation.reported_levels,
        level_ages_s=node.saturation.reported_ages_s,
    )


def local_levels(node: Node, now: float) -> tuple[tuple[ServiceName, float], ...]:
    """Return the levels of the local target and of the services downstream of it.

    A target that is leaving or absent serves nothing, so its idle slots are no spare capacity of
    its service.
    """
    called = [
        each
        for each, called_at in node.downstream_called_at.items()
        if now - called_at < CALLED_VALID_S
    ]
    levels = levels_to_report(node.saturation, node.settings.service, called, now)
    return levels if node.target.state is TargetState.SERVING else levels[1:]
