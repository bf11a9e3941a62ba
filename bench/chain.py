"""Attempts at each service of a chain whose deepest service fails every call.

``PYTHONPATH=src:bench python bench/chain.py`` compares retries at each hop with the allowance.
"""

from click import command, echo

from pollenbay.account import Account, make_account
from pollenbay.budget import RetryBudget, make_retry_budget
from pollenbay.commands.retry import give_back, hand_out, note_first, take_retry
from pollenbay.states import CallClass

HOP_RETRIES = 3
ALLOWANCE = 2
REQUESTS = 1000
REQUESTS_PER_S = 100.0
DEPTHS = (1, 2, 3, 4, 5, 6, 8, 13)


def attempts_by_hops(depth: int) -> int:
    """Return the attempts at the deepest service when each hop tries again on its own."""
    return (1 + HOP_RETRIES) ** depth


def attempts_by_allowance(depth: int, budgets: list[RetryBudget], now: float) -> int:
    """Return the attempts at the deepest service of one request with an allowance."""
    account = make_account(ALLOWANCE, now + 1.0)
    return _place(0, depth, account, budgets, now)


def _place(level: int, depth: int, account: Account, budgets: list[RetryBudget], now: float) -> int:
    note_first(budgets[level], CallClass.NORMAL, now)
    attempts = 0
    while True:
        part = hand_out(account)
        below = make_account(part, now + 1.0)
        if level + 1 == depth:
            attempts += 1
        else:
            attempts += _place(level + 1, depth, below, budgets, now)
        give_back(account, below.left, part)
        if not take_retry(account, budgets[level], CallClass.NORMAL, now):
            return attempts


@command()
def main() -> None:
    """Print the table."""
    echo("depth  retry 3 at each hop  allowance 2, first request  mean of 1000 in 10 s")
    for depth in DEPTHS:
        budgets = [make_retry_budget() for _ in range(depth)]
        each = [
            attempts_by_allowance(depth, budgets, index / REQUESTS_PER_S)
            for index in range(REQUESTS)
        ]
        mean = sum(each) / REQUESTS
        echo(f"{depth:5} {attempts_by_hops(depth):20} {each[0]:27} {mean:21.2f}")


if __name__ == "__main__":
    main()
