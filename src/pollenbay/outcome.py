"""The three ways in which a call can end, as seen by whoever made it.

Only a call of which the target could not have seen one byte is `NotRun`.
"""

from msgspec import Struct

from pollenbay.states import Reason

Headers = list[tuple[bytes, bytes]]


class Answered(Struct, frozen=True):
    """The target's whole answer.

    :param status: HTTP status of the target.
    :param headers: end-to-end headers of the target.
    :param body: the whole body.
    :param allowance_left: retries that were handed out and not spent.
    """

    status: int
    headers: Headers
    body: bytes
    allowance_left: int = 0


class NotRun(Struct, frozen=True):
    """The call was refused before the target could see it.

    :param reason: why it was refused.
    :param retry_after_s: seconds after which a caller may try again; 0 if a retry is useless.
    :param allowance_left: retries that were handed out and not spent.
    """

    reason: Reason
    retry_after_s: float = 0.0
    allowance_left: int = 0


class Unknown(Struct, frozen=True):
    """The call may have run and no answer is known.

    :param reason: what was seen last.
    :param allowance_left: retries that were handed out and not spent.
    """

    reason: Reason
    allowance_left: int = 0


Outcome = Answered | NotRun | Unknown

#: What each is called in metrics and log lines.
OUTCOME_NAMES = {Answered: "answered", NotRun: "not-run", Unknown: "unknown"}
STATUS_SERVER_ERROR = 500


def is_sound(outcome: Outcome) -> bool:
    """Tell whether the target answered and does not report a failure of its own."""
    return isinstance(outcome, Answered) and outcome.status < STATUS_SERVER_ERROR
