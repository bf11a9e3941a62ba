"""Decisions at the gate of a target: admit, queue or refuse; release; expire.

Functions return the waiters that they settled; the caller sets the events of these.
"""

from itertools import islice

from pollenbay.gate import Arrival, Gate, Refusal, Ticket, Waiter
from pollenbay.queries.admission import can_meet_deadline, has_slot, needed_s
from pollenbay.states import CallClass, Reason
from pollenbay.waiting import level_of

#: Waiters looked at to find one whose caller has more than its share.
OLDEST_TRIED = 8
#: Once its level has not been empty for long, a call that is not critical waits for this time or
#: for as long as it would run.
STANDING_WAIT_S = 0.15


def admit(gate: Gate, arrival: Arrival, now: float) -> Ticket | Waiter | Refusal:
    """Let an arrival in, queue it or refuse it.

    A `Waiter` may have displaced another one, whose event has to be set.
    """
    rank = arrival.call_class.rank
    gate.shedding.arrive(rank, now)
    if not can_meet_deadline(gate, arrival, now):
        return _refusal(gate, arrival, Reason.DEADLINE)
    if has_slot(gate) and not gate.line:
        return _enter(gate, arrival, now)
    over_share = gate.shares.over_share(rank, arrival.caller, gate.limit.value)
    waiter = Waiter(arrival, level_of(rank, over_share))
    if len(gate.line) >= gate.queue_bound:
        waiter.displaced = _take_place(gate, waiter, now)
        if waiter.displaced is None:
            reason = Reason.CALLER_SHARE if over_share else Reason.OVERLOAD
            return _refusal(gate, arrival, reason)
    return _queue(gate, waiter, now)


def release(
    gate: Gate,
    ticket: Ticket,
    latency_s: float,
    ok: bool,
    now: float,
    own_s: float | None = None,
) -> list[Waiter]:
    """Take a ticket back and return the waiters that were settled by it.

    :param latency_s: seconds from the sending of the call to the end of its answer.
    :param ok: whether the target answered; a call cut short or failed is not ok.
    :param own_s: seconds of it that the target spent itself, without waiting for calls of its
        own, which say nothing of how many calls it can run; all of it if not known.
    """
    if ticket.released:
        return []
    arrival = ticket.arrival
    rank = arrival.call_class.rank
    gate.limit.observe(rank, latency_s, ok, gate.in_flight, now, own_s)
    _give_up_slot(gate, ticket)
    return _grant(gate, now)


def abandon(gate: Gate, waiter: Waiter, now: float) -> list[Waiter]:
    """Take a waiter out that gave up, or its ticket if it was granted meanwhile."""
    if isinstance(waiter.decision, Ticket):
        if waiter.decision.released:
            return []
        _give_up_slot(gate, waiter.decision)
        return _grant(gate, now)
    if waiter.decision is None and gate.line.remove(waiter):
        _refuse(gate, waiter, Reason.CANCELLED)
    return []


def expire(gate: Gate, now: float) -> list[Waiter]:
    """Drop waiters that cannot make their deadline or wait in vain, and fill free slots."""
    gate.shedding.end_period(now)
    settled = [waiter for waiter in gate.line if _is_beyond_help(gate, waiter, now)]
    for waiter in settled:
        gate.line.remove(waiter)
        _refuse(gate, waiter, Reason.QUEUE_TIMEOUT)
    return settled + _grant(gate, now)


def set_slots(gate: Gate, slots: int) -> None:
    """Adapt to other announced slots; slots won are filled at the next `expire`."""
    gate.limit.set_slots(slots)


def resume(gate: Gate, now: float) -> None:
    """Begin anew with a target that has just started and is cold."""
    gate.limit.start_cold(now)


def _is_beyond_help(gate: Gate, waiter: Waiter, now: float) -> bool:
    """Tell whether a waiter only holds slots of those that called it."""
    arrival = waiter.arrival
    if not can_meet_deadline(gate, arrival, now):
        return True
    if arrival.call_class is CallClass.CRITICAL:
        return False
    if not gate.line.levels[waiter.level].newest_first(now):
        return False
    expected_s = needed_s(gate, arrival)
    return 0.0 < expected_s and now - arrival.arrived_at > max(expected_s, STANDING_WAIT_S)


def _take_place(gate: Gate, newcomer: Waiter, now: float) -> Waiter | None:
    victim = _victim(gate, newcomer, now)
    if victim is not None:
        gate.line.remove(victim)
        _refuse(gate, victim, Reason.OVERLOAD)
    return victim


def _victim(gate: Gate, newcomer: Waiter, now: float) -> Waiter | None:
    last = gate.line.last(now)
    if last is None or last.level < newcomer.level:
        return None
    level = gate.line.levels[last.level]
    if last.level > newcomer.level or level.newest_first(now):
        return last
    rank, limit = newcomer.arrival.call_class.rank, gate.limit.value
    caller = newcomer.arrival.caller
    for waiter in islice(level, OLDEST_TRIED):
        if gate.shares.yields_to(rank, waiter.arrival.caller, caller, limit):
            return waiter
    return None


def _queue(gate: Gate, waiter: Waiter, now: float) -> Waiter:
    gate.line.add(waiter, now)
    gate.shares.add(waiter.arrival.call_class.rank, waiter.arrival.caller)
    return waiter


def _enter(gate: Gate, arrival: Arrival, now: float) -> Ticket:
    gate.shares.add(arrival.call_class.rank, arrival.caller)
    return _ticket(gate, arrival, now)


def _ticket(gate: Gate, arrival: Arrival, now: float) -> Ticket:
    rank = arrival.call_class.rank
    gate.enter()
    gate.shedding.grant(rank)
    if arrival.deadline - now < needed_s(gate, arrival):
        gate.limit.touch(rank, now)
    return Ticket(arrival, now)


def _give_up_slot(gate: Gate, ticket: Ticket) -> None:
    ticket.released = True
    gate.leave()
    gate.shares.remove(ticket.arrival.call_class.rank, ticket.arrival.caller)


def _grant(gate: Gate, now: float) -> list[Waiter]:
    settled: list[Waiter] = []
    while has_slot(gate):
        waiter = gate.line.pop(now)
        if waiter is None:
            gate.shedding.note_spare()
            break
        if _falls_behind(gate, waiter):
            waiter.level += 1
            gate.line.add(waiter, now)
            continue
        if can_meet_deadline(gate, waiter.arrival, now):
            waiter.decision = _ticket(gate, waiter.arrival, now)
        else:
            _refuse(gate, waiter, Reason.QUEUE_TIMEOUT)
        settled.append(waiter)
    return settled


def _falls_behind(gate: Gate, waiter: Waiter) -> bool:
    """Tell whether others have come since a waiter was queued, so that its caller has too much."""
    rank = waiter.arrival.call_class.rank
    if waiter.level != level_of(rank, over_share=False):
        return False
    return gate.shares.over_share(rank, waiter.arrival.caller, gate.limit.value)


def _refuse(gate: Gate, waiter: Waiter, reason: Reason) -> None:
    gate.shares.remove(waiter.arrival.call_class.rank, waiter.arrival.caller)
    waiter.decision = _refusal(gate, waiter.arrival, reason)


def _refusal(gate: Gate, arrival: Arrival, reason: Reason) -> Refusal:
    return Refusal(reason, gate.shedding.retry_after_s(arrival.call_class.rank))
