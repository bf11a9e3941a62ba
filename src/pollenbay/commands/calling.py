"""Placing a call: attempts at targets, and retries within the retry allowance of the request."""

from curio import Task, TaskTimeout, sleep, spawn, timeout_after

from pollenbay.account import RetryAccount
from pollenbay.call import Call, CallProgress, EntryPoint
from pollenbay.commands.retry import (
    delegate_tokens,
    reclaim_tokens,
    record_first_attempt,
    spend_next_attempt,
)
from pollenbay.commands.routing import begin_attempt, end_attempt, pick, record_occupancy
from pollenbay.commands.saturation import record_levels
from pollenbay.commands.serving import serve
from pollenbay.commands.stopping import refuse_while_stopping
from pollenbay.commands.throttle import record_entry
from pollenbay.ids import InstanceId, make_call_id
from pollenbay.link import (
    Link,
    LinkBrokenError,
    LinkConnectError,
    LinkDeadlineError,
    LinkError,
    LinkMessageError,
    LinkTimeoutError,
)
from pollenbay.linkmessage import (
    AnyLinkMessage,
    CallMessage,
    ProgressMessage,
    ReplyMessage,
    TargetFeedback,
    make_call_message,
    outcome_of,
)
from pollenbay.node import Node
from pollenbay.outcome import NotRun, Outcome, Unknown, is_successful
from pollenbay.queries.downstream import refuse_at_entry
from pollenbay.queries.retry import is_refused_for_load, is_retriable, outcome_to_report
from pollenbay.queries.routing import may_have_room
from pollenbay.queries.rules import find_call
from pollenbay.queries.saturation import fails_on_its_own
from pollenbay.queries.stopping import due_at
from pollenbay.score import AttemptResult
from pollenbay.states import Reason
from pollenbay.view import Member

DEPTH_LIMIT = 16
RETRY_AFTER_S = 1.0
BACKOFF_BASE_S = 0.004
BACKOFF_MAX_S = 0.1
#: The target's node gets a deadline this much earlier, so that its reply arrives in time.
RETURN_MARGIN_S = 0.01
#: A link on which not even a progress message arrives for this time is considered dead.
LINK_TIMEOUT_S = 1.5


async def place_call(
    node: Node, call: Call, account: RetryAccount, entry_point: EntryPoint, progress: CallProgress
) -> Outcome:
    """Place a call at a target and return its outcome.

    :param account: retry account of the request to which the call belongs.
    """
    rule = find_call(node.rulebook, call.service, call.name)
    if rule is None:
        return NotRun(Reason.UNKNOWN_CALL)
    if call.depth > DEPTH_LIMIT:
        return NotRun(Reason.BAD_CONTEXT)
    refusal = refuse_while_stopping(node, call, entry_point)
    if refusal is not None:
        return refusal
    if entry_point is EntryPoint.CALLER:
        refusal = refuse_at_entry(
            node.rulebook, node.view, call.service, call.name, node.timer.now()
        )
        if refusal is not None:
            return NotRun(refusal.reason, refusal.retry_after_s)
    return await place_at_service(node, call, account, progress)


async def place_at_service(
    node: Node, call: Call, account: RetryAccount, progress: CallProgress
) -> Outcome:
    """Place a call at a target of the service selected for it and return its outcome."""
    progress.call = call
    excluded: frozenset[InstanceId] = frozenset()
    budget = node.budgets.for_service(call.service)
    record_first_attempt(budget, call.call_class, node.timer.now())
    reported: Outcome | None = None
    retries = 0
    while True:
        member = _choose(node, call, excluded)
        if member is None:
            return outcome_to_report(NotRun(Reason.NO_TARGET, RETRY_AFTER_S), reported)
        node.metrics.record_attempt(call.call_class, retries > 0)
        outcome = await _attempt(node, call, account, progress, member)
        reported = outcome_to_report(outcome, reported)
        repeats_failure = fails_on_its_own(node.saturation, call.service)
        if not is_retriable(outcome, call, repeats_failure) or not _has_time(node, call):
            return reported
        excluded = excluded | {member.instance}
        if is_refused_for_load(outcome) and not _may_have_room(node, call, excluded):
            return reported
        if not spend_next_attempt(outcome, account, budget, call.call_class, node.timer.now()):
            return reported
        await sleep(_backoff_s(node, retries))
        retries += 1


def _choose(node: Node, call: Call, excluded: frozenset[InstanceId]) -> Member | None:
    choice = _pick(node, call, excluded)
    if choice is None and excluded:
        choice = _pick(node, call, frozenset())
    return choice or _local_member(node, call)


def _local_member(node: Node, call: Call) -> Member | None:
    # Last resort for a call that no other node accepts, while this node still accepts calls.
    if call.service != node.settings.service or node.rejects_new_work:
        return None
    return node.membership.local_member


def _pick(node: Node, call: Call, excluded: frozenset[InstanceId]) -> Member | None:
    return pick(
        node.view,
        node.scores,
        call.service,
        node.location,
        excluded,
        node.timer.now(),
        node.random,
        may_probe=call.idempotent,
    )


def _may_have_room(node: Node, call: Call, tried: frozenset[InstanceId]) -> bool:
    return may_have_room(node.view, node.scores, call.service, tried, node.timer.now())


def _has_time(node: Node, call: Call) -> bool:
    return due_at(node, call) - node.timer.now() > RETURN_MARGIN_S


def _backoff_s(node: Node, retries: int) -> float:
    limit_s = min(BACKOFF_BASE_S * 2**retries, BACKOFF_MAX_S)
    return node.random.random() * limit_s


