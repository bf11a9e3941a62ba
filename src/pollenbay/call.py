"""One call as the decisions see it, free of HTTP and of the link between nodes."""

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
from pollenbay.states import CallClass

MS_PER_S = 1000.0


class Entrance(Enum):
    """Where a call came in."""

    CALLER = "caller"
    TARGET = "target"


class Asked(Struct):
    """What a caller or a target asks for, before the rules are applied.

    :param path: path and query as the target gets it.
    :param context: names the call that a target is serving while it makes this one.
    :param wait_s: longest time in seconds that the caller waits, if it says so.
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


class RouteAsked(Struct):
    """What a caller or a target asks for by host name and path, before a route is found.

    :param request: name of the request; each attempt of its caller has one of its own.
    :param path: path and query as the target gets it.
    :param wait_s: longest time in seconds that the caller waits, if it says so.
    """

    request: RequestId
    host: str
    method: str
    path: str
    headers: Headers
    body: bytes
    wait_s: float | None = None


class Call(Struct):
    """A call on its way.

    :param request: the outside request to which it belongs.
    :param call_class: class of that request, which holds for all calls of its chain.
    :param path: path and query as the target gets it.
    :param deadline: monotonic seconds by which the answer must be with its caller.
    :param idempotent: whether running it twice does no harm.
    :param has_calls: whether its rule names calls that it makes in turn.
    :param origin: service of the target beside the node at which it entered.
    :param timed: whether whoever placed it ends it at its deadline.
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
    origin: ServiceName = ServiceName("")
    timed: bool = False

    @property
    def claimed(self) -> bool:
        """Tell whether its key is claimed before it runs, and its answer recorded."""
        return not self.idempotent and self.idempotency_key is not None


class Passage(Struct):
    """Progress of a call through this node, watched while it runs.

    :param cancellable: whether the call may be given up when its caller leaves.
    :param sent: whether the target may have seen a byte of it.
    :param own_s: seconds that the target itself took, without waiting for calls of its own.
    :param ends_at: deadline, in monotonic seconds, of a call that whoever placed it ends in time;
        None if this node ends it.
    """

    cancellable: bool = True
    sent: bool = False
    own_s: float = 0.0
    ends_at: float | None = None


def deadline_of(wait_ms: int, asked_s: float | None, now: float) -> float:
    """Return the monotonic seconds by which an answer must be with its caller.

    :param wait_ms: longest wait by the rules, in milliseconds.
    :param asked_s: longest wait of the caller, in seconds, if it says so.
    """
    wait_s = wait_ms / MS_PER_S
    return now + (wait_s if asked_s is None else min(wait_s, asked_s))
