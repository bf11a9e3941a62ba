"""Interface for sending calls to targets over HTTP and interpreting their responses."""

from typing import Protocol

from pollenbay.call import Call
from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.ids import ContextKey, TargetId
from pollenbay.outcome import Answered, NotRun


class DialectError(Exception):
    """A complete response that is not a valid response to the call."""


class TargetDialect(Protocol):
    """HTTP conventions of the targets of a deployment.

    :ivar unframed: whether a response without a stated length may end with its connection.
    :ivar propagates_context: whether targets propagate a context to their nested calls.
    """

    unframed: bool
    propagates_context: bool

    def request(
        self,
        call: Call,
        context: ContextKey,
        time_left_s: float,
        endpoint: tuple[str, int],
        target: TargetId,
    ) -> HttpRequest:
        """Return the request that carries a call to its target."""

    def is_response_to(self, call: Call, response: HttpResponse) -> bool:
        """Return whether a response belongs to this call; if not, it is an unsolicited one."""

    def outcome(self, call: Call, response: HttpResponse) -> Answered | NotRun:
        """Return the outcome that a complete response represents.

        :raises DialectError: if it cannot be the target's response.
        """
