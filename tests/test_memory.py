"""Cached outcomes of repeated requests: expiry, match of the request, and size limit."""

from pollenbay.ids import Digest, RowKey
from pollenbay.memory import make_memory
from pollenbay.outcome import Answered, Unknown
from pollenbay.states import Reason

KEY = RowKey("claim/1")
ONE = Digest("one")
TWO = Digest("two")
RESPONSE = Answered(200, [], b"booked")


class TestLookup:
    def test_outcome_expires(self) -> None:
        cache = make_memory()
        cache.remember(KEY, ONE, RESPONSE, until=10.0)
        assert cache.recall(KEY, ONE, now=10.0) == RESPONSE
        assert cache.recall(KEY, ONE, now=10.1) is None

    def test_outcome_is_not_returned_for_another_request_of_the_key(self) -> None:
        cache = make_memory()
        cache.remember(KEY, ONE, RESPONSE, until=10.0)
        assert cache.recall(KEY, TWO, now=0.0) is None

    def test_newer_outcome_replaces_the_older(self) -> None:
        cache = make_memory()
        cache.remember(KEY, ONE, Unknown(Reason.DUPLICATE), until=10.0)
        cache.remember(KEY, ONE, RESPONSE, until=10.0)
        assert cache.recall(KEY, ONE, now=0.0) == RESPONSE


class TestLimit:
    def test_least_recently_used_outcome_is_evicted_first(self) -> None:
        cache = make_memory(limit=2)
        for name in ("a", "b"):
            cache.remember(RowKey(name), ONE, RESPONSE, until=10.0)
        cache.recall(RowKey("a"), ONE, now=0.0)
        cache.remember(RowKey("c"), ONE, RESPONSE, until=10.0)
        kept = [name for name in "abc" if cache.recall(RowKey(name), ONE, now=0.0)]
        assert kept == ["a", "c"]
