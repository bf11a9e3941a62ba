"""One call as the decisions see it, free of HTTP and of the link between nodes."""

from dataclasses import dataclass, field
from enum import Enum

from pollenbay.ids import CallerId, CallName, IdempotencyKey, RequestId, ServiceName
from pollenbay.outcome import Headers


class Entrance(Enum):
    """Where a call came in."""

    CALLER = "caller"
    TARGET = "target"


@dataclass(slots=True)
class Call:
    """A call on its way.

    :param request: the outside request to which it belongs.
    :param path: path and query as the target gets it.
    :param deadline: monotonic seconds by which the answer must be with its caller.
    """

    request: RequestId
    service: ServiceName
    name: CallName
    caller: CallerId
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    idempotency_key: IdempotencyKey | None = None
    depth: int = 0


@dataclass(slots=True)
class Passage:
    """Progress of a call through this node, watched while it runs.

    :param cancellable: whether the call may be given up when its caller leaves.
    :param sent: whether the target may have seen a byte of it.
    """

    cancellable: bool = True
    sent: bool = False
    started_at: float = field(default=0.0)
