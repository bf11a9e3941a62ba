"""Encoding of requests to the platform's instances and interpretation of their responses."""

from pollenbay.call import Call
from pollenbay.dialect import DialectError
from pollenbay.http1 import HttpRequest, HttpResponse, end_to_end_headers, header_value
from pollenbay.ids import ContextKey, TargetId
from pollenbay.outcome import Answered, Headers, NotRun
from pollenbay.platform.names import (
    DEADLINE_HEADER,
    EXPECTED_TARGET_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    NOT_RUN_STATUSES,
    ORIGIN_HEADER,
    REQUEST_HEADER,
    SIGNATURE_HEADER,
)
from pollenbay.states import Reason

MS_PER_S = 1000.0
#: Short, since another instance may have free slots immediately.
RETRY_AFTER_S = 0.3
STATUS_MISDIRECTED = 421
#: Response headers meant for the node only, and the request id, which the entry node sets itself.
INTERNAL_RESPONSE_HEADERS = frozenset({LOAD_HEADER, NOT_RUN_HEADER, REQUEST_HEADER})


class InstanceDialect:
    """Dialect of the platform's instances."""

    unframed = True
    propagates_context = False

    def request(
        self,
        call: Call,
        context: ContextKey,
        time_left_s: float,
        endpoint: tuple[str, int],
        target: TargetId,
    ) -> HttpRequest:
        """Return the request that carries a call to the instance.

        The context is not sent, since these instances do not propagate headers to nested calls.
        """
        headers: Headers = [
            *call.headers,
            (REQUEST_HEADER, call.request.encode("latin-1")),
            (DEADLINE_HEADER, b"%d" % max(time_left_s * MS_PER_S, 1.0)),
            (ORIGIN_HEADER, call.origin_service.encode("utf-8")),
        ]
        if target:
            headers.append((EXPECTED_TARGET_HEADER, target.encode("utf-8")))
        method, path = call.method.encode("latin-1"), call.path.encode("latin-1")
        return HttpRequest(method, path, headers, call.body)

    def is_response_to(self, call: Call, response: HttpResponse) -> bool:
        """Return whether a response bears the id of this call's request, or none."""
        response_id = header_value(response.headers, REQUEST_HEADER)
        return response_id is None or response_id == call.request.encode("latin-1")

    def outcome(self, call: Call, response: HttpResponse) -> Answered | NotRun:
        """Return the outcome that a complete response represents.

        :raises DialectError: if it is not an instance's response, does not bear the id of the
            request, which instances repeat, or has a status that is reserved for requests that were
            not run without the header that confirms this.
        """
        values, status = dict(response.headers), response.status
        if REQUEST_HEADER not in values:
            raise DialectError("response without the id of the request that it answers")
        if values.get(NOT_RUN_HEADER) or status == STATUS_MISDIRECTED:
            return NotRun(Reason.TARGET_REFUSED, RETRY_AFTER_S)
        if status in NOT_RUN_STATUSES:
            raise DialectError(
                f"status {status} without the header that marks the request as not executed"
            )
        if b"content-encoding" in values:
            raise DialectError("unexpected content-encoding in the response")
        forwarded = end_to_end_headers(response.headers, INTERNAL_RESPONSE_HEADERS)
        if status < 300 and header_value(forwarded, SIGNATURE_HEADER) is None:
            raise DialectError("successful response without a signature to pass on")
        return Answered(status, forwarded, response.body)


def make_instance_dialect() -> InstanceDialect:
    """Return the dialect of the platform's instances."""
    return InstanceDialect()
