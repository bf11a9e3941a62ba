"""Links between nodes: kept TCP connections that carry one call at a time.

Each message is MessagePack behind its length in four bytes, most significant first.
"""

from os import write
from struct import Struct

from curio.io import Socket
from msgspec import MsgspecError
from msgspec.msgpack import Decoder, Encoder

from pollenbay.ids import CallId
from pollenbay.message import AnyLinkMessage, ProgressMessage
from pollenbay.stream import StreamConnectError, open_stream, peer_has_closed, receive

RECEIVE_BYTES = 65536
#: Longest message: a body at its limit with its headers.
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024
LENGTH = Struct(">I")
KEPT_CONNECTIONS = 64
#: Longest wait for a connection to another node: some round trips between regions. A host without
#: power does not refuse, and its calls have to go elsewhere in time.
CONNECT_TIMEOUT_S = 0.3
#: A kept connection idle for longer is not trusted with a call.
IDLE_LIMIT_S = 20.0
#: One used so lately is not looked at before an idempotent call, which would cost a system call.
FRESH_S = 0.1
ENCODER = Encoder()
DECODER = Decoder(AnyLinkMessage)


class LinkError(Exception):
    """Root of the errors of this layer."""


class LinkConnectError(LinkError):
    """No connection could be opened, so nothing was sent."""


class LinkBrokenError(LinkError):
    """The connection closed or broke after bytes may have been sent."""


class LinkSilentError(LinkError):
    """The connection is open and nothing comes, not even progress."""


class LinkDeadlineError(LinkError):
    """The deadline of the call has passed on a link that was heard of lately."""


class LinkMessageError(LinkError):
    """What arrived is not a message of a link."""


class Link:
    """One end of a connection between two nodes."""

    def __init__(self, sock: Socket) -> None:
        self._sock = sock
        self._received = bytearray()

    @property
    def sock(self) -> Socket:
        """Return the socket."""
        return self._sock

    @property
    def stale(self) -> bool:
        """Tell whether the other node has closed the connection."""
        return peer_has_closed(self._sock)

    async def send(self, message: AnyLinkMessage) -> None:
        """Send one message.

        :raises LinkBrokenError: if the connection broke.
        """
        try:
            await self._sock.sendall(_framed(message))
        except OSError as error:
            raise LinkBrokenError(str(error)) from error

    async def receive(self) -> AnyLinkMessage | None:
        """Return the next message, or None when the other node has closed between messages.

        :raises LinkBrokenError: if the connection broke.
        :raises LinkMessageError: if what arrived is not a message.
        """
        while True:
            message = self._next_buffered()
            if message is not None:
                return message
            data = await self._receive_bytes()
            if not data:
                return None
            self._received += data

    def send_progress(self, call_id: CallId) -> bool:
        """Send a progress message without waiting and tell whether the connection is sound.

        A full send buffer counts as sound: the other node then has bytes of ours to read.
        """
        data = _framed(ProgressMessage(call_id))
        try:
            return write(self._sock.fileno(), data) == len(data)
        except BlockingIOError:
            return True
        except OSError:
            return False

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    def _next_buffered(self) -> AnyLinkMessage | None:
        received = self._received
        if len(received) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(received)
        if length > MESSAGE_LIMIT_BYTES:
            raise LinkMessageError(f"a message of {length} bytes")
        end = LENGTH.size + length
        if len(received) < end:
            return None
        data = bytes(received[LENGTH.size : end])
        del received[:end]
        return _decode(data)

    async def _receive_bytes(self) -> bytes:
        try:
            return await receive(self._sock, RECEIVE_BYTES)
        except OSError as error:
            raise LinkBrokenError(str(error)) from error


class LinkPool:
    """Idle links to other nodes, by address."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[tuple[float, Link]]] = {}

    async def take(self, address: str, port: int, now: float, idempotent: bool = True) -> Link:
        """Return a kept link that looks sound, or open one.

        :param idempotent: whether the call that it is for may be sent again.
        :raises LinkConnectError: if none can be opened.
        """
        kept = self._idle.get((address, port), [])
        while kept:
            idle_since, link = kept.pop()
            idle_s = now - idle_since
            fresh = idempotent and idle_s < FRESH_S
            if fresh or (idle_s < IDLE_LIMIT_S and not link.stale):
                return link
            await link.close()
        return await _open_link(address, port)

    async def give(self, address: str, port: int, link: Link, now: float) -> None:
        """Keep a link on which a call has ended cleanly."""
        kept = self._idle.setdefault((address, port), [])
        if len(kept) >= KEPT_CONNECTIONS:
            await link.close()
            return
        kept.append((now, link))

    async def distrust(self, address: str, port: int) -> None:
        """Close all kept links to an address, since one of them went silent or broke."""
        for _, link in self._idle.pop((address, port), []):
            await link.close()


def make_link_pool() -> LinkPool:
    """Return a pool with no links."""
    return LinkPool()


def _framed(message: AnyLinkMessage) -> bytes:
    data = ENCODER.encode(message)
    return LENGTH.pack(len(data)) + data


def _decode(data: bytes) -> AnyLinkMessage:
    try:
        return DECODER.decode(data)
    except (MsgspecError, ValueError) as error:
        raise LinkMessageError(str(error)) from error


async def _open_link(address: str, port: int) -> Link:
    try:
        return Link(await open_stream(address, port, CONNECT_TIMEOUT_S))
    except StreamConnectError as error:
        raise LinkConnectError(str(error)) from error
