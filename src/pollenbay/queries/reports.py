"""Requests for members' own reports, for when those from the gossip are too old or too few."""

from collections.abc import Iterable

from curio import Semaphore, TaskGroup

from pollenbay.gossipmessage import Report, ReportRequest, ReportResponse
from pollenbay.ids import InstanceId
from pollenbay.membership import Membership
from pollenbay.peer import PeerError, make_peer_link
from pollenbay.states import MemberState
from pollenbay.view import Endpoints

CONCURRENT_REQUESTS_MAX = 32


async def request_reports(
    membership: Membership, instances: Iterable[InstanceId] | None = None
) -> dict[InstanceId, Report | None]:
    """Return the report of each member that is not dead; None for those that do not respond.

    Opens a connection to each member, so it is meant for operators' queries only.

    :param instances: members to ask; None asks all.
    """
    slots = Semaphore(CONCURRENT_REQUESTS_MAX)
    all_members = membership.view.members
    members = [all_members[each] for each in (all_members if instances is None else instances)]
    reports: dict[InstanceId, Report | None] = {}

    async def ask(instance: InstanceId, endpoints: Endpoints) -> None:
        async with slots:
            reports[instance] = await _request_report(membership, endpoints)

    async with TaskGroup() as group:
        for member in members:
            if member.state is not MemberState.DEAD:
                await group.spawn(ask, member.instance, member.endpoints)
    return reports


async def _request_report(membership: Membership, endpoints: Endpoints) -> Report | None:
    link = make_peer_link(endpoints.address, endpoints.gossip_port, membership.traffic)
    try:
        response = await link.send_request(ReportRequest())
    except PeerError:
        return None
    finally:
        link.close()
    return response.report if isinstance(response, ReportResponse) else None
