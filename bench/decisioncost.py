"""Processor time of one decision, in microseconds.

``PYTHONPATH=src:bench python bench/decisioncost.py`` prints p50 and p99 of each decision.
"""

from collections.abc import Callable
from random import Random
from time import perf_counter_ns

from click import command, echo, option

from pollenbay.account import make_retry_account
from pollenbay.budget import make_retry_budget
from pollenbay.commands.admission import admit, release
from pollenbay.commands.retry import (
    delegate_tokens,
    reclaim_tokens,
    record_first_attempt,
    spend_retry,
)
from pollenbay.commands.routing import begin_attempt, end_attempt, pick
from pollenbay.gate import Arrival, Ticket, make_gate
from pollenbay.ids import (
    CallerId,
    CallName,
    HostId,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceName,
    ZoneId,
)
from pollenbay.queries.downstream import refuse_at_entry
from pollenbay.rule import CallRule, RuleSet, ServiceRule
from pollenbay.rulebook import Rulebook, make_rulebook
from pollenbay.score import AttemptResult, make_scores
from pollenbay.states import CallClass, MemberState
from pollenbay.view import Endpoints, Location, Member, View, make_view

CALLED_SERVICE = ServiceName("stock")
CALLER_PLACE = Location(HostId("origin"), ZoneId("zone-0"), RegionId("region-0"))
ZONES = 7
CHAIN_DEPTH = 13
SLOTS = 20
CALLERS = 850
DECISION_INTERVAL_S = 0.0001


def make_member(service: ServiceName, index: int, admitted_rank: int = 2) -> Member:
    """Return a serving member, with zones assigned round-robin."""
    zone = index % ZONES
    place = Location(
        HostId(f"host-{index}"), ZoneId(f"zone-{zone}"), RegionId(f"region-{zone % 3}")
    )
    member = Member(
        InstanceId(f"{service}-{index}"),
        Incarnation(1),
        service,
        place,
        Endpoints("127.0.0.1", 1, 2),
        MemberState.SERVING,
        last_seen_at=0.0,
        first_seen_at=-100.0,
    )
    member.load.admitted_rank = admitted_rank
    return member


def no_follow_up(index: int) -> None:
    """Do nothing after a decision."""


