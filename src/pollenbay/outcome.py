"""The three possible outcomes of a call, as its sender observes them.

A call is `NotRun` only if the target cannot have received any byte of it.
"""

from msgspec import Struct

from pollenbay.states import Reason

Headers = list[tuple[bytes, bytes]]


class Answered(Struct, frozen=True):
    """The target's complete response.

    :param status: HTTP status of the target.
    :param headers: end-to-end headers of the target.
    :param body: the complete body.
    :param allowance_left: retry tokens that were delegated and not spent.
    """

    status: int
    headers: Headers
    body: bytes
    allowance_left: int = 0


class NotRun(Struct, frozen=True):
    """The call was refused before the target could receive it.

    :param reason: why it was refused.
    :param retry_after_s: seconds after which a caller may retry; 0 if a retry is useless.
    :param allowance_left: retry tokens that were delegated and not spent.
    """

    reason: Reason
    retry_after_s: float = 0.0
    allowance_left: int = 0


class Unknown(Struct, frozen=True):
    """The call may have run and its response is not known.

    :param reason: the last observed cause.
    :param allowance_left: retry tokens that were delegated and not spent.
    """

    reason: Reason
    allowance_left: int = 0


Outcome = Answered | NotRun | Unknown

#: Names of the outcomes in metrics and log lines.
OUTCOME_NAMES = {Answered: "answered", NotRun: "not-run", Unknown: "unknown"}
STATUS_SERVER_ERROR = 500


def is_successful(outcome: Outcome) -> bool:
    """Return whether the target answered with a status below `STATUS_SERVER_ERROR`."""
    return isinstance(outcome, Answered) and outcome.status < STATUS_SERVER_ERROR
