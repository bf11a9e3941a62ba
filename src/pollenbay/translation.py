"""Translation between HTTP messages and typed calls and outcomes."""

from functools import singledispatch

from msgspec import Struct
from msgspec.json import encode

from pollenbay.call import Asked, Call
from pollenbay.http1 import HttpRequest, HttpResponse, end_to_end_headers, header_value
from pollenbay.ids import (
    CallerId,
    CallName,
    ContextKey,
    IdempotencyKey,
    ServiceName,
    TargetId,
)
from pollenbay.outcome import Answered, Headers, NotRun, Outcome, Unknown
from pollenbay.states import Reason

CALLER_HEADER = b"pollenbay-caller"
CONTEXT_HEADER = b"pollenbay-context"
DEADLINE_HEADER = b"pollenbay-deadline-ms"
REQUEST_HEADER = b"pollenbay-request"
OUTCOME_HEADER = b"pollenbay-outcome"
REASON_HEADER = b"pollenbay-reason"
KEY_HEADER = b"idempotency-key"
OWN_PREFIX = b"pollenbay-"
NAME_LIMIT = 100
KEY_LIMIT = 200
MS_PER_S = 1000.0
DEADLINE_LIMIT_MS = 3_600_000.0
STATUS_UNKNOWN = 504
STATUS_NOT_RUN = 503
STATUSES_NOT_RUN = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_CONTEXT: 400,
    Reason.UNKNOWN_CALL: 404,
    Reason.DUPLICATE: 409,
    Reason.TOO_LARGE: 413,
    Reason.CALLER_SHARE: 429,
    Reason.DEADLINE: 504,
}
STATUSES_UNKNOWN = {
    Reason.CONNECTION_LOST: 502,
    Reason.ANSWER_BROKEN: 502,
    Reason.DUPLICATE: 409,
}


class TranslationError(Exception):
    """A request whose meaning cannot be read; the text says which part is wrong."""


class Refused(Struct):
    """Body of a response of the node itself."""

    outcome: str
    reason: Reason


def read_asked(request: HttpRequest) -> Asked:
    """Return what a request to ``/SERVICE/CALL...`` asks for.

    :raises TranslationError: if the path or a header of ours is wrong.
    """
    service, path = _split_target(request.target)
    headers = request.headers
    return Asked(
        service=ServiceName(service),
        name=CallName(_first_part(path)),
        method=request.method.decode("ascii"),
        path=path,
        headers=[pair for pair in end_to_end_headers(headers) if not _is_own(pair[0])],
        body=request.body,
        caller=_optional(headers, CALLER_HEADER, NAME_LIMIT, CallerId),
        context=_optional(headers, CONTEXT_HEADER, NAME_LIMIT, ContextKey),
        idempotency_key=_optional(headers, KEY_HEADER, KEY_LIMIT, IdempotencyKey),
        wait_s=_read_wait(headers),
    )


class PlainDialect:
    """Targets that speak this project's own headers."""

    unframed = False
    hands_context = True

    def request(
        self,
        call: Call,
        context: ContextKey,
        time_left_s: float,
        endpoint: tuple[str, int],
        target: TargetId,
    ) -> HttpRequest:
        """Return the request that carries a call to its target."""
        return request_to_target(call, context, time_left_s, endpoint)

    def belongs(self, call: Call, response: HttpResponse) -> bool:
        """Take every response, since one connection carries one call at a time."""
        return True

    def outcome(self, call: Call, response: HttpResponse) -> Answered:
        """Take every whole response as the answer."""
        return answer_from_target(response)


def make_plain_dialect() -> PlainDialect:
    """Return the dialect of this project's own headers."""
    return PlainDialect()


def request_to_target(
    call: Call, context: ContextKey, time_left_s: float, endpoint: tuple[str, int]
) -> HttpRequest:
    """Return the HTTP request that carries a call to its target."""
    headers: Headers = [
        (b"host", f"{endpoint[0]}:{endpoint[1]}".encode("ascii")),
        *call.headers,
        (CONTEXT_HEADER, context.encode("ascii")),
        (REQUEST_HEADER, call.request.encode("ascii")),
        (DEADLINE_HEADER, b"%d" % (time_left_s * MS_PER_S)),
    ]
    return HttpRequest(call.method.encode("ascii"), call.path.encode("ascii"), headers, call.body)


def answer_from_target(response: HttpResponse) -> Answered:
    """Return the outcome that a target's whole response stands for."""
    headers = end_to_end_headers(response.headers)
    return Answered(response.status, headers, response.body)


@singledispatch
def response_of(outcome: Outcome) -> HttpResponse:
    """Return the HTTP response that tells a caller an outcome."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@response_of.register
def _(outcome: Answered) -> HttpResponse:
    headers = [pair for pair in outcome.headers if not _is_own(pair[0])]
    headers.append((OUTCOME_HEADER, b"answered"))
    return HttpResponse(outcome.status, headers, outcome.body)


@response_of.register
def _(outcome: NotRun) -> HttpResponse:
    status = STATUSES_NOT_RUN.get(outcome.reason, STATUS_NOT_RUN)
    response = _own_response(status, "not-run", outcome.reason)
    if outcome.retry_after_s > 0:
        response.headers.append((b"retry-after", b"%d" % max(1, round(outcome.retry_after_s))))
    return response


@response_of.register
def _(outcome: Unknown) -> HttpResponse:
    status = STATUSES_UNKNOWN.get(outcome.reason, STATUS_UNKNOWN)
    return _own_response(status, "unknown", outcome.reason)


def response_to_bad_request(status: int) -> HttpResponse:
    """Return the response to a request that could not be read, which was therefore not run."""
    reason = Reason.TOO_LARGE if status == STATUSES_NOT_RUN[Reason.TOO_LARGE] else None
    return _own_response(status, "not-run", reason or Reason.BAD_REQUEST)


def _own_response(status: int, outcome: str, reason: Reason) -> HttpResponse:
    headers = [
        (b"content-type", b"application/json"),
        (OUTCOME_HEADER, outcome.encode("ascii")),
        (REASON_HEADER, reason.value.encode("ascii")),
    ]
    return HttpResponse(status, headers, encode(Refused(outcome, reason)))


def _split_target(target: bytes) -> tuple[str, str]:
    try:
        text = target.decode("ascii")
    except UnicodeDecodeError as error:
        raise TranslationError("the path is not ASCII") from error
    parts = text.split("/", 2)
    if len(parts) != 3 or parts[0] or not parts[1] or not parts[2]:
        raise TranslationError("expected a path like /SERVICE/CALL")
    return parts[1], "/" + parts[2]


def _first_part(path: str) -> str:
    return path[1:].partition("?")[0].partition("/")[0]


def _optional(headers: Headers, name: bytes, limit: int, make: type):
    value = header_value(headers, name)
    if value is None:
        return None
    if not value or len(value) > limit:
        raise TranslationError(f"expected 1 to {limit} bytes in {name.decode('ascii')}")
    return make(value.decode("latin-1"))


def _read_wait(headers: Headers) -> float | None:
    value = header_value(headers, DEADLINE_HEADER)
    if value is None:
        return None
    try:
        wait_ms = float(value)
    except ValueError as error:
        raise TranslationError("expected milliseconds in pollenbay-deadline-ms") from error
    if not 0 < wait_ms <= DEADLINE_LIMIT_MS:
        raise TranslationError("pollenbay-deadline-ms is out of range")
    return wait_ms / MS_PER_S


def _is_own(name: bytes) -> bool:
    return name.startswith(OWN_PREFIX)
