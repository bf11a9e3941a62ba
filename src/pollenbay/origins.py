"""Origins of the requests of each route, which distinguish entry routes from internal ones.

Requests of callers enter at nodes of every service. Requests that targets make for their own calls
enter only at nodes of the services that make such calls.
"""

from pollenbay.ids import CallName, ServiceName

#: Minimum number of requests of a route before it is classified.
REQUESTS_MIN = 8
#: A route is an entry route if its requests come from more than this ratio of the services.
ENTRY_ORIGIN_RATIO = 0.5
#: Seconds for which an origin counts after its last request.
ORIGIN_VALID_S = 30.0
#: Ratio of its weight that a recorded request keeps at each call of `decay`.
DECAY_RATIO = 0.98


class Origins:
    """Requests received by one target, by route and by the service at whose node they entered."""

    def __init__(self) -> None:
        self._last_seen_at: dict[CallName, dict[ServiceName, float]] = {}
        self._counts: dict[CallName, int] = {}
        self._weights: dict[CallName, float] = {}
        self._total_weight = 0.0

    def record(self, route: CallName, origin: ServiceName, now: float) -> None:
        """Record a request."""
        self._last_seen_at.setdefault(route, {})[origin] = now
        self._counts[route] = self._counts.get(route, 0) + 1
        self._weights[route] = self._weights.get(route, 0.0) + 1.0
        self._total_weight += 1.0

    def is_entry(self, route: CallName, services: int, now: float) -> bool | None:
        """Return whether callers use a route; None until enough requests have been recorded.

        :param services: number of services.
        """
        if self._counts.get(route, 0) < REQUESTS_MIN:
            return None
        recent_origins = sum(
            1 for at in self._last_seen_at[route].values() if now - at < ORIGIN_VALID_S
        )
        return recent_origins > ENTRY_ORIGIN_RATIO * services

    def share(self, route: CallName) -> float:
        """Return the ratio of the recent requests that belong to a route."""
        return self._weights.get(route, 0.0) / self._total_weight if self._total_weight else 0.0

    def decay(self) -> None:
        """Decay the weights of recorded requests; called at regular intervals."""
        self._total_weight *= DECAY_RATIO
        for route in self._weights:
            self._weights[route] *= DECAY_RATIO

    def retain_routes(self, routes: set[CallName]) -> None:
        """Drop the routes that no rule names."""
        for route in [each for each in self._last_seen_at if each not in routes]:
            del self._last_seen_at[route]
            del self._counts[route]
            self._total_weight -= self._weights.pop(route)


def make_origins() -> Origins:
    """Return a state without recorded requests."""
    return Origins()
