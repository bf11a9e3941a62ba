"""Discrete-event replay of a recorded load on one downstream service.

Requests of several classes make sequential calls to a service with few slots. The gates and the
throttle at the entry run the production code. Time is simulated, so a replay is fast and
deterministic.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from pollenbay.arrival import Arrival, Refusal, Ticket, Waiter
from pollenbay.commands.admission import admit, expire, release
from pollenbay.commands.saturation import record_levels, update_admission_level
from pollenbay.commands.throttle import record_end, record_entry
from pollenbay.gate import Gate, make_gate
from pollenbay.ids import CallerId, CallName, InstanceId, ServiceName
from pollenbay.queries.routing import congestion_factor
from pollenbay.queries.saturation import service_level
from pollenbay.queries.throttle import MIN_ADMISSION_RATIOS, admission_ratio
from pollenbay.saturation import FULL_LEVEL, Saturation, make_saturation
from pollenbay.states import CallClass
from pollenbay.throttle import Throttle, make_throttle

#: Sampling period of the node's maintenance task.
MEASURE_PERIOD_S = 0.1
#: Delay until the entries receive a level report of the deep service: three hops of responses.
REPORT_DELAY_S = 0.3
DEEP_SERVICE = ServiceName("deep")
CALLER = CallerId("")


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    :param rate_per_s: requests per second.
    :param calls: sequential calls to the deep service.
    :param call_s: mean duration of one of these calls at a target of speed 1.
    :param overhead_s: duration of the request outside these calls.
    :param value: value of one completed request.
    """

    name: str
    call_class: CallClass
    rate_per_s: float
    calls: int
    call_s: float
    overhead_s: float
    deadline_s: float
    value: float


@dataclass(slots=True)
class Tally:
    """Outcomes of the requests of one kind that arrived during the measured interval."""

    offered: int = 0
    completed: int = 0
    failed: int = 0
    rejected_at_entry: int = 0


@dataclass(slots=True)
class _Target:
    gate: Gate
    saturation: Saturation
    speed: float


@dataclass(slots=True)
class _Request:
    kind: RequestKind
    deadline: float
    measured: bool
    calls_left: int
    waiters: dict[int, Waiter] = field(default_factory=dict)


def _no_surge(now: float) -> float:
    return 1.0


