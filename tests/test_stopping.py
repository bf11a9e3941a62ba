"""Which calls a node accepts before and during a planned stop."""

from math import inf
from typing import Any

from admin_node import make_admin_node
from curio import run
from prometheus_client import generate_latest
from pytest import LogCaptureFixture, mark

from pollenbay.call import Call, CallProgress, EntryPoint
from pollenbay.commands.admission import DRAINING_RETRY_S, begin_stop
from pollenbay.commands.serving import serve
from pollenbay.commands.stopping import refuse_while_stopping
from pollenbay.decisions import Decision
from pollenbay.ids import CallerId, CallName, IdempotencyKey, RequestId, ServiceName, TargetId
from pollenbay.node import Node
from pollenbay.outcome import Answered, NotRun, Outcome
from pollenbay.queries.stopping import accepts_entry, due_at, entry_point_of
from pollenbay.states import CallClass, NodeState, Reason, TargetState

STOPS_AT = 10.0
ROUTE = CallName("peek")


def make_call(deadline: float) -> Call:
    """Return a call with a deadline."""
    return Call(
        request=RequestId("r"),
        service=ServiceName("stock"),
        name=ROUTE,
        call_class=CallClass.NORMAL,
        caller=CallerId("c"),
        method="GET",
        path="/peek",
        headers=[],
        body=b"",
        deadline=deadline,
    )


def make_stopping_node() -> Node:
    """Return a node that refuses new work and stops at `STOPS_AT`."""
    node = make_admin_node()
    node.state = NodeState.DRAINING
    node.stops_at = STOPS_AT
    node.rejects_new_work = True
    return node


@mark.parametrize("entry_point", EntryPoint)
def test_any_call_is_accepted_until_new_work_is_refused(entry_point: EntryPoint) -> None:
    node = make_stopping_node()
    node.rejects_new_work = False
    assert accepts_entry(node, entry_point, STOPS_AT + 1.0)
    assert accepts_entry(make_admin_node(), entry_point, inf)


def test_calls_of_callers_are_refused_in_a_stop() -> None:
    assert not accepts_entry(make_stopping_node(), EntryPoint.CALLER, STOPS_AT - 1.0)


# A nested call that was accepted late was broken off at the end of the stop.
@mark.parametrize("deadline, accepted", [(STOPS_AT, True), (STOPS_AT + 0.1, False), (inf, False)])
def test_nested_call_is_accepted_only_if_it_ends_within_the_stop(
    deadline: float, accepted: bool
) -> None:
    assert accepts_entry(make_stopping_node(), EntryPoint.TARGET, deadline) is accepted


@mark.parametrize("entry_point", EntryPoint)
def test_stopped_node_accepts_no_call(entry_point: EntryPoint) -> None:
    node = make_stopping_node()
    node.state = NodeState.STOPPED
    assert not accepts_entry(node, entry_point, STOPS_AT - 1.0)


@mark.parametrize("is_entry", [True, None])
def test_request_on_a_route_that_is_not_internal_is_of_a_caller(is_entry: bool | None) -> None:
    node = make_admin_node()
    node.gate.begin_call(ROUTE)
    if is_entry is not None:
        node.throttle.entry_routes[ROUTE] = is_entry
    assert entry_point_of(node, ROUTE) is EntryPoint.CALLER


def test_request_on_an_internal_route_is_of_the_target_only_while_it_serves_something() -> None:
    node = make_admin_node()
    node.throttle.entry_routes[ROUTE] = False
    assert entry_point_of(node, ROUTE) is EntryPoint.CALLER
    node.gate.begin_call(ROUTE)
    assert entry_point_of(node, ROUTE) is EntryPoint.TARGET


def test_refusal_is_logged_and_counted(caplog: LogCaptureFixture) -> None:
    node = make_stopping_node()
    with caplog.at_level("INFO", "pollenbay.requests"):
        refusal = refuse_while_stopping(node, make_call(STOPS_AT + 1.0), EntryPoint.TARGET)
    assert refusal is not None and refusal.reason is Reason.DRAINING
    assert [each.message for each in caplog.records] == [Decision.STOPPING.value]
    assert b'reason="draining"' in generate_latest(node.metrics.registry)


class SteppedTimer:
    """Timer of a node whose time the test sets."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


class SlowTarget:
    """Target to which it takes some time to connect, and during which a stop may begin.

    :param stops_at: end of the stop that begins meanwhile.
    :param node_state: state of the node after that.
    """

    state = TargetState.SERVING
    name = TargetId("t")
    last_seen_at = 0.0
    propagates_context = False

    def __init__(
        self,
        node: Node,
        timer: SteppedTimer,
        connect_s: float,
        stops_at: float,
        node_state: NodeState,
    ) -> None:
        self._node = node
        self._timer = timer
        self._connect_s = connect_s
        self._stops_at = stops_at
        self._node_state = node_state
        self.runs = 0
        self.kept: list[object] = []

    async def connect(self, now: float, idempotent: bool) -> object:
        self._timer.time += self._connect_s
        self._node.state = self._node_state
        begin_stop(self._node.gate, self._stops_at)
        return "connection"

    async def keep(self, client: object, now: float) -> None:
        self.kept.append(client)

    async def run(self, *arguments: object) -> Outcome:
        self.runs += 1
        return Answered(200, [], b"")


def serve_slowly(
    connect_s: float,
    stops_at: float,
    deadline: float,
    node_state: NodeState = NodeState.DRAINING,
) -> tuple[Outcome, SlowTarget]:
    """Serve a call on a target to which it takes some time to connect."""
    node: Any = make_admin_node()
    timer = SteppedTimer()
    target = SlowTarget(node, timer, connect_s, stops_at, node_state)
    node.timer, node.target = timer, target
    call = make_call(deadline)
    call.service = node.settings.service
    return run(serve, node, call, 3, CallProgress()), target


# A call that got its claim or its connection late in a stop began then and was cut.
def test_call_whose_connection_comes_late_in_a_stop_is_not_run() -> None:
    outcome, target = serve_slowly(connect_s=2.0, stops_at=4.0, deadline=5.0)
    assert outcome == NotRun(Reason.DRAINING, DRAINING_RETRY_S, 3)
    assert (target.runs, target.kept) == (0, ["connection"])


# An interrupted node sent a call whose claim came after it had cancelled those in progress.
def test_call_whose_connection_comes_after_an_interrupt_is_not_run() -> None:
    outcome, target = serve_slowly(2.0, stops_at=4.0, deadline=3.0, node_state=NodeState.STOPPED)
    assert outcome == NotRun(Reason.DRAINING, DRAINING_RETRY_S, 3)
    assert target.runs == 0


def test_call_whose_deadline_is_within_the_stop_begins() -> None:
    outcome, target = serve_slowly(connect_s=2.0, stops_at=4.0, deadline=3.0)
    assert (outcome, target.runs) == (Answered(200, [], b""), 1)


@mark.parametrize("deadline, due", [(STOPS_AT - 1.0, STOPS_AT - 1.0), (STOPS_AT + 1.0, STOPS_AT)])
def test_response_is_due_by_the_end_of_the_stop(deadline: float, due: float) -> None:
    assert due_at(make_stopping_node(), make_call(deadline)) == due
    assert due_at(make_admin_node(), make_call(deadline)) == deadline


def test_claimed_call_keeps_its_deadline_in_a_stop() -> None:
    call = make_call(STOPS_AT + 1.0)
    call.idempotent, call.idempotency_key = False, IdempotencyKey("k")
    assert due_at(make_stopping_node(), call) == STOPS_AT + 1.0
