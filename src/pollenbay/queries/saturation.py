"""What a node knows of the levels of services, and what it tells others of them."""

from collections.abc import Iterable

from pollenbay.ids import ServiceName
from pollenbay.saturation import FULL_LEVEL, READING_VALID_S, Saturation

#: Services that one service's targets call are remembered for so long after they were told.
BELOW_VALID_S = 10.0


def level_of(saturation: Saturation, service: ServiceName, now: float) -> float:
    """Return the mean of the fresh readings of a service; the full level if there is none.

    All nodes hear the same levels, so that all let in the same part.
    """
    readings = saturation.readings.get(service)
    if not readings:
        return FULL_LEVEL
    fresh = [each.level for each in readings.values() if now - each.heard_at < READING_VALID_S]
    return sum(fresh) / len(fresh) if fresh else FULL_LEVEL


def services_below(saturation: Saturation, service: ServiceName, now: float) -> list[ServiceName]:
    """Return the services that targets of a service call, directly or not."""
    told = saturation.below.get(service, {})
    return [each for each, told_at in told.items() if now - told_at < BELOW_VALID_S]


def lowest_below(saturation: Saturation, service: ServiceName, now: float) -> float:
    """Return the lowest level of the services below one; the full level if none is known."""
    below = services_below(saturation, service, now)
    return min((level_of(saturation, each, now) for each in below), default=FULL_LEVEL)


def levels_to_tell(
    saturation: Saturation, own: ServiceName, called: Iterable[ServiceName], now: float
) -> tuple[tuple[ServiceName, float], ...]:
    """Return the level of the own target and those of all services below it.

    :param own: service of the target beside this node.
    :param called: services that this target calls directly.
    """
    reached = dict.fromkeys(called)
    for service in list(reached):
        reached.update(dict.fromkeys(services_below(saturation, service, now)))
    reached.pop(own, None)
    heard = tuple((each, round(level_of(saturation, each, now), 2)) for each in reached)
    return ((own, round(saturation.level, 2)), *heard)
