"""Evaluation of the row of a claim for a request that finds it."""

from dataclasses import dataclass
from functools import singledispatch

from result import Err

from pollenbay.claim import (
    AnsweredRow,
    AnyClaimRow,
    ClaimedRow,
    ClaimNonce,
    ReleasedRow,
    decode_row,
)
from pollenbay.ids import Digest, RowVersion
from pollenbay.ledger import Ledger
from pollenbay.outcome import Answered, NotRun, Unknown
from pollenbay.states import Reason
from pollenbay.table import Row

ABSENT_ROW_VERSION = RowVersion(0)


@dataclass(frozen=True, slots=True)
class ClaimContext:
    """The attempt for which a row is evaluated.

    :param nonce: nonce of the attempt.
    :param unsent: nonces of the same node's attempts whose calls were never sent.
    :param now_epoch_s: seconds since the epoch.
    """

    nonce: ClaimNonce
    fingerprint: Digest
    unsent: frozenset[ClaimNonce] | set[ClaimNonce]
    now_epoch_s: float


@dataclass(frozen=True, slots=True)
class Claimable:
    """The key may be claimed by replacing this version of the row."""

    version: RowVersion


@dataclass(frozen=True, slots=True)
class OwnClaim:
    """The row holds the claim of the attempt."""

    version: RowVersion


@dataclass(frozen=True, slots=True)
class Settled:
    """Another attempt has or had the claim, so the request never runs."""

    outcome: Answered | NotRun | Unknown


Verdict = Claimable | OwnClaim | Settled


def may_try_table(ledger: Ledger, now: float) -> bool:
    """Return whether a claim may use the table: it is not failing, or a probe is due.

    :param now: monotonic seconds.
    """
    return not ledger.health.failing or now >= ledger.health.probe_at


def evaluate_row(row: Row | None, context: ClaimContext) -> Verdict:
    """Return the verdict on a row, or on its absence, for an attempt."""
    if row is None:
        return Claimable(ABSENT_ROW_VERSION)
    decoded = decode_row(row.value)
    if isinstance(decoded, Err):
        return Settled(Unknown(Reason.ANSWER_BROKEN))
    return evaluate(decoded.unwrap(), context, row.version)


@singledispatch
def evaluate(row: AnyClaimRow, context: ClaimContext, version: RowVersion) -> Verdict:
    """Return the verdict on the value of a row for an attempt.

    :raises TypeError: if no handler is registered for the type of the row.
    """
    raise TypeError(f"unsupported claim row type: {type(row).__name__}")


@evaluate.register
def _(row: ReleasedRow, context: ClaimContext, version: RowVersion) -> Verdict:
    return Claimable(version)


@evaluate.register
def _(row: AnsweredRow, context: ClaimContext, version: RowVersion) -> Verdict:
    if row.fingerprint != context.fingerprint:
        return Settled(NotRun(Reason.BAD_REQUEST))
    if not row.whole:
        return Settled(Unknown(Reason.TOO_LARGE))
    return Settled(Answered(row.status, row.headers, row.body))


@evaluate.register
def _(row: ClaimedRow, context: ClaimContext, version: RowVersion) -> Verdict:
    if row.nonce == context.nonce:
        return OwnClaim(version)
    if row.nonce in context.unsent:
        return Claimable(version)
    if row.fingerprint != context.fingerprint:
        return Settled(NotRun(Reason.BAD_REQUEST))
    if context.now_epoch_s <= row.deadline_epoch_s:
        return Settled(Unknown(Reason.DUPLICATE))
    return Settled(Unknown(Reason.DEADLINE))
