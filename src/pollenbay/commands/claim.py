"""Taking, answering and giving back the claims of calls that may run at most once.

A claim is never taken over: only its holder can tell that a call was not sent.
"""

from dataclasses import dataclass

from curio import TaskTimeout, ignore_after, timeout_after
from result import Err

from pollenbay.batch import Change, PendingWrite, WriteState
from pollenbay.claim import (
    ANSWER_LIMIT_BYTES,
    Claim,
    ClaimedRow,
    ClaimNonce,
    ClaimRequest,
    encode_row,
    make_nonce,
    row_key_of,
    size_of,
)
from pollenbay.commands.record import AnswerRecord, ReleaseRecord, keep_record
from pollenbay.ids import RowKey, RowVersion
from pollenbay.ledger import ClaimCounts, Ledger
from pollenbay.outcome import Answered, NotRun, Unknown
from pollenbay.queries.claim import (
    ABSENT,
    Free,
    Inquiry,
    Mine,
    Settled,
    Verdict,
    judge_row,
    may_try_table,
)
from pollenbay.states import Reason
from pollenbay.table import Row

CLAIM_TIMEOUT_S = 1.0
CLAIM_ATTEMPTS = 3
PROBE_PERIOD_S = 0.5
UNAVAILABLE_RETRY_AFTER_S = 1.0
#: So long a release is waited for, so that a retry at another host finds the key free.
RELEASE_WAIT_S = 0.25
#: So long a repeat of an unsettled call is told the same without another look.
BRIEF_S = 0.1


@dataclass(slots=True)
class _Attempt:
    """One request on its way to a claim.

    :param version: version of the row that its last write demanded.
    :param uncertain: whether an earlier write of it may have been applied or may still be.
    """

    request: ClaimRequest
    key: RowKey
    nonce: ClaimNonce
    version: RowVersion = ABSENT
    uncertain: bool = False
    write: PendingWrite | None = None

    @property
    def may_apply(self) -> bool:
        """Tell whether the row may name this attempt, now or later."""
        return self.uncertain or (self.write is not None and self.write.may_apply)


async def take_claim(ledger: Ledger, request: ClaimRequest) -> Claim | Answered | NotRun | Unknown:
    """Take the claim for a call, or tell what became of the first call with its key.

    `Unknown` with `Reason.DUPLICATE` says that the first is still running, with
    `Reason.DEADLINE` that its outcome will never be known, with `Reason.TOO_LARGE` that it ran
    and its answer was not stored. `NotRun` with `Reason.BAD_REQUEST` says that the key belongs
    to another request. Whoever gets a `Claim` must end it by `record_answer`, `release_claim`
    or `abandon_claim`.
    """
    key = row_key_of(request)
    left_s = request.deadline_epoch_s - ledger.clock()
    if left_s <= 0.0:
        return NotRun(Reason.DEADLINE)
    known = _recall(ledger, request, key)
    if known is not None:
        return _counted(ledger.counts, known)
    if not _admit(ledger):
        return _counted(ledger.counts, _unavailable())
    attempt = _Attempt(request, key, make_nonce())
    ledger.held[key] = request.deadline_epoch_s
    outcome: Claim | Answered | NotRun | Unknown = _unavailable()
    try:
        outcome = await timeout_after(min(left_s, CLAIM_TIMEOUT_S), _pursue, ledger, attempt)
    except TaskTimeout:
        outcome = _timed_out(ledger, left_s)
    finally:
        if not isinstance(outcome, Claim):
            await _give_up(ledger, attempt)
    _remember(ledger, request, key, outcome)
    return _counted(ledger.counts, outcome)


async def record_answer(ledger: Ledger, claim: Claim, outcome: Answered) -> None:
    """Store the answer of a call that ran; it is written after this returns."""
    if size_of(outcome) <= ANSWER_LIMIT_BYTES:
        until = ledger.clock() + ledger.retention_s
        plain = Answered(outcome.status, outcome.headers, outcome.body)
        ledger.memory.remember(claim.key, claim.fingerprint, plain, until)
    await keep_record(ledger, AnswerRecord(claim, outcome))


async def release_claim(ledger: Ledger, claim: Claim) -> None:
    """Give back a claim whose call was never sent and never will be.

    Returns when it is written or after `RELEASE_WAIT_S`; then it is written afterwards.
    """
    ledger.unsent.add(claim.nonce)
    ledger.held.pop(claim.key, None)
    before = RowVersion(claim.version - 1)
    record = ReleaseRecord(claim.key, claim.nonce, before, claim.version)
    task = await keep_record(ledger, record)
    if task is not None:
        await ignore_after(RELEASE_WAIT_S, task.wait)


def abandon_claim(ledger: Ledger, claim: Claim) -> None:
    """Leave a claim as it is, since its call was sent and its outcome is unknown."""
    ledger.held.pop(claim.key, None)


async def drain_ledger(ledger: Ledger, wait_s: float) -> int:
    """Wait for the records that are being written and return how many are left.

    :param wait_s: longest wait in seconds.
    """
    try:
        async with timeout_after(wait_s):
            while ledger.records:
                ledger.idle.clear()
                await ledger.idle.wait()
    except TaskTimeout:
        return ledger.records
    return 0


