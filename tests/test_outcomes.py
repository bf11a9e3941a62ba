"""Tests of the outcome reported after several attempts, and of which outcomes are retriable."""

from functools import reduce

from hypothesis import given
from hypothesis import strategies as st

from pollenbay.ids import CallName
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
from pollenbay.queries.retry import is_retriable, outcome_to_report
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


def reported_after(attempts: list[Outcome]) -> Outcome:
    """Return the outcome reported to the caller after these attempts."""
    return reduce(lambda reported, last: outcome_to_report(last, reported), attempts, None)


def make_rule(idempotent: bool) -> CallRule:
    return CallRule(
        name=CallName("c"), call_class=CallClass.NORMAL, idempotent=idempotent, wait_ms=100
    )


class TestReportedOutcome:
    """The outcome reported after the last attempt."""

    @given(ATTEMPTS)
    def test_not_run_is_reported_only_if_no_attempt_may_have_run(
        self, attempts: list[Outcome]
    ) -> None:
        refused = all(isinstance(attempt, NotRun) for attempt in attempts)
        assert isinstance(reported_after(attempts), NotRun) is refused

    @given(ATTEMPTS)
    def test_response_of_the_last_attempt_is_reported(self, attempts: list[Outcome]) -> None:
        if isinstance(attempts[-1], Answered):
            assert reported_after(attempts) == attempts[-1]


class TestRetriable:
    def test_non_idempotent_call_is_retriable_only_if_not_run(self) -> None:
        assert is_retriable(NotRun(Reason.OVERLOAD), make_rule(False))
        assert not is_retriable(Unknown(Reason.CONNECTION_LOST), make_rule(False))
        assert not is_retriable(Answered(503, [], b""), make_rule(False))

    def test_idempotent_call_is_retriable_if_it_may_have_run(self) -> None:
        assert is_retriable(Unknown(Reason.CONNECTION_LOST), make_rule(True))
        assert is_retriable(Answered(503, [], b""), make_rule(True))
        assert not is_retriable(Answered(500, [], b""), make_rule(True))
        assert is_retriable(Answered(500, [], b""), make_rule(True), may_repeat_failure=True)
        assert not is_retriable(Answered(500, [], b""), make_rule(False), may_repeat_failure=True)
        assert not is_retriable(Answered(404, [], b""), make_rule(True), may_repeat_failure=True)

    def test_caller_share_and_deadline_refusals_are_final(self) -> None:
        assert not is_retriable(NotRun(Reason.CALLER_SHARE), make_rule(True))
        assert not is_retriable(NotRun(Reason.DEADLINE), make_rule(True))
