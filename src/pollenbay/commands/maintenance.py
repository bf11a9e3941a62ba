"""Periodic maintenance of a node: leases, queues, connections, readiness, levels and gauges."""

from pollenbay.commands.admission import expire
from pollenbay.commands.announcing import expire_target
from pollenbay.commands.gossiping import announce_not_serving, announce_serving, report_load
from pollenbay.commands.lifecycle import change_state
from pollenbay.commands.routing import drop_departed_scores
from pollenbay.commands.saturation import (
    drop_departed_reporters,
    record_local,
    refresh_service_levels,
    update_admission_level,
)
from pollenbay.commands.serving import wake
from pollenbay.commands.throttle import drop_removed_routes
from pollenbay.metrics import (
    IDLE_LINKS,
    IN_FLIGHT,
    LIMIT,
    MEMBERS,
    OPEN_EXCHANGES,
    QUEUED,
    RULE_VERSION,
)
from pollenbay.node import Node
from pollenbay.queries.admission import load
from pollenbay.queries.feedback import local_levels
from pollenbay.queries.saturation import level_ages_s
from pollenbay.states import NodeState, TargetState

MAINTENANCE_PERIOD_S = 0.1
#: State of departed instances and removed routes is dropped once per this many iterations.
ITERATIONS_PER_CLEANUP = 100
#: Idle links to nodes that have left are closed once per this many iterations.
ITERATIONS_PER_LINK_CHECK = 10


async def run_maintenance(node: Node) -> None:
    """Run the periodic maintenance until cancelled."""
    subscription = node.timer.subscribe(MAINTENANCE_PERIOD_S)
    iterations = 0
    while True:
        await subscription.wait()
        await wake(expire(node.gate, node.timer.now()))
        expire_target(node, node.timer.now())
        await node.target.close_unused(node.timer.now())
        _update_readiness(node)
        _publish_load(node)
        _update_levels(node)
        iterations += 1
        if iterations % ITERATIONS_PER_LINK_CHECK == 0:
            await node.links.close_unused(node.timer.now())
        if iterations % ITERATIONS_PER_CLEANUP == 0:
            _drop_stale_state(node)


def _update_levels(node: Node) -> None:
    now = node.timer.now()
    instance, service = node.settings.instance, node.settings.service
    update_admission_level(node.saturation, node.gate, MAINTENANCE_PERIOD_S)
    node.origins.decay()
    levels = local_levels(node, now)
    record_local(node.saturation, instance, levels, service, now)
    node.saturation.set_reported(levels, level_ages_s(node.saturation, service, levels, now))
    refresh_service_levels(node.saturation, now)


def _drop_stale_state(node: Node) -> None:
    drop_departed_scores(node.scores, node.view)
    drop_departed_reporters(node.saturation, set(node.view.members))
    routes = {route.name for route in node.rulebook.rules.routes}
    drop_removed_routes(node.throttle, routes)
    node.origins.retain_routes(routes)


def _update_readiness(node: Node) -> None:
    if node.state is NodeState.STARTING and node.membership.ready and node.rulebook.version:
        change_state(node, NodeState.SERVING)
    if node.state is not NodeState.SERVING:
        return
    if node.target.state is TargetState.SERVING:
        announce_serving(node.membership)
    else:
        announce_not_serving(node.membership)


def _publish_load(node: Node) -> None:
    current_load = load(node.gate)
    report_load(node.membership, current_load)
    node.membership.local_member.load = current_load
    node.metrics.set_gauge(IN_FLIGHT, current_load.in_flight)
    node.metrics.set_gauge(LIMIT, current_load.limit)
    node.metrics.set_gauge(QUEUED, current_load.queued)
    node.metrics.set_gauge(OPEN_EXCHANGES, node.exchanges.open)
    node.metrics.set_gauge(RULE_VERSION, node.rulebook.version)
    node.metrics.set_gauge(IDLE_LINKS, node.links.idle)
    node.metrics.set_gauge(MEMBERS, len(node.view.members))
