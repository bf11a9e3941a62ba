"""Request-response exchanges between nodes over pynng, each bounded in time.

Sockets are used in non-blocking mode, and curio waits on the descriptors that signal readiness.
pynng's own coroutines are not used: under curio, cancelling them loses the cancellation, and their
timeouts cost far more processor time.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress

from curio import TaskTimeout, sleep, timeout_after
from curio.traps import _read_wait as wait_readable
from pynng import Rep0, Req0, Socket
from pynng.exceptions import NNGException, TryAgain

from pollenbay.gossipmessage import (
    MESSAGE_LIMIT_BYTES,
    GossipDecodeError,
    GossipMessageError,
    PeerRequest,
    PeerResponse,
    RefusalReason,
    RefusedResponse,
    decode_request,
    decode_response,
    encode_message,
)

EXCHANGE_TIMEOUT_S = 0.8
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
REQUEST_LIMIT_BYTES = 256 * 1024


class PeerError(Exception):
    """Base class of the errors of this layer."""


class PeerListenError(PeerError):
    """The port could not be opened."""


class PeerAddressError(PeerError):
    """The address of the peer is not one."""


class PeerTimeoutError(PeerError):
    """No response arrived in time."""


class PeerResponseError(PeerError):
    """The response could not be read, or the peer refused the request."""


class PeerTraffic:
    """Counters of the traffic between this node and others.

    :ivar sent_bytes: payload bytes sent.
    :ivar received_bytes: payload bytes received.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.questions_sent = 0
        self.questions_served = 0
        self.questions_refused = 0
        self.exchanges_failed = 0


class PeerLink:
    """Sends requests to one peer; the connection is opened and reopened in the background.

    :param address: IP address of the peer.
    :param port: gossip port of the peer.
    """

    def __init__(self, address: str, port: int, traffic: PeerTraffic) -> None:
        self._url = f"tcp://{address}:{port}"
        self._traffic = traffic
        self._sock = _dial(self._url)

    async def send_request(self, request: PeerRequest) -> PeerResponse:
        """Send a request and return the response.

        After a timeout the next request uses a new connection, since a connection can stay
        unresponsive permanently while others work.

        :raises PeerTimeoutError: if no response arrived in time.
        :raises PeerResponseError: if the response cannot be read or is a refusal.
        """
        data = encode_message(request)
        self._traffic.questions_sent += 1
        try:
            response = await timeout_after(EXCHANGE_TIMEOUT_S, self._exchange, data)
        except (NNGException, TaskTimeout) as error:
            self._traffic.exchanges_failed += 1
            self._sock.close()
            self._sock = _dial(self._url)
            raise PeerTimeoutError(str(error)) from error
        self._traffic.received_bytes += len(response)
        return _parse_response(response)

    def close(self) -> None:
        """Close the connection to the peer."""
        self._sock.close()

    async def _exchange(self, data: bytes) -> bytes:
        await _send(self._sock, data)
        self._traffic.sent_bytes += len(data)
        return await _receive(self._sock)


class PeerServer:
    """Serves the requests of other nodes.

    :param port: port to listen on; 0 for any free port.
    :raises PeerListenError: if the port cannot be opened.
    """

    def __init__(self, address: str, port: int, traffic: PeerTraffic) -> None:
        self._traffic = traffic
        self._sock = Rep0(recv_max_size=REQUEST_LIMIT_BYTES)
        try:
            listener = self._sock.listen(f"tcp://{address}:{port}")
        except NNGException as error:
            self._sock.close()
            raise PeerListenError(f"{address}:{port}: {error}") from error
        self._port = _bound_port(listener.url)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._port

    async def serve(self, respond: Callable[[PeerRequest], Awaitable[PeerResponse]]) -> None:
        """Serve one request after another until cancelled; other tasks run between them."""
        while True:
            data = await _receive(self._sock)
            await self._serve_one(data, respond)
            await sleep(0)

    def close(self) -> None:
        """Close the port and all connections; `serve` must have ended."""
        self._sock.close()

    async def _serve_one(
        self, data: bytes, respond: Callable[[PeerRequest], Awaitable[PeerResponse]]
    ) -> None:
        self._traffic.received_bytes += len(data)
        response = encode_message(await self._respond(data, respond))
        try:
            self._sock.send(response, block=False)
        except NNGException:
            self._traffic.exchanges_failed += 1
            return
        self._traffic.sent_bytes += len(response)

    async def _respond(
        self, data: bytes, respond: Callable[[PeerRequest], Awaitable[PeerResponse]]
    ) -> PeerResponse:
        try:
            request = decode_request(data)
        except GossipMessageError:
            self._traffic.questions_refused += 1
            return RefusedResponse(RefusalReason.BAD_MESSAGE)
        self._traffic.questions_served += 1
        return await respond(request)


def make_peer_link(address: str, port: int, traffic: PeerTraffic) -> PeerLink:
    """Return a link that connects in the background.

    :raises PeerAddressError: if address and port are not those of any host.
    """
    return PeerLink(address, port, traffic)


def make_peer_server(address: str, port: int, traffic: PeerTraffic) -> PeerServer:
    """Return a server that listens.

    :raises PeerListenError: if the port cannot be opened.
    """
    return PeerServer(address, port, traffic)


def make_peer_traffic() -> PeerTraffic:
    """Return traffic counters at zero."""
    return PeerTraffic()


def _dial(url: str) -> Req0:
    sock = Req0(
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
        recv_max_size=MESSAGE_LIMIT_BYTES,
    )
    try:
        sock.dial(url, block=False)
    except (NNGException, ValueError) as error:
        sock.close()
        raise PeerAddressError(f"{url}: {error}") from error
    return sock


async def _send(sock: Socket, data: bytes) -> None:
    while True:
        try:
            return sock.send(data, block=False)
        except TryAgain:
            await wait_readable(sock.send_fd)


async def _receive(sock: Socket) -> bytes:
    """Wait before receiving: a receive without data costs about as much as one with data."""
    while True:
        await wait_readable(sock.recv_fd)
        with suppress(TryAgain):
            return sock.recv(block=False)


def _parse_response(data: bytes) -> PeerResponse:
    try:
        response = decode_response(data)
    except GossipDecodeError as error:
        raise PeerResponseError(str(error)) from error
    if isinstance(response, RefusedResponse):
        raise PeerResponseError(response.reason.value)
    return response


def _bound_port(url: str) -> int:
    return int(url.rpartition(":")[2])
