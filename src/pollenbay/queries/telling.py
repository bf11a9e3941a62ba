"""Feedback that a node sends with its replies, on the local target and downstream services."""

from pollenbay.ids import CallName, ServiceName
from pollenbay.message import Told
from pollenbay.node import Node
from pollenbay.queries.admission import taken_part
from pollenbay.queries.saturation import levels_to_tell

#: Seconds for which a service that the local target called is remembered.
CALLED_VALID_S = 10.0


def news_to_tell(node: Node, route: CallName, now: float) -> Told:
    """Return the feedback for a node that has called by a route."""
    return Told(
        is_entry=node.origins.is_entry(route, len(node.rulebook.services), now),
        share=round(node.origins.share(route), 3),
        taken=round(taken_part(node.gate), 2),
        limit=node.gate.limit.value,
        levels=own_levels(node, now),
    )


def own_levels(node: Node, now: float) -> tuple[tuple[ServiceName, float], ...]:
    """Return the levels of the local target and of the services downstream of it."""
    called = [each for each, called_at in node.called.items() if now - called_at < CALLED_VALID_S]
    return levels_to_tell(node.saturation, node.settings.service, called, now)
