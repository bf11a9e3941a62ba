"""Admission levels of services in the view of a node, and the levels that it reports to others."""

from collections.abc import Iterable

from pollenbay.ids import ServiceName
from pollenbay.saturation import (
    FULL_LEVEL,
    LEVEL_REPORT_HALF_LIFE_S,
    LEVEL_REPORT_VALID_S,
    LevelReport,
    Saturation,
)

#: Seconds for which a service stays downstream of another after the last report of it.
DOWNSTREAM_VALID_S = 10.0


def service_level(saturation: Saturation, service: ServiceName, now: float) -> float:
    """Return the mean of the level reports of a service, newer ones weighing more.

    All nodes receive the same levels, so that all admit the same ratio. `FULL_LEVEL` if there is no
    valid report.
    """
    weighted = _weighted_reports(saturation, service, now)
    total = sum(weight for weight, _ in weighted)
    if not total:
        return FULL_LEVEL
    return sum(weight * report.level for weight, report in weighted) / total


def level_age_s(saturation: Saturation, service: ServiceName, now: float) -> float:
    """Return the mean age of what `service_level` is made of, in seconds; 0 without reports."""
    weighted = _weighted_reports(saturation, service, now)
    total = sum(weight for weight, _ in weighted)
    if not total:
        return 0.0
    return sum(weight * (now - report.measured_at) for weight, report in weighted) / total


def level_ages_s(
    saturation: Saturation,
    local: ServiceName,
    levels: tuple[tuple[ServiceName, float], ...],
    now: float,
) -> tuple[float, ...]:
    """Return the age of each level that a node reports, in seconds.

    :param local: service of the local target, whose level has just been measured.
    """
    return tuple(
        0.0 if service == local else round(level_age_s(saturation, service, now), 2)
        for service, _ in levels
    )


def _weighted_reports(
    saturation: Saturation, service: ServiceName, now: float
) -> list[tuple[float, LevelReport]]:
    reports = saturation.level_reports.get(service, {}).values()
    return [
        (0.5 ** ((now - report.measured_at) / LEVEL_REPORT_HALF_LIFE_S), report)
        for report in reports
        if now - report.measured_at < LEVEL_REPORT_VALID_S
    ]


def reported_downstream(
    saturation: Saturation, service: ServiceName, now: float
) -> list[ServiceName]:
    """Return the services that targets of a service call, directly or indirectly."""
    reported_at_by_service = saturation.downstream.get(service, {})
    return [
        each
        for each, reported_at in reported_at_by_service.items()
        if now - reported_at < DOWNSTREAM_VALID_S
    ]


def lowest_downstream_level(saturation: Saturation, service: ServiceName, now: float) -> float:
    """Return the lowest level of the services downstream of one; `FULL_LEVEL` if there is none."""
    downstream = reported_downstream(saturation, service, now)
    return min((service_level(saturation, each, now) for each in downstream), default=FULL_LEVEL)


def fails_on_its_own(saturation: Saturation, service: ServiceName) -> bool:
    """Return whether a failure of a target of a service is its own, as far as is known.

    It is unless a service that its targets call lacks capacity, directly or not.
    """
    levels = saturation.service_levels.get(service)
    return levels is None or levels.downstream >= FULL_LEVEL


def levels_to_report(
    saturation: Saturation, local: ServiceName, called_services: Iterable[ServiceName], now: float
) -> tuple[tuple[ServiceName, float], ...]:
    """Return the level of the local target and those of all services downstream of it.

    :param local: service of the local target.
    :param called_services: services that this target calls directly.
    """
    downstream = dict.fromkeys(called_services)
    for service in list(downstream):
        downstream.update(dict.fromkeys(reported_downstream(saturation, service, now)))
    downstream.pop(local, None)
    reported = tuple((each, round(service_level(saturation, each, now), 2)) for each in downstream)
    return ((local, round(saturation.level, 2)), *reported)
