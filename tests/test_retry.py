"""Tests of retries: conserved over any call tree, and held down by the ratio of the node."""

from dataclasses import dataclass, field
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pollenbay.account import Account, make_account
from pollenbay.budget import BURST_RETRIES, RETRIES_PER_FIRST_CALL, RETRIES_PER_S, make_retry_budget
from pollenbay.commands.retry import give_back, hand_out, note_first, take_retry
from pollenbay.states import CallClass

DEPTH = 13
NODES_MAX = 120
DEADLINE = 100.0


@dataclass
class CallNode:
    """One call of a tree: groups of sub-calls, those of one group at the same time."""

    groups: list[list["CallNode"]] = field(default_factory=list)
    attempts: int = 0


@dataclass
class Faults:
    """Parts of the attempts that fail and of the answers that are lost."""

    fails: float
    lost: float
    drops_context: float = 0.0


class TreeRun:
    """Runs a call tree with the product's decisions and counts what happens."""

    def __init__(self, faults: Faults, rng: Random) -> None:
        self._faults = faults
        self._rng = rng
        self._budget = make_retry_budget()
        self.first_calls = 0
        self.attempts = 0

    def place(self, call: CallNode, account: Account) -> bool:
        """Make a call with retries and tell whether it succeeded."""
        self.first_calls += 1
        note_first(self._budget, CallClass.CRITICAL, 0.0)
        part = hand_out(account)
        return self.finish(call, account, part)

    def finish(self, call: CallNode, account: Account, part: int) -> bool:
        while True:
            succeeded = self.attempt(call, account, part)
            if succeeded:
                return True
            if not take_retry(account, self._budget, CallClass.CRITICAL, 0.0):
                return False
            part = hand_out(account)

    def attempt(self, call: CallNode, account: Account, part: int) -> bool:
        self.attempts += 1
        call.attempts += 1
        below = make_account(part, DEADLINE)
        succeeded = self.serve(call, below)
        if self._rng.random() < self._faults.lost:
            return False
        give_back(account, below.left, part)
        return succeeded

    def serve(self, call: CallNode, below: Account) -> bool:
        if self._rng.random() < self._faults.drops_context:
            below = make_account(0, DEADLINE)
        for group in call.groups:
            if not self.serve_group(group, below):
                return False
        return self._rng.random() >= self._faults.fails

    def serve_group(self, group: list[CallNode], below: Account) -> bool:
        self.first_calls += len(group)
        parts = [(call, hand_out(below)) for call in group]
        self._rng.shuffle(parts)
        return all([self.finish(call, below, part) for call, part in parts])


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
    for upper, lower in zip(chain, chain[1:], strict=False):
        upper.groups.append([lower])
    return chain


SEEDS = st.integers(min_value=0, max_value=2**32)
PARTS = st.sampled_from([0.0, 0.05, 0.3, 0.7, 1.0])


class TestChain:
    @given(
        seed=SEEDS,
        depth=st.integers(1, DEPTH),
        width=st.integers(1, 4),
        retries=st.integers(0, 8),
        fails=PARTS,
        lost=PARTS,
        drops=PARTS,
    )
    def test_attempts_never_exceed_first_calls_and_allowance(
        self,
        seed: int,
        depth: int,
        width: int,
        retries: int,
        fails: float,
        lost: float,
        drops: float,
    ) -> None:
        rng = Random(seed)
        run = TreeRun(Faults(fails, lost, drops), rng)
        account = make_account(retries, DEADLINE)
        run.place(make_tree(rng, depth, width), account)
        assert run.attempts <= run.first_calls + retries
        assert 0 <= account.left <= retries

    @given(seed=SEEDS, retries=st.integers(0, 8), fails=PARTS, lost=PARTS)
    def test_no_call_of_a_deep_chain_runs_oftener_than_the_allowance(
        self, seed: int, retries: int, fails: float, lost: float
    ) -> None:
        chain = make_chain(DEPTH)
        TreeRun(Faults(fails, lost), Random(seed)).place(chain[0], make_account(retries, DEADLINE))
        assert all(call.attempts <= 1 + retries for call in chain)

    def test_the_allowance_is_of_use_to_the_deepest_call(self) -> None:
        chain = make_chain(DEPTH)
        run = TreeRun(Faults(fails=0.0, lost=0.0), Random(1))
        failures = [False, True]
        run.serve = _fail_first(run, chain[-1], failures)  # type: ignore[method-assign]
        assert run.place(chain[0], make_account(1, DEADLINE))
        assert chain[-1].attempts == 2
        assert all(call.attempts == 1 for call in chain[:-1])

    def test_without_an_allowance_nothing_is_retried(self) -> None:
        chain = make_chain(DEPTH)
        run = TreeRun(Faults(fails=1.0, lost=0.0), Random(1))
        assert not run.place(chain[0], make_account(0, DEADLINE))
        assert run.attempts == DEPTH


