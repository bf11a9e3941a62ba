"""Retry budget of a node: the ratio of retries to first attempts that it allows in each class."""

from dataclasses import dataclass

from pollenbay.bucket import make_bucket
from pollenbay.ids import ServiceName
from pollenbay.states import CallClass

#: Retry tokens earned by each first attempt.
RETRIES_PER_FIRST_CALL = 0.1
#: Retry tokens earned per second, so that infrequent calls can be retried.
RETRIES_PER_S = 0.2
BURST_RETRIES = 10.0


@dataclass(frozen=True, slots=True)
class RetryTerms:
    """Rates at which retry tokens are earned.

    :param per_first_call: tokens earned by each first attempt.
    :param per_s: tokens earned per second.
    :param burst: maximum number of tokens.
    """

    per_first_call: float = RETRIES_PER_FIRST_CALL
    per_s: float = RETRIES_PER_S
    burst: float = BURST_RETRIES


DEFAULT_TERMS = RetryTerms()


class RetryBudget:
    """One token bucket for each class."""

    def __init__(self, terms: RetryTerms = DEFAULT_TERMS) -> None:
        self._terms = terms
        self._buckets = [make_bucket(terms.per_s, terms.burst) for _ in CallClass]

    @property
    def terms(self) -> RetryTerms:
        """Return the rates at which tokens are earned."""
        return self._terms

    def left(self, call_class: CallClass) -> float:
        """Return the available tokens of a class."""
        return self._buckets[call_class.rank].left

    def earn(self, call_class: CallClass, retries: float, now: float) -> None:
        """Add tokens, and those accrued since the last use."""
        self._buckets[call_class.rank].fill(now, retries)

    def spend(self, call_class: CallClass) -> bool:
        """Spend one token of a class and return whether there was one."""
        return self._buckets[call_class.rank].spend()


class RetryBudgets:
    """The retry budgets of a node: one for each called service, or one for all.

    :param by_service: whether each service has its own.
    """

    def __init__(self, terms: RetryTerms, by_service: bool) -> None:
        self._terms = terms
        self._by_service = by_service
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def of(self, service: ServiceName) -> RetryBudget:
        """Return the budget for calls of a service, creating it on first use."""
        key = service if self._by_service else ServiceName("")
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(self._terms)
        return budget


def make_retry_budget() -> RetryBudget:
    """Return a budget with full buckets."""
    return RetryBudget()


def make_retry_budgets(terms: RetryTerms = DEFAULT_TERMS, by_service: bool = False) -> RetryBudgets:
    """Return budgets with full buckets."""
    return RetryBudgets(terms, by_service)
