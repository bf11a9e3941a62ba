"""Nested calls that a target makes through its node while it serves a call."""

from dataclasses import dataclass
from time import monotonic

from curio import TaskGroup
from msgspec.json import encode

from pollenbay.announcement import ANNOUNCE_PATH, Announcement
from pollenbay.http1 import HttpError, HttpRequest, HttpResponse, header_value
from pollenbay.outcome import Headers
from pollenbay.translation import CONTEXT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER
from standins.marker import DEFAULT_SIZE_BYTES, MARKER_HEADER, SIZE_HEADER, is_expected_body
from standins.pool import Pool
from standins.target_settings import CallSettings
from standins.target_state import CallCounts

#: Deadline sent for a call whose deadline has already passed.
MIN_DEADLINE_MS = 1


@dataclass(frozen=True, slots=True)
class ParentCall:
    """The call that a target serves while it makes nested calls.

    :param deadline: monotonic seconds, or None if the request has none.
    """

    headers: Headers
    marker: str
    deadline: float | None


class NodeClient:
    """Client of a target's node, for nested calls and announcements.

    :param pool: connections to the outbound port of the node.
    """

    def __init__(self, pool: Pool, counts: CallCounts) -> None:
        self._pool = pool
        self._counts = counts

    async def call_all(self, call: CallSettings, parent: ParentCall) -> bool:
        """Make the nested calls of a call and return whether all succeeded.

        Sequential calls stop at the first failure.
        """
        if call.parallel:
            return await self._call_in_parallel(call.calls, parent)
        for name in call.calls:
            if not await self._call(name, parent):
                return False
        return True

    async def announce(self, announcement: Announcement) -> None:
        """Announce the target to its node.

        A failure is counted and not retried, because announcements are periodic.
        """
        headers = [(b"host", self._pool.host), (b"content-type", b"application/json")]
        path = ANNOUNCE_PATH.encode("ascii")
        request = HttpRequest(b"POST", path, headers, encode(announcement))
        try:
            response = await self._pool.exchange(request)
        except HttpError:
            self._counts.announcements_failed += 1
            return
        if response.status >= 300:
            self._counts.announcements_failed += 1

    async def _call_in_parallel(self, names: tuple[str, ...], parent: ParentCall) -> bool:
        async with TaskGroup() as group:
            for name in names:
                await group.spawn(self._call, name, parent)
        return all(group.results)

    async def _call(self, name: str, parent: ParentCall) -> bool:
        marker = f"{parent.marker}/{name}"
        path = "/" + name.replace(".", "/", 1)
        headers = self._headers(name, marker, parent)
        request = HttpRequest(b"POST", path.encode("ascii"), headers)
        try:
            response = await self._pool.exchange(request)
        except HttpError:
            return False
        return response.status == 200 and self._is_expected(response, marker)

    def _is_expected(self, response: HttpResponse, marker: str) -> bool:
        if is_expected_body(response.body, marker, DEFAULT_SIZE_BYTES):
            return True
        self._counts.calls_wrong += 1
        return False

    def _headers(self, name: str, marker: str, parent: ParentCall) -> Headers:
        headers = [
            (b"host", self._pool.host),
            (MARKER_HEADER, marker.encode("ascii")),
            (SIZE_HEADER, b"%d" % DEFAULT_SIZE_BYTES),
        ]
        context = header_value(parent.headers, CONTEXT_HEADER)
        if context is not None:
            headers.append((CONTEXT_HEADER, context))
        if parent.deadline is not None:
            remaining_ms = max(int((parent.deadline - monotonic()) * 1000), MIN_DEADLINE_MS)
            headers.append((DEADLINE_HEADER, b"%d" % remaining_ms))
        key = header_value(parent.headers, IDEMPOTENCY_KEY_HEADER)
        if key is not None:
            headers.append((IDEMPOTENCY_KEY_HEADER, key + b"/" + name.encode("ascii")))
        return headers


def make_node_client(pool: Pool, counts: CallCounts) -> NodeClient:
    """Return a client of the node that the pool connects to."""
    return NodeClient(pool, counts)
