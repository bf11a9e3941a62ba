"""Entry of requests that a route selects: holding back, placing, and answering in time."""

from curio import TaskTimeout, timeout_after

from pollenbay.account import make_account
from pollenbay.call import MS_PER_S, Call, Passage, RouteAsked, deadline_of
from pollenbay.commands.calling import place_at_service
from pollenbay.commands.throttle import note_end, note_entry
from pollenbay.decisions import Decision, fields_of_call, fields_of_outcome
from pollenbay.ids import CallerId
from pollenbay.node import Node
from pollenbay.outcome import NotRun, Outcome, Unknown, is_sound
from pollenbay.queries.routes import choose_destination, find_route
from pollenbay.queries.throttle import admitted_part, retry_after_s
from pollenbay.rule import Route
from pollenbay.saturation import FULL_LEVEL, Room
from pollenbay.states import Reason

#: Other targets tried for one request after refusals, which cost a few milliseconds each.
FREE_REFUSALS = 2
#: A node that has just started gets its rules within about this time.
NOT_READY_RETRY_S = 0.5
#: Another node takes requests at once.
MOVED_RETRY_S = 0.05
#: Of a service that nothing was heard of.
UNKNOWN_ROOM = Room()
#: Callers of routes are not told apart.
ANY_CALLER = CallerId("")


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
    began_at = node.timer.now()
    outcome = await _place_in_time(node, call, route, passage)
    _note_end(node, call, outcome, began_at)
    return outcome


def _hold_back(node: Node, call: Call, route: Route) -> NotRun | None:
    """Refuse a part of the callers' requests while a service below has too little room."""
    now = node.timer.now()
    if call.service == node.settings.service:
        _note_own_route(node, call, now)
    if node.throttle.entries.get(call.name) is False:
        node.called[call.service] = now
        return None
    room = node.saturation.rooms.get(call.service, UNKNOWN_ROOM)
    part = admitted_part(node.throttle, call.name, call.call_class, room.level, room.below, now)
    if part >= 1.0 or node.random.random() < part:
        return None
    wait_s = retry_after_s(route.objective_ms / MS_PER_S, node.random.random())
    if node.decisions.take_room(Decision.HELD_BACK):
        _log_held_back(node, call, room, part, wait_s, now)
    node.metrics.note_refusal(call.call_class, Reason.DOWNSTREAM_OVERLOAD)
    return NotRun(Reason.DOWNSTREAM_OVERLOAD, wait_s)


def _log_held_back(
    node: Node, call: Call, room: Room, part: float, wait_s: float, now: float
) -> None:
    fields = {
        **fields_of_call(call, now),
        "rule_version": node.rulebook.version,
        "level": room.level,
        "level_below": room.below,
        "admitted_part": part,
        "retry_after_s": wait_s,
    }
    node.decisions.write(Decision.HELD_BACK, fields)


def _note_own_route(node: Node, call: Call, now: float) -> None:
    """Learn of a route of the own target what other nodes are told with replies."""
    is_entry = node.origins.is_entry(call.name, len(node.rulebook.services), now)
    note_entry(node.throttle, call.name, is_entry, node.origins.share(call.name))


def _note_end(node: Node, call: Call, outcome: Outcome, began_at: float) -> None:
    now = node.timer.now()
    node.metrics.note_call(call.call_class, outcome, now - began_at)
    failed = not is_sound(outcome)
    below = node.saturation.rooms.get(call.service, UNKNOWN_ROOM).below
    if failed and node.decisions.take_room(Decision.FAILED):
        _log_failure(node, call, outcome, below, now)
    if below < FULL_LEVEL:
        note_end(node.throttle, call.name, failed, now)


def _log_failure(node: Node, call: Call, outcome: Outcome, below: float, now: float) -> None:
    fields = {
        **fields_of_call(call, now),
        **fields_of_outcome(outcome),
        "service": call.service,
        "rule_version": node.rulebook.version,
        "level_below": below,
    }
    node.decisions.write(Decision.FAILED, fields)


async def _place_in_time(node: Node, call: Call, route: Route, passage: Passage) -> Outcome:
    account = make_account(route.attempts - 1, call.deadline, FREE_REFUSALS)
    wait_s = call.deadline - node.timer.now()
    try:
        async with timeout_after(wait_s):
            return await place_at_service(node, call, account, passage)
    except TaskTimeout:
        return Unknown(Reason.DEADLINE) if passage.sent else NotRun(Reason.DEADLINE)


def _make_routed_call(node: Node, asked: RouteAsked, route: Route) -> Call:
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
        deadline=deadline_of(route.wait_ms, asked.wait_s, node.timer.now()),
        idempotent=route.idempotent,
        origin=node.settings.service,
        timed=True,
    )
