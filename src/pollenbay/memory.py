"""Short memory of what repeats of a call were told, so that hammered keys spare the table."""

from collections import OrderedDict
from dataclasses import dataclass

from pollenbay.ids import Digest, RowKey
from pollenbay.outcome import Answered, Unknown

MEMORY_ENTRIES = 256


@dataclass(frozen=True, slots=True)
class _Entry:
    outcome: Answered | Unknown
    until: float


class Memory:
    """Outcomes by key and fingerprint; the least recently used go first.

    What a request may be told again must stay true while it is remembered: the answer of a run
    does, and so does that the outcome is unknown to whoever is told so.
    """

    def __init__(self, limit: int = MEMORY_ENTRIES) -> None:
        self._limit = limit
        self._entries: OrderedDict[tuple[RowKey, Digest], _Entry] = OrderedDict()

    def remember(
        self, key: RowKey, fingerprint: Digest, outcome: Answered | Unknown, until: float
    ) -> None:
        """Remember an outcome.

        :param until: seconds since the epoch.
        """
        self._entries[key, fingerprint] = _Entry(outcome, until)
        self._entries.move_to_end((key, fingerprint))
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def recall(self, key: RowKey, fingerprint: Digest, now: float) -> Answered | Unknown | None:
        """Return what is remembered, or None.

        :param now: seconds since the epoch.
        """
        entry = self._entries.get((key, fingerprint))
        if entry is None:
            return None
        if entry.until < now:
            del self._entries[key, fingerprint]
            return None
        self._entries.move_to_end((key, fingerprint))
        return entry.outcome


def make_memory(limit: int = MEMORY_ENTRIES) -> Memory:
    """Return an empty memory."""
    return Memory(limit)
