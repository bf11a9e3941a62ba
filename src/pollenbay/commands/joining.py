"""Finding other nodes: first contact through the settings and the table, then through peers."""

from dataclasses import dataclass
from logging import getLogger

from curio import sleep

from pollenbay.commands.departures import mark_saved, recall
from pollenbay.commands.heartbeat import apply_heartbeat, apply_records, compose_heartbeat
from pollenbay.commands.membership import raise_incarnation
from pollenbay.commands.peering import push_urgent
from pollenbay.commands.rulesync import JITTER_FACTORS, TABLE_CHECK_INTERVAL_S, record_version
from pollenbay.departures import Departure
from pollenbay.gossipmessage import PAGE_RECORDS_MAX, Heartbeat, PageRequest, PageResponse
from pollenbay.ids import InstanceId
from pollenbay.membership import JoinProblem, Membership
from pollenbay.peer import PeerAddressError, PeerError, PeerLink, make_peer_link
from pollenbay.queries.departures import recent_departures
from pollenbay.queries.membership import record_of
from pollenbay.rendezvous import (
    NodeRow,
    StoredNode,
    announce_node,
    announce_period_s,
    backoff_limit_s,
    read_node,
    read_seeds,
    remove_abandoned,
    restoration_spread_s,
    withdraw_node,
)
from pollenbay.states import MemberState

LOG = getLogger("pollenbay.membership")
BACKOFF_MIN_S = 0.5
#: Maximum time between two attempts to reach the table for what the target waits for.
TARGET_BACKOFF_MAX_S = 2.0
#: Maximum number of seeds contacted in one attempt.
SEEDS_PER_ATTEMPT = 8
#: Number of responses after which an attempt contacts no further seeds.
SEED_RESPONSES_WANTED = 2
VIEW_PAGES_MAX = 64


@dataclass(frozen=True, slots=True)
class Seed:
    """Address of a node from which the view may be fetched."""

    address: str
    gossip_port: int


async def run_joining(membership: Membership) -> None:
    """Join, with back-off until it succeeds, and join again whenever contact is lost."""
    ticks = membership.timer.subscribe(BACKOFF_MIN_S)
    backoff_s = BACKOFF_MIN_S
    next_at = membership.timer.now()
    while True:
        if needs_join(membership) and membership.timer.now() >= next_at:
            await join(membership)
            next_at = membership.timer.now() + backoff_s * membership.rng.uniform(*JITTER_FACTORS)
            backoff_s = min(backoff_s * 2, backoff_limit_s(len(membership.view.members)))
        elif not needs_join(membership):
            backoff_s = BACKOFF_MIN_S
        await ticks.wait()


def needs_join(membership: Membership) -> bool:
    """Return whether the node has not joined, has lost contact or holds an outdated view."""
    gossip = membership.gossip
    return not membership.joined or gossip.view_outdated or gossip.isolated or not gossip.contacts


async def join(membership: Membership) -> None:
    """Fetch the view from seeds; if none responds but the table does, join as the first node."""
    rows = await _read_table_seeds(membership)
    seeds = _configured_seeds(membership)
    seeds += [Seed(row.address, row.gossip_port) for row in rows or []]
    membership.rng.shuffle(seeds)
    responses = 0
    for seed in seeds[:SEEDS_PER_ATTEMPT]:
        responses += await _ask_seed(membership, seed)
        if responses >= SEED_RESPONSES_WANTED:
            break
    if responses:
        membership.gossip.view_outdated = False
    if responses or rows is not None:
        _record_joined(membership, len(seeds), responses)
    elif not membership.joined:
        _record_problem(membership)


async def run_announcements(membership: Membership) -> None:
    """Keep this node's row in the table until it leaves, and remove abandoned rows.

    A table that came back from an older copy may have lost the row, so it is written again.
    """
    ticks = membership.timer.subscribe(TABLE_CHECK_INTERVAL_S)
    backoff_s = BACKOFF_MIN_S
    next_at = membership.timer.now()
    restorations = membership.table.counts.restorations
    while True:
        leaving = membership.local_member.state is MemberState.LEAVING
        if membership.table.counts.restorations != restorations:
            restorations = membership.table.counts.restorations
            spread_s = restoration_spread_s(len(membership.view.members))
            restored_at = membership.timer.now() + membership.rng.uniform(0.0, spread_s)
            next_at = min(next_at, restored_at)
        if membership.timer.now() >= next_at and not leaving:
            if await _announce_in_table(membership):
                backoff_s = BACKOFF_MIN_S
                wait_s = announce_period_s(len(membership.view.members))
            else:
                wait_s = backoff_s = min(backoff_s * 2, _announcement_backoff_limit_s(membership))
            next_at = membership.timer.now() + wait_s * membership.rng.uniform(*JITTER_FACTORS)
        await ticks.wait()


async def run_departures(membership: Membership) -> None:
    """Store departures of the local target in this node's row as soon as they are recorded."""
    departures = membership.departures
    while True:
        await departures.changed.wait()
        departures.changed.clear()
        if not departures.saved.is_set():
            await store_row(membership)


