"""State of the load tool: what became of each request, and the report made from it."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from pollenbay.states import CallClass


class Result(Enum):
    """What became of one attempt, or of one request by its last attempt."""

    WHOLE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    WRONG = "wrong"
    NOT_SENT = "not-sent"


@dataclass(frozen=True, slots=True)
class Ending:
    """One request from its arrival to its end; times in seconds since the run began.

    :param attempts: what became of each attempt; empty if none was sent.
    """

    call_class: CallClass
    key: str | None
    arrived_s: float
    ended_s: float
    attempts: tuple[Result, ...]

    @property
    def result(self) -> Result:
        """Return what became of the request."""
        return self.attempts[-1] if self.attempts else Result.NOT_SENT

    @property
    def surely_not_run(self) -> bool:
        """Tell whether the caller was told of each attempt that it was not run."""
        return all(result is Result.NOT_RUN for result in self.attempts)


class Refusal(Struct, frozen=True):
    """An attempt of which a node said that it was not run or that its end is not known.

    :param call: as ``service.call``.
    :param reason: reason as the node gave it.
    """

    call: str
    result: Result
    reason: str


@dataclass(slots=True)
class LoadState:
    """Everything that the load tool has seen."""

    endings: list[Ending] = field(default_factory=list)
    refusals: Counter[Refusal] = field(default_factory=Counter)
    in_flight: int = 0


class ClassReport(Struct):
    """What became of the requests of one class that arrived in one phase.

    :param sent: requests, retries not counted.
    :param attempts: requests and retries.
    :param goodput_per_s: whole answers a second of the phase.
    :param p50_ms: median time from arrival to whole answer in milliseconds; None without one.
    """

    phase: str
    call_class: CallClass
    sent: int
    attempts: int
    whole: int
    goodput_per_s: float
    not_run: int
    unknown: int
    failed: int
    wrong: int
    not_sent: int
    p50_ms: float | None
    p99_ms: float | None


class RefusalCount(Struct):
    """How many attempts ended with a refusal."""

    refusal: Refusal
    attempts: int


class Recovery(Struct):
    """Return to health after the surge, against the base phase; None if it was not seen.

    :param base_share: share of the requests of the base that got a whole answer; where it is
        well below 1 the base was not healthy and the return to it says little.
    :param goodput_s: seconds from the end of the surge until whole answers a second stay at 95%
        of the base for 3 s.
    :param share_s: the same by the share of arriving requests that get a whole answer, which
        does not vary with the chance of arrivals.
    """

    base_share: float | None
    goodput_s: float | None
    share_s: float | None


class Truth(Struct):
    """What the targets' run logs say against what callers were told.

    :param doubled: idempotency keys with which a call ran more than once.
    :param run_after_all: requests that ran though each attempt was told to be not run.
    """

    keys_run: int
    doubled: int
    run_after_all: int


class LoadReport(Struct):
    """Report of one run.

    :param whole_per_s: whole answers by second of their arrival at the caller.
    :param refusals: the most frequent first.
    :param truth: None if no target was asked.
    """

    classes: list[ClassReport]
    recovery: Recovery
    whole_per_s: list[int]
    refusals: list[RefusalCount]
    truth: Truth | None = None


def make_load_state() -> LoadState:
    """Return the state before the first request."""
    return LoadState()
