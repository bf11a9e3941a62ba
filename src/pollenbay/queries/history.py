"""Authors and times of the published versions of the rules."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from pollenbay.ids import RuleVersion
from pollenbay.publication import HistoryEntry
from pollenbay.queries.dispatch import answer
from pollenbay.queries.rules import (
    RulesDecodeError,
    RulesError,
    RulesUnreachableError,
    read_current_row,
)
from pollenbay.rulerow import HISTORY_PREFIX, decode_history_entry, history_key
from pollenbay.table import Row, Table

if TYPE_CHECKING:
    from pollenbay.node import Node

HISTORY_DEFAULT_ENTRIES = 20
HISTORY_MAX_ENTRIES = 1000


class ShowHistory(Struct, frozen=True):
    """Query for the latest published versions. Answered by `History` or `HistoryUnknown`.

    :param limit: maximum number of versions, at most `HISTORY_MAX_ENTRIES`.
    """

    limit: int = HISTORY_DEFAULT_ENTRIES


class History(Struct, frozen=True):
    """The latest versions, newest first."""

    entries: tuple[HistoryEntry, ...]


class HistoryUnknown(Struct, frozen=True):
    """The table could not be read."""

    message: str


async def read_history(table: Table, limit: int) -> Result[History, RulesError]:
    """Read the entries of the latest versions from the table."""
    current = await read_current_row(table)
    if isinstance(current, Err):
        return current
    before_first = max(0, current.ok_value.rules.version - limit)
    after = history_key(RuleVersion(before_first))
    rows = await table.scan(HISTORY_PREFIX, after, limit)
    if isinstance(rows, Err):
        return Err(RulesUnreachableError(str(rows.err_value)))
    return _decode_entries(rows.ok_value)


def _decode_entries(rows: list[Row]) -> Result[History, RulesError]:
    entries: list[HistoryEntry] = []
    for row in reversed(rows):
        entry = decode_history_entry(row.value)
        if isinstance(entry, Err):
            return Err(RulesDecodeError(f"row {row.key}: {entry.err_value}"))
        entries.append(entry.ok_value)
    return Ok(History(tuple(entries)))


@answer.register(ShowHistory)
async def _show_history(query: ShowHistory, node: Node) -> History | HistoryUnknown:
    limit = min(max(query.limit, 1), HISTORY_MAX_ENTRIES)
    result = await read_history(node.table, limit)
    if isinstance(result, Err):
        return HistoryUnknown(str(result.err_value))
    return result.ok_value
