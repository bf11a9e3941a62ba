"""Which route a request takes and which of its services is to serve it."""

from pollenbay.ids import ServiceName
from pollenbay.rule import Route
from pollenbay.rulebook import Rulebook


def find_route(rulebook: Rulebook, host: str, path: str) -> Route | None:
    """Return the route of a host whose prefix is the longest that begins the path, or None.

    :param host: without a port.
    :param path: without a query.
    """
    for route in rulebook.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_destination(route: Route, point: float) -> ServiceName:
    """Return the service on which a point falls when the weights are laid end to end.

    :param point: from 0 to less than 1, spread evenly over the requests of the route.
    """
    total = sum(destination.weight for destination in route.destinations)
    rest = point * total
    for destination in route.destinations:
        rest -= destination.weight
        if rest < 0.0:
            return destination.service
    return route.destinations[-1].service
