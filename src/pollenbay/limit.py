"""An adaptive concurrency limit, found by trying a little less and a little more.

While the limit is in use, latency is measured in windows. Now and then one window runs with
another limit. Where less concurrency lowers the latency in proportion, calls only waited inside
the target, so the lower limit stays; where more concurrency leaves the latency alone, the target
has room and the higher limit stays. Only neighbouring windows are compared, so a target that
becomes slower or faster for reasons of its own does not mislead it for long.
"""

from enum import Enum
from math import log

from pollenbay.states import CallClass

MIN_LIMIT = 1.0
#: The limit never grows past this multiple of the announced slots.
CEILING_PER_SLOT = 4.0
COLD_START_PART = 0.5
#: A target with no more slots than this begins with all of them.
COLD_START_SLOTS_MIN = 4
LESS_FACTOR = 0.8
MORE_FACTOR = 1.2
#: Below the announced slots the limit is raised in larger steps.
REGAIN_FACTOR = 2.0
HALF_FACTOR = 0.5
#: Relative change of latency by relative change of the limit: 0 with room, 1 when calls queue.
KNEE_ELASTICITY = 0.5
#: A stronger effect than this is not one of the limit: the target itself has changed.
PLAUSIBLE_ELASTICITY = 2.5
#: A latency of so many times the reference is a surge and halves the limit for a trial.
SURGE_RATIO = 1.6
#: A latency below this part of the reference shows that the target itself has become faster.
FASTER_RATIO = 0.6
#: A trial begins only after a window whose latency came this near to the reference.
STEADY_RATIOS = (0.75, 1.33)
WINDOW_MIN_S = 0.2
WINDOW_MAX_S = 5.0
WINDOW_LATENCIES = 2.0
WINDOW_SAMPLES = 200
WINDOW_MIN_SAMPLES = 20
#: Samples after which a surge is looked for, and samples of each step of its trial.
SURGE_SAMPLES = 32
#: Part of the limit that has to be in use for a window to say anything about it.
SATURATED_PART = 0.8
#: More concurrency is not kept if more than this part of the calls failed.
FAILURES_PART = 0.05
FAILURES_MIN = 10
PAUSE_MIN_S = 1.0
PAUSE_MAX_S = 16.0
REFERENCE_WEIGHT = 0.5
LATENCY_WEIGHT = 0.1


class Phase(Enum):
    """What the current window is for."""

    HOLD = "hold"
    SURGE = "surge"
    LESS = "less"
    MORE = "more"


class Window:
    """Samples of the calls that began after a time.

    :param started_at: monotonic seconds.
    :param wanted: samples that suffice.
    """

    __slots__ = ("started_at", "sums_s", "counts", "samples", "failures", "peak", "wanted")

    def __init__(self, started_at: float, wanted: int) -> None:
        self.started_at = started_at
        self.wanted = wanted
        self.sums_s = [0.0] * len(CallClass)
        self.counts = [0] * len(CallClass)
        self.samples = 0
        self.failures = 0
        self.peak = 0


