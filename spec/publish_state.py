"""State of the publication specification: operators, records, rules and nodes."""

from enum import Enum, IntEnum
from typing import NamedTuple


class Phase(IntEnum):
    """Phase of an operator's publication."""

    IDLE = 0
    READ = 1
    WRITE = 2
    READ_BACK = 3
    CLOSE_READ = 4
    CLOSE_WRITE = 5
    FINISHED = 6


class ReportedOutcome(IntEnum):
    """Outcome that was reported to an operator."""

    NOTHING = 0
    ACCEPTED = 1
    REFUSED = 2
    NOT_WRITTEN = 3
    UNSETTLED = 4


class Kind(IntEnum):
    """Effect of a write, and content of the record of a publication."""

    NONE = 0
    PUBLISH = 1
    CONFIRM = 2
    CLOSE = 3


class Mutant(Enum):
    """A fault injected into the protocol, which the model checker must find."""

    PUBLISH_WITHOUT_VERSION = "rules are written regardless of the current version"
    RETRY_WITHOUT_RECORD = "a write is repeated with nothing that distinguishes it from the first"
    SILENCE_TOLD_AS_REFUSED = "a write without a reply is reported as refused"
    SILENCE_TOLD_AS_ACCEPTED = "a write without a reply is reported as accepted"
    SILENCE_TOLD_AS_NOT_WRITTEN = "a write without a reply is reported as not written"
    REFUSE_WITHOUT_RECORD = "a refusal leaves no record that stops a late write"
    ADOPT_LOWER = "a node adopts any version that it is offered"
    CLOSE_WITHOUT_CHECK = "a refusal overwrites an existing record"


class Bounds(NamedTuple):
    """Size of the model.

    :param digests: digest that each operator publishes; equal digests mean equal rules.
    :param nodes: number of nodes that adopt rules.
    :param tries: maximum number of writes of a publication.
    :param restarts: maximum number of node restarts in total.
    :param late: maximum number of writes in flight whose senders no longer wait for a reply.
    :param stale: maximum number of stale reads by operators; each returns any earlier state.
    """

    digests: tuple[int, ...] = (0, 1)
    nodes: int = 2
    tries: int = 2
    restarts: int = 1
    late: int = 1
    stale: int = 0


class Rules(NamedTuple):
    """One published set of rules; version 0 means that no rules are published.

    :param operator: index of the operator that published it.
    """

    version: int = 0
    digest: int = -1
    operator: int = -1


class Record(NamedTuple):
    """Record of a publication in the table.

    :param version: version that was published or confirmed.
    """

    kind: Kind = Kind.NONE
    version: int = 0


class Message(NamedTuple):
    """A write in flight to the table.

    :param base_version: version of the rules that the write requires; a close requires none.
    """

    kind: Kind
    operator: int
    base_version: int


class Operator(NamedTuple):
    """One publication.

    :param version: version that was reported to the operator.
    :param expected_version: version that the publication is based on; -1 before the first read.
    :param sent: whether one of its writes may have been applied or may still be applied.
    :param write_kind: effect of the last write.
    """

    phase: Phase = Phase.IDLE
    reported: ReportedOutcome = ReportedOutcome.NOTHING
    version: int = 0
    expected_version: int = -1
    tries: int = 0
    sent: bool = False
    write_kind: Kind = Kind.NONE


class Node(NamedTuple):
    """One node and its active rules.

    :param highest_version: highest version that was active in this incarnation.
    """

    rules: Rules = Rules()
    highest_version: int = 0


class State(NamedTuple):
    """State of the model.

    :param history: all rules that have been current, in order; the last are current.
    :param restarts: number of node restarts that remain.
    :param stale: number of stale reads that remain.
    """

    history: tuple[Rules, ...]
    records: tuple[Record, ...]
    messages: frozenset[Message]
    operators: tuple[Operator, ...]
    nodes: tuple[Node, ...]
    restarts: int
    stale: int
