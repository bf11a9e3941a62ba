"""Links between nodes: persistent TCP connections that carry one call at a time.

Each message is encoded as MessagePack and prefixed with its length as a 4-byte big-endian integer.
"""

from os import write
from struct import Struct

from curio.io import Socket
from msgspec.msgpack import Encoder

from pollenbay.bodymemory import SMALL_BODY_MAX_BYTES, BodyMemory, make_holding
from pollenbay.codec import CodecError, make_message_decoder
from pollenbay.commands.bodymemory import release, wait_to_hold
from pollenbay.ids import CallId
from pollenbay.linkmessage import AnyLinkMessage, ProgressMessage
from pollenbay.states import BodyHolder
from pollenbay.stream import (
    JOINED_BYTES_MAX,
    StreamConnectError,
    closed_by_peers,
    open_stream,
    peer_has_closed,
    receive,
    send_parts,
)

RECEIVE_BYTES = 65536
#: Maximum message length; holds a body of the maximum size with its headers.
MESSAGE_LIMIT_BYTES = 65 * 1024 * 1024
LENGTH_PREFIX = Struct(">I")
IDLE_LINKS_PER_ADDRESS_MAX = 64
#: Maximum time to connect to another node; some round trips between regions. A host without power
#: does not refuse connections, and its calls must be sent elsewhere in time.
CONNECT_TIMEOUT_S = 0.3
#: A connection that was idle for longer is not reused.
IDLE_LIMIT_S = 20.0
#: Idle time below which a connection is reused for an idempotent call without a check for
#: staleness, which would cost a system call.
STALE_CHECK_AFTER_S = 0.1
ENCODER = Encoder()
DECODER = make_message_decoder(AnyLinkMessage, MESSAGE_LIMIT_BYTES)


class LinkError(Exception):
    """Base class of the errors of this layer."""


class LinkConnectError(LinkError):
    """No connection could be opened, so nothing was sent."""


class LinkBrokenError(LinkError):
    """The connection closed or broke after bytes may have been sent."""


class LinkTimeoutError(LinkError):
    """The connection is open but nothing arrives, not even progress messages."""


class LinkDeadlineError(LinkError):
    """The deadline of the call has passed on a link that was recently active."""


class LinkMessageError(LinkError):
    """The received bytes are not a link message."""


class Link:
    """One side of a connection between two nodes.

    :param memory: memory for the bodies of long messages; None for no limit.
    """

    def __init__(self, sock: Socket, memory: BodyMemory | None = None) -> None:
        self._sock = sock
        self._received = bytearray()
        self._holding = None if memory is None else make_holding(memory, BodyHolder.PEER)

    @property
    def sock(self) -> Socket:
        """Return the connected socket."""
        return self._sock

    @property
    def stale(self) -> bool:
        """Return whether the other node has closed the connection."""
        return peer_has_closed(self._sock)

    @property
    def needs_memory(self) -> bool:
        """Return whether a long message has begun to arrive for which no memory is held."""
        if self._holding is None or self._holding.held_bytes:
            return False
        length = self._message_length
        return length is not None and length > SMALL_BODY_MAX_BYTES

    @property
    def _message_length(self) -> int | None:
        if len(self._received) < LENGTH_PREFIX.size:
            return None
        return int(LENGTH_PREFIX.unpack_from(self._received)[0])

    async def send(self, message: AnyLinkMessage) -> None:
        """Send one message.

        :raises LinkBrokenError: if the connection broke.
        """
        prefix, data = _encode_frame(message)
        try:
            if len(data) <= JOINED_BYTES_MAX:
                await self._sock.sendall(prefix + data)
            else:
                await send_parts(self._sock, [prefix, data])
        except OSError as error:
            raise LinkBrokenError(str(error)) from error

    async def receive(self) -> AnyLinkMessage | None:
        """Return the next message, or None when the other node has closed between messages.

        A long message waits until there is memory for it, which is held until the next call of this
        method, `forget_message` or `close`.

        :raises LinkBrokenError: if the connection broke.
        :raises LinkMessageError: if the received bytes are not a link message.
        """
        self.forget_message()
        while (message := self.take_message()) is None:
            if self.needs_memory:
                await self.hold_message()
            if not await self.receive_piece():
                return None
        return message

    def take_message(self) -> AnyLinkMessage | None:
        """Return the next message if all of it has been received.

        :raises LinkMessageError: if the received bytes are not a link message.
        """
        length = self._message_length
        if length is None:
            return None
        if length > MESSAGE_LIMIT_BYTES:
            raise LinkMessageError(f"message too long: {length} bytes")
        received, end = self._received, LENGTH_PREFIX.size + length
        if len(received) < end:
            return None
        with memoryview(received) as view, view[LENGTH_PREFIX.size : end] as data:
            message = _decode(data)
        del received[:end]
        return message

    async def hold_message(self) -> None:
        """Wait until there is memory for the long message that has begun to arrive."""
        if self._holding is not None and self._message_length is not None:
            await wait_to_hold(self._holding, self._message_length)

    async def receive_piece(self) -> bool:
        """Wait for bytes and return whether any came; none when the other node has closed.

        :raises LinkBrokenError: if the connection broke.
        """
        try:
            data = await receive(self._sock, RECEIVE_BYTES)
        except OSError as error:
            raise LinkBrokenError(str(error)) from error
        self._received += data
        return bool(data)

    def send_progress(self, call_id: CallId) -> bool:
        """Send a progress message without waiting and return whether the connection is usable.

        A full send buffer counts as usable: the other node still has bytes to read.
        """
        prefix, data = _encode_frame(ProgressMessage(call_id))
        data = prefix + data
        try:
            return write(self._sock.fileno(), data) == len(data)
        except BlockingIOError:
            return True
        except OSError:
            return False

    async def close(self) -> None:
        """Close the connection."""
        self.forget_message()
        await self._sock.close()

    def forget_message(self) -> None:
        """Give back the memory that is held for the last message."""
        if self._holding is not None:
            release(self._holding)


