"""HTTP endpoints for check-ins of the local instance and for readiness probes of the platform."""

from logging import getLogger

from curio.io import Socket
from msgspec import Struct

from pollenbay.announcement import Announcement
from pollenbay.callerfrontend import Connection, serve_requests
from pollenbay.codec import CodecError, decode_json
from pollenbay.commands.announcing import apply_announcement
from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.ids import ServiceName, TargetId
from pollenbay.node import Node
from pollenbay.platform.names import INSTANCES_PATH, READY_PATH
from pollenbay.platform.settings import Endpoint, read_endpoint
from pollenbay.ranges import Count, Slots
from pollenbay.states import NodeState, TargetState
from pollenbay.timer import Timer

BAD_INPUT_SOURCE = "check-ins"
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503
TARGET_STATES = {"ready": TargetState.SERVING, "draining": TargetState.LEAVING}
#: Maximum number of departed runs that are remembered, so that their late check-ins are ignored.
DEPARTED_RUNS_MAX = 64
#: Seconds after which no check-in that was sent before the departure of its run arrives any more.
LATE_CHECK_IN_MAX_S = 30.0
MS_PER_S = 1000.0
JSON_TYPE = (b"content-type", b"application/json")

LOG = getLogger("pollenbay.platform")


class _Info(Struct, frozen=True):
    """Properties that are constant for one run of an instance."""

    service: ServiceName
    capacity: Slots


class _Status(Struct, frozen=True):
    """Current state of the instance.

    :param seq: sequence number, incremented with each check-in of one run.
    """

    state: str
    seq: Count


class _CheckIn(Struct, frozen=True):
    """Body of a check-in.

    :param born: start of this run, in milliseconds since the epoch.
    """

    address: str
    info: _Info
    status: _Status
    born: Count = 0


class _Departure(Struct, frozen=True):
    """Departure of a run, whose check-ins are ignored; all starts in milliseconds since the epoch.

    :param born: start of the latest run that had checked in under this name; -1 if none had.
    :param born_max: latest possible start of the departed run.
    :param ends_at: monotonic seconds up to which `born_max` counts.
    """

    born: int
    born_max: float
    ends_at: float


class CheckInError(Exception):
    """The check-in is malformed or comes from another instance than the local one."""


class CheckIns:
    """State of the check-ins of the local instance, which may arrive in any order.

    Check-ins older than the latest one, and those of departed runs, are ignored.
    """

    def __init__(self, endpoint: Endpoint, timer: Timer) -> None:
        self._endpoint = endpoint
        self._timer = timer
        self._latest_run = TargetId("")
        self._latest_order = (0, 0)
        self._departed_runs: dict[TargetId, _Departure] = {}

    def apply(self, name: TargetId, body: bytes) -> Announcement | None:
        """Return the announcement in a check-in, or None if the check-in is outdated.

        :raises CheckInError: if it is malformed or comes from another instance.
        """
        check_in = self._read(body)
        order = check_in.born, check_in.status.seq
        if self._has_departed(name, check_in.born):
            return None
        if check_in.born < self._latest_order[0] or (
            name == self._latest_run and order <= self._latest_order
        ):
            return None
        self._latest_run, self._latest_order = name, order
        return Announcement(
            service=check_in.info.service,
            address=self._endpoint.address,
            port=self._endpoint.port,
            slots=check_in.info.capacity,
            state=TARGET_STATES[check_in.status.state],
            target=name,
        )

    def record_departure(self, name: TargetId) -> bool:
        """Record the departure of a run and return whether it was the latest one.

        The departure does not state when the run started, and the latest check-in under its name
        may be of an earlier run. All runs under the name started before now; the next one starts
        only after this one has ended.
        """
        if len(self._departed_runs) >= DEPARTED_RUNS_MAX:
            del self._departed_runs[next(iter(self._departed_runs))]
        is_latest = name == self._latest_run
        self._departed_runs[name] = _Departure(
            born=self._latest_order[0] if is_latest else -1,
            born_max=self._timer.epoch() * MS_PER_S,
            ends_at=self._timer.now() + LATE_CHECK_IN_MAX_S,
        )
        return is_latest

    def _has_departed(self, name: TargetId, born: int) -> bool:
        departure = self._departed_runs.get(name)
        if departure is None:
            return False
        if self._timer.now() < departure.ends_at and born <= departure.born_max:
            return True
        return born <= departure.born

    def _read(self, body: bytes) -> _CheckIn:
        try:
            check_in = decode_json(body, _CheckIn)
            endpoint = read_endpoint(check_in.address)
        except (CodecError, ValueError) as error:
            raise CheckInError(str(error)) from error
        if endpoint != self._endpoint:
            raise CheckInError(f"address {check_in.address} is not that of the local instance")
        if check_in.status.state not in TARGET_STATES:
            raise CheckInError(f"invalid state {check_in.status.state!r}")
        return check_in


def make_check_ins(endpoint: Endpoint, timer: Timer) -> CheckIns:
    """Return an empty record of check-ins for the instance at an endpoint."""
    return CheckIns(endpoint, timer)


async def serve_check_ins(check_ins: CheckIns, node: Node, sock: Socket) -> None:
    """Serve one connection of the local instance until it is closed."""

    async def respond(node: Node, _: Connection, request: HttpRequest) -> HttpResponse:
        return respond_to_check_in(check_ins, node, request)

    await serve_requests(node, sock, BAD_INPUT_SOURCE, respond)


def respond_to_check_in(check_ins: CheckIns, node: Node, request: HttpRequest) -> HttpResponse:
    """Apply a check-in or a departure and return the response."""
    path = request.target.decode("latin-1")
    name = TargetId(path.removeprefix(INSTANCES_PATH))
    if not path.startswith(INSTANCES_PATH) or not name:
        return HttpResponse(STATUS_NOT_FOUND, [])
    if request.method == b"DELETE":
        _apply_departure(check_ins, node, name)
        return HttpResponse(STATUS_OK, [JSON_TYPE], b"{}")
    try:
        announcement = check_ins.apply(name, request.body)
    except CheckInError as error:
        node.metrics.record_bad_input(BAD_INPUT_SOURCE)
        LOG.warning("check-in refused", extra={"target": name, "error": str(error)})
        return HttpResponse(STATUS_BAD_REQUEST, [])
    if announcement is not None:
        apply_announcement(node, announcement, node.timer.now())
    return HttpResponse(STATUS_OK, [JSON_TYPE], b"{}")


def _apply_departure(check_ins: CheckIns, node: Node, name: TargetId) -> None:
    if not check_ins.record_departure(name) or node.target.name != name:
        return
    address, port = node.target.endpoint
    leaving = Announcement(
        service=node.settings.service,
        address=address,
        port=port,
        slots=node.gate.limit.slots,
        state=TargetState.LEAVING,
        target=name,
    )
    apply_announcement(node, leaving, node.timer.now())


async def serve_readiness(node: Node, sock: Socket) -> None:
    """Serve one connection of the platform's readiness probe until it is closed."""
    await serve_requests(node, sock, BAD_INPUT_SOURCE, _respond_readiness)


async def _respond_readiness(node: Node, _: Connection, request: HttpRequest) -> HttpResponse:
    if request.target != READY_PATH:
        return HttpResponse(STATUS_NOT_FOUND, [])
    ready = node.state is NodeState.SERVING
    return HttpResponse(STATUS_OK if ready else STATUS_NOT_READY, [])
