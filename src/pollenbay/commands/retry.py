"""Decisions on retries: the allowance of the chain first, then the ratio of the node."""

from functools import singledispatch

from pollenbay.account import Account
from pollenbay.budget import RetryBudget
from pollenbay.outcome import NotRun, Outcome
from pollenbay.states import CallClass, Reason


def note_first(budget: RetryBudget, call_class: CallClass, now: float) -> None:
    """Count the first attempt of a call, which earns a part of a retry."""
    budget.earn(call_class, budget.terms.per_first_call, now)


def take_retry(account: Account, budget: RetryBudget, call_class: CallClass, now: float) -> bool:
    """Spend one retry if the chain, the node and the time left all allow it."""
    if now >= account.deadline or not account.left:
        return False
    budget.earn(call_class, 0.0, now)
    return budget.spend(call_class) and account.spend()


@singledispatch
def take_turn(
    last: Outcome, account: Account, budget: RetryBudget, call_class: CallClass, now: float
) -> bool:
    """Spend what another attempt costs after the last one, and tell whether it is allowed."""
    return take_retry(account, budget, call_class, now)


@take_turn.register
def _(
    last: NotRun, account: Account, budget: RetryBudget, call_class: CallClass, now: float
) -> bool:
    reached_target = last.reason is Reason.TARGET_REFUSED
    if not reached_target and now < account.deadline and account.spend_refusal():
        return True
    return take_retry(account, budget, call_class, now)


def hand_out(account: Account) -> int:
    """Move half of the retries, rounded up, to a sub-call and return how many.

    The other half stays for sub-calls beside it and for retries of this one.
    """
    part = (account.left + 1) // 2
    account.move_out(part)
    return part


def give_back(account: Account, unspent: int, part: int | None = None) -> int:
    """Take back what a sub-call did not spend and return how many were taken.

    :param unspent: what the answer says; never trusted beyond what was handed out.
    :param part: what `hand_out` returned for this sub-call.
    """
    bound = account.handed_out if part is None else min(part, account.handed_out)
    taken = min(max(unspent, 0), bound)
    account.move_back(taken)
    return taken
