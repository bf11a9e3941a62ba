"""Whether this node has memory left for more bytes of a body.

Small bodies have a part of the memory to themselves, so that clients with large ones cannot keep
out the others. Requests of clients may fill less of it than messages of calls in progress, which
would be lost otherwise.
"""

from pollenbay.bodymemory import COPIES, LARGE_HELD_BYTES, BodyHolding
from pollenbay.states import BodyHolder

#: Ratio of the memory that is kept for small bodies.
SMALL_RATIO = 0.25
#: Ratio of the rest up to which a body may grow, by what it belongs to.
LARGE_RATIOS = {BodyHolder.CLIENT: 0.6, BodyHolder.PEER: 1.0, BodyHolder.TARGET: 1.0}
#: Ratio of the memory held by other large bodies below which one body may exceed the limit: the
#: longest one that is accepted needs more than its share.
ALONE_RATIO = 0.05


def has_room(holding: BodyHolding, added_bytes: int) -> bool:
    """Return whether a holding may grow.

    :param added_bytes: bytes that the body would grow by, in one copy.
    """
    memory = holding.memory
    added = added_bytes * COPIES
    if holding.held_bytes + added <= LARGE_HELD_BYTES:
        return memory.small_bytes + added <= memory.limit_bytes * SMALL_RATIO
    own = holding.held_bytes if holding.held_bytes > LARGE_HELD_BYTES else 0
    others = memory.large_bytes - own
    if others <= memory.limit_bytes * ALONE_RATIO:
        return True
    limit = memory.limit_bytes * (1.0 - SMALL_RATIO) * LARGE_RATIOS[holding.holder]
    return others + holding.held_bytes + added <= limit
