"""Local measurements of the targets that a node calls, and its lists of candidates."""

from dataclasses import dataclass, field
from enum import Enum

from pollenbay.ids import HostId, Incarnation, InstanceId, ServiceName


class AttemptResult(Enum):
    """Result of one attempt at a target.

    `REFUSED` is a decision of the gate and no fault of the target. `FAILED` covers lost
    connections, malformed responses and responses that report an internal error.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class OccupancyReport:
    """Occupancy of a target as reported by its node.

    :param occupancy: calls running or queued, as a ratio of the limit.
    :param limit: maximum number of concurrent calls.
    :param outstanding: attempts of this node in progress at that time.
    :param received_at: monotonic seconds at which the report was received.
    """

    occupancy: float
    limit: int
    outstanding: int
    received_at: float


@dataclass(slots=True)
class Score:
    """Local measurements of one incarnation of an instance.

    :param outstanding: attempts in progress.
    :param latency_s: smoothed seconds of answered attempts; 0 if unknown.
    :param measured_at: monotonic seconds of the end of the last attempt that was not cancelled.
    :param success_ratio: smoothed ratio of attempts that did not fail, from 0 to 1.
    :param refused_ratio: smoothed ratio of attempts that were refused, from 0 to 1.
    :param failures: consecutive failures.
    :param ejections: ejections since its success ratio was last high enough to reset the back-off.
    :param ejected_until: monotonic seconds; 0 if not ejected.
    :param probes: answered attempts since the ejection period ended; enough of them readmit it.
    :param occupancy: occupancy last reported by its node; None if it has not reported any.
    """

    incarnation: Incarnation
    outstanding: int = 0
    latency_s: float = 0.0
    measured_at: float = 0.0
    success_ratio: float = 1.0
    refused_ratio: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probes: int = 0
    occupancy: OccupancyReport | None = None


@dataclass(slots=True)
class Candidates:
    """Members that a node considers for calls of one service.

    :param changes: change counter of the service when the lists were made.
    :param made_at: monotonic seconds.
    :param nearest: those at the shortest distance: on this host, else in this zone and so on.
    :param subset: those that are called; contains `nearest`.
    :param outside_subset: serving members outside the subset.
    :param suspects: those that may be dead, used as a last resort.
    """

    changes: int
    made_at: float
    nearest: list[InstanceId] = field(default_factory=list)
    subset: list[InstanceId] = field(default_factory=list)
    outside_subset: list[InstanceId] = field(default_factory=list)
    suspects: list[InstanceId] = field(default_factory=list)


class Scores:
    """Scores by instance, and candidates by service and origin."""

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
    def service_latencies_s(self) -> dict[ServiceName, float]:
        """Return the smoothed latency of each service in seconds."""
        return self._typical_s


def make_scores() -> Scores:
    """Return scores without measurements."""
    return Scores()
