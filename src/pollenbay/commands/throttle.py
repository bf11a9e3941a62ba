"""Learning which routes callers use and which fail while a service below has too little room."""

from pollenbay.ids import CallName
from pollenbay.throttle import Exposure, Throttle

#: Requests of a route fail too often when so many of them, and this part, have failed.
FAILED_MIN = 3.0
FAILED_PART = 0.15
#: What was counted loses this part of its weight with each further request.
COUNT_DECAY = 0.03


def note_entry(
    throttle: Throttle, route: CallName, is_entry: bool | None, share: float = 1.0
) -> None:
    """Take in whether callers use a route, as a node beside its targets tells.

    :param share: part of the calls at a target that came by this route.
    """
    throttle.shares[route] = share
    if is_entry is not None:
        throttle.entries[route] = is_entry


def note_end(throttle: Throttle, route: CallName, failed: bool, now: float) -> None:
    """Learn from the end of a request that was let in while a service below had no room."""
    exposure = throttle.exposures.setdefault(route, Exposure())
    exposure.ended += 1.0 - exposure.ended * COUNT_DECAY
    exposure.failed += float(failed) - exposure.failed * COUNT_DECAY
    if exposure.failed >= FAILED_MIN and exposure.failed >= FAILED_PART * exposure.ended:
        exposure.exposed_at = now


def forget_routes(throttle: Throttle, routes: set[CallName]) -> None:
    """Drop what is known of routes that no rule names any more."""
    for known in (throttle.exposures, throttle.entries, throttle.shares):
        for route in [each for each in known if each not in routes]:
            del known[route]
