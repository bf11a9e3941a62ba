"""Goodput and recovery under overload, for simple baselines and for Pollenbay's admission gate.

``PYTHONPATH=src:bench python bench/decisions.py [--quick]`` prints the tables of docs/OVERLOAD.md.
"""

from collections.abc import Callable
from functools import partial
from statistics import mean

from click import command, echo, option
from loop import (
    CAPACITY_PER_S,
    SLOTS,
    FixedLimit,
    GateControl,
    Loop,
    NoControl,
    Scenario,
    Tally,
)

from pollenbay.states import CallClass

SEED = 11
WARM_UP_S = 5
RECOVERED_RATIO = 0.95
RECOVERY_WINDOW_S = 3
RETRYING_ATTEMPTS = 5
CONTROLS: dict[str, Callable[[], NoControl]] = {
    "no control": NoControl,
    "fixed limit": FixedLimit,
    "pollenbay": GateControl,
}


def constant(load: float, now: float) -> float:
    """Return the same load at any time."""
    return load


def during_period(start_s: float, end_s: float, inside: float, outside: float, now: float) -> float:
    """Return `inside` during a period and `outside` before and after it."""
    return inside if start_s <= now < end_s else outside


def goodput(tally: Tally, start_s: int, end_s: int, call_class: CallClass | None = None) -> float:
    """Return complete responses before their deadline, per second of a period."""
    classes = list(CallClass) if call_class is None else [call_class]
    total = sum(tally.good[second, c] for second in range(start_s, end_s) for c in classes)
    return total / (end_s - start_s)


def served_ratio(tally: Tally, start_s: int, end_s: int, call_class: CallClass) -> float:
    """Return the ratio of the requests of a class that were answered before their deadline."""
    seconds = range(start_s, end_s)
    offered = sum(tally.offered[second, call_class] for second in seconds)
    return sum(tally.good[second, call_class] for second in seconds) / max(offered, 1)


def recovery_s(tally: Tally, before: float, end_s: int, last_s: int) -> int | None:
    """Return the seconds after `end_s` until goodput has recovered, or None.

    Goodput counts as recovered when its mean over ``RECOVERY_WINDOW_S`` seconds reaches
    ``RECOVERED_RATIO`` of `before`.
    """
    for second in range(end_s, last_s - RECOVERY_WINDOW_S):
        window = range(second, second + RECOVERY_WINDOW_S)
        if mean(goodput(tally, s, s + 1) for s in window) >= RECOVERED_RATIO * before:
            return second - end_s
    return None


def print_load_table(duration_s: int, attempts: int) -> None:
    """Print goodput and served ratios by class for several loads."""
    echo(f"\nload sweep, {attempts} attempts per request, capacity {CAPACITY_PER_S:.0f}/s")
    echo("control       load  goodput/s  critical normal sheddable (part served)  runs/s")
    for load in (0.8, 1.2, 2.0, 5.0):
        for name, make_control in CONTROLS.items():
            scenario = Scenario(duration_s, partial(constant, load), attempts=attempts)
            tally = Loop(scenario, make_control(), SEED).run()
            ratios = [served_ratio(tally, WARM_UP_S, duration_s, c) for c in CallClass]
            total = goodput(tally, WARM_UP_S, duration_s)
            echo(
                f"{name:12} {load:5.1f} {total:10.0f}  "
                + " ".join(f"{ratio:8.2f}" for ratio in ratios)
                + f" {tally.ran / duration_s:10.0f}"
            )


def print_recovery(title: str, scenario: Scenario, start_s: int, end_s: int) -> None:
    """Print goodput before, during and after a disturbance, and the recovery time."""
    echo(f"\n{title}")
    echo("control       before/s  during/s  after/s  recovery_s")
    for name, make_control in CONTROLS.items():
        tally = Loop(scenario, make_control(), SEED).run()
        last_s = int(scenario.duration_s)
        before = goodput(tally, WARM_UP_S, start_s)
        inside = goodput(tally, start_s, end_s)
        after = goodput(tally, last_s - 10, last_s)
        recovered_after_s = recovery_s(tally, before, end_s, last_s)
        recovery_text = "none" if recovered_after_s is None else str(recovered_after_s)
        echo(f"{name:12} {before:9.0f} {inside:9.0f} {after:8.0f} {recovery_text:>8}")


def print_flood(duration_s: int, flood_class: CallClass) -> None:
    """Print the served ratios of other callers at 0.8 of the capacity while one caller floods."""
    echo(f"\none caller floods with {flood_class.value} calls, 5 times the capacity, others 0.8")
    echo("control       critical normal sheddable (part served)  flood/s")
    for name, make_control in CONTROLS.items():
        flood = 5 * CAPACITY_PER_S
        scenario = Scenario(
            duration_s, partial(constant, 0.8), flood=flood, flood_class=flood_class
        )
        tally = Loop(scenario, make_control(), SEED).run()
        ratios = [served_ratio(tally, WARM_UP_S, duration_s, c) for c in CallClass]
        rate = tally.flood_good / duration_s
        echo(f"{name:12} " + " ".join(f"{ratio:8.2f}" for ratio in ratios) + f" {rate:8.0f}")


def print_announced_slots(duration_s: int) -> None:
    """Print the goodput when the target announces a wrong number of slots."""
    echo(f"\nannounced slots differ from the true {SLOTS}, load 2.0, goodput/s from 20 s on")
    echo("announced   fixed limit   pollenbay")
    for slots in (5, 10, 20, 40, 80):
        figures = []
        for make_control in (FixedLimit, GateControl):
            scenario = Scenario(duration_s, partial(constant, 2.0), attempts=RETRYING_ATTEMPTS)
            figures.append(goodput(Loop(scenario, make_control(slots), SEED).run(), 20, duration_s))
        echo(f"{slots:9} {figures[0]:13.0f} {figures[1]:11.0f}")


@command()
@option("--quick", is_flag=True, help="Shorter runs, to see that it works.")
def main(quick: bool) -> None:
    """Print all tables."""
    duration_s = 10 if quick else 30
    print_load_table(duration_s, 1)
    print_load_table(duration_s, RETRYING_ATTEMPTS)
    slow = partial(during_period, 20.0, 50.0, 10.0, 1.0)
    scenario = Scenario(90.0, partial(constant, 0.8), slow, attempts=RETRYING_ATTEMPTS)
    print_recovery("10 times slower for 30 s, load 0.8, hard retriers", scenario, 20, 50)
    surge = partial(during_period, 20.0, 40.0, 5.0, 0.8)
    scenario = Scenario(80.0, surge, attempts=RETRYING_ATTEMPTS)
    print_recovery("surge to 5.0 for 20 s, load 0.8, hard retriers", scenario, 20, 40)
    print_flood(duration_s, CallClass.SHEDDABLE)
    print_flood(duration_s, CallClass.CRITICAL)
    print_announced_slots(30 if quick else 60)


if __name__ == "__main__":
    main()
