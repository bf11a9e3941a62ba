"""State of the specification of claims: requests, the row and writes on their way."""

from enum import Enum, IntEnum
from typing import NamedTuple


class Phase(IntEnum):
    """Where a request stands; the phases that write wait for the answer to one write."""

    IDLE = 0
    CLAIM_WRITE = 1
    CLAIM_READ = 2
    HELD = 3
    SENT = 4
    ANSWER_WRITE = 5
    ANSWER_READ = 6
    RELEASE_READ = 7
    RELEASE_WRITE = 8
    OVER = 9
    DEAD = 10


class Told(IntEnum):
    """What the caller of a request was told."""

    NOTHING = 0
    NOT_RUN = 1
    UNKNOWN = 2
    ANSWERED = 3


class Kind(IntEnum):
    """State of the row."""

    ABSENT = 0
    CLAIMED = 1
    ANSWERED = 2
    RELEASED = 3


class Mutant(Enum):
    """One fault put into the protocol, which the checker must find."""

    TAKE_OVER_AFTER_DEADLINE = "a claim past its deadline is taken over"
    TAKE_OVER_FROM_DEAD = "a claim of a dead host is taken over"
    SEND_BEFORE_READ_BACK = "a write without an answer counts as written"
    READ_BACK_WITHOUT_NONCE = "any claim that is read back counts as one's own"
    WRITE_WITHOUT_VERSION = "claims are written whatever version the row has"
    GRANT_AFTER_REFUSAL = "a late answer still grants after the caller was refused"
    RELEASE_AFTER_LOSS = "a call whose connection was lost is released"
    LOSS_TOLD_AS_NOT_RUN = "a call whose connection was lost is told as not run"
    RELEASE_WITHOUT_FENCE = "an absent row needs no release"
    NO_RELEASE = "a refused request leaves its row"


WRITES = {
    Phase.CLAIM_WRITE: Kind.CLAIMED,
    Phase.ANSWER_WRITE: Kind.ANSWERED,
    Phase.RELEASE_WRITE: Kind.RELEASED,
}
RELEASES = (Phase.RELEASE_READ, Phase.RELEASE_WRITE)
ENDED = (Phase.IDLE, Phase.OVER, Phase.DEAD)


class Bounds(NamedTuple):
    """Size of the model.

    :param hosts: host of each request.
    :param tries: writes by which a request tries to claim.
    :param stale: reads that may show an earlier version of the row, any that it has had.
    :param late: writes that may be on their way at once with nobody waiting for them.
    """

    hosts: tuple[int, ...] = (0, 1)
    tries: int = 2
    stale: int = 0
    late: int = 4


class Row(NamedTuple):
    """Value of the row.

    :param owner: the request whose nonce it holds.
    """

    kind: Kind
    owner: int = -1


class Message(NamedTuple):
    """A write on its way to the table.

    :param base: version that it demands.
    """

    row: Row
    base: int


class Request(NamedTuple):
    """One request for the key.

    :param answer: request whose answer the caller was told.
    :param base: version that its last claim demanded.
    :param write: version that its last write demanded.
    :param uncertain: whether a claim of it may be applied or may still be.
    """

    phase: Phase = Phase.IDLE
    told: Told = Told.NOTHING
    answer: int = -1
    base: int = 0
    write: int = 0
    tries: int = 0
    uncertain: bool = False
    sent: bool = False


class State(NamedTuple):
    """Everything.

    :param rows: all values that the row has had; the index is the version.
    :param stale: stale reads that are left.
    """

    rows: tuple[Row, ...]
    messages: frozenset[Message]
    requests: tuple[Request, ...]
    stale: int
