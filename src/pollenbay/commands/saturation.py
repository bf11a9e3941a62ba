"""Saturation and admission level of the local target, and the levels reported by other nodes."""

from itertools import zip_longest

from pollenbay.gate import Gate
from pollenbay.ids import InstanceId, ServiceName
from pollenbay.queries.admission import occupancy
from pollenbay.queries.saturation import lowest_downstream_level, service_level
from pollenbay.saturation import FULL_LEVEL, LevelReport, Saturation, ServiceLevels

#: Weight of one sample; at ten samples per second the average follows a change within a quarter
#: of a second.
SAMPLE_WEIGHT = 0.35
#: Weight of the rejected ratio relative to occupancy; rejected work is lost upstream too.
REFUSED_WEIGHT = 1.0
#: Saturation to maintain: all slots occupied and a short queue, so that none falls idle.
SATURATION_SETPOINT = 1.15
#: Change of the admission level per second for each unit of deviation from the set point. A
#: change takes about half a second to take effect, so a faster control loop would oscillate.
GAIN_PER_S = 1.5
#: Bounds to which the deviation from the set point is clamped. Requests that were admitted before
#: keep a target full for about a second, during which the level must not fall too far.
DEVIATION_MIN = -1.0
DEVIATION_MAX = 0.8


def update_admission_level(saturation: Saturation, gate: Gate, period_s: float) -> None:
    """Sample the local target and adjust its admission level; called once per period.

    :param period_s: seconds since the previous sample.
    """
    sample = occupancy(gate) + REFUSED_WEIGHT * saturation.take_refused_ratio()
    value = saturation.value + SAMPLE_WEIGHT * (sample - saturation.value)
    deviation = min(max(SATURATION_SETPOINT - value, DEVIATION_MIN), DEVIATION_MAX)
    level = saturation.level + GAIN_PER_S * deviation * period_s
    saturation.set_local(value, min(max(level, 0.0), FULL_LEVEL))


def record_levels(
    saturation: Saturation,
    reporter: InstanceId,
    service: ServiceName,
    levels: tuple[tuple[ServiceName, float], ...],
    now: float,
    ages_s: tuple[float, ...] = (),
) -> None:
    """Record the admission levels that a node reported with a reply.

    :param service: service of that node's local target.
    :param ages_s: seconds since each level was measured; 0 for those that are not given.
    """
    downstream = saturation.downstream.setdefault(service, {})
    for (reported, level), age_s in zip_longest(levels, ages_s[: len(levels)], fillvalue=0.0):
        report = LevelReport(level, now - age_s)
        saturation.level_reports.setdefault(reported, {})[reporter] = report
        if reported != service:
            downstream[reported] = now


def record_local(
    saturation: Saturation,
    reporter: InstanceId,
    levels: tuple[tuple[ServiceName, float], ...],
    service: ServiceName,
    now: float,
) -> None:
    """Record what this node itself reports: its own level, and which services are downstream.

    The levels of these are not recorded again: they would weigh as if they were just measured.
    """
    own_level = tuple(pair for pair in levels if pair[0] == service)
    record_levels(saturation, reporter, service, own_level, now)
    for reported, _ in levels:
        if reported != service:
            saturation.downstream[service][reported] = now


def refresh_service_levels(saturation: Saturation, now: float) -> None:
    """Recompute the levels of all reported services, which apply until the next refresh."""
    services = {*saturation.level_reports, *saturation.downstream}
    for service in services:
        level = service_level(saturation, service, now)
        downstream_level = lowest_downstream_level(saturation, service, now)
        saturation.service_levels[service] = ServiceLevels(level, downstream_level)


def drop_departed_reporters(saturation: Saturation, live: set[InstanceId]) -> None:
    """Drop the level reports of nodes that are no longer in the view."""
    for reports in saturation.level_reports.values():
        for reporter in [each for each in reports if each not in live]:
            del reports[reporter]
