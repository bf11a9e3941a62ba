"""Log lines on single requests, bounded in number so that a flood of refusals costs little."""

from dataclasses import dataclass, field
from enum import Enum
from functools import partial, singledispatch
from logging import getLogger

from pollenbay.bucket import Bucket, make_bucket
from pollenbay.call import Call
from pollenbay.outcome import OUTCOME_NAMES, Answered, NotRun, Outcome, Unknown
from pollenbay.timer import Timer

LOG = getLogger("pollenbay.requests")
#: Lines a second of each message in the long run; the counters tell of the rest.
LINES_PER_S = 10.0
#: Lines that may follow each other at once.
LINES_BURST = 50.0


class Decision(Enum):
    """Decisions that lines tell of; the value is the message."""

    HELD_BACK = "held back at the entry"
    FAILED = "request failed"
    NOT_ANSWERED = "not answered beside the target"


@dataclass(slots=True)
class LineRoom:
    """Room for the lines of one message.

    :param lines: how many may be written now.
    :param left_out: lines left out since the last one that was written.
    """

    lines: Bucket = field(default_factory=partial(make_bucket, LINES_PER_S, LINES_BURST))
    left_out: int = 0


class DecisionLog:
    """Writes a line for a decision on a request while there is room for one of its kind.

    Each message has room of its own, so that a flood of refusals does not hide a rare failure. Room
    is taken before the fields are put together, which costs more than most decisions.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._rooms = {decision: LineRoom() for decision in Decision}

    def left_out(self, decision: Decision) -> int:
        """Return how many lines were left out since the last one that was written."""
        return self._rooms[decision].left_out

    def take_room(self, decision: Decision) -> bool:
        """Take the room for one line and tell whether there was some; if not, it is left out."""
        room = self._rooms[decision]
        room.lines.fill(self._timer.now())
        if room.lines.spend():
            return True
        room.left_out += 1
        return False

    def write(self, decision: Decision, fields: dict[str, object]) -> None:
        """Write a line for which room was taken."""
        room = self._rooms[decision]
        LOG.info(decision.value, extra={**fields, "left_out": room.left_out})
        room.left_out = 0


def make_decision_log(timer: Timer) -> DecisionLog:
    """Return a log with its burst at hand."""
    return DecisionLog(timer)


def fields_of_call(call: Call, now: float) -> dict[str, object]:
    """Return the fields of a log line that say which request it is about."""
    time_left_s = round(call.deadline - now, 3)
    return {"request": call.request, "route": call.name, "time_left_s": time_left_s}


@singledispatch
def fields_of_outcome(outcome: Outcome) -> dict[str, object]:
    """Return the fields of a log line that say how a call ended."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@fields_of_outcome.register
def _(outcome: Answered) -> dict[str, object]:
    return {"outcome": OUTCOME_NAMES[Answered], "status": outcome.status}


@fields_of_outcome.register
def _(outcome: NotRun | Unknown) -> dict[str, object]:
    return {"outcome": OUTCOME_NAMES[type(outcome)], "reason": outcome.reason.value}
