"""Stateful test of the gate: arrivals, releases, abandonment, expiry and changes of the limit."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pollenbay.admissionqueue import PRIORITIES_PER_CLASS
from pollenbay.commands.admission import (
    abandon,
    admit,
    clear_queue,
    expire,
    release,
    set_slots,
    start_cold,
)
from pollenbay.gate import QUEUE_PLACES_MAX, Arrival, Gate, Refusal, Ticket, Waiter, make_gate
from pollenbay.ids import CallerId
from pollenbay.queries.admission import can_meet_deadline, has_slot
from pollenbay.states import CallClass, Reason

SLOTS = 3
CALLERS = [CallerId(name) for name in ("driver", "mill", "shop")]
CLASSES = st.sampled_from(list(CallClass))
SECONDS = st.floats(min_value=0.0, max_value=2.0)


class GateMachine(RuleBasedStateMachine):
    """Compares the gate with a model that tracks all tickets and waiters."""

    def __init__(self) -> None:
        super().__init__()
        self.gate: Gate = make_gate(SLOTS)
        self.now = 100.0
        self.tickets: list[Ticket] = []
        self.waiters: list[Waiter] = []

    @rule(
        call_class=CLASSES,
        caller=st.sampled_from(CALLERS),
        wait_s=st.floats(min_value=-0.5, max_value=3.0),
        expected_s=st.sampled_from([0.0, 0.2, 1.0]),
    )
    def arrive(
        self, call_class: CallClass, caller: CallerId, wait_s: float, expected_s: float
    ) -> None:
        arrival = Arrival(call_class, caller, self.now + wait_s, self.now, expected_s)
        in_flight = self.gate.in_flight
        decision = admit(self.gate, arrival, self.now)
        if isinstance(decision, Ticket):
            assert in_flight < self.gate.limit.value
            assert not self.waiters
            assert wait_s > 0.0
            self.tickets.append(decision)
        elif isinstance(decision, Waiter):
            self.check_queued(decision)
        else:
            self.check_refused(arrival, decision)

    def check_queued(self, waiter: Waiter) -> None:
        assert len(self.gate.queue) <= max(self.gate.queue_capacity, len(self.waiters))
        self.waiters.append(waiter)
        if waiter.displaced is not None:
            assert waiter.displaced.priority >= waiter.priority
            assert isinstance(waiter.displaced.decision, Refusal)
            self.apply_decisions([waiter.displaced])

    def check_refused(self, arrival: Arrival, refusal: Refusal) -> None:
        assert refusal.retry_after_s > 0.0
        if refusal.reason is Reason.DEADLINE:
            assert not can_meet_deadline(self.gate, arrival, self.now)
            return
        assert len(self.waiters) >= self.gate.queue_capacity
        refused_priority = arrival.call_class.rank * PRIORITIES_PER_CLASS + 1
        assert all(waiter.priority <= refused_priority for waiter in self.waiters)

    def apply_decisions(self, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            self.waiters.remove(waiter)
            assert waiter.decision is not None
            if isinstance(waiter.decision, Ticket):
                assert waiter.arrival.deadline > self.now
                self.tickets.append(waiter.decision)
        granted = [w.priority for w in waiters if isinstance(w.decision, Ticket)]
        assert granted == sorted(granted)
        if granted and self.waiters:
            assert max(granted) <= min(waiter.priority for waiter in self.waiters)

    @precondition(lambda self: self.tickets)
    @rule(data=st.data(), latency_s=SECONDS, ok=st.booleans())
    def release_ticket(self, data: st.DataObject, latency_s: float, ok: bool) -> None:
        ticket = self.tickets.pop(data.draw(st.integers(0, len(self.tickets) - 1)))
        self.apply_decisions(release(self.gate, ticket, latency_s, ok, self.now))
        assert release(self.gate, ticket, latency_s, ok, self.now) == []
        self.check_no_free_slot_while_queued()

    @precondition(lambda self: self.waiters)
    @rule(data=st.data())
    def abandon_queued(self, data: st.DataObject) -> None:
        waiter = self.waiters.pop(data.draw(st.integers(0, len(self.waiters) - 1)))
        assert abandon(self.gate, waiter, self.now) == []
        assert isinstance(waiter.decision, Refusal)

    @precondition(lambda self: self.waiters and self.tickets)
    @rule(latency_s=SECONDS)
    def abandon_granted(self, latency_s: float) -> None:
        ticket = self.tickets.pop()
        waiters = release(self.gate, ticket, latency_s, True, self.now)
        self.apply_decisions(waiters)
        for waiter in waiters:
            if isinstance(waiter.decision, Ticket) and waiter.decision in self.tickets:
                self.tickets.remove(waiter.decision)
                self.apply_decisions(abandon(self.gate, waiter, self.now))
                assert abandon(self.gate, waiter, self.now) == []

    @rule(seconds=SECONDS)
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.apply_decisions(expire(self.gate, self.now))
        for waiter in self.waiters:
            assert can_meet_deadline(self.gate, waiter.arrival, self.now)
        self.check_no_free_slot_while_queued()

    @rule()
    def clear_queue_in_a_stop(self) -> None:
        waiters = clear_queue(self.gate)
        assert set(waiters) == set(self.waiters)
        self.apply_decisions(waiters)
        assert not self.waiters

    @rule(slots=st.integers(min_value=0, max_value=8))
    def change_slots(self, slots: int) -> None:
        set_slots(self.gate, slots)

    @rule()
    def restart_target(self) -> None:
        start_cold(self.gate, self.now)

    def check_no_free_slot_while_queued(self) -> None:
        assert not (has_slot(self.gate) and self.waiters)

    @invariant()
    def gate_matches_the_model(self) -> None:
        assert self.gate.in_flight == len(self.tickets)
        assert set(self.gate.queue) == set(self.waiters)
        assert len(self.gate.queue) == len(self.waiters) <= QUEUE_PLACES_MAX
        assert all(waiter.decision is None for waiter in self.waiters)

    @invariant()
    def caller_shares_match_the_model(self) -> None:
        held = [ticket.arrival for ticket in self.tickets]
        queued = [waiter.arrival for waiter in self.waiters]
        for call_class in CallClass:
            callers = {a.caller for a in held + queued if a.call_class is call_class}
            assert self.gate.shares.caller_count(call_class.rank) == len(callers)

    @invariant()
    def limit_stays_in_bounds(self) -> None:
        assert 1 <= self.gate.limit.value <= self.gate.limit.ceiling


TestGateMachine = GateMachine.TestCase
