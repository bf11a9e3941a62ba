"""Asking members for their own reports, when the gossip's reports are too old or too few."""

from collections.abc import Iterable

from curio import Semaphore, TaskGroup

from pollenbay.ids import InstanceId
from pollenbay.membership import Membership
from pollenbay.news import Report, ReportAnswer, ReportRequest
from pollenbay.peer import PeerError, make_peer_link
from pollenbay.states import MemberState
from pollenbay.view import Endpoints

CONCURRENT_QUESTIONS = 32


async def ask_reports(
    membership: Membership, instances: Iterable[InstanceId] | None = None
) -> dict[InstanceId, Report | None]:
    """Return the report of each member that is not dead; None of those that do not answer.

    It opens a connection to each, so it is meant for operators' questions only.

    :param instances: ask these only; None asks all.
    """
    gate = Semaphore(CONCURRENT_QUESTIONS)
    known = membership.view.members
    members = [known[each] for each in (known if instances is None else instances)]
    reports: dict[InstanceId, Report | None] = {}

    async def ask(instance: InstanceId, endpoints: Endpoints) -> None:
        async with gate:
            reports[instance] = await _ask_one(membership, endpoints)

    async with TaskGroup() as group:
        for member in members:
            if member.state is not MemberState.DEAD:
                await group.spawn(ask, member.instance, member.endpoints)
    return reports


async def _ask_one(membership: Membership, endpoints: Endpoints) -> Report | None:
    link = make_peer_link(endpoints.address, endpoints.gossip_port, membership.traffic)
    try:
        answer = await link.ask(ReportRequest())
    except PeerError:
        return None
    finally:
        link.close()
    return answer.report if isinstance(answer, ReportAnswer) else None
