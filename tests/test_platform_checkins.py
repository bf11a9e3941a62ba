"""Check-ins: the newest word of the newest run counts, whatever order they arrive in."""

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from pytest import mark, raises

from pollenbay.ids import TargetId
from pollenbay.platform.checkins import CheckInError, CheckIns, make_check_ins
from pollenbay.platform.settings import Endpoint
from pollenbay.states import TargetState

ENDPOINT = Endpoint("10.0.0.1", 8080)
ONE, TWO = TargetId("i-1"), TargetId("i-2")


def body(seq: int = 1, state: str = "ready", born: int = 10, **more: Any) -> bytes:
    """Return a check-in."""
    document = {
        "address": "10.0.0.1:8080",
        "info": {"service": "stock", "version": "v1", "zone": "z1", "capacity": 20},
        "status": {"state": state, "seq": seq, "warmup_left_ms": 0},
        "born": born,
    }
    return json.dumps({**document, **more}).encode("utf-8")


def make() -> CheckIns:
    """Return check-ins of the instance beside the node."""
    return make_check_ins(ENDPOINT)


def test_announcement() -> None:
    announcement = make().take(ONE, body())
    assert announcement.service == "stock"
    assert announcement.slots == 20
    assert announcement.state is TargetState.SERVING
    assert (announcement.target, announcement.address, announcement.port) == (ONE, "10.0.0.1", 8080)


def test_a_late_one_of_the_same_run_is_passed_over() -> None:
    check_ins = make()
    assert check_ins.take(ONE, body(5, "draining")).state is TargetState.LEAVING
    assert check_ins.take(ONE, body(4)) is None


def test_a_late_one_of_an_earlier_run_is_passed_over() -> None:
    check_ins = make()
    assert check_ins.take(TWO, body(1, born=20)) is not None
    assert check_ins.take(ONE, body(9, born=10)) is None


def test_a_run_under_the_same_name_counts_anew() -> None:
    check_ins = make()
    assert check_ins.take(ONE, body(9, born=10)) is not None
    assert check_ins.take(ONE, body(1, born=20)) is not None


def test_one_that_has_left_does_not_come_back() -> None:
    check_ins = make()
    check_ins.take(ONE, body(1))
    assert check_ins.depart(ONE) is True
    assert check_ins.take(ONE, body(2)) is None
    assert check_ins.take(ONE, body(1, born=20)) is not None


def test_the_departure_of_another_run_changes_nothing() -> None:
    check_ins = make()
    check_ins.take(TWO, body(1, born=20))
    assert check_ins.depart(ONE) is False
    assert check_ins.take(TWO, body(2, born=20)) is not None


@mark.parametrize(
    "bad",
    [
        b"",
        b"\xff",
        b"7",
        body(address="10.0.0.9:8080"),
        body(address="nowhere"),
        body(address=7),
        body(state="sleeping"),
        body(info={"service": "stock"}),
        body(info={"service": "stock", "capacity": 0}),
        body(status={"state": "ready"}),
        body(born="soon"),
        body(seq="x"),
    ],
)
def test_bad_ones_are_refused(bad: bytes) -> None:
    with raises(CheckInError):
        make().take(ONE, bad)


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5)), min_size=1))
def test_the_order_never_falls(arrivals: list[tuple[int, int]]) -> None:
    check_ins = make()
    taken = [
        (born, seq)
        for born, seq in arrivals
        if check_ins.take(TargetId(f"i-{born}"), body(seq, born=born)) is not None
    ]
    assert taken == sorted(set(taken))
