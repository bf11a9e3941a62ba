"""A token bucket that caps a rate."""

from math import inf


class Bucket:
    """Tokens that come back at a steady rate, at most one second's worth.

    A cost larger than what is left is let through once and paid back afterwards.

    :param rate_per_s: tokens a second; None for no cap.
    """

    def __init__(self, rate_per_s: float | None) -> None:
        self._rate_per_s = inf if rate_per_s is None else rate_per_s
        self._tokens = self._rate_per_s
        self._filled_at = 0.0

    def take(self, cost: float, now: float) -> bool:
        """Take tokens and tell whether there were any.

        :param now: monotonic seconds.
        """
        if self._rate_per_s == inf:
            return True
        self._fill(now)
        if self._tokens <= 0.0:
            return False
        self._tokens -= cost
        return True

    def _fill(self, now: float) -> None:
        gained = (now - self._filled_at) * self._rate_per_s
        self._tokens = min(self._tokens + gained, self._rate_per_s)
        self._filled_at = now


def make_bucket(rate_per_s: float | None) -> Bucket:
    """Return a full bucket."""
    return Bucket(rate_per_s)
