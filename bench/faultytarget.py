"""Failed attempts and latency for several ways of routing around a faulty target.

One node sends calls to five targets, one of which is faulty for a minute. Baselines: a random
target, and the one of two random targets with fewer outstanding attempts. Run:
``PYTHONPATH=src:bench python bench/faultytarget.py``.
"""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any
from unittest.mock import patch

from click import command, echo
from decisioncost import CALLED_SERVICE, CALLER_PLACE, make_member

from pollenbay.commands.routing import begin_attempt, end_attempt, pick
from pollenbay.score import AttemptResult, Score, Scores, make_scores
from pollenbay.states import MemberState
from pollenbay.view import Member, View, make_view

TARGETS = 5
RATE_PER_S = 200.0
LATENCY_S = 0.02
DURATION_S = 120.0
FAULT_START_S = 20.0
FAULT_END_S = 80.0
TIMEOUT_S = 1.0
SEED = 5
Picker = Callable[[View, Scores, float, Random], Member | None]


@dataclass(frozen=True, slots=True)
class Fault:
    """Behaviour of the faulty target.

    :param failure_ratio: ratio of its calls that fail.
    :param slowdown: multiple of its latency.
    """

    name: str
    failure_ratio: float = 0.0
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class Variant:
    """A way of selecting a target.

    :param overrides: replacements for module attributes of Pollenbay, by dotted path.
    """

    name: str
    picker: Picker
    overrides: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Tally:
    """Counts while a target was faulty, and its return to rotation afterwards.

    :param calls: attempts at any target during the fault.
    :param returned_after_s: seconds from the end of the fault to the target's 10th attempt.
    :param calls_after: attempts at the formerly faulty target after the fault.
    """

    calls: int = 0
    failures: int = 0
    latencies_s: list[float] = field(default_factory=list)
    returned_after_s: float | None = None
    calls_after: int = 0


def pick_random(view: View, scores: Scores, now: float, rng: Random) -> Member | None:
    """Pick a random target."""
    return rng.choice(list(view.members_of(CALLED_SERVICE)))


def pick_least_outstanding(view: View, scores: Scores, now: float, rng: Random) -> Member | None:
    """Pick the one of two random targets with fewer outstanding attempts."""
    pair = rng.sample(list(view.members_of(CALLED_SERVICE)), 2)
    return min(pair, key=lambda m: (scores.scores.get(m.instance) or Score(1)).outstanding)


def pick_pollenbay(view: View, scores: Scores, now: float, rng: Random) -> Member | None:
    """Pick as Pollenbay does."""
    return pick(view, scores, CALLED_SERVICE, CALLER_PLACE, frozenset(), now, rng)


def available_after_ejection(score: Score | None, now: float, may_probe: bool = True) -> bool:
    """Readmit a target without probing once its ejection is over."""
    return score is None or now >= score.ejected_until


def always_available(score: Score | None, now: float, may_probe: bool = True) -> bool:
    """Admit a target regardless of its failures."""
    return True


def never_probed(score: Score | None, now: float) -> bool:
    """Never probe a target."""
    return False


DUE_FOR_PROBE = "pollenbay.queries.routing.due_for_probe"
AVAILABLE = "pollenbay.queries.routing.available"
MIN_RATIO = "pollenbay.queries.routing.MIN_RATIO"
VARIANTS = [
    Variant("random", pick_random),
    Variant("least outstanding of two", pick_least_outstanding),
    Variant(
        "cost only",
        pick_pollenbay,
        {DUE_FOR_PROBE: never_probed, AVAILABLE: always_available, MIN_RATIO: 1.0},
    ),
    Variant(
        "score throttles, no ejection",
        pick_pollenbay,
        {DUE_FOR_PROBE: never_probed, AVAILABLE: always_available},
    ),
    Variant(
        "ejection, full return",
        pick_pollenbay,
        {DUE_FOR_PROBE: never_probed, AVAILABLE: available_after_ejection, MIN_RATIO: 1.0},
    ),
    Variant("ejection, probe", pick_pollenbay, {MIN_RATIO: 1.0}),
    Variant("ejection, probe, score", pick_pollenbay),
]
FAULTS = [
    Fault("fails all", failure_ratio=1.0),
    Fault("fails half", failure_ratio=0.5),
    Fault("fails a tenth", failure_ratio=0.1),
    Fault("10 times slower", slowdown=10.0),
    Fault("silent", failure_ratio=1.0, slowdown=TIMEOUT_S / LATENCY_S),
]


