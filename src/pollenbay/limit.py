"""An adaptive concurrency limit, found by trying a little less and a little more.

While the limit is in use, latency is measured in windows. Now and then one window runs with
another limit. Where less concurrency lowers the latency in proportion, calls only waited inside
the target, so the lower limit stays; where more concurrency leaves the latency alone, the target
has room and the higher limit stays. Only neighbouring windows are compared, so a target that
becomes slower or faster for reasons of its own does not mislead it for long.
"""

from math import log

from pollenbay.states import CallClass
from pollenbay.window import Phase, Window

MIN_LIMIT = 1.0
#: The limit never grows past this multiple of the announced slots.
CEILING_PER_SLOT = 4.0
COLD_START_PART = 0.5
#: A target with no more slots than this begins with all of them.
COLD_START_SLOTS_MIN = 4
#: By how much a trial changes the limit: after one that was kept, and else.
WIDE_STEP = 1.5
NARROW_STEP = 1.15
#: A target that began cold is raised to its announced slots in larger steps.
REGAIN_STEP = 2.0
HALF_FACTOR = 0.5
#: Relative change of latency by relative change of the limit: 0 with room, 1 when calls queue.
KNEE_ELASTICITY = 0.7
#: A stronger effect than this is not one of the limit: the target itself has changed.
PLAUSIBLE_ELASTICITY = 2.5
#: A latency of so many times the reference is a surge and halves the limit for a trial.
SURGE_RATIO = 1.4
#: A latency below this part of the reference shows that the target itself has become faster.
FASTER_RATIO = 0.7
WINDOW_MIN_S = 0.2
WINDOW_MAX_S = 5.0
WINDOW_LATENCIES = 2.0
WINDOW_SAMPLES = 200
NARROW_SAMPLES = 400
WINDOW_MIN_SAMPLES = 20
#: Samples after which a surge is looked for, and samples of each step of its trial.
SURGE_SAMPLES = 32
#: Part of the limit that has to be in use for a window to say anything about it.
SATURATED_PART = 0.8
#: More concurrency is not kept if more than this part of the calls failed.
FAILURES_PART = 0.05
FAILURES_MIN = 10
TINY_S = 1e-9
#: Part of the announced slots that is used where the limit is not searched for: targets slow down
#: when all of them are taken.
USABLE_PART = 0.95
PAUSE_MIN_S = 1.0
PAUSE_DOUBLINGS = 3
REFERENCE_WEIGHT = 0.3
LATENCY_WEIGHT = 0.1


