"""How calls are put to targets in HTTP, and how their responses are to be understood."""

from typing import Protocol

from pollenbay.call import Call
from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.ids import ContextKey, TargetId
from pollenbay.outcome import Answered, NotRun


class DialectError(Exception):
    """A whole response that makes no sense as an answer to the call."""


class TargetDialect(Protocol):
    """What the targets of a deployment expect and promise.

    :ivar unframed: whether a response without a stated length may end with its connection.
    :ivar hands_context: whether targets hand a context on to the calls that they make.
    """

    unframed: bool
    hands_context: bool

    def request(
        self,
        call: Call,
        context: ContextKey,
        time_left_s: float,
        endpoint: tuple[str, int],
        target: TargetId,
    ) -> HttpRequest:
        """Return the request that carries a call to its target."""

    def belongs(self, call: Call, response: HttpResponse) -> bool:
        """Tell whether a response is the one to this call, not a stray one to an earlier call."""

    def outcome(self, call: Call, response: HttpResponse) -> Answered | NotRun:
        """Return what a whole response says.

        :raises DialectError: if it cannot be the target's answer.
        """
