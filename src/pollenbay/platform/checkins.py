"""Check-ins of the instance beside the node, and the question whether the node is ready."""

from logging import getLogger

from curio.io import Socket
from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode

from pollenbay.announcement import Announcement
from pollenbay.callers import Connection, serve_requests
from pollenbay.commands.announcing import hear_target
from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.ids import ServiceName, TargetId
from pollenbay.node import Node
from pollenbay.platform.names import INSTANCES_PATH, READY_PATH
from pollenbay.platform.settings import Endpoint, read_endpoint
from pollenbay.states import NodeState, TargetState

SOURCE = "check-ins"
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503
STATES = {"ready": TargetState.SERVING, "draining": TargetState.LEAVING}
#: Runs that have left and whose late check-ins are passed over.
DEPARTED_MAX = 64
JSON_TYPE = (b"content-type", b"application/json")

LOG = getLogger("pollenbay.platform")


class _Info(Struct, frozen=True):
    """What stays the same for one run of an instance."""

    service: ServiceName
    capacity: int


class _Status(Struct, frozen=True):
    """What changes.

    :param seq: grows with each check-in of one run.
    """

    state: str
    seq: int


class _CheckIn(Struct, frozen=True):
    """One check-in.

    :param born: Unix milliseconds of the start of this run.
    """

    address: str
    info: _Info
    status: _Status
    born: int = 0


class CheckInError(Exception):
    """A check-in that names no run of the instance beside this node."""


class CheckIns:
    """Check-ins in the order in which they were sent, whatever order they arrive in."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._name = TargetId("")
        self._latest = (0, 0)
        self._departed: dict[TargetId, int] = {}

    def take(self, name: TargetId, body: bytes) -> Announcement | None:
        """Return what a check-in announces, or None if a newer one has been heard.

        :raises CheckInError: if it cannot be read or is of another instance.
        """
        check_in = self._read(body)
        order = check_in.born, check_in.status.seq
        if self._departed.get(name, -1) >= check_in.born:
            return None
        if check_in.born < self._latest[0] or (name == self._name and order <= self._latest):
            return None
        self._name, self._latest = name, order
        return Announcement(
            service=check_in.info.service,
            address=self._endpoint.address,
            port=self._endpoint.port,
            slots=check_in.info.capacity,
            state=STATES[check_in.status.state],
            target=name,
        )

    def depart(self, name: TargetId) -> bool:
        """Note that a run has left and tell whether it was the latest one."""
        if len(self._departed) >= DEPARTED_MAX:
            del self._departed[next(iter(self._departed))]
        self._departed[name] = self._latest[0] if name == self._name else 0
        return name == self._name

    def _read(self, body: bytes) -> _CheckIn:
        try:
            check_in = decode(body, type=_CheckIn)
            endpoint = read_endpoint(check_in.address)
        except (DecodeError, ValidationError, ValueError) as error:
            raise CheckInError(str(error)) from error
        if endpoint != self._endpoint:
            raise CheckInError(f"address {check_in.address} is not beside this node")
        if check_in.status.state not in STATES or check_in.info.capacity < 1:
            raise CheckInError(f"state {check_in.status.state!r} or capacity makes no sense")
        return check_in


def make_check_ins(endpoint: Endpoint) -> CheckIns:
    """Return the check-ins of the instance at an endpoint, none so far."""
    return CheckIns(endpoint)


async def serve_check_ins(check_ins: CheckIns, node: Node, sock: Socket) -> None:
    """Serve one connection of the instance until it closes."""

    async def respond(node: Node, _: Connection, request: HttpRequest) -> HttpResponse:
        return answer_check_in(check_ins, node, request)

    await serve_requests(node, sock, SOURCE, respond)


def answer_check_in(check_ins: CheckIns, node: Node, request: HttpRequest) -> HttpResponse:
    """Take in a check-in or a departure and confirm it."""
    path = request.target.decode("latin-1")
    name = TargetId(path.removeprefix(INSTANCES_PATH))
    if not path.startswith(INSTANCES_PATH) or not name:
        return HttpResponse(STATUS_NOT_FOUND, [])
    if request.method == b"DELETE":
        _depart(check_ins, node, name)
        return HttpResponse(STATUS_OK, [JSON_TYPE], b"{}")
    try:
        announcement = check_ins.take(name, request.body)
    except CheckInError as error:
        node.metrics.note_bad_input(SOURCE)
        LOG.warning("check-in refused", extra={"target": name, "error": str(error)})
        return HttpResponse(STATUS_BAD_REQUEST, [])
    if announcement is not None:
        hear_target(node, announcement, node.timer.now())
    return HttpResponse(STATUS_OK, [JSON_TYPE], b"{}")


def _depart(check_ins: CheckIns, node: Node, name: TargetId) -> None:
    if not check_ins.depart(name) or node.target.name != name:
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
    hear_target(node, leaving, node.timer.now())


async def serve_readiness(node: Node, sock: Socket) -> None:
    """Serve one connection of the platform, which asks whether the node takes requests."""
    await serve_requests(node, sock, SOURCE, _answer_readiness)


async def _answer_readiness(node: Node, _: Connection, request: HttpRequest) -> HttpResponse:
    if request.target != READY_PATH:
        return HttpResponse(STATUS_NOT_FOUND, [])
    ready = node.state is NodeState.SERVING
    return HttpResponse(STATUS_OK if ready else STATUS_NOT_READY, [])
