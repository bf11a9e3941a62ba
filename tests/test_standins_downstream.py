"""Tests of the nested calls that a target makes through its node."""

from time import monotonic

from curio import run

from pollenbay.announcement import Announcement
from pollenbay.http1 import HttpExchangeError, HttpRequest, HttpResponse, header_value
from pollenbay.ids import CallName, ServiceName
from pollenbay.states import TargetState
from standins.marker import make_body
from standins.node_client import ParentCall, make_node_client
from standins.target_settings import CallSettings
from standins.target_state import CallCounts

CALL = CallSettings(name=CallName("book"), service_ms=1, calls=("stock.reserve",))
ANNOUNCEMENT = Announcement(
    service=ServiceName("shop"), address="127.0.0.1", port=1, slots=1, state=TargetState.SERVING
)


class RecordingPool:
    """Replaces a connection pool; records requests and responds with the matching marker."""

    host = b"node"

    def __init__(self, status: int = 200) -> None:
        self.requests: list[HttpRequest] = []
        self._status = status

    async def exchange(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        if self._status == 0:
            raise HttpExchangeError("broken")
        marker = (header_value(request.headers, b"x-marker") or b"").decode()
        return HttpResponse(self._status, [], make_body(marker, 200))


def cause(**left: float) -> ParentCall:
    headers = [(b"pollenbay-context", b"c1"), (b"idempotency-key", b"k")]
    deadline = monotonic() + left["left_s"] if left else None
    return ParentCall(headers, "m", deadline)


class TestCalls:
    def test_context_key_and_marker_are_forwarded(self):
        pool = RecordingPool()
        assert run(make_node_client(pool, CallCounts()).call_all, CALL, cause())
        sent = pool.requests[0]
        assert sent.target == b"/stock/reserve"
        assert header_value(sent.headers, b"pollenbay-context") == b"c1"
        assert header_value(sent.headers, b"idempotency-key") == b"k/stock.reserve"
        assert header_value(sent.headers, b"x-marker") == b"m/stock.reserve"
        assert header_value(sent.headers, b"pollenbay-deadline-ms") is None

    def test_remaining_time_is_forwarded(self):
        pool = RecordingPool()
        run(make_node_client(pool, CallCounts()).call_all, CALL, cause(left_s=100.0))
        left_ms = int(header_value(pool.requests[0].headers, b"pollenbay-deadline-ms"))
        assert 0 < left_ms <= 100_000

    def test_expired_deadline_is_forwarded_as_1_ms(self):
        pool = RecordingPool()
        run(make_node_client(pool, CallCounts()).call_all, CALL, cause(left_s=-1.0))
        assert header_value(pool.requests[0].headers, b"pollenbay-deadline-ms") == b"1"

    def test_broken_connection_fails_the_call(self):
        assert not run(make_node_client(RecordingPool(0), CallCounts()).call_all, CALL, cause())


class TestAnnouncements:
    def test_failed_announcements_are_counted(self):
        for status, failed in ((204, 0), (500, 1), (0, 1)):
            counts = CallCounts()
            pool = RecordingPool(status)
            run(make_node_client(pool, counts).announce, ANNOUNCEMENT)
            assert pool.requests[0].target == b"/pollenbay/announce"
            assert b'"state":"serving"' in pool.requests[0].body
            assert counts.announcements_failed == failed
