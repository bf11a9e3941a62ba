"""Serving a call on the local target: admission, claim, sending, outcome."""

from functools import singledispatch

from curio import TaskTimeout, timeout_after
from msgspec.structs import replace

from pollenbay.account import make_retry_account
from pollenbay.call import Call, CallProgress
from pollenbay.claim import Claim, ClaimRequest, fingerprint_of
from pollenbay.commands.admission import DRAINING_RETRY_S, abandon, admit, release
from pollenbay.commands.claim import abandon_claim, acquire_claim, record_response, release_claim
from pollenbay.contexts import Context
from pollenbay.decisions import Decision, fields_of_call, fields_of_outcome
from pollenbay.gate import Arrival, Refusal, Ticket, Waiter
from pollenbay.httpclient import HttpClient
from pollenbay.ids import ContextKey
from pollenbay.ledger import Ledger
from pollenbay.metrics import Metrics
from pollenbay.node import Node
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown, is_successful
from pollenbay.queries.admission import can_end_before_cut
from pollenbay.states import NodeState, Reason, TargetState
from pollenbay.target import TargetConnectError, TargetResponseError

RETRY_AFTER_S = 1.0
#: Seconds past its deadline for which the response of a claimed, hence non-idempotent, call is
#: still awaited and recorded.
RECORD_GRACE_S = 10.0
NO_CONTEXT = ContextKey("")


async def serve(node: Node, call: Call, allowance: int, progress: CallProgress) -> Outcome:
    """Run a call on the local target.

    :param allowance: retry tokens delegated for the nested calls of the target.
    :param progress: updated here; the watch reads from it whether the call may be cancelled.
    """
    progress.call = call
    outcome = await _serve(node, call, allowance, progress)
    record_outcome(outcome, node.metrics, call)
    answered = isinstance(outcome, Answered)
    if not answered and node.decisions.reserve_line(Decision.NOT_ANSWERED):
        _log_unanswered(node, call, outcome)
    return outcome


def _log_unanswered(node: Node, call: Call, outcome: NotRun | Unknown) -> None:
    now = node.timer.now()
    fields = {
        **fields_of_call(call, now),
        **fields_of_outcome(outcome),
        "target": node.target.name,
        "target_state": node.target.state.value,
        "heard_s_ago": round(now - node.target.last_seen_at, 3),
        "in_flight": node.gate.in_flight,
        "limit": node.gate.limit.value,
        "queued": len(node.gate.queue),
    }
    node.decisions.write(Decision.NOT_ANSWERED, fields)


@singledispatch
def record_outcome(outcome: Outcome, metrics: Metrics, call: Call) -> None:
    """Count a call without a response; responses are counted by the node that placed the call."""


@record_outcome.register
def _(outcome: NotRun, metrics: Metrics, call: Call) -> None:
    metrics.record_refusal(call.call_class, outcome.reason)


@record_outcome.register
def _(outcome: Unknown, metrics: Metrics, call: Call) -> None:
    metrics.record_unknown(outcome.reason)


async def _serve(node: Node, call: Call, allowance: int, progress: CallProgress) -> Outcome:
    node.origins.record(call.name, call.origin_service, node.timer.now())
    node.saturation.record_arrival()
    reason = _refusal_reason(node, call)
    if reason is not None:
        return NotRun(reason, RETRY_AFTER_S, allowance)
    result = await _acquire_ticket(node, call)
    if isinstance(result, Refusal):
        if result.reason is not Reason.DRAINING:
            node.saturation.record_refusal()
        return NotRun(result.reason, result.retry_after_s, allowance)
    return await _serve_admitted(node, call, allowance, progress, result)


def _refusal_reason(node: Node, call: Call) -> Reason | None:
    if call.service != node.settings.service:
        return Reason.UNKNOWN_CALL
    if node.rejects_new_work or node.state is NodeState.STOPPED:
        return Reason.DRAINING
    if node.target.state is not TargetState.SERVING:
        return Reason.NOT_READY
    if node.timer.now() >= call.deadline:
        return Reason.DEADLINE
    return None


async def _acquire_ticket(node: Node, call: Call) -> Ticket | Refusal:
    now = node.timer.now()
    result = admit(node.gate, _arrival_of(call, now), now)
    if not isinstance(result, Waiter):
        return result
    if result.displaced is not None:
        await wake([result.displaced])
    try:
        await timeout_after(call.deadline - now, result.event.wait)
    except TaskTimeout:
        await wake(abandon(node.gate, result, node.timer.now()))
        return Refusal(Reason.QUEUE_TIMEOUT, RETRY_AFTER_S)
    except BaseException:
        await wake(abandon(node.gate, result, node.timer.now()))
        raise
    node.metrics.record_queue_wait(call.call_class, node.timer.now() - now)
    return result.decision


