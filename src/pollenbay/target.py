"""The target beside the node: what it last announced, and the connections kept to it."""

from curio import TaskTimeout, timeout_after

from pollenbay.call import Call
from pollenbay.http1 import (
    HttpAnswerError,
    HttpConnectError,
    HttpExchangeError,
    HttpRequest,
    HttpResponse,
)
from pollenbay.httpclient import HttpClient, connect_http
from pollenbay.ids import ContextKey
from pollenbay.outcome import Answered
from pollenbay.states import Reason, TargetState
from pollenbay.translation import answer_from_target, request_to_target

#: A target that has not announced itself for longer counts as absent.
ANNOUNCEMENT_LEASE_S = 3.0
KEPT_CONNECTIONS = 256


class TargetError(Exception):
    """Root of the errors of this layer.

    :param reason: why there is no answer.
    """

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class TargetConnectError(TargetError):
    """No connection could be opened, so the target has seen nothing."""


class TargetAnswerError(TargetError):
    """The target may have seen the call and gave no whole answer."""


class Target:
    """State of the one target beside this node.

    :param body_limit_bytes: longest answer that is taken.
    """

    def __init__(self, body_limit_bytes: int) -> None:
        self._body_limit_bytes = body_limit_bytes
        self._state = TargetState.ABSENT
        self._address = ""
        self._port = 0
        self._heard_at = 0.0
        self._idle: list[HttpClient] = []

    @property
    def state(self) -> TargetState:
        """Return the state as last heard."""
        return self._state

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return address and port; empty before the first announcement."""
        return self._address, self._port

    @property
    def heard_at(self) -> float:
        """Return monotonic seconds of the last announcement."""
        return self._heard_at

    def update(self, state: TargetState, address: str, port: int, now: float) -> None:
        """Take over an announcement; connections to another endpoint are not used again."""
        if (address, port) != self.endpoint:
            self._idle.clear()
        self._state = state
        self._address = address
        self._port = port
        self._heard_at = now

    def mark_absent(self) -> None:
        """Note that the target has fallen silent."""
        self._state = TargetState.ABSENT

    async def connect(self) -> HttpClient:
        """Return a kept connection that looks sound, or open one.

        :raises TargetConnectError: if none can be opened.
        """
        while self._idle:
            client = self._idle.pop()
            if not client.stale:
                return client
            await client.close()
        try:
            return await connect_http(self._address, self._port, self._body_limit_bytes)
        except HttpConnectError as error:
            raise TargetConnectError(Reason.CONNECT_FAILED) from error

    async def keep(self, client: HttpClient) -> None:
        """Keep a connection on which an exchange has ended cleanly."""
        same_target = client.sock.getpeername() == self.endpoint
        if same_target and client.reusable and len(self._idle) < KEPT_CONNECTIONS:
            self._idle.append(client)
        else:
            await client.close()

    async def run(
        self,
        client: HttpClient,
        call: Call,
        context: ContextKey,
        time_left_s: float,
        limit_s: float,
    ) -> Answered:
        """Send a call on a connection and return the whole answer.

        A connection that does not end cleanly is closed, which tells the target to give up.

        :param time_left_s: seconds that the target is told it has.
        :param limit_s: seconds after which the answer is awaited no longer.
        :raises TargetAnswerError: if there is no whole answer.
        """
        request = request_to_target(call, context, time_left_s, self.endpoint)
        try:
            response = await _exchange(client, request, limit_s)
        except BaseException:
            await client.close()
            raise
        await self.keep(client)
        return answer_from_target(response)


async def _exchange(client: HttpClient, request: HttpRequest, limit_s: float) -> HttpResponse:
    try:
        return await timeout_after(limit_s, client.exchange, request)
    except TaskTimeout as error:
        raise TargetAnswerError(Reason.DEADLINE) from error
    except HttpExchangeError as error:
        raise TargetAnswerError(Reason.CONNECTION_LOST) from error
    except HttpAnswerError as error:
        raise TargetAnswerError(Reason.ANSWER_BROKEN) from error


def make_target(body_limit_bytes: int) -> Target:
    """Return a target that has not announced itself."""
    return Target(body_limit_bytes)
