"""Whether a caller's request is admitted, and when a rejected one may be retried."""

from pollenbay.ids import CallName
from pollenbay.states import CallClass
from pollenbay.throttle import Throttle

#: Ratio of each class that is admitted however low the level is, by rank.
MIN_ADMISSION_RATIOS = (0.5, 0.5, 0.1)
#: Throttling a route that is a small share of the calls frees little capacity: at most this
#: multiple of its share is rejected to relieve its own service.
SHARE_WEIGHT = 4.0
#: Seconds for which a route counts as exposed after its failures were last too many.
EXPOSURE_VALID_S = 30.0
#: Lower bound and spread of the retry-after time, as ratios of the time within which a response
#: has full value.
RETRY_AFTER_MIN_RATIO = 0.25
RETRY_AFTER_SPREAD_RATIO = 0.25


def admission_ratio(
    throttle: Throttle,
    route: CallName,
    call_class: CallClass,
    level: float,
    downstream_level: float,
    now: float,
) -> float:
    """Return the ratio of the requests of a route that is admitted, from 0 to 1.

    Nested calls of admitted requests are never throttled here.

    :param level: admission level of the service that serves the route.
    :param downstream_level: lowest level of the services that its targets call, directly or
        indirectly.
    """
    if not throttle.entry_routes.get(route, False):
        return 1.0
    minimum = MIN_ADMISSION_RATIOS[call_class.rank]
    ratio = max(level - call_class.rank, minimum, 1.0 - SHARE_WEIGHT * throttle.route_shares[route])
    if _is_exposed(throttle, route, now):
        ratio = min(ratio, max(downstream_level - call_class.rank, minimum))
    return min(ratio, 1.0)


def retry_after_s(objective_s: float, point: float) -> float:
    """Return the seconds after which a rejected request may be retried.

    Retries are spread, and early enough that a response can still have its full value.

    :param point: from 0 to 1, uniformly distributed over the requests.
    """
    return objective_s * (RETRY_AFTER_MIN_RATIO + RETRY_AFTER_SPREAD_RATIO * point)


def _is_exposed(throttle: Throttle, route: CallName, now: float) -> bool:
    exposure = throttle.exposures.get(route)
    if exposure is None or exposure.exposed_at is None:
        return False
    return now - exposure.exposed_at < EXPOSURE_VALID_S
