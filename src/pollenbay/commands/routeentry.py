"""Entry of requests that match a route: throttling, placing, and responding in time."""

from curio import TaskTimeout, timeout_after

from pollenbay.account import make_retry_account
from pollenbay.call import MS_PER_S, Call, CallProgress, RouteRequest, deadline_of
from pollenbay.commands.calling import place_at_service
from pollenbay.commands.stopping import refuse_while_stopping
from pollenbay.commands.throttle import record_end, record_entry
from pollenbay.decisions import Decision, fields_of_call, fields_of_outcome
from pollenbay.ids import CallerId
from pollenbay.node import Node
from pollenbay.outcome import NotRun, Outcome, Unknown, is_successful
from pollenbay.queries.routes import choose_destination, find_route
from pollenbay.queries.stopping import entry_point_of
from pollenbay.queries.throttle import admission_ratio, retry_after_s
from pollenbay.rule import Route
from pollenbay.saturation import FULL_LEVEL, ServiceLevels
from pollenbay.states import Reason

#: Attempts at other targets after refusals that cost a request no retry, since a refusal takes
#: only a few milliseconds.
FREE_ATTEMPTS = 2
#: A node that has just started receives its rules within about this time.
NOT_READY_RETRY_S = 0.5
#: Levels of a service for which no report has been received.
UNKNOWN_LEVELS = ServiceLevels()
#: Callers of routes are not distinguished.
UNIDENTIFIED_CALLER = CallerId("")


async def enter_by_route(
    node: Node, route_request: RouteRequest, progress: CallProgress
) -> Outcome:
    """Place a request that matches a route and return its outcome within the route's wait time."""
    if not node.rulebook.version:
        return NotRun(Reason.NOT_READY, NOT_READY_RETRY_S)
    route = find_route(node.rulebook, route_request.host, route_request.path.partition("?")[0])
    if route is None:
        return NotRun(Reason.UNKNOWN_CALL)
    call = _make_call(node, route_request, route)
    refusal = refuse_while_stopping(node, call, entry_point_of(node, route.name))
    if refusal is None:
        refusal = _throttle(node, call, route)
    if refusal is not None:
        return refusal
    outcome = await _place_with_deadline(node, call, route, progress)
    _record_end(node, call, outcome, route_request.arrived_at)
    return outcome


def _throttle(node: Node, call: Call, route: Route) -> NotRun | None:
    # Rejects a ratio of the callers' requests while a downstream service lacks capacity.
    now = node.timer.now()
    if call.service == node.settings.service:
        _record_local_route(node, call, now)
    if node.throttle.entry_routes.get(call.name) is False:
        node.downstream_called_at[call.service] = now
        return None
    levels = node.saturation.service_levels.get(call.service, UNKNOWN_LEVELS)
    admitted_ratio = admission_ratio(
        node.throttle, call.name, call.call_class, levels.level, levels.downstream, now
    )
    if admitted_ratio >= 1.0 or node.random.random() < admitted_ratio:
        return None
    wait_s = retry_after_s(route.objective_ms / MS_PER_S, node.random.random())
    if node.decisions.reserve_line(Decision.THROTTLED):
        _log_throttled(node, call, levels, admitted_ratio, wait_s, now)
    node.metrics.record_refusal(call.call_class, Reason.DOWNSTREAM_OVERLOAD)
    return NotRun(Reason.DOWNSTREAM_OVERLOAD, wait_s)


def _log_throttled(
    node: Node, call: Call, levels: ServiceLevels, admitted_ratio: float, wait_s: float, now: float
) -> None:
    fields = {
        **fields_of_call(call, now),
        "rule_version": node.rulebook.version,
        "level": levels.level,
        "level_below": levels.downstream,
        "admitted_part": admitted_ratio,
        "retry_after_s": wait_s,
    }
    node.decisions.write(Decision.THROTTLED, fields)


def _record_local_route(node: Node, call: Call, now: float) -> None:
    # Other nodes receive the same values of the local target as feedback with replies.
    is_entry = node.origins.is_entry(call.name, len(node.rulebook.services), now)
    record_entry(node.throttle, call.name, is_entry, node.origins.share(call.name))


def _record_end(node: Node, call: Call, outcome: Outcome, arrived_at: float) -> None:
    now = node.timer.now()
    node.metrics.record_call(call.call_class, outcome, now - arrived_at)
    failed = not is_successful(outcome)
    downstream_level = node.saturation.service_levels.get(call.service, UNKNOWN_LEVELS).downstream
    if failed and node.decisions.reserve_line(Decision.FAILED):
        _log_failure(node, call, outcome, downstream_level, now)
    if downstream_level < FULL_LEVEL:
        record_end(node.throttle, call.name, failed, now)


def _log_failure(
    node: Node, call: Call, outcome: Outcome, downstream_level: float, now: float
) -> None:
    fields = {
        **fields_of_call(call, now),
        **fields_of_outcome(outcome),
        "service": call.service,
        "rule_version": node.rulebook.version,
        "level_below": downstream_level,
    }
    node.decisions.write(Decision.FAILED, fields)


async def _place_with_deadline(
    node: Node, call: Call, route: Route, progress: CallProgress
) -> Outcome:
    account = make_retry_account(route.attempts - 1, call.deadline, FREE_ATTEMPTS)
    wait_s = call.deadline - node.timer.now()
    try:
        async with timeout_after(wait_s):
            return await place_at_service(node, call, account, progress)
    except TaskTimeout:
        return Unknown(Reason.DEADLINE) if progress.sent else NotRun(Reason.DEADLINE)


def _make_call(node: Node, route_request: RouteRequest, route: Route) -> Call:
    return Call(
        request=route_request.request,
        service=choose_destination(route, node.random.random()),
        name=route.name,
        call_class=route.call_class,
        caller=UNIDENTIFIED_CALLER,
        method=route_request.method,
        path=route_request.path,
        headers=route_request.headers,
        body=route_request.body,
        deadline=deadline_of(route.wait_ms, route_request.wait_s, route_request.arrived_at),
        idempotent=route.idempotent,
        origin_service=node.settings.service,
        sender_enforces_deadline=True,
    )
