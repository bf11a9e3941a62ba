"""Retry decisions: the retry allowance of the chain first, then the retry budget of the node."""

from functools import singledispatch

from pollenbay.account import RetryAccount
from pollenbay.budget import RetryBudget
from pollenbay.outcome import NotRun, Outcome
from pollenbay.states import CallClass, Reason


def record_first_attempt(budget: RetryBudget, call_class: CallClass, now: float) -> None:
    """Record the first attempt of a call, which earns a fraction of a retry."""
    budget.earn(call_class, budget.rates.tokens_per_first_attempt, now)


def spend_retry(
    account: RetryAccount, budget: RetryBudget, call_class: CallClass, now: float
) -> bool:
    """Spend one retry if the account, the budget and the deadline all allow it.

    Returns whether the retry was spent.
    """
    if now >= account.deadline or not account.remaining:
        return False
    budget.earn(call_class, 0.0, now)
    return budget.spend(call_class) and account.spend()


@singledispatch
def spend_next_attempt(
    last: Outcome, account: RetryAccount, budget: RetryBudget, call_class: CallClass, now: float
) -> bool:
    """Spend what another attempt costs after the last one, and return whether it is allowed.

    After a refusal that did not come from the target itself, free attempts are used first.
    """
    return spend_retry(account, budget, call_class, now)


@spend_next_attempt.register
def _(
    last: NotRun, account: RetryAccount, budget: RetryBudget, call_class: CallClass, now: float
) -> bool:
    reached_target = last.reason is Reason.TARGET_REFUSED
    if not reached_target and now < account.deadline and account.spend_free_attempt():
        return True
    return spend_retry(account, budget, call_class, now)


def delegate_tokens(account: RetryAccount) -> int:
    """Delegate half of the retry tokens, rounded up, to a nested call and return their number.

    The other half stays for parallel nested calls and for retries of this one.
    """
    tokens = (account.remaining + 1) // 2
    account.delegate(tokens)
    return tokens


def reclaim_tokens(account: RetryAccount, unspent: int, delegated: int | None = None) -> int:
    """Reclaim the retry tokens that a nested call did not spend and return their number.

    :param unspent: tokens left according to the reply; capped at the number delegated.
    :param delegated: tokens that were delegated to this nested call; None to cap at all tokens
        that the account has delegated.
    """
    bound = account.delegated if delegated is None else min(delegated, account.delegated)
    reclaimed = min(max(unspent, 0), bound)
    account.reclaim(reclaimed)
    return reclaimed
