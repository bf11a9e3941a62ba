"""Tests of the refusal at the entry."""

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
from pollenbay.queries.pressure import REPORT_VALID_S, downstream_services, refuse_at_entry
from pollenbay.rule import CallRule, RuleSet, ServiceRule
from pollenbay.rulebook import Rulebook, make_rulebook
from pollenbay.states import CallClass, MemberState, Reason
from pollenbay.view import Endpoints, Member, Place, View, make_view

NOW = 100.0
BOOKINGS, STOCK, DOCS = ServiceName("bookings"), ServiceName("stock"), ServiceName("docs")


def service(name: ServiceName, *calls: CallRule) -> ServiceRule:
    return ServiceRule(service=name, calls=calls)


def call(name: str, call_class: CallClass, *calls: str) -> CallRule:
    return CallRule(name=CallName(name), call_class=call_class, wait_ms=1000, calls=calls)


def make_rules() -> Rulebook:
    services = (
        service(
            BOOKINGS,
            call("book", CallClass.CRITICAL, "docs.render"),
            call("list", CallClass.SHEDDABLE, "docs.render"),
            call("ping", CallClass.SHEDDABLE),
        ),
        service(DOCS, call("render", CallClass.NORMAL, "stock.take", "docs.render")),
        service(STOCK, call("take", CallClass.NORMAL, "bookings.list")),
    )
    rulebook = make_rulebook()
    rules = RuleSet(
        version=RuleVersion(1),
        digest=Digest(""),
        author=OperatorId(""),
        published_at=0.0,
        services=services,
    )
    rulebook.replace(rules, 0.0)
    return rulebook


def put(
    view: View,
    name: ServiceName,
    index: int,
    rank: int,
    state: MemberState = MemberState.SERVING,
    heard_at: float = NOW,
) -> None:
    place = Place(HostId(f"host-{index}"), ZoneId("zone"), RegionId("north"))
    instance = InstanceId(f"{name}-{index}")
    endpoints = Endpoints("127.0.0.1", 1, 2)
    member = Member(instance, Incarnation(1), name, place, endpoints, state, heard_at, 0.0)
    member.load.admitted_rank = rank
    view.put(member)


def view_with_stock(*ranks: int) -> View:
    view = make_view()
    put(view, DOCS, 0, 2)
    put(view, BOOKINGS, 0, 2)
    for index, rank in enumerate(ranks):
        put(view, STOCK, index, rank)
    return view


def refused(view: View, name: str, now: float = NOW) -> bool:
    refusal = refuse_at_entry(make_rules(), view, BOOKINGS, CallName(name), now)
    if refusal is not None:
        assert refusal.reason is Reason.DOWNSTREAM_OVERLOAD
        assert refusal.retry_after_s > 0.0
    return refusal is not None


class TestReach:
    def test_follows_the_rules_to_the_end_and_through_cycles(self) -> None:
        reached = list(downstream_services(make_rules(), BOOKINGS, CallName("book")))
        assert sorted(reached) == [BOOKINGS, DOCS, STOCK]

    def test_an_unknown_call_reaches_nothing(self) -> None:
        assert list(downstream_services(make_rules(), STOCK, CallName("none"))) == []


class TestRefusal:
    def test_a_class_served_nowhere_two_services_down_is_refused(self) -> None:
        assert refused(view_with_stock(0, 1), "list")

    def test_a_booking_is_let_in_where_a_lookup_is_not(self) -> None:
        assert not refused(view_with_stock(0, 0), "book")

    def test_one_member_that_serves_the_class_is_enough(self) -> None:
        assert not refused(view_with_stock(0, 2), "list")

    def test_a_call_that_calls_nothing_is_let_in(self) -> None:
        assert not refused(view_with_stock(0), "ping")

    def test_old_reports_refuse_nothing(self) -> None:
        assert not refused(view_with_stock(0), "list", NOW + REPORT_VALID_S + 0.1)

    def test_an_empty_view_refuses_nothing(self) -> None:
        assert not refused(make_view(), "list")

    def test_members_that_do_not_serve_do_not_count(self) -> None:
        view = view_with_stock(0)
        put(view, STOCK, 9, 2, MemberState.LEAVING)
        assert refused(view, "list")
