"""How hard a target is pressed: which classes are served, and when a refused caller may return."""

from pollenbay.states import CallClass

PERIOD_S = 0.5
#: A class is closed when less than this part of its calls was served.
CLOSE_BELOW_PART = 0.1
CLOSE_MIN_ARRIVALS = 10
#: Periods with a free slot before a class is opened again.
OPEN_AFTER_PERIODS = 2
LEAST_RANK = len(CallClass) - 1
REFUSED_WEIGHT = 0.5
RETRY_AFTER_MIN_S = 0.25
#: Longest wait before it is spread.
RETRY_AFTER_MAX_S = 5.0
#: Each rank of lesser importance waits so many times longer.
RETRY_AFTER_RANK_FACTOR = 2.0
SPREAD_STEP = 0.6180339887498949


class Shedding:
    """Arrivals and grants of the current period, and what the past ones showed."""

    def __init__(self) -> None:
        self._arrivals = [0] * len(CallClass)
        self._granted = [0] * len(CallClass)
        self._spare = False
        self._spare_periods = 0
        self._period_ends_at = 0.0
        self._admitted_rank = LEAST_RANK
        self._refused_part = 0.0
        self._spread = 0.0

    @property
    def admitted_rank(self) -> int:
        """Return the least important class rank that is served now."""
        return self._admitted_rank

    @property
    def refused_part(self) -> float:
        """Return the smoothed part of the calls that was refused, from 0 to 1."""
        return self._refused_part

    def arrive(self, rank: int, now: float) -> None:
        """Count an arrival."""
        if now >= self._period_ends_at:
            self.end_period(now)
        self._arrivals[rank] += 1

    def grant(self, rank: int) -> None:
        """Count a grant."""
        self._granted[rank] += 1

    def note_spare(self) -> None:
        """Note that a slot was free and nobody waited."""
        self._spare = True

    def end_period(self, now: float) -> None:
        """Draw conclusions, if the period is over, and begin another."""
        if now < self._period_ends_at:
            return
        self._smooth_refused()
        self._choose_rank()
        self._arrivals = [0] * len(CallClass)
        self._granted = [0] * len(CallClass)
        self._spare = False
        self._period_ends_at = now + PERIOD_S

    def retry_after_s(self, rank: int) -> float:
        """Return seconds that grow with the refused part, spread so that callers do not meet."""
        self._spread = (self._spread + SPREAD_STEP) % 1.0
        served_part = max(1.0 - self._refused_part, 1e-3)
        wait_s = RETRY_AFTER_MIN_S * RETRY_AFTER_RANK_FACTOR**rank / served_part
        return min(wait_s, RETRY_AFTER_MAX_S) * (0.5 + self._spread)

    def _smooth_refused(self) -> None:
        arrivals = sum(self._arrivals)
        part = max(1.0 - sum(self._granted) / arrivals, 0.0) if arrivals else 0.0
        self._refused_part += REFUSED_WEIGHT * (part - self._refused_part)

    def _choose_rank(self) -> None:
        rank = self._admitted_rank
        arrivals = self._arrivals[rank]
        granted = self._granted[rank]
        if rank and arrivals >= CLOSE_MIN_ARRIVALS and granted < CLOSE_BELOW_PART * arrivals:
            self._admitted_rank -= 1
            self._spare_periods = 0
            return
        self._spare_periods = self._spare_periods + 1 if self._spare else 0
        if self._spare_periods >= OPEN_AFTER_PERIODS:
            self._admitted_rank = min(rank + 1, LEAST_RANK)
            self._spare_periods = 0


def make_shedding() -> Shedding:
    """Return the state of a target that serves every class."""
    return Shedding()
