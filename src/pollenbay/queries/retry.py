"""Which outcomes another attempt may recover from without running anything twice."""

from functools import singledispatch
from typing import Protocol

from pollenbay.outcome import STATUS_SERVER_ERROR, Answered, NotRun, Outcome, Unknown
from pollenbay.states import Reason

RETRIABLE_STATUSES = frozenset({502, 503, 504})
RETRIABLE_REFUSALS = frozenset(
    {
        Reason.OVERLOAD,
        Reason.QUEUE_TIMEOUT,
        Reason.DRAINING,
        Reason.NOT_READY,
        Reason.CONNECT_FAILED,
        Reason.TARGET_REFUSED,
        Reason.UNKNOWN_CALL,
    }
)


#: Refusals of a target that was full, among those that another target may not repeat.
LOAD_REFUSALS = frozenset({Reason.OVERLOAD, Reason.QUEUE_TIMEOUT})


class Repeatable(Protocol):
    """The interface of a rule or a call that the retry decision needs."""

    @property
    def idempotent(self) -> bool:
        """Return whether running it twice is harmless."""


@singledispatch
def is_retriable(outcome: Outcome, rule: Repeatable, may_repeat_failure: bool = False) -> bool:
    """Return whether another attempt is allowed and may succeed.

    :param may_repeat_failure: whether a failure of the target is its own, and not that of a call
        that it made. Such a call was repeated where it failed; to run its parent again would repeat
        all its other calls too.
    """
    raise TypeError(f"unsupported outcome type: {type(outcome).__name__}")


@is_retriable.register
def _(outcome: Answered, rule: Repeatable, may_repeat_failure: bool = False) -> bool:
    if may_repeat_failure and outcome.status == STATUS_SERVER_ERROR:
        return rule.idempotent
    return rule.idempotent and outcome.status in RETRIABLE_STATUSES


@is_retriable.register
def _(outcome: NotRun, rule: Repeatable, may_repeat_failure: bool = False) -> bool:
    return outcome.reason in RETRIABLE_REFUSALS


@is_retriable.register
def _(outcome: Unknown, rule: Repeatable, may_repeat_failure: bool = False) -> bool:
    return rule.idempotent


def is_refused_for_load(outcome: Outcome) -> bool:
    """Return whether a target had no capacity for a call."""
    return isinstance(outcome, NotRun) and outcome.reason in LOAD_REFUSALS


@singledispatch
def outcome_to_report(last: Outcome, earlier: Outcome | None) -> Outcome:
    """Return the outcome to report for a call after its last attempt.

    A refused attempt does not make a call "not run" if an earlier one may have run.

    :param earlier: outcome to report before that attempt; None before the first.
    """
    return last


@outcome_to_report.register
def _(last: NotRun, earlier: Outcome | None) -> Outcome:
    return last if earlier is None or isinstance(earlier, NotRun) else earlier
