"""Whether a request of a caller is let in, and when one that was not may come back."""

from pollenbay.ids import CallName
from pollenbay.states import CallClass
from pollenbay.throttle import Throttle

#: Part of each class that is let in however low the level is, by rank.
LEAST_PARTS = (0.5, 0.5, 0.1)
#: Holding back a route that is a small share of the calls frees little room: this many times its
#: share is the most that is held back for the room of its own service.
SHARE_WEIGHT = 4.0
#: A route counts as exposed for so long after its failures were last too many.
EXPOSED_S = 30.0
#: Bounds of the time to come back, as parts of the time within which an answer has full value.
RETURN_MIN_PART = 0.25
RETURN_SPREAD_PART = 0.25


def admitted_part(
    throttle: Throttle,
    route: CallName,
    call_class: CallClass,
    level: float,
    level_below: float,
    now: float,
) -> float:
    """Return the part of the requests of a route that is let in, from 0 to 1.

    What a target calls for requests that were let in is never held back here.

    :param level: level of the service that serves the route.
    :param level_below: lowest level of the services that its targets call, directly or not.
    """
    if not throttle.entries.get(route, False):
        return 1.0
    least = LEAST_PARTS[call_class.rank]
    part = max(level - call_class.rank, least, 1.0 - SHARE_WEIGHT * throttle.shares[route])
    if _is_exposed(throttle, route, now):
        part = min(part, max(level_below - call_class.rank, least))
    return min(part, 1.0)


def retry_after_s(objective_s: float, point: float) -> float:
    """Return seconds after which a request that was turned away may come back.

    Returns are spread, and early enough that an answer can still have its full value.

    :param point: from 0 to 1, spread evenly over the requests.
    """
    return objective_s * (RETURN_MIN_PART + RETURN_SPREAD_PART * point)


def _is_exposed(throttle: Throttle, route: CallName, now: float) -> bool:
    exposure = throttle.exposures.get(route)
    if exposure is None or exposure.exposed_at is None:
        return False
    return now - exposure.exposed_at < EXPOSED_S
