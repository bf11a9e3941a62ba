"""Tests of the admission decisions at the gate."""

from pollenbay.admissionqueue import NEWEST_FIRST_AFTER_S
from pollenbay.commands.admission import (
    DRAINING_RETRY_S,
    STANDING_QUEUE_WAIT_MAX_S,
    abandon,
    admit,
    begin_stop,
    clear_queue,
    expire,
    release,
    set_slots,
    start_cold,
)
from pollenbay.gate import (
    QUEUE_PLACES_MAX,
    QUEUE_PLACES_MIN,
    Arrival,
    Gate,
    Refusal,
    Ticket,
    Waiter,
    make_gate,
)
from pollenbay.ids import CallerId, CallName
from pollenbay.queries.admission import CUT_MARGIN_RATIO, LATENCY_VALID_S, load
from pollenbay.states import CallClass, Reason

NOW = 50.0


def make_arrival(
    call_class: CallClass = CallClass.NORMAL,
    caller: str = "driver",
    wait_s: float = 10.0,
    expected_s: float = 0.0,
    name: str = "",
) -> Arrival:
    return Arrival(call_class, CallerId(caller), NOW + wait_s, NOW, expected_s, CallName(name))


def fill_slots(gate: Gate, call_class: CallClass = CallClass.NORMAL) -> list[Ticket]:
    tickets = []
    for index in range(gate.limit.value):
        ticket = admit(gate, make_arrival(call_class, f"holder-{index}"), NOW)
        assert isinstance(ticket, Ticket)
        tickets.append(ticket)
    return tickets


def queue_calls(
    gate: Gate, count: int, call_class: CallClass, prefix: str = "waiter"
) -> list[Waiter]:
    waiters = []
    for index in range(count):
        waiter = admit(gate, make_arrival(call_class, f"{prefix}-{index}"), NOW)
        assert isinstance(waiter, Waiter)
        waiters.append(waiter)
    return waiters


class TestClasses:
    def test_critical_call_is_served_before_earlier_arrivals(self) -> None:
        gate = make_gate(1)
        (ticket,) = fill_slots(gate)
        queue_calls(gate, 2, CallClass.SHEDDABLE)
        queue_calls(gate, 1, CallClass.NORMAL)
        (critical,) = queue_calls(gate, 1, CallClass.CRITICAL)
        assert release(gate, ticket, 0.1, True, NOW) == [critical]

    def test_critical_call_evicts_a_queued_sheddable_call(self) -> None:
        gate = make_gate(1)
        fill_slots(gate)
        queue_calls(gate, QUEUE_PLACES_MIN - 1, CallClass.NORMAL)
        (sheddable,) = queue_calls(gate, 1, CallClass.SHEDDABLE, "poller")
        newcomer = admit(gate, make_arrival(CallClass.CRITICAL, "mill"), NOW)
        assert isinstance(newcomer, Waiter)
        assert newcomer.displaced is sheddable
        assert isinstance(sheddable.decision, Refusal)
        assert sheddable.decision.reason is Reason.OVERLOAD

    def test_sheddable_call_is_refused_while_critical_calls_fill_the_queue(self) -> None:
        gate = make_gate(1)
        fill_slots(gate)
        queue_calls(gate, QUEUE_PLACES_MIN, CallClass.CRITICAL)
        refusal = admit(gate, make_arrival(CallClass.SHEDDABLE, "poller"), NOW)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is Reason.OVERLOAD

    def test_newest_first_order_does_not_let_a_lesser_class_evict_critical_calls(self) -> None:
        gate = make_gate(1)
        fill_slots(gate)
        queue_calls(gate, QUEUE_PLACES_MIN, CallClass.CRITICAL)
        later = NOW + 2 * NEWEST_FIRST_AFTER_S
        assert isinstance(admit(gate, make_arrival(CallClass.SHEDDABLE, "poller"), later), Refusal)
        newest = admit(gate, make_arrival(CallClass.CRITICAL, "mill"), later)
        assert isinstance(newest, Waiter) and newest.displaced is not None

    def test_no_critical_call_is_refused_while_a_lesser_class_is_queued(self) -> None:
        gate = make_gate(2)
        fill_slots(gate, CallClass.SHEDDABLE)
        queue_calls(gate, QUEUE_PLACES_MIN, CallClass.SHEDDABLE)
        for index in range(QUEUE_PLACES_MIN):
            decision = admit(gate, make_arrival(CallClass.CRITICAL, f"mill-{index}"), NOW)
            assert isinstance(decision, Waiter)
        assert all(waiter.arrival.call_class is CallClass.CRITICAL for waiter in gate.queue)