def _arrival_of(call: Call, now: float) -> Arrival:
    return Arrival(call.call_class, call.caller, call.deadline, now, name=call.name)


async def wake(waiters: list[Waiter]) -> None:
    """Wake the tasks of waiters that were granted or refused a slot."""
    for waiter in waiters:
        await waiter.event.set()


async def _serve_admitted(
    node: Node, call: Call, allowance: int, progress: CallProgress, ticket: Ticket
) -> Outcome:
    started_at = node.timer.now()
    successful = False
    try:
        outcome = await _run(node, call, allowance, progress)
        successful = is_successful(outcome)
        return outcome
    finally:
        now = node.timer.now()
        latency_s = now - started_at
        node.metrics.record_target_call(call.call_class, latency_s)
        await wake(release(node.gate, ticket, latency_s, successful, now, progress.self_time_s))


async def _run(node: Node, call: Call, allowance: int, progress: CallProgress) -> Outcome:
    if not call.requires_claim:
        return await _send(node, call, allowance, progress)
    progress.cancellable = False
    claim = await acquire_claim(node.ledger, _claim_request(node, call))
    if not isinstance(claim, Claim):
        return replace(claim, allowance_left=allowance)
    outcome: Outcome = Unknown(Reason.CANCELLED)
    try:
        outcome = await _send(node, call, allowance, progress)
    finally:
        final_outcome = outcome if progress.sent else NotRun(Reason.CANCELLED)
        await settle_claim(final_outcome, node.ledger, claim)
    return outcome


def _claim_request(node: Node, call: Call) -> ClaimRequest:
    return ClaimRequest(
        service=call.service,
        call=call.name,
        caller=call.caller,
        key=call.idempotency_key,
        fingerprint=fingerprint_of(call.service, call.name, call.method, call.path, call.body),
        deadline_epoch_s=node.timer.epoch() + call.deadline - node.timer.now(),
    )


@singledispatch
async def settle_claim(outcome: Outcome, ledger: Ledger, claim: Claim) -> None:
    """Record how a claimed call ended; an unknown outcome leaves the claim as it is."""
    abandon_claim(ledger, claim)


@settle_claim.register
async def _(outcome: Answered, ledger: Ledger, claim: Claim) -> None:
    await record_response(ledger, claim, outcome)


@settle_claim.register
async def _(outcome: NotRun, ledger: Ledger, claim: Claim) -> None:
    await release_claim(ledger, claim)


def _may_begin(node: Node, call: Call) -> bool:
    # A stop may have begun, or gone on, while the call waited for its claim and its connection.
    if not node.is_stopping:
        return True
    if node.state is NodeState.STOPPED:
        return False
    now = node.timer.now()
    return can_end_before_cut(node.gate, _arrival_of(call, now), now)


async def _send(node: Node, call: Call, allowance: int, progress: CallProgress) -> Outcome:
    try:
        client = await node.target.connect(node.timer.now(), call.idempotent)
    except TargetConnectError as error:
        return NotRun(error.reason, RETRY_AFTER_S, allowance)
    if not _may_begin(node, call):
        await node.target.keep(client, node.timer.now())
        return NotRun(Reason.DRAINING, DRAINING_RETRY_S, allowance)
    if node.target.propagates_context:
        return await _send_with_context(node, call, allowance, progress, client)
    return await _exchange(node, call, progress, client, NO_CONTEXT)


async def _send_with_context(
    node: Node, call: Call, allowance: int, progress: CallProgress, client: HttpClient
) -> Outcome:
    account = make_retry_account(allowance, call.deadline)
    context = Context(
        call.request, call.call_class, call.caller, account, call.deadline, call.depth
    )
    key = node.contexts.open(context)
    sent_at = node.timer.now()
    try:
        outcome = await _exchange(node, call, progress, client, key)
        return replace(outcome, allowance_left=account.withdraw_all())
    finally:
        now = node.timer.now()
        progress.self_time_s = now - sent_at - context.total_waited_s(now)
        node.contexts.close(key)


async def _exchange(
    node: Node, call: Call, progress: CallProgress, client: HttpClient, key: ContextKey
) -> Outcome:
    time_left_s = call.deadline - node.timer.now()
    if time_left_s <= 0:
        await node.target.keep(client, node.timer.now())
        return NotRun(Reason.DEADLINE)
    progress.cancellable = call.idempotent
    progress.sent = True
    progress.begun_at = node.timer.now()
    limit_s: float | None = time_left_s
    if call.requires_claim:
        limit_s = time_left_s + RECORD_GRACE_S
    elif call.sender_enforces_deadline:
        limit_s, progress.sender_deadline = None, call.deadline
    try:
        return await node.target.run(client, call, key, time_left_s, limit_s, node.timer.now)
    except TargetResponseError as error:
        return Unknown(error.reason)
