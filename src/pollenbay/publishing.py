"""Publishing through a node, from outside: sends the rules and settles an answer that was lost."""

from time import monotonic

from curio import sleep
from msgspec import Struct
from result import Err, Ok, Result

from pollenbay.adminclient import AdminClient, AdminClientError, AdminConnectError, AdminLostError
from pollenbay.commands.publication import Publish
from pollenbay.commands.settlement import Settle
from pollenbay.ids import PublicationId, RuleVersion
from pollenbay.publication import PublicationOutcome, Unsettled
from pollenbay.queries.rollout import Rollout

SETTLE_PERIOD_S = 0.5
ROLLOUT_PERIOD_S = 0.5


class PublishReport(Struct, frozen=True, kw_only=True):
    """What came of publishing, and how far the version has come if that was waited for."""

    outcome: PublicationOutcome
    rollout: Rollout | None = None


async def publish_through(
    client: AdminClient, command: Publish, settle_s: float
) -> Result[PublicationOutcome, AdminClientError]:
    """Publish through a node; the command carries an id.

    A lost answer is settled by the id; the rules are never sent a second time.

    :param settle_s: seconds for which settling is tried.
    """
    sent = await client.post("/v1/publish", command, PublicationOutcome)
    if isinstance(sent, Err) and not isinstance(sent.err_value, AdminLostError):
        return sent
    if isinstance(sent, Ok) and not isinstance(sent.ok_value, Unsettled):
        return sent
    publication = _id_of(command)
    return _known(await settle_through(client, publication, settle_s), publication)


async def settle_through(
    client: AdminClient, publication: PublicationId, settle_s: float
) -> Result[PublicationOutcome, AdminClientError]:
    """Ask a node what came of a publication until it is settled or the time is over.

    :param settle_s: seconds for which settling is tried.
    """
    deadline = monotonic() + settle_s
    while True:
        result = await client.post(
            "/v1/settle", Settle(publication=publication), PublicationOutcome
        )
        if isinstance(result, Ok) and not isinstance(result.ok_value, Unsettled):
            return result
        if isinstance(result, Err) and not _is_passing(result.err_value):
            return result
        if monotonic() + SETTLE_PERIOD_S > deadline:
            return _known(result, publication)
        await sleep(SETTLE_PERIOD_S)


async def wait_in_force(
    client: AdminClient, version: RuleVersion, wait_s: float
) -> Result[Rollout, AdminClientError]:
    """Return once a version is in force on all live instances, or when the time is over.

    :param wait_s: seconds to wait at most.
    """
    deadline = monotonic() + wait_s
    while True:
        result = await client.get(f"/v1/rollout?version={version}", Rollout)
        if isinstance(result, Ok) and result.ok_value.complete:
            return result
        if monotonic() + ROLLOUT_PERIOD_S > deadline:
            return result
        await sleep(ROLLOUT_PERIOD_S)


def _id_of(command: Publish) -> PublicationId:
    assert command.publication is not None
    return command.publication


def _is_passing(error: AdminClientError) -> bool:
    return isinstance(error, AdminConnectError | AdminLostError)


def _known(
    result: Result[PublicationOutcome, AdminClientError], publication: PublicationId
) -> Result[PublicationOutcome, AdminClientError]:
    if isinstance(result, Ok):
        return result
    return Ok(Unsettled(publication=publication, message=str(result.err_value)))