class TestDeadlines:
    def test_slow_calls_do_not_refuse_other_calls_of_their_class(self) -> None:
        gate = make_gate(4)
        for _ in range(10):
            booking = admit(gate, make_arrival(CallClass.CRITICAL, name="book"), NOW)
            assert isinstance(booking, Ticket)
            release(gate, booking, 5.0, True, NOW)
        refusal = admit(gate, make_arrival(CallClass.CRITICAL, wait_s=3.0, name="book"), NOW)
        assert isinstance(refusal, Refusal) and refusal.reason is Reason.DEADLINE
        papers = admit(gate, make_arrival(CallClass.CRITICAL, wait_s=3.0, name="papers"), NOW)
        assert isinstance(papers, Ticket)

    def test_call_is_admitted_after_failures_unless_another_one_runs(self) -> None:
        gate = make_gate(4)
        timed_out = admit(gate, make_arrival(wait_s=3.0), NOW)
        assert isinstance(timed_out, Ticket)
        release(gate, timed_out, 3.0, False, NOW)
        probe = admit(gate, make_arrival(wait_s=2.9), NOW)
        assert isinstance(probe, Ticket)
        assert isinstance(admit(gate, make_arrival(wait_s=2.9), NOW), Refusal)
        release(gate, probe, 0.1, True, NOW)
        assert isinstance(admit(gate, make_arrival(wait_s=0.2), NOW), Ticket)

    def test_expired_call_is_refused(self) -> None:
        refusal = admit(make_gate(1), make_arrival(wait_s=0.0), NOW)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is Reason.DEADLINE

    def test_call_without_time_for_the_expected_latency_is_refused(self) -> None:
        gate = make_gate(4)
        ticket = admit(gate, make_arrival(), NOW)
        assert isinstance(ticket, Ticket)
        release(gate, ticket, 0.5, True, NOW)
        assert isinstance(admit(gate, make_arrival(wait_s=0.4), NOW), Refusal)
        assert isinstance(admit(gate, make_arrival(wait_s=0.6), NOW), Ticket)
        assert isinstance(admit(gate, make_arrival(wait_s=0.6, expected_s=0.7), NOW), Refusal)

    def test_outdated_latency_admits_a_single_probe_call(self) -> None:
        gate = make_gate(4)
        ticket = admit(gate, make_arrival(), NOW)
        assert isinstance(ticket, Ticket)
        release(gate, ticket, 5.0, True, NOW)
        later = NOW + LATENCY_VALID_S + 0.1
        assert isinstance(admit(gate, make_arrival(wait_s=2.0), later), Ticket)
        assert isinstance(admit(gate, make_arrival(wait_s=2.0), later), Refusal)

    def test_waiters_that_cannot_meet_their_deadline_are_dropped(self) -> None:
        gate = make_gate(1)
        (ticket,) = fill_slots(gate)
        late = admit(gate, make_arrival(wait_s=1.0, caller="late"), NOW)
        (remaining,) = queue_calls(gate, 1, CallClass.NORMAL)
        assert expire(gate, NOW + 2.0) == [late]
        assert isinstance(late, Waiter) and isinstance(late.decision, Refusal)
        assert late.decision.reason is Reason.QUEUE_TIMEOUT
        assert release(gate, ticket, 0.1, True, NOW + 2.0) == [remaining]

    def test_no_slot_is_granted_to_a_waiter_past_its_deadline(self) -> None:
        gate = make_gate(1)
        (ticket,) = fill_slots(gate)
        late = admit(gate, make_arrival(wait_s=0.2, caller="late"), NOW)
        (remaining,) = queue_calls(gate, 1, CallClass.NORMAL)
        assert release(gate, ticket, 0.1, True, NOW + 0.3) == [late, remaining]
        assert isinstance(remaining.decision, Ticket)
        assert gate.in_flight == 1


