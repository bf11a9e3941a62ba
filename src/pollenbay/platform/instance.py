"""How requests are put to the platform's instances, and what their responses mean."""

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
    ORIGIN_HEADER,
    PROMISES_NOT_RUN,
    REQUEST_HEADER,
    SIGNATURE_HEADER,
)
from pollenbay.states import Reason

MS_PER_S = 1000.0
#: Another instance may have room at once, so a caller need not wait long.
RETRY_AFTER_S = 0.3
STATUS_MISDIRECTED = 421
#: Headers for the node alone, and the name, which the node of the client sets again.
OWN_RESPONSE_HEADERS = frozenset({LOAD_HEADER, NOT_RUN_HEADER, REQUEST_HEADER})


class InstanceDialect:
    """The platform's instances."""

    unframed = True
    hands_context = False

    def request(
        self,
        call: Call,
        context: ContextKey,
        time_left_s: float,
        endpoint: tuple[str, int],
        target: TargetId,
    ) -> HttpRequest:
        """Return the request that carries a call to the instance.

        The context stays here, since these instances hand no header on to calls of their own.
        """
        headers: Headers = [
            *call.headers,
            (REQUEST_HEADER, call.request.encode("latin-1")),
            (DEADLINE_HEADER, b"%d" % max(time_left_s * MS_PER_S, 1.0)),
            (ORIGIN_HEADER, call.origin.encode("latin-1")),
        ]
        if target:
            headers.append((EXPECTED_TARGET_HEADER, target.encode("latin-1")))
        method, path = call.method.encode("latin-1"), call.path.encode("latin-1")
        return HttpRequest(method, path, headers, call.body)

    def belongs(self, call: Call, response: HttpResponse) -> bool:
        """Tell whether a response names this request; one without a name is taken."""
        named = header_value(response.headers, REQUEST_HEADER)
        return named is None or named == call.request.encode("latin-1")

    def outcome(self, call: Call, response: HttpResponse) -> Answered | NotRun:
        """Return what a whole response says.

        :raises DialectError: if it is not the instance's answer, or promises what it may not.
        """
        values, status = dict(response.headers), response.status
        if values.get(NOT_RUN_HEADER) or status == STATUS_MISDIRECTED:
            return NotRun(Reason.TARGET_REFUSED, RETRY_AFTER_S)
        if status in PROMISES_NOT_RUN:
            raise DialectError(f"status {status} of a request that may have run")
        if status < 300 and SIGNATURE_HEADER not in values:
            raise DialectError("success without a signature")
        if b"content-encoding" in values:
            raise DialectError("an encoded body is not the instance's")
        passed = end_to_end_headers(response.headers, OWN_RESPONSE_HEADERS)
        return Answered(status, passed, response.body)


def make_instance_dialect() -> InstanceDialect:
    """Return the dialect of the platform's instances."""
    return InstanceDialect()
