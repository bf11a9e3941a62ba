"""Invariants of the claim model, and states that must be reachable.

The reachable states show that the invariants do not hold merely because nothing happens.
"""

from collections.abc import Callable
from typing import Any

from minicheck import Protocol

from spec.claim_state import Bounds, Kind, Mutant, Phase, ReportedOutcome, Request
from spec.claiming import ClaimSpec

Fields = dict[str, Any]
Predicate = Callable[[Fields], bool]


def _count_runs(fields: Fields) -> int:
    return sum(request.sent for request in fields["requests"])


def _runs_at_most_once(fields: Fields) -> bool:
    return _count_runs(fields) <= 1


def _one_holder(fields: Fields) -> bool:
    holds = (Phase.HELD, Phase.SENT)
    return sum(request.phase in holds for request in fields["requests"]) <= 1


def _not_run_is_true(fields: Fields) -> bool:
    return not any(
        each.reported is ReportedOutcome.NOT_RUN and each.sent for each in fields["requests"]
    )


def _answers_are_of_the_run(fields: Fields) -> bool:
    requests = fields["requests"]
    answers = [each.answered_by for each in requests if each.reported is ReportedOutcome.ANSWERED]
    row = fields["rows"][-1]
    if row.kind is Kind.ANSWERED:
        answers.append(row.owner)
    return all(requests[answer].sent for answer in answers)


def _released_never_ran(fields: Fields) -> bool:
    return fields["rows"][-1].kind is not Kind.RELEASED or _count_runs(fields) == 0


def _no_row_is_left_for_nothing(fields: Fields) -> bool:
    row = fields["rows"][-1]
    if row.kind is not Kind.CLAIMED:
        return True
    owner: Request = fields["requests"][row.owner]
    return owner.sent or owner.phase is not Phase.FINISHED


INVARIANTS: dict[str, Predicate] = {
    "runs_at_most_once": _runs_at_most_once,
    "one_holder": _one_holder,
    "not_run_is_true": _not_run_is_true,
    "answers_are_of_the_run": _answers_are_of_the_run,
    "released_never_ran": _released_never_ran,
    "no_row_is_left_for_nothing": _no_row_is_left_for_nothing,
}


def _repeat_gets_answer(fields: Fields) -> bool:
    answers = [
        each.answered_by for each in fields["requests"] if each.reported is ReportedOutcome.ANSWERED
    ]
    return len(answers) > 1


def _repeat_runs_after_release(fields: Fields) -> bool:
    requests = fields["requests"]
    return (
        any(each.reported is ReportedOutcome.NOT_RUN for each in requests)
        and _count_runs(fields) == 1
    )


def _refused_while_row_says_claimed(fields: Fields) -> bool:
    row = fields["rows"][-1]
    return (
        row.kind is Kind.CLAIMED
        and fields["requests"][row.owner].reported is ReportedOutcome.NOT_RUN
    )


def _fenced_late_claim(fields: Fields) -> bool:
    row = fields["rows"][-1]
    return row.kind is Kind.RELEASED and any(
        message.row.kind is Kind.CLAIMED and message.row.owner == row.owner
        for message in fields["messages"]
    )


def _holder_dies_after_sending(fields: Fields) -> bool:
    return any(each.sent and each.phase is Phase.DEAD for each in fields["requests"])


def _both_write(fields: Fields) -> bool:
    writes = [each.phase is Phase.CLAIM_WRITE for each in fields["requests"]]
    return sum(writes) > 1


REACHABLE: dict[str, Predicate] = {
    "repeat_gets_answer": _repeat_gets_answer,
    "repeat_runs_after_release": _repeat_runs_after_release,
    "refused_while_row_says_claimed": _refused_while_row_says_claimed,
    "fenced_late_claim": _fenced_late_claim,
    "holder_dies_after_sending": _holder_dies_after_sending,
    "both_write": _both_write,
}


def make_claim_protocol(bounds: Bounds, mutant: Mutant | None = None) -> Protocol:
    """Return the claim model with the invariants that must hold."""
    return _make_protocol(bounds, mutant, INVARIANTS)


def make_claim_reachability(bounds: Bounds) -> Protocol:
    """Return the model with one invariant per required state, which fails when it is reached."""
    never = {name: _negate(predicate) for name, predicate in REACHABLE.items()}
    return _make_protocol(bounds, None, never)


def _negate(predicate: Predicate) -> Predicate:
    return lambda fields: not predicate(fields)


def _make_protocol(
    bounds: Bounds, mutant: Mutant | None, invariants: dict[str, Predicate]
) -> Protocol:
    spec = ClaimSpec(bounds, mutant)
    return Protocol(
        name="claiming" if mutant is None else mutant.name.lower(),
        candidate=False,
        fields=("rows", "messages", "requests"),
        initial=spec.initial,
        transitions=spec.steps,
        invariants=invariants,
    )