class Simulation:
    """Simulation of one node, its targets and the outstanding attempts."""

    def __init__(self, variant: Variant, fault: Fault) -> None:
        self._variant = variant
        self._fault = fault
        self._rng = Random(SEED)
        self._view = make_view()
        self._scores = make_scores()
        self._order = count()
        self._outstanding: list[tuple[float, int, Member, float, AttemptResult]] = []
        self.tally = Tally()
        for index in range(TARGETS):
            self._view.put(make_member(CALLED_SERVICE, index))
        self._faulty_instance = self._view.members[next(iter(self._view.members))].instance

    def run(self) -> Tally:
        """Run the simulation and return the counts."""
        now = 0.0
        while now < DURATION_S:
            now += self._rng.expovariate(RATE_PER_S)
            self._end_attempts(now)
            self._begin(now)
        return self.tally

    def _begin(self, now: float) -> None:
        member = self._variant.picker(self._view, self._scores, now, self._rng)
        assert member is not None and member.state is MemberState.SERVING
        begin_attempt(self._scores, member, now)
        latency_s = LATENCY_S * self._rng.lognormvariate(-0.125, 0.5)
        result = AttemptResult.ANSWERED
        faulty = member.instance == self._faulty_instance and FAULT_START_S <= now < FAULT_END_S
        if faulty:
            latency_s *= self._fault.slowdown
            if self._rng.random() < self._fault.failure_ratio:
                result = AttemptResult.FAILED
        self._count(now, member, latency_s, result)
        heappush(self._outstanding, (now + latency_s, next(self._order), member, latency_s, result))

    def _end_attempts(self, now: float) -> None:
        while self._outstanding and self._outstanding[0][0] <= now:
            ended_at, _, member, latency_s, result = heappop(self._outstanding)
            end_attempt(self._scores, member, latency_s, result, ended_at)

    def _count(self, now: float, member: Member, latency_s: float, result: AttemptResult) -> None:
        tally = self.tally
        if FAULT_START_S <= now < FAULT_END_S:
            tally.calls += 1
            tally.failures += result is AttemptResult.FAILED
            tally.latencies_s.append(latency_s)
        elif now >= FAULT_END_S and member.instance == self._faulty_instance:
            tally.calls_after += 1
            if tally.returned_after_s is None and tally.calls_after >= 10:
                tally.returned_after_s = now - FAULT_END_S


def print_fault(fault: Fault) -> None:
    """Print the figures of each variant under a fault."""
    echo(f"\n{fault.name}")
    echo("way                           failed %  p99 ms  back after s  its part after %")
    for variant in VARIANTS:
        with ExitStack() as stack:
            for name, value in variant.overrides.items():
                stack.enter_context(patch(name, value))
            tally = Simulation(variant, fault).run()
        p99_ms = sorted(tally.latencies_s)[int(len(tally.latencies_s) * 0.99)] * 1000
        returned = "none" if tally.returned_after_s is None else f"{tally.returned_after_s:.1f}"
        share_percent = 100 * tally.calls_after / (RATE_PER_S * (DURATION_S - FAULT_END_S))
        failed = 100 * tally.failures / tally.calls
        echo(f"{variant.name:30} {failed:7.2f} {p99_ms:7.0f} {returned:>12} {share_percent:12.1f}")


@command()
def main() -> None:
    """Print a table for each fault."""
    for fault in FAULTS:
        print_fault(fault)


if __name__ == "__main__":
    main()
