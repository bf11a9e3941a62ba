"""Lifecycle of a node: state changes, and a planned stop that lets calls in flight complete."""

from dataclasses import dataclass
from logging import getLogger

from curio import TaskTimeout, sleep, spawn, timeout_after

from pollenbay.commands.admission import begin_stop, clear_queue
from pollenbay.commands.claim import drain_ledger
from pollenbay.commands.dispatch import execute
from pollenbay.commands.gossiping import announce_leaving, withdraw
from pollenbay.commands.serving import wake
from pollenbay.decisions import Decision, fields_of_call
from pollenbay.node import Node
from pollenbay.states import NodeState
from pollenbay.watch import WatchedCall

LOG = getLogger("pollenbay.node")
DRAIN_POLL_S = 0.05
#: Seconds for the last responses to reach their callers' hosts before the process ends.
LINGER_S = 0.2
#: Maximum of that time while responses are still being sent; less than the platform's reserve
#: between the end of a planned stop and the kill, since the process needs time to end.
LINGER_MAX_S = 0.4
#: Maximum wait for responses of non-idempotent calls to be written to the table.
RECORD_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Drain:
    """Command: stop this node as planned."""


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """Result of `Drain`.

    :param in_progress: calls in progress when the stop began.
    :param wait_s: maximum seconds for which the stop waits for them.
    """

    in_progress: int
    wait_s: float


@execute.register
async def _(command: Drain, node: Node) -> DrainStarted:
    await node.stopping.set()
    return DrainStarted(node.watch.in_progress, node.settings.drain_s)


def change_state(node: Node, state: NodeState) -> None:
    """Change the state of the node; count and log it if it is another one."""
    before = node.state
    if before is state:
        return
    node.state = state
    node.metrics.record_state_change(state.value)
    LOG.info("node state", extra={"before": before.value, "after": state.value})


async def drain(node: Node) -> bool:
    """Stop accepting calls, wait for those in flight and return whether all have been answered.

    Calls that arrive while the announcement spreads are served if they are expected to end within
    the stop; after `leave_s` they are refused as not run, except calls of the local target whose
    deadline is within the stop. So are calls that still wait for a slot then. The node's row is
    removed from the table concurrently, since an unresponsive table must not delay the stop. Once
    no call is in progress and no response is due, or the time is over, all calls are refused. Calls
    that outlast the stop are cancelled, so that their callers get an outcome. Responses of claimed
    calls are written before the process ends.
    """
    node.stopping_since = node.timer.now()
    node.stops_at = node.stopping_since + node.settings.leave_s + node.settings.drain_s
    begin_stop(node.gate, node.stops_at)
    change_state(node, NodeState.DRAINING)
    announce_leaving(node.membership)
    withdrawal = await spawn(withdraw, node.membership)
    await sleep(node.settings.leave_s)
    node.rejects_new_work = True
    await wake(clear_queue(node.gate))
    try:
        await timeout_after(node.stops_at - node.timer.now(), _stop_when_idle, node)
        finished = True
    except TaskTimeout:
        finished = False
        await abort_calls(node)
    finished = await drain_ledger(node.ledger, RECORD_WAIT_S) == 0 and finished
    await _linger(node)
    if not withdrawal.terminated:
        LOG.warning("row not removed before the stop")
        await withdrawal.cancel()
    if node.exchanges.open:
        LOG.warning("responses not sent", extra={"open_exchanges": node.exchanges.open})
    return finished


async def abort_calls(node: Node) -> None:
    """Accept no further calls and cancel those in progress; their callers get an outcome."""
    change_state(node, NodeState.STOPPED)
    fields = {"in_progress": node.watch.in_progress, "open_exchanges": node.exchanges.open}
    LOG.warning("calls outlast the stop", extra=fields)
    for watched in node.watch.calls:
        node.metrics.record_cut_call(watched.progress.stage)
        if node.decisions.reserve_line(Decision.CUT):
            _log_cut_call(node, watched)
    await node.watch.cancel_all()


def _log_cut_call(node: Node, watched: WatchedCall) -> None:
    now, progress = node.timer.now(), watched.progress
    call_fields = {} if progress.call is None else fields_of_call(progress.call, now)
    fields = {
        **call_fields,
        "stage": progress.stage.value,
        "begun_s_ago": None if progress.begun_at is None else round(now - progress.begun_at, 3),
        "from_node": watched.link is not None,
        "stopping_since_s": round(now - node.stopping_since, 3),
    }
    node.decisions.write(Decision.CUT, fields)


async def _stop_when_idle(node: Node) -> None:
    # No other task runs between the last check and the change of state.
    while node.watch.in_progress or node.gate.in_flight or node.exchanges.open:
        await sleep(DRAIN_POLL_S)
    change_state(node, NodeState.STOPPED)


async def _linger(node: Node) -> None:
    ends_at = node.timer.now() + LINGER_MAX_S
    await sleep(LINGER_S)
    while node.exchanges.open and node.timer.now() < ends_at:
        await sleep(DRAIN_POLL_S)
