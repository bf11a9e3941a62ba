"""Which calls a node accepts before and during a planned stop."""

from math import inf

from admin_node import make_admin_node
from pytest import mark

from pollenbay.ids import CallName
from pollenbay.node import Node
from pollenbay.queries.stopping import accepts_entry, may_be_nested
from pollenbay.states import NodeState

STOPS_AT = 10.0
ROUTE = CallName("peek")


def make_stopping_node() -> Node:
    """Return a node that refuses new work and stops at `STOPS_AT`."""
    node = make_admin_node()
    node.state = NodeState.DRAINING
    node.stops_at = STOPS_AT
    node.rejects_new_work = True
    return node


@mark.parametrize("is_nested", [False, True])
def test_any_call_is_accepted_until_new_work_is_refused(is_nested: bool) -> None:
    node = make_stopping_node()
    node.rejects_new_work = False
    assert accepts_entry(node, is_nested, STOPS_AT + 1.0)
    assert accepts_entry(make_admin_node(), is_nested, inf)


def test_calls_of_callers_are_refused_in_a_stop() -> None:
    assert not accepts_entry(make_stopping_node(), False, STOPS_AT - 1.0)


# A nested call that was accepted late was broken off at the end of the stop.
@mark.parametrize("deadline, accepted", [(STOPS_AT, True), (STOPS_AT + 0.1, False), (inf, False)])
def test_nested_call_is_accepted_only_if_it_ends_within_the_stop(
    deadline: float, accepted: bool
) -> None:
    assert accepts_entry(make_stopping_node(), True, deadline) is accepted


@mark.parametrize("is_nested", [False, True])
def test_stopped_node_accepts_no_call(is_nested: bool) -> None:
    node = make_stopping_node()
    node.state = NodeState.STOPPED
    assert not accepts_entry(node, is_nested, STOPS_AT - 1.0)


@mark.parametrize("is_entry", [True, None])
def test_request_on_another_than_an_internal_route_is_no_nested_call(is_entry: bool | None) -> None:
    node = make_admin_node()
    node.gate.begin_call(ROUTE)
    if is_entry is not None:
        node.throttle.entry_routes[ROUTE] = is_entry
    assert not may_be_nested(node, ROUTE)


def test_request_is_a_nested_call_only_while_the_target_serves_something() -> None:
    node = make_admin_node()
    node.throttle.entry_routes[ROUTE] = False
    assert not may_be_nested(node, ROUTE)
    node.gate.begin_call(ROUTE)
    assert may_be_nested(node, ROUTE)