async def _attempt(
    node: Node, call: Call, account: RetryAccount, progress: CallProgress, member: Member
) -> Outcome:
    allowance = delegate_tokens(account) if call.has_calls else 0
    sent_before = progress.sent
    started_at = node.timer.now()
    begin_attempt(node.scores, member, started_at)
    result = AttemptResult.CANCELLED
    try:
        outcome = await _dispatch(node, call, allowance, progress, member)
        result = _result_of(outcome)
    finally:
        now = node.timer.now()
        end_attempt(node.scores, member, now - started_at, result, now)
    reclaim_tokens(account, outcome.allowance_left, allowance)
    if isinstance(outcome, NotRun):
        _undo_attempt(progress, sent_before)
    return outcome


def _undo_attempt(progress: CallProgress, sent_before: bool) -> None:
    """Return to the progress before an attempt that has not run, which the next one starts from.

    :param sent_before: whether a target may have received the call in an earlier attempt.
    """
    progress.cancellable = True
    progress.sent = sent_before
    progress.begun_at = None


def _result_of(outcome: Outcome) -> AttemptResult:
    if isinstance(outcome, NotRun):
        refused_by_load = outcome.reason is not Reason.CONNECT_FAILED
        return AttemptResult.REFUSED if refused_by_load else AttemptResult.FAILED
    return AttemptResult.ANSWERED if is_successful(outcome) else AttemptResult.FAILED


async def _dispatch(
    node: Node, call: Call, allowance: int, progress: CallProgress, member: Member
) -> Outcome:
    if member.instance != node.settings.instance:
        return await _forward(node, call, allowance, progress, member)
    if not call.requires_claim:
        return await serve(node, call, allowance, progress)
    return await _serve_detached(node, call, allowance, progress)


async def _serve_detached(
    node: Node, call: Call, allowance: int, progress: CallProgress
) -> Outcome:
    task = await spawn(serve, node, call, allowance, progress, daemon=True)
    try:
        return await timeout_after(call.deadline - node.timer.now(), task.join)
    except TaskTimeout:
        await _cancel_if_allowed(task, progress)
        return Unknown(Reason.DEADLINE)
    except BaseException:
        await _cancel_if_allowed(task, progress)
        raise


async def _cancel_if_allowed(task: Task, progress: CallProgress) -> None:
    if progress.cancellable:
        await task.cancel()


async def _forward(
    node: Node, call: Call, allowance: int, progress: CallProgress, member: Member
) -> Outcome:
    address, port = member.endpoints.address, member.endpoints.link_port
    try:
        link = await node.links.acquire(address, port, node.timer.now(), call.idempotent)
    except LinkConnectError:
        return NotRun(Reason.CONNECT_FAILED, RETRY_AFTER_S, allowance)
    message = make_call_message(call, make_call_id(), _link_time_s(node, call), allowance)
    progress.sent = True
    try:
        reply = await _exchange(node, call, link, message)
    except LinkDeadlineError:
        await link.close()
        return Unknown(Reason.DEADLINE)
    except LinkError as error:
        await link.close()
        await node.links.close_idle(address, port)
        return _unknown_outcome(node, error)
    except BaseException:
        await link.close()
        raise
    await node.links.release(address, port, link, node.timer.now())
    if reply.feedback is not None:
        _record_feedback(node, call, member, reply.feedback)
    return outcome_of(reply)


def _record_feedback(node: Node, call: Call, member: Member, feedback: TargetFeedback) -> None:
    now = node.timer.now()
    record_levels(
        node.saturation,
        member.instance,
        member.service,
        feedback.admission_levels,
        now,
        feedback.level_ages_s,
    )
    record_entry(node.throttle, call.name, feedback.is_entry_route, feedback.route_share)
    record_occupancy(node.scores, member, feedback.occupancy, feedback.limit, now)


def _unknown_outcome(node: Node, error: LinkError) -> Unknown:
    if isinstance(error, LinkMessageError):
        node.metrics.record_bad_input("link")
    timed_out = isinstance(error, LinkTimeoutError)
    reason = Reason.CONNECTION_SILENT if timed_out else Reason.CONNECTION_LOST
    node.metrics.record_unknown(reason)
    return Unknown(reason)


def _link_time_s(node: Node, call: Call) -> float:
    return max(due_at(node, call) - node.timer.now() - RETURN_MARGIN_S, 0.0)


async def _exchange(node: Node, call: Call, link: Link, message: CallMessage) -> ReplyMessage:
    """Send a call on a link and return the reply.

    :raises LinkError: if the link broke, timed out or delivered an unexpected message.
    """
    await link.send(message)
    last_received_at = node.timer.now()
    while True:
        reply = await _receive(node, call, link, last_received_at)
        if reply.call_id != message.call_id or isinstance(reply, CallMessage):
            raise LinkMessageError("received a message that is not a reply to the pending call")
        if not isinstance(reply, ProgressMessage):
            return reply
        last_received_at = node.timer.now()


async def _receive(node: Node, call: Call, link: Link, last_received_at: float) -> AnyLinkMessage:
    time_left_s = call.deadline - node.timer.now()
    limit_s = min(time_left_s, LINK_TIMEOUT_S) if call.idempotent else time_left_s
    try:
        if call.sender_enforces_deadline and limit_s >= time_left_s:
            reply = await link.receive()
        else:
            async with timeout_after(max(limit_s, 0.0)):
                reply = await link.receive()
    except TaskTimeout as error:
        idle_s = node.timer.now() - last_received_at
        if idle_s < LINK_TIMEOUT_S:
            raise LinkDeadlineError("deadline exceeded while waiting for a reply") from error
        raise LinkTimeoutError(f"no message received for {idle_s:.1f} s") from error
    if reply is None:
        raise LinkBrokenError("link closed before the reply")
    return reply
