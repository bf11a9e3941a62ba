"""Routes: the longest prefix of a host wins, weights share the requests, versions carry them."""

from hypothesis import given
from hypothesis import strategies as st

from pollenbay.commands.adoption import adopt
from pollenbay.ids import OperatorId, RuleVersion
from pollenbay.queries.delta import answer_rules, assemble_rules, request_rules
from pollenbay.queries.routes import choose_destination, find_route
from pollenbay.rule import EMPTY_RULES, Destination, Route, RuleSet, ServiceRule
from pollenbay.rulebook import Rulebook, make_rulebook
from pollenbay.rulerow import make_rule_set
from pollenbay.states import CallClass

NAMES = st.sampled_from(["a", "b", "c"])


def route(prefix: str, host: str = "h", weights: tuple[float, ...] = (1.0,)) -> Route:
    """Return a route whose destinations are named by number."""
    return Route(
        name=f"{host}{prefix}",
        host=host,
        prefix=prefix,
        call_class=CallClass.NORMAL,
        idempotent=True,
        wait_ms=1000,
        objective_ms=100,
        attempts=2,
        destinations=tuple(Destination(str(n), weight) for n, weight in enumerate(weights)),
    )


def rules(version: int, *routes: Route) -> RuleSet:
    """Return a rule set with these routes."""
    services = (ServiceRule(service="0", calls=()),)
    return make_rule_set(RuleVersion(version), services, OperatorId("ann"), 0.0, routes)


def book(*routes: Route) -> Rulebook:
    """Return a rulebook with these routes in force."""
    rulebook = make_rulebook()
    assert adopt(rulebook, rules(1, *routes), 0.0).is_ok()
    return rulebook


class TestFind:
    """Selection by host and path."""

    def test_longest_prefix(self) -> None:
        rulebook = book(route("/a/"), route("/a/b/"), route("/a/b/c/"))
        assert find_route(rulebook, "h", "/a/b/x").prefix == "/a/b/"

    def test_a_prefix_ends_with_its_slash(self) -> None:
        assert find_route(book(route("/a/")), "h", "/ab") is None

    def test_hosts_are_apart(self) -> None:
        rulebook = book(route("/a/", host="one"), route("/", host="two"))
        assert find_route(rulebook, "two", "/a/x").host == "two"
        assert find_route(rulebook, "three", "/a/x") is None

    @given(st.lists(st.lists(NAMES, max_size=3), unique_by=tuple), st.lists(NAMES, max_size=4))
    def test_no_longer_prefix_begins_the_path(self, parts: list, path_parts: list) -> None:
        prefixes = ["/" + "".join(f"{part}/" for part in each) for each in parts]
        path = "/" + "".join(f"{part}/" for part in path_parts)
        found = find_route(book(*(route(prefix) for prefix in prefixes)), "h", path)
        best = max((each for each in prefixes if path.startswith(each)), key=len, default=None)
        assert (found and found.prefix) == best


class TestDestinations:
    """Shares by weight."""

    @given(st.lists(st.integers(1, 100), min_size=1, max_size=4))
    def test_each_gets_its_part(self, weights: list[int]) -> None:
        chosen = route("/", weights=tuple(float(weight) for weight in weights))
        points = 1000
        counts = [0] * len(weights)
        for point in range(points):
            counts[int(choose_destination(chosen, point / points))] += 1
        for count, weight in zip(counts, weights, strict=True):
            assert abs(count / points - weight / sum(weights)) < 0.005


class TestVersions:
    """Routes belong to a version: to its digest, and to what one node asks of another."""

    def test_other_routes_are_another_digest(self) -> None:
        assert rules(1, route("/a/")).digest != rules(1, route("/b/")).digest

    def test_routes_travel_between_nodes(self) -> None:
        newer = rules(2, route("/a/"), route("/b/"))
        answer = answer_rules(newer, request_rules(rules(1, route("/a/"))))
        assembled = assemble_rules(rules(1, route("/a/")), answer)
        rulebook = book(route("/a/"))
        assert adopt(rulebook, assembled, 0.0).is_ok()
        assert find_route(rulebook, "h", "/b/x") is not None

    def test_a_rule_set_without_routes_keeps_its_digest(self) -> None:
        services = EMPTY_RULES.services
        with_none = make_rule_set(RuleVersion(1), services, OperatorId("ann"), 0.0)
        assert (
            with_none.digest
            == make_rule_set(RuleVersion(1), services, OperatorId("ann"), 0.0, ()).digest
        )
