"""Rate-limited log lines about single requests, so that a flood of refusals costs little."""

from dataclasses import dataclass, field
from enum import Enum
from functools import partial, singledispatch
from logging import getLogger

from pollenbay.bucket import TokenBucket, make_token_bucket
from pollenbay.call import Call
from pollenbay.outcome import OUTCOME_NAMES, Answered, NotRun, Outcome, Unknown
from pollenbay.timer import Timer

LOG = getLogger("pollenbay.requests")
#: Sustained lines per second of each message; the counters cover the omitted ones.
LINES_PER_S = 10.0
#: Lines of each message that may be written at once.
LINES_BURST = 50.0


class Decision(Enum):
    """Decisions that are logged; the value is the message."""

    THROTTLED = "held back at the entry"
    STOPPING = "refused in a planned stop"
    CUT = "cut by the end of the stop"
    FAILED = "request failed"
    NOT_ANSWERED = "not answered beside the target"


@dataclass(slots=True)
class LineBudget:
    """Line budget of one message.

    :param lines: token bucket of the lines that may be written.
    :param left_out: lines omitted since the last one written.
    """

    lines: TokenBucket = field(default_factory=partial(make_token_bucket, LINES_PER_S, LINES_BURST))
    left_out: int = 0


class DecisionLog:
    """Writes log lines about decisions on requests, within a line budget for each message.

    Each message has its own budget, so that a flood of refusals does not hide a rare failure. A
    line is reserved before its fields are built, which costs more than most decisions.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._budgets = {decision: LineBudget() for decision in Decision}

    def left_out(self, decision: Decision) -> int:
        """Return the number of lines omitted since the last one written."""
        return self._budgets[decision].left_out

    def reserve_line(self, decision: Decision) -> bool:
        """Reserve one line; return False, and count it as omitted, if the budget is spent."""
        budget = self._budgets[decision]
        budget.lines.refill(self._timer.now())
        if budget.lines.spend():
            return True
        budget.left_out += 1
        return False

    def write(self, decision: Decision, fields: dict[str, object]) -> None:
        """Write a line that was reserved."""
        budget = self._budgets[decision]
        LOG.info(decision.value, extra={**fields, "left_out": budget.left_out})
        budget.left_out = 0


def make_decision_log(timer: Timer) -> DecisionLog:
    """Return a log with full line budgets."""
    return DecisionLog(timer)


def fields_of_call(call: Call, now: float) -> dict[str, object]:
    """Return the log fields that identify a request."""
    time_left_s = round(call.deadline - now, 3)
    return {"request": call.request, "route": call.name, "time_left_s": time_left_s}


@singledispatch
def fields_of_outcome(outcome: Outcome) -> dict[str, object]:
    """Return the log fields that describe how a call ended."""
    raise TypeError(f"unsupported outcome type: {type(outcome).__name__}")


@fields_of_outcome.register
def _(outcome: Answered) -> dict[str, object]:
    return {"outcome": OUTCOME_NAMES[Answered], "status": outcome.status}


@fields_of_outcome.register
def _(outcome: NotRun | Unknown) -> dict[str, object]:
    return {"outcome": OUTCOME_NAMES[type(outcome)], "reason": outcome.reason.value}