def _fail_first(run: TreeRun, victim: CallNode, results: list[bool]):
    serve = run.serve

    def serve_or_fail(call: CallNode, below: Account) -> bool:
        return results.pop(0) if call is victim and results else serve(call, below)

    return serve_or_fail


class TestAccount:
    def test_a_part_goes_out_and_the_rest_comes_back(self) -> None:
        account = make_account(5, DEADLINE)
        assert hand_out(account) == 3
        assert (account.left, account.handed_out) == (2, 3)
        assert give_back(account, 2, 3) == 2
        assert (account.left, account.handed_out) == (4, 1)

    def test_the_last_one_goes_down(self) -> None:
        account = make_account(1, DEADLINE)
        assert hand_out(account) == 1
        assert hand_out(account) == 0

    def test_more_than_was_handed_out_is_not_taken(self) -> None:
        account = make_account(4, DEADLINE)
        part = hand_out(account)
        assert give_back(account, 100, part) == part
        assert give_back(account, 100) == 0
        assert give_back(account, -3) == 0
        assert account.left == 4

    def test_an_answer_cannot_bring_what_another_one_lost(self) -> None:
        account = make_account(4, DEADLINE)
        hand_out(account)
        part = hand_out(account)
        give_back(account, 2, part)
        assert account.left == 2

    def test_nothing_is_retried_past_the_deadline(self) -> None:
        account, budget = make_account(2, DEADLINE), make_retry_budget()
        assert not take_retry(account, budget, CallClass.NORMAL, DEADLINE)
        assert take_retry(account, budget, CallClass.NORMAL, DEADLINE - 1.0)

    def test_a_negative_grant_is_none(self) -> None:
        assert make_account(-2, DEADLINE).left == 0


class TestBudget:
    def spend_all(self, call_class: CallClass, first_calls: int, seconds: float) -> int:
        budget = make_retry_budget()
        retries = 0
        for index in range(first_calls):
            now = seconds * index / first_calls
            note_first(budget, call_class, now)
            account = make_account(3, seconds + 1.0)
            while take_retry(account, budget, call_class, now):
                retries += 1
        return retries

    def test_retries_keep_to_the_ratio(self) -> None:
        seconds = 10.0
        retries = self.spend_all(CallClass.SHEDDABLE, 2000, seconds)
        bound = 2000 * RETRIES_PER_FIRST_CALL + seconds * RETRIES_PER_S + BURST_RETRIES
        assert 2000 * RETRIES_PER_FIRST_CALL * 0.9 < retries <= bound

    def test_rare_calls_can_be_retried(self) -> None:
        assert self.spend_all(CallClass.NORMAL, 10, 600.0) == 30

    def test_a_refused_retry_costs_the_request_nothing(self) -> None:
        budget = make_retry_budget()
        spender = make_account(100, DEADLINE)
        while take_retry(spender, budget, CallClass.NORMAL, 0.0):
            pass
        account = make_account(1, DEADLINE)
        assert not take_retry(account, budget, CallClass.NORMAL, 0.0)
        assert account.left == 1

    def test_a_request_without_allowance_costs_the_budget_nothing(self) -> None:
        budget = make_retry_budget()
        assert not take_retry(make_account(0, DEADLINE), budget, CallClass.NORMAL, 0.0)
        assert budget.left(CallClass.NORMAL) == BURST_RETRIES

    def test_what_is_saved_up_is_bounded(self) -> None:
        budget = make_retry_budget()
        for second in range(10_000):
            note_first(budget, CallClass.NORMAL, float(second))
        assert budget.left(CallClass.NORMAL) == BURST_RETRIES

    def test_one_class_does_not_spend_for_another(self) -> None:
        budget = make_retry_budget()
        while budget.spend(CallClass.SHEDDABLE):
            pass
        assert take_retry(make_account(1, DEADLINE), budget, CallClass.CRITICAL, 0.0)


class TestAnsweredEarly:
    """A target that answers while a call of its own goes on."""

    def test_what_went_back_is_not_spent_again_below(self) -> None:
        account, budget = make_account(3, DEADLINE), make_retry_budget()
        below = hand_out(account)
        returned = account.take_all()
        assert below + returned == 3
        assert not take_retry(account, budget, CallClass.NORMAL, 0.0)