class Limit:
    """How many calls a target may run at once.

    :param slots: what the target announced.
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(slots, 1)
        self._value = float(self._slots)
        self._held = self._value
        self._phase = Phase.HOLD
        self._next_phase = Phase.LESS
        self._next_trial_at = 0.0
        self._pause_s = PAUSE_MIN_S
        self._references_s = [0.0] * len(CallClass)
        self._means_s = [0.0] * len(CallClass)
        self._sampled_at = [0.0] * len(CallClass)
        self._window = Window(0.0, WINDOW_SAMPLES)
        self._window_s = WINDOW_MIN_S
        self._cold = False

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
        factor = slots / self._slots
        self._slots = slots
        self._held = self._bounded(self._held * factor)
        self._value = self._bounded(self._value * factor)

    def start_cold(self, now: float) -> None:
        """Forget what was measured and begin with a part of the slots."""
        least = min(self._slots, COLD_START_SLOTS_MIN)
        self._held = self._value = max(self._slots * COLD_START_PART, least)
        self._references_s = [0.0] * len(CallClass)
        self._means_s = [0.0] * len(CallClass)
        self._next_phase = Phase.MORE
        self._next_trial_at = now
        self._pause_s = PAUSE_MIN_S
        self._cold = True
        self._open_window(Phase.HOLD, now)

    def observe(
        self,
        rank: int,
        latency_s: float,
        ok: bool,
        admitted_at: float,
        in_flight: int,
        now: float,
        own_s: float | None = None,
    ) -> None:
        """Take in the end of one call.

        :param in_flight: calls that were running, with this one.
        :param own_s: seconds that the target did not spend waiting for calls of its own.
        """
        window = self._window
        if in_flight > window.peak:
            window.peak = in_flight
        if not ok and latency_s <= self._means_s[rank]:
            self._count_failure(admitted_at, now)
            return
        self._smooth(rank, latency_s, now)
        if admitted_at < window.started_at:
            return
        window.sums_s[rank] += latency_s if own_s is None else own_s
        window.counts[rank] += 1
        window.samples += 1
        if self._is_complete(now) or self._is_surge():
            self._end_window(now)

    def touch(self, rank: int, now: float) -> None:
        """Count a call let through to measure as the latest sample."""
        self._sampled_at[rank] = now

    def _bounded(self, value: float) -> float:
        return min(max(value, MIN_LIMIT), self.ceiling)

    def _count_failure(self, admitted_at: float, now: float) -> None:
        window = self._window
        if admitted_at < window.started_at:
            return
        window.failures += 1
        if self._phase is Phase.MORE and self._has_failed():
            self._undo_trial(now)

    def _has_failed(self) -> bool:
        window = self._window
        return window.failures > max(FAILURES_PART * window.samples, FAILURES_MIN)

    def _smooth(self, rank: int, latency_s: float, now: float) -> None:
        mean_s = self._means_s[rank]
        weight = LATENCY_WEIGHT if mean_s else 1.0
        self._means_s[rank] = mean_s + weight * (latency_s - mean_s)
        self._sampled_at[rank] = now

    def _is_complete(self, now: float) -> bool:
        window = self._window
        length_s = now - window.started_at
        if length_s < self._window_s or window.samples < WINDOW_MIN_SAMPLES:
            return False
        return window.samples >= window.wanted or length_s >= WINDOW_MAX_S

    def _is_surge(self) -> bool:
        if self._phase is not Phase.HOLD or self._window.samples % SURGE_SAMPLES:
            return False
        return self._is_saturated() and self._ratio() > SURGE_RATIO

    def _is_saturated(self) -> bool:
        return self._window.peak >= SATURATED_PART * self._value

    def _ratio(self) -> float:
        """Return latency by its reference, over the classes as they came; 1 if not known."""
        sums_s = expected_s = 0.0
        window = self._window
        for rank, reference_s in enumerate(self._references_s):
            if reference_s:
                sums_s += window.sums_s[rank]
                expected_s += window.counts[rank] * reference_s
        return sums_s / expected_s if expected_s else 1.0

    def _end_window(self, now: float) -> None:
        window = self._window
        mean_s = sum(window.sums_s) / window.samples
        self._window_s = min(max(WINDOW_LATENCIES * mean_s, WINDOW_MIN_S), WINDOW_MAX_S)
        ratio = self._ratio()
        if not self._is_saturated():
            self._keep(self._held)
            self._warm_up()
            self._learn_references(REFERENCE_WEIGHT)
            self._open_window(Phase.HOLD, now)
        elif self._phase is Phase.HOLD and ratio > SURGE_RATIO:
            self._open_window(Phase.SURGE, now)
        elif self._phase is Phase.SURGE and ratio > SURGE_RATIO:
            self._learn_references(1.0)
            self._try(Phase.LESS, HALF_FACTOR, mean_s, now)
        elif self._phase in (Phase.HOLD, Phase.SURGE):
            self._end_hold(ratio, mean_s, now)
        else:
            self._end_trial(ratio, now)

    def _warm_up(self) -> None:
        """Give a target that began cold its slots, as no measurement speaks against them."""
        if self._cold and self._value < self._slots and not self._has_failed():
            self._keep(min(self._value * REGAIN_FACTOR, float(self._slots)))

    def _end_hold(self, ratio: float, mean_s: float, now: float) -> None:
        self._learn_references(1.0 if ratio < FASTER_RATIO else REFERENCE_WEIGHT)
        steady = STEADY_RATIOS[0] <= ratio <= STEADY_RATIOS[1]
        if now < self._next_trial_at or not steady:
            self._open_window(Phase.HOLD, now)
        elif self._next_phase is Phase.LESS:
            self._try(Phase.LESS, LESS_FACTOR, mean_s, now)
        else:
            self._try(Phase.MORE, self._more_factor(), mean_s, now)

    def _more_factor(self) -> float:
        return min(max(self._slots / self._value, MORE_FACTOR), REGAIN_FACTOR)

    def _try(self, phase: Phase, factor: float, mean_s: float, now: float) -> None:
        self._held = self._value
        step = max(abs(self._value * (factor - 1.0)), 1.0)
        self._value = self._bounded(self._value + (step if factor > 1.0 else -step))
        wanted = SURGE_SAMPLES if factor == HALF_FACTOR else WINDOW_SAMPLES
        self._open_window(phase, now + mean_s, wanted)

    def _end_trial(self, ratio: float, now: float) -> None:
        change = self._value / self._held
        elasticity = log(ratio) / log(change) if change != 1.0 else KNEE_ELASTICITY
        phase = self._phase
        if self._is_kept(phase, elasticity):
            self._keep(self._value)
            self._cold = self._cold and phase is Phase.MORE
            self._learn_references(1.0)
            self._next_phase = phase
            self._pause_s = PAUSE_MIN_S
            self._next_trial_at = now
            self._open_window(Phase.HOLD, now)
        else:
            self._undo_trial(now)

    def _undo_trial(self, now: float) -> None:
        self._keep(self._held)
        self._next_phase = Phase.MORE if self._phase is Phase.LESS else Phase.LESS
        self._next_trial_at = now + self._pause_s
        self._pause_s = min(self._pause_s * 2.0, PAUSE_MAX_S)
        self._open_window(Phase.HOLD, now)

    def _is_kept(self, phase: Phase, elasticity: float) -> bool:
        if abs(elasticity) > PLAUSIBLE_ELASTICITY:
            return False
        if phase is Phase.LESS:
            return elasticity > KNEE_ELASTICITY
        return elasticity < KNEE_ELASTICITY

    def _keep(self, value: float) -> None:
        self._held = self._value = value

    def _learn_references(self, weight: float) -> None:
        window = self._window
        for rank, count in enumerate(window.counts):
            if not count:
                continue
            mean_s = window.sums_s[rank] / count
            old_s = self._references_s[rank]
            self._references_s[rank] = old_s + weight * (mean_s - old_s) if old_s else mean_s

    def _open_window(self, phase: Phase, started_at: float, wanted: int = WINDOW_SAMPLES) -> None:
        self._phase = phase
        if phase is Phase.SURGE:
            wanted = SURGE_SAMPLES
        self._window = Window(started_at, wanted)


def make_limit(slots: int) -> Limit:
    """Return a limit that starts at the announced slots."""
    return Limit(slots)
