"""Retry budget of a node: the ratio of retries to first attempts that it allows in each class."""

from dataclasses import dataclass

from pollenbay.bucket import make_token_bucket
from pollenbay.ids import ServiceName
from pollenbay.states import CallClass

#: Retry tokens earned by each first attempt.
TOKENS_PER_FIRST_ATTEMPT = 0.1
#: Retry tokens earned per second, so that infrequent calls can be retried.
TOKENS_PER_S = 0.2
BURST_TOKENS = 10.0


@dataclass(frozen=True, slots=True)
class RetryRates:
    """Rates at which retry tokens are earned.

    :param tokens_per_first_attempt: tokens earned by each first attempt.
    :param tokens_per_s: tokens earned per second.
    :param burst_tokens: maximum number of tokens.
    """

    tokens_per_first_attempt: float = TOKENS_PER_FIRST_ATTEMPT
    tokens_per_s: float = TOKENS_PER_S
    burst_tokens: float = BURST_TOKENS


DEFAULT_RETRY_RATES = RetryRates()


class RetryBudget:
    """One token bucket for each class."""

    def __init__(self, rates: RetryRates = DEFAULT_RETRY_RATES) -> None:
        self._rates = rates
        self._buckets = [
            make_token_bucket(rates.tokens_per_s, rates.burst_tokens) for _ in CallClass
        ]

    @property
    def rates(self) -> RetryRates:
        """Return the rates at which tokens are earned."""
        return self._rates

    def tokens(self, call_class: CallClass) -> float:
        """Return the available tokens of a class."""
        return self._buckets[call_class.rank].tokens

    def earn(self, call_class: CallClass, tokens: float, now: float) -> None:
        """Add tokens, and those accrued since the last use."""
        self._buckets[call_class.rank].refill(now, tokens)

    def spend(self, call_class: CallClass) -> bool:
        """Spend one token of a class and return whether there was one."""
        return self._buckets[call_class.rank].spend()


class RetryBudgets:
    """The retry budgets of a node: one for each called service, or one for all.

    :param by_service: whether each service has its own.
    """

    def __init__(self, rates: RetryRates, by_service: bool) -> None:
        self._rates = rates
        self._by_service = by_service
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def for_service(self, service: ServiceName) -> RetryBudget:
        """Return the budget for calls of a service, creating it on first use."""
        key = service if self._by_service else ServiceName("")
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(self._rates)
        return budget


def make_retry_budget() -> RetryBudget:
    """Return a budget with full buckets."""
    return RetryBudget()


def make_retry_budgets(
    rates: RetryRates = DEFAULT_RETRY_RATES, by_service: bool = False
) -> RetryBudgets:
    """Return budgets with full buckets."""
    return RetryBudgets(rates, by_service)
