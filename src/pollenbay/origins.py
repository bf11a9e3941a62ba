"""From beside which services requests of each route come, which tells entry routes from inner ones.

Callers' requests enter beside targets of every service; what targets call for their own requests
enters only beside the services that make such calls.
"""

from pollenbay.ids import CallName, ServiceName

#: Requests of a route after which something is said of it.
REQUESTS_MIN = 8
#: A route is an entry if its requests come from more than this part of the services.
ENTRY_PART = 0.5
#: Origins that were not seen for longer do not count.
ORIGIN_VALID_S = 30.0


class Origins:
    """Requests that arrived at one target, by route and by the service beside which they began."""

    def __init__(self) -> None:
        self._seen: dict[CallName, dict[ServiceName, float]] = {}
        self._counts: dict[CallName, int] = {}

    def note(self, route: CallName, origin: ServiceName, now: float) -> None:
        """Count a request."""
        self._seen.setdefault(route, {})[origin] = now
        self._counts[route] = self._counts.get(route, 0) + 1

    def is_entry(self, route: CallName, services: int, now: float) -> bool | None:
        """Tell whether callers use a route; None before enough has been seen.

        :param services: how many services there are.
        """
        if self._counts.get(route, 0) < REQUESTS_MIN:
            return None
        seen = sum(1 for at in self._seen[route].values() if now - at < ORIGIN_VALID_S)
        return seen > ENTRY_PART * services

    def keep_only(self, routes: set[CallName]) -> None:
        """Forget routes that no rule names any more."""
        for route in [each for each in self._seen if each not in routes]:
            del self._seen[route]
            del self._counts[route]


def make_origins() -> Origins:
    """Return a state in which nothing has been seen."""
    return Origins()
