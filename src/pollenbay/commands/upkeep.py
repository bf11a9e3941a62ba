"""Regular work of a node beside its calls: leases, queues, readiness and gauges."""

from pollenbay.commands.admission import expire
from pollenbay.commands.announcing import expire_target
from pollenbay.commands.gossiping import announce_absent, announce_serving, report_load
from pollenbay.commands.life import change_state
from pollenbay.commands.routing import forget_gone
from pollenbay.commands.saturation import forget_tellers, hear_levels, look_around, measure
from pollenbay.commands.serving import wake
from pollenbay.commands.throttle import forget_routes
from pollenbay.metrics import IN_FLIGHT, LIMIT, MEMBERS, QUEUED, RULE_VERSION
from pollenbay.node import Node
from pollenbay.queries.admission import load
from pollenbay.queries.telling import own_levels
from pollenbay.states import NodeState, TargetState

UPKEEP_PERIOD_S = 0.1
#: Scores of instances that have gone are dropped once in so many rounds.
ROUNDS_PER_CLEARING = 100


async def keep_up(node: Node) -> None:
    """Do the regular work until cancelled."""
    subscription = node.timer.subscribe(UPKEEP_PERIOD_S)
    rounds = 0
    while True:
        await subscription.wait()
        await wake(expire(node.gate, node.timer.now()))
        expire_target(node, node.timer.now())
        _become_ready(node)
        _report(node)
        _steer(node)
        rounds += 1
        if rounds % ROUNDS_PER_CLEARING == 0:
            _forget(node)


def _steer(node: Node) -> None:
    """Measure the own target and set the level of demand that it can take."""
    now = node.timer.now()
    me, service = node.settings.instance, node.settings.service
    measure(node.saturation, node.gate, UPKEEP_PERIOD_S)
    node.origins.fade()
    hear_levels(node.saturation, me, service, own_levels(node, now), now)
    look_around(node.saturation, now)


def _forget(node: Node) -> None:
    forget_gone(node.scores, node.view)
    forget_tellers(node.saturation, set(node.view.members))
    routes = {route.name for route in node.rulebook.rules.routes}
    forget_routes(node.throttle, routes)
    node.origins.keep_only(routes)


def _become_ready(node: Node) -> None:
    if node.state is NodeState.STARTING and node.membership.ready and node.rulebook.version:
        change_state(node, NodeState.SERVING)
    if node.state is not NodeState.SERVING:
        return
    if node.target.state is TargetState.SERVING:
        announce_serving(node.membership)
    else:
        announce_absent(node.membership)


def _report(node: Node) -> None:
    present = load(node.gate)
    report_load(node.membership, present)
    node.membership.me.load = present
    node.metrics.set_gauge(IN_FLIGHT, present.in_flight)
    node.metrics.set_gauge(LIMIT, present.limit)
    node.metrics.set_gauge(QUEUED, present.queued)
    node.metrics.set_gauge(RULE_VERSION, node.rulebook.version)
    node.metrics.set_gauge(MEMBERS, len(node.view.members))
