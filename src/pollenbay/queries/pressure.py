"""Whether an entry call would be refused deeper down, so that no work is begun for it."""

from collections.abc import Iterator
from functools import lru_cache

from pollenbay.gate import Refusal
from pollenbay.ids import CallName, ServiceName
from pollenbay.rulebook import Rulebook
from pollenbay.states import MemberState, Reason
from pollenbay.view import Member, View

#: Load reports older than this say nothing.
REPORT_VALID_S = 3.0
RETRY_AFTER_S = 1.0
#: Names of calls that are kept taken apart.
KNOWN_NAMES = 4096


def refuse_at_entry(
    rulebook: Rulebook, view: View, service: ServiceName, call: CallName, now: float
) -> Refusal | None:
    """Refuse an entry call of whose downstream services one serves its class nowhere.

    The most important class is never refused here, since no gate reports it as shed. The class of
    the entry call holds for the whole chain. A service of which nothing fresh is
    known is no ground for a refusal.
    """
    rule = rulebook.calls.get((service, call))
    if rule is None or not rule.calls:
        return None
    rank = rule.call_class.rank
    if not rank:
        return None
    for downstream in downstream_services(rulebook, service, call):
        if _shuts_out(view, downstream, rank, now):
            return Refusal(Reason.DOWNSTREAM_OVERLOAD, RETRY_AFTER_S * (1 + rank))
    return None


def downstream_services(
    rulebook: Rulebook, service: ServiceName, call: CallName
) -> Iterator[ServiceName]:
    """Yield each service that a call reaches through the rules, once."""
    seen_calls = {(service, call)}
    seen_services: set[ServiceName] = set()
    open_calls = [(service, call)]
    while open_calls:
        rule = rulebook.calls.get(open_calls.pop())
        for name in rule.calls if rule is not None else ():
            key = _split(name)
            if key in seen_calls:
                continue
            seen_calls.add(key)
            open_calls.append(key)
            if key[0] not in seen_services:
                seen_services.add(key[0])
                yield key[0]


@lru_cache(maxsize=KNOWN_NAMES)
def _split(name: str) -> tuple[ServiceName, CallName]:
    service, _, call = name.partition(".")
    return ServiceName(service), CallName(call)


def _shuts_out(view: View, service: ServiceName, rank: int, now: float) -> bool:
    known = False
    for member in view.of_service(service):
        if member.state is not MemberState.SERVING:
            continue
        known = True
        if _admits(member, rank, now):
            return False
    return known


def _admits(member: Member, rank: int, now: float) -> bool:
    return member.load.admitted_rank >= rank or now - member.heard_at > REPORT_VALID_S
