"""The active rules of a node, and the rules that the platform's table holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from pollenbay.ids import CallName, Digest, RowVersion, ServiceName
from pollenbay.queries.dispatch import answer
from pollenbay.rule import EMPTY_RULES, CallRule, RuleSet, ServiceRule
from pollenbay.rulebook import Rulebook
from pollenbay.rulerow import CURRENT_RULES_KEY, decode_rules, services_digest
from pollenbay.table import Table

if TYPE_CHECKING:
    from pollenbay.node import Node


class RulesError(Exception):
    """Base class for errors of reading rules."""


class RulesUnreachableError(RulesError):
    """The table did not respond."""


class RulesDecodeError(RulesError):
    """The row in the table cannot be decoded."""


class ShowRules(Struct, frozen=True):
    """Query for the active rules of this node. Answered by `ShownRules`."""


class ShownRules(Struct, frozen=True):
    """The active rules of a node.

    :param adopted_at: seconds since the epoch; 0 before the first adoption.
    """

    rules: RuleSet
    adopted_at: float


class CurrentRules(Struct, frozen=True):
    """The rules that the table holds as current.

    :param row_version: version of the row, which a publication checks.
    """

    row_version: RowVersion
    rules: RuleSet


def find_call(rulebook: Rulebook, service: ServiceName, call: CallName) -> CallRule | None:
    """Return the active rule for a call, or None if no rule names it."""
    return rulebook.calls.get((service, call))


def digest(services: tuple[ServiceRule, ...]) -> Digest:
    """Return the digest of rules, independent of the order of the services."""
    return services_digest(services)


async def read_current(table: Table) -> Result[RuleSet | None, RulesError]:
    """Read the rules that the table holds; Ok(None) before the first publication."""
    result = await read_current_row(table)
    return result.map(lambda current: current.rules if current.rules.version else None)


async def read_current_row(table: Table) -> Result[CurrentRules, RulesError]:
    """Read the row of the current rules; an absent row counts as no rules at row version 0."""
    result = await table.get(CURRENT_RULES_KEY)
    if isinstance(result, Err):
        return Err(RulesUnreachableError(str(result.err_value)))
    row = result.ok_value
    if row is None:
        return Ok(CurrentRules(RowVersion(0), EMPTY_RULES))
    decoded = decode_rules(row.value)
    if isinstance(decoded, Err):
        return Err(RulesDecodeError(f"row {CURRENT_RULES_KEY}: {decoded.err_value}"))
    return Ok(CurrentRules(row.version, decoded.ok_value))


@answer.register(ShowRules)
async def _show_rules(query: ShowRules, node: Node) -> ShownRules:
    return ShownRules(node.rulebook.rules, node.rulebook.adopted_at)
