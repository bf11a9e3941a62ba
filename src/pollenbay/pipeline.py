"""Requests of one connection that run side by side while their responses go out in order.

The connection's task reads the requests and starts a task for each call that may run beside others.
That task waits for its turn, which the call before it passes on, and then sends its own response.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from logging import getLogger

from curio import Event, Task, current_task, spawn

from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.httpserver import PendingResponse

#: Maximum number of calls of one connection that run at once.
CALLS_MAX = 16
#: Size of the requests and responses held for one connection from which no further call is started.
HELD_BYTES_MAX = 1024 * 1024

LOG = getLogger("pollenbay.http")

Work = Callable[[Task], Awaitable[HttpResponse]]


def _do_nothing() -> None:
    """Leave everything as it is at the end of a call."""


def _keep_open(response: HttpResponse) -> bool:
    """Let no response close the connection."""
    return False


class Delivery(Enum):
    """What became of a response."""

    SENT = "sent"
    SENT_LAST = "sent-last"
    NOT_SENT = "not-sent"


class Pipeline:
    """Calls of one connection in the order of their requests.

    :param task: task that reads the requests; it is cancelled when a response can't be sent.
    :param closes: returns whether a response, to the last of the calls started, is to close the
        connection.
    """

    def __init__(self, task: Task, closes: Callable[[HttpResponse], bool]) -> None:
        self._task = task
        self._closes = closes
        self._calls: dict[Task, int] = {}
        self._started = 0
        self._turn = 0
        self._changed = Event()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Return whether the connection ends: no call may be started any more.

        The response that closes it is being sent, was sent or can't be sent.
        """
        return self._closed

    @property
    def calls(self) -> int:
        """Return the number of calls whose response has not been sent."""
        return len(self._calls)

    @property
    def has_room(self) -> bool:
        """Return whether another call may start."""
        held_bytes = sum(self._calls.values())
        return len(self._calls) < CALLS_MAX and held_bytes < HELD_BYTES_MAX

    async def wait_for_room(self) -> None:
        """Wait until another call may start."""
        while not self.has_room:
            await self._wait_for_change()

    async def wait_until_empty(self) -> None:
        """Wait until the responses to all calls have been sent."""
        while self._calls:
            await self._wait_for_change()

    async def start(
        self,
        request: HttpRequest,
        pending: PendingResponse,
        work: Work,
        on_end: Callable[[], None] = _do_nothing,
    ) -> None:
        """Start a call.

        :param pending: sends the response.
        :param work: runs the call, in the task that it is given, and returns the response.
        :param on_end: called when the response has been sent or is given up and the call no longer
            counts.
        """
        number = self._started
        self._started += 1
        task = await spawn(self._run, number, pending, work, on_end, daemon=True)
        self._calls[task] = len(request.body)

    async def cancel(self) -> None:
        """Cancel all calls and wait for their end."""
        self._closed = True
        for task in list(self._calls):
            await task.cancel()

    async def _run(
        self, number: int, pending: PendingResponse, work: Work, on_end: Callable[[], None]
    ) -> None:
        task = await current_task()
        delivery = Delivery.NOT_SENT
        try:
            response = await work(task)
            self._calls[task] += len(response.body)
            while self._turn != number:
                await self._wait_for_change()
            delivery = await self._send(number, pending, response)
        finally:
            del self._calls[task]
            self._closed = self._closed or delivery is not Delivery.SENT
            on_end()
            self._turn += 1
            await self._changed.set()
            if delivery is Delivery.NOT_SENT:
                await self._task.cancel(blocking=False)

    async def _send(
        self, number: int, pending: PendingResponse, response: HttpResponse
    ) -> Delivery:
        if self._closed:
            return Delivery.NOT_SENT
        if number + 1 == self._started and self._closes(response):
            self._closed = True
            response.headers.append((b"connection", b"close"))
        try:
            if await pending.send(response) and not self._closed:
                return Delivery.SENT
            await pending.shut_down()
            return Delivery.SENT_LAST
        except OSError as error:
            LOG.debug("response not sent", extra={"error": str(error)})
            return Delivery.NOT_SENT

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()


def make_pipeline(task: Task, closes: Callable[[HttpResponse], bool] = _keep_open) -> Pipeline:
    """Return a pipeline without calls."""
    return Pipeline(task, closes)
