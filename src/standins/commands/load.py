"""Changes to the state of the load tool."""

from collections.abc import Iterator
from contextlib import contextmanager

from standins.load_state import Ending, LoadState, Refusal


def note_ending(state: LoadState, ending: Ending) -> None:
    """Note the end of a request."""
    state.endings.append(ending)


def note_refusal(state: LoadState, refusal: Refusal) -> None:
    """Count an attempt that a node refused or lost sight of."""
    state.refusals[refusal] += 1


@contextmanager
def in_flight(state: LoadState) -> Iterator[None]:
    """Count a request as in flight for the length of the block."""
    state.in_flight += 1
    try:
        yield
    finally:
        state.in_flight -= 1
