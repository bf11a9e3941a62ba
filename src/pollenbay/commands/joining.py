"""How a node finds the others: settings and table for a first contact, then its peers."""

from dataclasses import dataclass
from logging import getLogger

from pollenbay.commands.heartbeat import absorb_heartbeat, absorb_records, compose_heartbeat
from pollenbay.commands.membership import raise_incarnation
from pollenbay.commands.peering import push_urgent
from pollenbay.commands.pulling import JITTER, TABLE_TICK_S, note_version
from pollenbay.ids import InstanceId
from pollenbay.membership import JoinProblem, Membership
from pollenbay.news import PAGE_LIMIT, Heartbeat, PageAnswer, PageRequest
from pollenbay.peer import PeerError, PeerLink, make_peer_link
from pollenbay.queries.membership import record_of
from pollenbay.rendezvous import (
    NodeRow,
    announce_node,
    announce_period_s,
    backoff_limit_s,
    read_incarnation,
    read_seeds,
    remove_abandoned,
)
from pollenbay.states import MemberState

LOG = getLogger("pollenbay.membership")
BACKOFF_MIN_S = 0.5
#: Seeds that are asked in one attempt.
SEEDS_PER_ATTEMPT = 8
#: Seeds that have to answer before the view counts as fetched.
SEEDS_WANTED = 2
PAGES_LIMIT = 64


@dataclass(frozen=True, slots=True)
class Seed:
    """Where a node may be that knows others."""

    address: str
    gossip_port: int


async def run_joining(membership: Membership) -> None:
    """Join, with back-off until it succeeds; then join again whenever contact is lost."""
    ticks = membership.timer.subscribe(BACKOFF_MIN_S)
    backoff_s = BACKOFF_MIN_S
    next_at = membership.timer.now()
    while True:
        if needs_contact(membership) and membership.timer.now() >= next_at:
            await join(membership)
            next_at = membership.timer.now() + backoff_s * membership.rng.uniform(*JITTER)
            backoff_s = min(backoff_s * 2, backoff_limit_s(len(membership.view.members)))
        elif not needs_contact(membership):
            backoff_s = BACKOFF_MIN_S
        await ticks.wait()


def needs_contact(membership: Membership) -> bool:
    """Tell whether the node knows no other node, or hears none of those it knows."""
    gossip = membership.gossip
    return not membership.joined or gossip.outdated or gossip.isolated or not gossip.contacts


async def join(membership: Membership) -> None:
    """Ask the seeds for the view; without any, be the first if the table says so."""
    rows = await _table_seeds(membership)
    seeds = _configured_seeds(membership)
    seeds += [Seed(row.address, row.gossip_port) for row in rows or []]
    membership.rng.shuffle(seeds)
    answered = 0
    for seed in seeds[:SEEDS_PER_ATTEMPT]:
        answered += await _ask_seed(membership, seed)
        if answered >= SEEDS_WANTED:
            break
    if answered:
        membership.gossip.outdated = False
    if answered or rows is not None:
        _note_joined(membership)
    elif not membership.joined:
        _note_problem(membership)


async def run_announcements(membership: Membership) -> None:
    """Keep this node's row in the table until it leaves, and clear rows that nobody renews."""
    ticks = membership.timer.subscribe(TABLE_TICK_S)
    backoff_s = BACKOFF_MIN_S
    next_at = membership.timer.now()
    while True:
        leaving = membership.me.state is MemberState.LEAVING
        if membership.timer.now() >= next_at and not leaving:
            if await _announce(membership):
                backoff_s = BACKOFF_MIN_S
                wait_s = announce_period_s(len(membership.view.members))
            else:
                wait_s = backoff_s = min(
                    backoff_s * 2, backoff_limit_s(len(membership.view.members))
                )
            next_at = membership.timer.now() + wait_s * membership.rng.uniform(*JITTER)
        await ticks.wait()


async def _announce(membership: Membership) -> bool:
    table = membership.table
    known = await read_incarnation(table, record_of(membership.me))
    if known.is_err():
        return False
    raise_incarnation(membership.gossip, membership.view, known.ok_value, membership.clock())
    me, epoch_s = record_of(membership.me), membership.timer.epoch()
    written = await announce_node(table, me, epoch_s)
    if written.is_err():
        return False
    await remove_abandoned(table, me, epoch_s, len(membership.view.members))
    await _meet_strangers(membership)
    return True


async def _meet_strangers(membership: Membership) -> None:
    """Contact one node that is in the table and not in the view, so that groups find together."""
    rows = await _table_seeds(membership)
    strangers = [row for row in rows or [] if row.instance not in membership.view.members]
    if strangers:
        row = membership.rng.choice(strangers)
        await _ask_seed(membership, Seed(row.address, row.gossip_port))


async def _table_seeds(membership: Membership) -> list[NodeRow] | None:
    """Return rows of other nodes; None if the table does not answer."""
    me = record_of(membership.me)
    result = await read_seeds(membership.table, me)
    return result.ok_value if result.is_ok() else None


def _configured_seeds(membership: Membership) -> list[Seed]:
    pairs = (peer.rpartition(":") for peer in membership.settings.peers)
    return [Seed(address, int(port)) for address, _, port in pairs if port.isdecimal()]


async def _ask_seed(membership: Membership, seed: Seed) -> bool:
    """Introduce this node to a seed and fetch its view; tell whether it answered."""
    if seed == Seed(membership.settings.address, membership.gossip_port):
        return False
    link = make_peer_link(seed.address, seed.gossip_port, membership.traffic)
    try:
        return await _introduce(membership, link)
    except PeerError:
        return False
    finally:
        link.close()


async def _introduce(membership: Membership, link: PeerLink) -> bool:
    gossip, view = membership.gossip, membership.view
    beat = compose_heartbeat(gossip, view, membership.rulebook, None, membership.rng, last=True)
    answer = await link.ask(beat)
    if not isinstance(answer, Heartbeat) or answer.sender.instance == gossip.own:
        return False
    absorb_heartbeat(gossip, view, answer, membership.clock())
    note_version(membership, answer)
    await membership.newer_event.set()
    await _fetch_view(membership, link, answer.sender.instance)
    await push_urgent(membership)
    return True


async def _fetch_view(membership: Membership, link: PeerLink, source: InstanceId) -> None:
    after = InstanceId("")
    for _ in range(PAGES_LIMIT):
        answer = await link.ask(PageRequest(after))
        if not isinstance(answer, PageAnswer):
            return
        absorb_records(
            membership.gossip, membership.view, answer.records, source, membership.clock()
        )
        if len(answer.records) < PAGE_LIMIT:
            return
        after = answer.records[-1].instance


def _note_joined(membership: Membership) -> None:
    if not membership.joined:
        LOG.info("joined", extra={"members": len(membership.view.members)})
    membership.problem = None


def _note_problem(membership: Membership) -> None:
    if membership.problem is not JoinProblem.TABLE_UNAVAILABLE:
        LOG.warning("not joined", extra={"reason": JoinProblem.TABLE_UNAVAILABLE.value})
    membership.problem = JoinProblem.TABLE_UNAVAILABLE
