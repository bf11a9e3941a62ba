"""Links between nodes: messages arrive whole and typed, and anything else is an error."""

from typing import Any

from curio import run, spawn
from curio.socket import socketpair
from hypothesis import given
from hypothesis import strategies as st

from pollenbay.ids import CallId
from pollenbay.link import Link, LinkBrokenError, LinkMessageError
from pollenbay.message import (
    AnswerMessage,
    AnyLinkMessage,
    NotRunMessage,
    ProgressMessage,
    UnknownMessage,
    outcome_of,
    reply_to,
)
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
from pollenbay.states import Reason

ANSWER = AnswerMessage(CallId("c1"), 200, [(b"x-marker", b"m")], b"whole answer", 2)
OUTCOMES = st.one_of(
    st.builds(Answered, st.integers(100, 599), st.just([]), st.binary(), st.integers(0, 9)),
    st.builds(NotRun, st.sampled_from(Reason), st.floats(0, 60), st.integers(0, 9)),
    st.builds(Unknown, st.sampled_from(Reason), st.integers(0, 9)),
)


async def exchange(data: bytes) -> list[AnyLinkMessage]:
    """Return the messages received from these bytes, after which the other end closes."""
    near, far = socketpair()
    sender = await spawn(_send, far, data)
    link, messages = Link(near), []
    try:
        while (message := await link.receive()) is not None:
            messages.append(message)
    finally:
        await link.close()
        await sender.cancel()
    return messages


async def _send(sock: Any, data: bytes) -> None:
    async with sock:
        try:
            await sock.sendall(data)
        except OSError:
            return


async def sent_bytes(*messages: AnyLinkMessage) -> bytes:
    """Return what a link sends for these messages."""
    near, far = socketpair()
    link = Link(near)
    for message in messages:
        await link.send(message)
    await link.close()
    async with far:
        return await far.recv(65536)


class TestMessages:
    """Sending and receiving."""

    def test_several_in_one_piece(self) -> None:
        sent = (
            ProgressMessage(CallId("c1")),
            ANSWER,
            NotRunMessage(CallId("c2"), Reason.OVERLOAD, 1.0, 0),
        )
        assert run(exchange, run(sent_bytes, *sent)) == list(sent)

    @given(OUTCOMES)
    def test_outcomes_come_back_as_they_were(self, outcome: Outcome) -> None:
        (message,) = run(exchange, run(sent_bytes, reply_to(outcome, CallId("c1"))))
        assert outcome_of(message) == outcome

    def test_kinds(self) -> None:
        assert isinstance(reply_to(Unknown(Reason.DEADLINE), CallId("c")), UnknownMessage)


class TestBroken:
    """Bytes that are not messages."""

    @given(st.binary(min_size=1, max_size=100))
    def test_any_bytes(self, data: bytes) -> None:
        try:
            messages = run(exchange, data)
        except (LinkMessageError, LinkBrokenError):
            return
        assert messages == []

    @given(st.integers(0, 40))
    def test_part_of_a_message_is_none(self, length: int) -> None:
        whole = run(sent_bytes, ANSWER)
        assert run(exchange, whole[: min(length, len(whole) - 1)]) == []
