"""Client side of publishing: sends rules to a node and settles publications of unknown outcome."""

from time import monotonic

from curio import sleep
from msgspec import Struct
from result import Err, Ok, Result

from pollenbay.adminclient import (
    AdminClient,
    AdminClientError,
    AdminConnectError,
    AdminResponseLostError,
)
from pollenbay.commands.publication import Publish
from pollenbay.commands.settlement import Settle
from pollenbay.ids import PublicationId, RuleVersion
from pollenbay.publication import PublicationOutcome, Unsettled
from pollenbay.queries.rollout import Rollout

SETTLE_POLL_PERIOD_S = 0.5
ROLLOUT_POLL_PERIOD_S = 0.5


class PublishReport(Struct, frozen=True, kw_only=True):
    """Outcome of a publication, with the state of the rollout if the client waited for it."""

    outcome: PublicationOutcome
    rollout: Rollout | None = None


async def publish_through(
    client: AdminClient, command: Publish, settle_timeout_s: float
) -> Result[PublicationOutcome, AdminClientError]:
    """Publish through a node with a command that has an id.

    If the response is lost, the outcome is settled by the id; the rules are never sent twice.

    :param settle_timeout_s: seconds after which settling is given up.
    """
    result = await client.post("/v1/publish", command, PublicationOutcome)
    if isinstance(result, Err) and not isinstance(result.err_value, AdminResponseLostError):
        return result
    if isinstance(result, Ok) and not isinstance(result.ok_value, Unsettled):
        return result
    publication = _required_id(command)
    return _or_unsettled(await settle_through(client, publication, settle_timeout_s), publication)


async def settle_through(
    client: AdminClient, publication: PublicationId, timeout_s: float
) -> Result[PublicationOutcome, AdminClientError]:
    """Poll a node until the outcome of a publication is final or the time-out expires.

    :param timeout_s: seconds after which settling is given up.
    """
    deadline = monotonic() + timeout_s
    while True:
        result = await client.post(
            "/v1/settle", Settle(publication=publication), PublicationOutcome
        )
        if isinstance(result, Ok) and not isinstance(result.ok_value, Unsettled):
            return result
        if isinstance(result, Err) and not _is_transient(result.err_value):
            return result
        if monotonic() + SETTLE_POLL_PERIOD_S > deadline:
            return _or_unsettled(result, publication)
        await sleep(SETTLE_POLL_PERIOD_S)


async def wait_until_active(
    client: AdminClient, version: RuleVersion, timeout_s: float
) -> Result[Rollout, AdminClientError]:
    """Poll the rollout of a version until all live instances have it or the time-out expires.

    :param timeout_s: maximum delay in seconds.
    """
    deadline = monotonic() + timeout_s
    while True:
        result = await client.get(f"/v1/rollout?version={version}", Rollout)
        if isinstance(result, Ok) and result.ok_value.complete:
            return result
        if monotonic() + ROLLOUT_POLL_PERIOD_S > deadline:
            return result
        await sleep(ROLLOUT_POLL_PERIOD_S)


def _required_id(command: Publish) -> PublicationId:
    assert command.publication is not None
    return command.publication


def _is_transient(error: AdminClientError) -> bool:
    return isinstance(error, AdminConnectError | AdminResponseLostError)


def _or_unsettled(
    result: Result[PublicationOutcome, AdminClientError], publication: PublicationId
) -> Result[PublicationOutcome, AdminClientError]:
    if isinstance(result, Ok):
        return result
    return Ok(Unsettled(publication=publication, message=str(result.err_value)))
