"""Settling a publication: reading its outcome, or withdrawing it if it has none."""

from __future__ import annotations

from time import time
from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from pollenbay.commands.dispatch import execute
from pollenbay.ids import Digest, OperatorId, PublicationId, RowVersion, RuleVersion
from pollenbay.publication import (
    Accepted,
    PublicationOutcome,
    PublicationRecord,
    PublicationState,
    Refused,
    Unsettled,
    publication_epoch_s,
)
from pollenbay.rulerow import decode_publication_record, encode_row, publication_key
from pollenbay.table import Check, Table, Write

if TYPE_CHECKING:
    from pollenbay.node import Node

PUBLICATION_ATTEMPTS_MAX = 4
#: Age up to which a publication can be settled: one day.
SETTLE_MAX_S = 86_400
CLOCK_SKEW_MAX_S = 3_600
#: Version that a check expects of a row that does not exist.
ABSENT_ROW_VERSION = RowVersion(0)


class PublicationError(Exception):
    """Base class for errors of publications."""


class RecordUnreadableError(PublicationError):
    """The record of a publication could not be read."""


class PublicationIdError(PublicationError):
    """The id is malformed, or its time is too far from the current time."""


class Settle(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Return the outcome of a publication, and withdraw the publication if it has none."""

    publication: PublicationId


@execute.register(Settle)
async def _execute_settle(command: Settle, node: Node) -> PublicationOutcome:
    return await settle(node.table, command.publication, time())


async def settle(table: Table, publication: PublicationId, now_epoch: float) -> PublicationOutcome:
    """Return the outcome of a publication; if it has none, withdraw it permanently.

    :param now_epoch: seconds since the epoch.
    """
    problem = publication_id_error(publication, now_epoch)
    if problem is not None:
        return Unsettled(publication=publication, message=str(problem))
    withdrawn = closed_record(PublicationState.WITHDRAWN, RuleVersion(0), OperatorId(""))
    return await close_publication(table, publication, withdrawn)


async def close_publication(
    table: Table, publication: PublicationId, record: PublicationRecord
) -> PublicationOutcome:
    """Write a record that closes a publication, unless it already has one; return the outcome."""
    key = publication_key(publication)
    message = "the outcome could not be determined"
    for _ in range(PUBLICATION_ATTEMPTS_MAX):
        found = await read_record(table, publication)
        if isinstance(found, Err):
            return Unsettled(publication=publication, message=str(found.err_value))
        if found.ok_value is not None:
            return outcome_of(publication, found.ok_value)
        result = await table.transact(
            [Check(key, ABSENT_ROW_VERSION)], [Write(key, encode_row(record))]
        )
        if isinstance(result, Ok):
            return outcome_of(publication, record)
        message = f"{type(result.err_value).__name__}: {result.err_value}"
    return Unsettled(publication=publication, message=message)


async def read_record(
    table: Table, publication: PublicationId
) -> Result[PublicationRecord | None, RecordUnreadableError]:
    """Read the record of a publication; Ok(None) if there is none."""
    result = await table.get(publication_key(publication))
    if isinstance(result, Err):
        return Err(RecordUnreadableError(str(result.err_value)))
    row = result.ok_value
    if row is None:
        return Ok(None)
    return decode_publication_record(row.value).map_err(
        lambda error: RecordUnreadableError(str(error))
    )


def closed_record(
    state: PublicationState, version: RuleVersion, author: OperatorId
) -> PublicationRecord:
    """Return the record of a publication that did not take effect.

    :param version: the version that was published first; 0 if it is not known.
    """
    return PublicationRecord(
        state=state, version=version, digest=Digest(""), author=author, changed=False
    )


def outcome_of(publication: PublicationId, record: PublicationRecord) -> Accepted | Refused:
    """Return the outcome that an operator gets for a record."""
    if record.state is PublicationState.PUBLISHED:
        return Accepted(
            publication=publication,
            version=record.version,
            digest=record.digest,
            changed=record.changed,
        )
    return Refused(
        publication=publication,
        version=record.version,
        author=record.author,
        message=_refusal_message(record),
    )


def _refusal_message(record: PublicationRecord) -> str:
    if record.state is PublicationState.WITHDRAWN:
        return "it was not published and has been withdrawn"
    if record.version == 0:
        return "others published first, or the table's reads lag; it was not published"
    return f"{record.author} published version {record.version} first"


def publication_id_error(publication: PublicationId, now_epoch: float) -> PublicationIdError | None:
    """Return why an id cannot be used now, or None.

    :param now_epoch: seconds since the epoch.
    """
    made_at = publication_epoch_s(publication)
    if made_at is None:
        return PublicationIdError(f"{publication!r} is not an id of a publication")
    if made_at > now_epoch + CLOCK_SKEW_MAX_S:
        return PublicationIdError("the id is from the future; check the clocks")
    if made_at < now_epoch - SETTLE_MAX_S:
        return PublicationIdError("the id is more than a day old; see the history")
    return None
