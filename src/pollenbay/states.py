"""Enumerations of states and kinds shared by several components."""

from enum import Enum


class CallClass(Enum):
    """Importance of a call; a class of lower rank is shed later."""

    CRITICAL = "critical"
    NORMAL = "normal"
    SHEDDABLE = "sheddable"

    def __init__(self, value: str) -> None:
        #: 0 for the most important class, increasing with each less important one.
        self.rank = len(type(self).__members__)


class CallStage(Enum):
    """How far a call has got at one node."""

    #: No target can have received it.
    WAITING = "waiting"
    #: It was passed on to another node.
    PASSED_ON = "passed-on"
    #: The local target may have received it.
    BEGUN = "begun"


class NodeState(Enum):
    """Lifecycle of a node process; a stopped node accepts no call while its process ends."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class MemberState(Enum):
    """State of an instance in a node's view."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class TargetState(Enum):
    """State that the local target of a node last announced."""

    ABSENT = "absent"
    SERVING = "serving"
    LEAVING = "leaving"


class BodyHolder(Enum):
    """What a body that a node holds belongs to."""

    #: Request of a client, or the response to it.
    CLIENT = "client"
    #: Message on a link, from another node.
    PEER = "peer"
    #: Response of the local target.
    TARGET = "target"


class ClaimState(Enum):
    """State of the row that guards one idempotency key."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"


class AdoptionRefusal(Enum):
    """Why a received rule set was not adopted."""

    OLDER = "older"
    CONFLICTING = "conflicting"
    DIGEST = "digest"


class Reason(Enum):
    """Why a call was not answered."""

    OVERLOAD = "overload"
    QUEUE_TIMEOUT = "queue-timeout"
    CALLER_SHARE = "caller-share"
    DOWNSTREAM_OVERLOAD = "downstream-overload"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    NO_TARGET = "no-target"
    CONNECT_FAILED = "connect-failed"
    TARGET_REFUSED = "target-refused"
    UNKNOWN_CALL = "unknown-call"
    BAD_REQUEST = "bad-request"
    BAD_CONTEXT = "bad-context"
    TOO_LARGE = "too-large"
    DUPLICATE = "duplicate"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    CONNECTION_LOST = "connection-lost"
    CONNECTION_SILENT = "connection-silent"
    ANSWER_BROKEN = "answer-broken"
    CANCELLED = "cancelled"