def measure(
    name: str,
    iterations: int,
    decide: Callable[[int], None],
    follow_up: Callable[[int], None] = no_follow_up,
) -> None:
    """Print the cost of a decision; the first tenth of the iterations is warm-up.

    :param follow_up: called after each decision, outside the measured time.
    """
    costs_ns = []
    for index in range(iterations):
        started_ns = perf_counter_ns()
        decide(index)
        costs_ns.append(perf_counter_ns() - started_ns)
        follow_up(index)
    costs_ns = sorted(costs_ns[iterations // 10 :])
    p50, p99 = (costs_ns[int(len(costs_ns) * ratio)] / 1000 for ratio in (0.5, 0.99))
    echo(f"{name:45} p50 {p50:7.2f} us  p99 {p99:7.2f} us")


def measure_pick(targets: int, iterations: int) -> None:
    """Measure one routing decision with `targets` targets in the view."""
    view, scores, rng = make_view(), make_scores(), Random(1)
    for index in range(targets):
        view.put(make_member(CALLED_SERVICE, index))

    def decide(index: int) -> None:
        now = index * DECISION_INTERVAL_S
        member = pick(view, scores, CALLED_SERVICE, CALLER_PLACE, frozenset(), now, rng)
        assert member is not None
        begin_attempt(scores, member, now)
        end_attempt(scores, member, 0.01, AttemptResult.ANSWERED, now)

    measure(f"pick, begin and end, {targets} targets", iterations, decide)


def measure_gate(name: str, used_ratio: float, iterations: int) -> None:
    """Measure arrivals and releases at a partly used gate.

    :param used_ratio: slots in use as a ratio of the limit.
    """
    gate = make_gate(SLOTS)
    tickets: list[Ticket] = []
    classes = list(CallClass)

    def record_ticket(decision: object) -> None:
        if isinstance(decision, Ticket):
            tickets.append(decision)

    def arrive(index: int, now: float) -> None:
        caller = CallerId(f"caller-{index % CALLERS}")
        record_ticket(admit(gate, Arrival(classes[index % 3], caller, now + 1.0, now), now))

    def release_surplus(index: int) -> None:
        now = index * DECISION_INTERVAL_S
        if gate.in_flight <= used_ratio * gate.limit.value:
            return
        ticket = tickets.pop(0)
        for waiter in release(gate, ticket, now - ticket.admitted_at, True, now):
            record_ticket(waiter.decision)

    def decide(index: int) -> None:
        arrive(index, index * DECISION_INTERVAL_S)

    measure(f"admit, {name}", iterations, decide, release_surplus)
    measure(f"release, {name}", iterations, release_surplus, decide)


def measure_queue(iterations: int) -> None:
    """Measure one arrival at a gate whose slots and queue are full."""
    gate = make_gate(SLOTS)
    classes = list(CallClass)
    callers = [CallerId(f"caller-{index}") for index in range(CALLERS)]

    def decide(index: int) -> None:
        now = index * DECISION_INTERVAL_S
        arrival = Arrival(classes[2 - index % 3], callers[index % CALLERS], now + 60.0, now)
        admit(gate, arrival, now)

    measure("admit, all slots taken for good", iterations, decide)


def make_chain(rulebook: Rulebook, view: View, targets: int) -> None:
    """Add a chain of services whose last one admits no sheddable call."""
    services = []
    for depth in range(CHAIN_DEPTH):
        name = ServiceName(f"service-{depth}")
        downstream_calls = (f"service-{depth + 1}.call",) if depth + 1 < CHAIN_DEPTH else ()
        rule = CallRule(
            name=CallName("call"),
            call_class=CallClass.SHEDDABLE,
            wait_ms=1000,
            calls=downstream_calls,
        )
        services.append(ServiceRule(service=name, calls=(rule,)))
        rank = 1 if depth + 1 == CHAIN_DEPTH else 2
        for index in range(targets):
            view.put(make_member(name, index, rank))
    rules = RuleSet(version=1, digest="", author="", published_at=0.0, services=tuple(services))
    rulebook.activate(rules, 0.0)


def measure_entry(targets: int, iterations: int) -> None:
    """Measure one admission decision at the entry of a deep chain."""
    rulebook, view = make_rulebook(), make_view()
    make_chain(rulebook, view, targets)

    def decide(index: int) -> None:
        refused = refuse_at_entry(rulebook, view, ServiceName("service-0"), CallName("call"), 1.0)
        assert refused is not None

    measure(f"refuse at entry, {CHAIN_DEPTH} deep, {targets} targets each", iterations, decide)


def measure_retry(iterations: int) -> None:
    """Measure the retry decisions of one call with one nested call."""
    budget = make_retry_budget()

    def decide(index: int) -> None:
        now = index * DECISION_INTERVAL_S
        account = make_retry_account(2, now + 1.0)
        record_first_attempt(budget, CallClass.NORMAL, now)
        reclaim_tokens(account, delegate_tokens(account))
        spend_retry(account, budget, CallClass.NORMAL, now)

    measure("retry account: delegate, reclaim, spend a retry", iterations, decide)


@command()
@option("--rounds", default=100_000, help="Decisions of each kind.")
def main(rounds: int) -> None:
    """Print the cost of each decision."""
    for targets in (4, 16, 64, 256):
        measure_pick(targets, rounds)
    measure_gate("slots free", 0.5, rounds)
    measure_gate("queue in use", 0.99, rounds)
    measure_queue(rounds)
    for targets in (4, 64):
        measure_entry(targets, rounds // 10)
    measure_retry(rounds)


if __name__ == "__main__":
    main()
