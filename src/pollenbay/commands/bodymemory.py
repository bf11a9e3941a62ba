"""Holding memory for bodies, and giving it back."""

from collections.abc import Callable

from curio import sleep

from pollenbay.bodymemory import (
    COPIES,
    LARGE_HELD_BYTES,
    PIECES_PER_TOKEN,
    BodyHolding,
    BodyMemory,
)
from pollenbay.queries.bodymemory import has_room

#: Period at which a message waits for memory that others give back.
ROOM_CHECK_PERIOD_S = 0.05
#: Period at which a body in many pieces waits for a token.
TOKEN_CHECK_PERIOD_S = 0.1


def hold(holding: BodyHolding, added_bytes: int) -> bool:
    """Hold memory for more bytes of a body and return whether there was room."""
    if not has_room(holding, added_bytes):
        holding.memory.refused += 1
        return False
    _change(holding, holding.held_bytes + added_bytes * COPIES)
    return True


def hold_received(holding: BodyHolding, added_bytes: int) -> None:
    """Hold memory for a body that this node has already received."""
    _change(holding, holding.held_bytes + added_bytes * COPIES)


async def wait_to_hold(holding: BodyHolding, added_bytes: int) -> bool:
    """Hold memory for more bytes as soon as there is room; the caller bounds the wait."""
    if not has_room(holding, added_bytes):
        holding.memory.waited += 1
    while not has_room(holding, added_bytes):
        await sleep(ROOM_CHECK_PERIOD_S)
    _change(holding, holding.held_bytes + added_bytes * COPIES)
    return True


def count_piece(holding: BodyHolding) -> bool:
    """Count one piece of a body and return whether its reader has to wait for a token."""
    holding.pieces += 1
    return holding.pieces % PIECES_PER_TOKEN == 0


async def wait_for_token(memory: BodyMemory, clock: Callable[[], float]) -> None:
    """Wait for the next token, so that bodies in many pieces leave time to others.

    :param clock: returns monotonic seconds.
    """
    memory.tokens.refill(clock())
    while not memory.tokens.spend():
        await sleep(TOKEN_CHECK_PERIOD_S)
        memory.tokens.refill(clock())


async def hold_paced(holding: BodyHolding, clock: Callable[[], float], added_bytes: int) -> bool:
    """Hold memory for a piece of a body, after waiting for a token and for room if need be.

    :param clock: returns monotonic seconds.
    :param added_bytes: bytes to hold; 0 if memory for this piece is held already.
    """
    if count_piece(holding):
        await wait_for_token(holding.memory, clock)
    if added_bytes and not has_room(holding, added_bytes):
        return await wait_to_hold(holding, added_bytes)
    _change(holding, holding.held_bytes + added_bytes * COPIES)
    return True


def release(holding: BodyHolding) -> None:
    """Give back all memory of a holding."""
    if holding.held_bytes:
        _change(holding, 0)
    holding.pieces = 0


def _change(holding: BodyHolding, held_bytes: int) -> None:
    memory = holding.memory
    if holding.held_bytes > LARGE_HELD_BYTES:
        memory.large_bytes -= holding.held_bytes
    else:
        memory.small_bytes -= holding.held_bytes
    holding.held_bytes = held_bytes
    if held_bytes > LARGE_HELD_BYTES:
        memory.large_bytes += held_bytes
    else:
        memory.small_bytes += held_bytes
