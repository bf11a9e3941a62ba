"""Life of a node: starting to serve, and a planned stop that cuts nothing in flight."""

from dataclasses import dataclass
from logging import getLogger

from curio import TaskTimeout, sleep, spawn, timeout_after

from pollenbay.commands.claim import drain_ledger
from pollenbay.commands.dispatch import execute
from pollenbay.commands.gossiping import announce_leaving, withdraw
from pollenbay.node import Node
from pollenbay.states import NodeState

LOG = getLogger("pollenbay.node")
DRAIN_POLL_S = 0.05
#: Time for the last answers to reach their callers' hosts before the process ends.
LINGER_S = 0.2
#: Longest wait for answers of non-idempotent calls to be written to the table.
RECORD_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Drain:
    """Command: stop this node as planned."""


@dataclass(frozen=True, slots=True)
class DrainBegun:
    """Result of `Drain`: calls in progress when it began, and the longest wait in seconds."""

    in_progress: int
    wait_s: float


@execute.register
async def _(command: Drain, node: Node) -> DrainBegun:
    await node.stopping.set()
    return DrainBegun(node.watch.in_progress, node.settings.drain_s)


def change_state(node: Node, state: NodeState) -> None:
    """Move the node to a state, count it and log it."""
    before = node.state
    node.state = state
    node.metrics.note_state(state.value)
    LOG.info("node state", extra={"before": before.value, "after": state.value})


async def drain(node: Node) -> bool:
    """Stop taking work, wait for what is in flight and tell whether all of it has ended.

    Work that still arrives while the announcement spreads is served; after `leave_s` it is
    refused as not run, and the node's row is removed from the table meanwhile, since a table that
    does not answer must not hold the end up. Answers of claimed calls are written before it.
    """
    change_state(node, NodeState.DRAINING)
    announce_leaving(node.membership)
    await sleep(node.settings.leave_s)
    node.refusing = True
    withdrawing = await spawn(withdraw, node.membership)
    try:
        await timeout_after(node.settings.drain_s, _wait_until_idle, node)
        finished = True
    except TaskTimeout:
        finished = False
    finished = await drain_ledger(node.ledger, RECORD_WAIT_S) == 0 and finished
    await sleep(LINGER_S)
    await withdrawing.cancel()
    change_state(node, NodeState.STOPPED)
    return finished


async def _wait_until_idle(node: Node) -> None:
    while node.watch.in_progress or node.gate.in_flight:
        await sleep(DRAIN_POLL_S)
