"""State of the load generator: the result of each request, and the report."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from pollenbay.states import CallClass


class Result(Enum):
    """Result of an attempt; the result of a request is that of its last attempt."""

    COMPLETE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    WRONG = "wrong"
    NOT_SENT = "not-sent"


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A finished request; times in seconds since the start of the run.

    :param key: idempotency key, if any.
    :param attempts: result of each attempt; empty if none was sent.
    """

    call_class: CallClass
    key: str | None
    arrived_s: float
    ended_s: float
    attempts: tuple[Result, ...]

    @property
    def result(self) -> Result:
        """Return the result of the request."""
        return self.attempts[-1] if self.attempts else Result.NOT_SENT

    @property
    def all_reported_not_run(self) -> bool:
        """Return whether every attempt, if any, was reported as not run."""
        return all(result is Result.NOT_RUN for result in self.attempts)


class Refusal(Struct, frozen=True):
    """An attempt for which a node reported a reason, usually as not run or unknown.

    :param call: as ``service.call``.
    :param reason: reason as reported by the node.
    """

    call: str
    result: Result
    reason: str


@dataclass(slots=True)
class LoadState:
    """Results of a run so far."""

    request_records: list[RequestRecord] = field(default_factory=list)
    refusals: Counter[Refusal] = field(default_factory=Counter)
    in_flight: int = 0


class ClassReport(Struct):
    """Results of the requests of one class that arrived in one phase.

    :param sent: requests sent, retries not counted.
    :param attempts: requests and retries.
    :param whole: requests with a complete and correct response.
    :param goodput_per_s: complete responses per second of the phase.
    :param wrong: requests with a successful response that has another body than expected.
    :param p50_ms: median latency of complete responses in milliseconds, from the arrival of the
        request; None without any.
    :param p99_ms: 99th percentile of the same.
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
    """Number of attempts that ended with a refusal."""

    refusal: Refusal
    attempts: int


class Recovery(Struct):
    """Recovery after the surge, relative to the base phase; None if not observed.

    :param base_share: ratio of the base phase's requests that got a complete response; where it
        is well below 1 the base was not healthy and recovery to it means little.
    :param goodput_s: seconds from the end of the surge until the mean rate of complete responses
        over 3 s reaches 95% of the base.
    :param share_s: the same for the ratio of arriving requests that get a complete response,
        which does not vary with random arrivals.
    """

    base_share: float | None
    goodput_s: float | None
    share_s: float | None


class RunLogComparison(Struct):
    """Comparison of the targets' run logs with the results that callers received.

    :param keys_run: distinct pairs of call and idempotency key that ran.
    :param doubled: those of them that ran more than once.
    :param run_after_all: requests that ran although every attempt was reported as not run.
    """

    keys_run: int
    doubled: int
    run_after_all: int


class LoadReport(Struct):
    """Report of a run.

    :param whole_per_s: complete responses for each second, by their arrival at the caller.
    :param refusals: most frequent first.
    :param truth: None if no run logs were compared.
    """

    classes: list[ClassReport]
    recovery: Recovery
    whole_per_s: list[int]
    refusals: list[RefusalCount]
    truth: RunLogComparison | None = None


def make_load_state() -> LoadState:
    """Return an empty state."""
    return LoadState()
