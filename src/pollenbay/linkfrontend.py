"""Front end for calls that come from other nodes: one task for each connection."""

from curio import Task, current_task, sleep
from curio.io import Socket

from pollenbay.bodymemory import SMALL_BODY_MAX_BYTES, make_holding
from pollenbay.call import CallProgress
from pollenbay.commands.bodymemory import hold_received, release
from pollenbay.commands.serving import serve
from pollenbay.link import Link, LinkBrokenError, LinkMessageError
from pollenbay.linkmessage import (
    AnyLinkMessage,
    CallMessage,
    ReplyMessage,
    ResponseMessage,
    make_call,
    reply_to,
)
from pollenbay.node import Node
from pollenbay.queries.feedback import make_feedback
from pollenbay.states import BodyHolder, NodeState
from pollenbay.watch import WatchedCall

BAD_INPUT_SOURCE = "link"
#: Number of calls after which a link lets other tasks run, as it may always have a next call.
CALLS_PER_YIELD = 8
#: Minimum time between two replies on one link that carry feedback.
FEEDBACK_INTERVAL_MIN_S = 0.1


async def serve_link(node: Node, sock: Socket) -> None:
    """Serve the calls that arrive on one link until it closes."""
    link = Link(sock, node.body_memory)
    try:
        await _serve_calls(node, link)
    except LinkMessageError:
        node.metrics.record_bad_input(BAD_INPUT_SOURCE)
    except LinkBrokenError:
        return
    finally:
        link.forget_message()


async def _serve_calls(node: Node, link: Link) -> None:
    task = await current_task()
    served = 0
    feedback_sent_at = 0.0
    while (message := await link.receive()) is not None:
        call_message = _require_call(message)
        exchange = node.exchanges.begin()
        try:
            reply = await _serve_call(node, link, task, call_message)
            now = node.timer.now()
            if now - feedback_sent_at >= FEEDBACK_INTERVAL_MIN_S:
                reply.feedback = make_feedback(node, call_message.name, now)
                feedback_sent_at = now
            if isinstance(reply, ResponseMessage) and len(reply.body) > SMALL_BODY_MAX_BYTES:
                await _send_long_reply(node, link, reply)
            else:
                await link.send(reply)
        finally:
            exchange.end()
        if node.state is NodeState.STOPPED:
            return
        served += 1
        if served % CALLS_PER_YIELD == 0:
            await sleep(0)


async def _send_long_reply(node: Node, link: Link, reply: ResponseMessage) -> None:
    holding = make_holding(node.body_memory, BodyHolder.PEER)
    hold_received(holding, len(reply.body))
    try:
        await link.send(reply)
    finally:
        release(holding)


def _require_call(message: AnyLinkMessage) -> CallMessage:
    if not isinstance(message, CallMessage):
        raise LinkMessageError(f"expected a call, got {type(message).__name__}")
    return message


async def _serve_call(node: Node, link: Link, task: Task, message: CallMessage) -> ReplyMessage:
    call = make_call(message, node.timer.now())
    progress = CallProgress()
    watched = WatchedCall(link.sock, task, progress, link, message.call_id)
    work = serve(node, call, message.allowance, progress)
    outcome = await node.watch.run_watched(watched, work)
    return reply_to(outcome, message.call_id)
