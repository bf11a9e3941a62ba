"""Adaptive concurrency limit of a target, found by trial changes in both directions.

While the limit is in use, latency is measured in windows, and from time to time one window runs
with a different limit. If a lower limit reduces the latency in proportion, calls were only queueing
inside the target, and the lower limit is kept. If a higher limit leaves the latency unchanged, the
target has free capacity, and the higher limit is kept. Only adjacent windows are compared, so that
a target whose speed changes for other reasons does not mislead the search for long.
"""

from math import log

from pollenbay.states import CallClass
from pollenbay.window import Phase, Window

MIN_LIMIT = 1.0
#: The limit never grows past this multiple of the announced slots.
CEILING_PER_SLOT = 4.0
COLD_START_RATIO = 0.5
#: A target with at most this many slots starts with all of them.
COLD_START_SLOTS_MIN = 4
#: Factors of a trial: the wide one after a confirmed trial, otherwise the narrow one.
WIDE_STEP_FACTOR = 1.5
NARROW_STEP_FACTOR = 1.15
#: Largest factor by which a cold-started target is raised towards its announced slots.
WARM_UP_STEP_FACTOR = 2.0
SURGE_STEP_FACTOR = 0.5
#: Relative change of latency per relative change of the limit: 0 with free capacity, 1 when calls
#: queue; the threshold between the two.
QUEUEING_ELASTICITY = 0.7
#: A larger elasticity is not caused by the limit: the target itself has changed.
ELASTICITY_MAX = 2.5
#: Above this multiple of the reference, latency is a surge and the limit is halved for a trial.
SURGE_RATIO = 1.4
#: Below this ratio of the reference latency, the target itself has become faster.
SPEED_UP_RATIO = 0.7
WINDOW_MIN_S = 0.2
WINDOW_MAX_S = 5.0
WINDOW_LATENCIES = 2.0
WINDOW_SAMPLES = 200
NARROW_STEP_SAMPLES = 400
WINDOW_MIN_SAMPLES = 20
#: Number of samples between two checks for a surge, and of each step of its trial.
SURGE_SAMPLES = 32
#: Minimum ratio of the limit that has to be in use for a window to be conclusive.
SATURATED_RATIO = 0.8
#: A trial with more concurrency is reverted if a larger ratio of the calls failed.
FAILURE_RATIO_MAX = 0.05
FAILURES_MIN = 10
EPSILON_S = 1e-9
#: Ratio of the announced slots used where the limit does not adapt: targets slow down when all
#: slots are occupied.
FIXED_LIMIT_RATIO = 0.95
TRIAL_PAUSE_MIN_S = 1.0
TRIAL_PAUSE_DOUBLINGS_MAX = 3
REFERENCE_WEIGHT = 0.3
LATENCY_WEIGHT = 0.1


