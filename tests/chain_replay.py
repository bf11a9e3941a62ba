"""Replays a recorded load on one deep service, with the product's own decisions at gate and entry.

Requests of several classes make calls, one after another, at a service with few slots. Time is
simulated, so a replay costs little and gives the same result each time.
"""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from pollenbay.arrival import Arrival, Refusal, Ticket, Waiter
from pollenbay.commands.admission import admit, expire, release
from pollenbay.commands.saturation import hear_levels, measure
from pollenbay.commands.throttle import note_end, note_entry
from pollenbay.gate import Gate, make_gate
from pollenbay.ids import CallerId, CallName, InstanceId, ServiceName
from pollenbay.queries.routing import crowding
from pollenbay.queries.saturation import level_of
from pollenbay.queries.throttle import LEAST_PARTS, admitted_part
from pollenbay.saturation import FULL_LEVEL, Saturation, make_saturation
from pollenbay.states import CallClass
from pollenbay.throttle import Throttle, make_throttle

#: Sampling period of the product's upkeep.
PERIOD_S = 0.1
#: Time that news needs from the deep service to the entries: three hops of answers.
NEWS_S = 0.3
DEEP = ServiceName("deep")
CALLER = CallerId("")


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    :param rate_per_s: requests a second.
    :param calls: calls at the deep service, one after another.
    :param call_s: mean time that one of them takes at a target of speed 1.
    :param around_s: time that the request takes besides.
    """

    name: str
    call_class: CallClass
    rate_per_s: float
    calls: int
    call_s: float
    around_s: float
    deadline_s: float
    worth: float


@dataclass(slots=True)
class Tally:
    """How the requests of one kind that began at measured times ended."""

    asked: int = 0
    whole: int = 0
    failed: int = 0
    held_back: int = 0


@dataclass(slots=True)
class _Target:
    gate: Gate
    saturation: Saturation
    speed: float


@dataclass(slots=True)
class _Request:
    kind: Kind
    deadline: float
    measured: bool
    calls_left: int
    waiters: dict[int, Waiter] = field(default_factory=dict)


class Replay:
    """One run.

    :param speeds: relative speeds of the targets of the deep service.
    :param throttled: whether entries hold requests back; else only the gates refuse.
    """

    def __init__(
        self, kinds: list[Kind], speeds: list[float], slots: int, throttled: bool, seed: int
    ) -> None:
        self._kinds = kinds
        self._throttled = throttled
        self._rng = Random(seed)
        self._targets = [
            _Target(make_gate(slots, adaptive=False), make_saturation(), speed) for speed in speeds
        ]
        self._entry = make_saturation()
        self._throttle: Throttle = make_throttle()
        self._events: list = []
        self._order = count()
        self._now = 0.0
        self._waiting: dict[int, tuple[Waiter, _Target, _Request]] = {}
        self.tallies = {kind.name: Tally() for kind in kinds}
        self.busy_s = 0.0

    def run(self, until_s: float, measured_from_s: float) -> dict[str, Tally]:
        """Play the load and return how the requests that began from `measured_from_s` on ended."""
        for kind in self._kinds:
            note_entry(self._throttle, CallName(kind.name), True)
            self._at(self._rng.expovariate(kind.rate_per_s), self._arrive, kind)
        self._at(PERIOD_S, self._sample)
        while self._events and self._events[0][0] <= until_s:
            self._now, _, action, arguments = heappop(self._events)
            self._measured = measured_from_s <= self._now < until_s - 2.0
            action(*arguments)
        return self.tallies

    def _at(self, delay_s: float, action, *arguments) -> None:
        heappush(self._events, (self._now + delay_s, next(self._order), action, arguments))

    def _arrive(self, kind: Kind) -> None:
        self._at(self._rng.expovariate(kind.rate_per_s), self._arrive, kind)
        tally = self.tallies[kind.name]
        tally.asked += int(self._measured)
        if self._throttled and self._rng.random() >= self._part(kind):
            tally.held_back += int(self._measured)
            return
        request = _Request(kind, self._now + kind.deadline_s, self._measured, kind.calls)
        self._at(kind.around_s, self._call, request)

    def _part(self, kind: Kind) -> float:
        level = level_of(self._entry, DEEP, self._now)
        direct = kind.calls == 1
        own, below = (level, FULL_LEVEL) if direct else (FULL_LEVEL, level)
        name = CallName(kind.name)
        note_entry(self._throttle, name, True, self._share(kind))
        return admitted_part(self._throttle, name, kind.call_class, own, below, self._now)

    def _share(self, kind: Kind) -> float:
        calls = sum(each.rate_per_s * each.calls for each in self._kinds)
        return kind.rate_per_s * kind.calls / calls

    def _call(self, request: _Request) -> None:
        target = min(self._rng.sample(self._targets, 2), key=self._cost)
        target.saturation.arrive()
        arrival = Arrival(CallClass.NORMAL, CALLER, request.deadline, self._now)
        verdict = admit(target.gate, arrival, self._now)
        if isinstance(verdict, Waiter):
            self._waiting[id(verdict)] = (verdict, target, request)
            if verdict.displaced is not None:
                self._settle([verdict.displaced])
        elif isinstance(verdict, Refusal):
            target.saturation.refuse()
            self._end(request, False)
        else:
            self._work(request, target, verdict)

    def _cost(self, target: _Target) -> float:
        gate = target.gate
        taken = (gate.in_flight + len(gate.line)) / gate.limit.value
        return crowding(taken) / target.speed

    def _work(self, request: _Request, target: _Target, ticket: Ticket) -> None:
        length_s = self._rng.lognormvariate(-0.111, 0.47) * request.kind.call_s / target.speed
        self.busy_s += length_s * target.speed if self._measured else 0.0
        self._at(length_s, self._finish, request, target, ticket, length_s)

    def _finish(self, request: _Request, target: _Target, ticket: Ticket, length_s: float) -> None:
        self._settle(release(target.gate, ticket, length_s, True, self._now))
        request.calls_left -= 1
        if self._now > request.deadline:
            self._end(request, False)
        elif request.calls_left:
            self._call(request)
        else:
            self._end(request, True)

    def _settle(self, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            _, target, request = self._waiting.pop(id(waiter))
            if isinstance(waiter.decision, Ticket):
                self._work(request, target, waiter.decision)
            else:
                target.saturation.refuse()
                self._end(request, False)

    def _end(self, request: _Request, whole: bool) -> None:
        tally = self.tallies[request.kind.name]
        tally.whole += int(whole and request.measured)
        tally.failed += int(not whole and request.measured)
        if level_of(self._entry, DEEP, self._now) < FULL_LEVEL:
            note_end(self._throttle, CallName(request.kind.name), not whole, self._now)

    def _sample(self) -> None:
        self._at(PERIOD_S, self._sample)
        for number, target in enumerate(self._targets):
            self._settle(expire(target.gate, self._now))
            measure(target.saturation, target.gate, PERIOD_S)
            told = ((DEEP, target.saturation.level),)
            self._at(NEWS_S, self._hear, InstanceId(str(number)), told)

    def _hear(self, teller: InstanceId, told: tuple[tuple[ServiceName, float], ...]) -> None:
        hear_levels(self._entry, teller, ServiceName("entry"), told, self._now)


def worth_of(kinds: list[Kind], tallies: dict[str, Tally]) -> float:
    """Return the worth of the requests that ended whole."""
    return sum(kind.worth * tallies[kind.name].whole for kind in kinds)


def best_worth(kinds: list[Kind], capacity_s: float, tallies: dict[str, Tally]) -> float:
    """Return the most worth that the deep service has room for.

    Each class gets its least part first, then the most important ones what is left.

    :param capacity_s: slot-seconds at speed 1 that it can give to the requests asked.
    """
    needed = {kind.name: tallies[kind.name].asked * kind.calls * kind.call_s for kind in kinds}
    parts = {kind.name: LEAST_PARTS[kind.call_class.rank] for kind in kinds}
    left_s = capacity_s - sum(needed[name] * part for name, part in parts.items())
    for kind in sorted(kinds, key=lambda each: each.call_class.rank):
        more = min(max(left_s, 0.0) / max(needed[kind.name], 1e-9), 1.0 - parts[kind.name])
        parts[kind.name] += more
        left_s -= more * needed[kind.name]
    return sum(parts[kind.name] * tallies[kind.name].asked * kind.worth for kind in kinds)
