"""Recording departures of the local target, and recalling those that an earlier process stored."""

from logging import getLogger

from curio import Event, TaskTimeout, timeout_after

from pollenbay.departures import (
    DEPARTURES_MAX,
    LATE_ANNOUNCEMENT_MAX_S,
    Departure,
    Departures,
)

LOG = getLogger("pollenbay.target")


def record_departure(departures: Departures, departure: Departure, now: float) -> None:
    """Record a departure, in place of an earlier one under the same name.

    :param now: monotonic seconds.
    """
    _put(departures, departure, now)
    departures.revision += 1
    departures.saved.clear()


async def recall(departures: Departures, stored: list[Departure], now: float) -> None:
    """Add the departures that an earlier process stored, unless a newer one is known.

    :param now: monotonic seconds.
    """
    unknown = [each for each in stored if each.target not in departures.recent]
    for departure in unknown:
        _put(departures, departure, now)
    if unknown or not departures.recalled.is_set():
        LOG.info("departures recalled", extra={"targets": [each.target for each in unknown]})
    await departures.recalled.set()


async def wait_recalled(departures: Departures, limit_s: float) -> bool:
    """Wait for the departures of an earlier process and return whether they are known.

    :param limit_s: maximum seconds to wait.
    """
    return departures.recalled.is_set() or await _wait(departures.recalled, limit_s)


async def save(departures: Departures, limit_s: float) -> bool:
    """Have the recorded departures stored and return whether that was done in time.

    :param limit_s: maximum seconds to wait.
    """
    if departures.saved.is_set():
        return True
    await departures.changed.set()
    return await _wait(departures.saved, limit_s)


async def mark_saved(departures: Departures, revision: int) -> None:
    """Note that the departures of a revision are stored."""
    if revision == departures.revision:
        await departures.saved.set()


def _put(departures: Departures, departure: Departure, now: float) -> None:
    departures.recent.pop(departure.target, None)
    if len(departures.recent) >= DEPARTURES_MAX:
        del departures.recent[next(iter(departures.recent))]
    departures.recent[departure.target] = departure, now + LATE_ANNOUNCEMENT_MAX_S


async def _wait(event: Event, limit_s: float) -> bool:
    try:
        await timeout_after(limit_s, event.wait)
    except TaskTimeout:
        return False
    return True
