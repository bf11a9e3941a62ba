"""Acquiring, completing and releasing the claims of calls that may run at most once.

A claim is never taken over: only its holder can determine that a call was not sent.
"""

from dataclasses import dataclass

from curio import TaskTimeout, ignore_after, timeout_after
from result import Err

from pollenbay.batch import Change, PendingWrite, WriteState
from pollenbay.claim import (
    STORED_RESPONSE_BYTES_MAX,
    Claim,
    ClaimedRow,
    ClaimNonce,
    ClaimRequest,
    encode_row,
    make_nonce,
    response_size,
    row_key_of,
)
from pollenbay.commands.record import ReleaseRecord, ResponseRecord, start_record_write
from pollenbay.ids import RowKey, RowVersion
from pollenbay.ledger import ClaimCounts, Ledger
from pollenbay.outcome import Answered, NotRun, Unknown
from pollenbay.queries.claim import (
    ABSENT_ROW_VERSION,
    Claimable,
    ClaimContext,
    OwnClaim,
    Settled,
    Verdict,
    evaluate_row,
    may_try_table,
)
from pollenbay.states import Reason
from pollenbay.table import Row

CLAIM_TIMEOUT_S = 1.0
CLAIM_ATTEMPTS = 3
PROBE_PERIOD_S = 0.5
UNAVAILABLE_RETRY_AFTER_S = 1.0
#: Maximum wait for a release, so that a retry at another host finds the key free.
RELEASE_WAIT_S = 0.25
#: Time for which a repeat of an unsettled call gets the cached outcome without a table read.
UNSETTLED_CACHE_S = 0.1


@dataclass(slots=True)
class _Attempt:
    """One request that is acquiring a claim.

    :param expected_version: row version that its last write required.
    :param uncertain: whether an earlier write may have been applied or may still be.
    """

    request: ClaimRequest
    key: RowKey
    nonce: ClaimNonce
    expected_version: RowVersion = ABSENT_ROW_VERSION
    uncertain: bool = False
    write: PendingWrite | None = None

    @property
    def may_apply(self) -> bool:
        """Return whether the row may name this attempt, now or later."""
        return self.uncertain or (self.write is not None and self.write.may_apply)


async def acquire_claim(
    ledger: Ledger, request: ClaimRequest
) -> Claim | Answered | NotRun | Unknown:
    """Acquire the claim for a call, or return the outcome of the first call with its key.

    `Unknown` with `Reason.DUPLICATE` means that the first call is still running, with
    `Reason.DEADLINE` that its outcome will never be known, with `Reason.TOO_LARGE` that it ran
    and its response was not stored. `NotRun` with `Reason.BAD_REQUEST` means that the key belongs
    to another request. Code that receives a `Claim` must end it by `record_response`,
    `release_claim` or `abandon_claim`.
    """
    key = row_key_of(request)
    remaining_s = request.deadline_epoch_s - ledger.clock()
    if remaining_s <= 0.0:
        return NotRun(Reason.DEADLINE)
    cached = _lookup_outcome(ledger, request, key)
    if cached is not None:
        return _count_outcome(ledger.counts, cached)
    if not _admit_to_table(ledger):
        return _count_outcome(ledger.counts, _unavailable())
    attempt = _Attempt(request, key, make_nonce())
    ledger.running_claims[key] = request.deadline_epoch_s
    outcome: Claim | Answered | NotRun | Unknown = _unavailable()
    try:
        outcome = await timeout_after(
            min(remaining_s, CLAIM_TIMEOUT_S), _try_claim, ledger, attempt
        )
    except TaskTimeout:
        outcome = _timeout_outcome(ledger, remaining_s)
    finally:
        if not isinstance(outcome, Claim):
            await _abort_attempt(ledger, attempt)
    _store_outcome(ledger, request, key, outcome)
    return _count_outcome(ledger.counts, outcome)


async def record_response(ledger: Ledger, claim: Claim, outcome: Answered) -> None:
    """Store the response of a call that ran; it is written to the table after this returns."""
    if response_size(outcome) <= STORED_RESPONSE_BYTES_MAX:
        expires_at = ledger.clock() + ledger.retention_s
        stored = Answered(outcome.status, outcome.headers, outcome.body)
        ledger.outcomes.store(claim.key, claim.fingerprint, stored, expires_at)
    await start_record_write(ledger, ResponseRecord(claim, outcome))


async def release_claim(ledger: Ledger, claim: Claim) -> None:
    """Release a claim whose call was never sent and never will be.

    Returns when the release is written, or after `RELEASE_WAIT_S` while the write continues.
    """
    ledger.unsent_nonces.add(claim.nonce)
    ledger.running_claims.pop(claim.key, None)
    expected_version = RowVersion(claim.version - 1)
    record = ReleaseRecord(claim.key, claim.nonce, expected_version, claim.version)
    task = await start_record_write(ledger, record)
    if task is not None:
        await ignore_after(RELEASE_WAIT_S, task.wait)


