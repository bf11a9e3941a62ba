"""Recent departures of runs of the local target, by which late announcements are recognised.

A node keeps them in its row of the table, so that they are still known after its process was
killed. `pollenbay.commands.departures` changes them; `pollenbay.queries.departures` reads them.
"""

from curio import Event
from msgspec import Struct

from pollenbay.ids import TargetId
from pollenbay.ranges import COUNT_MAX, Count

#: Seconds after which no announcement that was sent before a departure arrives any more.
LATE_ANNOUNCEMENT_MAX_S = 30.0
#: Maximum number of departures that are kept.
DEPARTURES_MAX = 16
SEQUENCE_MAX = COUNT_MAX


class Departure(Struct, frozen=True):
    """Announcement by a run that it leaves or has left, after which earlier ones are outdated.

    :param target: name of the run; a later run may bear it again.
    :param born_ms: latest start of an outdated run, in milliseconds since the epoch.
    :param sequence: latest outdated announcement of a run that started then.
    """

    target: TargetId
    born_ms: Count
    sequence: Count = SEQUENCE_MAX


class Departures:
    """Recent departures, each with the monotonic seconds at which it may be forgotten.

    :param started_at: monotonic seconds at which the process started.
    :ivar revision: incremented with each recorded departure.
    :ivar recalled: set when the departures that an earlier process stored are known.
    :ivar changed: set when a departure is to be stored.
    :ivar saved: set while all recorded departures are stored.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self.recent: dict[TargetId, tuple[Departure, float]] = {}
        self.revision = 0
        self.recalled = Event()
        self.changed = Event()
        self.saved = Event()

    @property
    def started_at(self) -> float:
        """Return the monotonic seconds at which the process started."""
        return self._started_at


def make_departures(started_at: float) -> Departures:
    """Return departures of which none is known.

    :param started_at: monotonic seconds at which the process started.
    """
    return Departures(started_at)
