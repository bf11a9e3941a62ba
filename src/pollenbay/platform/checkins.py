"""HTTP endpoints for check-ins of the local instance and for readiness probes of the platform."""

from logging import getLogger

from curio.io import Socket
from msgspec import Struct

from pollenbay.announcement import Announcement
from pollenbay.callerfrontend import Connection, serve_requests
from pollenbay.codec import CodecError, decode_json
from pollenbay.commands.announcing import apply_announcement
from pollenbay.commands.departures import record_departure, save, wait_recalled
from pollenbay.departures import Departure, Departures
from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.ids import ServiceName, TargetId
from pollenbay.node import Node
from pollenbay.platform.names import INSTANCES_PATH, READY_PATH
from pollenbay.platform.settings import Endpoint, read_endpoint
from pollenbay.queries.departures import is_history_known, is_outdated
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
#: Longest name of a run, in bytes.
NAME_MAX_BYTES = 200
#: Maximum wait for the departures that an earlier process of this node has stored.
RECALL_WAIT_S = 0.5
#: Maximum wait until a departure is stored. It is confirmed then all the same, since the instance
#: gets no more requests, and waits for a confirmation for a limited time only.
SAVE_WAIT_S = 0.5
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


class CheckInError(Exception):
    """The check-in is malformed or comes from another instance than the local one."""


class UnknownRunError(Exception):
    """Whether the run has left is not known yet."""


class CheckIns:
    """State of the check-ins of the local instance, which may arrive in any order.

    Check-ins older than the latest one, and those of departed runs, are ignored.
    """

    def __init__(self, endpoint: Endpoint, timer: Timer, departures: Departures) -> None:
        self._endpoint = endpoint
        self._timer = timer
        self._departures = departures
        self._latest_run = TargetId("")
        self._latest_order = (0, 0)
        #: Start of the latest run that had checked in under the name of a departed one; -1 if none.
        self._departed_runs: dict[TargetId, int] = {}

    def apply(self, name: TargetId, body: bytes) -> Announcement | None:
        """Return the announcement in a check-in, or None if the check-in is outdated.

        :raises CheckInError: if it is malformed or comes from another instance.
        :raises UnknownRunError: if the instance is ready, but an earlier process of this node may
            have confirmed its departure.
        """
        check_in = self._read(body)
        order = check_in.born, check_in.status.seq
        state = TARGET_STATES[check_in.status.state]
        if self._has_departed(name, *order):
            LOG.info("check-in older than the departure", extra={"target": name, "order": order})
            return None
        if state is TargetState.SERVING and not is_history_known(
            self._departures, self._timer.now()
        ):
            raise UnknownRunError("departures not recalled")
        if check_in.born < self._latest_order[0] or (
            name == self._latest_run and order <= self._latest_order
        ):
            return None
        self._latest_run, self._latest_order = name, order
        if state is TargetState.LEAVING:
            self._record_draining(name, *order)
        return Announcement(
            service=check_in.info.service,
            address=self._endpoint.address,
            port=self._endpoint.port,
            slots=check_in.info.capacity,
            state=state,
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
        self._departed_runs[name] = self._latest_order[0] if is_latest else -1
        departure = Departure(name, int(self._timer.epoch() * MS_PER_S))
        record_departure(self._departures, departure, self._timer.now())
        return is_latest

    def _record_draining(self, name: TargetId, born: int, sequence: int) -> None:
        departure, _ = self._departures.recent.get(name, (None, 0.0))
        if departure is None or departure.born_ms < born:
            record_departure(self._departures, Departure(name, born, sequence), self._timer.now())

    def _has_departed(self, name: TargetId, born: int, sequence: int) -> bool:
        if is_outdated(self._departures, name, born, sequence, self._timer.now()):
            return True
        return born <= self._departed_runs.get(name, -1)

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


def make_check_ins(endpoint: Endpoint, timer: Timer, departures: Departures) -> CheckIns:
    """Return an empty record of check-ins for the instance at an endpoint.

    :param departures: recent departures of its runs.
    """
    return CheckIns(endpoint, timer, departures)


async def serve_check_ins(check_ins: CheckIns, node: Node, sock: Socket) -> None:
    """Serve one connection of the local instance until it is closed."""

    async def respond(node: Node, _: Connection, request: HttpRequest) -> HttpResponse:
        return await respond_to_check_in(check_ins, node, request)

    await serve_requests(node, sock, BAD_INPUT_SOURCE, respond)


async def respond_to_check_in(
    check_ins: CheckIns, node: Node, request: HttpRequest
) -> HttpResponse:
    """Apply a check-in or a departure and return the response."""
    path = request.target.decode("latin-1")
    name = TargetId(path.removeprefix(INSTANCES_PATH))
    if not path.startswith(INSTANCES_PATH) or not name:
        return HttpResponse(STATUS_NOT_FOUND, [])
    if len(name) > NAME_MAX_BYTES:
        return _refuse(node, name[:NAME_MAX_BYTES], "name too long")
    if request.method == b"DELETE":
        return await _apply_departure(check_ins, node, name)
    await wait_recalled(node.departures, RECALL_WAIT_S)
    try:
        announcement = check_ins.apply(name, request.body)
    except CheckInError as error:
        return _refuse(node, name, str(error))
    except UnknownRunError as error:
        LOG.warning("check-in not confirmed", extra={"target": name, "error": str(error)})
        return HttpResponse(STATUS_NOT_READY, [])
    if announcement is None:
        return _confirm()
    apply_announcement(node, announcement, node.timer.now())
    if announcement.state is TargetState.LEAVING:
        await _store_departure(node, name)
    return _confirm()


def _confirm() -> HttpResponse:
    return HttpResponse(STATUS_OK, [JSON_TYPE], b"{}")


def _refuse(node: Node, name: str, error: str) -> HttpResponse:
    node.metrics.record_bad_input(BAD_INPUT_SOURCE)
    LOG.warning("check-in refused", extra={"target": name, "error": error})
    return HttpResponse(STATUS_BAD_REQUEST, [])


async def _apply_departure(check_ins: CheckIns, node: Node, name: TargetId) -> HttpResponse:
    is_latest = check_ins.record_departure(name)
    if is_latest and node.target.name == name:
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
    LOG.info("departure", extra={"target": name, "latest": is_latest})
    await _store_departure(node, name)
    return _confirm()


async def _store_departure(node: Node, name: TargetId) -> None:
    if not await save(node.departures, SAVE_WAIT_S):
        LOG.warning("departure confirmed but not stored", extra={"target": name})


async def serve_readiness(node: Node, sock: Socket) -> None:
    """Serve one connection of the platform's readiness probe until it is closed."""
    await serve_requests(node, sock, BAD_INPUT_SOURCE, _respond_readiness)


async def _respond_readiness(node: Node, _: Connection, request: HttpRequest) -> HttpResponse:
    if request.target != READY_PATH:
        return HttpResponse(STATUS_NOT_FOUND, [])
    ready = node.state is NodeState.SERVING
    return HttpResponse(STATUS_OK if ready else STATUS_NOT_READY, [])
