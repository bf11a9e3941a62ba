"""Whether an entry call would be refused downstream, so that no work is started for it."""

from collections.abc import Iterator
from functools import lru_cache

from pollenbay.gate import Refusal
from pollenbay.ids import CallName, ServiceName
from pollenbay.rulebook import Rulebook
from pollenbay.states import MemberState, Reason
from pollenbay.view import Member, View

#: Maximum age of a load report; older ones are ignored.
REPORT_VALID_S = 3.0
RETRY_AFTER_S = 1.0
CALL_NAME_CACHE_SIZE = 4096


def refuse_at_entry(
    rulebook: Rulebook, view: View, service: ServiceName, call: CallName, now: float
) -> Refusal | None:
    """Return a refusal for an entry call whose class is shed by all of a downstream service.

    The most important class is never refused here, since no gate reports it as shed. The class of
    the entry call applies to the whole chain. A service without fresh load reports is no reason
    for a refusal.
    """
    rule = rulebook.calls.get((service, call))
    if rule is None or not rule.calls:
        return None
    rank = rule.call_class.rank
    if not rank:
        return None
    for downstream in downstream_services(rulebook, service, call):
        if _rejects_class(view, downstream, rank, now):
            return Refusal(Reason.DOWNSTREAM_OVERLOAD, RETRY_AFTER_S * (1 + rank))
    return None


def downstream_services(
    rulebook: Rulebook, service: ServiceName, call: CallName
) -> Iterator[ServiceName]:
    """Yield each service that a call reaches through the rules, directly or indirectly, once."""
    seen_calls = {(service, call)}
    seen_services: set[ServiceName] = set()
    pending_calls = [(service, call)]
    while pending_calls:
        rule = rulebook.calls.get(pending_calls.pop())
        for name in rule.calls if rule is not None else ():
            call_key = _split_call_name(name)
            if call_key in seen_calls:
                continue
            seen_calls.add(call_key)
            pending_calls.append(call_key)
            if call_key[0] not in seen_services:
                seen_services.add(call_key[0])
                yield call_key[0]


@lru_cache(maxsize=CALL_NAME_CACHE_SIZE)
def _split_call_name(name: str) -> tuple[ServiceName, CallName]:
    service, _, call = name.partition(".")
    return ServiceName(service), CallName(call)


def _rejects_class(view: View, service: ServiceName, rank: int, now: float) -> bool:
    has_serving = False
    for member in view.members_of(service):
        if member.state is not MemberState.SERVING:
            continue
        has_serving = True
        if _admits(member, rank, now):
            return False
    return has_serving


def _admits(member: Member, rank: int, now: float) -> bool:
    return member.load.admitted_rank >= rank or now - member.last_seen_at > REPORT_VALID_S
