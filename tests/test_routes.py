"""Tests of routes: longest-prefix match by host, weighted destinations and rule versions."""

from hypothesis import given
from hypothesis import strategies as st

from pollenbay.commands.adoption import adopt
from pollenbay.ids import OperatorId, RuleVersion
from pollenbay.queries.delta import assemble_rules, make_rules_request, make_rules_response
from pollenbay.queries.routes import choose_destination, find_route
from pollenbay.rule import EMPTY_RULES, Destination, Route, RuleSet, ServiceRule
from pollenbay.rulebook import Rulebook, make_rulebook
from pollenbay.rulerow import make_rule_set
from pollenbay.states import CallClass

NAMES = st.sampled_from(["a", "b", "c"])


def make_route(prefix: str, host: str = "h", weights: tuple[float, ...] = (1.0,)) -> Route:
    """Return a route whose destinations are named by their index."""
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


def make_rules(version: int, *routes: Route) -> RuleSet:
    services = (ServiceRule(service="0", calls=()),)
    return make_rule_set(RuleVersion(version), services, OperatorId("ann"), 0.0, routes)


def make_active_rulebook(*routes: Route) -> Rulebook:
    """Return a rulebook in which these routes are active."""
    rulebook = make_rulebook()
    assert adopt(rulebook, make_rules(1, *routes), 0.0).is_ok()
    return rulebook


class TestFind:
    """Selection by host and path."""

    def test_longest_prefix_is_selected(self) -> None:
        rulebook = make_active_rulebook(
            make_route("/a/"), make_route("/a/b/"), make_route("/a/b/c/")
        )
        assert find_route(rulebook, "h", "/a/b/x").prefix == "/a/b/"

    def test_prefix_matches_only_complete_path_segments(self) -> None:
        assert find_route(make_active_rulebook(make_route("/a/")), "h", "/ab") is None

    def test_routes_are_separate_for_each_host(self) -> None:
        rulebook = make_active_rulebook(make_route("/a/", host="one"), make_route("/", host="two"))
        assert find_route(rulebook, "two", "/a/x").host == "two"
        assert find_route(rulebook, "three", "/a/x") is None

    @given(st.lists(st.lists(NAMES, max_size=3), unique_by=tuple), st.lists(NAMES, max_size=4))
    def test_selected_route_has_the_longest_matching_prefix(
        self, parts: list, path_parts: list
    ) -> None:
        prefixes = ["/" + "".join(f"{part}/" for part in each) for each in parts]
        path = "/" + "".join(f"{part}/" for part in path_parts)
        found = find_route(
            make_active_rulebook(*(make_route(prefix) for prefix in prefixes)), "h", path
        )
        best = max((each for each in prefixes if path.startswith(each)), key=len, default=None)
        assert (found and found.prefix) == best


class TestDestinations:
    @given(st.lists(st.integers(1, 100), min_size=1, max_size=4))
    def test_destinations_get_requests_in_proportion_to_weight(self, weights: list[int]) -> None:
        weighted_route = make_route("/", weights=tuple(float(weight) for weight in weights))
        points = 1000
        counts = [0] * len(weights)
        for point in range(points):
            counts[int(choose_destination(weighted_route, point / points))] += 1
        for count, weight in zip(counts, weights, strict=True):
            assert abs(count / points - weight / sum(weights)) < 0.005


class TestVersions:
    """Routes are part of a rule version: of its digest and of rules pulled from peers."""

    def test_digest_depends_on_the_routes(self) -> None:
        assert make_rules(1, make_route("/a/")).digest != make_rules(1, make_route("/b/")).digest

    def test_routes_are_transferred_between_nodes(self) -> None:
        newer = make_rules(2, make_route("/a/"), make_route("/b/"))
        response = make_rules_response(newer, make_rules_request(make_rules(1, make_route("/a/"))))
        assembled = assemble_rules(make_rules(1, make_route("/a/")), response)
        rulebook = make_active_rulebook(make_route("/a/"))
        assert adopt(rulebook, assembled, 0.0).is_ok()
        assert find_route(rulebook, "h", "/b/x") is not None

    def test_digest_without_routes_equals_that_of_an_empty_route_list(self) -> None:
        services = EMPTY_RULES.services
        without_routes = make_rule_set(RuleVersion(1), services, OperatorId("ann"), 0.0)
        assert (
            without_routes.digest
            == make_rule_set(RuleVersion(1), services, OperatorId("ann"), 0.0, ()).digest
        )
