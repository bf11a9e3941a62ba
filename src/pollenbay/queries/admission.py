"""Queries about the gate of a target, for decisions and reports."""

from pollenbay.gate import Arrival, Gate
from pollenbay.view import TargetLoad

#: Maximum age of a latency that may reject a call; past it one call is admitted to measure again.
LATENCY_VALID_S = 1.0
#: Ratio of the time until running calls are cut to the expected run time of a call that may still
#: start: run times vary around the mean.
CUT_MARGIN_RATIO = 2.0


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
    return arrival.expected_service_s or gate.run_times.get(arrival.name).mean_s


def can_meet_deadline(gate: Gate, arrival: Arrival, now: float) -> bool:
    """Return whether a call that starts now is expected to complete by its deadline.

    Also true when the run time of the call has to be measured again: because it is out of date, or
    because the last of these calls failed and none is running that would show a recovery.
    """
    time_left_s = arrival.deadline - now
    if time_left_s <= 0.0:
        return False
    if time_left_s >= expected_run_s(gate, arrival):
        return True
    run_time = gate.run_times.get(arrival.name)
    if run_time.failed and not run_time.running:
        return True
    return now - run_time.sampled_at > LATENCY_VALID_S


def can_end_before_cut(gate: Gate, arrival: Arrival, now: float) -> bool:
    """Return whether a call that starts now is expected to end before a stop cuts running calls.

    If its run time is not known, only its deadline can show that.
    """
    if arrival.deadline <= gate.cuts_at:
        return True
    expected_s = expected_run_s(gate, arrival)
    return 0.0 < expected_s and now + CUT_MARGIN_RATIO * expected_s <= gate.cuts_at
