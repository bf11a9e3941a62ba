"""Whether a node accepts a call that enters at it, and until when it can answer, while it stops."""

from pollenbay.call import Call, EntryPoint
from pollenbay.ids import CallName
from pollenbay.node import Node
from pollenbay.states import NodeState


def accepts_entry(node: Node, entry_point: EntryPoint, deadline: float) -> bool:
    """Return whether a call that enters now is accepted.

    Calls of the local target are accepted for longer, since it still serves the calls that they
    belong to. By then only those whose deadline is within the stop: any other might be cut short by
    its end.

    :param deadline: deadline of the call in monotonic seconds.
    """
    if node.state is NodeState.STOPPED:
        return False
    if not node.rejects_new_work:
        return True
    return entry_point is EntryPoint.TARGET and deadline <= node.stops_at


def due_at(node: Node, call: Call) -> float:
    """Return the monotonic seconds by which the response of a call is due at this node.

    That is its deadline, or the end of this node's stop if that is earlier. A call under a claim
    keeps its deadline: its response is recorded, and a repeat elsewhere gets it.
    """
    return call.deadline if call.requires_claim else min(call.deadline, node.stops_at)


def entry_point_of(node: Node, route: CallName) -> EntryPoint:
    """Return where a request on a route probably entered.

    Requests of callers and of the target arrive on the same port. The target makes calls only for
    those that it is serving, and on internal routes.
    """
    serves = node.gate.in_flight > 0
    is_internal = node.throttle.entry_routes.get(route) is False
    return EntryPoint.TARGET if serves and is_internal else EntryPoint.CALLER
