"""The local target: its last announcement and the idle connections to it."""

from collections.abc import Callable
from functools import partial
from time import monotonic

from curio import TaskTimeout, timeout_after

from pollenbay.bodymemory import (
    MEMORY_MB,
    BodyMemory,
    make_body_memory,
    make_holding,
)
from pollenbay.call import Call
from pollenbay.commands.bodymemory import hold_paced, release
from pollenbay.dialect import DialectError, TargetDialect
from pollenbay.http1 import (
    HoldBody,
    HttpAnswerError,
    HttpConnectError,
    HttpExchangeError,
    HttpRequest,
    HttpResponse,
)
from pollenbay.httpclient import HttpClient, ResponseMatcher, connect_http
from pollenbay.ids import ContextKey, TargetId
from pollenbay.outcome import Answered, NotRun
from pollenbay.states import BodyHolder, Reason, TargetState

#: Time without an announcement after which the target counts as absent.
ANNOUNCEMENT_LEASE_S = 3.0
IDLE_CONNECTIONS_MAX = 256
#: A connection that was idle for longer is not reused: targets close idle connections after some
#: seconds, and a call sent at that moment is lost.
IDLE_LIMIT_S = 4.0
#: The same limit for a call that is not idempotent, which cannot be sent again if it is lost.
NON_IDEMPOTENT_IDLE_LIMIT_S = 0.3
#: Idle time below which a connection is reused for an idempotent call without a check for
#: staleness, which would cost a system call.
STALE_CHECK_AFTER_S = 0.1
NO_TARGET_ID = TargetId("")


class TargetError(Exception):
    """Base class of the errors of this layer.

    :param reason: why there is no response.
    """

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class TargetConnectError(TargetError):
    """No connection could be opened, so the target has not received the call."""


class TargetResponseError(TargetError):
    """The target may have received the call but sent no complete response."""


