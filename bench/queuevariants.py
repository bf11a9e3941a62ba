"""Goodput of alternatives for the order and the length of the admission queue.

``PYTHONPATH=src:bench python bench/queuevariants.py`` prints the tables of docs/OVERLOAD.md.
"""

from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial
from unittest.mock import patch

from click import command, echo
from overload import RANDOM_SEED, WARM_UP_S, constant_load, goodput
from simulation import GateControl, Scenario, Simulation

DURATION_S = 25
UNREACHABLE_WAIT_S = 1e9
DEADLINES_S = ((0.1, 0.3), (0.1, 1.0))


@dataclass(frozen=True, slots=True)
class Variant:
    """A configuration to compare.

    :param overrides: replacements for constants of Pollenbay, by dotted path.
    """

    name: str
    overrides: dict[str, float] = field(default_factory=dict)


ORDERS = [
    Variant(
        "least time left", {"pollenbay.admissionqueue.NEWEST_FIRST_AFTER_S": UNREACHABLE_WAIT_S}
    ),
    Variant("newest first", {"pollenbay.admissionqueue.NEWEST_FIRST_AFTER_S": -1.0}),
    Variant("newest first after 0.5 s"),
]
LENGTHS = [Variant(f"{n} per slot", {"pollenbay.gate.QUEUE_LIMIT_RATIO": n}) for n in (0.25, 1, 4)]


def measure(variant: Variant, load: float, deadlines_s: tuple[float, float]) -> float:
    """Return the goodput of a variant in responses per second."""
    with ExitStack() as stack:
        for name, value in variant.overrides.items():
            stack.enter_context(patch(name, value))
        scenario = Scenario(
            DURATION_S, partial(constant_load, load), max_attempts=5, deadlines_s=deadlines_s
        )
        return goodput(
            Simulation(scenario, GateControl(), RANDOM_SEED).run(), WARM_UP_S, DURATION_S
        )


def print_variants(title: str, variants: list[Variant]) -> None:
    """Print the goodput of each variant for several loads and deadlines."""
    echo(f"\n{title}: goodput/s by deadlines (s) and load")
    for variant in variants:
        figures = [
            f"{deadlines_s} x{load}: {measure(variant, load, deadlines_s):4.0f}"
            for deadlines_s in DEADLINES_S
            for load in (0.95, 1.2, 2.0)
        ]
        echo(f"{variant.name:25} " + "  ".join(figures))


@command()
def main() -> None:
    """Print all tables."""
    print_variants("order", ORDERS)
    print_variants("length", LENGTHS)


if __name__ == "__main__":
    main()
