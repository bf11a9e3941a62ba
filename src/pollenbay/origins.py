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
#: What was counted keeps this part of its weight each time that `fade` is called.
FADE_PART = 0.98


class Origins:
    """Requests that arrived at one target, by route and by the service beside which they began."""

    def __init__(self) -> None:
        self._seen: dict[CallName, dict[ServiceName, float]] = {}
        self._counts: dict[CallName, int] = {}
        self._recent: dict[CallName, float] = {}
        self._total = 0.0

    def note(self, route: CallName, origin: ServiceName, now: float) -> None:
        """Count a request."""
        self._seen.setdefault(route, {})[origin] = now
        self._counts[route] = self._counts.get(route, 0) + 1
        self._recent[route] = self._recent.get(route, 0.0) + 1.0
        self._total += 1.0

    def is_entry(self, route: CallName, services: int, now: float) -> bool | None:
        """Tell whether callers use a route; None before enough has been seen.

        :param services: how many services there are.
        """
        if self._counts.get(route, 0) < REQUESTS_MIN:
            return None
        seen = sum(1 for at in self._seen[route].values() if now - at < ORIGIN_VALID_S)
        return seen > ENTRY_PART * services

    def share(self, route: CallName) -> float:
        """Return the part of the recent requests that came by a route."""
        return self._recent.get(route, 0.0) / self._total if self._total else 0.0

    def fade(self) -> None:
        """Let what was counted lose weight; called at regular intervals."""
        self._total *= FADE_PART
        for route in self._recent:
            self._recent[route] *= FADE_PART

    def keep_only(self, routes: set[CallName]) -> None:
        """Forget routes that no rule names any more."""
        for route in [each for each in self._seen if each not in routes]:
            del self._seen[route]
            del self._counts[route]
            self._total -= self._recent.pop(route)


def make_origins() -> Origins:
    """Return a state in which nothing has been seen."""
    return Origins()
