"""Claim records that must eventually reach the table, each written by a task of its own."""

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch

from curio import sleep
from curio.task import Task
from result import Err

from pollenbay.batch import Change, WriteState
from pollenbay.claim import (
    AnsweredRow,
    AnyClaimRow,
    Claim,
    ClaimedRow,
    ClaimNonce,
    ReleasedRow,
    answered_row_of,
    decode_row,
    encode_row,
)
from pollenbay.ids import RowKey, RowVersion
from pollenbay.ledger import PENDING_RECORDS_MAX, Ledger
from pollenbay.outcome import Answered
from pollenbay.queries.claim import ABSENT_ROW_VERSION
from pollenbay.table import Row

RETRY_DELAY_MIN_S = 0.1
RETRY_DELAY_MAX_S = 5.0
#: Time after which the write of a record is given up and the record counts as lost.
RECORD_RETRY_MAX_S = 900.0
#: Maximum time for which a response waits for a claim to share a transaction with.
RESPONSE_DELAY_MAX_S = 0.02


class RecordState(Enum):
    """Result of one attempt to write a record."""

    WRITTEN = "written"
    PENDING = "open"
    LOST = "lost"


@dataclass(slots=True)
class ResponseRecord:
    """The response of a call that ran.

    :param version: version that the row is expected to have.
    """

    claim: Claim
    response: Answered
    version: RowVersion = field(init=False)

    def __post_init__(self) -> None:
        self.version = self.claim.version


@dataclass(slots=True)
class ReleaseRecord:
    """The release of an attempt whose call was never sent.

    :param expected_version: row version that the attempt's last write required.
    :param claimed_version: row version if the row is known to hold the claim.
    """

    key: RowKey
    nonce: ClaimNonce
    expected_version: RowVersion
    claimed_version: RowVersion | None = None


Record = ResponseRecord | ReleaseRecord


async def start_record_write(ledger: Ledger, record: Record) -> Task | None:
    """Start a task that writes a record and return it; None if too many records are pending."""
    if ledger.pending_records >= PENDING_RECORDS_MAX:
        ledger.counts.lost += 1
        clear_ledger_entry(record, ledger)
        return None
    ledger.pending_records += 1
    return await ledger.spawn(_write_until_settled, record, ledger)


@singledispatch
async def write_once(record: Record, ledger: Ledger) -> RecordState:
    """Try once to write a record.

    :raises TypeError: if no handler is registered for the type of the record.
    """
    raise TypeError(f"unsupported record type: {type(record).__name__}")


@write_once.register
async def _(record: ResponseRecord, ledger: Ledger) -> RecordState:
    claim = record.claim
    value = encode_row(answered_row_of(claim, record.response, ledger.clock()))
    change = Change(claim.key, record.version, value)
    state = await _apply(ledger, change, RESPONSE_DELAY_MAX_S)
    if state is WriteState.APPLIED:
        return RecordState.WRITTEN
    if state is WriteState.REFUSED:
        return RecordState.PENDING
    result = await ledger.table.get(claim.key)
    if isinstance(result, Err):
        return RecordState.PENDING
    return _check_stored_row(record, result.unwrap())


@write_once.register
async def _(record: ReleaseRecord, ledger: Ledger) -> RecordState:
    if record.claimed_version is not None:
        version, record.claimed_version = record.claimed_version, None
        return await _write_release(record, ledger, version)
    result = await ledger.table.get(record.key)
    if isinstance(result, Err):
        return RecordState.PENDING
    row = result.unwrap()
    if _cannot_apply(record, row):
        return RecordState.WRITTEN
    return await _write_release(record, ledger, ABSENT_ROW_VERSION if row is None else row.version)


async def _write_release(record: ReleaseRecord, ledger: Ledger, version: RowVersion) -> RecordState:
    value = encode_row(ReleasedRow(nonce=record.nonce, written_epoch_s=ledger.clock()))
    state = await _apply(ledger, Change(record.key, version, value))
    return RecordState.WRITTEN if state is WriteState.APPLIED else RecordState.PENDING


@singledispatch
def clear_ledger_entry(record: Record, ledger: Ledger) -> None:
    """Remove the ledger entry that a record kept.

    :raises TypeError: if no handler is registered for the type of the record.
    """
    raise TypeError(f"unsupported record type: {type(record).__name__}")


@clear_ledger_entry.register
def _(record: ResponseRecord, ledger: Ledger) -> None:
    ledger.running_claims.pop(record.claim.key, None)


@clear_ledger_entry.register
def _(record: ReleaseRecord, ledger: Ledger) -> None:
    ledger.unsent_nonces.discard(record.nonce)


async def _write_until_settled(record: Record, ledger: Ledger) -> None:
    delay_s = RETRY_DELAY_MIN_S
    give_up_at = ledger.timer.now() + RECORD_RETRY_MAX_S
    state = RecordState.PENDING
    try:
        while state is RecordState.PENDING and ledger.timer.now() < give_up_at:
            state = await write_once(record, ledger)
            if state is RecordState.PENDING:
                await sleep(delay_s)
                delay_s = min(delay_s * 2, RETRY_DELAY_MAX_S)
    finally:
        await _finish_record(record, ledger, state)


async def _finish_record(record: Record, ledger: Ledger, state: RecordState) -> None:
    _count_record(record, ledger, state)
    clear_ledger_entry(record, ledger)
    ledger.pending_records -= 1
    if not ledger.pending_records:
        await ledger.records_written.set()


def _count_record(record: Record, ledger: Ledger, state: RecordState) -> None:
    if state is not RecordState.WRITTEN:
        ledger.counts.lost += 1
    elif isinstance(record, ResponseRecord):
        ledger.counts.recorded += 1
    else:
        ledger.counts.released += 1


async def _apply(ledger: Ledger, change: Change, max_delay_s: float = 0.0) -> WriteState:
    submitted = await ledger.batcher.submit(change, max_delay_s)
    if isinstance(submitted, Err):
        return WriteState.REFUSED
    return await submitted.unwrap().wait()


def _check_stored_row(record: ResponseRecord, row: Row | None) -> RecordState:
    if row is None:
        return RecordState.LOST
    value = _decode_or_none(row)
    if isinstance(value, AnsweredRow) and value.nonce == record.claim.nonce:
        return RecordState.WRITTEN
    if isinstance(value, ClaimedRow) and value.nonce == record.claim.nonce:
        record.version = row.version
        return RecordState.PENDING
    return RecordState.LOST if row.version > record.version else RecordState.PENDING


def _cannot_apply(record: ReleaseRecord, row: Row | None) -> bool:
    if row is None:
        return record.expected_version != ABSENT_ROW_VERSION
    value = _decode_or_none(row)
    if isinstance(value, ClaimedRow) and value.nonce == record.nonce:
        return False
    return row.version > record.expected_version


def _decode_or_none(row: Row) -> AnyClaimRow | None:
    return decode_row(row.value).unwrap_or(None)
