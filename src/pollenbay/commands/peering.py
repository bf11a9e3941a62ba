"""Exchanges with other nodes: one task for each peer, and the responses to requests."""

from functools import singledispatch
from logging import getLogger

from curio import sleep

from pollenbay.commands.heartbeat import (
    acknowledge_updates,
    apply_heartbeat,
    apply_peer_heartbeat,
    apply_records,
    compose_heartbeat,
    queue_bucket_differences,
    report_of,
)
from pollenbay.commands.membership import renew_lease
from pollenbay.commands.rulesync import record_version
from pollenbay.gossip import HEARTBEAT_PERIOD_S
from pollenbay.gossipmessage import (
    CompareRequest,
    CompareResponse,
    Heartbeat,
    PageRequest,
    PageResponse,
    PeerRequest,
    PeerResponse,
    RefusalReason,
    RefusedResponse,
    ReportRequest,
    ReportResponse,
    RulesRequest,
)
from pollenbay.ids import Incarnation, InstanceId
from pollenbay.membership import Membership
from pollenbay.peer import PeerError, PeerLink, make_peer_link
from pollenbay.queries.delta import make_rules_response
from pollenbay.queries.membership import (
    next_difference,
    page_after,
    records_in_bucket,
    view_digest,
)
from pollenbay.states import MemberState

LOG = getLogger("pollenbay.membership")
#: Minimum time between two heartbeats to one peer, so that bursts of updates are sent together.
HEARTBEAT_GAP_MIN_S = 0.05
#: Time for which a peer's view may differ before the two views are compared.
VIEW_DIFFERENCE_MIN_S = 1.5
COMPARISONS_PER_HEARTBEAT = 4


@singledispatch
def respond(request: PeerRequest, membership: Membership) -> PeerResponse:
    """Return the response to another node's request."""
    return RefusedResponse(RefusalReason.BAD_MESSAGE)


@respond.register
def _(request: Heartbeat, membership: Membership) -> PeerResponse:
    gossip, view = membership.gossip, membership.view
    apply_peer_heartbeat(gossip, view, request, membership.clock())
    record_version(membership, request)
    sender = request.sender
    response = compose_heartbeat(
        gossip, view, membership.rulebook, sender.instance, membership.rng, receiver_record=sender
    )
    acknowledge_updates(gossip, view, sender.instance, response)
    return response


@respond.register
def _(request: RulesRequest, membership: Membership) -> PeerResponse:
    return make_rules_response(membership.rulebook.rules, request)


@respond.register
def _(request: ReportRequest, membership: Membership) -> PeerResponse:
    return ReportResponse(report_of(membership.local_member))


@respond.register
def _(request: PageRequest, membership: Membership) -> PeerResponse:
    return PageResponse(page_after(membership.view, request.after))


@respond.register
def _(request: CompareRequest, membership: Membership) -> PeerResponse:
    bucket = next_difference(membership.view, request.summary, request.after)
    if bucket < 0:
        return CompareResponse(bucket, [])
    return CompareResponse(bucket, records_in_bucket(membership.view, bucket))


async def serve_request(membership: Membership, request: PeerRequest) -> PeerResponse:
    """Respond to a request and push the updates that it brought at once."""
    response = respond(request, membership)
    await push_urgent(membership)
    if membership.newer_rules:
        await membership.newer_rules_event.set()
    return response


async def push_urgent(membership: Membership) -> None:
    """Wake the tasks of the peers for which urgent updates are queued."""
    if not membership.gossip.has_urgent_updates:
        return
    membership.gossip.has_urgent_updates = False
    for instance, ticks in list(membership.heartbeat_timers.items()):
        if membership.gossip.pending_updates.get(instance):
            await ticks.fire()


