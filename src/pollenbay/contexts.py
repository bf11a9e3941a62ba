"""Open contexts: calls that the target is serving, by the key that links its nested calls."""

from dataclasses import dataclass

from pollenbay.account import Account
from pollenbay.ids import CallerId, ContextKey, RequestId, make_context_key
from pollenbay.states import CallClass


@dataclass(slots=True)
class Context:
    """State shared by the nested calls that a target makes for one call.

    :param account: retry account that they share.
    :param deadline: monotonic seconds by which the parent call must be answered.
    :param open_calls: nested calls in progress.
    :param away_since: monotonic seconds since which at least one has been in progress.
    :param away_s: seconds during which at least one was in progress, up to `away_since`.
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
        """Record that the target waits for one more nested call."""
        if not self.open_calls:
            self.away_since = now
        self.open_calls += 1

    def end_call(self, now: float) -> None:
        """Record that a nested call has ended."""
        self.open_calls -= 1
        if not self.open_calls:
            self.away_s += now - self.away_since

    def away_until(self, now: float) -> float:
        """Return the seconds that the target has spent waiting for nested calls."""
        return self.away_s + (now - self.away_since if self.open_calls else 0.0)


class Contexts:
    """The open contexts of one node; a key becomes invalid when its call ends."""

    def __init__(self) -> None:
        self._open: dict[ContextKey, Context] = {}

    @property
    def count(self) -> int:
        """Return the number of open contexts."""
        return len(self._open)

    def find(self, key: ContextKey) -> Context | None:
        """Return an open context, or None."""
        return self._open.get(key)

    def open(self, context: Context) -> ContextKey:
        """Open a context and return its new key."""
        key = make_context_key()
        self._open[key] = context
        return key

    def close(self, key: ContextKey) -> None:
        """Close a context."""
        del self._open[key]


def make_contexts() -> Contexts:
    """Return an empty set of contexts."""
    return Contexts()
