"""An adaptive concurrency limit: latency measured against its floor, by windows.

Source of the idea: gradient limits and TCP Vegas. What differs: a limit that was halved without
the latency falling shows that concurrency is not the cause, so the floor is raised instead.
"""

from pollenbay.states import CallClass

MIN_LIMIT = 1.0
#: The limit never grows past this multiple of the announced slots.
CEILING_PER_SLOT = 2.0
COLD_START_PART = 0.25
WINDOW_MIN_S = 0.1
WINDOW_MAX_S = 5.0
WINDOW_LATENCIES = 2.0
WINDOW_SAMPLES = 20
#: Ratios of latency to its floor.
GROW_BELOW_RATIO = 1.2
CUT_ABOVE_RATIO = 1.5
CUT_FACTOR_MIN = 0.5
#: A cut that leaves more than this part of the ratio did not help.
UNHELPFUL_CUT_PART = 0.75
GROWTH_PER_SLOT = 0.1
#: Part of the limit that has to be in use for a window to say anything about it.
SATURATED_PART = 0.8
FLOOR_FALL_WEIGHT = 0.25
FLOOR_RISE_WEIGHT = 0.05
LATENCY_WEIGHT = 0.1


class Trial:
    """A cut under way: what the limit and the ratio were before it.

    :param limit: limit before the cut.
    :param ratio: latency by its floor before the cut.
    """

    __slots__ = ("limit", "ratio")

    def __init__(self, limit: float, ratio: float) -> None:
        self.limit = limit
        self.ratio = ratio


class Window:
    """Samples of calls that began in one period."""

    __slots__ = ("started_at", "sums_s", "counts", "failures", "peak")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.sums_s = [0.0] * len(CallClass)
        self.counts = [0] * len(CallClass)
        self.failures = 0
        self.peak = 0


class Limit:
    """How many calls a target may run at once.

    :param slots: what the target announced.
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(slots, 1)
        self._value = float(self._slots)
        self._floors_s = [0.0] * len(CallClass)
        self._means_s = [0.0] * len(CallClass)
        self._sampled_at = [0.0] * len(CallClass)
        self._trial: Trial | None = None
        self._window = Window(0.0)
        self._window_s = WINDOW_MIN_S

    @property
    def slots(self) -> int:
        """Return the announced slots."""
        return self._slots

    @property
    def value(self) -> int:
        """Return the limit in whole calls, at least 1."""
        return int(self._value)

    @property
    def ceiling(self) -> float:
        """Return what the limit never exceeds."""
        return max(self._slots * CEILING_PER_SLOT, MIN_LIMIT)

    @property
    def floors_s(self) -> list[float]:
        """Return the latency floor of each class rank in seconds; 0 if not known."""
        return self._floors_s

    @property
    def means_s(self) -> list[float]:
        """Return the smoothed latency of each class rank in seconds; 0 if not known."""
        return self._means_s

    @property
    def sampled_at(self) -> list[float]:
        """Return when the latency of each class rank was last measured."""
        return self._sampled_at

    def set_slots(self, slots: int) -> None:
        """Scale the limit to other announced slots."""
        slots = max(slots, 1)
        self._value = max(self._value * slots / self._slots, MIN_LIMIT)
        self._slots = slots
        self._trial = None

    def start_cold(self, now: float) -> None:
        """Forget what was measured and begin with a part of the slots."""
        self._value = max(self._slots * COLD_START_PART, MIN_LIMIT)
        self._floors_s = [0.0] * len(CallClass)
        self._means_s = [0.0] * len(CallClass)
        self._trial = None
        self._open_window(now)

    def observe(
        self, rank: int, latency_s: float, ok: bool, admitted_at: float, in_flight: int, now: float
    ) -> None:
        """Take in the end of one call.

        :param in_flight: calls that were running, with this one.
        """
        window = self._window
        if in_flight > window.peak:
            window.peak = in_flight
        if not ok and latency_s <= self._floors_s[rank]:
            window.failures += 1
            return
        self._smooth(rank, latency_s, now)
        if admitted_at >= window.started_at:
            window.sums_s[rank] += latency_s
            window.counts[rank] += 1
        if now - window.started_at >= self._window_s:
            self._end_window(now)

    def touch(self, rank: int, now: float) -> None:
        """Count a call let through to measure as the latest sample."""
        self._sampled_at[rank] = now

    def _smooth(self, rank: int, latency_s: float, now: float) -> None:
        mean_s = self._means_s[rank]
        weight = LATENCY_WEIGHT if mean_s else 1.0
        self._means_s[rank] = mean_s + weight * (latency_s - mean_s)
        self._sampled_at[rank] = now

    def _end_window(self, now: float) -> None:
        window = self._window
        samples = sum(window.counts)
        if samples < WINDOW_SAMPLES and now - window.started_at < WINDOW_MAX_S:
            return
        if samples:
            self._learn_floors()
            self._adapt(self._ratio())
            self._set_window_length(sum(window.sums_s) / samples)
        self._open_window(now)

    def _open_window(self, now: float) -> None:
        self._window = Window(now)

    def _set_window_length(self, mean_s: float) -> None:
        self._window_s = min(max(WINDOW_LATENCIES * mean_s, WINDOW_MIN_S), WINDOW_MAX_S)

    def _learn_floors(self) -> None:
        window = self._window
        for rank, count in enumerate(window.counts):
            if count and not self._floors_s[rank]:
                self._floors_s[rank] = window.sums_s[rank] / count

    def _ratio(self) -> float:
        window = self._window
        floor_s = sum(n * f for n, f in zip(window.counts, self._floors_s, strict=True))
        return sum(window.sums_s) / max(floor_s, 1e-9)

    def _adapt(self, ratio: float) -> None:
        saturated = self._window.peak >= SATURATED_PART * self._value
        if ratio > CUT_ABOVE_RATIO and saturated:
            self._cut(ratio)
            return
        self._trial = None
        if ratio < GROW_BELOW_RATIO and saturated:
            self._grow()
        self._move_floors(FLOOR_RISE_WEIGHT)

    def _cut(self, ratio: float) -> None:
        trial = self._trial
        if trial is None:
            self._trial = trial = Trial(self._value, ratio)
        elif self._value <= max(trial.limit * CUT_FACTOR_MIN, MIN_LIMIT):
            if ratio >= UNHELPFUL_CUT_PART * trial.ratio:
                self._undo_cut(trial)
                return
            self._trial = Trial(self._value, ratio)
        factor = max(CUT_ABOVE_RATIO / ratio, CUT_FACTOR_MIN)
        self._value = max(self._value * factor, MIN_LIMIT)

    def _undo_cut(self, trial: Trial) -> None:
        self._value = min(trial.limit, self.ceiling)
        self._trial = None
        self._move_floors(1.0)

    def _grow(self) -> None:
        if self._window.failures > sum(self._window.counts):
            return
        step = max(self._slots * GROWTH_PER_SLOT, 1.0) if self._value < self._slots else 1.0
        self._value = min(self._value + step, self.ceiling)

    def _move_floors(self, rise_weight: float) -> None:
        window = self._window
        for rank, count in enumerate(window.counts):
            if count:
                difference_s = window.sums_s[rank] / count - self._floors_s[rank]
                weight = FLOOR_FALL_WEIGHT if difference_s < 0 else rise_weight
                self._floors_s[rank] += weight * difference_s


def make_limit(slots: int) -> Limit:
    """Return a limit that starts at the announced slots."""
    return Limit(slots)
