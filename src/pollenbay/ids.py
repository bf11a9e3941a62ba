"""Identifiers, each with its own type so that a type checker distinguishes them."""

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
#: A node and its local target; it stays the same across restarts of one slot.
InstanceId = NewType("InstanceId", str)
#: Grows each time an instance starts, which distinguishes updates about an earlier run.
Incarnation = NewType("Incarnation", int)
#: One run of a target, named by the target itself; empty if it sends no name.
TargetId = NewType("TargetId", str)
#: One attempt of one call between two nodes.
CallId = NewType("CallId", str)
#: One request of an external caller, with all calls made for it.
RequestId = NewType("RequestId", str)
#: Opaque key that links a target's nested calls to the call that it is serving.
ContextKey = NewType("ContextKey", str)
IdempotencyKey = NewType("IdempotencyKey", str)
RuleVersion = NewType("RuleVersion", int)
#: One publication of rules, named by the publisher; it yields at most one version.
PublicationId = NewType("PublicationId", str)
RowKey = NewType("RowKey", str)
#: Version of one row of the table; 0 means that the row is absent.
RowVersion = NewType("RowVersion", int)
#: Number of times that the table has come back from an older copy of its rows, after which row
#: versions are given out again.
TableGeneration = NewType("TableGeneration", int)
Digest = NewType("Digest", str)


def make_call_id() -> CallId:
    """Return a new call id, unique within this process; it distinguishes the calls of one link."""
    return CallId(f"{next(_CALL_NUMBERS):x}")


def make_request_id() -> RequestId:
    """Return a new random request id."""
    return RequestId(token_hex(REQUEST_ID_BYTES))


def make_context_key() -> ContextKey:
    """Return a new context key that cannot be guessed."""
    return ContextKey(token_hex(CONTEXT_KEY_BYTES))
