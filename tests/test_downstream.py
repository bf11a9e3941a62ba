"""Tests of the refusal at the entry when a downstream service does not serve the call's class."""

from pollenbay.ids import (
    CallName,
    Digest,
    HostId,
    Incarnation,
    InstanceId,
    OperatorId,
    RegionId,
    RuleVersion,
    ServiceName,
    ZoneId,
)
from pollenbay.queries.downstream import REPORT_VALID_S, downstream_services, refuse_at_entry
from pollenbay.rule import CallRule, RuleSet, ServiceRule
from pollenbay.rulebook import Rulebook, make_rulebook
from pollenbay.states import CallClass, MemberState, Reason
from pollenbay.view import Endpoints, Location, Member, View, make_view

NOW = 100.0
BOOKINGS, STOCK, DOCS = ServiceName("bookings"), ServiceName("stock"), ServiceName("docs")


def make_service(name: ServiceName, *calls: CallRule) -> ServiceRule:
    return ServiceRule(service=name, calls=calls)


def make_call(name: str, call_class: CallClass, *calls: str) -> CallRule:
    return CallRule(name=CallName(name), call_class=call_class, wait_ms=1000, calls=calls)


def make_test_rulebook() -> Rulebook:
    services = (
        make_service(
            BOOKINGS,
            make_call("book", CallClass.CRITICAL, "docs.render"),
            make_call("list", CallClass.SHEDDABLE, "docs.render"),
            make_call("ping", CallClass.SHEDDABLE),
        ),
        make_service(DOCS, make_call("render", CallClass.NORMAL, "stock.take", "docs.render")),
        make_service(STOCK, make_call("take", CallClass.NORMAL, "bookings.list")),
    )
    rulebook = make_rulebook()
    rules = RuleSet(
        version=RuleVersion(1),
        digest=Digest(""),
        author=OperatorId(""),
        published_at=0.0,
        services=services,
    )
    rulebook.activate(rules, 0.0)
    return rulebook


def put_member(
    view: View,
    name: ServiceName,
    index: int,
    rank: int,
    state: MemberState = MemberState.SERVING,
    heard_at: float = NOW,
) -> None:
    place = Location(HostId(f"host-{index}"), ZoneId("zone"), RegionId("north"))
    instance = InstanceId(f"{name}-{index}")
    endpoints = Endpoints("127.0.0.1", 1, 2)
    member = Member(instance, Incarnation(1), name, place, endpoints, state, heard_at, 0.0)
    member.load.admitted_rank = rank
    view.put(member)


def make_view_with_stock(*ranks: int) -> View:
    view = make_view()
    put_member(view, DOCS, 0, 2)
    put_member(view, BOOKINGS, 0, 2)
    for index, rank in enumerate(ranks):
        put_member(view, STOCK, index, rank)
    return view


def is_refused(view: View, name: str, now: float = NOW) -> bool:
    refusal = refuse_at_entry(make_test_rulebook(), view, BOOKINGS, CallName(name), now)
    if refusal is not None:
        assert refusal.reason is Reason.DOWNSTREAM_OVERLOAD
        assert refusal.retry_after_s > 0.0
    return refusal is not None


class TestDownstreamServices:
    def test_downstream_services_are_transitive_and_cycles_end(self) -> None:
        reached = list(downstream_services(make_test_rulebook(), BOOKINGS, CallName("book")))
        assert sorted(reached) == [BOOKINGS, DOCS, STOCK]

    def test_unknown_call_has_no_downstream_services(self) -> None:
        assert list(downstream_services(make_test_rulebook(), STOCK, CallName("none"))) == []


class TestRefusal:
    def test_class_shed_by_all_members_two_services_downstream_is_refused(self) -> None:
        assert is_refused(make_view_with_stock(0, 1), "list")

    def test_critical_call_is_admitted_while_sheddable_calls_are_shed(self) -> None:
        assert not is_refused(make_view_with_stock(0, 0), "book")

    def test_one_member_that_serves_the_class_suffices(self) -> None:
        assert not is_refused(make_view_with_stock(0, 2), "list")

    def test_call_without_downstream_services_is_admitted(self) -> None:
        assert not is_refused(make_view_with_stock(0), "ping")

    def test_expired_load_reports_are_ignored(self) -> None:
        assert not is_refused(make_view_with_stock(0), "list", NOW + REPORT_VALID_S + 0.1)

    def test_empty_view_refuses_no_call(self) -> None:
        assert not is_refused(make_view(), "list")

    def test_leaving_members_are_ignored(self) -> None:
        view = make_view_with_stock(0)
        put_member(view, STOCK, 9, 2, MemberState.LEAVING)
        assert is_refused(view, "list")
