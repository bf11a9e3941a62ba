"""Token bucket: tokens accrue at a steady rate up to a bound."""


class TokenBucket:
    """Token bucket, full at first.

    :param tokens_per_s: tokens added per second.
    :param burst: maximum number of tokens.
    """

    __slots__ = ("_burst", "_filled_at", "_tokens", "_tokens_per_s")

    def __init__(self, tokens_per_s: float, burst: float) -> None:
        self._tokens_per_s = tokens_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at: float | None = None

    @property
    def tokens(self) -> float:
        """Return the available tokens."""
        return self._tokens

    def refill(self, now: float, extra_tokens: float = 0.0) -> None:
        """Add the tokens accrued since the previous call.

        :param now: monotonic seconds.
        :param extra_tokens: tokens added on top.
        """
        if self._filled_at is not None:
            extra_tokens += (now - self._filled_at) * self._tokens_per_s
        self._filled_at = now
        self._tokens = min(self._tokens + extra_tokens, self._burst)

    def spend(self) -> bool:
        """Spend one token and return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def make_token_bucket(tokens_per_s: float, burst: float) -> TokenBucket:
    """Return a full bucket."""
    return TokenBucket(tokens_per_s, burst)
