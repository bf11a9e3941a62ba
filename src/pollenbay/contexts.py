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
    """

    request: RequestId
    call_class: CallClass
    caller: CallerId
    account: Account
    deadline: float
    depth: int


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
