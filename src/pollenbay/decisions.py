"""Log lines on single requests, bounded in number so that a flood of refusals costs little."""

from functools import singledispatch
from logging import getLogger

from pollenbay.call import Call
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
from pollenbay.timer import Timer

LOG = getLogger("pollenbay.requests")
#: Lines a second in the long run; the counters tell of the rest.
LINES_PER_S = 10.0
#: Lines that may follow each other at once.
LINES_BURST = 50.0


class DecisionLog:
    """Writes a line for a decision on a request while there is room for one.

    Room is taken before the fields are put together, which costs more than most decisions.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._lines = LINES_BURST
        self._filled_at = timer.now()
        self._suppressed = 0

    @property
    def suppressed(self) -> int:
        """Return how many lines were left out since the last one that was written."""
        return self._suppressed

    def take_room(self) -> bool:
        """Take the room for one line and tell whether there was some; if not, it is left out."""
        now = self._timer.now()
        self._lines = min(self._lines + (now - self._filled_at) * LINES_PER_S, LINES_BURST)
        self._filled_at = now
        if self._lines < 1.0:
            self._suppressed += 1
            return False
        self._lines -= 1.0
        return True

    def write(self, message: str, fields: dict[str, object]) -> None:
        """Write a line for which room was taken."""
        LOG.info(message, extra={**fields, "left_out": self._suppressed})
        self._suppressed = 0


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
    return {"outcome": "answered", "status": outcome.status}


@fields_of_outcome.register
def _(outcome: NotRun) -> dict[str, object]:
    return {"outcome": "not-run", "reason": outcome.reason.value}


@fields_of_outcome.register
def _(outcome: Unknown) -> dict[str, object]:
    return {"outcome": "unknown", "reason": outcome.reason.value}
