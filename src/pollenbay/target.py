"""The target beside the node: what it last announced, and the connections kept to it."""

from collections.abc import Callable
from functools import partial
from time import monotonic

from curio import TaskTimeout, timeout_after

from pollenbay.call import Call
from pollenbay.dialect import DialectError, TargetDialect
from pollenbay.http1 import (
    HttpAnswerError,
    HttpConnectError,
    HttpExchangeError,
    HttpRequest,
    HttpResponse,
)
from pollenbay.httpclient import Belongs, HttpClient, connect_http
from pollenbay.ids import ContextKey, TargetId
from pollenbay.outcome import Answered, NotRun
from pollenbay.states import Reason, TargetState

#: A target that has not announced itself for longer counts as absent.
ANNOUNCEMENT_LEASE_S = 3.0
KEPT_CONNECTIONS = 256
#: A kept connection idle for longer is not used, since targets close idle ones after some seconds
#: and a call sent at that moment is lost.
IDLE_LIMIT_S = 4.0
#: The same for a call that may run only once, which could not be sent again.
IDLE_LIMIT_ONCE_S = 0.3
#: One used so lately is not looked at before an idempotent call, which would cost a system call.
FRESH_S = 0.1
UNNAMED = TargetId("")


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
    :param dialect: how it is spoken to.
    """

    def __init__(self, body_limit_bytes: int, dialect: TargetDialect) -> None:
        self._body_limit_bytes = body_limit_bytes
        self._dialect = dialect
        self._name = UNNAMED
        self._state = TargetState.ABSENT
        self._address = ""
        self._port = 0
        self._heard_at = 0.0
        self._idle: list[tuple[float, HttpClient]] = []

    @property
    def hands_context(self) -> bool:
        """Tell whether the target hands a context on to the calls that it makes."""
        return self._dialect.hands_context

    @property
    def state(self) -> TargetState:
        """Return the state as last heard."""
        return self._state

    @property
    def name(self) -> TargetId:
        """Return how the present run of the target names itself."""
        return self._name

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return address and port; empty before the first announcement."""
        return self._address, self._port

    @property
    def heard_at(self) -> float:
        """Return monotonic seconds of the last announcement."""
        return self._heard_at

    def update(
        self,
        state: TargetState,
        address: str,
        port: int,
        now: float,
        name: TargetId = UNNAMED,
    ) -> None:
        """Take over an announcement; connections to another run or endpoint are not used again."""
        if (address, port) != self.endpoint or name != self._name:
            self._idle.clear()
        self._name = name
        self._state = state
        self._address = address
        self._port = port
        self._heard_at = now

    def mark_absent(self) -> None:
        """Note that the target has fallen silent."""
        self._state = TargetState.ABSENT

    async def connect(self, now: float, idempotent: bool = True) -> HttpClient:
        """Return a kept connection that looks sound, or open one.

        :param now: monotonic seconds.
        :param idempotent: whether the call that it is for may be sent again.
        :raises TargetConnectError: if none can be opened.
        """
        limit_s = IDLE_LIMIT_S if idempotent else IDLE_LIMIT_ONCE_S
        while self._idle and now - self._idle[-1][0] < limit_s:
            kept_at, client = self._idle.pop()
            if (idempotent and now - kept_at < FRESH_S) or not client.stale:
                return client
            await client.close()
        await self._close_idle(now)
        try:
            return await connect_http(
                self._address, self._port, self._body_limit_bytes, self._dialect.unframed
            )
        except HttpConnectError as error:
            raise TargetConnectError(Reason.CONNECT_FAILED) from error

    async def _close_idle(self, now: float) -> None:
        while self._idle and now - self._idle[0][0] >= IDLE_LIMIT_S:
            _, client = self._idle.pop(0)
            await client.close()

    async def keep(self, client: HttpClient, now: float) -> None:
        """Keep a connection on which an exchange has ended cleanly.

        :param now: monotonic seconds.
        """
        same_target = client.endpoint == self.endpoint
        if same_target and client.reusable and len(self._idle) < KEPT_CONNECTIONS:
            self._idle.append((now, client))
        else:
            await client.close()

    async def run(
        self,
        client: HttpClient,
        call: Call,
        context: ContextKey,
        time_left_s: float,
        limit_s: float | None,
        clock: Callable[[], float] = monotonic,
    ) -> Answered | NotRun:
        """Send a call on a connection and return what the target answers.

        A connection that does not end cleanly is closed, which tells the target to give up.

        :param time_left_s: seconds that the target is told it has.
        :param limit_s: seconds after which the answer is awaited no longer; None if the caller of
            this function sees to that.
        :param clock: returns monotonic seconds.
        :raises TargetAnswerError: if there is no whole answer.
        """
        dialect = self._dialect
        request = dialect.request(call, context, time_left_s, self.endpoint, self._name)
        try:
            response = await _exchange(client, request, limit_s, partial(dialect.belongs, call))
            outcome = _read(dialect, call, response)
        except BaseException:
            await client.close()
            raise
        await self.keep(client, clock())
        return outcome


def _read(dialect: TargetDialect, call: Call, response: HttpResponse) -> Answered | NotRun:
    try:
        return dialect.outcome(call, response)
    except DialectError as error:
        raise TargetAnswerError(Reason.ANSWER_BROKEN) from error


async def _exchange(
    client: HttpClient, request: HttpRequest, limit_s: float | None, belongs: Belongs
) -> HttpResponse:
    try:
        if limit_s is None:
            return await client.exchange(request, belongs)
        async with timeout_after(limit_s):
            return await client.exchange(request, belongs)
    except TaskTimeout as error:
        raise TargetAnswerError(Reason.DEADLINE) from error
    except HttpExchangeError as error:
        raise TargetAnswerError(Reason.CONNECTION_LOST) from error
    except HttpAnswerError as error:
        raise TargetAnswerError(Reason.ANSWER_BROKEN) from error


def make_target(body_limit_bytes: int, dialect: TargetDialect) -> Target:
    """Return a target that has not announced itself."""
    return Target(body_limit_bytes, dialect)
