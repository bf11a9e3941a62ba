"""The platform's rule LOST around planned work, judged from what clients and instances saw."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

from soak_client import Ending, SoakRequest
from soak_platform import NOT_RUN_STATUSES

#: Bounds of the platform, as its sites have them.
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
CONFIG_APPLY_S = 2.0
#: A request that is sent later than this after SIGTERM has to be answered within the grace period.
SENT_LATE_S = 3.0
#: Time by which a request may end before its deadline, for which it was still waiting.
DEADLINE_SLACK_S = 0.1
LISTED_S = 20.0


@dataclass(frozen=True, slots=True)
class Run:
    """A run of a request at the instance of a node, in monotonic seconds.

    :param ended_at: when its response was ready; infinite if it was not.
    """

    node: str
    body: str
    started_at: float
    ended_at: float


@dataclass(slots=True)
class Observed:
    """What happened beside the requests, in monotonic seconds.

    :param runs: runs by the name of the request.
    :param terms: times of the SIGTERMs that began a stop, by node.
    :param reloads: times of SIGHUP by node.
    :param publications: times at which the operator sent a configuration.
    """

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    terms: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    reloads: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    publications: list[float] = field(default_factory=list)


def fault_of(observed: Observed, request: SoakRequest) -> str | None:
    """Return what a request shows that must not be, if anything."""
    runs = observed.runs.get(request.name, [])
    if not request.safe and len(runs) > 1:
        return "ran twice"
    if not request.safe and runs and request.status in NOT_RUN_STATUSES:
        return "ran though it was refused as not run"
    if request.answered and not request.owns_answer:
        return "wrong answer"
    if any(run.body != request.body.decode("ascii") for run in runs):
        return "wrong body at the instance"
    is_accepted = bool(runs) or (_was_read(request) and not request.whole)
    if request.answered or not is_accepted or _is_excused(observed, request):
        return None
    if request.whole:
        return f"lost, answered {request.status} instead"
    if request.status is not None:
        return "lost in the middle of the answer"
    return "lost, closed" if runs else "lost, read but not passed on"


def scope_of(observed: Observed, request: SoakRequest) -> str:
    """Return the planned work during which a request was lost.

    Beyond that the rule asks for nothing, but `fault_of` does: the stop of another node is no
    reason either, since it need not begin work that outlasts it.
    """
    ended_at = request.ended_at
    if any(0.0 <= ended_at - at <= GRACE_S + 1.0 for at in observed.terms[request.entry]):
        return "SIGTERM of the entry"
    reloads = observed.reloads[request.entry]
    if any(request.sent_at - CONFIG_APPLY_S <= at <= ended_at for at in reloads):
        return "SIGHUP of the entry"
    if any(0.0 <= ended_at - at <= CONFIG_APPLY_S + 1.0 for at in observed.publications):
        return "configuration"
    return "none of the rule"


def describe(observed: Observed, request: SoakRequest, what: str) -> str:
    """Return all that is known of a request; times are relative to its sending."""
    since = request.sent_at
    fields = {**fields_of(request), "ended_after_s": round(request.ended_at - since, 3)}
    terms = {name: _near(since, times) for name, times in observed.terms.items()}
    reloads = {name: _near(since, times) for name, times in observed.reloads.items()}
    runs = [
        (run.node, round(run.started_at - since, 3), round(run.ended_at - since, 3))
        for run in observed.runs.get(request.name, [])
    ]
    return "\n".join(
        [
            f"{what}: {fields}",
            f"  planned work: {scope_of(observed, request)}",
            f"  runs {runs}",
            f"  SIGTERM {terms}",
            f"  SIGHUP {reloads}, configurations {_near(since, observed.publications)}",
        ]
    )


def fields_of(request: SoakRequest) -> dict[str, Any]:
    """Return the fields of a request for a report, without its bodies."""
    fields = asdict(request)
    del fields["body"], fields["body_of_answer"]
    return {**fields, "ending": request.ending and request.ending.value}


def _was_read(request: SoakRequest) -> bool:
    """Return whether the end of a connection shows that the node had read a request.

    A process that ends with unread bytes resets the connection, and a request that crosses the
    close does not count.
    """
    if request.status is not None:
        return True
    waited_s = request.ended_at - request.written_at
    return request.ending is Ending.CLOSED and waited_s > LOSS_SLACK_S


def _is_excused(observed: Observed, request: SoakRequest) -> bool:
    """Return whether a request may have no whole answer.

    - The deadline or the time-out of the route was reached; the former comes first here.
    - The instance was still at work in the last sixth of the grace period, counted from the
      SIGTERM of the machine that took the request, which was sent no later than 3 s after it.
    - The instance broke off: none does here.
    """
    if request.ended_at - request.sent_at >= request.wait_s - DEADLINE_SLACK_S:
        return True
    for term_at in observed.terms[request.entry]:
        last_sixth_at = term_at + GRACE_S * 5 / 6
        ends_in_stop = last_sixth_at <= request.ended_at <= term_at + GRACE_S + 1.0
        is_sent_in_time = request.written_at <= term_at + SENT_LATE_S
        at_work = any(
            run.started_at < term_at + GRACE_S and run.ended_at >= last_sixth_at
            for run in observed.runs.get(request.name, [])
        )
        if ends_in_stop and is_sent_in_time and at_work:
            return True
    return False


def _near(since: float, times: list[float]) -> list[float]:
    return [round(at - since, 3) for at in times if abs(at - since) < LISTED_S]