class Limit:
    """Maximum number of concurrent calls of a target.

    :param slots: number of slots that the target announced.
    :param adaptive: whether the limit adapts; otherwise it is `FIXED_LIMIT_RATIO` of the slots.
    """

    def __init__(self, slots: int, adaptive: bool = True) -> None:
        self._adaptive = adaptive
        self._slots = max(slots, 1)
        self._value = float(self._slots)
        self._baseline = self._value
        self._phase = Phase.HOLD
        self._next_phase = Phase.LESS
        self._next_trial_at = 0.0
        self._reverted_trials = 0
        self._searching = False
        self._expected_s = [0.0] * len(CallClass)
        self._reference_latency = 0.0
        self._means_s = [0.0] * len(CallClass)
        self._window = Window(0.0, WINDOW_SAMPLES)
        self._window_s = WINDOW_MIN_S
        self._warming_up = False
        #: Limit before the current search.
        self._search_start = self._value

    @property
    def slots(self) -> int:
        """Return the announced slots."""
        return self._slots

    @property
    def value(self) -> int:
        """Return the limit as a whole number of calls, at least 1."""
        if not self._adaptive:
            return max(int(self._slots * FIXED_LIMIT_RATIO), 1)
        return int(self._value)

    @property
    def ceiling(self) -> float:
        """Return the upper bound of the limit."""
        return max(self._slots * CEILING_PER_SLOT, MIN_LIMIT)

    def set_slots(self, slots: int) -> None:
        """Scale the limit to a changed number of announced slots."""
        slots = max(slots, 1)
        factor = slots / self._slots
        self._slots = slots
        self._baseline = self._clamp(self._baseline * factor)
        self._value = self._clamp(self._value * factor)
        self._reverted_trials = 0

    def start_cold(self, now: float) -> None:
        """Discard all measurements and start with a fraction of the slots."""
        initial_min = min(self._slots, COLD_START_SLOTS_MIN)
        self._baseline = self._value = max(self._slots * COLD_START_RATIO, initial_min)
        self._expected_s = [0.0] * len(CallClass)
        self._reference_latency = 0.0
        self._means_s = [0.0] * len(CallClass)
        self._next_phase = Phase.MORE
        self._next_trial_at = now
        self._reverted_trials = 0
        self._searching = False
        self._warming_up = True
        self._open_window(Phase.HOLD, now)

    def observe(
        self,
        rank: int,
        latency_s: float,
        ok: bool,
        in_flight: int,
        now: float,
        self_time_s: float | None = None,
    ) -> None:
        """Update the limit from the end of one call.

        :param in_flight: number of calls that were running, including this one.
        :param self_time_s: seconds that the target did not spend waiting for its nested calls.
        """
        answered = ok or latency_s > self._means_s[rank]
        if answered:
            self._smooth(rank, latency_s)
        if not self._adaptive:
            return
        window = self._window
        if now < window.started_at:
            return
        window.occupied_s += in_flight * (now - window.last_end_at)
        window.last_end_at = now
        window.ended_calls += 1
        window.in_flight_sum += in_flight
        if not answered:
            self._count_failure(now)
            return
        window.expected_s += self._expected_s[rank] or latency_s
        window.latency_s += latency_s
        window.self_time_s += latency_s if self_time_s is None else self_time_s
        window.samples += 1
        if self._is_window_complete(now) or self._is_surge():
            self._end_window(now)

    def _clamp(self, value: float) -> float:
        return min(max(value, MIN_LIMIT), self.ceiling)

    def _count_failure(self, now: float) -> None:
        self._window.failures += 1
        if self._phase is Phase.MORE and self._exceeds_failure_ratio():
            self._revert_trial(now)

    def _exceeds_failure_ratio(self) -> bool:
        window = self._window
        return window.failures > max(FAILURE_RATIO_MAX * window.samples, FAILURES_MIN)

    def _smooth(self, rank: int, latency_s: float) -> None:
        mean_s = self._means_s[rank]
        weight = LATENCY_WEIGHT if mean_s else 1.0
        self._means_s[rank] = mean_s + weight * (latency_s - mean_s)

    def _is_window_complete(self, now: float) -> bool:
        window = self._window
        length_s = now - window.started_at
        if length_s < self._window_s or window.samples < WINDOW_MIN_SAMPLES:
            return False
        return window.samples >= window.sufficient_samples or length_s >= WINDOW_MAX_S

    def _is_surge(self) -> bool:
        if self._phase is not Phase.HOLD or self._window.samples % SURGE_SAMPLES:
            return False
        if not self._reference_latency or not self._is_saturated():
            return False
        return self._relative_latency() > SURGE_RATIO * self._reference_latency

    def _is_saturated(self) -> bool:
        window = self._window
        return window.in_flight_sum >= SATURATED_RATIO * self.value * window.ended_calls

    def _relative_latency(self) -> float:
        """Return the target's own latency by Little's law, relative to that of the classes."""
        window = self._window
        own_ratio = window.self_time_s / max(window.latency_s, EPSILON_S)
        return max(window.occupied_s * own_ratio / max(window.expected_s, EPSILON_S), EPSILON_S)

    def _end_window(self, now: float) -> None:
        mean_s = self._mean_s()
        self._window_s = min(max(WINDOW_LATENCIES * mean_s, WINDOW_MIN_S), WINDOW_MAX_S)
        latency = self._relative_latency()
        surge = self._reference_latency > 0.0 and latency > SURGE_RATIO * self._reference_latency
        if not self._is_saturated():
            self._reset_reference()
            self._warm_up()
            self._open_window(Phase.HOLD, now)
        elif self._phase in (Phase.LESS, Phase.MORE):
            self._end_trial(latency, mean_s, now)
        elif not surge:
            self._end_hold(latency, mean_s, now)
        elif self._phase is Phase.HOLD:
            self._open_window(Phase.SURGE, now)
        else:
            self._reference_latency = latency
            self._start_trial(Phase.LESS, SURGE_STEP_FACTOR, mean_s, now)

    def _mean_s(self) -> float:
        window = self._window
        return window.occupied_s / max(window.samples, 1)

    def _reset_reference(self) -> None:
        self._set_value(self._baseline)
        self._expected_s = list(self._means_s)
        self._reference_latency = 0.0

    def _warm_up(self) -> None:
        """Raise the limit of a cold-started target to its slots unless too many calls failed."""
        if self._warming_up and self._value < self._slots and not self._exceeds_failure_ratio():
            self._set_value(min(self._value * WARM_UP_STEP_FACTOR, float(self._slots)))

    def _end_hold(self, latency: float, mean_s: float, now: float) -> None:
        if not any(self._expected_s) or latency < SPEED_UP_RATIO * self._reference_latency:
            self._reset_reference()
        elif not self._reference_latency:
            self._reference_latency = latency
        else:
            self._reference_latency += REFERENCE_WEIGHT * (latency - self._reference_latency)
            if now >= self._next_trial_at:
                self._start_trial(self._next_phase, self._step_factor(), mean_s, now)
                return
        self._open_window(Phase.HOLD, now)

    def _step_factor(self) -> float:
        step = WIDE_STEP_FACTOR if self._searching else NARROW_STEP_FACTOR
        if self._next_phase is Phase.LESS:
            return 1.0 / step
        if not self._warming_up:
            return step
        return max(step, min(self._slots / self._value, WARM_UP_STEP_FACTOR))

    def _start_trial(self, phase: Phase, factor: float, mean_s: float, now: float) -> None:
        self._baseline = self._value
        step = max(abs(self._value * (factor - 1.0)), 1.0)
        self._value = self._clamp(self._value + (step if factor > 1.0 else -step))
        sufficient_samples = SURGE_SAMPLES if factor == SURGE_STEP_FACTOR else WINDOW_SAMPLES
        if not self._searching and factor != SURGE_STEP_FACTOR:
            sufficient_samples = NARROW_STEP_SAMPLES
        self._open_window(phase, now + mean_s, sufficient_samples)

    def _end_trial(self, latency: float, mean_s: float, now: float) -> None:
        change = self.value / int(self._baseline)
        ratio = latency / self._reference_latency
        elasticity = log(ratio) / log(change) if change != 1.0 else QUEUEING_ELASTICITY
        phase = self._phase
        if abs(elasticity) > ELASTICITY_MAX and self._searching:
            self._baseline = self._clamp(self._search_start)
        if self._is_trial_confirmed(phase, elasticity):
            self._search_start = self._search_start if self._searching else self._baseline
            self._set_value(self._value)
            self._warming_up = self._warming_up and phase is Phase.MORE
            self._reference_latency = latency
            self._next_phase = phase
            self._reverted_trials = 0
            self._searching = True
            self._start_trial(phase, self._step_factor(), mean_s, now)
        else:
            self._revert_trial(now)

    def _revert_trial(self, now: float) -> None:
        self._set_value(self._baseline)
        self._next_phase = Phase.MORE if self._phase is Phase.LESS else Phase.LESS
        self._searching = False
        self._next_trial_at = now + TRIAL_PAUSE_MIN_S * 2.0**self._reverted_trials
        self._reverted_trials = min(self._reverted_trials + 1, TRIAL_PAUSE_DOUBLINGS_MAX)
        self._open_window(Phase.HOLD, now)

    def _is_trial_confirmed(self, phase: Phase, elasticity: float) -> bool:
        if abs(elasticity) > ELASTICITY_MAX:
            return False
        if phase is Phase.LESS:
            return elasticity > QUEUEING_ELASTICITY
        return elasticity < QUEUEING_ELASTICITY

    def _set_value(self, value: float) -> None:
        self._baseline = self._value = value

    def _open_window(
        self, phase: Phase, started_at: float, sufficient_samples: int = WINDOW_SAMPLES
    ) -> None:
        self._phase = phase
        if phase is Phase.SURGE:
            sufficient_samples = SURGE_SAMPLES
        self._window = Window(started_at, sufficient_samples)


def make_limit(slots: int, adaptive: bool = True) -> Limit:
    """Return a limit that starts at the announced slots."""
    return Limit(slots, adaptive)