def _recall(ledger: Ledger, request: ClaimRequest, key: RowKey) -> Answered | Unknown | None:
    now = ledger.clock()
    known = ledger.memory.recall(key, request.fingerprint, now)
    if known is None and ledger.held.get(key, 0.0) >= now:
        return Unknown(Reason.DUPLICATE)
    return known


def _remember(ledger: Ledger, request: ClaimRequest, key: RowKey, outcome: object) -> None:
    now = ledger.clock()
    if isinstance(outcome, Answered):
        until = now + ledger.retention_s
        ledger.memory.remember(key, request.fingerprint, outcome, until)
    elif isinstance(outcome, Unknown):
        ledger.memory.remember(key, request.fingerprint, outcome, now + BRIEF_S)


async def _pursue(ledger: Ledger, attempt: _Attempt) -> Claim | Answered | NotRun | Unknown:
    for _ in range(CLAIM_ATTEMPTS):
        state = await _write_claim(ledger, attempt)
        if state is WriteState.APPLIED:
            return _claim_of(attempt, RowVersion(attempt.version + 1))
        if state is WriteState.REFUSED:
            return _unavailable()
        result = await ledger.table.get(attempt.key)
        if isinstance(result, Err):
            _note_failure(ledger)
            return _unavailable()
        ledger.health.failing = False
        verdict = _judge(ledger, attempt, result.unwrap())
        if isinstance(verdict, Mine):
            return _claim_of(attempt, verdict.version)
        if isinstance(verdict, Settled):
            return verdict.outcome
        _aim_at(attempt, verdict)
    return _unavailable()


async def _write_claim(ledger: Ledger, attempt: _Attempt) -> WriteState:
    request = attempt.request
    row = ClaimedRow(
        nonce=attempt.nonce,
        written_epoch_s=ledger.clock(),
        fingerprint=request.fingerprint,
        instance=ledger.instance,
        incarnation=ledger.incarnation,
        deadline_epoch_s=request.deadline_epoch_s,
    )
    submitted = await ledger.batcher.submit(Change(attempt.key, attempt.version, encode_row(row)))
    if isinstance(submitted, Err):
        return WriteState.REFUSED
    attempt.write = submitted.unwrap()
    state = await attempt.write.wait()
    if state is WriteState.UNKNOWN:
        attempt.uncertain = True
    _note_state(ledger, state)
    return state


def _judge(ledger: Ledger, attempt: _Attempt, row: Row | None) -> Verdict:
    if row is not None and row.version > attempt.version:
        attempt.uncertain = False
    inquiry = Inquiry(attempt.nonce, attempt.request.fingerprint, ledger.unsent, ledger.clock())
    return judge_row(row, inquiry)


def _aim_at(attempt: _Attempt, free: Free) -> None:
    attempt.version = RowVersion(max(attempt.version, free.version))


async def _give_up(ledger: Ledger, attempt: _Attempt) -> None:
    ledger.held.pop(attempt.key, None)
    if attempt.write is not None:
        ledger.batcher.withdraw(attempt.write)
    if attempt.may_apply:
        ledger.unsent.add(attempt.nonce)
        await keep_record(ledger, ReleaseRecord(attempt.key, attempt.nonce, attempt.version))


def _claim_of(attempt: _Attempt, version: RowVersion) -> Claim:
    return Claim(attempt.key, attempt.nonce, version, attempt.request.fingerprint)


def _timed_out(ledger: Ledger, left_s: float) -> NotRun:
    if left_s < CLAIM_TIMEOUT_S:
        return NotRun(Reason.DEADLINE)
    _note_failure(ledger)
    return _unavailable()


def _admit(ledger: Ledger) -> bool:
    now = ledger.timer.now()
    if not may_try_table(ledger, now):
        return False
    ledger.health.probe_at = now + PROBE_PERIOD_S
    return True


def _note_state(ledger: Ledger, state: WriteState) -> None:
    if state in (WriteState.REFUSED, WriteState.UNKNOWN):
        _note_failure(ledger)
        return
    ledger.health.failing = False


def _note_failure(ledger: Ledger) -> None:
    ledger.health.failing = True
    ledger.health.probe_at = ledger.timer.now() + PROBE_PERIOD_S


def _unavailable() -> NotRun:
    return NotRun(Reason.CLAIM_UNAVAILABLE, UNAVAILABLE_RETRY_AFTER_S)


def _counted(
    counts: ClaimCounts, outcome: Claim | Answered | NotRun | Unknown
) -> Claim | Answered | NotRun | Unknown:
    match outcome:
        case Claim():
            counts.granted += 1
        case Answered():
            counts.repeats += 1
        case NotRun(reason=Reason.BAD_REQUEST):
            counts.mismatches += 1
        case NotRun():
            counts.unavailable += 1
        case Unknown(reason=Reason.DUPLICATE):
            counts.duplicates += 1
        case Unknown():
            counts.unsettled += 1
    return outcome
