"""What counts as lost, sentence by sentence of the platform's rule LOST around planned work."""

from __future__ import annotations

from typing import Any

from lost_rule import Observed, Run, fault_of, scope_of
from pytest import mark
from soak_client import Ending, SoakRequest


def make_request(**fields: Any) -> SoakRequest:
    """Return an unsafe request that was sent at 10 s and whose connection was closed at 12 s."""
    defaults: dict[str, Any] = {
        "name": "a",
        "entry": "node-0",
        "service": "stock",
        "safe": False,
        "wait_s": 5.5,
        "work_s": 1.0,
        "sent_at": 10.0,
        "written_at": 10.0,
        "ended_at": 12.0,
        "ending": Ending.CLOSED,
    }
    return SoakRequest(**{**defaults, **fields})


def make_observed(*spans: tuple[float, float], **terms: float) -> Observed:
    """Return runs of the request in these spans, and SIGTERMs of the nodes."""
    observed = Observed()
    observed.runs["a"] = [Run("node-1", "", *span) for span in spans]
    for name, at in terms.items():
        observed.terms[name.replace("_", "-")].append(at)
    return observed


@mark.parametrize(
    ("fields", "fault"),
    [
        ({}, "lost, closed"),
        ({"status": 200, "ending": Ending.RESET}, "lost in the middle of the answer"),
        ({"status": 502, "whole": True, "ending": None}, "lost, answered 502 instead"),
        ({"status": 503, "whole": True, "ending": None}, "ran though it was refused as not run"),
        ({"status": 504, "whole": True, "ended_at": 15.45, "ending": None}, None),
    ],
)
def test_request_that_ran_needs_its_answer(fields: dict[str, Any], fault: str | None) -> None:
    assert fault_of(make_observed((10.1, 11.0)), make_request(**fields)) == fault


@mark.parametrize(
    ("fields", "fault"),
    [
        ({}, "lost, read but not passed on"),
        ({"ended_at": 10.15}, None),
        ({"ending": Ending.RESET}, None),
        ({"status": 503, "whole": True, "ending": None}, None),
        ({"status": 502, "whole": True, "ending": None}, None),
    ],
)
def test_request_that_did_not_run(fields: dict[str, Any], fault: str | None) -> None:
    assert fault_of(Observed(), make_request(**fields)) == fault


@mark.parametrize(
    ("term_at", "excused"),
    # 12.0 is in the last sixth, at its begin, before it; the last was sent over 3 s after SIGTERM.
    [(6.5, True), (7.0, True), (7.1, False), (6.9, False)],
)
def test_work_in_the_last_sixth_of_the_stop_of_the_entry(term_at: float, excused: bool) -> None:
    late = term_at == 6.9
    request = make_request(written_at=10.0 if late else 9.5, sent_at=10.0 if late else 9.5)
    fault = fault_of(make_observed((9.6, 12.5), node_0=term_at), request)
    assert (fault is None) is excused


def test_stop_of_another_node_excuses_nothing() -> None:
    observed = make_observed((9.6, 12.5), node_1=6.5)
    request = make_request(sent_at=9.5, written_at=9.5)
    assert fault_of(observed, request) == "lost, closed"
    assert scope_of(observed, request) == "none of the rule"


def test_instance_that_had_ended_before_the_last_sixth_excuses_nothing() -> None:
    observed = make_observed((9.6, 11.4), node_0=6.5)
    request = make_request(sent_at=9.4, written_at=9.4)
    assert fault_of(observed, request) == "lost, closed"
    assert scope_of(observed, request) == "SIGTERM of the entry"


def test_unsafe_request_that_ran_twice() -> None:
    observed = make_observed((10.1, 11.0), (10.2, 11.1))
    assert fault_of(observed, make_request()) == "ran twice"
    assert fault_of(observed, make_request(safe=True)) == "lost, closed"