class LinkPool:
    """Idle links to other nodes, by address.

    :param memory: memory for the bodies of long messages; None for no limit.
    """

    def __init__(self, memory: BodyMemory | None = None) -> None:
        self._memory = memory
        self._idle: dict[tuple[str, int], list[tuple[float, Link]]] = {}

    @property
    def idle(self) -> int:
        """Return the number of idle links."""
        return sum(map(len, self._idle.values()))

    async def acquire(self, address: str, port: int, now: float, idempotent: bool = True) -> Link:
        """Return an idle link that appears usable, or open a new one.

        :param now: monotonic seconds.
        :param idempotent: whether the call that the link is for may be sent again.
        :raises LinkConnectError: if no link can be opened.
        """
        idle_links = self._idle.get((address, port), [])
        while idle_links:
            idle_since, link = idle_links.pop()
            idle_s = now - idle_since
            fresh = idempotent and idle_s < STALE_CHECK_AFTER_S
            if fresh or (idle_s < IDLE_LIMIT_S and not link.stale):
                return link
            await link.close()
        return await _open_link(address, port, self._memory)

    async def release(self, address: str, port: int, link: Link, now: float) -> None:
        """Return a link to the pool after a call on it has ended cleanly.

        :param now: monotonic seconds.
        """
        link.forget_message()
        idle_links = self._idle.setdefault((address, port), [])
        if len(idle_links) >= IDLE_LINKS_PER_ADDRESS_MAX:
            await link.close()
            return
        idle_links.append((now, link))

    async def close_idle(self, address: str, port: int) -> None:
        """Close all idle links to an address after one of its links timed out or broke."""
        for _, link in self._idle.pop((address, port), []):
            await link.close()

    async def close_unused(self, now: float) -> None:
        """Close the idle links that are too old to be used again or that the other node has closed.

        :param now: monotonic seconds.
        """
        closed = closed_by_peers(link.sock for links in self._idle.values() for _, link in links)
        unused = []
        for address, idle_links in list(self._idle.items()):
            used = []
            for idle_since, link in idle_links:
                if now - idle_since < IDLE_LIMIT_S and link.sock.fileno() not in closed:
                    used.append((idle_since, link))
                else:
                    unused.append(link)
            idle_links[:] = used
            if not used:
                del self._idle[address]
        for link in unused:
            await link.close()

    async def close_all_idle(self) -> None:
        """Close all idle links."""
        for address, port in list(self._idle):
            await self.close_idle(address, port)


def make_link_pool(memory: BodyMemory | None = None) -> LinkPool:
    """Return a pool with no links.

    :param memory: memory for the bodies of long messages; None for no limit.
    """
    return LinkPool(memory)


def _encode_frame(message: AnyLinkMessage) -> tuple[bytes, bytes]:
    data = ENCODER.encode(message)
    return LENGTH_PREFIX.pack(len(data)), data


def _decode(data: memoryview) -> AnyLinkMessage:
    try:
        return DECODER.decode(data)
    except CodecError as error:
        raise LinkMessageError(str(error)) from error


async def _open_link(address: str, port: int, memory: BodyMemory | None) -> Link:
    try:
        return Link(await open_stream(address, port, CONNECT_TIMEOUT_S), memory)
    except StreamConnectError as error:
        raise LinkConnectError(str(error)) from error
