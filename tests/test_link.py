"""Tests of links between nodes: messages arrive complete and typed; other input raises an error."""

from typing import Any

from curio import run, spawn
from curio.socket import socketpair
from hypothesis import given
from hypothesis import strategies as st

from pollenbay.bodymemory import COPIES, MEMORY_MB, make_body_memory
from pollenbay.ids import CallId
from pollenbay.link import (
    IDLE_LIMIT_S,
    Link,
    LinkBrokenError,
    LinkMessageError,
    make_link_pool,
)
from pollenbay.linkmessage import (
    AnyLinkMessage,
    NotRunMessage,
    ProgressMessage,
    ResponseMessage,
    UnknownMessage,
    outcome_of,
    reply_to,
)
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
from pollenbay.settings import BODY_LIMIT_BYTES
from pollenbay.states import Reason

ANSWER_MESSAGE = ResponseMessage(CallId("c1"), 200, [(b"x-marker", b"m")], b"whole answer", 2)
OUTCOMES = st.one_of(
    st.builds(Answered, st.integers(100, 599), st.just([]), st.binary(), st.integers(0, 9)),
    st.builds(NotRun, st.sampled_from(Reason), st.floats(0, 60), st.integers(0, 9)),
    st.builds(Unknown, st.sampled_from(Reason), st.integers(0, 9)),
)


async def receive_all(data: bytes) -> list[AnyLinkMessage]:
    """Return the messages received from these bytes, after which the peer closes the connection."""
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


async def encode_all(*messages: AnyLinkMessage) -> bytes:
    """Return the encoding of these messages on a link."""
    near, far = socketpair()
    link = Link(near)
    for message in messages:
        await link.send(message)
    await link.close()
    async with far:
        return await far.recv(65536)


class TestMessages:
    def test_several_messages_in_one_chunk_are_received(self) -> None:
        sent = (
            ProgressMessage(CallId("c1")),
            ANSWER_MESSAGE,
            NotRunMessage(CallId("c2"), Reason.OVERLOAD, 1.0, 0),
        )
        assert run(receive_all, run(encode_all, *sent)) == list(sent)

    def test_longest_body_passes_and_its_memory_is_given_back(self) -> None:
        message = ResponseMessage(CallId("c1"), 200, [], b"x" * BODY_LIMIT_BYTES, 0)

        async def main() -> None:
            near, far = socketpair()
            memory = make_body_memory(MEMORY_MB)
            sender, receiver = Link(near), Link(far, memory)
            sending = await spawn(sender.send, message)
            received = await receiver.receive()
            await sending.join()
            assert received.body == message.body
            assert memory.large_bytes >= COPIES * BODY_LIMIT_BYTES
            receiver.forget_message()
            assert memory.large_bytes == 0
            await sender.close()
            await receiver.close()

        run(main)

    @given(OUTCOMES)
    def test_outcomes_are_unchanged_by_encoding(self, outcome: Outcome) -> None:
        (message,) = run(receive_all, run(encode_all, reply_to(outcome, CallId("c1"))))
        assert outcome_of(message) == outcome

    def test_unknown_outcome_is_sent_as_unknown_message(self) -> None:
        assert isinstance(reply_to(Unknown(Reason.DEADLINE), CallId("c")), UnknownMessage)


class TestInvalid:
    """Malformed and truncated messages."""

    @given(st.binary(min_size=1, max_size=100))
    def test_arbitrary_bytes_are_not_a_message(self, data: bytes) -> None:
        try:
            messages = run(receive_all, data)
        except (LinkMessageError, LinkBrokenError):
            return
        assert messages == []

    @given(st.integers(0, 40))
    def test_truncated_message_is_not_received(self, length: int) -> None:
        encoded = run(encode_all, ANSWER_MESSAGE)
        assert run(receive_all, encoded[: min(length, len(encoded) - 1)]) == []


class TestPool:
    """Links that carry no call."""

    def test_links_that_are_too_old_or_closed_by_the_other_node_are_closed(self) -> None:
        async def main() -> list[int]:
            pool = make_link_pool()
            kept, aged, broken = socketpair(), socketpair(), socketpair()
            await pool.release("10.0.0.1", 1, Link(aged[0]), 0.0)
            await pool.release("10.0.0.1", 1, Link(kept[0]), IDLE_LIMIT_S)
            await pool.release("10.0.0.2", 1, Link(broken[0]), IDLE_LIMIT_S)
            await broken[1].close()
            await pool.close_unused(IDLE_LIMIT_S)
            assert pool.idle == 1
            return [pair[0].fileno() for pair in (kept, aged, broken)]

        kept, aged, broken = run(main)
        assert kept >= 0 and aged == broken == -1
