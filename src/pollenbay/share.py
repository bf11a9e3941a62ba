"""Occupancy of a target by caller, so that one caller cannot starve the others."""

from pollenbay.ids import CallerId
from pollenbay.states import CallClass


class Shares:
    """Calls running or queued, by class rank and caller.

    Only callers with such a call are kept, so the size is bounded by limit and queue.
    """

    def __init__(self) -> None:
        self._calls: list[dict[CallerId, int]] = [{} for _ in CallClass]

    def add(self, rank: int, caller: CallerId) -> None:
        """Count a call."""
        calls = self._calls[rank]
        calls[caller] = calls.get(caller, 0) + 1

    def remove(self, rank: int, caller: CallerId) -> None:
        """Remove a call from the count."""
        calls = self._calls[rank]
        remaining = calls[caller] - 1
        if remaining:
            calls[caller] = remaining
        else:
            del calls[caller]

    def caller_count(self, rank: int) -> int:
        """Return the number of callers with calls of a class rank."""
        return len(self._calls[rank])

    def is_over_share(self, rank: int, caller: CallerId, limit: int) -> bool:
        """Return whether a caller has reached its equal share of the limit.

        Always False while no other caller has calls of the class rank.
        """
        calls = self._calls[rank]
        own = calls.get(caller, 0)
        others = len(calls) - int(own > 0)
        if not own or not others:
            return False
        return own * (others + 1) >= limit

    def yields_to(self, rank: int, holder: CallerId, newcomer: CallerId, limit: int) -> bool:
        """Return whether a queued call of `holder` is to be evicted for one of `newcomer`.

        This requires that `holder` has more than one call and at least its equal share.

        :param limit: concurrency limit of the target.
        """
        calls = self._calls[rank]
        callers = len(calls) + int(newcomer not in calls)
        own = calls.get(holder, 0)
        return holder != newcomer and own > 1 and own * callers >= limit


def make_shares() -> Shares:
    """Return a state without calls."""
    return Shares()
