"""What a caller is told after several attempts, and which outcomes may be tried again."""

from functools import reduce

from hypothesis import given
from hypothesis import strategies as st

from pollenbay.ids import CallName
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
from pollenbay.queries.retry import is_retriable, outcome_to_tell
from pollenbay.rule import CallRule
from pollenbay.states import CallClass, Reason

ATTEMPTS = st.lists(
    st.sampled_from(
        [
            NotRun(Reason.OVERLOAD),
            NotRun(Reason.CONNECT_FAILED),
            Unknown(Reason.CONNECTION_LOST),
            Answered(503, [], b""),
            Answered(200, [], b"whole"),
        ]
    ),
    min_size=1,
    max_size=6,
)


def told_after(attempts: list[Outcome]) -> Outcome:
    """Return what a caller is told after these attempts."""
    return reduce(lambda told, last: outcome_to_tell(last, told), attempts, None)


def rule(idempotent: bool) -> CallRule:
    """Return a rule that is or is not idempotent."""
    return CallRule(
        name=CallName("c"), call_class=CallClass.NORMAL, idempotent=idempotent, wait_ms=100
    )


class TestTold:
    """The outcome after the last attempt."""

    @given(ATTEMPTS)
    def test_not_run_only_if_no_attempt_may_have_run(self, attempts: list[Outcome]) -> None:
        refused = all(isinstance(attempt, NotRun) for attempt in attempts)
        assert isinstance(told_after(attempts), NotRun) is refused

    @given(ATTEMPTS)
    def test_answer_of_the_last_attempt_is_told(self, attempts: list[Outcome]) -> None:
        if isinstance(attempts[-1], Answered):
            assert told_after(attempts) == attempts[-1]


class TestRetriable:
    """Outcomes after which another attempt may follow."""

    def test_non_idempotent_only_if_it_was_not_run(self) -> None:
        assert is_retriable(NotRun(Reason.OVERLOAD), rule(False))
        assert not is_retriable(Unknown(Reason.CONNECTION_LOST), rule(False))
        assert not is_retriable(Answered(503, [], b""), rule(False))

    def test_idempotent_also_if_it_may_have_run(self) -> None:
        assert is_retriable(Unknown(Reason.CONNECTION_LOST), rule(True))
        assert is_retriable(Answered(503, [], b""), rule(True))
        assert not is_retriable(Answered(500, [], b""), rule(True))

    def test_refused_shares_and_deadlines_are_final(self) -> None:
        assert not is_retriable(NotRun(Reason.CALLER_SHARE), rule(True))
        assert not is_retriable(NotRun(Reason.DEADLINE), rule(True))