class TestStandingQueue:
    STANDING_AT = NOW + NEWEST_FIRST_AFTER_S + 0.01

    def test_old_waiters_of_a_standing_queue_are_dropped(self) -> None:
        gate = make_gate_with_latency(0.1)
        waiters = queue_calls(gate, 2, CallClass.NORMAL)
        assert expire(gate, NOW + NEWEST_FIRST_AFTER_S) == []
        assert expire(gate, self.STANDING_AT) == waiters
        for waiter in waiters:
            assert isinstance(waiter.decision, Refusal)
            assert waiter.decision.reason is Reason.QUEUE_TIMEOUT

    def test_new_waiters_of_a_standing_queue_are_kept(self) -> None:
        gate = make_gate_with_latency(0.1)
        queue_calls(gate, 1, CallClass.NORMAL)
        late = Arrival(CallClass.NORMAL, CallerId("late"), NOW + 10.0, self.STANDING_AT)
        newest = admit(gate, late, self.STANDING_AT)
        expire(gate, self.STANDING_AT + STANDING_QUEUE_WAIT_MAX_S - 0.01)
        assert list(gate.queue) == [newest]

    def test_maximum_wait_grows_with_the_call_latency(self) -> None:
        gate = make_gate_with_latency(2.0)
        waiters = queue_calls(gate, 1, CallClass.NORMAL)
        assert expire(gate, NOW + 1.9) == []
        assert expire(gate, NOW + 2.1) == waiters

    def test_critical_calls_wait_until_their_deadline(self) -> None:
        gate = make_gate_with_latency(0.1)
        waiters = queue_calls(gate, 2, CallClass.CRITICAL)
        assert expire(gate, NOW + 5.0) == []
        assert expire(gate, NOW + 10.0) == waiters


def make_gate_with_latency(latency_s: float) -> Gate:
    """Return a full gate with a recorded latency for each call class."""
    gate = make_gate(1)
    for call_class in CallClass:
        (ticket,) = fill_slots(gate, call_class)
        release(gate, ticket, latency_s, True, NOW)
    fill_slots(gate)
    return gate


class TestCallers:
    def test_single_caller_may_use_the_whole_capacity(self) -> None:
        gate = make_gate(8)
        decisions = [admit(gate, make_arrival(caller="script"), NOW) for _ in range(16)]
        assert [type(decision) for decision in decisions] == [Ticket] * 8 + [Waiter] * 8
        assert all(waiter.priority == 2 for waiter in gate.queue)

    def test_flooding_caller_does_not_starve_the_others(self) -> None:
        gate = make_gate(8)
        tickets = [admit(gate, make_arrival(caller="script"), NOW) for _ in range(8)]
        for _ in range(100):
            admit(gate, make_arrival(caller="script"), NOW)
        others = [admit(gate, make_arrival(caller=f"shop-{n}"), NOW) for n in range(4)]
        assert all(isinstance(other, Waiter) for other in others)
        for _ in range(100):
            admit(gate, make_arrival(caller="script"), NOW)
        settled = []
        for ticket in tickets[:8]:
            assert isinstance(ticket, Ticket)
            settled += release(gate, ticket, 0.1, True, NOW)
        assert all(other in settled for other in others)

    def test_call_over_its_callers_share_is_refused_with_that_reason(self) -> None:
        gate = make_gate(2)
        fill_slots(gate)
        queue_calls(gate, QUEUE_PLACES_MIN, CallClass.NORMAL)
        refusal = admit(gate, make_arrival(caller="holder-0"), NOW)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is Reason.CALLER_SHARE

    def test_critical_call_over_share_evicts_a_normal_call(self) -> None:
        gate = make_gate(2)
        fill_slots(gate, CallClass.CRITICAL)
        queue_calls(gate, QUEUE_PLACES_MIN, CallClass.NORMAL)
        newcomer = admit(gate, make_arrival(CallClass.CRITICAL, "holder-0"), NOW)
        assert isinstance(newcomer, Waiter)
        assert newcomer.displaced is not None


