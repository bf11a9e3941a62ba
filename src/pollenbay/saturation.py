"""Saturation of the local target, and the admission levels of services.

A node measures its local target and sets the admission level of that target. It receives the levels
of other services with the replies to its calls: the called target's node reports its own level and
those of the services downstream of it, so that a change at the deepest service reaches the entry
of a chain as fast as responses do.
"""

from dataclasses import dataclass

from pollenbay.ids import InstanceId, ServiceName
from pollenbay.states import CallClass

#: Level at which a service admits all demand; each class accounts for one unit.
FULL_LEVEL = float(len(CallClass))
#: Seconds for which a level report is valid.
LEVEL_REPORT_VALID_S = 2.0
#: Age by which a level report loses half of its weight, so that those which have passed several
#: nodes do not hide a change.
LEVEL_REPORT_HALF_LIFE_S = 0.2


@dataclass(slots=True)
class LevelReport:
    """Admission level of a service as reported by one node.

    :param level: from 0 to `FULL_LEVEL`.
    :param measured_at: monotonic seconds, on this node's clock, at which the level was measured; it
        may have passed several nodes since.
    """

    level: float
    measured_at: float


@dataclass(frozen=True, slots=True)
class ServiceLevels:
    """Admission levels of a service and downstream of it, as of the last refresh.

    :param level: level of the service.
    :param downstream: lowest level of the services that its targets call, directly or not.
    """

    level: float = FULL_LEVEL
    downstream: float = FULL_LEVEL


class Saturation:
    """Saturation and admission level of the local target, and the reported levels of services."""

    def __init__(self) -> None:
        self._value = 0.0
        self._level = FULL_LEVEL
        self._arrivals = 0
        self._refusals = 0
        self._level_reports: dict[ServiceName, dict[InstanceId, LevelReport]] = {}
        self._downstream: dict[ServiceName, dict[ServiceName, float]] = {}
        self._service_levels: dict[ServiceName, ServiceLevels] = {}
        self._reported_levels: tuple[tuple[ServiceName, float], ...] = ()
        self._reported_ages_s: tuple[float, ...] = ()

    @property
    def value(self) -> float:
        """Return the smoothed saturation of the local target: 1.0 when all slots are occupied."""
        return self._value

    @property
    def level(self) -> float:
        """Return the admission level of the local target."""
        return self._level

    @property
    def level_reports(self) -> dict[ServiceName, dict[InstanceId, LevelReport]]:
        """Return the level reports of each service, by reporting node."""
        return self._level_reports

    @property
    def downstream(self) -> dict[ServiceName, dict[ServiceName, float]]:
        """Return, for each service, its downstream services with the time of the last report."""
        return self._downstream

    @property
    def service_levels(self) -> dict[ServiceName, ServiceLevels]:
        """Return the levels of each reported service, as of the last refresh."""
        return self._service_levels

    @property
    def reported_levels(self) -> tuple[tuple[ServiceName, float], ...]:
        """Return the levels that this node reports with its replies."""
        return self._reported_levels

    @property
    def reported_ages_s(self) -> tuple[float, ...]:
        """Return the seconds since each of these levels was measured."""
        return self._reported_ages_s

    def record_arrival(self) -> None:
        """Count a call that arrived at the local target."""
        self._arrivals += 1

    def record_refusal(self) -> None:
        """Count a call that the local target had no capacity for."""
        self._refusals += 1

    def take_refused_ratio(self) -> float:
        """Return the ratio of refused to arrived calls, and reset both counts."""
        ratio = self._refusals / self._arrivals if self._arrivals else 0.0
        self._arrivals = self._refusals = 0
        return ratio

    def set_reported(
        self, levels: tuple[tuple[ServiceName, float], ...], ages_s: tuple[float, ...]
    ) -> None:
        """Replace the levels that this node reports."""
        self._reported_levels = levels
        self._reported_ages_s = ages_s

    def set_local(self, value: float, level: float) -> None:
        """Replace the saturation and the admission level of the local target."""
        self._value = value
        self._level = level


def make_saturation() -> Saturation:
    """Return a state without measurements and reports."""
    return Saturation()
