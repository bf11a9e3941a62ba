"""State of the claim specification: requests, the row and writes in flight."""

from enum import Enum, IntEnum
from typing import NamedTuple


class Phase(IntEnum):
    """Phase of a request; a phase named ``..._WRITE`` waits for the reply to one write."""

    IDLE = 0
    CLAIM_WRITE = 1
    CLAIM_READ = 2
    HELD = 3
    SENT = 4
    ANSWER_WRITE = 5
    ANSWER_READ = 6
    RELEASE_READ = 7
    RELEASE_WRITE = 8
    FINISHED = 9
    DEAD = 10


class ReportedOutcome(IntEnum):
    """Outcome that was reported to the caller of a request."""

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
    """A fault injected into the protocol, which the model checker must find."""

    TAKE_OVER_AFTER_DEADLINE = "a claim past its deadline is taken over"
    TAKE_OVER_FROM_DEAD = "a claim of a dead host is taken over"
    SEND_BEFORE_READ_BACK = "a write without a reply counts as written"
    READ_BACK_WITHOUT_NONCE = "any claim that is read back counts as the request's own"
    WRITE_WITHOUT_VERSION = "claims are written regardless of the version of the row"
    GRANT_AFTER_REFUSAL = "a late reply still grants the claim after the caller was refused"
    RELEASE_AFTER_LOSS = "a call whose connection was lost is released"
    LOSS_TOLD_AS_NOT_RUN = "a call whose connection was lost is reported as not run"
    RELEASE_WITHOUT_FENCE = "an absent row needs no release"
    NO_RELEASE = "a refused request does not release its row"


WRITTEN_KINDS = {
    Phase.CLAIM_WRITE: Kind.CLAIMED,
    Phase.ANSWER_WRITE: Kind.ANSWERED,
    Phase.RELEASE_WRITE: Kind.RELEASED,
}
RELEASE_PHASES = (Phase.RELEASE_READ, Phase.RELEASE_WRITE)
TERMINAL_PHASES = (Phase.IDLE, Phase.FINISHED, Phase.DEAD)


class Bounds(NamedTuple):
    """Size of the model.

    :param hosts: host of each request.
    :param tries: maximum number of claim writes of a request.
    :param stale: maximum number of stale reads; each returns any earlier version of the row.
    :param late: maximum number of writes in flight whose senders no longer wait for a reply.
    """

    hosts: tuple[int, ...] = (0, 1)
    tries: int = 2
    stale: int = 0
    late: int = 4


class Row(NamedTuple):
    """Value of the row.

    :param owner: index of the request whose nonce the row holds.
    """

    kind: Kind
    owner: int = -1


class Message(NamedTuple):
    """A write in flight to the table.

    :param base_version: version of the row that the write requires.
    """

    row: Row
    base_version: int


class Request(NamedTuple):
    """One request for the key.

    :param answered_by: index of the request whose answer was returned to the caller.
    :param claim_base_version: version of the row that the last claim required.
    :param write_base_version: version of the row that the last write required.
    :param uncertain: whether one of its claims may have been applied or may still be applied.
    :param sent: whether the call was sent to the target.
    """

    phase: Phase = Phase.IDLE
    reported: ReportedOutcome = ReportedOutcome.NOTHING
    answered_by: int = -1
    claim_base_version: int = 0
    write_base_version: int = 0
    tries: int = 0
    uncertain: bool = False
    sent: bool = False


class State(NamedTuple):
    """State of the model.

    :param rows: all values of the row so far; the index is the version.
    :param stale: number of stale reads that remain.
    """

    rows: tuple[Row, ...]
    messages: frozenset[Message]
    requests: tuple[Request, ...]
    stale: int
