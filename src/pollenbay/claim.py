"""Claims: table rows that let a call with an idempotency key run at most once."""

from dataclasses import dataclass
from hashlib import sha256
from secrets import token_hex
from typing import NewType

from msgspec import Struct
from msgspec.msgpack import encode
from result import Err, Ok, Result

from pollenbay.codec import CodecError, make_message_decoder
from pollenbay.ids import (
    CallerId,
    CallName,
    Digest,
    IdempotencyKey,
    InstanceId,
    RowKey,
    RowVersion,
    ServiceName,
)
from pollenbay.outcome import Answered, Headers
from pollenbay.ranges import EpochSeconds, HttpStatus, KnownIncarnation
from pollenbay.states import ClaimState

CLAIM_PREFIX = "claim/"
NONCE_BYTES = 16
STORED_RESPONSE_BYTES_MAX = 32 * 1024
#: Maximum size of a claim row; its headers are not bounded by `STORED_RESPONSE_BYTES_MAX` alone.
CLAIM_ROW_BYTES_MAX = 1024 * 1024
LENGTH_BYTES = 8

#: One attempt to claim a key, by which the holder recognises its own write.
ClaimNonce = NewType("ClaimNonce", str)


class ClaimError(Exception):
    """Base class of the errors of this layer."""


class ClaimRowError(ClaimError):
    """A claim row cannot be decoded."""


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A call that requests a claim.

    :param caller: owner of the key; equal keys of two callers are two claims.
    :param fingerprint: see `fingerprint_of`.
    :param deadline_epoch_s: seconds since the epoch by which its outcome is due.
    """

    service: ServiceName
    call: CallName
    caller: CallerId
    key: IdempotencyKey
    fingerprint: Digest
    deadline_epoch_s: float


@dataclass(frozen=True, slots=True)
class Claim:
    """Permission to send one call once; unless released, no other request gets it for the same key.

    :param version: version of the row after it was claimed.
    """

    key: RowKey
    nonce: ClaimNonce
    version: RowVersion
    fingerprint: Digest


class ClaimRow(Struct, tag_field="state", kw_only=True, frozen=True):
    """Base class of the values of a claim row.

    :param nonce: claim attempt that the row belongs to.
    :param written_epoch_s: seconds since the epoch at which it was written.
    """

    nonce: ClaimNonce
    written_epoch_s: EpochSeconds


class ClaimedRow(ClaimRow, tag=ClaimState.CLAIMED.value):
    """The call may have been sent, or may be sent at any time."""

    fingerprint: Digest
    instance: InstanceId
    incarnation: KnownIncarnation
    deadline_epoch_s: EpochSeconds


class AnsweredRow(ClaimRow, tag=ClaimState.ANSWERED.value):
    """The call ran, and this was its response.

    :param whole: False if the response was too large to be stored; then there is no body.
    """

    fingerprint: Digest
    status: HttpStatus
    headers: Headers
    body: bytes
    whole: bool = True


class ReleasedRow(ClaimRow, tag=ClaimState.RELEASED.value):
    """The holder never sent the call and never will."""


AnyClaimRow = ClaimedRow | AnsweredRow | ReleasedRow

_decoder = make_message_decoder(AnyClaimRow, CLAIM_ROW_BYTES_MAX)


def make_nonce() -> ClaimNonce:
    """Return a new random nonce."""
    return ClaimNonce(token_hex(NONCE_BYTES))


def row_key_of(request: ClaimRequest) -> RowKey:
    """Return the key of the row that guards a request."""
    digest = _digest_of(request.service.encode(), request.caller.encode(), request.key.encode())
    return RowKey(f"{CLAIM_PREFIX}{digest}")


def fingerprint_of(
    service: ServiceName, call: CallName, method: str, path: str, body: bytes
) -> Digest:
    """Return the digest that distinguishes different requests under one key.

    :param path: path and query as sent to the target.
    """
    return _digest_of(service.encode(), call.encode(), method.encode(), path.encode(), body)


def encode_row(row: AnyClaimRow) -> bytes:
    """Return the encoded value of a row."""
    return encode(row)


def decode_row(value: bytes) -> Result[AnyClaimRow, ClaimRowError]:
    """Return the row decoded from a stored value."""
    try:
        return Ok(_decoder.decode(value))
    except CodecError as error:
        return Err(ClaimRowError(str(error)))


def answered_row_of(claim: Claim, answer: Answered, now_epoch_s: float) -> AnsweredRow:
    """Return the row that stores a response, or that marks it as too large to be stored."""
    complete = response_size(answer) <= STORED_RESPONSE_BYTES_MAX
    return AnsweredRow(
        nonce=claim.nonce,
        written_epoch_s=now_epoch_s,
        fingerprint=claim.fingerprint,
        status=answer.status,
        headers=answer.headers if complete else [],
        body=answer.body if complete else b"",
        whole=complete,
    )


def response_size(answer: Answered) -> int:
    """Return the size of a response's headers and body in bytes."""
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)


def _digest_of(*parts: bytes) -> Digest:
    digest = sha256()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return Digest(digest.hexdigest())
