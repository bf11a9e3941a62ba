"""Calls as the decision logic handles them, independent of HTTP and of the link protocol."""

from enum import Enum

from msgspec import Struct

from pollenbay.ids import (
    CallerId,
    CallName,
    ContextKey,
    IdempotencyKey,
    RequestId,
    ServiceName,
)
from pollenbay.outcome import Headers
from pollenbay.states import CallClass, CallStage

MS_PER_S = 1000.0


class EntryPoint(Enum):
    """Where a call entered the node."""

    CALLER = "caller"
    TARGET = "target"


class CallRequest(Struct):
    """Call request of a caller or a target, before the rules are applied.

    :param path: path and query as sent to the target.
    :param context: key of the call that a target is serving while it makes this one.
    :param wait_s: maximum seconds that the caller waits, if it states them.
    """

    service: ServiceName
    name: CallName
    method: str
    path: str
    headers: Headers
    body: bytes
    caller: CallerId | None = None
    context: ContextKey | None = None
    idempotency_key: IdempotencyKey | None = None
    wait_s: float | None = None


class RouteRequest(Struct):
    """Request of a caller or a target by host name and path, before a route is selected.

    :param request: id of the request; each attempt of its caller has its own.
    :param path: path and query as sent to the target.
    :param arrived_at: monotonic seconds at which it was read, from which its time limits count.
    :param wait_s: maximum seconds that the caller waits, if it states them.
    """

    request: RequestId
    host: str
    method: str
    path: str
    headers: Headers
    body: bytes
    arrived_at: float
    wait_s: float | None = None


class Call(Struct):
    """A call in progress.

    :param request: external request to which it belongs.
    :param call_class: class of that request; all calls of the chain share it.
    :param path: path and query as sent to the target.
    :param deadline: monotonic seconds by which the response must reach the caller.
    :param idempotent: whether running it twice does no harm.
    :param has_calls: whether its rule names nested calls.
    :param origin_service: service of the local target of the node at which it entered.
    :param sender_enforces_deadline: whether the code that placed it cancels it at its deadline.
    """

    request: RequestId
    service: ServiceName
    name: CallName
    call_class: CallClass
    caller: CallerId
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    idempotency_key: IdempotencyKey | None = None
    depth: int = 0
    idempotent: bool = True
    has_calls: bool = False
    origin_service: ServiceName = ServiceName("")
    sender_enforces_deadline: bool = False

    @property
    def requires_claim(self) -> bool:
        """Return whether its key is claimed before it runs and its response recorded."""
        return not self.idempotent and self.idempotency_key is not None


class CallProgress(Struct):
    """Progress of a call through this node, watched while it runs.

    :param call: the call, once its request has been read.
    :param cancellable: whether the call may be cancelled when its caller disconnects.
    :param sent: whether the target may have received a byte of it.
    :param begun_at: monotonic seconds at which it was sent to the local target; None before.
    :param self_time_s: seconds that the target itself took, without waiting for its nested calls.
    :param sender_deadline: deadline, in monotonic seconds, of a call that its sender cancels in
        time; None if this node cancels it.
    """

    call: Call | None = None
    cancellable: bool = True
    sent: bool = False
    begun_at: float | None = None
    self_time_s: float = 0.0
    sender_deadline: float | None = None

    @property
    def stage(self) -> CallStage:
        """Return how far the call has got."""
        if self.begun_at is not None:
            return CallStage.BEGUN
        return CallStage.PASSED_ON if self.sent else CallStage.WAITING


def deadline_of(wait_ms: int, caller_wait_s: float | None, now: float) -> float:
    """Return the monotonic seconds by which a response must reach its caller.

    :param wait_ms: maximum wait by the rules, in milliseconds.
    :param caller_wait_s: maximum wait of the caller, in seconds, if it states one.
    """
    wait_s = wait_ms / MS_PER_S
    return now + (wait_s if caller_wait_s is None else min(wait_s, caller_wait_s))
