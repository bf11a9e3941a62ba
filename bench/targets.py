"""Failed attempts and latency under the ways weighed for routing around a bad target.

One node sends calls to five targets of which one turns bad for a minute. Baselines: any target at
random, and the least outstanding of two. ``PYTHONPATH=src:bench python bench/targets.py``.
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
from cost import ORIGIN, SERVICE, make_member

from pollenbay.commands.routing import begin_attempt, end_attempt, pick
from pollenbay.score import AttemptResult, Score, Scores, make_scores
from pollenbay.states import MemberState
from pollenbay.view import Member, View, make_view

TARGETS = 5
RATE_PER_S = 200.0
LATENCY_S = 0.02
DURATION_S = 120.0
BAD_FROM_S = 20.0
BAD_UNTIL_S = 80.0
TIMEOUT_S = 1.0
SEED = 5
Picker = Callable[[View, Scores, float, Random], Member | None]


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with the bad target.

    :param fails: part of its calls that fail.
    :param slowness: multiple of its latency.
    """

    name: str
    fails: float = 0.0
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class Variant:
    """A way to pick, and other values of names of the product."""

    name: str
    picker: Picker
    values: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Tally:
    """What was seen while the target was bad, and how long it was left out after that."""

    calls: int = 0
    failures: int = 0
    latencies_s: list[float] = field(default_factory=list)
    back_at: float | None = None
    after: int = 0


def pick_random(view: View, scores: Scores, now: float, rng: Random) -> Member | None:
    """Pick any target."""
    return rng.choice(list(view.of_service(SERVICE)))


def pick_least(view: View, scores: Scores, now: float, rng: Random) -> Member | None:
    """Pick the one of two with fewer attempts under way."""
    pair = rng.sample(list(view.of_service(SERVICE)), 2)
    return min(pair, key=lambda m: (scores.scores.get(m.instance) or Score(1)).outstanding)


def pick_product(view: View, scores: Scores, now: float, rng: Random) -> Member | None:
    """Pick as the product does."""
    return pick(view, scores, SERVICE, ORIGIN, frozenset(), now, rng)


def open_again(score: Score | None, now: float, may_probe: bool = True) -> bool:
    """Let a target back in full once its ejection is over."""
    return score is None or now >= score.ejected_until


def never_ejected(score: Score | None, now: float, may_probe: bool = True) -> bool:
    """Let a target in whatever its failures."""
    return True


def never_due(score: Score | None, now: float) -> bool:
    """Judge each target by its cost alone."""
    return False


DUE = "pollenbay.queries.routing.due_for_probe"
AVAILABLE = "pollenbay.queries.routing.available"
MIN_PART = "pollenbay.queries.routing.MIN_PART"
VARIANTS = [
    Variant("random", pick_random),
    Variant("least outstanding of two", pick_least),
    Variant("cost only", pick_product, {DUE: never_due, AVAILABLE: never_ejected, MIN_PART: 1.0}),
    Variant(
        "score throttles, no ejection", pick_product, {DUE: never_due, AVAILABLE: never_ejected}
    ),
    Variant(
        "ejection, full return",
        pick_product,
        {DUE: never_due, AVAILABLE: open_again, MIN_PART: 1.0},
    ),
    Variant("ejection, probe", pick_product, {MIN_PART: 1.0}),
    Variant("ejection, probe, score", pick_product),
]
FAULTS = [
    Fault("fails all", fails=1.0),
    Fault("fails half", fails=0.5),
    Fault("fails a tenth", fails=0.1),
    Fault("10 times slower", slowness=10.0),
    Fault("silent", fails=1.0, slowness=TIMEOUT_S / LATENCY_S),
]


class Loop:
    """One node, its targets and the attempts under way."""

    def __init__(self, variant: Variant, fault: Fault) -> None:
        self._variant = variant
        self._fault = fault
        self._rng = Random(SEED)
        self._view = make_view()
        self._scores = make_scores()
        self._order = count()
        self._open: list[tuple[float, int, Member, float, AttemptResult]] = []
        self.tally = Tally()
        for index in range(TARGETS):
            self._view.put(make_member(SERVICE, index))
        self._bad = self._view.members[next(iter(self._view.members))].instance

    def run(self) -> Tally:
        """Run to the end."""
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
        bad = member.instance == self._bad and BAD_FROM_S <= now < BAD_UNTIL_S
        if bad:
            latency_s *= self._fault.slowness
            if self._rng.random() < self._fault.fails:
                result = AttemptResult.FAILED
        self._count(now, member, latency_s, result)
        heappush(self._open, (now + latency_s, next(self._order), member, latency_s, result))

    def _end_attempts(self, now: float) -> None:
        while self._open and self._open[0][0] <= now:
            ended_at, _, member, latency_s, result = heappop(self._open)
            end_attempt(self._scores, member, latency_s, result, ended_at)

    def _count(self, now: float, member: Member, latency_s: float, result: AttemptResult) -> None:
        tally = self.tally
        if BAD_FROM_S <= now < BAD_UNTIL_S:
            tally.calls += 1
            tally.failures += result is AttemptResult.FAILED
            tally.latencies_s.append(latency_s)
        elif now >= BAD_UNTIL_S and member.instance == self._bad:
            tally.after += 1
            if tally.back_at is None and tally.after >= 10:
                tally.back_at = now - BAD_UNTIL_S


def print_fault(fault: Fault) -> None:
    """Print what each variant makes of a fault."""
    echo(f"\n{fault.name}")
    echo("way                           failed %  p99 ms  back after s  its part after %")
    for variant in VARIANTS:
        with ExitStack() as stack:
            for name, value in variant.values.items():
                stack.enter_context(patch(name, value))
            tally = Loop(variant, fault).run()
        p99_ms = sorted(tally.latencies_s)[int(len(tally.latencies_s) * 0.99)] * 1000
        back = "none" if tally.back_at is None else f"{tally.back_at:.1f}"
        after = 100 * tally.after / (RATE_PER_S * (DURATION_S - BAD_UNTIL_S))
        failed = 100 * tally.failures / tally.calls
        echo(f"{variant.name:30} {failed:7.2f} {p99_ms:7.0f} {back:>12} {after:12.1f}")


@command()
def main() -> None:
    """Print a table for each fault."""
    for fault in FAULTS:
        print_fault(fault)


if __name__ == "__main__":
    main()
