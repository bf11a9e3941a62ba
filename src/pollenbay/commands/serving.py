"""Serving a call on the target beside this node: admission, claim, sending, outcome."""

from functools import singledispatch

from curio import TaskTimeout, timeout_after
from msgspec.structs import replace

from pollenbay.account import make_account
from pollenbay.call import Call, Passage
from pollenbay.claim import Claim, ClaimRequest, fingerprint_of
from pollenbay.commands.admission import abandon, admit, release
from pollenbay.commands.claim import abandon_claim, record_answer, release_claim, take_claim
from pollenbay.contexts import Context
from pollenbay.decisions import Decision, fields_of_call, fields_of_outcome
from pollenbay.gate import Arrival, Refusal, Ticket, Waiter
from pollenbay.httpclient import HttpClient
from pollenbay.ids import ContextKey
from pollenbay.ledger import Ledger
from pollenbay.metrics import Metrics
from pollenbay.node import Node
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown, is_sound
from pollenbay.states import NodeState, Reason, TargetState
from pollenbay.target import TargetAnswerError, TargetConnectError

RETRY_AFTER_S = 1.0
#: How long past its deadline the answer of a non-idempotent call is still awaited and recorded.
RECORD_GRACE_S = 10.0
NO_CONTEXT = ContextKey("")


async def serve(node: Node, call: Call, allowance: int, passage: Passage) -> Outcome:
    """Run a call on the target beside this node.

    :param allowance: retries handed out for what the target calls in turn.
    :param passage: tells the watch whether the call may still be given up.
    """
    outcome = await _serve(node, call, allowance, passage)
    note_outcome(outcome, node.metrics, call)
    answered = isinstance(outcome, Answered)
    if not answered and node.decisions.take_room(Decision.NOT_ANSWERED):
        _log_end(node, call, outcome)
    return outcome


def _log_end(node: Node, call: Call, outcome: NotRun | Unknown) -> None:
    now = node.timer.now()
    fields = {
        **fields_of_call(call, now),
        **fields_of_outcome(outcome),
        "target": node.target.name,
        "target_state": node.target.state.value,
        "heard_s_ago": round(now - node.target.heard_at, 3),
        "in_flight": node.gate.in_flight,
        "limit": node.gate.limit.value,
        "queued": len(node.gate.line),
    }
    node.decisions.write(Decision.NOT_ANSWERED, fields)


@singledispatch
def note_outcome(outcome: Outcome, metrics: Metrics, call: Call) -> None:
    """Count how a call ended beside its target; answers are counted where they were asked for."""


@note_outcome.register
def _(outcome: NotRun, metrics: Metrics, call: Call) -> None:
    metrics.note_refusal(call.call_class, outcome.reason)


@note_outcome.register
def _(outcome: Unknown, metrics: Metrics, call: Call) -> None:
    metrics.note_unknown(outcome.reason)


async def _serve(node: Node, call: Call, allowance: int, passage: Passage) -> Outcome:
    node.origins.note(call.name, call.origin, node.timer.now())
    node.saturation.arrive()
    reason = _reason_to_refuse(node, call)
    if reason is not None:
        return NotRun(reason, RETRY_AFTER_S, allowance)
    verdict = await _enter(node, call)
    if isinstance(verdict, Refusal):
        node.saturation.refuse()
        return NotRun(verdict.reason, verdict.retry_after_s, allowance)
    return await _serve_admitted(node, call, allowance, passage, verdict)


def _reason_to_refuse(node: Node, call: Call) -> Reason | None:
    if call.service != node.settings.service:
        return Reason.UNKNOWN_CALL
    if node.refusing or node.state is NodeState.STOPPED:
        return Reason.DRAINING
    if node.target.state is not TargetState.SERVING:
        return Reason.NOT_READY
    if node.timer.now() >= call.deadline:
        return Reason.DEADLINE
    return None


