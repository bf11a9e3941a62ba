"""Refusal of calls that enter at a node while it stops."""

from pollenbay.call import Call, EntryPoint
from pollenbay.commands.admission import DRAINING_RETRY_S
from pollenbay.decisions import Decision, fields_of_call
from pollenbay.node import Node
from pollenbay.outcome import NotRun
from pollenbay.queries.stopping import accepts_entry
from pollenbay.states import Reason


def refuse_while_stopping(node: Node, call: Call, entry_point: EntryPoint) -> NotRun | None:
    """Return the refusal of a call that the node no longer accepts, or None if it accepts it."""
    if accepts_entry(node, entry_point, call.deadline):
        return None
    node.metrics.record_refusal(call.call_class, Reason.DRAINING)
    if node.decisions.reserve_line(Decision.STOPPING):
        _log_refusal(node, call, entry_point)
    return NotRun(Reason.DRAINING, DRAINING_RETRY_S)


def _log_refusal(node: Node, call: Call, entry_point: EntryPoint) -> None:
    now = node.timer.now()
    fields = {
        **fields_of_call(call, now),
        "state": node.state.value,
        "entry_point": entry_point.value,
        "stops_in_s": round(node.stops_at - now, 3),
    }
    node.decisions.write(Decision.STOPPING, fields)
