"""Tests of retries: tokens are conserved over any call tree, and a budget bounds each node."""

from dataclasses import dataclass, field
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pollenbay.account import RetryAccount, make_retry_account
from pollenbay.budget import BURST_TOKENS, TOKENS_PER_FIRST_ATTEMPT, TOKENS_PER_S, make_retry_budget
from pollenbay.commands.retry import (
    delegate_tokens,
    reclaim_tokens,
    record_first_attempt,
    spend_retry,
)
from pollenbay.states import CallClass

DEPTH = 13
NODES_MAX = 120
DEADLINE = 100.0


@dataclass
class CallNode:
    """One call of a tree: sequential groups of nested calls, concurrent within a group."""

    groups: list[list["CallNode"]] = field(default_factory=list)
    attempts: int = 0


@dataclass
class Faults:
    """Ratios of failing attempts, of lost responses and of calls that drop their context."""

    failure_ratio: float
    loss_ratio: float
    context_loss_ratio: float = 0.0


class TreeRun:
    """Runs a call tree with the production retry code and counts first calls and attempts."""

    def __init__(self, faults: Faults, rng: Random) -> None:
        self._faults = faults
        self._rng = rng
        self._budget = make_retry_budget()
        self.first_calls = 0
        self.attempts = 0

    def make_call(self, call: CallNode, account: RetryAccount) -> bool:
        """Make a call with retries and return whether it succeeded."""
        self.first_calls += 1
        record_first_attempt(self._budget, CallClass.CRITICAL, 0.0)
        tokens = delegate_tokens(account)
        return self.make_attempts(call, account, tokens)

    def make_attempts(self, call: CallNode, account: RetryAccount, tokens: int) -> bool:
        while True:
            succeeded = self.attempt(call, account, tokens)
            if succeeded:
                return True
            if not spend_retry(account, self._budget, CallClass.CRITICAL, 0.0):
                return False
            tokens = delegate_tokens(account)

    def attempt(self, call: CallNode, account: RetryAccount, tokens: int) -> bool:
        self.attempts += 1
        call.attempts += 1
        nested_account = make_retry_account(tokens, DEADLINE)
        succeeded = self.serve(call, nested_account)
        if self._rng.random() < self._faults.loss_ratio:
            return False
        reclaim_tokens(account, nested_account.remaining, tokens)
        return succeeded

    def serve(self, call: CallNode, account: RetryAccount) -> bool:
        if self._rng.random() < self._faults.context_loss_ratio:
            account = make_retry_account(0, DEADLINE)
        for group in call.groups:
            if not self.serve_group(group, account):
                return False
        return self._rng.random() >= self._faults.failure_ratio

    def serve_group(self, group: list[CallNode], account: RetryAccount) -> bool:
        self.first_calls += len(group)
        delegated = [(call, delegate_tokens(account)) for call in group]
        self._rng.shuffle(delegated)
        return all([self.make_attempts(call, account, tokens) for call, tokens in delegated])


def make_tree(rng: Random, depth: int, width: int) -> CallNode:
    left = NODES_MAX

    def grow(level: int) -> CallNode:
        nonlocal left
        node = CallNode()
        if level == depth:
            return node
        for _ in range(rng.randint(1, 2)):
            size = min(rng.randint(1, width), max(left, 0))
            left -= size
            if size:
                node.groups.append([grow(level + 1) for _ in range(size)])
        return node

    return grow(1)


def make_chain(depth: int) -> list[CallNode]:
    chain = [CallNode() for _ in range(depth)]
    for parent, nested in zip(chain, chain[1:], strict=False):
        parent.groups.append([nested])
    return chain


SEEDS = st.integers(min_value=0, max_value=2**32)
RATIOS = st.sampled_from([0.0, 0.05, 0.3, 0.7, 1.0])


class TestChain:
    @given(
        seed=SEEDS,
        depth=st.integers(1, DEPTH),
        width=st.integers(1, 4),
        retries=st.integers(0, 8),
        failure_ratio=RATIOS,
        loss_ratio=RATIOS,
        context_loss_ratio=RATIOS,
    )
    def test_attempts_never_exceed_first_calls_plus_retry_allowance(
        self,
        seed: int,
        depth: int,
        width: int,
        retries: int,
        failure_ratio: float,
        loss_ratio: float,
        context_loss_ratio: float,
    ) -> None:
        rng = Random(seed)
        run = TreeRun(Faults(failure_ratio, loss_ratio, context_loss_ratio), rng)
        account = make_retry_account(retries, DEADLINE)
        run.make_call(make_tree(rng, depth, width), account)
        assert run.attempts <= run.first_calls + retries
        assert 0 <= account.remaining <= retries

    @given(seed=SEEDS, retries=st.integers(0, 8), failure_ratio=RATIOS, loss_ratio=RATIOS)
    def test_no_call_of_a_chain_has_more_attempts_than_the_retry_allowance_permits(
        self, seed: int, retries: int, failure_ratio: float, loss_ratio: float
    ) -> None:
        chain = make_chain(DEPTH)
        TreeRun(Faults(failure_ratio, loss_ratio), Random(seed)).make_call(
            chain[0], make_retry_account(retries, DEADLINE)
        )
        assert all(call.attempts <= 1 + retries for call in chain)

    def test_retry_allowance_reaches_the_deepest_call(self) -> None:
        chain = make_chain(DEPTH)
        run = TreeRun(Faults(failure_ratio=0.0, loss_ratio=0.0), Random(1))
        failures = [False, True]
        run.serve = _fail_first(run, chain[-1], failures)  # type: ignore[method-assign]
        assert run.make_call(chain[0], make_retry_account(1, DEADLINE))
        assert chain[-1].attempts == 2
        assert all(call.attempts == 1 for call in chain[:-1])

    def test_no_call_is_retried_without_a_retry_allowance(self) -> None:
        chain = make_chain(DEPTH)
        run = TreeRun(Faults(failure_ratio=1.0, loss_ratio=0.0), Random(1))
        assert not run.make_call(chain[0], make_retry_account(0, DEADLINE))
        assert run.attempts == DEPTH


