"""The active rules of a node, indexed for the calls."""

from pollenbay.ids import CallName, RuleVersion, ServiceName
from pollenbay.rule import EMPTY_RULES, CallRule, Route, RuleSet, ServiceRule
from pollenbay.states import AdoptionRefusal


class Rulebook:
    """The active rule set; only `pollenbay.commands.adoption` replaces it."""

    def __init__(self) -> None:
        self._rules = EMPTY_RULES
        self._adopted_at = 0.0
        self._services: dict[ServiceName, ServiceRule] = {}
        self._calls: dict[tuple[ServiceName, CallName], CallRule] = {}
        self._routes: dict[str, list[Route]] = {}
        self._refusals = dict.fromkeys(AdoptionRefusal, 0)

    @property
    def rules(self) -> RuleSet:
        """Return the active rule set."""
        return self._rules

    @property
    def version(self) -> RuleVersion:
        """Return the active version; 0 before the first."""
        return self._rules.version

    @property
    def adopted_at(self) -> float:
        """Return when this node adopted the rules, in seconds since the epoch."""
        return self._adopted_at

    @property
    def services(self) -> dict[ServiceName, ServiceRule]:
        """Return the rules by service."""
        return self._services

    @property
    def calls(self) -> dict[tuple[ServiceName, CallName], CallRule]:
        """Return the rules by service and call."""
        return self._calls

    @property
    def routes(self) -> dict[str, list[Route]]:
        """Return the routes by host, those with the longest prefix first."""
        return self._routes

    @property
    def refusals(self) -> dict[AdoptionRefusal, int]:
        """Return the number of refused rule sets by reason."""
        return self._refusals

    def count_refusal(self, refusal: AdoptionRefusal) -> None:
        """Count a rule set that was not adopted."""
        self._refusals[refusal] += 1

    def activate(self, rules: RuleSet, adopted_at: float) -> None:
        """Activate another rule set."""
        self._rules = rules
        self._adopted_at = adopted_at
        self._services = {rule.service: rule for rule in rules.services}
        self._calls = {
            (service.service, call.name): call
            for service in rules.services
            for call in service.calls
        }
        self._routes = _routes_by_host(rules.routes)


def _routes_by_host(routes: tuple[Route, ...]) -> dict[str, list[Route]]:
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda each: len(each.prefix), reverse=True):
        by_host.setdefault(route.host, []).append(route)
    return by_host


def make_rulebook() -> Rulebook:
    """Return a rulebook without rules."""
    return Rulebook()
