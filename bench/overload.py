"""Goodput and recovery under overload, for simple baselines and for Pollenbay's admission gate.

``PYTHONPATH=src:bench python bench/overload.py [--quick]`` prints the tables of docs/OVERLOAD.md.
"""

from collections.abc import Callable
from functools import partial
from statistics import mean

from click import command, echo, option
from simulation import (
    SERVICE_CAPACITY_PER_S,
    SLOTS,
    FixedLimitControl,
    GateControl,
    NoControl,
    Scenario,
    Simulation,
    SimulationCounts,
)

from pollenbay.states import CallClass

RANDOM_SEED = 11
WARM_UP_S = 5
RECOVERED_RATIO = 0.95
RECOVERY_WINDOW_S = 3
RETRYING_ATTEMPTS = 5
CONTROLS: dict[str, Callable[[], NoControl]] = {
    "no control": NoControl,
    "fixed limit": FixedLimitControl,
    "pollenbay": GateControl,
}


def constant_load(load: float, now: float) -> float:
    """Return the same load at any time."""
    return load


def during_period(start_s: float, end_s: float, inside: float, outside: float, now: float) -> float:
    """Return `inside` during a period and `outside` before and after it."""
    return inside if start_s <= now < end_s else outside


def goodput(
    counts: SimulationCounts, start_s: int, end_s: int, call_class: CallClass | None = None
) -> float:
    """Return complete responses before their deadline, per second of a period."""
    classes = list(CallClass) if call_class is None else [call_class]
    total = sum(
        counts.responses_in_time[second, c] for second in range(start_s, end_s) for c in classes
    )
    return total / (end_s - start_s)


def served_ratio(
    counts: SimulationCounts, start_s: int, end_s: int, call_class: CallClass
) -> float:
    """Return the ratio of the requests of a class that were answered before their deadline."""
    seconds = range(start_s, end_s)
    offered = sum(counts.offered[second, call_class] for second in seconds)
    return sum(counts.responses_in_time[second, call_class] for second in seconds) / max(offered, 1)


def recovery_s(counts: SimulationCounts, before: float, end_s: int, last_s: int) -> int | None:
    """Return the seconds after `end_s` until goodput has recovered, or None.

    Goodput counts as recovered when its mean over ``RECOVERY_WINDOW_S`` seconds reaches
    ``RECOVERED_RATIO`` of `before`.
    """
    for second in range(end_s, last_s - RECOVERY_WINDOW_S):
        window = range(second, second + RECOVERY_WINDOW_S)
        if mean(goodput(counts, s, s + 1) for s in window) >= RECOVERED_RATIO * before:
            return second - end_s
    return None


def print_load_table(duration_s: int, attempts: int) -> None:
    """Print goodput and served ratios by class for several loads."""
    echo(f"\nload sweep, {attempts} attempts per request, capacity {SERVICE_CAPACITY_PER_S:.0f}/s")
    echo("control       load  goodput/s  critical normal sheddable (part served)  runs/s")
    for load in (0.8, 1.2, 2.0, 5.0):
        for name, make_control in CONTROLS.items():
            scenario = Scenario(duration_s, partial(constant_load, load), max_attempts=attempts)
            counts = Simulation(scenario, make_control(), RANDOM_SEED).run()
            ratios = [served_ratio(counts, WARM_UP_S, duration_s, c) for c in CallClass]
            total = goodput(counts, WARM_UP_S, duration_s)
            echo(
                f"{name:12} {load:5.1f} {total:10.0f}  "
                + " ".join(f"{ratio:8.2f}" for ratio in ratios)
                + f" {counts.executed_calls / duration_s:10.0f}"
            )


def print_recovery(title: str, scenario: Scenario, start_s: int, end_s: int) -> None:
    """Print goodput before, during and after a disturbance, and the recovery time."""
    echo(f"\n{title}")
    echo("control       before/s  during/s  after/s  recovery_s")
    for name, make_control in CONTROLS.items():
        counts = Simulation(scenario, make_control(), RANDOM_SEED).run()
        last_s = int(scenario.duration_s)
        before = goodput(counts, WARM_UP_S, start_s)
        inside = goodput(counts, start_s, end_s)
        after = goodput(counts, last_s - 10, last_s)
        recovered_after_s = recovery_s(counts, before, end_s, last_s)
        recovery_text = "none" if recovered_after_s is None else str(recovered_after_s)
        echo(f"{name:12} {before:9.0f} {inside:9.0f} {after:8.0f} {recovery_text:>8}")


def print_flood(duration_s: int, flood_class: CallClass) -> None:
    """Print the served ratios of other callers at 0.8 of the capacity while one caller floods."""
    echo(f"\none caller floods with {flood_class.value} calls, 5 times the capacity, others 0.8")
    echo("control       critical normal sheddable (part served)  flood/s")
    for name, make_control in CONTROLS.items():
        flood = 5 * SERVICE_CAPACITY_PER_S
        scenario = Scenario(
            duration_s,
            partial(constant_load, 0.8),
            flood_calls_per_s=flood,
            flood_class=flood_class,
        )
        counts = Simulation(scenario, make_control(), RANDOM_SEED).run()
        ratios = [served_ratio(counts, WARM_UP_S, duration_s, c) for c in CallClass]
        rate = counts.flood_responses_in_time / duration_s
        echo(f"{name:12} " + " ".join(f"{ratio:8.2f}" for ratio in ratios) + f" {rate:8.0f}")


def print_announced_slots(duration_s: int) -> None:
    """Print the goodput when the target announces a wrong number of slots."""
    echo(f"\nannounced slots differ from the true {SLOTS}, load 2.0, goodput/s from 20 s on")
    echo("announced   fixed limit   pollenbay")
    for slots in (5, 10, 20, 40, 80):
        figures = []
        for make_control in (FixedLimitControl, GateControl):
            scenario = Scenario(
                duration_s, partial(constant_load, 2.0), max_attempts=RETRYING_ATTEMPTS
            )
            figures.append(
                goodput(
                    Simulation(scenario, make_control(slots), RANDOM_SEED).run(), 20, duration_s
                )
            )
        echo(f"{slots:9} {figures[0]:13.0f} {figures[1]:11.0f}")


@command()
@option("--quick", is_flag=True, help="Shorter runs, to see that it works.")
def main(quick: bool) -> None:
    """Print all tables."""
    duration_s = 10 if quick else 30
    print_load_table(duration_s, 1)
    print_load_table(duration_s, RETRYING_ATTEMPTS)
    slow = partial(during_period, 20.0, 50.0, 10.0, 1.0)
    scenario = Scenario(90.0, partial(constant_load, 0.8), slow, max_attempts=RETRYING_ATTEMPTS)
    print_recovery("10 times slower for 30 s, load 0.8, hard retriers", scenario, 20, 50)
    surge = partial(during_period, 20.0, 40.0, 5.0, 0.8)
    scenario = Scenario(80.0, surge, max_attempts=RETRYING_ATTEMPTS)
    print_recovery("surge to 5.0 for 20 s, load 0.8, hard retriers", scenario, 20, 40)
    print_flood(duration_s, CallClass.SHEDDABLE)
    print_flood(duration_s, CallClass.CRITICAL)
    print_announced_slots(30 if quick else 60)


if __name__ == "__main__":
    main()
