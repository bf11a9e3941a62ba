"""Holding memory for bodies, and giving it back."""

from collections.abc import Callable

from curio import sleep

from pollenbay.bodymemory import COPIES, LARGE_HELD_BYTES, PIECES_PER_TOKEN, BodyHolding
from pollenbay.bucket import TokenBucket
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


async def pace_piece(holding: BodyHolding, clock: Callable[[], float]) -> None:
    """Count one piece of a body, and wait if all bodies together come in too many of them.

    :param clock: returns monotonic seconds.
    """
    holding.pieces += 1
    if holding.pieces % PIECES_PER_TOKEN == 0:
        await _wait_for_token(holding.memory.tokens, clock)


async def hold_paced(holding: BodyHolding, clock: Callable[[], float], added_bytes: int) -> bool:
    """Hold memory for a piece of a body as `pace_piece` and `wait_to_hold` do.

    :param clock: returns monotonic seconds.
    """
    holding.pieces += 1
    if holding.pieces % PIECES_PER_TOKEN == 0:
        await _wait_for_token(holding.memory.tokens, clock)
    if not has_room(holding, added_bytes):
        return await wait_to_hold(holding, added_bytes)
    _change(holding, holding.held_bytes + added_bytes * COPIES)
    return True


async def _wait_for_token(tokens: TokenBucket, clock: Callable[[], float]) -> None:
    tokens.refill(clock())
    while not tokens.spend():
        await sleep(TOKEN_CHECK_PERIOD_S)
        tokens.refill(clock())


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
