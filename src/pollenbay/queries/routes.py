"""Lookup of the route of a request, and selection of its destination service."""

from pollenbay.ids import ServiceName
from pollenbay.rule import Route
from pollenbay.rulebook import Rulebook
from pollenbay.throttle import Throttle


def find_route(rulebook: Rulebook, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest matching path prefix, or None.

    :param host: without a port.
    :param path: without a query.
    """
    for route in rulebook.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def may_run_beside_others(rulebook: Rulebook, throttle: Throttle, host: str, path: str) -> bool:
    """Return whether a request may run beside the others of its connection.

    Those of callers may where it does no harm that one runs twice. Targets wait for the response to
    a call before they make the next one on its connection.

    :param host: without a port.
    :param path: without a query.
    """
    route = find_route(rulebook, host, path)
    if route is None or not route.idempotent:
        return False
    return throttle.entry_routes.get(route.name) is not False


def choose_destination(route: Route, point: float) -> ServiceName:
    """Return the destination service at a point of the cumulative weights.

    :param point: from 0 to less than 1, uniformly distributed over the requests of the route.
    """
    total = sum(destination.weight for destination in route.destinations)
    remainder = point * total
    for destination in route.destinations:
        remainder -= destination.weight
        if remainder < 0.0:
            return destination.service
    return route.destinations[-1].service
