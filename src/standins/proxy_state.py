"""State of the fault-injecting proxy: connections, active fault and counters."""

from dataclasses import dataclass, field
from enum import Enum

from curio.io import Socket
from msgspec import Struct


class Direction(Enum):
    """Direction in which bytes are forwarded."""

    TO_UPSTREAM = "to-upstream"
    TO_DOWNSTREAM = "to-downstream"


class Mode(Struct, tag_field="mode"):
    """Base of the faults; `mode` is the tag in JSON."""


class Pass(Mode, tag="pass"):
    """No fault; connections that were stalled stay stalled."""


class Delay(Mode, tag="delay"):
    """Bytes are forwarded with a delay, in both directions.

    :param delay_ms: delay in milliseconds.
    """

    delay_ms: float


class Cut(Mode, tag="cut"):
    """All connections are reset and new ones are refused."""


class Silence(Mode, tag="silence"):
    """Connections that are open now stall permanently; new ones work."""


class Blackhole(Mode, tag="blackhole"):
    """All connections stall permanently, including those opened while the fault is active."""


class HalfOpen(Mode, tag="half-open"):
    """Connections that are open now drop all bytes from upstream; new ones work."""


class LoseResponse(Mode, tag="lose-answer"):
    """Requests are forwarded; at the first bytes of a response the connection closes.

    :param count: number of responses to drop before the fault ends.
    """

    count: int = 1


AnyMode = Pass | Delay | Cut | Silence | Blackhole | HalfOpen | LoseResponse


class ProxyCounts(Struct):
    """Counters of the proxy.

    :param accepted: connections accepted.
    :param open: connections open now.
    :param dropped_bytes: bytes dropped on stalled connections.
    :param lost: responses dropped by `LoseResponse`.
    """

    accepted: int = 0
    open: int = 0
    dropped_bytes: int = 0
    lost: int = 0


@dataclass(eq=False, slots=True)
class Session:
    """A connection through the proxy.

    :param stalled: directions in which bytes are dropped.
    """

    downstream: Socket
    upstream: Socket | None = None
    stalled: set[Direction] = field(default_factory=set)

    def source_and_sink(self, direction: Direction) -> tuple[Socket, Socket]:
        """Return the source and the sink of a direction."""
        if direction is Direction.TO_UPSTREAM:
            return self.downstream, self.upstream
        return self.upstream, self.downstream


@dataclass(slots=True)
class ProxyState:
    """Complete state of the proxy."""

    mode: AnyMode = field(default_factory=Pass)
    sessions: set[Session] = field(default_factory=set)
    counts: ProxyCounts = field(default_factory=ProxyCounts)


def make_proxy_state() -> ProxyState:
    """Return the initial state, without connections and faults."""
    return ProxyState()
