"""Admission levels of services in the view of a node, and the levels that it reports to others."""

from collections.abc import Iterable

from pollenbay.ids import ServiceName
from pollenbay.saturation import FULL_LEVEL, LEVEL_REPORT_VALID_S, Saturation

#: Seconds for which a service stays downstream of another after the last report of it.
DOWNSTREAM_VALID_S = 10.0


def service_level(saturation: Saturation, service: ServiceName, now: float) -> float:
    """Return the mean of the fresh level reports of a service; `FULL_LEVEL` if there is none.

    All nodes receive the same levels, so that all admit the same ratio.
    """
    reports = saturation.level_reports.get(service)
    if not reports:
        return FULL_LEVEL
    fresh = [
        each.level for each in reports.values() if now - each.received_at < LEVEL_REPORT_VALID_S
    ]
    return sum(fresh) / len(fresh) if fresh else FULL_LEVEL


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
