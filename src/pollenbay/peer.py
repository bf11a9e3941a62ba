"""Exchanges between nodes over pynng: one question, one answer, all bounded in time.

Sockets are used without blocking, and curio waits on the descriptors by which they say that they
are ready. Under curio, cancelling pynng's own coroutines loses the cancellation, and their time
limits cost far more processor time.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress

from curio import TaskTimeout, sleep, timeout_after
from curio.traps import _read_wait as wait_readable
from pynng import Rep0, Req0, Socket
from pynng.exceptions import NNGException, TryAgain

from pollenbay.news import (
    MESSAGE_LIMIT_BYTES,
    Answer,
    NewsDecodeError,
    NewsError,
    Question,
    Refusal,
    RefusedAnswer,
    decode_answer,
    decode_question,
    encode_news,
)

EXCHANGE_TIMEOUT_S = 0.8
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
QUESTION_LIMIT_BYTES = 256 * 1024


class PeerError(Exception):
    """Root of the errors of this layer."""


class PeerListenError(PeerError):
    """The port could not be opened."""


class PeerSilentError(PeerError):
    """No answer came in time."""


class PeerAnswerError(PeerError):
    """The answer could not be read or refused the question."""


class PeerTraffic:
    """Counts what passes between this node and others.

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
    """Asks one peer; the connection is opened and reopened in the background.

    :param address: IP number of the peer.
    :param port: its gossip port.
    """

    def __init__(self, address: str, port: int, traffic: PeerTraffic) -> None:
        self._url = f"tcp://{address}:{port}"
        self._traffic = traffic
        self._sock = _dial(self._url)

    async def ask(self, question: Question) -> Answer:
        """Send a question and return its answer.

        After silence the next question goes out on a new connection, since one can go silent for
        good while others work.

        :raises PeerSilentError: if none came in time.
        :raises PeerAnswerError: if it makes no sense.
        """
        data = encode_news(question)
        self._traffic.questions_sent += 1
        try:
            answer = await timeout_after(EXCHANGE_TIMEOUT_S, self._exchange, data)
        except (NNGException, TaskTimeout) as error:
            self._traffic.exchanges_failed += 1
            self._sock.close()
            self._sock = _dial(self._url)
            raise PeerSilentError(str(error)) from error
        self._traffic.sent_bytes += len(data)
        self._traffic.received_bytes += len(answer)
        return _read_answer(answer)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    async def _exchange(self, data: bytes) -> bytes:
        await _send(self._sock, data)
        return await _receive(self._sock)


class PeerServer:
    """Answers other nodes.

    :param port: 0 for any free one.
    """

    def __init__(self, address: str, port: int, traffic: PeerTraffic) -> None:
        self._traffic = traffic
        self._sock = Rep0(recv_max_size=QUESTION_LIMIT_BYTES)
        try:
            listener = self._sock.listen(f"tcp://{address}:{port}")
        except NNGException as error:
            self._sock.close()
            raise PeerListenError(f"{address}:{port}: {error}") from error
        self._port = _bound_port(listener.url)

    @property
    def port(self) -> int:
        """Return the port that is bound."""
        return self._port

    async def serve(self, respond: Callable[[Question], Awaitable[Answer]]) -> None:
        """Answer one question after another until cancelled; other tasks run between them."""
        while True:
            data = await _receive(self._sock)
            await self._serve_one(data, respond)
            await sleep(0)

    def close(self) -> None:
        """Close the port and all connections; `serve` must have ended."""
        self._sock.close()

    async def _serve_one(
        self, data: bytes, respond: Callable[[Question], Awaitable[Answer]]
    ) -> None:
        self._traffic.received_bytes += len(data)
        answer = encode_news(await self._answer(data, respond))
        try:
            self._sock.send(answer, block=False)
        except NNGException:
            self._traffic.exchanges_failed += 1
            return
        self._traffic.sent_bytes += len(answer)

    async def _answer(
        self, data: bytes, respond: Callable[[Question], Awaitable[Answer]]
    ) -> Answer:
        try:
            question = decode_question(data)
        except NewsError:
            self._traffic.questions_refused += 1
            return RefusedAnswer(Refusal.BAD_MESSAGE)
        self._traffic.questions_served += 1
        return await respond(question)


def make_peer_link(address: str, port: int, traffic: PeerTraffic) -> PeerLink:
    """Return a link that connects in the background."""
    return PeerLink(address, port, traffic)


def make_peer_server(address: str, port: int, traffic: PeerTraffic) -> PeerServer:
    """Return a server that listens.

    :raises PeerListenError: if the port cannot be opened.
    """
    return PeerServer(address, port, traffic)


def make_peer_traffic() -> PeerTraffic:
    """Return counters at zero."""
    return PeerTraffic()


def _dial(url: str) -> Req0:
    sock = Req0(
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
        recv_max_size=MESSAGE_LIMIT_BYTES,
    )
    sock.dial(url, block=False)
    return sock


async def _send(sock: Socket, data: bytes) -> None:
    while True:
        try:
            return sock.send(data, block=False)
        except TryAgain:
            await wait_readable(sock.send_fd)


async def _receive(sock: Socket) -> bytes:
    """Wait first: a receive that finds nothing costs about as much as one that finds something."""
    while True:
        await wait_readable(sock.recv_fd)
        with suppress(TryAgain):
            return sock.recv(block=False)


def _read_answer(data: bytes) -> Answer:
    try:
        answer = decode_answer(data)
    except NewsDecodeError as error:
        raise PeerAnswerError(str(error)) from error
    if isinstance(answer, RefusedAnswer):
        raise PeerAnswerError(answer.reason.value)
    return answer


def _bound_port(url: str) -> int:
    return int(url.rpartition(":")[2])
