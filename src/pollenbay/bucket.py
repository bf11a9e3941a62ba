"""A bucket of units that come back at a steady rate and can be saved up to a bound."""


class Bucket:
    """Units saved up, full at first.

    :param per_s: units that each second brings.
    :param burst: most units that are saved up.
    """

    __slots__ = ("_burst", "_filled_at", "_left", "_per_s")

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._filled_at: float | None = None

    @property
    def left(self) -> float:
        """Return the units saved up."""
        return self._left

    def fill(self, now: float, extra: float = 0.0) -> None:
        """Add what the time since the last filling has brought.

        :param now: monotonic seconds.
        :param extra: units added besides.
        """
        if self._filled_at is not None:
            extra += (now - self._filled_at) * self._per_s
        self._filled_at = now
        self._left = min(self._left + extra, self._burst)

    def spend(self) -> bool:
        """Use up one unit, if there is one."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def make_bucket(per_s: float, burst: float) -> Bucket:
    """Return a full bucket."""
    return Bucket(per_s, burst)
