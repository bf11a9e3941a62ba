"""State of the fault-injecting proxy: its connections, the fault in force and what was counted."""

from dataclasses import dataclass, field
from enum import Enum

from curio.io import Socket
from msgspec import Struct


class Direction(Enum):
    """Way in which bytes travel."""

    TO_UPSTREAM = "to-upstream"
    TO_DOWNSTREAM = "to-downstream"


class Mode(Struct, tag_field="mode"):
    """Base of the faults; `mode` in JSON names one."""


class Pass(Mode, tag="pass"):
    """No fault; connections that went silent stay silent."""


class Delay(Mode, tag="delay"):
    """Whatever is read travels late, in both ways.

    :param delay_ms: delay in milliseconds.
    """

    delay_ms: float


class Cut(Mode, tag="cut"):
    """All connections are reset and new ones are refused."""


class Silence(Mode, tag="silence"):
    """Connections that are open now go silent for good; new ones work."""


class Blackhole(Mode, tag="blackhole"):
    """All connections go silent for good, those opened meanwhile too."""


class HalfOpen(Mode, tag="half-open"):
    """Connections that are open now lose whatever comes from upstream; new ones work."""


class LoseAnswer(Mode, tag="lose-answer"):
    """Requests travel on; the first bytes of an answer are dropped and the connection closes.

    :param count: answers to lose before the fault ends.
    """

    count: int = 1


AnyMode = Pass | Delay | Cut | Silence | Blackhole | HalfOpen | LoseAnswer


class ProxyCounts(Struct):
    """What the proxy has done.

    :param accepted: connections accepted.
    :param open: connections open now.
    :param dropped_bytes: bytes read and not passed on.
    :param lost: answers dropped by the fault that closes.
    """

    accepted: int = 0
    open: int = 0
    dropped_bytes: int = 0
    lost: int = 0


@dataclass(eq=False, slots=True)
class Session:
    """One connection through the proxy.

    :param silent: directions in which nothing passes any more.
    """

    downstream: Socket
    upstream: Socket | None = None
    silent: set[Direction] = field(default_factory=set)

    def ends(self, direction: Direction) -> tuple[Socket, Socket]:
        """Return the sockets to read from and to write to."""
        if direction is Direction.TO_UPSTREAM:
            return self.downstream, self.upstream
        return self.upstream, self.downstream


@dataclass(slots=True)
class ProxyState:
    """Everything that the proxy keeps."""

    mode: AnyMode = field(default_factory=Pass)
    sessions: set[Session] = field(default_factory=set)
    counts: ProxyCounts = field(default_factory=ProxyCounts)


def make_proxy_state() -> ProxyState:
    """Return the state of a proxy without connections or faults."""
    return ProxyState()
