"""What a node has itself measured of the targets that it calls, and its lists of candidates."""

from dataclasses import dataclass, field
from enum import Enum

from pollenbay.ids import HostId, Incarnation, InstanceId, ServiceName


class AttemptResult(Enum):
    """How one attempt at a target ended.

    `REFUSED` is the gate's word and no fault of the target; `FAILED` covers lost connections,
    broken answers and answers that tell of an internal error.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Taken:
    """How full a target was when its node told.

    :param part: calls that ran or waited, as a part of the limit.
    :param limit: calls that may run at once.
    :param outstanding: own attempts under way at that time.
    :param told_at: monotonic seconds.
    """

    part: float
    limit: int
    outstanding: int
    told_at: float


@dataclass(slots=True)
class Score:
    """Own measurements of one incarnation of an instance.

    :param outstanding: attempts under way.
    :param latency_s: smoothed seconds of answered attempts; 0 if not known.
    :param measured_at: monotonic seconds of the end of the last attempt that told something.
    :param success: smoothed part of the attempts that did not fail, from 0 to 1.
    :param refused: smoothed part of the attempts that were refused, from 0 to 1.
    :param failures: failures in a row.
    :param ejections: ejections since it was last trusted.
    :param ejected_until: monotonic seconds; 0 if not ejected.
    :param probes: attempts answered since the ejection was over, which end it.
    :param taken: how full the target was when its node last told; None if it never did.
    """

    incarnation: Incarnation
    outstanding: int = 0
    latency_s: float = 0.0
    measured_at: float = 0.0
    success: float = 1.0
    refused: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probes: int = 0
    taken: Taken | None = None


@dataclass(slots=True)
class Candidates:
    """Members that a node considers for calls of one service.

    :param changes: change counter of the service when the lists were made.
    :param made_at: monotonic seconds.
    :param near: those at the least distance: on this host, else in this zone and so on.
    :param subset: those that are called; holds `near`.
    :param spare: serving ones outside the subset.
    :param suspects: those that may be dead, the last resort.
    """

    changes: int
    made_at: float
    near: list[InstanceId] = field(default_factory=list)
    subset: list[InstanceId] = field(default_factory=list)
    spare: list[InstanceId] = field(default_factory=list)
    suspects: list[InstanceId] = field(default_factory=list)


class Scores:
    """Scores by instance and candidates by service and origin."""

    def __init__(self) -> None:
        self._scores: dict[InstanceId, Score] = {}
        self._candidates: dict[tuple[ServiceName, HostId], Candidates] = {}
        self._typical_s: dict[ServiceName, float] = {}

    @property
    def scores(self) -> dict[InstanceId, Score]:
        """Return the scores by instance."""
        return self._scores

    @property
    def candidates(self) -> dict[tuple[ServiceName, HostId], Candidates]:
        """Return the candidates by service and host of the origin."""
        return self._candidates

    @property
    def typical_s(self) -> dict[ServiceName, float]:
        """Return the smoothed latency of each service in seconds."""
        return self._typical_s


def make_scores() -> Scores:
    """Return scores with nothing measured."""
    return Scores()
