"""Regular work of a node beside its calls: leases, queues, readiness and gauges."""

from pollenbay.commands.admission import expire
from pollenbay.commands.announcing import expire_target
from pollenbay.commands.gossiping import announce_absent, announce_serving, report_load
from pollenbay.commands.life import change_state
from pollenbay.commands.routing import forget_gone
from pollenbay.commands.serving import wake
from pollenbay.metrics import IN_FLIGHT, LIMIT, MEMBERS, QUEUED, RULE_VERSION
from pollenbay.node import Node
from pollenbay.queries.admission import load
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
        rounds += 1
        if rounds % ROUNDS_PER_CLEARING == 0:
            forget_gone(node.scores, node.view)


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
