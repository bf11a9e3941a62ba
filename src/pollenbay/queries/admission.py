"""Questions about a gate that decisions and reports need."""

from pollenbay.gate import Arrival, Gate
from pollenbay.view import Load

#: Latencies older than this are not held against a call; one call is let through to measure.
LATENCY_VALID_S = 1.0


def load(gate: Gate) -> Load:
    """Return the load to report of the target."""
    return Load(
        in_flight=gate.in_flight,
        limit=gate.limit.value,
        queued=len(gate.line),
        admitted_rank=gate.shedding.admitted_rank,
    )


def taken_part(gate: Gate) -> float:
    """Return the calls that run or wait, as a part of those that may run."""
    return (gate.in_flight + len(gate.line)) / gate.limit.value


def has_slot(gate: Gate) -> bool:
    """Tell whether another call may run now."""
    return gate.in_flight < gate.limit.value


def needed_s(gate: Gate, arrival: Arrival) -> float:
    """Return the seconds that a call is expected to take once it runs."""
    return arrival.expected_s or gate.limit.means_s[arrival.call_class.rank]


def can_meet_deadline(gate: Gate, arrival: Arrival, now: float) -> bool:
    """Tell whether a call that began now would be answered in time."""
    left_s = arrival.deadline - now
    if left_s <= 0.0:
        return False
    if left_s >= needed_s(gate, arrival):
        return True
    return now - gate.limit.sampled_at[arrival.call_class.rank] > LATENCY_VALID_S
