"""Messages that nodes exchange on a link, and their conversion to and from calls and outcomes."""

from functools import singledispatch

from msgspec import Struct

from pollenbay.call import Call
from pollenbay.ids import CallerId, CallId, CallName, IdempotencyKey, ServiceName
from pollenbay.outcome import Answered, Headers, NotRun, Outcome, Unknown
from pollenbay.ranges import Count, HeaderRequestId, HttpStatus, Ratio, RequestText, Seconds, TimeMs
from pollenbay.states import CallClass, Reason

MS_PER_S = 1000.0


class LinkMessage(Struct, array_like=True, tag_field="t", gc=False):
    """Base class of the messages of a link.

    :param call_id: the attempt that the message belongs to.
    """

    call_id: CallId


class TargetFeedback(Struct, array_like=True, frozen=True, gc=False):
    """Feedback that a target's node sends to calling nodes along with the outcome.

    :param is_entry_route: whether callers use the route of the call; None if not known.
    :param route_share: ratio of the calls at the target that came by this route.
    :param occupancy: calls that run or wait at the target, as a ratio of its limit.
    :param limit: maximum number of calls that may run at the target at once.
    :param admission_levels: admission levels of the target's service and the services downstream of
        it; see `pollenbay.saturation`.
    :param level_ages_s: seconds since each of these levels was measured.
    """

    is_entry_route: bool | None
    route_share: Ratio
    occupancy: Ratio
    limit: Count
    admission_levels: tuple[tuple[ServiceName, Ratio], ...]
    level_ages_s: tuple[Seconds, ...] = ()


class CallMessage(LinkMessage, tag=1):
    """Request to the target's node to run a call.

    :param time_left_ms: milliseconds until the deadline.
    :param allowance: retry tokens delegated for the nested calls of the target.
    """

    request: HeaderRequestId
    service: ServiceName
    name: CallName
    call_class: CallClass
    caller: CallerId
    method: RequestText
    path: RequestText
    headers: Headers
    body: bytes
    time_left_ms: TimeMs
    allowance: Count
    idempotency_key: IdempotencyKey | None
    depth: Count
    idempotent: bool
    origin_service: ServiceName


class ResponseMessage(LinkMessage, tag=2):
    """The complete response of the target."""

    status: HttpStatus
    headers: Headers
    body: bytes
    allowance_left: Count
    feedback: TargetFeedback | None = None


class NotRunMessage(LinkMessage, tag=3):
    """The call was rejected before the target could receive it."""

    reason: Reason
    retry_after_s: Seconds
    allowance_left: Count
    feedback: TargetFeedback | None = None


class UnknownMessage(LinkMessage, tag=4):
    """The call may have run."""

    reason: Reason
    allowance_left: Count
    feedback: TargetFeedback | None = None


class ProgressMessage(LinkMessage, tag=5):
    """The call is still queued or running; shows that the connection is alive."""


AnyLinkMessage = CallMessage | ResponseMessage | NotRunMessage | UnknownMessage | ProgressMessage
ReplyMessage = ResponseMessage | NotRunMessage | UnknownMessage


def make_call_message(
    call: Call, call_id: CallId, time_left_s: float, retry_allowance: int
) -> CallMessage:
    """Return the message that requests another node to run a call.

    :param time_left_s: seconds until the deadline.
    :param retry_allowance: retry tokens delegated with the call.
    """
    return CallMessage(
        call_id=call_id,
        request=call.request,
        service=call.service,
        name=call.name,
        call_class=call.call_class,
        caller=call.caller,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        time_left_ms=time_left_s * MS_PER_S,
        allowance=retry_allowance,
        idempotency_key=call.idempotency_key,
        depth=call.depth,
        idempotent=call.idempotent,
        origin_service=call.origin_service,
    )


def make_call(message: CallMessage, now: float) -> Call:
    """Return the call that a message requests; its deadline counts from `now`.

    The node that sent the message ends the call at the deadline.

    :param now: monotonic seconds.
    """
    return Call(
        request=message.request,
        service=message.service,
        name=message.name,
        call_class=message.call_class,
        caller=message.caller,
        method=message.method,
        path=message.path,
        headers=message.headers,
        body=message.body,
        deadline=now + message.time_left_ms / MS_PER_S,
        idempotency_key=message.idempotency_key,
        depth=message.depth,
        idempotent=message.idempotent,
        origin_service=message.origin_service,
        sender_enforces_deadline=True,
    )


@singledispatch
def reply_to(outcome: Outcome, call_id: CallId) -> ReplyMessage:
    """Return the message that returns an outcome to the calling node."""
    raise TypeError(f"unsupported outcome type: {type(outcome).__name__}")


@reply_to.register
def _(outcome: Answered, call_id: CallId) -> ReplyMessage:
    return ResponseMessage(
        call_id, outcome.status, outcome.headers, outcome.body, outcome.allowance_left
    )


@reply_to.register
def _(outcome: NotRun, call_id: CallId) -> ReplyMessage:
    return NotRunMessage(call_id, outcome.reason, outcome.retry_after_s, outcome.allowance_left)


@reply_to.register
def _(outcome: Unknown, call_id: CallId) -> ReplyMessage:
    return UnknownMessage(call_id, outcome.reason, outcome.allowance_left)


@singledispatch
def outcome_of(message: AnyLinkMessage) -> Outcome:
    """Return the outcome contained in a reply.

    :raises TypeError: if the message is not a reply.
    """
    raise TypeError(f"unsupported reply type: {type(message).__name__}")


@outcome_of.register
def _(message: ResponseMessage) -> Outcome:
    return Answered(message.status, message.headers, message.body, message.allowance_left)


@outcome_of.register
def _(message: NotRunMessage) -> Outcome:
    return NotRun(message.reason, message.retry_after_s, message.allowance_left)


@outcome_of.register
def _(message: UnknownMessage) -> Outcome:
    return Unknown(message.reason, message.allowance_left)
