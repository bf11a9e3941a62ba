"""Entry of calls: builds a call with a deadline and a retry account from a request."""

from pollenbay.account import make_retry_account
from pollenbay.call import Call, CallProgress, CallRequest, EntryPoint, deadline_of
from pollenbay.commands.calling import place_call
from pollenbay.contexts import Context
from pollenbay.ids import CallerId, make_request_id
from pollenbay.node import Node
from pollenbay.outcome import NotRun, Outcome
from pollenbay.queries.rules import find_call
from pollenbay.rule import CallRule
from pollenbay.states import Reason


async def enter_from_caller(
    node: Node, call_request: CallRequest, default_caller: CallerId, progress: CallProgress
) -> Outcome:
    """Place a call of an outside caller; the retry allowance of its whole chain is granted here.

    :param default_caller: caller to use if the request does not name one.
    """
    rule = find_call(node.rulebook, call_request.service, call_request.name)
    if rule is None:
        return NotRun(Reason.UNKNOWN_CALL)
    call = _make_call(node, call_request, rule, call_request.caller or default_caller)
    return await place_call(
        node, call, make_retry_account(rule.retries, call.deadline), EntryPoint.CALLER, progress
    )


async def enter_from_target(
    node: Node, call_request: CallRequest, progress: CallProgress
) -> Outcome:
    """Place a nested call that the local target makes for a call that it is serving.

    Without a context the call is placed too, but never retried.
    """
    rule = find_call(node.rulebook, call_request.service, call_request.name)
    if rule is None:
        return NotRun(Reason.UNKNOWN_CALL)
    if call_request.context is None:
        service_caller = CallerId(node.settings.service)
        call = _make_call(node, call_request, rule, service_caller)
        return await place_call(
            node, call, make_retry_account(0, call.deadline), EntryPoint.TARGET, progress
        )
    context = node.contexts.find(call_request.context)
    if context is None:
        return NotRun(Reason.BAD_CONTEXT)
    call = _make_call(node, call_request, rule, context.caller)
    _apply_context(call, context)
    context.begin_nested_call(node.timer.now())
    try:
        return await place_call(node, call, context.account, EntryPoint.TARGET, progress)
    finally:
        context.end_nested_call(node.timer.now())


def _make_call(node: Node, call_request: CallRequest, rule: CallRule, caller: CallerId) -> Call:
    return Call(
        request=make_request_id(),
        service=call_request.service,
        name=call_request.name,
        call_class=rule.call_class,
        caller=caller,
        method=call_request.method,
        path=call_request.path,
        headers=call_request.headers,
        body=call_request.body,
        deadline=deadline_of(rule.wait_ms, call_request.wait_s, node.timer.now()),
        idempotency_key=call_request.idempotency_key,
        idempotent=rule.idempotent,
        has_calls=bool(rule.calls),
        origin_service=node.settings.service,
    )


def _apply_context(call: Call, context: Context) -> None:
    call.request = context.request
    call.call_class = context.call_class
    call.depth = context.depth + 1
    call.deadline = min(call.deadline, context.deadline)
