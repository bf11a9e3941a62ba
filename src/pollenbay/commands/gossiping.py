"""Tasks of a node's membership, and the functions through which the rest of the node updates it."""

from collections.abc import Awaitable, Callable
from logging import getLogger

from curio import CancelledError, TaskError, TaskGroup, spawn

from pollenbay.commands.heartbeat import renew_report
from pollenbay.commands.joining import (
    run_announcements,
    run_departures,
    run_joining,
    store_row,
)
from pollenbay.commands.membership import announce_state, check_contacts, update_peers
from pollenbay.commands.peering import push_urgent, run_peer, serve_request
from pollenbay.commands.rulesync import run_polls, run_pulls
from pollenbay.gossip import CONTACT_CHECK_PERIOD_S, HEARTBEAT_PERIOD_S, STARTUP_CHECK_PERIOD_S
from pollenbay.gossipmessage import PeerRequest, PeerResponse
from pollenbay.ids import InstanceId
from pollenbay.membership import Membership
from pollenbay.states import MemberState
from pollenbay.view import TargetLoad

LOG = getLogger("pollenbay.membership")

RunRules = Callable[[Membership], Awaitable[None]]


async def run_membership(membership: Membership, run_rules: RunRules = run_polls) -> None:
    """Run until cancelled; the timer must run concurrently.

    :param run_rules: task that checks for newer rules outside the gossip.
    :raises Exception: the error of a task that failed.
    """
    try:
        async with TaskGroup(wait=any) as group:
            await group.spawn(_serve, membership)
            await group.spawn(_maintain_contacts, membership)
            await group.spawn(run_joining, membership)
            await group.spawn(run_announcements, membership)
            await group.spawn(run_departures, membership)
            await group.spawn(run_pulls, membership)
            await group.spawn(run_rules, membership)
        if group.completed is not None and group.completed.exception is not None:
            raise group.completed.exception
    finally:
        await _cancel_peer_tasks(membership)
        membership.server.close()


def announce_serving(membership: Membership) -> None:
    """Announce that this node accepts calls."""
    _announce(membership, MemberState.SERVING)


def announce_not_serving(membership: Membership) -> None:
    """Announce that the target of this node accepts no calls for now."""
    _announce(membership, MemberState.STARTING)


def announce_leaving(membership: Membership) -> None:
    """Announce that this node accepts no new calls; final for its incarnation."""
    _announce(membership, MemberState.LEAVING)


def report_load(membership: Membership, load: TargetLoad) -> None:
    """Set the load of the local target that the next heartbeats report."""
    membership.gossip.load = load


async def withdraw(membership: Membership) -> None:
    """Remove this node's row from the table after it has left, or mark it as withdrawn."""
    await store_row(membership)


def _announce(membership: Membership, state: MemberState) -> None:
    now = membership.timer.now()
    if announce_state(membership.gossip, membership.view, state, now):
        LOG.info("member state", extra={"state": state.value})


async def _serve(membership: Membership) -> None:
    async def respond(request: PeerRequest) -> PeerResponse:
        return await serve_request(membership, request)

    await membership.server.serve(respond)


async def _maintain_contacts(membership: Membership) -> None:
    """Check the contacts and keep one task for each selected peer."""
    ticks, start_ticks = (
        membership.timer.subscribe(each)
        for each in (CONTACT_CHECK_PERIOD_S, STARTUP_CHECK_PERIOD_S)
    )
    renewed_at = membership.timer.now() - HEARTBEAT_PERIOD_S
    seen_changes = -1
    while True:
        now = membership.timer.now()
        if now - renewed_at >= HEARTBEAT_PERIOD_S:
            renew_report(membership.gossip, membership.view, membership.rulebook)
            renewed_at = now
        _check_and_log(membership, now)
        if seen_changes != membership.view.total_changes:
            seen_changes = membership.view.total_changes
            update_peers(membership.gossip, membership.view, now)
        _update_readiness(membership)
        await _reconcile_peer_tasks(membership)
        await push_urgent(membership)
        if membership.ready:
            start_ticks.cancel()
        await (ticks if membership.ready else start_ticks).wait()


def _check_and_log(membership: Membership, now: float) -> None:
    gossip = membership.gossip
    isolated = gossip.isolated
    check_contacts(gossip, membership.view, now)
    if gossip.isolated != isolated:
        LOG.warning("isolation", extra={"isolated": gossip.isolated})
    if membership.join_problem is not None and any(
        each.sends_heartbeats for each in gossip.contacts.values()
    ):
        membership.join_problem = None
        LOG.info("joined by a peer", extra={"members": len(membership.view.members)})


def _update_readiness(membership: Membership) -> None:
    """Mark the node ready once the table and all peers were asked and no newer rules are pending.

    Peers must have been selected for the current view before the call.
    """
    if membership.ready or not membership.joined or not membership.rules_table_queried:
        return
    if membership.newer_rules or not membership.contacted_peers.issuperset(
        membership.gossip.selected_peers
    ):
        return
    membership.ready = True
    LOG.info("ready", extra={"rule_version": membership.rulebook.version})


async def _reconcile_peer_tasks(membership: Membership) -> None:
    for instance, task in list(membership.peer_tasks.items()):
        if task.terminated:
            await _join_peer_task(membership, instance)
    for instance in membership.gossip.selected_peers:
        if instance not in membership.peer_tasks and instance in membership.view.members:
            incarnation = membership.view.members[instance].incarnation
            task = await spawn(run_peer, membership, instance, incarnation)
            membership.peer_tasks[instance] = task


async def _join_peer_task(membership: Membership, instance: InstanceId) -> None:
    task = membership.peer_tasks.pop(instance)
    membership.heartbeat_timers.pop(instance, None)
    membership.views_differ_since.pop(instance, None)
    membership.contacted_peers.discard(instance)
    try:
        await task.join()
    except TaskError as error:
        if not isinstance(error.__cause__, CancelledError):
            LOG.error("peer task failed", extra={"peer": instance, "error": repr(error.__cause__)})


async def _cancel_peer_tasks(membership: Membership) -> None:
    for task in list(membership.peer_tasks.values()):
        await task.cancel(blocking=False)
    for instance in list(membership.peer_tasks):
        await _join_peer_task(membership, instance)
