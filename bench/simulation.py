"""A discrete-event simulation that drives the admission decisions of one service.

The service slows down when it runs more calls than it has slots. Callers time out at their
deadline and may retry without backoff; a call that timed out still runs unless it is dropped from
the queue.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod
from heapq import heappop, heappush
from itertools import count
from random import Random

from pollenbay.commands.admission import abandon, admit, expire, release
from pollenbay.gate import Arrival, Refusal, Ticket, Waiter, make_gate
from pollenbay.ids import CallerId
from pollenbay.states import CallClass

SLOTS = 20
SERVICE_S = 0.05
OVERLOAD_EXPONENT = 1.5
DEADLINE_S = 1.0
CALLERS = 200
CLASS_RATIOS = {CallClass.CRITICAL: 0.2, CallClass.NORMAL: 0.3, CallClass.SHEDDABLE: 0.5}
SERVICE_CAPACITY_PER_S = SLOTS / SERVICE_S
RETRY_DELAY_S = 0.05
TICK_PERIOD_S = 0.05
QUEUED_CALLS_PER_SLOT = 5


@dataclass(slots=True, eq=False)
class Request:
    """One request of a caller, over all of its attempts."""

    call_class: CallClass
    caller: CallerId
    attempts: int = 0


@dataclass(slots=True, eq=False)
class Call:
    """One attempt of a request."""

    request: Request
    arrival: Arrival
    admission: Ticket | Waiter | None = None
    running: bool = False
    ended: bool = False


@dataclass(slots=True)
class Scenario:
    """Load on the service and its speed over time.

    :param offered_load: offered first attempts as a multiple of the capacity, by time in seconds.
    :param slowdown: multiple of the service time, by time in seconds.
    :param max_attempts: maximum number of attempts of one request.
    :param deadlines_s: bounds of the time that a caller waits for a response.
    :param flood_calls_per_s: calls per second of one additional, flooding caller.
    :param flood_class: class of the flooding calls.
    """

    duration_s: float
    offered_load: Callable[[float], float]
    slowdown: Callable[[float], float] = lambda now: 1.0
    max_attempts: int = 1
    deadlines_s: tuple[float, float] = (DEADLINE_S, DEADLINE_S)
    flood_calls_per_s: float = 0.0
    flood_class: CallClass = CallClass.SHEDDABLE


@dataclass(slots=True)
class SimulationCounts:
    """Counts by second and class; the flooding caller is counted separately.

    :param responses_in_time: responses before the deadline.
    :param offered: first attempts.
    :param executed_calls: calls that ran to their end, including those that had timed out.
    """

    responses_in_time: dict[tuple[int, CallClass], int] = field(
        default_factory=lambda: defaultdict(int)
    )
    offered: dict[tuple[int, CallClass], int] = field(default_factory=lambda: defaultdict(int))
    flood_responses_in_time: int = 0
    executed_calls: int = 0


class NoControl:
    """No limit: every call starts on arrival."""

    def arrive(self, call: Call, now: float) -> list[Call]:
        """Return the calls that start now."""
        return [call]

    def finish(self, call: Call, latency_s: float, ok: bool, now: float) -> list[Call]:
        """Return the calls that start now."""
        return []

    def give_up(self, call: Call, now: float) -> list[Call]:
        """Return the calls that start now."""
        return []

    def tick(self, now: float) -> list[Call]:
        """Return the calls that start now."""
        return []


class FixedLimitControl(NoControl):
    """A fixed concurrency limit and a bounded FIFO queue."""

    def __init__(self, slots: int = SLOTS) -> None:
        self._slots = slots
        self._running = 0
        self._queue: list[Call] = []

    def arrive(self, call: Call, now: float) -> list[Call]:
        """Return the calls that start now."""
        if self._running < self._slots:
            self._running += 1
            return [call]
        if len(self._queue) < self._slots * QUEUED_CALLS_PER_SLOT:
            self._queue.append(call)
            return []
        call.ended = True
        return []

    def finish(self, call: Call, latency_s: float, ok: bool, now: float) -> list[Call]:
        """Return the calls that start now."""
        if self._queue:
            return [self._queue.pop(0)]
        self._running -= 1
        return []


class GateControl(NoControl):
    """The admission gate of Pollenbay."""

    def __init__(self, slots: int = SLOTS) -> None:
        self.gate = make_gate(slots)
        self._waiting_calls: dict[Waiter, Call] = {}

    def arrive(self, call: Call, now: float) -> list[Call]:
        """Return the calls that start now."""
        return self._apply_decision(admit(self.gate, call.arrival, now), call)

    def finish(self, call: Call, latency_s: float, ok: bool, now: float) -> list[Call]:
        """Return the calls that start now."""
        ticket = call.admission
        assert isinstance(ticket, Ticket)
        return self._end_waiting(release(self.gate, ticket, latency_s, ok, now))

    def give_up(self, call: Call, now: float) -> list[Call]:
        """Return the calls that start now."""
        if isinstance(call.admission, Waiter):
            self._waiting_calls.pop(call.admission, None)
            return self._end_waiting(abandon(self.gate, call.admission, now))
        return []

    def tick(self, now: float) -> list[Call]:
        """Return the calls that start now."""
        return self._end_waiting(expire(self.gate, now))

    @singledispatchmethod
    def _apply_decision(self, decision: object, call: Call) -> list[Call]:
        raise TypeError(type(decision).__name__)

    @_apply_decision.register
    def _(self, decision: Ticket, call: Call) -> list[Call]:
        call.admission = decision
        return [call]

    @_apply_decision.register
    def _(self, decision: Refusal, call: Call) -> list[Call]:
        call.ended = True
        return []

    @_apply_decision.register
    def _(self, decision: Waiter, call: Call) -> list[Call]:
        call.admission = decision
        self._waiting_calls[decision] = call
        if decision.displaced is not None:
            self._end_waiting([decision.displaced])
        return []

    def _end_waiting(self, waiters: list[Waiter]) -> list[Call]:
        started = []
        for waiter in waiters:
            call = self._waiting_calls.pop(waiter)
            if isinstance(waiter.decision, Ticket):
                call.admission = waiter.decision
                started.append(call)
            else:
                call.ended = True
        return started


class Simulation:
    """Simulation that processes events in order of time."""

    def __init__(self, scenario: Scenario, control: NoControl, seed: int) -> None:
        self._scenario = scenario
        self._control = control
        self._rng = Random(seed)
        self._service_rng = Random(seed + 1)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = count()
        self._running = 0
        self.counts = SimulationCounts()

    def run(self) -> SimulationCounts:
        """Run the scenario and return the counts."""
        self._schedule(0.0, self._next_request)
        if self._scenario.flood_calls_per_s:
            self._schedule(0.0, self._next_flood)
        self._schedule(TICK_PERIOD_S, self._tick)
        while self._events:
            now, _, event, arguments = heappop(self._events)
            if now > self._scenario.duration_s:
                break
            event(now, *arguments)
        return self.counts

    def _schedule(self, when: float, event: Callable[..., None], *arguments: object) -> None:
        heappush(self._events, (when, next(self._order), event, arguments))

    def _tick(self, now: float) -> None:
        self._start_all(self._control.tick(now), now)
        self._schedule(now + TICK_PERIOD_S, self._tick)

    def _next_request(self, now: float) -> None:
        rate = self._scenario.offered_load(now) * SERVICE_CAPACITY_PER_S
        self._schedule(now + self._rng.expovariate(rate), self._next_request)
        call_class = self._rng.choices(list(CLASS_RATIOS), list(CLASS_RATIOS.values()))[0]
        self.counts.offered[int(now), call_class] += 1
        caller = CallerId(f"caller-{self._rng.randrange(CALLERS)}")
        self._attempt(now, Request(call_class, caller))

    def _next_flood(self, now: float) -> None:
        self._schedule(
            now + self._rng.expovariate(self._scenario.flood_calls_per_s), self._next_flood
        )
        self._attempt(now, Request(self._scenario.flood_class, CallerId("flood")))

    def _attempt(self, now: float, request: Request) -> None:
        request.attempts += 1
        arrival = Arrival(request.call_class, request.caller, now + self._sample_wait_s(), now)
        call = Call(request, arrival)
        self._start_all(self._control.arrive(call, now), now)
        if call.ended:
            self._retry(now, request)
        else:
            self._schedule(arrival.deadline, self._give_up, call)

    def _sample_wait_s(self) -> float:
        return self._rng.uniform(*self._scenario.deadlines_s)

    def _retry(self, now: float, request: Request) -> None:
        if request.attempts < self._scenario.max_attempts:
            self._schedule(now + RETRY_DELAY_S * (0.5 + self._rng.random()), self._attempt, request)

    def _start_all(self, calls: list[Call], now: float) -> None:
        for call in calls:
            call.running = True
            self._running += 1
            self._schedule(now + self._sample_service_s(now), self._finish, call, now)

    def _sample_service_s(self, now: float) -> float:
        congestion_factor = max(self._running / SLOTS, 1.0) ** OVERLOAD_EXPONENT
        base_s = (
            SERVICE_S * self._scenario.slowdown(now) * self._service_rng.lognormvariate(-0.125, 0.5)
        )
        return base_s * congestion_factor

    def _finish(self, now: float, call: Call, started_at: float) -> None:
        self._running -= 1
        self.counts.executed_calls += 1
        if not call.ended:
            call.ended = True
            self._count_good(now, call.request)
        self._start_all(self._control.finish(call, now - started_at, True, now), now)

    def _count_good(self, now: float, request: Request) -> None:
        if request.caller == "flood":
            self.counts.flood_responses_in_time += 1
        else:
            self.counts.responses_in_time[int(now), request.call_class] += 1

    def _give_up(self, now: float, call: Call) -> None:
        if call.ended:
            return
        call.ended = True
        if not call.running:
            self._start_all(self._control.give_up(call, now), now)
        self._retry(now, call.request)
