"""The gate before a target: who runs in it, who waits for a slot, and how hard it is pressed.

`pollenbay.commands.admission` changes it and `pollenbay.queries.admission` reads it.
"""

from pollenbay.arrival import Arrival, Refusal, Ticket, Waiter
from pollenbay.limit import Limit, make_limit
from pollenbay.share import Shares, make_shares
from pollenbay.shedding import Shedding, make_shedding
from pollenbay.waiting import WaitingLine, make_waiting_line

__all__ = ["Arrival", "Gate", "Refusal", "Ticket", "Waiter", "make_gate"]

#: Places in the queue for each call that may run at once.
QUEUE_PER_LIMIT = 1.0
QUEUE_MIN = 12
QUEUE_MAX = 256


class Gate:
    """State of admission to one target."""

    def __init__(self, slots: int, adaptive: bool = True) -> None:
        self._limit = make_limit(slots, adaptive)
        self._line = make_waiting_line()
        self._shares = make_shares()
        self._shedding = make_shedding()
        self._in_flight = 0

    @property
    def limit(self) -> Limit:
        """Return the concurrency limit."""
        return self._limit

    @property
    def line(self) -> WaitingLine:
        """Return the queue."""
        return self._line

    @property
    def shares(self) -> Shares:
        """Return what the callers occupy."""
        return self._shares

    @property
    def shedding(self) -> Shedding:
        """Return how hard the target is pressed."""
        return self._shedding

    @property
    def in_flight(self) -> int:
        """Return the calls that hold a ticket."""
        return self._in_flight

    @property
    def queue_bound(self) -> int:
        """Return how many may wait now."""
        return min(max(int(self._limit.value * QUEUE_PER_LIMIT), QUEUE_MIN), QUEUE_MAX)

    def enter(self) -> None:
        """Count a call that begins."""
        self._in_flight += 1

    def leave(self) -> None:
        """Count a call that has ended."""
        self._in_flight -= 1


def make_gate(slots: int, adaptive: bool = True) -> Gate:
    """Return a gate for a target that announced so many slots.

    :param adaptive: whether the concurrency limit is searched for.
    """
    return Gate(slots, adaptive)
