"""Cached outcomes of repeated requests: expiry, match of the request, and size limit."""

from pollenbay.ids import Digest, RowKey
from pollenbay.outcome import Answered, Unknown
from pollenbay.outcomecache import make_outcome_cache
from pollenbay.states import Reason

KEY = RowKey("claim/1")
ONE = Digest("one")
TWO = Digest("two")
RESPONSE = Answered(200, [], b"booked")


class TestLookup:
    def test_outcome_expires(self) -> None:
        cache = make_outcome_cache()
        cache.store(KEY, ONE, RESPONSE, expires_at=10.0)
        assert cache.lookup(KEY, ONE, now=10.0) == RESPONSE
        assert cache.lookup(KEY, ONE, now=10.1) is None

    def test_outcome_is_not_returned_for_another_request_of_the_key(self) -> None:
        cache = make_outcome_cache()
        cache.store(KEY, ONE, RESPONSE, expires_at=10.0)
        assert cache.lookup(KEY, TWO, now=0.0) is None

    def test_newer_outcome_replaces_the_older(self) -> None:
        cache = make_outcome_cache()
        cache.store(KEY, ONE, Unknown(Reason.DUPLICATE), expires_at=10.0)
        cache.store(KEY, ONE, RESPONSE, expires_at=10.0)
        assert cache.lookup(KEY, ONE, now=0.0) == RESPONSE


class TestLimit:
    def test_least_recently_used_outcome_is_evicted_first(self) -> None:
        cache = make_outcome_cache(limit=2)
        for name in ("a", "b"):
            cache.store(RowKey(name), ONE, RESPONSE, expires_at=10.0)
        cache.lookup(RowKey("a"), ONE, now=0.0)
        cache.store(RowKey("c"), ONE, RESPONSE, expires_at=10.0)
        kept = [name for name in "abc" if cache.lookup(RowKey(name), ONE, now=0.0)]
        assert kept == ["a", "c"]
