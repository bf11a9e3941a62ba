"""Calls that a target makes through the node beside it while it serves one."""

from dataclasses import dataclass
from time import monotonic

from curio import TaskGroup
from msgspec.json import encode

from pollenbay.announcement import ANNOUNCE_PATH, Announcement
from pollenbay.http1 import HttpError, HttpRequest, HttpResponse, header_value
from pollenbay.outcome import Headers
from pollenbay.translation import CONTEXT_HEADER, DEADLINE_HEADER, KEY_HEADER
from standins.marker import DEFAULT_SIZE_BYTES, MARKER_HEADER, SIZE_HEADER, is_own_answer
from standins.pool import Pool
from standins.target_settings import CallSettings
from standins.target_state import RunCounts

MIN_LEFT_MS = 1


@dataclass(frozen=True, slots=True)
class Cause:
    """The request for whose sake a target makes calls.

    :param deadline: monotonic seconds, or None if the request has none.
    """

    headers: Headers
    marker: str
    deadline: float | None


class Downstream:
    """The node beside a target, as the target uses it.

    :param pool: connections to the outbound port of the node.
    """

    def __init__(self, pool: Pool, counts: RunCounts) -> None:
        self._pool = pool
        self._counts = counts

    async def call_all(self, call: CallSettings, cause: Cause) -> bool:
        """Make all calls that a call needs and tell whether every one succeeded."""
        if call.parallel:
            return await self._call_at_once(call.calls, cause)
        for name in call.calls:
            if not await self._call(name, cause):
                return False
        return True

    async def announce(self, announcement: Announcement) -> None:
        """Tell the node about the target; a failure is counted and made good by the next one."""
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

    async def _call_at_once(self, names: tuple[str, ...], cause: Cause) -> bool:
        async with TaskGroup() as group:
            for name in names:
                await group.spawn(self._call, name, cause)
        return all(group.results)

    async def _call(self, name: str, cause: Cause) -> bool:
        marker = f"{cause.marker}/{name}"
        path = "/" + name.replace(".", "/", 1)
        headers = self._headers(name, marker, cause)
        request = HttpRequest(b"POST", path.encode("ascii"), headers)
        try:
            response = await self._pool.exchange(request)
        except HttpError:
            return False
        return response.status == 200 and self._is_own(response, marker)

    def _is_own(self, response: HttpResponse, marker: str) -> bool:
        if is_own_answer(response.body, marker, DEFAULT_SIZE_BYTES):
            return True
        self._counts.calls_wrong += 1
        return False

    def _headers(self, name: str, marker: str, cause: Cause) -> Headers:
        headers = [
            (b"host", self._pool.host),
            (MARKER_HEADER, marker.encode("ascii")),
            (SIZE_HEADER, b"%d" % DEFAULT_SIZE_BYTES),
        ]
        context = header_value(cause.headers, CONTEXT_HEADER)
        if context is not None:
            headers.append((CONTEXT_HEADER, context))
        if cause.deadline is not None:
            left_ms = max(int((cause.deadline - monotonic()) * 1000), MIN_LEFT_MS)
            headers.append((DEADLINE_HEADER, b"%d" % left_ms))
        key = header_value(cause.headers, KEY_HEADER)
        if key is not None:
            headers.append((KEY_HEADER, key + b"/" + name.encode("ascii")))
        return headers


def make_downstream(pool: Pool, counts: RunCounts) -> Downstream:
    """Return the calling side of a target."""
    return Downstream(pool, counts)
