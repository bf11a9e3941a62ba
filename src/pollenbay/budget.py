"""The ratio of retries to first calls that a node allows for each class, whoever asks."""

from dataclasses import dataclass

from pollenbay.bucket import make_bucket
from pollenbay.ids import ServiceName
from pollenbay.states import CallClass

#: Retries earned by each first call.
RETRIES_PER_FIRST_CALL = 0.1
#: Retries earned as time passes, so that rare calls can be retried.
RETRIES_PER_S = 0.2
BURST_RETRIES = 10.0


@dataclass(frozen=True, slots=True)
class RetryTerms:
    """How retries are earned.

    :param per_first_call: retries that a first call earns.
    :param per_s: retries that each second brings.
    :param burst: most retries that are saved up.
    """

    per_first_call: float = RETRIES_PER_FIRST_CALL
    per_s: float = RETRIES_PER_S
    burst: float = BURST_RETRIES


DEFAULT_TERMS = RetryTerms()


class RetryBudget:
    """One bucket for each class."""

    def __init__(self, terms: RetryTerms = DEFAULT_TERMS) -> None:
        self._terms = terms
        self._buckets = [make_bucket(terms.per_s, terms.burst) for _ in CallClass]

    @property
    def terms(self) -> RetryTerms:
        """Return how retries are earned."""
        return self._terms

    def left(self, call_class: CallClass) -> float:
        """Return the retries saved up for a class."""
        return self._buckets[call_class.rank].left

    def earn(self, call_class: CallClass, retries: float, now: float) -> None:
        """Add retries, and those that the time since the last use has brought."""
        self._buckets[call_class.rank].fill(now, retries)

    def spend(self, call_class: CallClass) -> bool:
        """Use up one retry of a class, if there is one."""
        return self._buckets[call_class.rank].spend()


class RetryBudgets:
    """The budgets of a node, one for each service that it calls, or one for all.

    :param by_service: whether each service has its own.
    """

    def __init__(self, terms: RetryTerms, by_service: bool) -> None:
        self._terms = terms
        self._by_service = by_service
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def of(self, service: ServiceName) -> RetryBudget:
        """Return the budget for calls of a service."""
        key = service if self._by_service else ServiceName("")
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(self._terms)
        return budget


def make_retry_budget() -> RetryBudget:
    """Return a budget with its burst at hand."""
    return RetryBudget()


def make_retry_budgets(terms: RetryTerms = DEFAULT_TERMS, by_service: bool = False) -> RetryBudgets:
    """Return budgets with their bursts at hand."""
    return RetryBudgets(terms, by_service)
