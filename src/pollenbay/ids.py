"""Identifiers, each a type of its own so that a checker can tell them apart."""

from itertools import count
from secrets import token_hex
from typing import NewType

REQUEST_ID_BYTES = 8
CONTEXT_KEY_BYTES = 16

_CALL_NUMBERS = count()

HostId = NewType("HostId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
ServiceName = NewType("ServiceName", str)
CallName = NewType("CallName", str)
CallerId = NewType("CallerId", str)
OperatorId = NewType("OperatorId", str)
#: A node and the target beside it; the same across restarts of one slot.
InstanceId = NewType("InstanceId", str)
#: Grows each time an instance starts, so that news of an earlier run can be told apart.
Incarnation = NewType("Incarnation", int)
#: One run of a target, as the target names itself; empty if it does not.
TargetId = NewType("TargetId", str)
#: One attempt of one call between two nodes.
CallId = NewType("CallId", str)
#: One request of an outside caller with everything called for it.
RequestId = NewType("RequestId", str)
#: Opaque key by which a target's own calls join the call that it is serving.
ContextKey = NewType("ContextKey", str)
IdempotencyKey = NewType("IdempotencyKey", str)
RuleVersion = NewType("RuleVersion", int)
#: One publication of rules, made by the publisher; at most one version comes of it.
PublicationId = NewType("PublicationId", str)
RowKey = NewType("RowKey", str)
#: Version of one row of the table; 0 stands for an absent row.
RowVersion = NewType("RowVersion", int)
Digest = NewType("Digest", str)


def make_call_id() -> CallId:
    """Return a new call id of this process; it only tells calls on one link apart."""
    return CallId(f"{next(_CALL_NUMBERS):x}")


def make_request_id() -> RequestId:
    """Return a new random request id."""
    return RequestId(token_hex(REQUEST_ID_BYTES))


def make_context_key() -> ContextKey:
    """Return a new context key that cannot be guessed."""
    return ContextKey(token_hex(CONTEXT_KEY_BYTES))
