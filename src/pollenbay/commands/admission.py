"""Admission decisions at the gate of a target: admit, queue or reject; release; expire; clear.

Functions return the waiters that they granted or rejected; the caller sets the events of these.
"""

from itertools import islice

from pollenbay.admissionqueue import priority_of
from pollenbay.gate import Arrival, Gate, Refusal, Ticket, Waiter
from pollenbay.queries.admission import (
    can_end_before_cut,
    can_meet_deadline,
    expected_run_s,
    has_slot,
)
from pollenbay.states import CallClass, Reason

#: Maximum number of waiters checked, oldest first, for one whose caller exceeds its share.
EVICTION_CANDIDATES_MAX = 8
#: Maximum queueing delay of a call that is not critical while its priority queue is persistently
#: non-empty; it may wait longer only if its expected run time is longer.
STANDING_QUEUE_WAIT_MAX_S = 0.15
#: Time after which a call that a stopping node refused may be retried: short, because another node
#: accepts calls immediately.
DRAINING_RETRY_S = 0.05


def admit(gate: Gate, arrival: Arrival, now: float) -> Ticket | Waiter | Refusal:
    """Admit, queue or reject an arrival.

    A `Waiter` may have displaced another one, whose event the caller must set.
    """
    rank = arrival.call_class.rank
    gate.shedding.record_arrival(rank, now)
    if not can_meet_deadline(gate, arrival, now):
        return _make_refusal(gate, arrival, Reason.DEADLINE)
    if not can_end_before_cut(gate, arrival, now):
        return _make_refusal(gate, arrival, Reason.DRAINING)
    if has_slot(gate) and not gate.queue:
        return _admit_now(gate, arrival, now)
    over_share = gate.shares.is_over_share(rank, arrival.caller, gate.limit.value)
    waiter = Waiter(arrival, priority_of(rank, over_share))
    if len(gate.queue) >= gate.queue_capacity:
        waiter.displaced = _evict_for(gate, waiter, now)
        if waiter.displaced is None:
            reason = Reason.CALLER_SHARE if over_share else Reason.OVERLOAD
            return _make_refusal(gate, arrival, reason)
    return _enqueue(gate, waiter, now)


def release(
    gate: Gate,
    ticket: Ticket,
    latency_s: float,
    ok: bool,
    now: float,
    self_time_s: float | None = None,
) -> list[Waiter]:
    """Release a ticket and return the waiters that were granted or rejected as a result.

    :param latency_s: seconds from sending the call to the end of its response.
    :param ok: whether the target responded successfully; False if the call was cut short or failed.
    :param self_time_s: seconds of the latency that the target spent itself. Waiting for nested
        calls is excluded, since it does not indicate how many calls the target can run. None if
        not known, in which case the whole latency counts.
    """
    if ticket.released:
        return []
    arrival = ticket.arrival
    rank = arrival.call_class.rank
    gate.limit.observe(rank, latency_s, ok, gate.in_flight, now, self_time_s)
    gate.run_times.record(arrival.name, latency_s, ok, now)
    _free_slot(gate, ticket)
    return _grant_free_slots(gate, now)


def abandon(gate: Gate, waiter: Waiter, now: float) -> list[Waiter]:
    """Remove a waiter that gave up, or release the ticket that it was granted meanwhile.

    Returns the waiters that were granted or rejected as a result.
    """
    if isinstance(waiter.decision, Ticket):
        if waiter.decision.released:
            return []
        _free_slot(gate, waiter.decision)
        return _grant_free_slots(gate, now)
    if waiter.decision is None and gate.queue.remove(waiter):
        _reject_waiter(gate, waiter, Reason.CANCELLED)
    return []


def expire(gate: Gate, now: float) -> list[Waiter]:
    """Reject waiters that can no longer start or waited too long, and fill free slots.

    Returns the waiters that were granted or rejected.
    """
    gate.shedding.end_period(now)
    settled = []
    for waiter in list(gate.queue):
        reason = _drop_reason(gate, waiter, now)
        if reason is not None:
            gate.queue.remove(waiter)
            _reject_waiter(gate, waiter, reason)
            settled.append(waiter)
    return settled + _grant_free_slots(gate, now)


def begin_stop(gate: Gate, cuts_at: float) -> None:
    """From now on start only calls that are expected to end before the stop cuts them.

    Waiters that can no longer start are rejected by the next `expire`.

    :param cuts_at: monotonic seconds at which running calls are cut.
    """
    gate.set_cut(cuts_at)


def clear_queue(gate: Gate) -> list[Waiter]:
    """Reject all waiters because the node is stopping, and return them.

    Another node can start them at once; here they might be cut short by the end of the stop.
    """
    waiters = list(gate.queue)
    for waiter in waiters:
        gate.queue.remove(waiter)
        _reject_waiter(gate, waiter, Reason.DRAINING)
    return waiters


