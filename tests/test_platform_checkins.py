"""Check-ins: the latest one of the latest run applies, regardless of the order of arrival."""

import json
from math import inf
from typing import Any

from curio import run
from hypothesis import given
from hypothesis import strategies as st
from pytest import mark, raises
from table_double import ManualTimer

from pollenbay.commands.departures import recall
from pollenbay.departures import LATE_ANNOUNCEMENT_MAX_S, Departures, make_departures
from pollenbay.ids import TargetId
from pollenbay.platform.checkins import (
    CheckInError,
    CheckIns,
    UnknownRunError,
    make_check_ins,
)
from pollenbay.platform.settings import Endpoint
from pollenbay.queries.departures import recent_departures
from pollenbay.states import TargetState
from pollenbay.timer import Timer

ENDPOINT = Endpoint("10.0.0.1", 8080)
FIRST, SECOND = TargetId("i-1"), TargetId("i-2")


def body(seq: int = 1, state: str = "ready", born: int = 10, **more: Any) -> bytes:
    """Return the body of a check-in."""
    document = {
        "address": "10.0.0.1:8080",
        "info": {"service": "stock", "version": "v1", "zone": "z1", "capacity": 20},
        "status": {"state": state, "seq": seq, "warmup_left_ms": 0},
        "born": born,
    }
    return json.dumps({**document, **more}).encode("utf-8")


def new_check_ins(timer: Timer | None = None) -> CheckIns:
    """Return the check-in state for the node's local instance, without an earlier process."""
    return make_check_ins(ENDPOINT, timer or ManualTimer(), make_departures(-inf))


def check_ins_after_restart(earlier: Departures, timer: Timer) -> CheckIns:
    """Return the check-in state of a process that recalls what an earlier one has stored."""
    departures = make_departures(timer.now())
    run(recall, departures, recent_departures(earlier, timer.now()), timer.now())
    return make_check_ins(ENDPOINT, timer, departures)


def test_check_in_becomes_an_announcement() -> None:
    announcement = new_check_ins().apply(FIRST, body())
    assert announcement.service == "stock"
    assert announcement.slots == 20
    assert announcement.state is TargetState.SERVING
    assert (announcement.target, announcement.address, announcement.port) == (
        FIRST,
        "10.0.0.1",
        8080,
    )


def test_older_check_in_of_the_same_run_is_ignored() -> None:
    check_ins = new_check_ins()
    assert check_ins.apply(FIRST, body(5, "draining")).state is TargetState.LEAVING
    assert check_ins.apply(FIRST, body(4)) is None


def test_check_in_of_an_earlier_run_is_ignored() -> None:
    check_ins = new_check_ins()
    assert check_ins.apply(SECOND, body(1, born=20)) is not None
    assert check_ins.apply(FIRST, body(9, born=10)) is None


def test_new_run_under_the_same_name_restarts_the_sequence() -> None:
    check_ins = new_check_ins()
    assert check_ins.apply(FIRST, body(9, born=10)) is not None
    assert check_ins.apply(FIRST, body(1, born=20)) is not None


def test_departed_run_is_not_readmitted() -> None:
    check_ins = new_check_ins()
    check_ins.apply(FIRST, body(1))
    assert check_ins.record_departure(FIRST) is True
    assert check_ins.apply(FIRST, body(2)) is None
    assert check_ins.apply(FIRST, body(1, born=1_002_000)) is not None


def test_departed_run_is_not_readmitted_however_late() -> None:
    timer = ManualTimer(1000.0)
    check_ins = new_check_ins(timer)
    check_ins.apply(FIRST, body(1))
    check_ins.record_departure(FIRST)
    timer.time_s += 2 * LATE_ANNOUNCEMENT_MAX_S
    assert check_ins.apply(FIRST, body(2)) is None
    assert check_ins.apply(FIRST, body(1, born=20)) is not None


# The departed run counted as an earlier one under its name, which was the last to check in.
def test_departed_run_is_not_admitted_in_place_of_an_earlier_one() -> None:
    check_ins = new_check_ins(ManualTimer(1000.0))
    check_ins.apply(FIRST, body(9, born=10))
    check_ins.record_departure(FIRST)
    assert check_ins.apply(FIRST, body(1, born=999_000)) is None


