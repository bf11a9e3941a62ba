"""State of the specification of publishing: operators, records, rules and nodes."""

from enum import Enum, IntEnum
from typing import NamedTuple


class Phase(IntEnum):
    """Where an operator's publication stands."""

    IDLE = 0
    READ = 1
    WRITE = 2
    READ_BACK = 3
    CLOSE_READ = 4
    CLOSE_WRITE = 5
    OVER = 6


class Told(IntEnum):
    """What an operator was told."""

    NOTHING = 0
    ACCEPTED = 1
    REFUSED = 2
    NOT_WRITTEN = 3
    UNSETTLED = 4


class Kind(IntEnum):
    """What a write would do, and what the record of a publication says."""

    NONE = 0
    PUBLISH = 1
    CONFIRM = 2
    CLOSE = 3


class Mutant(Enum):
    """One fault put into the protocol, which the checker must find."""

    PUBLISH_WITHOUT_VERSION = "rules are written whatever version is current"
    RETRY_WITHOUT_RECORD = "a write is sent again with nothing that tells it from the first"
    SILENCE_TOLD_AS_REFUSED = "a write without an answer is told as refused"
    SILENCE_TOLD_AS_ACCEPTED = "a write without an answer is told as accepted"
    SILENCE_TOLD_AS_NOT_WRITTEN = "a write without an answer is told as not written"
    REFUSE_WITHOUT_RECORD = "a refusal leaves no record that stops a late write"
    ADOPT_LOWER = "a node adopts whatever it is offered"
    CLOSE_WITHOUT_CHECK = "a refusal is recorded over whatever is recorded"


class Bounds(NamedTuple):
    """Size of the model.

    :param digests: digest that each operator publishes; equal ones are equal rules.
    :param nodes: nodes that adopt.
    :param tries: writes by which a publication tries.
    :param restarts: restarts of nodes in all.
    :param late: writes that may be on their way at once with nobody waiting for them.
    :param stale: reads of operators that may show the past, any that there was.
    """

    digests: tuple[int, ...] = (0, 1)
    nodes: int = 2
    tries: int = 2
    restarts: int = 1
    late: int = 1
    stale: int = 0


class Rules(NamedTuple):
    """One published set of rules; version 0 stands for none.

    :param operator: who published it.
    """

    version: int = 0
    digest: int = -1
    operator: int = -1


class Record(NamedTuple):
    """What is recorded of a publication.

    :param version: version that was published or confirmed.
    """

    kind: Kind = Kind.NONE
    version: int = 0


class Message(NamedTuple):
    """A write on its way to the table.

    :param base: version of the rules that it demands; a close demands none.
    """

    kind: Kind
    operator: int
    base: int


class Operator(NamedTuple):
    """One publication.

    :param version: version that the operator was told.
    :param expected: version that it builds on; -1 before the first read.
    :param sent: whether a write of it may have been applied or may still be.
    :param write: what its last write would do.
    """

    phase: Phase = Phase.IDLE
    told: Told = Told.NOTHING
    version: int = 0
    expected: int = -1
    tries: int = 0
    sent: bool = False
    write: Kind = Kind.NONE


class Node(NamedTuple):
    """One node.

    :param peak: highest version that was in force in this incarnation.
    """

    rules: Rules = Rules()
    peak: int = 0


class State(NamedTuple):
    """Everything.

    :param history: all that was ever the current rules, in order; the last is current.
    :param restarts: restarts that are left.
    :param stale: stale reads that are left.
    """

    history: tuple[Rules, ...]
    records: tuple[Record, ...]
    messages: frozenset[Message]
    operators: tuple[Operator, ...]
    nodes: tuple[Node, ...]
    restarts: int
    stale: int