async def _enter(node: Node, call: Call) -> Ticket | Refusal:
    now = node.timer.now()
    verdict = admit(node.gate, Arrival(call.call_class, call.caller, call.deadline, now), now)
    if not isinstance(verdict, Waiter):
        return verdict
    if verdict.displaced is not None:
        await wake([verdict.displaced])
    try:
        await timeout_after(call.deadline - now, verdict.event.wait)
    except TaskTimeout:
        await wake(abandon(node.gate, verdict, node.timer.now()))
        return Refusal(Reason.QUEUE_TIMEOUT, RETRY_AFTER_S)
    except BaseException:
        await wake(abandon(node.gate, verdict, node.timer.now()))
        raise
    node.metrics.note_queue(call.call_class, node.timer.now() - now)
    return verdict.decision


async def wake(waiters: list[Waiter]) -> None:
    """Wake the tasks of waiters that have just been granted or refused a slot."""
    for waiter in waiters:
        await waiter.event.set()


async def _serve_admitted(
    node: Node, call: Call, allowance: int, passage: Passage, ticket: Ticket
) -> Outcome:
    started_at = node.timer.now()
    sound = False
    try:
        outcome = await _run(node, call, allowance, passage)
        sound = is_sound(outcome)
        return outcome
    finally:
        now = node.timer.now()
        latency_s = now - started_at
        node.metrics.note_target(call.call_class, latency_s)
        await wake(release(node.gate, ticket, latency_s, sound, now, passage.own_s))


async def _run(node: Node, call: Call, allowance: int, passage: Passage) -> Outcome:
    if not call.claimed:
        return await _send(node, call, allowance, passage)
    passage.cancellable = False
    claim = await take_claim(node.ledger, _claim_request(node, call))
    if not isinstance(claim, Claim):
        return replace(claim, allowance_left=allowance)
    outcome: Outcome = Unknown(Reason.CANCELLED)
    try:
        outcome = await _send(node, call, allowance, passage)
    finally:
        known = outcome if passage.sent else NotRun(Reason.CANCELLED)
        await settle_claim(known, node.ledger, claim)
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
    """Write down how a claimed call ended; an unknown outcome leaves the claim as it is."""
    abandon_claim(ledger, claim)


@settle_claim.register
async def _(outcome: Answered, ledger: Ledger, claim: Claim) -> None:
    await record_answer(ledger, claim, outcome)


@settle_claim.register
async def _(outcome: NotRun, ledger: Ledger, claim: Claim) -> None:
    await release_claim(ledger, claim)


async def _send(node: Node, call: Call, allowance: int, passage: Passage) -> Outcome:
    try:
        client = await node.target.connect(node.timer.now(), call.idempotent)
    except TargetConnectError as error:
        return NotRun(error.reason, RETRY_AFTER_S, allowance)
    if node.target.hands_context:
        return await _send_in_context(node, call, allowance, passage, client)
    return await _exchange(node, call, passage, client, NO_CONTEXT)


async def _send_in_context(
    node: Node, call: Call, allowance: int, passage: Passage, client: HttpClient
) -> Outcome:
    account = make_account(allowance, call.deadline)
    context = Context(
        call.request, call.call_class, call.caller, account, call.deadline, call.depth
    )
    key = node.contexts.open(context)
    sent_at = node.timer.now()
    try:
        outcome = await _exchange(node, call, passage, client, key)
        return replace(outcome, allowance_left=account.take_all())
    finally:
        now = node.timer.now()
        passage.own_s = now - sent_at - context.away_until(now)
        node.contexts.close(key)


async def _exchange(
    node: Node, call: Call, passage: Passage, client: HttpClient, key: ContextKey
) -> Outcome:
    time_left_s = call.deadline - node.timer.now()
    if time_left_s <= 0:
        await node.target.keep(client, node.timer.now())
        return NotRun(Reason.DEADLINE)
    passage.cancellable = call.idempotent
    passage.sent = True
    limit_s: float | None = time_left_s
    if call.claimed:
        limit_s = time_left_s + RECORD_GRACE_S
    elif call.timed:
        limit_s, passage.ends_at = None, call.deadline
    try:
        return await node.target.run(client, call, key, time_left_s, limit_s, node.timer.now)
    except TargetAnswerError as error:
        return Unknown(error.reason)