def test_departure_of_another_run_is_ignored() -> None:
    check_ins = new_check_ins()
    check_ins.apply(SECOND, body(1, born=20))
    assert check_ins.record_departure(FIRST) is False
    assert check_ins.apply(SECOND, body(2, born=20)) is not None


# A late check-in brought back a run whose departure was the first that a new process heard of it.
@mark.parametrize("born", [0, 10, 999_999])
def test_departed_run_that_was_not_known_is_not_admitted(born: int) -> None:
    timer = ManualTimer(1000.0)
    check_ins = new_check_ins(timer)
    assert check_ins.record_departure(FIRST) is False
    timer.time_s += 5.0
    timer.epoch_s += 5.0
    assert check_ins.apply(FIRST, body(1, born=born)) is None
    assert check_ins.apply(FIRST, body(2, "draining", born=born)) is None


# A killed process took the departures that it had confirmed with it.
def test_departure_that_an_earlier_process_confirmed_counts_after_a_restart() -> None:
    timer, earlier = ManualTimer(), make_departures(-inf)
    before = make_check_ins(ENDPOINT, timer, earlier)
    before.apply(FIRST, body(5))
    before.record_departure(FIRST)
    after = check_ins_after_restart(earlier, timer)
    assert after.apply(FIRST, body(4)) is None
    assert after.apply(FIRST, body(6)) is None
    assert after.apply(SECOND, body(1, born=20)) is not None


# A killed process took with it that the run it had heard of was draining.
def test_late_check_in_of_a_draining_run_is_outdated_after_a_restart() -> None:
    timer, earlier = ManualTimer(), make_departures(-inf)
    before = make_check_ins(ENDPOINT, timer, earlier)
    before.apply(FIRST, body(5))
    before.apply(FIRST, body(7, "draining"))
    before.apply(FIRST, body(8, "draining"))
    after = check_ins_after_restart(earlier, timer)
    assert after.apply(FIRST, body(6)) is None
    assert after.apply(FIRST, body(8, "draining")).state is TargetState.LEAVING
    assert after.apply(FIRST, body(1, born=20)).state is TargetState.SERVING


def test_ready_run_is_not_admitted_before_departures_are_recalled() -> None:
    timer = ManualTimer()
    departures = make_departures(timer.now())
    check_ins = make_check_ins(ENDPOINT, timer, departures)
    with raises(UnknownRunError):
        check_ins.apply(FIRST, body(5))
    assert check_ins.apply(FIRST, body(4, "draining")) is not None
    run(recall, departures, [], timer.now())
    assert check_ins.apply(FIRST, body(5)) is not None


def test_run_is_admitted_without_a_table_once_no_late_check_in_can_arrive() -> None:
    timer = ManualTimer()
    check_ins = make_check_ins(ENDPOINT, timer, make_departures(timer.now()))
    timer.time_s += LATE_ANNOUNCEMENT_MAX_S
    assert check_ins.apply(FIRST, body(1)) is not None


def test_new_run_under_the_name_of_a_departed_one_is_admitted() -> None:
    timer = ManualTimer(1000.0)
    check_ins = new_check_ins(timer)
    check_ins.record_departure(FIRST)
    assert check_ins.apply(FIRST, body(1, born=1_002_000)) is not None


def test_new_run_is_admitted_in_the_end_although_the_clock_was_set_back() -> None:
    timer = ManualTimer(1000.0)
    check_ins = new_check_ins(timer)
    check_ins.record_departure(FIRST)
    timer.epoch_s -= 5.0
    assert check_ins.apply(FIRST, body(1, born=997_000)) is None
    timer.time_s += LATE_ANNOUNCEMENT_MAX_S
    assert check_ins.apply(FIRST, body(2, born=997_000)) is not None


@mark.parametrize(
    "malformed",
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
def test_malformed_check_in_is_rejected(malformed: bytes) -> None:
    with raises(CheckInError):
        new_check_ins().apply(FIRST, malformed)


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5)), min_size=1))
def test_accepted_check_ins_only_increase(arrivals: list[tuple[int, int]]) -> None:
    check_ins = new_check_ins()
    accepted = [
        (born, seq)
        for born, seq in arrivals
        if check_ins.apply(TargetId(f"i-{born}"), body(seq, born=born)) is not None
    ]
    assert accepted == sorted(set(accepted))
