"""Memory of what repeats were told: how long, for whom, and how many."""

from pollenbay.ids import Digest, RowKey
from pollenbay.memory import make_memory
from pollenbay.outcome import Answered, Unknown
from pollenbay.states import Reason

KEY = RowKey("claim/1")
ONE = Digest("one")
TWO = Digest("two")
ANSWER = Answered(200, [], b"booked")


class TestRecall:
    def test_until_its_time_is_over(self) -> None:
        memory = make_memory()
        memory.remember(KEY, ONE, ANSWER, until=10.0)
        assert memory.recall(KEY, ONE, now=10.0) == ANSWER
        assert memory.recall(KEY, ONE, now=10.1) is None

    def test_not_for_another_request_of_the_key(self) -> None:
        memory = make_memory()
        memory.remember(KEY, ONE, ANSWER, until=10.0)
        assert memory.recall(KEY, TWO, now=0.0) is None

    def test_newer_replaces_older(self) -> None:
        memory = make_memory()
        memory.remember(KEY, ONE, Unknown(Reason.DUPLICATE), until=10.0)
        memory.remember(KEY, ONE, ANSWER, until=10.0)
        assert memory.recall(KEY, ONE, now=0.0) == ANSWER


class TestLimit:
    def test_least_recently_used_goes_first(self) -> None:
        memory = make_memory(limit=2)
        for name in ("a", "b"):
            memory.remember(RowKey(name), ONE, ANSWER, until=10.0)
        memory.recall(RowKey("a"), ONE, now=0.0)
        memory.remember(RowKey("c"), ONE, ANSWER, until=10.0)
        kept = [name for name in "abc" if memory.recall(RowKey(name), ONE, now=0.0)]
        assert kept == ["a", "c"]
