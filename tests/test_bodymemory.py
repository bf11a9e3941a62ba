"""Memory for bodies: within its limit, with a part for small ones, and given back whole."""

from functools import partial
from time import monotonic

from curio import TaskGroup, TaskTimeout, run, sleep, spawn, timeout_after
from curio.io import Socket
from curio.socket import socketpair
from hypothesis import given
from hypothesis import strategies as st
from pytest import raises

from pollenbay.bodymemory import (
    BYTES_PER_MB,
    COPIES,
    PIECES_PER_TOKEN,
    SMALL_BODY_MAX_BYTES,
    TOKENS_BURST,
    TOKENS_PER_S,
    BodyHolding,
    BodyMemory,
    make_body_memory,
    make_holding,
)
from pollenbay.commands.bodymemory import (
    hold,
    hold_paced,
    hold_received,
    release,
    wait_to_hold,
)
from pollenbay.http1 import HttpRequest
from pollenbay.httpclient import HttpClient
from pollenbay.queries.bodymemory import ALONE_RATIO
from pollenbay.states import BodyHolder

MEMORY_MB = 256
BODY_MAX_BYTES = 64 * 1024 * 1024
STEPS = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.one_of(st.none(), st.integers(0, 100_000), st.integers(0, BODY_MAX_BYTES)),
    ),
    max_size=60,
)
#: Answers that together need twice the memory for large bodies of a process with few megabytes.
ANSWERS = 6
ANSWER_BYTES = 4_000_000
FEW_MB = 64
ANSWERED_WITHIN_S = 15.0
ANSWER_PIECE_BYTES = 50_000


def client_holding(memory: BodyMemory) -> BodyHolding:
    return make_holding(memory, BodyHolder.CLIENT)


@given(steps=STEPS)
def test_what_is_held_stays_within_the_limit_beside_one_body_alone(
    steps: list[tuple[int, int | None]],
) -> None:
    memory = make_body_memory(MEMORY_MB)
    holdings = [client_holding(memory) for _ in range(10)]
    for index, added in steps:
        if added is None:
            release(holdings[index])
        elif holdings[index].held_bytes + added * COPIES <= BODY_MAX_BYTES * COPIES:
            hold(holdings[index], added)
        assert memory.small_bytes + memory.large_bytes == sum(h.held_bytes for h in holdings)
        largest = max(h.held_bytes for h in holdings)
        alone = largest + memory.limit_bytes * ALONE_RATIO
        assert memory.small_bytes <= memory.limit_bytes
        assert memory.large_bytes <= max(memory.limit_bytes, alone)
    for each in holdings:
        release(each)
    assert (memory.small_bytes, memory.large_bytes) == (0, 0)


def test_longest_body_fits_alone() -> None:
    holding = client_holding(make_body_memory(MEMORY_MB))
    assert all(hold(holding, 65_536) for _ in range(BODY_MAX_BYTES // 65_536))


def test_small_body_fits_beside_any_number_of_large_ones() -> None:
    memory = make_body_memory(MEMORY_MB)
    large = [client_holding(memory) for _ in range(50)]
    while any([hold(each, 50_000) for each in large]):
        pass
    assert memory.large_bytes <= MEMORY_MB * BYTES_PER_MB / 2
    assert not hold(client_holding(memory), SMALL_BODY_MAX_BYTES + 1)
    assert hold(client_holding(memory), SMALL_BODY_MAX_BYTES)


def test_message_waits_until_memory_is_given_back() -> None:
    async def main() -> None:
        memory = make_body_memory(MEMORY_MB)
        other, waiting = (make_holding(memory, BodyHolder.PEER) for _ in range(2))
        hold_received(other, BODY_MAX_BYTES)
        task = await spawn(wait_to_hold, waiting, 1_000_000)
        await sleep(0.2)
        assert not waiting.held_bytes
        release(other)
        await task.join()
        assert waiting.held_bytes == 1_000_000 * COPIES

    run(main)


def test_bodies_in_many_pieces_leave_time_to_others() -> None:
    async def read(holding: BodyHolding, pieces: int) -> None:
        for _ in range(pieces):
            await hold_paced(holding, monotonic, 1)

    async def main() -> None:
        memory = make_body_memory(MEMORY_MB)
        holdings = [client_holding(memory) for _ in range(20)]
        started_at = monotonic()
        async with TaskGroup() as group:
            for each in holdings:
                await group.spawn(read, each, 10 * PIECES_PER_TOKEN)
        tokens = len(holdings) * 10
        assert tokens <= TOKENS_BURST + TOKENS_PER_S * (monotonic() - started_at)

    run(main)


def test_body_in_pieces_of_ordinary_length_never_waits() -> None:
    holding = client_holding(make_body_memory(MEMORY_MB))
    for _ in range(BODY_MAX_BYTES // 65_536):
        with raises(StopIteration):
            hold_paced(holding, lambda: 0.0, 65_536).send(None)


async def answer(sock: Socket) -> None:
    """Send an answer in pieces, with pauses in which the others go on."""
    await sock.recv(65_536)
    await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % ANSWER_BYTES)
    for _ in range(ANSWER_BYTES // ANSWER_PIECE_BYTES):
        await sock.sendall(bytes(ANSWER_PIECE_BYTES))
        await sleep(0.001)


async def read_answer(memory: BodyMemory) -> int:
    """Return the length of an answer that is read within the memory; 0 if it takes too long."""
    near, far = socketpair()
    holding = make_holding(memory, BodyHolder.TARGET)
    sending = await spawn(answer, far, daemon=True)
    client = HttpClient(near, BODY_MAX_BYTES)
    request = HttpRequest(b"GET", b"/", [(b"host", b"test")], b"")
    try:
        hold_piece = partial(hold_paced, holding, monotonic)
        async with timeout_after(ANSWERED_WITHIN_S):
            return len((await client.exchange(request, hold=hold_piece)).body)
    except TaskTimeout:
        return 0
    finally:
        release(holding)
        await sending.cancel()
        await client.close()
        await far.close()


# Each kept a part of its body and waited for the memory of the others: one was answered 200 and
# five 504 at their deadlines.
def test_answers_that_exceed_the_memory_together_are_read_one_after_the_other() -> None:
    async def main() -> None:
        memory = make_body_memory(FEW_MB)
        async with TaskGroup() as group:
            for _ in range(ANSWERS):
                await group.spawn(read_answer, memory)
            peak_bytes = 0
            while any(not task.terminated for task in group.tasks):
                peak_bytes = max(peak_bytes, memory.large_bytes)
                await sleep(0.001)
        assert group.results == [ANSWER_BYTES] * ANSWERS
        assert peak_bytes <= memory.limit_bytes
        assert memory.large_bytes == 0

    run(main)
