"""Changes to the state of the load generator."""

from collections.abc import Iterator
from contextlib import contextmanager

from standins.load_state import Ending, LoadState, Refusal


def note_ending(state: LoadState, ending: Ending) -> None:
    """Record a finished request."""
    state.endings.append(ending)


def note_refusal(state: LoadState, refusal: Refusal) -> None:
    """Count an attempt for which a node reported a reason."""
    state.refusals[refusal] += 1


@contextmanager
def in_flight(state: LoadState) -> Iterator[None]:
    """Count a request as in flight while the block runs."""
    state.in_flight += 1
    try:
        yield
    finally:
        state.in_flight -= 1
