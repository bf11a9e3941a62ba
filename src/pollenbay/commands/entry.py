"""Entry of calls: from what was asked to a call with a deadline and an allowance of retries."""

from pollenbay.account import make_account
from pollenbay.call import Asked, Call, Entrance, Passage, deadline_of
from pollenbay.commands.calling import place
from pollenbay.contexts import Context
from pollenbay.ids import CallerId, make_request_id
from pollenbay.node import Node
from pollenbay.outcome import NotRun, Outcome
from pollenbay.queries.rules import find_call
from pollenbay.rule import CallRule
from pollenbay.states import Reason


async def enter_from_caller(
    node: Node, asked: Asked, origin: CallerId, passage: Passage
) -> Outcome:
    """Place a call of an outside caller; the allowance of its whole chain is granted here.

    :param origin: stands for the caller if it does not name itself.
    """
    rule = find_call(node.rulebook, asked.service, asked.name)
    if rule is None:
        return NotRun(Reason.UNKNOWN_CALL)
    call = _make_call(node, asked, rule, asked.caller or origin)
    return await place(
        node, call, make_account(rule.retries, call.deadline), Entrance.CALLER, passage
    )


async def enter_from_target(node: Node, asked: Asked, passage: Passage) -> Outcome:
    """Place a call that the target beside this node makes for a call that it is serving.

    Without a context the call is placed too, but never retried.
    """
    rule = find_call(node.rulebook, asked.service, asked.name)
    if rule is None:
        return NotRun(Reason.UNKNOWN_CALL)
    if asked.context is None:
        origin = CallerId(node.settings.service)
        call = _make_call(node, asked, rule, origin)
        return await place(node, call, make_account(0, call.deadline), Entrance.TARGET, passage)
    context = node.contexts.find(asked.context)
    if context is None:
        return NotRun(Reason.BAD_CONTEXT)
    call = _make_call(node, asked, rule, context.caller)
    _join(call, context)
    context.begin_call(node.timer.now())
    try:
        return await place(node, call, context.account, Entrance.TARGET, passage)
    finally:
        context.end_call(node.timer.now())


def _make_call(node: Node, asked: Asked, rule: CallRule, caller: CallerId) -> Call:
    return Call(
        request=make_request_id(),
        service=asked.service,
        name=asked.name,
        call_class=rule.call_class,
        caller=caller,
        method=asked.method,
        path=asked.path,
        headers=asked.headers,
        body=asked.body,
        deadline=deadline_of(rule.wait_ms, asked.wait_s, node.timer.now()),
        idempotency_key=asked.idempotency_key,
        idempotent=rule.idempotent,
        has_calls=bool(rule.calls),
        origin=node.settings.service,
    )


def _join(call: Call, context: Context) -> None:
    call.request = context.request
    call.call_class = context.call_class
    call.depth = context.depth + 1
    call.deadline = min(call.deadline, context.deadline)
