"""Holding memory for bodies, and giving it back."""

from curio import sleep

from pollenbay.bodymemory import COPIES, BodyHolding
from pollenbay.queries.bodymemory import has_room

#: Period at which a message waits for memory that others give back.
ROOM_CHECK_PERIOD_S = 0.05


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


def release(holding: BodyHolding) -> None:
    """Give back all memory of a holding."""
    if holding.held_bytes:
        _change(holding, 0)


def _change(holding: BodyHolding, held_bytes: int) -> None:
    _count(holding, -holding.held_bytes)
    holding.held_bytes = held_bytes
    _count(holding, held_bytes)


def _count(holding: BodyHolding, change: int) -> None:
    if holding.is_large:
        holding.memory.large_bytes += change
    else:
        holding.memory.small_bytes += change
