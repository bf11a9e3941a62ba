"""Memory that this node holds for the bodies of requests and responses.

`pollenbay.commands.bodymemory` changes it; `pollenbay.queries.bodymemory` tells what fits.
"""

from pollenbay.bucket import make_token_bucket
from pollenbay.states import BodyHolder

BYTES_PER_MB = 1_000_000
#: Memory of a process whose settings state none.
MEMORY_MB = 256.0
#: Ratio of the process's memory that bodies may take; the rest is for connections and the program.
MEMORY_RATIO = 0.5
#: Longest body that counts as small.
SMALL_BODY_MAX_BYTES = 64 * 1024
#: Copies of a body that exist while it is read, encoded or sent.
COPIES = 2
#: Held bytes above which a body counts as large.
LARGE_HELD_BYTES = SMALL_BODY_MAX_BYTES * COPIES
#: Pieces of a body that are processed for one token.
PIECES_PER_TOKEN = 128
#: Tokens per second for all bodies together. Each piece of a body, however short, costs some
#: microseconds; bodies in pieces of a few KiB never wait.
TOKENS_PER_S = 240.0
TOKENS_BURST = 16.0


class BodyMemory:
    """Bytes held for all bodies, with small bodies counted apart from large ones.

    :param limit_bytes: bytes that all bodies together may take.
    :ivar tokens: tokens for bodies that arrive in many pieces.
    :ivar refused: requests refused, since no memory was left for their body.
    :ivar waited: times that reading a message or a response waited for memory.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.tokens = make_token_bucket(TOKENS_PER_S, TOKENS_BURST)
        self.small_bytes = 0
        self.large_bytes = 0
        self.refused = 0
        self.waited = 0

    @property
    def limit_bytes(self) -> int:
        """Return the bytes that all bodies together may take."""
        return self._limit_bytes


class BodyHolding:
    """Part of the memory that is held for the body of one request, message or response.

    :param holder: what the body belongs to.
    :ivar held_bytes: bytes held, with all copies.
    :ivar pieces: pieces in which the body has arrived so far.
    """

    __slots__ = ("holder", "held_bytes", "memory", "pieces")

    def __init__(self, memory: BodyMemory, holder: BodyHolder) -> None:
        self.memory = memory
        self.holder = holder
        self.held_bytes = 0
        self.pieces = 0


def make_body_memory(memory_mb: float) -> BodyMemory:
    """Return the memory for bodies in a process.

    :param memory_mb: megabytes that the process may use.
    """
    return BodyMemory(int(memory_mb * BYTES_PER_MB * MEMORY_RATIO))


def make_holding(memory: BodyMemory, holder: BodyHolder) -> BodyHolding:
    """Return a holding without bytes."""
    return BodyHolding(memory, holder)
