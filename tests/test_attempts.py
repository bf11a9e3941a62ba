"""Progress of a call from one attempt to the next."""

from collections.abc import Iterator
from dataclasses import replace
from math import inf

from admin_node import make_admin_node, make_member
from curio import run, sleep, spawn
from curio.io import Socket
from pytest import fixture, mark

from pollenbay.account import make_retry_account
from pollenbay.bodymemory import make_holding
from pollenbay.call import Call, CallProgress
from pollenbay.commands import calling
from pollenbay.commands.bodymemory import hold_received, release
from pollenbay.ids import CallerId, CallName, RequestId, ServiceName
from pollenbay.link import ENCODER, LENGTH_PREFIX, Link
from pollenbay.linkmessage import ResponseMessage
from pollenbay.node import Node
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
from pollenbay.states import BodyHolder, CallClass, MemberState, Reason
from pollenbay.stream import listen, port_of

#: Time-out of links in these tests, and the time that a long reply takes.
LINK_TIMEOUT_S = 0.5
REPLY_S = 1.5
PIECES = 30
LONG_BODY = b"x" * 1_000_000


@fixture
def node() -> Iterator[Node]:
    """Return a node that is the only instance of its service."""
    node = make_admin_node()
    yield node
    node.membership.server.close()


def make_call(idempotent: bool) -> Call:
    """Return a call without a key."""
    return Call(
        request=RequestId("request"),
        service=ServiceName("docs"),
        name=CallName("book"),
        call_class=CallClass.CRITICAL,
        caller=CallerId(""),
        method="POST",
        path="/book",
        headers=[],
        body=b"",
        deadline=inf,
        idempotent=idempotent,
    )


# A refused call stayed marked as sent and as one that must not be cancelled.
@mark.parametrize(
    "first, idempotent, sent",
    [
        (NotRun(Reason.TARGET_REFUSED), False, False),
        (NotRun(Reason.TARGET_REFUSED), True, False),
        (Unknown(Reason.CONNECTION_LOST), True, True),
    ],
)
def test_next_attempt_starts_without_what_a_refused_one_noted(
    monkeypatch, node: Node, first: Outcome, idempotent: bool, sent: bool
) -> None:
    before_attempts: list[tuple[bool, bool]] = []

    async def attempt(node, call, allowance, progress, member) -> Outcome:
        before_attempts.append((progress.cancellable, progress.sent))
        progress.cancellable, progress.sent = idempotent, True
        return first if len(before_attempts) == 1 else Answered(200, [], b"")

    monkeypatch.setattr(calling, "_dispatch", attempt)
    account = make_retry_account(1, inf)
    run(calling.place_at_service, node, make_call(idempotent), account, CallProgress())
    assert before_attempts == [(True, False), (True, sent)]


async def call_other_node(node: Node, sent_pieces: int, pause_s: float) -> Outcome:
    """Return the outcome of a call whose reply arrives in pieces, of which some are sent.

    :param pause_s: time between two pieces in seconds.
    """

    async def reply(sock: Socket) -> None:
        message = await Link(sock).receive()
        data = ENCODER.encode(ResponseMessage(message.call_id, 200, [], LONG_BODY, 0))
        data = LENGTH_PREFIX.pack(len(data)) + data
        piece_bytes = len(data) // PIECES + 1
        for start in range(0, sent_pieces * piece_bytes, piece_bytes):
            await sock.sendall(data[start : start + piece_bytes])
            await sleep(pause_s)
        await sleep(inf)

    async def serve_one() -> None:
        stream, _ = await listener.accept()
        async with stream:
            await reply(stream)

    listener = listen("127.0.0.1", 0)
    member = make_member("docs-2", 1, MemberState.SERVING, node.timer.now())
    member.endpoints = replace(member.endpoints, link_port=port_of(listener))
    async with listener:
        serving = await spawn(serve_one, daemon=True)
        call = make_call(True)
        call.deadline = node.timer.now() + 20.0
        try:
            return await calling._forward(node, call, 0, CallProgress(), member)
        finally:
            await serving.cancel()
            await node.links.close_all_idle()


# A download that took longer than the time-out of links was answered 502.
def test_long_reply_that_keeps_arriving_is_not_silence(monkeypatch, node: Node) -> None:
    monkeypatch.setattr(calling, "LINK_TIMEOUT_S", LINK_TIMEOUT_S)
    outcome = run(call_other_node, node, PIECES, REPLY_S / PIECES)
    assert isinstance(outcome, Answered) and outcome.body == LONG_BODY


def test_link_that_falls_silent_within_a_reply_is_noticed_in_time(monkeypatch, node: Node) -> None:
    monkeypatch.setattr(calling, "LINK_TIMEOUT_S", LINK_TIMEOUT_S)
    started_at = node.timer.now()
    outcome = run(call_other_node, node, PIECES // 2, 0.0)
    assert outcome == Unknown(Reason.CONNECTION_SILENT)
    assert node.timer.now() - started_at < 2 * LINK_TIMEOUT_S


# A reply that waited for memory of this node counted as silence of the other one.
def test_wait_for_memory_is_not_silence(monkeypatch, node: Node) -> None:
    monkeypatch.setattr(calling, "LINK_TIMEOUT_S", LINK_TIMEOUT_S)
    held = make_holding(node.body_memory, BodyHolder.PEER)
    hold_received(held, node.body_memory.limit_bytes)

    async def main() -> Outcome:
        async def give_back() -> None:
            await sleep(REPLY_S)
            release(held)

        await spawn(give_back, daemon=True)
        return await call_other_node(node, PIECES, 0.0)

    outcome = run(main)
    assert isinstance(outcome, Answered) and outcome.body == LONG_BODY
