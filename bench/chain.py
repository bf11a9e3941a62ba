"""Number of attempts at the deepest service of a chain when it fails every call.

``PYTHONPATH=src:bench python bench/chain.py`` compares retries at each hop with a retry allowance
that is granted at the entry.
"""

from click import command, echo

from pollenbay.account import RetryAccount, make_retry_account
from pollenbay.budget import RetryBudget, make_retry_budget
from pollenbay.commands.retry import (
    delegate_tokens,
    reclaim_tokens,
    record_first_attempt,
    spend_retry,
)
from pollenbay.states import CallClass

RETRIES_PER_HOP = 3
RETRY_ALLOWANCE = 2
REQUESTS = 1000
REQUESTS_PER_S = 100.0
DEPTHS = (1, 2, 3, 4, 5, 6, 8, 13)


def attempts_with_hop_retries(depth: int) -> int:
    """Return the attempts at the deepest service when each hop retries independently."""
    return (1 + RETRIES_PER_HOP) ** depth


def attempts_with_allowance(depth: int, budgets: list[RetryBudget], now: float) -> int:
    """Return the attempts at the deepest service for one request with a retry allowance."""
    account = make_retry_account(RETRY_ALLOWANCE, now + 1.0)
    return _attempts_from_hop(0, depth, account, budgets, now)


def _attempts_from_hop(
    hop: int, depth: int, account: RetryAccount, budgets: list[RetryBudget], now: float
) -> int:
    record_first_attempt(budgets[hop], CallClass.NORMAL, now)
    attempts = 0
    while True:
        tokens = delegate_tokens(account)
        nested_account = make_retry_account(tokens, now + 1.0)
        if hop + 1 == depth:
            attempts += 1
        else:
            attempts += _attempts_from_hop(hop + 1, depth, nested_account, budgets, now)
        reclaim_tokens(account, nested_account.remaining, tokens)
        if not spend_retry(account, budgets[hop], CallClass.NORMAL, now):
            return attempts


@command()
def main() -> None:
    """Print the table."""
    echo("depth  retry 3 at each hop  allowance 2, first request  mean of 1000 in 10 s")
    for depth in DEPTHS:
        budgets = [make_retry_budget() for _ in range(depth)]
        attempts = [
            attempts_with_allowance(depth, budgets, index / REQUESTS_PER_S)
            for index in range(REQUESTS)
        ]
        mean = sum(attempts) / REQUESTS
        echo(f"{depth:5} {attempts_with_hop_retries(depth):20} {attempts[0]:27} {mean:21.2f}")


if __name__ == "__main__":
    main()