async def store_row(membership: Membership) -> None:
    """Write this node's row, or remove it if nobody needs it, with back-off until it succeeds."""
    backoff_s = BACKOFF_MIN_S
    while not await _write_row(membership):
        await sleep(backoff_s * membership.rng.uniform(*JITTER_FACTORS))
        backoff_s = min(backoff_s * 2, TARGET_BACKOFF_MAX_S)


def _announcement_backoff_limit_s(membership: Membership) -> float:
    if not membership.departures.recalled.is_set():
        return TARGET_BACKOFF_MAX_S
    return backoff_limit_s(len(membership.view.members))


async def _announce_in_table(membership: Membership) -> bool:
    if not await _write_row(membership):
        return False
    me, epoch_s = record_of(membership.local_member), membership.timer.epoch()
    await remove_abandoned(membership.table, me, epoch_s, len(membership.view.members))
    await _contact_unknown_node(membership)
    return True


async def _write_row(membership: Membership) -> bool:
    """Take over what an earlier process has stored in this node's row, and write it again.

    A node that is leaving removes the row, unless its next process needs the departures in it. The
    write fails if the row has changed since it was read, so that one that is performed late does
    not undo a newer one.
    """
    table, departures = membership.table, membership.departures
    result = await read_node(table, record_of(membership.local_member))
    if result.is_err():
        return False
    stored, now = result.ok_value, membership.timer.now()
    await recall(departures, _departures_of_earlier_process(membership, stored), now)
    if stored.row is not None:
        raise_incarnation(
            membership.gossip, membership.view, stored.row.incarnation, membership.clock()
        )
    revision, recent = departures.revision, recent_departures(departures, now)
    me, epoch_s = record_of(membership.local_member), membership.timer.epoch()
    if me.state is MemberState.LEAVING and not recent:
        written = await withdraw_node(table, me, stored.version)
    else:
        written = await announce_node(table, me, epoch_s, recent, stored.version)
    if written.is_err():
        return False
    await mark_saved(departures, revision)
    return True


def _departures_of_earlier_process(membership: Membership, stored: StoredNode) -> list[Departure]:
    if stored.row is None or stored.row.incarnation == membership.incarnation:
        return []
    return stored.row.departures


async def _contact_unknown_node(membership: Membership) -> None:
    """Contact one node that is in the table but not in the view, so that separate groups merge."""
    rows = await _read_table_seeds(membership)
    unknown_rows = [row for row in rows or [] if row.instance not in membership.view.members]
    if unknown_rows:
        row = membership.rng.choice(unknown_rows)
        await _ask_seed(membership, Seed(row.address, row.gossip_port))


async def _read_table_seeds(membership: Membership) -> list[NodeRow] | None:
    """Return rows of other nodes; None if the table does not respond."""
    me = record_of(membership.local_member)
    result = await read_seeds(membership.table, me)
    return result.ok_value if result.is_ok() else None


def _configured_seeds(membership: Membership) -> list[Seed]:
    pairs = (peer.rpartition(":") for peer in membership.settings.peers)
    return [Seed(address, int(port)) for address, _, port in pairs if port.isdecimal()]


async def _ask_seed(membership: Membership, seed: Seed) -> bool:
    """Introduce this node to a seed and fetch its view; return whether it responded."""
    if seed == Seed(membership.settings.address, membership.gossip_port):
        return False
    try:
        link = make_peer_link(seed.address, seed.gossip_port, membership.traffic)
    except PeerAddressError as error:
        LOG.warning("seed passed over", extra={"error": str(error)})
        return False
    try:
        return await _introduce(membership, link)
    except PeerError:
        return False
    finally:
        link.close()


async def _introduce(membership: Membership, link: PeerLink) -> bool:
    gossip, view = membership.gossip, membership.view
    heartbeat = compose_heartbeat(
        gossip, view, membership.rulebook, None, membership.rng, last=True
    )
    response = await link.send_request(heartbeat)
    if not isinstance(response, Heartbeat) or response.sender.instance == gossip.local_instance:
        return False
    apply_heartbeat(gossip, view, response, membership.clock())
    record_version(membership, response)
    await membership.newer_rules_event.set()
    await _fetch_view(membership, link, response.sender.instance)
    await push_urgent(membership)
    return True


async def _fetch_view(membership: Membership, link: PeerLink, source: InstanceId) -> None:
    after = InstanceId("")
    for _ in range(VIEW_PAGES_MAX):
        response = await link.send_request(PageRequest(after))
        if not isinstance(response, PageResponse):
            return
        apply_records(
            membership.gossip, membership.view, response.records, source, membership.clock()
        )
        if len(response.records) < PAGE_RECORDS_MAX:
            return
        after = response.records[-1].instance


def _record_joined(membership: Membership, seeds: int, responses: int) -> None:
    if not membership.joined:
        members = len(membership.view.members)
        LOG.info("joined", extra={"members": members, "seeds": seeds, "responses": responses})
    membership.join_problem = None


def _record_problem(membership: Membership) -> None:
    if membership.join_problem is not JoinProblem.TABLE_UNAVAILABLE:
        LOG.warning("not joined", extra={"reason": JoinProblem.TABLE_UNAVAILABLE.value})
    membership.join_problem = JoinProblem.TABLE_UNAVAILABLE