class Target:
    """State of the local target, of which there is one for each node.

    :param body_limit_bytes: longest response body that is accepted.
    :param dialect: conventions of its HTTP requests and responses.
    :param memory: memory for the bodies of its responses.
    """

    def __init__(self, body_limit_bytes: int, dialect: TargetDialect, memory: BodyMemory) -> None:
        self._body_limit_bytes = body_limit_bytes
        self._memory = memory
        self._dialect = dialect
        self._name = NO_TARGET_ID
        self._state = TargetState.ABSENT
        self._address = ""
        self._port = 0
        self._last_seen_at = 0.0
        self._idle: list[tuple[float, HttpClient]] = []
        #: Idle connections to an earlier run or endpoint, to be closed.
        self._outdated: list[HttpClient] = []

    @property
    def propagates_context(self) -> bool:
        """Return whether the target propagates a context to the calls that it makes."""
        return self._dialect.propagates_context

    @property
    def state(self) -> TargetState:
        """Return the last announced state, or absent if no announcement arrived in time."""
        return self._state

    @property
    def name(self) -> TargetId:
        """Return the id announced by the current run of the target."""
        return self._name

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return the address and port; `("", 0)` before the first announcement."""
        return self._address, self._port

    @property
    def last_seen_at(self) -> float:
        """Return the monotonic seconds of the last announcement."""
        return self._last_seen_at

    def update(
        self,
        state: TargetState,
        address: str,
        port: int,
        now: float,
        name: TargetId = NO_TARGET_ID,
    ) -> None:
        """Apply an announcement.

        Idle connections to an earlier run or endpoint are not used again, and closed by
        `close_unused`.

        :param now: monotonic seconds.
        """
        if (address, port) != self.endpoint or name != self._name:
            self._outdated += [client for _, client in self._idle]
            self._idle.clear()
        self._name = name
        self._state = state
        self._address = address
        self._port = port
        self._last_seen_at = now

    def mark_absent(self) -> None:
        """Set the state to absent, since announcements have stopped."""
        self._state = TargetState.ABSENT

    async def connect(self, now: float, idempotent: bool = True) -> HttpClient:
        """Return an idle connection that appears usable, or open a new one.

        :param now: monotonic seconds.
        :param idempotent: whether the call that the connection is for may be sent again.
        :raises TargetConnectError: if no connection can be opened.
        """
        idle_limit_s = IDLE_LIMIT_S if idempotent else NON_IDEMPOTENT_IDLE_LIMIT_S
        while self._idle and now - self._idle[-1][0] < idle_limit_s:
            idle_since, client = self._idle.pop()
            if (idempotent and now - idle_since < STALE_CHECK_AFTER_S) or not client.stale:
                return client
            await client.close()
        await self.close_unused(now)
        try:
            return await connect_http(
                self._address, self._port, self._body_limit_bytes, self._dialect.unframed
            )
        except HttpConnectError as error:
            raise TargetConnectError(Reason.CONNECT_FAILED) from error

    async def close_unused(self, now: float) -> None:
        """Close outdated connections and those that were idle for too long.

        :param now: monotonic seconds.
        """
        while self._outdated:
            await self._outdated.pop().close()
        while self._idle and now - self._idle[0][0] >= IDLE_LIMIT_S:
            _, client = self._idle.pop(0)
            await client.close()

    async def keep(self, client: HttpClient, now: float) -> None:
        """Keep a connection for reuse after an exchange on it has ended cleanly.

        :param now: monotonic seconds.
        """
        same_target = client.endpoint == self.endpoint
        if same_target and client.reusable and len(self._idle) < IDLE_CONNECTIONS_MAX:
            self._idle.append((now, client))
        else:
            await client.close()

    async def run(
        self,
        client: HttpClient,
        call: Call,
        context: ContextKey,
        time_left_s: float,
        timeout_s: float | None,
        clock: Callable[[], float] = monotonic,
    ) -> Answered | NotRun:
        """Send a call on a connection and return the outcome of the target's response.

        If the exchange does not end cleanly, the connection is closed, which signals the target to
        stop working on the call.

        :param time_left_s: time left until the deadline in seconds, sent to the target.
        :param timeout_s: maximum seconds to wait for the response; None if the code that calls this
            method sets a timeout.
        :param clock: returns monotonic seconds.
        :raises TargetResponseError: if there is no complete response.
        """
        dialect = self._dialect
        request = dialect.request(call, context, time_left_s, self.endpoint, self._name)
        matches = partial(dialect.is_response_to, call)
        holding = make_holding(self._memory, BodyHolder.TARGET)
        try:
            response = await _exchange(
                client, request, timeout_s, matches, partial(hold_paced, holding, clock)
            )
            outcome = _parse_outcome(dialect, call, response)
        except BaseException:
            await client.close()
            raise
        finally:
            release(holding)
        if isinstance(outcome, NotRun):
            # A faulty target may write a refusal once more, as the response to a later request.
            await client.close()
        else:
            await self.keep(client, clock())
        return outcome


def _parse_outcome(dialect: TargetDialect, call: Call, response: HttpResponse) -> Answered | NotRun:
    try:
        return dialect.outcome(call, response)
    except DialectError as error:
        raise TargetResponseError(Reason.ANSWER_BROKEN) from error


async def _exchange(
    client: HttpClient,
    request: HttpRequest,
    timeout_s: float | None,
    matches: ResponseMatcher,
    hold: HoldBody,
) -> HttpResponse:
    try:
        if timeout_s is None:
            return await client.exchange(request, matches, hold)
        async with timeout_after(timeout_s):
            return await client.exchange(request, matches, hold)
    except TaskTimeout as error:
        raise TargetResponseError(Reason.DEADLINE) from error
    except HttpExchangeError as error:
        raise TargetResponseError(Reason.CONNECTION_LOST) from error
    except HttpAnswerError as error:
        raise TargetResponseError(Reason.ANSWER_BROKEN) from error


def make_target(
    body_limit_bytes: int, dialect: TargetDialect, memory: BodyMemory | None = None
) -> Target:
    """Return a target that has not sent an announcement.

    :param memory: memory for the bodies of its responses; by default its own.
    """
    return Target(body_limit_bytes, dialect, memory or make_body_memory(MEMORY_MB))
