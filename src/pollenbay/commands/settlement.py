"""Settling a publication: finding out what came of it, or seeing to it that nothing can."""

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
    publication_time,
)
from pollenbay.rulerow import decode_record, encode_row, publication_key
from pollenbay.table import Check, Table, Write

if TYPE_CHECKING:
    from pollenbay.node import Node

ATTEMPTS = 4
#: A publication can be settled for a day.
SETTLE_MAX_S = 86_400
CLOCK_SKEW_MAX_S = 3_600
ABSENT = RowVersion(0)


class PublicationError(Exception):
    """Root of the errors of this layer."""


class RecordUnreadableError(PublicationError):
    """The record of a publication could not be read."""


class PublicationIdError(PublicationError):
    """The id is not well formed, or its time is too far from now."""


class Settle(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Find out what came of a publication, and withdraw it if nothing has."""

    publication: PublicationId


@execute.register(Settle)
async def _execute_settle(command: Settle, node: Node) -> PublicationOutcome:
    return await settle(node.table, command.publication, time())


async def settle(table: Table, publication: PublicationId, now_epoch: float) -> PublicationOutcome:
    """Tell what came of a publication; if nothing has, see to it that nothing can.

    :param now_epoch: seconds since the epoch.
    """
    problem = id_problem(publication, now_epoch)
    if problem is not None:
        return Unsettled(publication=publication, message=str(problem))
    withdrawn = closed_record(PublicationState.WITHDRAWN, RuleVersion(0), OperatorId(""))
    return await close_publication(table, publication, withdrawn)


async def close_publication(
    table: Table, publication: PublicationId, record: PublicationRecord
) -> PublicationOutcome:
    """Record that a publication came to nothing, unless something else is recorded."""
    key = publication_key(publication)
    message = "the table does not tell what came of it"
    for _ in range(ATTEMPTS):
        found = await read_record(table, publication)
        if isinstance(found, Err):
            return Unsettled(publication=publication, message=str(found.err_value))
        if found.ok_value is not None:
            return outcome_of(publication, found.ok_value)
        result = await table.transact([Check(key, ABSENT)], [Write(key, encode_row(record))])
        if isinstance(result, Ok):
            return outcome_of(publication, record)
        message = f"{type(result.err_value).__name__}: {result.err_value}"
    return Unsettled(publication=publication, message=message)


async def read_record(
    table: Table, publication: PublicationId
) -> Result[PublicationRecord | None, RecordUnreadableError]:
    """Read what is recorded of a publication; Ok(None) if nothing is."""
    result = await table.get(publication_key(publication))
    if isinstance(result, Err):
        return Err(RecordUnreadableError(str(result.err_value)))
    row = result.ok_value
    if row is None:
        return Ok(None)
    return decode_record(row.value).map_err(lambda error: RecordUnreadableError(str(error)))


def closed_record(
    state: PublicationState, version: RuleVersion, author: OperatorId
) -> PublicationRecord:
    """Return the record of a publication that came to nothing.

    :param version: the version that was published first; 0 if that is not known.
    """
    return PublicationRecord(
        state=state, version=version, digest=Digest(""), author=author, changed=False
    )


def outcome_of(publication: PublicationId, record: PublicationRecord) -> Accepted | Refused:
    """Return what an operator is told of a record."""
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


def id_problem(publication: PublicationId, now_epoch: float) -> PublicationIdError | None:
    """Return why an id cannot be used now, or None.

    :param now_epoch: seconds since the epoch.
    """
    made_at = publication_time(publication)
    if made_at is None:
        return PublicationIdError(f"{publication!r} is not an id of a publication")
    if made_at > now_epoch + CLOCK_SKEW_MAX_S:
        return PublicationIdError("the id is from the future; check the clocks")
    if made_at < now_epoch - SETTLE_MAX_S:
        return PublicationIdError("the id is more than a day old; see the history")
    return None