def abandon_claim(ledger: Ledger, claim: Claim) -> None:
    """Keep a claim in the table, since its call was sent and its outcome is unknown."""
    ledger.running_claims.pop(claim.key, None)


async def drain_ledger(ledger: Ledger, wait_s: float) -> int:
    """Wait for the records that are being written and return how many remain.

    :param wait_s: maximum wait in seconds.
    """
    try:
        async with timeout_after(wait_s):
            while ledger.pending_records:
                ledger.records_written.clear()
                await ledger.records_written.wait()
    except TaskTimeout:
        return ledger.pending_records
    return 0


def _lookup_outcome(
    ledger: Ledger, request: ClaimRequest, key: RowKey
) -> Answered | Unknown | None:
    now = ledger.clock()
    cached = ledger.outcomes.lookup(key, request.fingerprint, now)
    if cached is None and ledger.running_claims.get(key, 0.0) >= now:
        return Unknown(Reason.DUPLICATE)
    return cached


def _store_outcome(ledger: Ledger, request: ClaimRequest, key: RowKey, outcome: object) -> None:
    now = ledger.clock()
    if isinstance(outcome, Answered):
        expires_at = now + ledger.retention_s
        ledger.outcomes.store(key, request.fingerprint, outcome, expires_at)
    elif isinstance(outcome, Unknown):
        ledger.outcomes.store(key, request.fingerprint, outcome, now + UNSETTLED_CACHE_S)


async def _try_claim(ledger: Ledger, attempt: _Attempt) -> Claim | Answered | NotRun | Unknown:
    for _ in range(CLAIM_ATTEMPTS):
        state = await _write_claim(ledger, attempt)
        if state is WriteState.APPLIED:
            return _claim_of(attempt, RowVersion(attempt.expected_version + 1))
        if state is WriteState.REFUSED:
            return _unavailable()
        result = await ledger.table.get(attempt.key)
        if isinstance(result, Err):
            _record_failure(ledger)
            return _unavailable()
        ledger.health.failing = False
        verdict = _evaluate_row(ledger, attempt, result.unwrap())
        if isinstance(verdict, OwnClaim):
            return _claim_of(attempt, verdict.version)
        if isinstance(verdict, Settled):
            return verdict.outcome
        _set_expected_version(attempt, verdict)
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
    submitted = await ledger.batcher.submit(
        Change(attempt.key, attempt.expected_version, encode_row(row))
    )
    if isinstance(submitted, Err):
        return WriteState.REFUSED
    attempt.write = submitted.unwrap()
    state = await attempt.write.wait()
    if state is WriteState.UNKNOWN:
        attempt.uncertain = True
    _record_write_state(ledger, state)
    return state


def _evaluate_row(ledger: Ledger, attempt: _Attempt, row: Row | None) -> Verdict:
    if row is not None and row.version > attempt.expected_version:
        attempt.uncertain = False
    context = ClaimContext(
        attempt.nonce, attempt.request.fingerprint, ledger.unsent_nonces, ledger.clock()
    )
    return evaluate_row(row, context)


def _set_expected_version(attempt: _Attempt, claimable: Claimable) -> None:
    attempt.expected_version = RowVersion(max(attempt.expected_version, claimable.version))


async def _abort_attempt(ledger: Ledger, attempt: _Attempt) -> None:
    ledger.running_claims.pop(attempt.key, None)
    if attempt.write is not None:
        ledger.batcher.withdraw(attempt.write)
    if attempt.may_apply:
        ledger.unsent_nonces.add(attempt.nonce)
        await start_record_write(
            ledger, ReleaseRecord(attempt.key, attempt.nonce, attempt.expected_version)
        )


def _claim_of(attempt: _Attempt, version: RowVersion) -> Claim:
    return Claim(attempt.key, attempt.nonce, version, attempt.request.fingerprint)


def _timeout_outcome(ledger: Ledger, remaining_s: float) -> NotRun:
    if remaining_s < CLAIM_TIMEOUT_S:
        return NotRun(Reason.DEADLINE)
    _record_failure(ledger)
    return _unavailable()


def _admit_to_table(ledger: Ledger) -> bool:
    now = ledger.timer.now()
    if not may_try_table(ledger, now):
        return False
    ledger.health.probe_at = now + PROBE_PERIOD_S
    return True


def _record_write_state(ledger: Ledger, state: WriteState) -> None:
    if state in (WriteState.REFUSED, WriteState.UNKNOWN):
        _record_failure(ledger)
        return
    ledger.health.failing = False


def _record_failure(ledger: Ledger) -> None:
    ledger.health.failing = True
    ledger.health.probe_at = ledger.timer.now() + PROBE_PERIOD_S


def _unavailable() -> NotRun:
    return NotRun(Reason.CLAIM_UNAVAILABLE, UNAVAILABLE_RETRY_AFTER_S)


def _count_outcome(
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
