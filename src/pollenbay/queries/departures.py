"""Whether an announcement of the local target is outdated because its run has left."""

from pollenbay.departures import LATE_ANNOUNCEMENT_MAX_S, Departure, Departures
from pollenbay.ids import TargetId


def is_outdated(
    departures: Departures, target: TargetId, born_ms: int, sequence: int, now: float
) -> bool:
    """Return whether an announcement was sent before the departure of its run.

    :param born_ms: start of the run, in milliseconds since the epoch.
    :param sequence: number of the announcement, which grows within a run.
    :param now: monotonic seconds.
    """
    departure, ends_at = departures.recent.get(target, (None, 0.0))
    if departure is None or now >= ends_at:
        return False
    return (born_ms, sequence) <= (departure.born_ms, departure.sequence)


def is_history_known(departures: Departures, now: float) -> bool:
    """Return whether the departures that an earlier process confirmed are known or past.

    :param now: monotonic seconds.
    """
    if departures.recalled.is_set():
        return True
    return now - departures.started_at >= LATE_ANNOUNCEMENT_MAX_S


def recent_departures(departures: Departures, now: float) -> list[Departure]:
    """Return the departures before which an announcement may still be on its way.

    :param now: monotonic seconds.
    """
    return [departure for departure, ends_at in departures.recent.values() if now < ends_at]
