"""Queries about the gate of a target, for decisions and reports."""

from pollenbay.gate import Arrival, Gate
from pollenbay.view import TargetLoad

#: Maximum age of a latency that may reject a call; past it one call is admitted to measure again.
LATENCY_VALID_S = 1.0


def load(gate: Gate) -> TargetLoad:
    """Return the load of the target as the node reports it."""
    return TargetLoad(
        in_flight=gate.in_flight,
        limit=gate.limit.value,
        queued=len(gate.queue),
        admitted_rank=gate.shedding.admitted_rank,
    )


def occupancy(gate: Gate) -> float:
    """Return the occupancy: calls running or queued, as a ratio of the limit."""
    return (gate.in_flight + len(gate.queue)) / gate.limit.value


def has_slot(gate: Gate) -> bool:
    """Return whether another call may run now."""
    return gate.in_flight < gate.limit.value


def expected_run_s(gate: Gate, arrival: Arrival) -> float:
    """Return the expected run time of a call in seconds; 0 if not known."""
    return arrival.expected_service_s or gate.limit.mean_latencies_s[arrival.call_class.rank]


def can_meet_deadline(gate: Gate, arrival: Arrival, now: float) -> bool:
    """Return whether a call that starts now is expected to complete by its deadline.

    Also true when the latency of its class is out of date, so that it is measured again.
    """
    time_left_s = arrival.deadline - now
    if time_left_s <= 0.0:
        return False
    if time_left_s >= expected_run_s(gate, arrival):
        return True
    return now - gate.limit.sampled_at[arrival.call_class.rank] > LATENCY_VALID_S
