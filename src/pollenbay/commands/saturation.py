"""Measuring the own target, setting the level of demand it can take, and hearing of others."""

from pollenbay.gate import Gate
from pollenbay.ids import InstanceId, ServiceName
from pollenbay.queries.admission import taken_part
from pollenbay.queries.saturation import level_of, lowest_below
from pollenbay.saturation import FULL_LEVEL, Reading, Room, Saturation

#: Weight of one sample; with ten samples a second it follows within a quarter of a second.
SAMPLE_WEIGHT = 0.35
#: A refused part counts this much more than slots taken, since refused work is lost above too.
REFUSED_WEIGHT = 2.0
#: Saturation that is aimed at: as many calls running or waiting as may run.
WANTED_SATURATION = 1.0
#: Change of the level in a second for each unit of saturation off the wanted one. A change takes
#: about half a second to come round, so a loop that acts faster would swing.
GAIN_PER_S = 1.0
#: Bounds of the deviation that counts.
DEVIATION_MIN = -3.0
DEVIATION_MAX = 0.4


def measure(saturation: Saturation, gate: Gate, period_s: float) -> None:
    """Take a sample of the own target and move its level; called once each period."""
    sample = taken_part(gate) + REFUSED_WEIGHT * saturation.take_refused_part()
    value = saturation.value + SAMPLE_WEIGHT * (sample - saturation.value)
    deviation = min(max(WANTED_SATURATION - value, DEVIATION_MIN), DEVIATION_MAX)
    level = saturation.level + GAIN_PER_S * deviation * period_s
    saturation.set_own(value, min(max(level, 0.0), FULL_LEVEL))


def hear_levels(
    saturation: Saturation,
    teller: InstanceId,
    service: ServiceName,
    levels: tuple[tuple[ServiceName, float], ...],
    now: float,
) -> None:
    """Take in what a node tells with a reply.

    :param service: service of the target beside that node.
    """
    below = saturation.below.setdefault(service, {})
    for each, level in levels:
        saturation.readings.setdefault(each, {})[teller] = Reading(level, now)
        if each != service:
            below[each] = now


def look_around(saturation: Saturation, now: float) -> None:
    """Work out the room of all services heard of, for the requests until the next look."""
    services = {*saturation.readings, *saturation.below}
    for service in services:
        level = level_of(saturation, service, now)
        below = lowest_below(saturation, service, now)
        saturation.rooms[service] = Room(level, below)


def forget_tellers(saturation: Saturation, live: set[InstanceId]) -> None:
    """Drop the readings of nodes that have gone."""
    for readings in saturation.readings.values():
        for teller in [each for each in readings if each not in live]:
            del readings[teller]
