"""Cache of outcomes recently returned to repeated calls.

It spares the table from keys that are repeated at a high rate.
"""

from collections import OrderedDict
from dataclasses import dataclass

from pollenbay.ids import Digest, RowKey
from pollenbay.outcome import Answered, Unknown

CACHE_ENTRIES_MAX = 256


@dataclass(frozen=True, slots=True)
class _Entry:
    outcome: Answered | Unknown
    expires_at: float


class OutcomeCache:
    """Outcomes by key and fingerprint, with least-recently-used eviction.

    A cached outcome must stay valid until it expires. The response of a completed run does; so does
    `Unknown`, which only states that the requester has no known outcome.
    """

    def __init__(self, limit: int = CACHE_ENTRIES_MAX) -> None:
        self._limit = limit
        self._entries: OrderedDict[tuple[RowKey, Digest], _Entry] = OrderedDict()

    def store(
        self, key: RowKey, fingerprint: Digest, outcome: Answered | Unknown, expires_at: float
    ) -> None:
        """Store an outcome.

        :param expires_at: time of expiry in seconds since the epoch.
        """
        self._entries[key, fingerprint] = _Entry(outcome, expires_at)
        self._entries.move_to_end((key, fingerprint))
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def lookup(self, key: RowKey, fingerprint: Digest, now: float) -> Answered | Unknown | None:
        """Return the cached outcome, or None.

        :param now: seconds since the epoch.
        """
        entry = self._entries.get((key, fingerprint))
        if entry is None:
            return None
        if entry.expires_at < now:
            del self._entries[key, fingerprint]
            return None
        self._entries.move_to_end((key, fingerprint))
        return entry.outcome


def make_outcome_cache(limit: int = CACHE_ENTRIES_MAX) -> OutcomeCache:
    """Return an empty cache."""
    return OutcomeCache(limit)
