"""What a node must know of routes to hold back callers' requests that could not finish.

Answers the load pattern in which a service several calls below the entry has too little room: each
request makes many calls there, so refusing a few of these at random spoils nearly all requests
after most of their work is done. Requests are turned away before anything runs instead, the least
important first.
"""

from dataclasses import dataclass

from pollenbay.ids import CallName


@dataclass(slots=True)
class Exposure:
    """Whether requests of a route fail while a service below has too little room.

    :param ended: smoothed count of requests that ended at such times.
    :param failed: smoothed count of those that failed.
    :param exposed_at: monotonic seconds at which the failures were last too many.
    """

    ended: float = 0.0
    failed: float = 0.0
    exposed_at: float | None = None


class Throttle:
    """What is known of the routes."""

    def __init__(self) -> None:
        self._exposures: dict[CallName, Exposure] = {}
        self._entries: dict[CallName, bool] = {}
        self._shares: dict[CallName, float] = {}

    @property
    def exposures(self) -> dict[CallName, Exposure]:
        """Return the exposure of each route that was seen at such times."""
        return self._exposures

    @property
    def entries(self) -> dict[CallName, bool]:
        """Return whether callers use a route, as far as that was told."""
        return self._entries

    @property
    def shares(self) -> dict[CallName, float]:
        """Return the part of the calls at its targets that came by each route."""
        return self._shares


def make_throttle() -> Throttle:
    """Return a state in which nothing is known of any route."""
    return Throttle()
