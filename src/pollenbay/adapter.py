"""Deployment-specific components of a node: table, target dialect and retry rates."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from pollenbay.budget import DEFAULT_RETRY_RATES, RetryRates
from pollenbay.commands.rulesync import run_polls
from pollenbay.dialect import TargetDialect
from pollenbay.membership import Membership
from pollenbay.settings import Settings, SettingsError, SettingsInvalidError, TableSettings
from pollenbay.table import Table, make_table
from pollenbay.translation import make_plain_dialect

AdaptSettings = Callable[[Settings], Result[Settings, SettingsError]]


def keep_settings(settings: Settings) -> Result[Settings, SettingsError]:
    """Return settings as they are, if they are for this project's own interfaces."""
    if settings.table is None:
        return Err(SettingsInvalidError("table: missing; another deployment needs a restart"))
    return Ok(settings)


@dataclass(frozen=True, slots=True)
class Adapter:
    """Components of a node that differ between deployments.

    :param retry_rates: rates at which retry tokens are earned.
    :param budget_by_service: whether each called service has its own retry budget.
    :param adaptive_limit: whether the concurrency limit adapts; otherwise it follows the announced
        slots.
    :param run_rule_sync: task that watches for newer rules.
    :param adapt: returns settings completed with values derived from the deployment's own, or why
        they are not valid for it.
    """

    table: Table
    dialect: TargetDialect
    retry_rates: RetryRates
    budget_by_service: bool
    adaptive_limit: bool
    run_rule_sync: Callable[[Membership], Awaitable[None]]
    adapt: AdaptSettings = keep_settings


def make_plain_adapter(settings: TableSettings) -> Adapter:
    """Return the adapter for this project's own interfaces."""
    return Adapter(
        table=make_table(settings.address, settings.port, settings.timeout_s),
        dialect=make_plain_dialect(),
        retry_rates=DEFAULT_RETRY_RATES,
        budget_by_service=False,
        adaptive_limit=True,
        run_rule_sync=run_polls,
    )
