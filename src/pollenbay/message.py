"""Messages between nodes on a link, and their translation to and from calls and outcomes."""

from functools import singledispatch

from msgspec import Struct

from pollenbay.call import Call
from pollenbay.ids import CallerId, CallId, CallName, IdempotencyKey, RequestId, ServiceName
from pollenbay.outcome import Answered, Headers, NotRun, Outcome, Unknown
from pollenbay.states import CallClass, Reason

MS_PER_S = 1000.0


class LinkMessage(Struct, array_like=True, tag_field="t", gc=False):
    """Root of the messages of a link.

    :param call_id: the attempt that it is about.
    """

    call_id: CallId


class Told(Struct, array_like=True, frozen=True, gc=False):
    """What the node beside a target tells those that call it, besides the outcome.

    :param is_entry: whether callers use the route of the call; None if not known.
    :param share: part of the calls at the target that came by this route.
    :param taken: calls that run or wait at the target, as a part of its limit.
    :param limit: calls that may run there at once.
    :param levels: demand that its target and the services below it can take; see
        `pollenbay.saturation`.
    """

    is_entry: bool | None
    share: float
    taken: float
    limit: int
    levels: tuple[tuple[ServiceName, float], ...]


class CallMessage(LinkMessage, tag=1):
    """Ask the node beside a target to run a call.

    :param time_left_ms: milliseconds until the deadline.
    :param allowance: retries handed out for what the target calls in turn.
    """

    request: RequestId
    service: ServiceName
    name: CallName
    call_class: CallClass
    caller: CallerId
    method: str
    path: str
    headers: Headers
    body: bytes
    time_left_ms: float
    allowance: int
    idempotency_key: IdempotencyKey | None
    depth: int
    idempotent: bool
    origin: ServiceName


class AnswerMessage(LinkMessage, tag=2):
    """The target's whole answer."""

    status: int
    headers: Headers
    body: bytes
    allowance_left: int
    told: Told | None = None


class NotRunMessage(LinkMessage, tag=3):
    """The call was refused before the target could see it."""

    reason: Reason
    retry_after_s: float
    allowance_left: int
    told: Told | None = None


class UnknownMessage(LinkMessage, tag=4):
    """The call may have run."""

    reason: Reason
    allowance_left: int
    told: Told | None = None


class ProgressMessage(LinkMessage, tag=5):
    """The call is still queued or running; proves that the connection is alive."""


AnyLinkMessage = CallMessage | AnswerMessage | NotRunMessage | UnknownMessage | ProgressMessage
ReplyMessage = AnswerMessage | NotRunMessage | UnknownMessage


def make_call_message(
    call: Call, call_id: CallId, time_left_s: float, allowance: int
) -> CallMessage:
    """Return the message that asks another node to run a call."""
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
        allowance=allowance,
        idempotency_key=call.idempotency_key,
        depth=call.depth,
        idempotent=call.idempotent,
        origin=call.origin,
    )


def make_call(message: CallMessage, now: float) -> Call:
    """Return the call that a message asks for; its deadline counts from `now`.

    The node that sent the message ends the call at the deadline.
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
        origin=message.origin,
        timed=True,
    )


@singledispatch
def reply_to(outcome: Outcome, call_id: CallId) -> ReplyMessage:
    """Return the message that carries an outcome back."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@reply_to.register
def _(outcome: Answered, call_id: CallId) -> ReplyMessage:
    return AnswerMessage(
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
    """Return the outcome that a reply carries.

    :raises TypeError: if the message is not a reply.
    """
    raise TypeError(f"not a reply: {type(message).__name__}")


@outcome_of.register
def _(message: AnswerMessage) -> Outcome:
    return Answered(message.status, message.headers, message.body, message.allowance_left)


@outcome_of.register
def _(message: NotRunMessage) -> Outcome:
    return NotRun(message.reason, message.retry_after_s, message.allowance_left)


@outcome_of.register
def _(message: UnknownMessage) -> Outcome:
    return Unknown(message.reason, message.allowance_left)