async def run_peer(membership: Membership, instance: InstanceId, incarnation: Incarnation) -> None:
    """Exchange heartbeats with one incarnation of a peer while it is selected."""
    endpoints = membership.view.members[instance].endpoints
    link = make_peer_link(endpoints.address, endpoints.gossip_port, membership.traffic)
    ticks = membership.timer.subscribe(HEARTBEAT_PERIOD_S)
    membership.heartbeat_timers[instance] = ticks
    try:
        while is_selected_peer(membership, instance, incarnation):
            sent_at = membership.timer.now()
            await _exchange_heartbeat(membership, instance, link)
            await ticks.wait()
            await sleep(max(sent_at + HEARTBEAT_GAP_MIN_S - membership.timer.now(), 0.0))
        await _send_last_heartbeat(membership, instance, link)
    finally:
        ticks.cancel()
        link.close()


def is_selected_peer(
    membership: Membership, instance: InstanceId, incarnation: Incarnation
) -> bool:
    """Return whether an incarnation of a member is still one of the selected peers."""
    member = membership.view.members.get(instance)
    contact = membership.gossip.contacts.get(instance)
    if member is None or contact is None:
        return False
    return contact.selected and member.incarnation == incarnation


async def _exchange_heartbeat(membership: Membership, instance: InstanceId, link: PeerLink) -> None:
    gossip, view = membership.gossip, membership.view
    sent_at = membership.timer.now()
    heartbeat = compose_heartbeat(gossip, view, membership.rulebook, instance, membership.rng)
    try:
        response = await link.send_request(heartbeat)
    except PeerError:
        membership.contacted_peers.add(instance)
        return
    if not isinstance(response, Heartbeat) or response.sender.instance != instance:
        return
    acknowledge_updates(gossip, view, instance, heartbeat)
    apply_heartbeat(gossip, view, response, membership.clock())
    renew_lease(gossip, instance, sent_at)
    record_version(membership, response)
    membership.contacted_peers.add(instance)
    await push_urgent(membership)
    if membership.newer_rules:
        await membership.newer_rules_event.set()
    await _compare_if_different(membership, instance, link, response)


async def _compare_if_different(
    membership: Membership, instance: InstanceId, link: PeerLink, response: Heartbeat
) -> None:
    now = membership.timer.now()
    if response.view_digest == view_digest(membership.view) or membership.gossip.isolated:
        membership.views_differ_since.pop(instance, None)
        return
    if now - membership.views_differ_since.setdefault(instance, now) < VIEW_DIFFERENCE_MIN_S:
        return
    membership.views_differ_since[instance] = now
    await _compare_views(membership, instance, link)


async def _compare_views(membership: Membership, instance: InstanceId, link: PeerLink) -> None:
    """Compare views bucket by bucket: apply the peer's records and queue those that it lacks."""
    gossip, view = membership.gossip, membership.view
    bucket = membership.rng.randrange(len(view.summary))
    for _ in range(COMPARISONS_PER_HEARTBEAT):
        gossip.counts.comparisons += 1
        try:
            response = await link.send_request(CompareRequest(list(view.summary), bucket))
        except PeerError:
            return
        if not isinstance(response, CompareResponse) or not 0 <= response.bucket < len(
            view.summary
        ):
            return
        bucket = response.bucket
        local_records = records_in_bucket(view, bucket)
        apply_records(gossip, view, response.records, instance, membership.clock())
        queue_bucket_differences(gossip, view, response.records, local_records, instance)
    await push_urgent(membership)


async def _send_last_heartbeat(
    membership: Membership, instance: InstanceId, link: PeerLink
) -> None:
    """Notify a peer that is no longer selected, so that it does not suspect this node."""
    member = membership.view.members.get(instance)
    if member is None or member.state in (MemberState.DEAD, MemberState.SUSPECT):
        return
    heartbeat = compose_heartbeat(
        membership.gossip, membership.view, membership.rulebook, instance, membership.rng, last=True
    )
    try:
        await link.send_request(heartbeat)
    except PeerError:
        return