class Replay:
    """One run of the simulation.

    :param speeds: relative speeds of the targets of the deep service.
    :param throttled: whether the entry throttles requests; otherwise only the gates refuse calls.
    :param surge: factor on the rates of all requests at a time in seconds.
    :param lost_at_s: time at which the last target stops taking calls; None to keep it.
    """

    def __init__(
        self,
        kinds: list[RequestKind],
        speeds: list[float],
        slots: int,
        throttled: bool,
        seed: int,
        surge: Callable[[float], float] = _no_surge,
        lost_at_s: float | None = None,
    ) -> None:
        self._kinds = kinds
        self._surge = surge
        self._lost_at_s = lost_at_s
        self._throttled = throttled
        self._rng = Random(seed)
        self._targets = [
            _Target(make_gate(slots, adaptive=False), make_saturation(), speed) for speed in speeds
        ]
        self._entry = make_saturation()
        self._throttle: Throttle = make_throttle()
        self._events: list = []
        self._sequence = count()
        self._now = 0.0
        self._waiting: dict[int, tuple[Waiter, _Target, _Request]] = {}
        self.tallies = {kind.name: Tally() for kind in kinds}
        self.busy_s = 0.0

    def run(self, until_s: float, measured_from_s: float) -> dict[str, Tally]:
        """Run until `until_s` and return the outcomes by kind of request.

        Requests that arrive before `measured_from_s` or within the last 2 s are not counted.
        """
        for kind in self._kinds:
            record_entry(self._throttle, CallName(kind.name), True)
            self._schedule(self._rng.expovariate(kind.rate_per_s), self._arrive, kind)
        self._schedule(MEASURE_PERIOD_S, self._sample)
        while self._events and self._events[0][0] <= until_s:
            self._now, _, action, arguments = heappop(self._events)
            self._is_measured = measured_from_s <= self._now < until_s - 2.0
            action(*arguments)
        return self.tallies

    def _schedule(self, delay_s: float, action, *arguments) -> None:
        heappush(self._events, (self._now + delay_s, next(self._sequence), action, arguments))

    def _arrive(self, kind: RequestKind) -> None:
        rate_per_s = kind.rate_per_s * self._surge(self._now)
        self._schedule(self._rng.expovariate(rate_per_s), self._arrive, kind)
        tally = self.tallies[kind.name]
        tally.offered += int(self._is_measured)
        if self._throttled and self._rng.random() >= self._admission_ratio(kind):
            tally.rejected_at_entry += int(self._is_measured)
            return
        request = _Request(kind, self._now + kind.deadline_s, self._is_measured, kind.calls)
        self._schedule(kind.overhead_s, self._make_call, request)

    def _admission_ratio(self, kind: RequestKind) -> float:
        level = service_level(self._entry, DEEP_SERVICE, self._now)
        is_direct = kind.calls == 1
        local_level, downstream_level = (level, FULL_LEVEL) if is_direct else (FULL_LEVEL, level)
        name = CallName(kind.name)
        record_entry(self._throttle, name, True, self._call_share(kind))
        return admission_ratio(
            self._throttle, name, kind.call_class, local_level, downstream_level, self._now
        )

    def _call_share(self, kind: RequestKind) -> float:
        calls_per_s = sum(each.rate_per_s * each.calls for each in self._kinds)
        return kind.rate_per_s * kind.calls / calls_per_s

    def _make_call(self, request: _Request) -> None:
        target = min(self._rng.sample(self._targets, 2), key=self._cost)
        target.saturation.record_arrival()
        arrival = Arrival(CallClass.NORMAL, CALLER, request.deadline, self._now)
        verdict = admit(target.gate, arrival, self._now)
        if isinstance(verdict, Waiter):
            self._waiting[id(verdict)] = (verdict, target, request)
            if verdict.displaced is not None:
                self._handle_decisions([verdict.displaced])
        elif isinstance(verdict, Refusal):
            target.saturation.record_refusal()
            self._end_request(request, False)
        else:
            self._start_call(request, target, verdict)

    def _cost(self, target: _Target) -> float:
        gate = target.gate
        occupancy = (gate.in_flight + len(gate.queue)) / gate.limit.value
        return congestion_factor(occupancy) / target.speed

    def _start_call(self, request: _Request, target: _Target, ticket: Ticket) -> None:
        duration_s = self._rng.lognormvariate(-0.111, 0.47) * request.kind.call_s / target.speed
        self.busy_s += duration_s * target.speed if self._is_measured else 0.0
        self._schedule(duration_s, self._finish_call, request, target, ticket, duration_s)

    def _finish_call(
        self, request: _Request, target: _Target, ticket: Ticket, duration_s: float
    ) -> None:
        self._handle_decisions(release(target.gate, ticket, duration_s, True, self._now))
        request.calls_left -= 1
        if self._now > request.deadline:
            self._end_request(request, False)
        elif request.calls_left:
            self._make_call(request)
        else:
            self._end_request(request, True)

    def _handle_decisions(self, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            _, target, request = self._waiting.pop(id(waiter))
            if isinstance(waiter.decision, Ticket):
                self._start_call(request, target, waiter.decision)
            else:
                target.saturation.record_refusal()
                self._end_request(request, False)

    def _end_request(self, request: _Request, completed: bool) -> None:
        tally = self.tallies[request.kind.name]
        tally.completed += int(completed and request.measured)
        tally.failed += int(not completed and request.measured)
        if service_level(self._entry, DEEP_SERVICE, self._now) < FULL_LEVEL:
            record_end(self._throttle, CallName(request.kind.name), not completed, self._now)

    def _sample(self) -> None:
        self._schedule(MEASURE_PERIOD_S, self._sample)
        if self._lost_at_s is not None and self._now >= self._lost_at_s:
            self._lost_at_s = None
            self._targets.pop()
        for number, target in enumerate(self._targets):
            self._handle_decisions(expire(target.gate, self._now))
            update_admission_level(target.saturation, target.gate, MEASURE_PERIOD_S)
            levels = ((DEEP_SERVICE, target.saturation.level),)
            self._schedule(REPORT_DELAY_S, self._record_levels, InstanceId(str(number)), levels)

    def _record_levels(
        self, reporter: InstanceId, levels: tuple[tuple[ServiceName, float], ...]
    ) -> None:
        record_levels(self._entry, reporter, ServiceName("entry"), levels, self._now)


def total_value(kinds: list[RequestKind], tallies: dict[str, Tally]) -> float:
    """Return the total value of the completed requests."""
    return sum(kind.value * tallies[kind.name].completed for kind in kinds)


def highest_value(kinds: list[RequestKind], capacity_s: float, tallies: dict[str, Tally]) -> float:
    """Return the highest total value that the capacity of the deep service allows.

    Each class first gets its minimum ratio; the remaining capacity goes to the classes in order of
    importance.

    :param capacity_s: slot-seconds at speed 1 available to the offered requests.
    """
    needed_s = {kind.name: tallies[kind.name].offered * kind.calls * kind.call_s for kind in kinds}
    ratios = {kind.name: MIN_ADMISSION_RATIOS[kind.call_class.rank] for kind in kinds}
    remaining_s = capacity_s - sum(needed_s[name] * ratio for name, ratio in ratios.items())
    for kind in sorted(kinds, key=lambda each: each.call_class.rank):
        added = min(max(remaining_s, 0.0) / max(needed_s[kind.name], 1e-9), 1.0 - ratios[kind.name])
        ratios[kind.name] += added
        remaining_s -= added * needed_s[kind.name]
    return sum(ratios[kind.name] * tallies[kind.name].offered * kind.value for kind in kinds)