class Limit:
    """How many calls a target may run at once.

    :param slots: what the target announced.
    :param adaptive: whether the limit is searched for; else it is `USABLE_PART` of the slots.
    """

    def __init__(self, slots: int, adaptive: bool = True) -> None:
        self._adaptive = adaptive
        self._slots = max(slots, 1)
        self._value = float(self._slots)
        self._held = self._value
        self._phase = Phase.HOLD
        self._next_phase = Phase.LESS
        self._next_trial_at = 0.0
        self._undone = 0
        self._searching = False
        self._weights_s = [0.0] * len(CallClass)
        self._reference = 0.0
        self._means_s = [0.0] * len(CallClass)
        self._sampled_at = [0.0] * len(CallClass)
        self._window = Window(0.0, WINDOW_SAMPLES)
        self._window_s = WINDOW_MIN_S
        self._cold = False
        #: Limit before the search under way.
        self._origin = self._value

    @property
    def slots(self) -> int:
        """Return the announced slots."""
        return self._slots

    @property
    def value(self) -> int:
        """Return the limit in whole calls, at least 1."""
        if not self._adaptive:
            return max(int(self._slots * USABLE_PART), 1)
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
        self._undone = 0

    def start_cold(self, now: float) -> None:
        """Forget what was measured and begin with a part of the slots."""
        least = min(self._slots, COLD_START_SLOTS_MIN)
        self._held = self._value = max(self._slots * COLD_START_PART, least)
        self._weights_s = [0.0] * len(CallClass)
        self._reference = 0.0
        self._means_s = [0.0] * len(CallClass)
        self._next_phase = Phase.MORE
        self._next_trial_at = now
        self._undone = 0
        self._searching = False
        self._cold = True
        self._open_window(Phase.HOLD, now)

    def observe(
        self,
        rank: int,
        latency_s: float,
        ok: bool,
        in_flight: int,
        now: float,
        own_s: float | None = None,
    ) -> None:
        """Take in the end of one call.

        :param in_flight: calls that were running, with this one.
        :param own_s: seconds that the target did not spend waiting for calls of its own.
        """
        answered = ok or latency_s > self._means_s[rank]
        if answered:
            self._smooth(rank, latency_s, now)
        if not self._adaptive:
            return
        window = self._window
        if now < window.started_at:
            return
        window.occupied_s += in_flight * (now - window.last_at)
        window.last_at = now
        window.ends += 1
        window.running += in_flight
        if not answered:
            self._count_failure(now)
            return
        window.expected_s += self._weights_s[rank] or latency_s
        window.latency_s += latency_s
        window.own_s += latency_s if own_s is None else own_s
        window.samples += 1
        if self._is_complete(now) or self._is_surge():
            self._end_window(now)

    def touch(self, rank: int, now: float) -> None:
        """Count a call let through to measure as the latest sample."""
        self._sampled_at[rank] = now

    def _bounded(self, value: float) -> float:
        return min(max(value, MIN_LIMIT), self.ceiling)

    def _count_failure(self, now: float) -> None:
        self._window.failures += 1
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
        if not self._reference or not self._is_saturated():
            return False
        return self._latency() > SURGE_RATIO * self._reference

    def _is_saturated(self) -> bool:
        window = self._window
        return window.running >= SATURATED_PART * self.value * window.ends

    def _latency(self) -> float:
        """Return the target's own latency by Little's law, relative to that of the classes."""
        window = self._window
        own_part = window.own_s / max(window.latency_s, TINY_S)
        return max(window.occupied_s * own_part / max(window.expected_s, TINY_S), TINY_S)

    def _end_window(self, now: float) -> None:
        mean_s = self._mean_s()
        self._window_s = min(max(WINDOW_LATENCIES * mean_s, WINDOW_MIN_S), WINDOW_MAX_S)
        latency = self._latency()
        surge = self._reference > 0.0 and latency > SURGE_RATIO * self._reference
        if not self._is_saturated():
            self._forget()
            self._warm_up()
            self._open_window(Phase.HOLD, now)
        elif self._phase in (Phase.LESS, Phase.MORE):
            self._end_trial(latency, mean_s, now)
        elif not surge:
            self._end_hold(latency, mean_s, now)
        elif self._phase is Phase.HOLD:
            self._open_window(Phase.SURGE, now)
        else:
            self._reference = latency
            self._try(Phase.LESS, HALF_FACTOR, mean_s, now)

    def _mean_s(self) -> float:
        window = self._window
        return window.occupied_s / max(window.samples, 1)

    def _forget(self) -> None:
        self._keep(self._held)
        self._weights_s = list(self._means_s)
        self._reference = 0.0

    def _warm_up(self) -> None:
        """Give a target that began cold its slots, as no measurement speaks against them."""
        if self._cold and self._value < self._slots and not self._has_failed():
            self._keep(min(self._value * REGAIN_STEP, float(self._slots)))

    def _end_hold(self, latency: float, mean_s: float, now: float) -> None:
        if not any(self._weights_s) or latency < FASTER_RATIO * self._reference:
            self._forget()
        elif not self._reference:
            self._reference = latency
        else:
            self._reference += REFERENCE_WEIGHT * (latency - self._reference)
            if now >= self._next_trial_at:
                self._try(self._next_phase, self._factor(), mean_s, now)
                return
        self._open_window(Phase.HOLD, now)

    def _factor(self) -> float:
        step = WIDE_STEP if self._searching else NARROW_STEP
        if self._next_phase is Phase.LESS:
            return 1.0 / step
        if not self._cold:
            return step
        return max(step, min(self._slots / self._value, REGAIN_STEP))

    def _try(self, phase: Phase, factor: float, mean_s: float, now: float) -> None:
        self._held = self._value
        step = max(abs(self._value * (factor - 1.0)), 1.0)
        self._value = self._bounded(self._value + (step if factor > 1.0 else -step))
        wanted = SURGE_SAMPLES if factor == HALF_FACTOR else WINDOW_SAMPLES
        if not self._searching and factor != HALF_FACTOR:
            wanted = NARROW_SAMPLES
        self._open_window(phase, now + mean_s, wanted)

    def _end_trial(self, latency: float, mean_s: float, now: float) -> None:
        change = self.value / int(self._held)
        ratio = latency / self._reference
        elasticity = log(ratio) / log(change) if change != 1.0 else KNEE_ELASTICITY
        phase = self._phase
        if abs(elasticity) > PLAUSIBLE_ELASTICITY and self._searching:
            self._held = self._bounded(self._origin)
        if self._is_kept(phase, elasticity):
            self._origin = self._origin if self._searching else self._held
            self._keep(self._value)
            self._cold = self._cold and phase is Phase.MORE
            self._reference = latency
            self._next_phase = phase
            self._undone = 0
            self._searching = True
            self._try(phase, self._factor(), mean_s, now)
        else:
            self._undo_trial(now)

    def _undo_trial(self, now: float) -> None:
        self._keep(self._held)
        self._next_phase = Phase.MORE if self._phase is Phase.LESS else Phase.LESS
        self._searching = False
        self._next_trial_at = now + PAUSE_MIN_S * 2.0**self._undone
        self._undone = min(self._undone + 1, PAUSE_DOUBLINGS)
        self._open_window(Phase.HOLD, now)

    def _is_kept(self, phase: Phase, elasticity: float) -> bool:
        if abs(elasticity) > PLAUSIBLE_ELASTICITY:
            return False
        if phase is Phase.LESS:
            return elasticity > KNEE_ELASTICITY
        return elasticity < KNEE_ELASTICITY

    def _keep(self, value: float) -> None:
        self._held = self._value = value

    def _open_window(self, phase: Phase, started_at: float, wanted: int = WINDOW_SAMPLES) -> None:
        self._phase = phase
        if phase is Phase.SURGE:
            wanted = SURGE_SAMPLES
        self._window = Window(started_at, wanted)


def make_limit(slots: int, adaptive: bool = True) -> Limit:
    """Return a limit that starts at the announced slots."""
    return Limit(slots, adaptive)
