"""Token bucket for rate limits."""

from math import inf


class TokenBucket:
    """Token bucket that holds at most the tokens of one second.

    A cost above the remaining tokens is admitted once; the balance goes negative and is refilled
    before the next cost is admitted.

    :param rate_per_s: tokens per second; None for no limit.
    """

    def __init__(self, rate_per_s: float | None) -> None:
        self._rate_per_s = inf if rate_per_s is None else rate_per_s
        self._tokens = self._rate_per_s
        self._refilled_at = 0.0

    def take(self, cost: float, now: float) -> bool:
        """Spend tokens and return whether any were available.

        :param now: monotonic seconds.
        """
        if self._rate_per_s == inf:
            return True
        self._refill(now)
        if self._tokens <= 0.0:
            return False
        self._tokens -= cost
        return True

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(self._tokens + gained, self._rate_per_s)
        self._refilled_at = now


def make_token_bucket(rate_per_s: float | None) -> TokenBucket:
    """Return a full bucket; `rate_per_s` None means no limit."""
    return TokenBucket(rate_per_s)
