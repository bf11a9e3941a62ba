"""Publishing rules in one transaction on the platform's table; settled if the response is lost.

Each publication has an id and a row of its own, which is written once: by the transaction that
publishes, or by one that refuses or withdraws it. A transaction whose response was lost can
therefore be sent again, a late one cannot take effect after a refusal, and any node can settle
the publication by its id.
"""

from __future__ import annotations

from functools import singledispatch
from time import time
from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct
from result import Err, Ok

from pollenbay.commands.dispatch import execute
from pollenbay.commands.rulesync import adopt_rules
from pollenbay.commands.settlement import (
    ABSENT_ROW_VERSION,
    PUBLICATION_ATTEMPTS_MAX,
    close_publication,
    closed_record,
    outcome_of,
    publication_id_error,
    read_record,
)
from pollenbay.ids import OperatorId, PublicationId, RuleVersion
from pollenbay.publication import (
    Accepted,
    HistoryEntry,
    Invalid,
    NotWritten,
    PublicationOutcome,
    PublicationRecord,
    PublicationState,
    Unsettled,
    make_publication_id,
)
from pollenbay.queries.check import check_services, errors_of
from pollenbay.queries.rules import CurrentRules, read_current, read_current_row
from pollenbay.rule import RuleSet, ServiceRule
from pollenbay.rulerow import (
    CURRENT_RULES_KEY,
    PUBLICATION_PREFIX,
    encode_row,
    history_key,
    make_rule_set,
    publication_key,
    services_digest,
)
from pollenbay.table import (
    Check,
    Table,
    TableConflictError,
    TableError,
    TableUnknownError,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    from pollenbay.node import Node

__all__ = ["Publish", "publish", "read_current"]

AUTHOR_LENGTH_MAX = 100
HISTORY_KEPT_VERSIONS = 100_000
#: Retention of publication records, well above the time for which a publication can be settled.
RECORD_KEPT_S = 3 * 86_400
EXPIRED_PER_PUBLICATION = 4


class Publish(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Publish these rules as the next version.

    :param publication: id from `make_publication_id`; the same id publishes at most once. None
        lets the node create one.
    :param expected_version: refuse unless this version is current; None accepts any.
    """

    services: tuple[ServiceRule, ...]
    author: Annotated[OperatorId, Meta(min_length=1, max_length=AUTHOR_LENGTH_MAX)]
    publication: PublicationId | None = None
    expected_version: RuleVersion | None = None


@execute.register(Publish)
async def _execute_publish(command: Publish, node: Node) -> PublicationOutcome:
    errors = errors_of(check_services(command.services))
    if errors:
        return Invalid(findings=errors)
    outcome = await publish(node.table, command, time())
    if isinstance(outcome, Accepted):
        await _adopt_current(node)
    return outcome


async def _adopt_current(node: Node) -> None:
    result = await read_current(node.table)
    if isinstance(result, Ok) and result.ok_value is not None:
        await adopt_rules(node.membership, result.ok_value)


async def publish(table: Table, command: Publish, now_epoch: float) -> PublicationOutcome:
    """Publish rules that have been checked.

    :param now_epoch: seconds since the epoch.
    """
    publication = command.publication or make_publication_id(now_epoch)
    problem = publication_id_error(publication, now_epoch)
    if problem is not None:
        return NotWritten(publication=publication, message=str(problem))
    return await _Publisher(table, command, publication, now_epoch).run()


class _Publisher:
    """One publication: writes it, and reads its record back until the outcome is known."""

    def __init__(
        self, table: Table, command: Publish, publication: PublicationId, now_epoch: float
    ) -> None:
        self._table = table
        self._command = command
        self._publication = publication
        self._now_epoch = now_epoch
        self._digest = services_digest(command.services)
        self._expected = command.expected_version
        self._may_be_written = False

    async def run(self) -> PublicationOutcome:
        for _ in range(PUBLICATION_ATTEMPTS_MAX):
            outcome = await self._attempt()
            if outcome is not None:
                return outcome
        return await self._refuse(RuleVersion(0), OperatorId(""))

    async def _attempt(self) -> PublicationOutcome | None:
        """Return the outcome, or None if another attempt may determine it."""
        read = await read_current_row(self._table)
        if isinstance(read, Err):
            return self._failure_outcome(str(read.err_value))
        current = read.ok_value
        if self._expected is None:
            self._expected = current.rules.version
        unchanged = current.rules.version > 0 and current.rules.digest == self._digest
        if not unchanged and current.rules.version != self._expected:
            return await self._refuse(current.rules.version, current.rules.author)
        expired = await _find_expired(self._table, self._now_epoch)
        transaction = (
            self._confirm_transaction(current) if unchanged else self._publish_transaction(current)
        )
        transaction.writes.extend(expired)
        result = await self._table.transact(transaction.checks, transaction.writes)
        if isinstance(result, Ok):
            return self._accepted(current, unchanged)
        return await self._resolve_failure(result.err_value)

    def _accepted(self, current: CurrentRules, unchanged: bool) -> Accepted:
        version = current.rules.version if unchanged else RuleVersion(current.rules.version + 1)
        return Accepted(
            publication=self._publication,
            version=version,
            digest=self._digest,
            changed=not unchanged,
        )

    async def _resolve_failure(self, error: TableError) -> PublicationOutcome | None:
        if not isinstance(error, TableUnknownError | TableConflictError):
            return self._failure_outcome(str(error))
        self._may_be_written = self._may_be_written or may_have_written(error)
        record = await read_record(self._table, self._publication)
        if isinstance(record, Err):
            return self._failure_outcome(str(record.err_value))
        if record.ok_value is None:
            return None
        return outcome_of(self._publication, record.ok_value)

    async def _refuse(self, version: RuleVersion, author: OperatorId) -> PublicationOutcome:
        refused = closed_record(PublicationState.REFUSED, version, author)
        return await close_publication(self._table, self._publication, refused)

    def _failure_outcome(self, message: str) -> PublicationOutcome:
        if self._may_be_written:
            return Unsettled(publication=self._publication, message=message)
        return NotWritten(publication=self._publication, message=message)

    def _publish_transaction(self, current: CurrentRules) -> Transaction:
        version = RuleVersion(current.rules.version + 1)
        command = self._command
        rules = make_rule_set(version, command.services, command.author, self._now_epoch)
        writes = [
            Write(CURRENT_RULES_KEY, encode_row(rules)),
            Write(history_key(version), encode_row(self._history_entry(rules))),
            self._record_write(rules, changed=True),
        ]
        dropped = version - HISTORY_KEPT_VERSIONS
        if dropped > 0:
            writes.append(Write(history_key(RuleVersion(dropped)), None))
        return Transaction(self._checks(current), writes)

    def _confirm_transaction(self, current: CurrentRules) -> Transaction:
        return Transaction(
            self._checks(current), [self._record_write(current.rules, changed=False)]
        )

    def _checks(self, current: CurrentRules) -> list[Check]:
        return [
            Check(CURRENT_RULES_KEY, current.row_version),
            Check(publication_key(self._publication), ABSENT_ROW_VERSION),
        ]

    def _history_entry(self, rules: RuleSet) -> HistoryEntry:
        return HistoryEntry(
            version=rules.version,
            digest=rules.digest,
            author=rules.author,
            published_at=rules.published_at,
            publication=self._publication,
        )

    def _record_write(self, rules: RuleSet, changed: bool) -> Write:
        record = PublicationRecord(
            state=PublicationState.PUBLISHED,
            version=rules.version,
            digest=rules.digest,
            author=rules.author,
            changed=changed,
        )
        return Write(publication_key(self._publication), encode_row(record))


@singledispatch
def may_have_written(error: TableError) -> bool:
    """Return whether a transaction that failed with this error may have taken effect."""
    return False


@may_have_written.register(TableUnknownError)
def _(error: TableUnknownError) -> bool:
    return True


async def _find_expired(table: Table, now_epoch: float) -> list[Write]:
    """Return writes that remove a few of the oldest records, too old to be settled."""
    result = await table.scan(PUBLICATION_PREFIX, "", EXPIRED_PER_PUBLICATION)
    if isinstance(result, Err):
        return []
    oldest_kept = publication_key(PublicationId(f"{int(now_epoch - RECORD_KEPT_S):010d}"))
    return [Write(row.key, None) for row in result.ok_value if row.key < oldest_kept]
