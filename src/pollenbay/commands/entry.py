"""Entry of calls: from what was asked to a call with a deadline and an allowance of retries."""

from functools import singledispatch

from curio import TaskTimeout, timeout_after

from pollenbay.account import make_account
from pollenbay.call import Asked, Call, Entrance, Passage, RouteAsked
from pollenbay.commands.calling import place, place_at_service
from pollenbay.commands.throttle import note_end, note_entry
from pollenbay.contexts import Context
from pollenbay.ids import CallerId, make_request_id
from pollenbay.node import Node
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
from pollenbay.queries.routes import choose_destination, find_route
from pollenbay.queries.rules import find_call
from pollenbay.queries.saturation import level_of, services_below
from pollenbay.queries.throttle import admitted_part, retry_after_s
from pollenbay.rule import CallRule, Route
from pollenbay.saturation import FULL_LEVEL
from pollenbay.states import Reason

MS_PER_S = 1000.0
STATUS_SERVER_ERROR = 500
#: Other targets tried for one request after refusals, which cost a few milliseconds each.
FREE_REFUSALS = 2
#: A node that has just started gets its rules within about this time.
NOT_READY_RETRY_S = 0.5
#: Another node takes requests at once.
MOVED_RETRY_S = 0.05
#: Callers of routes are not told apart.
ANY_CALLER = CallerId("")


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


async def enter_by_route(node: Node, asked: RouteAsked, passage: Passage) -> Outcome:
    """Place a request that a route selects and answer it by the end of the route's wait."""
    if not node.rulebook.version:
        return NotRun(Reason.NOT_READY, NOT_READY_RETRY_S)
    route = find_route(node.rulebook, asked.host, asked.path.partition("?")[0])
    if route is None:
        return NotRun(Reason.UNKNOWN_CALL)
    call = _make_routed_call(node, asked, route)
    if node.refusing and node.throttle.entries.get(route.name) is not False:
        return NotRun(Reason.DRAINING, MOVED_RETRY_S)
    refusal = _hold_back(node, call, route)
    if refusal is not None:
        return refusal
    outcome = await _place_in_time(node, call, route, passage)
    _note_end(node, call, outcome)
    return outcome


def _hold_back(node: Node, call: Call, route: Route) -> NotRun | None:
    """Refuse a part of the callers' requests while a service below has too little room."""
    now = node.timer.now()
    if call.service == node.settings.service:
        services = len(node.rulebook.services)
        is_entry = node.origins.is_entry(call.name, services, now)
        note_entry(node.throttle, call.name, is_entry, node.origins.share(call.name))
    if node.throttle.entries.get(call.name) is False:
        node.called[call.service] = now
        return None
    level = level_of(node.saturation, call.service, now)
    below = _level_below(node, call, now)
    part = admitted_part(node.throttle, call.name, call.call_class, level, below, now)
    if part >= 1.0 or node.random.random() < part:
        return None
    wait_s = retry_after_s(route.objective_ms / MS_PER_S, node.random.random())
    fields = {
        "request": call.request,
        "route": call.name,
        "rule_version": node.rulebook.version,
        "level": level,
        "level_below": below,
        "admitted_part": part,
        "retry_after_s": wait_s,
    }
    node.decisions.write("held back at the entry", fields)
    node.metrics.note_refusal(call.call_class, Reason.DOWNSTREAM_OVERLOAD)
    return NotRun(Reason.DOWNSTREAM_OVERLOAD, wait_s)


def _note_end(node: Node, call: Call, outcome: Outcome) -> None:
    now = node.timer.now()
    failed = not isinstance(outcome, Answered) or outcome.status >= STATUS_SERVER_ERROR
    if failed:
        _log_failure(node, call, outcome, now)
    if _level_below(node, call, now) < FULL_LEVEL:
        note_end(node.throttle, call.name, failed, now)


def _log_failure(node: Node, call: Call, outcome: Outcome, now: float) -> None:
    fields = {
        "request": call.request,
        "route": call.name,
        "service": call.service,
        "rule_version": node.rulebook.version,
        "time_left_s": round(call.deadline - now, 3),
        "level_below": _level_below(node, call, now),
        **told_by(outcome),
    }
    node.decisions.write("request failed", fields)


@singledispatch
def told_by(outcome: Outcome) -> dict[str, object]:
    """Return the fields of a log line that say how a call ended."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@told_by.register
def _(outcome: Answered) -> dict[str, object]:
    return {"outcome": "answered", "status": outcome.status}


@told_by.register
def _(outcome: NotRun) -> dict[str, object]:
    return {"outcome": "not-run", "reason": outcome.reason.value}


@told_by.register
def _(outcome: Unknown) -> dict[str, object]:
    return {"outcome": "unknown", "reason": outcome.reason.value}


def _level_below(node: Node, call: Call, now: float) -> float:
    below = services_below(node.saturation, call.service, now)
    levels = (level_of(node.saturation, each, now) for each in below)
    return min(levels, default=FULL_LEVEL)


async def _place_in_time(node: Node, call: Call, route: Route, passage: Passage) -> Outcome:
    account = make_account(route.attempts - 1, call.deadline, FREE_REFUSALS)
    wait_s = call.deadline - node.timer.now()
    try:
        return await timeout_after(wait_s, place_at_service, node, call, account, passage)
    except TaskTimeout:
        return Unknown(Reason.DEADLINE) if passage.sent else NotRun(Reason.DEADLINE)


def _make_routed_call(node: Node, asked: RouteAsked, route: Route) -> Call:
    wait_s = route.wait_ms / MS_PER_S
    if asked.wait_s is not None:
        wait_s = min(wait_s, asked.wait_s)
    return Call(
        request=asked.request,
        service=choose_destination(route, node.random.random()),
        name=route.name,
        call_class=route.call_class,
        caller=ANY_CALLER,
        method=asked.method,
        path=asked.path,
        headers=asked.headers,
        body=asked.body,
        deadline=node.timer.now() + wait_s,
        idempotent=route.idempotent,
        origin=node.settings.service,
        timed=True,
    )


def _make_call(node: Node, asked: Asked, rule: CallRule, caller: CallerId) -> Call:
    wait_s = rule.wait_ms / MS_PER_S
    if asked.wait_s is not None:
        wait_s = min(wait_s, asked.wait_s)
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
        deadline=node.timer.now() + wait_s,
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
