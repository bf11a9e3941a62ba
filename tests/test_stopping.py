"""Which calls a node accepts before and during a planned stop."""

from math import inf

from admin_node import make_admin_node
from prometheus_client import generate_latest
from pytest import LogCaptureFixture, mark

from pollenbay.call import Call, EntryPoint
from pollenbay.commands.stopping import refuse_while_stopping
from pollenbay.decisions import Decision
from pollenbay.ids import CallerId, CallName, RequestId, ServiceName
from pollenbay.node import Node
from pollenbay.queries.stopping import accepts_entry, entry_point_of
from pollenbay.states import CallClass, NodeState, Reason

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
