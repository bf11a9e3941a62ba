"""Exchanges with other nodes: one task for each peer, and the answers to those that ask."""

from functools import singledispatch
from logging import getLogger

from curio import sleep

from pollenbay.commands.heartbeat import (
    absorb_bucket,
    absorb_heartbeat,
    absorb_question,
    absorb_records,
    acknowledge_news,
    compose_heartbeat,
    report_of,
)
from pollenbay.commands.membership import confirm
from pollenbay.commands.pulling import note_version
from pollenbay.gossip import HEARTBEAT_S
from pollenbay.ids import Incarnation, InstanceId
from pollenbay.membership import Membership
from pollenbay.news import (
    Answer,
    CompareAnswer,
    CompareRequest,
    Heartbeat,
    PageAnswer,
    PageRequest,
    Question,
    Refusal,
    RefusedAnswer,
    ReportAnswer,
    ReportRequest,
    RulesRequest,
)
from pollenbay.peer import PeerError, PeerLink, make_peer_link
from pollenbay.queries.delta import answer_rules
from pollenbay.queries.membership import (
    next_difference,
    page_after,
    records_in_bucket,
    view_digest,
)
from pollenbay.states import MemberState

LOG = getLogger("pollenbay.membership")
#: Least time between two heartbeats to one peer, so that bursts of news travel together.
PUSH_GAP_S = 0.05
#: How long a peer's view may differ before the two are compared.
DIFFERENCE_S = 1.5
COMPARISONS_PER_HEARTBEAT = 4


@singledispatch
def respond(question: Question, membership: Membership) -> Answer:
    """Return the answer to another node's question."""
    return RefusedAnswer(Refusal.BAD_MESSAGE)


@respond.register
def _(question: Heartbeat, membership: Membership) -> Answer:
    gossip, view = membership.gossip, membership.view
    absorb_question(gossip, view, question, membership.clock())
    note_version(membership, question)
    sender = question.sender
    answer = compose_heartbeat(
        gossip, view, membership.rulebook, sender.instance, membership.rng, said=sender
    )
    acknowledge_news(gossip, view, sender.instance, answer)
    return answer


@respond.register
def _(question: RulesRequest, membership: Membership) -> Answer:
    return answer_rules(membership.rulebook.rules, question)


@respond.register
def _(question: ReportRequest, membership: Membership) -> Answer:
    return ReportAnswer(report_of(membership.me))


@respond.register
def _(question: PageRequest, membership: Membership) -> Answer:
    return PageAnswer(page_after(membership.view, question.after))


@respond.register
def _(question: CompareRequest, membership: Membership) -> Answer:
    bucket = next_difference(membership.view, question.summary, question.after)
    if bucket < 0:
        return CompareAnswer(bucket, [])
    return CompareAnswer(bucket, records_in_bucket(membership.view, bucket))


async def serve_question(membership: Membership, question: Question) -> Answer:
    """Answer a question and pass on at once what it brought."""
    answer = respond(question, membership)
    await push_urgent(membership)
    if membership.newer:
        await membership.newer_event.set()
    return answer


async def push_urgent(membership: Membership) -> None:
    """Wake the tasks of the peers that have urgent news to be told."""
    if not membership.gossip.urgent:
        return
    membership.gossip.urgent = False
    for instance, ticks in list(membership.ticks.items()):
        if membership.gossip.outbox.get(instance):
            await ticks.fire()


async def run_peer(membership: Membership, instance: InstanceId, incarnation: Incarnation) -> None:
    """Exchange heartbeats with one run of a peer for as long as it is chosen."""
    endpoints = membership.view.members[instance].endpoints
    link = make_peer_link(endpoints.address, endpoints.gossip_port, membership.traffic)
    ticks = membership.timer.subscribe(HEARTBEAT_S)
    membership.ticks[instance] = ticks
    try:
        while is_wanted(membership, instance, incarnation):
            sent_at = membership.timer.now()
            await _beat(membership, instance, link)
            await ticks.wait()
            await sleep(max(sent_at + PUSH_GAP_S - membership.timer.now(), 0.0))
        await _take_leave(membership, instance, link)
    finally:
        ticks.cancel()
        link.close()


def is_wanted(membership: Membership, instance: InstanceId, incarnation: Incarnation) -> bool:
    """Tell whether a run of a member is still one of the chosen peers."""
    member = membership.view.members.get(instance)
    contact = membership.gossip.contacts.get(instance)
    if member is None or contact is None:
        return False
    return contact.chosen and member.incarnation == incarnation


async def _beat(membership: Membership, instance: InstanceId, link: PeerLink) -> None:
    gossip, view = membership.gossip, membership.view
    sent_at = membership.timer.now()
    beat = compose_heartbeat(gossip, view, membership.rulebook, instance, membership.rng)
    try:
        answer = await link.ask(beat)
    except PeerError:
        membership.asked.add(instance)
        return
    if not isinstance(answer, Heartbeat) or answer.sender.instance != instance:
        return
    acknowledge_news(gossip, view, instance, beat)
    absorb_heartbeat(gossip, view, answer, membership.clock())
    confirm(gossip, instance, sent_at)
    note_version(membership, answer)
    membership.asked.add(instance)
    await push_urgent(membership)
    if membership.newer:
        await membership.newer_event.set()
    await _settle_difference(membership, instance, link, answer)


async def _settle_difference(
    membership: Membership, instance: InstanceId, link: PeerLink, answer: Heartbeat
) -> None:
    now = membership.timer.now()
    if answer.view_digest == view_digest(membership.view) or membership.gossip.isolated:
        membership.differs_since.pop(instance, None)
        return
    if now - membership.differs_since.setdefault(instance, now) < DIFFERENCE_S:
        return
    membership.differs_since[instance] = now
    await _compare(membership, instance, link)


async def _compare(membership: Membership, instance: InstanceId, link: PeerLink) -> None:
    """Compare views bucket by bucket: take in what is new and queue what the peer lacks."""
    gossip, view = membership.gossip, membership.view
    bucket = membership.rng.randrange(len(view.summary))
    for _ in range(COMPARISONS_PER_HEARTBEAT):
        gossip.counts.comparisons += 1
        try:
            answer = await link.ask(CompareRequest(list(view.summary), bucket))
        except PeerError:
            return
        if not isinstance(answer, CompareAnswer) or not 0 <= answer.bucket < len(view.summary):
            return
        bucket = answer.bucket
        own = records_in_bucket(view, bucket)
        absorb_records(gossip, view, answer.records, instance, membership.clock())
        absorb_bucket(gossip, view, answer.records, own, instance)
    await push_urgent(membership)


async def _take_leave(membership: Membership, instance: InstanceId, link: PeerLink) -> None:
    """Tell a peer that is not chosen any more, so that it does not take silence for death."""
    member = membership.view.members.get(instance)
    if member is None or member.state in (MemberState.DEAD, MemberState.SUSPECT):
        return
    last = compose_heartbeat(
        membership.gossip, membership.view, membership.rulebook, instance, membership.rng, last=True
    )
    try:
        await link.ask(last)
    except PeerError:
        return
