"""How much of a target each caller occupies, so that one caller cannot hold the others out."""

from pollenbay.ids import CallerId
from pollenbay.states import CallClass


class Shares:
    """Calls running or queued, by class rank and caller.

    Only callers that have such a call are kept, so the size is bounded by limit and queue.
    """

    def __init__(self) -> None:
        self._calls: list[dict[CallerId, int]] = [{} for _ in CallClass]

    def add(self, rank: int, caller: CallerId) -> None:
        """Count a call."""
        calls = self._calls[rank]
        calls[caller] = calls.get(caller, 0) + 1

    def remove(self, rank: int, caller: CallerId) -> None:
        """Stop counting a call."""
        calls = self._calls[rank]
        left = calls[caller] - 1
        if left:
            calls[caller] = left
        else:
            del calls[caller]

    def callers(self, rank: int) -> int:
        """Return how many callers have calls of a class rank."""
        return len(self._calls[rank])

    def over_share(self, rank: int, caller: CallerId, limit: int) -> bool:
        """Tell whether a caller has its equal part of the limit, while others of its class call."""
        calls = self._calls[rank]
        own = calls.get(caller, 0)
        others = len(calls) - int(own > 0)
        if not own or not others:
            return False
        return own * (others + 1) >= limit

    def yields_to(self, rank: int, holder: CallerId, newcomer: CallerId, limit: int) -> bool:
        """Tell whether a caller has so much that a queued call of it yields to a newcomer's."""
        calls = self._calls[rank]
        callers = len(calls) + int(newcomer not in calls)
        own = calls.get(holder, 0)
        return holder != newcomer and own > 1 and own * callers >= limit


def make_shares() -> Shares:
    """Return an empty account of the callers."""
    return Shares()
