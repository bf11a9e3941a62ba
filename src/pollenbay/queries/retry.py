"""Which outcomes another attempt may mend without running anything twice."""

from functools import singledispatch
from typing import Protocol

from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
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


class Repeatable(Protocol):
    """A rule or a call, as far as this decision needs it."""

    @property
    def idempotent(self) -> bool:
        """Tell whether running it twice does no harm."""


@singledispatch
def is_retriable(outcome: Outcome, rule: Repeatable) -> bool:
    """Tell whether another attempt is allowed and may help."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@is_retriable.register
def _(outcome: Answered, rule: Repeatable) -> bool:
    return rule.idempotent and outcome.status in RETRIABLE_STATUSES


@is_retriable.register
def _(outcome: NotRun, rule: Repeatable) -> bool:
    return outcome.reason in RETRIABLE_REFUSALS


@is_retriable.register
def _(outcome: Unknown, rule: Repeatable) -> bool:
    return rule.idempotent


@singledispatch
def outcome_to_tell(last: Outcome, earlier: Outcome | None) -> Outcome:
    """Return what may be told of a call after its last attempt.

    A refused attempt does not make a call "not run" if an earlier one may have run.

    :param earlier: what could be told before that attempt; None before the first.
    """
    return last


@outcome_to_tell.register
def _(last: NotRun, earlier: Outcome | None) -> Outcome:
    return last if earlier is None or isinstance(earlier, NotRun) else earlier
