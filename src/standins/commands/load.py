"""Changes to the state of the load tool."""

from collections.abc import Iterator
from contextlib import contextmanager

from standins.load_state import Ending, LoadState


def note_ending(state: LoadState, ending: Ending) -> None:
    """Note the end of a request."""
    state.endings.append(ending)


@contextmanager
def in_flight(state: LoadState) -> Iterator[None]:
    """Count a request as in flight for the length of the block."""
    state.in_flight += 1
    try:
        yield
    finally:
        state.in_flight -= 1
