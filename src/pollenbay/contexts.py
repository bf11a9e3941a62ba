"""Open contexts: calls that the target is serving, by the key that links its nested calls."""

from dataclasses import dataclass

from pollenbay.account import RetryAccount
from pollenbay.ids import CallerId, ContextKey, RequestId, make_context_key
from pollenbay.states import CallClass


@dataclass(slots=True)
class Context:
    """State shared by the nested calls that a target makes for one call.

    :param account: retry account that they share.
    :param deadline: monotonic seconds by which the parent call must be answered.
    :param nested_calls: nested calls in progress.
    :param waiting_since: monotonic seconds since which at least one has been in progress.
    :param waited_s: seconds during which at least one was in progress, up to `waiting_since`.
    """

    request: RequestId
    call_class: CallClass
    caller: CallerId
    account: RetryAccount
    deadline: float
    depth: int
    nested_calls: int = 0
    waiting_since: float = 0.0
    waited_s: float = 0.0

    def begin_nested_call(self, now: float) -> None:
        """Record that the target waits for one more nested call."""
        if not self.nested_calls:
            self.waiting_since = now
        self.nested_calls += 1

    def end_nested_call(self, now: float) -> None:
        """Record that a nested call has ended."""
        self.nested_calls -= 1
        if not self.nested_calls:
            self.waited_s += now - self.waiting_since

    def total_waited_s(self, now: float) -> float:
        """Return the seconds that the target has spent waiting for nested calls."""
        return self.waited_s + (now - self.waiting_since if self.nested_calls else 0.0)


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