def _fail_first(run: TreeRun, failing_call: CallNode, results: list[bool]):
    serve = run.serve

    def serve_or_fail(call: CallNode, account: RetryAccount) -> bool:
        return results.pop(0) if call is failing_call and results else serve(call, account)

    return serve_or_fail


class TestAccount:
    def test_tokens_are_delegated_and_unused_ones_reclaimed(self) -> None:
        account = make_retry_account(5, DEADLINE)
        assert delegate_tokens(account) == 3
        assert (account.remaining, account.delegated) == (2, 3)
        assert reclaim_tokens(account, 2, 3) == 2
        assert (account.remaining, account.delegated) == (4, 1)

    def test_last_token_is_delegated(self) -> None:
        account = make_retry_account(1, DEADLINE)
        assert delegate_tokens(account) == 1
        assert delegate_tokens(account) == 0

    def test_reclaimed_tokens_do_not_exceed_delegated_tokens(self) -> None:
        account = make_retry_account(4, DEADLINE)
        tokens = delegate_tokens(account)
        assert reclaim_tokens(account, 100, tokens) == tokens
        assert reclaim_tokens(account, 100) == 0
        assert reclaim_tokens(account, -3) == 0
        assert account.remaining == 4

    def test_response_does_not_reclaim_tokens_lost_by_another_attempt(self) -> None:
        account = make_retry_account(4, DEADLINE)
        delegate_tokens(account)
        tokens = delegate_tokens(account)
        reclaim_tokens(account, 2, tokens)
        assert account.remaining == 2

    def test_no_retry_at_or_after_the_deadline(self) -> None:
        account, budget = make_retry_account(2, DEADLINE), make_retry_budget()
        assert not spend_retry(account, budget, CallClass.NORMAL, DEADLINE)
        assert spend_retry(account, budget, CallClass.NORMAL, DEADLINE - 1.0)

    def test_negative_allowance_is_zero(self) -> None:
        assert make_retry_account(-2, DEADLINE).remaining == 0


class TestBudget:
    def count_retries(self, call_class: CallClass, first_calls: int, seconds: float) -> int:
        budget = make_retry_budget()
        retries = 0
        for index in range(first_calls):
            now = seconds * index / first_calls
            record_first_attempt(budget, call_class, now)
            account = make_retry_account(3, seconds + 1.0)
            while spend_retry(account, budget, call_class, now):
                retries += 1
        return retries

    def test_retries_are_bounded_by_the_ratio_of_first_calls(self) -> None:
        seconds = 10.0
        retries = self.count_retries(CallClass.SHEDDABLE, 2000, seconds)
        bound = 2000 * TOKENS_PER_FIRST_ATTEMPT + seconds * TOKENS_PER_S + BURST_TOKENS
        assert 2000 * TOKENS_PER_FIRST_ATTEMPT * 0.9 < retries <= bound

    def test_infrequent_calls_can_be_retried(self) -> None:
        assert self.count_retries(CallClass.NORMAL, 10, 600.0) == 30

    def test_retry_refused_by_the_budget_spends_no_token(self) -> None:
        budget = make_retry_budget()
        spender = make_retry_account(100, DEADLINE)
        while spend_retry(spender, budget, CallClass.NORMAL, 0.0):
            pass
        account = make_retry_account(1, DEADLINE)
        assert not spend_retry(account, budget, CallClass.NORMAL, 0.0)
        assert account.remaining == 1

    def test_retry_without_tokens_spends_no_budget(self) -> None:
        budget = make_retry_budget()
        assert not spend_retry(make_retry_account(0, DEADLINE), budget, CallClass.NORMAL, 0.0)
        assert budget.tokens(CallClass.NORMAL) == BURST_TOKENS

    def test_accumulated_budget_is_bounded(self) -> None:
        budget = make_retry_budget()
        for second in range(10_000):
            record_first_attempt(budget, CallClass.NORMAL, float(second))
        assert budget.tokens(CallClass.NORMAL) == BURST_TOKENS

    def test_budget_is_separate_for_each_class(self) -> None:
        budget = make_retry_budget()
        while budget.spend(CallClass.SHEDDABLE):
            pass
        assert spend_retry(make_retry_account(1, DEADLINE), budget, CallClass.CRITICAL, 0.0)


class TestEarlyResponse:
    """A target that responds while one of its nested calls is still in progress."""

    def test_returned_tokens_cannot_be_spent_again(self) -> None:
        account, budget = make_retry_account(3, DEADLINE), make_retry_budget()
        delegated = delegate_tokens(account)
        returned = account.withdraw_all()
        assert delegated + returned == 3
        assert not spend_retry(account, budget, CallClass.NORMAL, 0.0)
