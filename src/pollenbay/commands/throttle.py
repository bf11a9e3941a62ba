"""Records which routes callers use and which fail while a downstream service lacks capacity."""

from pollenbay.ids import CallName
from pollenbay.throttle import Exposure, Throttle

#: A route fails too often when its decayed count of failures reaches this number and this ratio of
#: its requests.
FAILED_MIN = 3.0
FAILED_RATIO = 0.15
#: Ratio by which the counts of a route decay with each further request.
COUNT_DECAY = 0.03


def record_entry(
    throttle: Throttle, route: CallName, is_entry: bool | None, share: float = 1.0
) -> None:
    """Record whether callers use a route, as reported by the node of one of its targets.

    :param is_entry: None if that node cannot decide yet; the previous value stays.
    :param share: ratio of the calls at a target that came by this route.
    """
    throttle.route_shares[route] = share
    if is_entry is not None:
        throttle.entry_routes[route] = is_entry


def record_end(throttle: Throttle, route: CallName, failed: bool, now: float) -> None:
    """Record the end of a request that was admitted while a downstream service lacked capacity."""
    exposure = throttle.exposures.setdefault(route, Exposure())
    exposure.ended += 1.0 - exposure.ended * COUNT_DECAY
    exposure.failed += float(failed) - exposure.failed * COUNT_DECAY
    if exposure.failed >= FAILED_MIN and exposure.failed >= FAILED_RATIO * exposure.ended:
        exposure.exposed_at = now


def drop_removed_routes(throttle: Throttle, routes: set[CallName]) -> None:
    """Drop the records of routes that are no longer in the rules."""
    for records in (throttle.exposures, throttle.entry_routes, throttle.route_shares):
        for route in [each for each in records if each not in routes]:
            del records[route]
