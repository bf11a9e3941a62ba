"""Changes to the state of the load generator."""

from collections.abc import Iterator
from contextlib import contextmanager

from standins.load_state import LoadState, Refusal, RequestRecord


def record_request(state: LoadState, request_record: RequestRecord) -> None:
    """Record a finished request."""
    state.request_records.append(request_record)


def record_refusal(state: LoadState, refusal: Refusal) -> None:
    """Count an attempt for which a node reported a reason."""
    state.refusals[refusal] += 1


@contextmanager
def track_in_flight(state: LoadState) -> Iterator[None]:
    """Count a request as in flight while the block runs."""
    state.in_flight += 1
    try:
        yield
    finally:
        state.in_flight -= 1
