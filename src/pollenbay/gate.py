"""Admission state of a target: calls that run, calls that wait for a slot, and the load.

`pollenbay.commands.admission` changes it and `pollenbay.queries.admission` reads it.
"""

from math import inf

from pollenbay.admissionqueue import AdmissionQueue, make_admission_queue
from pollenbay.arrival import Arrival, Refusal, Ticket, Waiter
from pollenbay.ids import CallName
from pollenbay.limit import Limit, make_limit
from pollenbay.runtimes import RunTimes, make_run_times
from pollenbay.share import Shares, make_shares
from pollenbay.shedding import Shedding, make_shedding

__all__ = ["Arrival", "Gate", "Refusal", "Ticket", "Waiter", "make_gate"]

#: Queue places per call that may run concurrently.
QUEUE_LIMIT_RATIO = 1.0
QUEUE_PLACES_MIN = 12
QUEUE_PLACES_MAX = 256


class Gate:
    """State of admission to one target."""

    def __init__(self, slots: int, adaptive: bool = True) -> None:
        self._limit = make_limit(slots, adaptive)
        self._queue = make_admission_queue()
        self._shares = make_shares()
        self._shedding = make_shedding()
        self._run_times = make_run_times()
        self._in_flight = 0
        self._cuts_at = inf

    @property
    def limit(self) -> Limit:
        """Return the concurrency limit."""
        return self._limit

    @property
    def queue(self) -> AdmissionQueue:
        """Return the admission queue."""
        return self._queue

    @property
    def shares(self) -> Shares:
        """Return the calls of each caller."""
        return self._shares

    @property
    def shedding(self) -> Shedding:
        """Return the load shedding state."""
        return self._shedding

    @property
    def run_times(self) -> RunTimes:
        """Return the run times of the calls."""
        return self._run_times

    @property
    def in_flight(self) -> int:
        """Return the number of calls that hold a ticket."""
        return self._in_flight

    @property
    def cuts_at(self) -> float:
        """Return the monotonic seconds at which running calls are cut; infinite before a stop."""
        return self._cuts_at

    @property
    def queue_capacity(self) -> int:
        """Return the maximum number of calls that may be queued now."""
        return min(
            max(int(self._limit.value * QUEUE_LIMIT_RATIO), QUEUE_PLACES_MIN), QUEUE_PLACES_MAX
        )

    def begin_call(self, name: CallName) -> None:
        """Count a call that starts."""
        self._in_flight += 1
        self._run_times.begin(name)

    def set_cut(self, cuts_at: float) -> None:
        """Set the monotonic seconds at which running calls are cut."""
        self._cuts_at = cuts_at

    def end_call(self, name: CallName) -> None:
        """Count a call that has ended."""
        self._in_flight -= 1
        self._run_times.end(name)


def make_gate(slots: int, adaptive: bool = True) -> Gate:
    """Return a gate for a target with the announced number of slots.

    :param adaptive: whether the concurrency limit adapts.
    """
    return Gate(slots, adaptive)
