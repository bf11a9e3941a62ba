"""Load shedding of a target: which classes are served, and when a refused caller may retry."""

from pollenbay.states import CallClass

SHEDDING_PERIOD_S = 0.5
#: A class is closed when a smaller ratio of its calls was served.
CLOSE_BELOW_RATIO = 0.1
CLOSE_MIN_ARRIVALS = 10
#: Consecutive periods with a free slot before a class is opened again.
OPEN_AFTER_PERIODS = 2
LEAST_IMPORTANT_RANK = len(CallClass) - 1
REFUSED_WEIGHT = 0.5
RETRY_AFTER_MIN_S = 0.25
#: Upper bound before the delay is spread.
RETRY_AFTER_MAX_S = 5.0
#: Factor by which the delay grows with each less important rank.
RETRY_AFTER_RANK_FACTOR = 2.0
#: Golden ratio conjugate: its multiples modulo 1 are evenly distributed.
JITTER_STEP = 0.6180339887498949


class Shedding:
    """Arrivals and grants of the current period, and the conclusions from past periods."""

    def __init__(self) -> None:
        self._arrivals = [0] * len(CallClass)
        self._granted = [0] * len(CallClass)
        self._had_free_slot = False
        self._free_slot_periods = 0
        self._period_ends_at = 0.0
        self._admitted_rank = LEAST_IMPORTANT_RANK
        self._refused_ratio = 0.0
        self._jitter = 0.0

    @property
    def admitted_rank(self) -> int:
        """Return the rank of the least important class that is served."""
        return self._admitted_rank

    @property
    def refused_ratio(self) -> float:
        """Return the smoothed ratio of refused calls, from 0 to 1."""
        return self._refused_ratio

    def record_arrival(self, rank: int, now: float) -> None:
        """Count an arrival."""
        if now >= self._period_ends_at:
            self.end_period(now)
        self._arrivals[rank] += 1

    def record_grant(self, rank: int) -> None:
        """Count a grant."""
        self._granted[rank] += 1

    def record_free_slot(self) -> None:
        """Record that a slot was free while the queue was empty."""
        self._had_free_slot = True

    def end_period(self, now: float) -> None:
        """Update the state and start the next period, if the current one is over."""
        if now < self._period_ends_at:
            return
        self._update_refused_ratio()
        self._update_admitted_rank()
        self._arrivals = [0] * len(CallClass)
        self._granted = [0] * len(CallClass)
        self._had_free_slot = False
        self._period_ends_at = now + SHEDDING_PERIOD_S

    def retry_after_s(self, rank: int) -> float:
        """Return a retry delay in seconds that grows with the ratio of refused calls.

        Delays are spread so that refused callers do not retry at the same time.
        """
        self._jitter = (self._jitter + JITTER_STEP) % 1.0
        served_ratio = max(1.0 - self._refused_ratio, 1e-3)
        wait_s = RETRY_AFTER_MIN_S * RETRY_AFTER_RANK_FACTOR**rank / served_ratio
        return min(wait_s, RETRY_AFTER_MAX_S) * (0.5 + self._jitter)

    def _update_refused_ratio(self) -> None:
        arrivals = sum(self._arrivals)
        ratio = max(1.0 - sum(self._granted) / arrivals, 0.0) if arrivals else 0.0
        self._refused_ratio += REFUSED_WEIGHT * (ratio - self._refused_ratio)

    def _update_admitted_rank(self) -> None:
        rank = self._admitted_rank
        arrivals = self._arrivals[rank]
        granted = self._granted[rank]
        if rank and arrivals >= CLOSE_MIN_ARRIVALS and granted < CLOSE_BELOW_RATIO * arrivals:
            self._admitted_rank -= 1
            self._free_slot_periods = 0
            return
        self._free_slot_periods = self._free_slot_periods + 1 if self._had_free_slot else 0
        if self._free_slot_periods >= OPEN_AFTER_PERIODS:
            self._admitted_rank = min(rank + 1, LEAST_IMPORTANT_RANK)
            self._free_slot_periods = 0


def make_shedding() -> Shedding:
    """Return the state of a target that serves every class."""
    return Shedding()
