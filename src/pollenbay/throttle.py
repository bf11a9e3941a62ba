"""State of the entry throttle, which rejects callers' requests that could not complete.

It handles the load pattern in which a service several calls downstream of the entry lacks capacity.
Each request makes many calls there, so refusing a few calls at random fails nearly all requests
after most of their work is done. Requests are rejected before anything runs instead, the least
important first.
"""

from dataclasses import dataclass

from pollenbay.ids import CallName


@dataclass(slots=True)
class Exposure:
    """Whether requests of a route fail while a downstream service lacks capacity.

    :param ended: smoothed count of requests that ended during such times.
    :param failed: smoothed count of those that failed.
    :param exposed_at: monotonic seconds at which too many had last failed; None if never.
    """

    ended: float = 0.0
    failed: float = 0.0
    exposed_at: float | None = None


class Throttle:
    """Properties of the routes, recorded from their requests and from feedback."""

    def __init__(self) -> None:
        self._exposures: dict[CallName, Exposure] = {}
        self._entries: dict[CallName, bool] = {}
        self._shares: dict[CallName, float] = {}

    @property
    def exposures(self) -> dict[CallName, Exposure]:
        """Return the exposure of each route used while a downstream service lacked capacity."""
        return self._exposures

    @property
    def entry_routes(self) -> dict[CallName, bool]:
        """Return, for each classified route, whether callers use it."""
        return self._entries

    @property
    def route_shares(self) -> dict[CallName, float]:
        """Return, for each route, its ratio of the calls at its targets."""
        return self._shares


def make_throttle() -> Throttle:
    """Return a state without any routes."""
    return Throttle()