class TestRelease:
    def test_ticket_is_released_only_once(self) -> None:
        gate = make_gate(1)
        (ticket,) = fill_slots(gate)
        release(gate, ticket, 0.1, True, NOW)
        release(gate, ticket, 0.1, True, NOW)
        assert gate.in_flight == 0

    def test_abandoned_waiter_is_not_granted_a_slot(self) -> None:
        gate = make_gate(1)
        (ticket,) = fill_slots(gate)
        first, second = queue_calls(gate, 2, CallClass.NORMAL)
        assert abandon(gate, first, NOW) == []
        assert release(gate, ticket, 0.1, True, NOW) == [second]

    def test_slot_granted_to_an_abandoned_waiter_passes_to_the_next(self) -> None:
        gate = make_gate(1)
        (ticket,) = fill_slots(gate)
        first, second = queue_calls(gate, 2, CallClass.NORMAL)
        release(gate, ticket, 0.1, True, NOW)
        assert abandon(gate, first, NOW) == [second]
        assert gate.in_flight == 1


class TestOverload:
    def overload_gate(self, gate: Gate, per_period: int, periods: int) -> list[Refusal]:
        refusals = []
        for step in range(per_period * periods):
            now = NOW + 0.5 * step / per_period
            decision = admit(gate, make_arrival(CallClass.SHEDDABLE, f"shop-{step}"), now)
            displaced = decision.displaced if isinstance(decision, Waiter) else None
            refusal = decision if displaced is None else displaced.decision
            if isinstance(refusal, Refusal):
                refusals.append(refusal)
        return refusals

    def test_retry_delay_grows_with_overload(self) -> None:
        gate = make_gate(1)
        fill_slots(gate)
        refusals = self.overload_gate(gate, 40, 10)
        first = sum(refusal.retry_after_s for refusal in refusals[:20])
        last = sum(refusal.retry_after_s for refusal in refusals[-20:])
        assert last > 4 * first

    def test_retry_delay_is_longer_for_less_important_classes(self) -> None:
        gate = make_gate(1)
        waits_s = [
            sum(gate.shedding.retry_after_s(call_class.rank) for _ in range(50))
            for call_class in CallClass
        ]
        assert waits_s == sorted(waits_s)
        assert 2 * waits_s[0] < waits_s[-1]

    def test_unserved_class_is_reported_as_shed_and_later_reopened(self) -> None:
        gate = make_gate(1)
        (ticket,) = fill_slots(gate)
        assert load(gate).admitted_rank == CallClass.SHEDDABLE.rank
        self.overload_gate(gate, 40, 4)
        assert load(gate).admitted_rank < CallClass.SHEDDABLE.rank
        for waiter in list(gate.queue):
            abandon(gate, waiter, NOW)
        release(gate, ticket, 0.1, True, NOW)
        for step in range(1, 10):
            expire(gate, NOW + 3.0 + step)
        assert load(gate).admitted_rank == CallClass.SHEDDABLE.rank

    def test_critical_class_is_never_reported_as_shed(self) -> None:
        gate = make_gate(1)
        fill_slots(gate)
        for step in range(400):
            call_class = list(CallClass)[step % 3]
            admit(gate, make_arrival(call_class, f"shop-{step}"), NOW + step / 50)
        assert load(gate).admitted_rank >= CallClass.CRITICAL.rank


