"""Whether a node still accepts a call that enters at it, while it serves and in a planned stop."""

from pollenbay.ids import CallName
from pollenbay.node import Node
from pollenbay.states import NodeState

#: Short, because another node accepts calls immediately.
DRAINING_RETRY_S = 0.05


def accepts_entry(node: Node, is_nested: bool, deadline: float) -> bool:
    """Return whether a call that enters now is accepted.

    Nested calls are accepted for longer, since the calls that made them are still served. By then
    only those whose deadline is within the stop: any other might be cut short by its end.

    :param is_nested: whether the local target makes the call for one that it is serving.
    :param deadline: deadline of the call in monotonic seconds.
    """
    if node.state is NodeState.STOPPED:
        return False
    if not node.rejects_new_work:
        return True
    return is_nested and deadline <= node.stops_at


def may_be_nested(node: Node, route: CallName) -> bool:
    """Return whether a request on a route may be a nested call of the local target.

    Requests of callers and of targets arrive on the same port. A target makes calls only for those
    that it is serving, and on internal routes.
    """
    return node.gate.in_flight > 0 and node.throttle.entry_routes.get(route) is False
