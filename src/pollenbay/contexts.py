"""Calls that the target is serving now, by the key with which its own calls join them."""

from dataclasses import dataclass

from pollenbay.account import Account
from pollenbay.ids import CallerId, ContextKey, RequestId, make_context_key
from pollenbay.states import CallClass


@dataclass(slots=True)
class Context:
    """What the calls made by a target for one call have in common.

    :param account: retries that they share.
    :param deadline: monotonic seconds by which the call above them must be answered.
    :param open_calls: calls of the target under way.
    :param away_since: monotonic seconds since when there has been one.
    :param away_s: seconds for which there was one, without the present time.
    """

    request: RequestId
    call_class: CallClass
    caller: CallerId
    account: Account
    deadline: float
    depth: int
    open_calls: int = 0
    away_since: float = 0.0
    away_s: float = 0.0

    def begin_call(self, now: float) -> None:
        """Note that the target waits for one more call of its own."""
        if not self.open_calls:
            self.away_since = now
        self.open_calls += 1

    def end_call(self, now: float) -> None:
        """Note that one of these calls has ended."""
        self.open_calls -= 1
        if not self.open_calls:
            self.away_s += now - self.away_since

    def away_until(self, now: float) -> float:
        """Return the seconds that the target has spent waiting for calls of its own."""
        return self.away_s + (now - self.away_since if self.open_calls else 0.0)


class Contexts:
    """The open contexts of one node; a key is of no use once its call has ended."""

    def __init__(self) -> None:
        self._open: dict[ContextKey, Context] = {}

    @property
    def count(self) -> int:
        """Return how many are open."""
        return len(self._open)

    def find(self, key: ContextKey) -> Context | None:
        """Return an open context, or None."""
        return self._open.get(key)

    def open(self, context: Context) -> ContextKey:
        """Return the new key of a context."""
        key = make_context_key()
        self._open[key] = context
        return key

    def close(self, key: ContextKey) -> None:
        """End a context."""
        del self._open[key]


def make_contexts() -> Contexts:
    """Return no contexts."""
    return Contexts()
