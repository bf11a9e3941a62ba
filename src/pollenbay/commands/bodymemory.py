"""Holding memory for bodies, and giving it back."""

from collections.abc import Callable

from curio import sleep

from pollenbay.bodymemory import COPIES, PIECES_PER_TOKEN, BodyHolding
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
    if holding.pieces % PIECES_PER_TOKEN:
        return
    tokens = holding.memory.tokens
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
    _count(holding, -holding.held_bytes)
    holding.held_bytes = held_bytes
    _count(holding, held_bytes)


def _count(holding: BodyHolding, change: int) -> None:
    if holding.is_large:
        holding.memory.large_bytes += change
    else:
        holding.memory.small_bytes += change