def set_slots(gate: Gate, slots: int) -> None:
    """Apply a new number of announced slots; added slots are filled by the next `expire`."""
    gate.limit.set_slots(slots)


def start_cold(gate: Gate, now: float) -> None:
    """Restart the concurrency limit for a target that has just started and is cold."""
    gate.limit.start_cold(now)
    gate.run_times.discard()


def _drop_reason(gate: Gate, waiter: Waiter, now: float) -> Reason | None:
    # A call that can no longer be served in time only occupies slots upstream.
    reason = _start_refusal(gate, waiter.arrival, now)
    if reason is None and _waited_too_long(gate, waiter, now):
        return Reason.QUEUE_TIMEOUT
    return reason


def _start_refusal(gate: Gate, arrival: Arrival, now: float) -> Reason | None:
    if not can_meet_deadline(gate, arrival, now):
        return Reason.QUEUE_TIMEOUT
    if not can_end_before_cut(gate, arrival, now):
        return Reason.DRAINING
    return None


def _waited_too_long(gate: Gate, waiter: Waiter, now: float) -> bool:
    arrival = waiter.arrival
    if arrival.call_class is CallClass.CRITICAL:
        return False
    if not gate.queue.queues[waiter.priority].serves_newest_first(now):
        return False
    expected_s = expected_run_s(gate, arrival)
    return 0.0 < expected_s and now - arrival.arrived_at > max(
        expected_s, STANDING_QUEUE_WAIT_MAX_S
    )


def _evict_for(gate: Gate, newcomer: Waiter, now: float) -> Waiter | None:
    candidate = _eviction_candidate(gate, newcomer, now)
    if candidate is not None:
        gate.queue.remove(candidate)
        _reject_waiter(gate, candidate, Reason.OVERLOAD)
    return candidate


def _eviction_candidate(gate: Gate, newcomer: Waiter, now: float) -> Waiter | None:
    last = gate.queue.peek_last(now)
    if last is None or last.priority < newcomer.priority:
        return None
    queue = gate.queue.queues[last.priority]
    if last.priority > newcomer.priority or queue.serves_newest_first(now):
        return last
    rank, limit = newcomer.arrival.call_class.rank, gate.limit.value
    caller = newcomer.arrival.caller
    for waiter in islice(queue, EVICTION_CANDIDATES_MAX):
        if gate.shares.yields_to(rank, waiter.arrival.caller, caller, limit):
            return waiter
    return None


def _enqueue(gate: Gate, waiter: Waiter, now: float) -> Waiter:
    gate.queue.add(waiter, now)
    gate.shares.add(waiter.arrival.call_class.rank, waiter.arrival.caller)
    return waiter


def _admit_now(gate: Gate, arrival: Arrival, now: float) -> Ticket:
    gate.shares.add(arrival.call_class.rank, arrival.caller)
    return _issue_ticket(gate, arrival, now)


def _issue_ticket(gate: Gate, arrival: Arrival, now: float) -> Ticket:
    rank = arrival.call_class.rank
    gate.begin_call(arrival.name)
    gate.shedding.record_grant(rank)
    if arrival.deadline - now < expected_run_s(gate, arrival):
        gate.run_times.record_probe(arrival.name, now)
    return Ticket(arrival, now)


def _free_slot(gate: Gate, ticket: Ticket) -> None:
    ticket.released = True
    gate.end_call(ticket.arrival.name)
    gate.shares.remove(ticket.arrival.call_class.rank, ticket.arrival.caller)


def _grant_free_slots(gate: Gate, now: float) -> list[Waiter]:
    settled: list[Waiter] = []
    while has_slot(gate):
        waiter = gate.queue.pop(now)
        if waiter is None:
            gate.shedding.record_free_slot()
            break
        if _should_demote(gate, waiter):
            waiter.priority += 1
            gate.queue.add(waiter, now)
            continue
        reason = _start_refusal(gate, waiter.arrival, now)
        if reason is None:
            waiter.decision = _issue_ticket(gate, waiter.arrival, now)
        else:
            _reject_waiter(gate, waiter, reason)
        settled.append(waiter)
    return settled


def _should_demote(gate: Gate, waiter: Waiter) -> bool:
    # Other callers may have arrived since the waiter was queued and reduced its caller's share.
    rank = waiter.arrival.call_class.rank
    if waiter.priority != priority_of(rank, over_share=False):
        return False
    return gate.shares.is_over_share(rank, waiter.arrival.caller, gate.limit.value)


def _reject_waiter(gate: Gate, waiter: Waiter, reason: Reason) -> None:
    gate.shares.remove(waiter.arrival.call_class.rank, waiter.arrival.caller)
    waiter.decision = _make_refusal(gate, waiter.arrival, reason)


def _make_refusal(gate: Gate, arrival: Arrival, reason: Reason) -> Refusal:
    if reason is Reason.DRAINING:
        return Refusal(reason, DRAINING_RETRY_S)
    return Refusal(reason, gate.shedding.retry_after_s(arrival.call_class.rank))
