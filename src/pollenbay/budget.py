"""The ratio of retries to first calls that a node allows for each class, whoever asks."""

from pollenbay.states import CallClass

#: Retries earned by each first call.
RETRIES_PER_FIRST_CALL = 0.1
#: Retries earned as time passes, so that rare calls can be retried.
RETRIES_PER_S = 0.2
BURST_RETRIES = 10.0


class Bucket:
    """Retries saved up by one class."""

    __slots__ = ("retries", "filled_at")

    def __init__(self) -> None:
        self.retries = BURST_RETRIES
        self.filled_at: float | None = None


class RetryBudget:
    """One bucket for each class."""

    def __init__(self) -> None:
        self._buckets = [Bucket() for _ in CallClass]

    def left(self, call_class: CallClass) -> float:
        """Return the retries saved up for a class."""
        return self._buckets[call_class.rank].retries

    def earn(self, call_class: CallClass, retries: float, now: float) -> None:
        """Add retries, and those that the time since the last use has brought."""
        bucket = self._buckets[call_class.rank]
        if bucket.filled_at is not None:
            retries += (now - bucket.filled_at) * RETRIES_PER_S
        bucket.filled_at = now
        bucket.retries = min(bucket.retries + retries, BURST_RETRIES)

    def spend(self, call_class: CallClass) -> bool:
        """Use up one retry of a class, if there is one."""
        bucket = self._buckets[call_class.rank]
        if bucket.retries < 1.0:
            return False
        bucket.retries -= 1.0
        return True


def make_retry_budget() -> RetryBudget:
    """Return a budget with its burst at hand."""
    return RetryBudget()