class TestTarget:
    def test_added_slots_are_filled_at_the_next_expiry(self) -> None:
        gate = make_gate(1)
        fill_slots(gate)
        waiters = queue_calls(gate, 2, CallClass.NORMAL)
        set_slots(gate, 3)
        assert expire(gate, NOW) == waiters
        assert load(gate).in_flight == 3

    def test_arrival_does_not_overtake_the_queue_when_slots_are_added(self) -> None:
        gate = make_gate(1)
        fill_slots(gate)
        queue_calls(gate, 1, CallClass.NORMAL)
        set_slots(gate, 3)
        assert isinstance(admit(gate, make_arrival(caller="late"), NOW), Waiter)

    def test_queue_bound_does_not_exceed_its_maximum(self) -> None:
        assert make_gate(100_000).queue_capacity == QUEUE_PLACES_MAX

    def test_cold_target_starts_with_half_of_its_slots(self) -> None:
        gate = make_gate(20)
        start_cold(gate, NOW)
        assert load(gate).limit == 10

    def test_load_reports_in_flight_limit_and_queued(self) -> None:
        gate = make_gate(2)
        fill_slots(gate)
        queue_calls(gate, 3, CallClass.NORMAL)
        report = load(gate)
        assert (report.in_flight, report.limit, report.queued) == (2, 2, 3)


class TestStop:
    # Calls that waited at a stopping node began late in the stop and were cut by its end.
    def test_waiting_calls_are_refused_as_draining_at_once(self) -> None:
        gate = make_gate(1)
        (ticket,) = fill_slots(gate)
        waiters = queue_calls(gate, 2, CallClass.CRITICAL) + queue_calls(gate, 1, CallClass.NORMAL)
        assert set(clear_queue(gate)) == set(waiters)
        refusal = Refusal(Reason.DRAINING, DRAINING_RETRY_S)
        assert [waiter.decision for waiter in waiters] == [refusal] * len(waiters)
        assert (len(gate.queue), gate.in_flight) == (0, 1)
        assert release(gate, ticket, 0.1, True, NOW) == []

    def test_call_whose_end_is_not_in_sight_is_refused_and_others_are_served(self) -> None:
        gate = make_gate(8)
        begin_stop(gate, NOW + 3.0)
        unknown = admit(gate, make_arrival(wait_s=10.0), NOW)
        long = admit(gate, make_arrival(wait_s=10.0, expected_s=3.1 / CUT_MARGIN_RATIO), NOW)
        for refusal in (unknown, long):
            assert refusal == Refusal(Reason.DRAINING, DRAINING_RETRY_S)
        short = admit(gate, make_arrival(wait_s=10.0, expected_s=2.9 / CUT_MARGIN_RATIO), NOW)
        due = admit(gate, make_arrival(wait_s=3.0), NOW)
        assert isinstance(short, Ticket) and isinstance(due, Ticket)

    def test_waiting_call_starts_if_it_can_still_end_and_is_refused_otherwise(self) -> None:
        gate = make_gate(1)
        (ticket,) = fill_slots(gate)
        short, long = (
            admit(gate, make_arrival(CallClass.CRITICAL, wait_s=wait_s, expected_s=expected_s), NOW)
            for wait_s, expected_s in ((20.0, 0.2), (10.0, 1.0))
        )
        assert isinstance(short, Waiter) and isinstance(long, Waiter)
        begin_stop(gate, NOW + 3.0)
        assert expire(gate, NOW) == []
        assert release(gate, ticket, 2.0, True, NOW + 2.0) == [long, short]
        assert long.decision == Refusal(Reason.DRAINING, DRAINING_RETRY_S)
        assert isinstance(short.decision, Ticket)

    def test_waiting_call_that_can_no_longer_end_is_refused_before_its_turn(self) -> None:
        gate = make_gate(1)
        fill_slots(gate)
        waiter = admit(gate, make_arrival(CallClass.CRITICAL, expected_s=1.0), NOW)
        begin_stop(gate, NOW + 3.0)
        assert expire(gate, NOW + 0.9) == []
        assert expire(gate, NOW + 1.1) == [waiter]
        assert waiter.decision == Refusal(Reason.DRAINING, DRAINING_RETRY_S)
