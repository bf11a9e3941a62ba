"""Settings of a node, read from YAML and validated; errors name the file and the key."""

from collections.abc import Iterator
from ipaddress import IPv4Address
from itertools import chain
from logging import getLevelNamesMapping
from math import inf
from pathlib import Path

from msgspec import Struct, ValidationError, convert, field
from msgspec.structs import asdict
from result import Err, Ok, Result
from yaml import YAMLError, safe_load

from pollenbay.bodymemory import MEMORY_MB
from pollenbay.ids import HostId, InstanceId, RegionId, ServiceName, ZoneId
from pollenbay.table import TABLE_TIMEOUT_S
from pollenbay.target import ANNOUNCEMENT_LEASE_S

DRAIN_TIMEOUT_S = 30.0
LEAVE_DELAY_S = 2.0
CALLER_IDLE_TIMEOUT_S = 75.0
CALLER_CONNECTIONS_MAX = 4096
#: Bytes that a configuration of the users' platform allows for a body.
BODY_LIMIT_BYTES = 64 * 1024 * 1024
CALLER_STALL_TIMEOUT_S = 15.0
PORT_MAX = 65535
TOKEN_CHARS_MIN = 16


class SettingsError(Exception):
    """Base class of the errors of this module; the text names file, key and expected value."""


class SettingsUnreadableError(SettingsError):
    """The file cannot be read or is not YAML."""


class SettingsInvalidError(SettingsError):
    """A key is unknown or missing, or a value is invalid."""


class Ports(Struct, frozen=True, forbid_unknown_fields=True):
    """TCP ports on which a node listens; 0 lets the operating system choose.

    :param callers: HTTP port for external callers.
    :param outbound: HTTP port for the local target: its nested calls and its announcements.
    :param link: port for calls from other nodes.
    :param gossip: port for heartbeats from other nodes.
    :param admin: HTTP port for operators, health checks and metrics.
    """

    callers: int = 0
    outbound: int = 0
    link: int = 0
    gossip: int = 0
    admin: int = 0


class AdvertisedPorts(Struct, frozen=True, forbid_unknown_fields=True):
    """Ports advertised to other nodes, where these differ from the ports on which a node listens.

    :param link: port advertised to other nodes for calls; 0 for `ports.link`.
    :param gossip: port advertised to other nodes for heartbeats; 0 for `ports.gossip`.
    """

    link: int = 0
    gossip: int = 0


class TableSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Connection to the platform's table service.

    :param address: IPv4 address of the table service.
    :param port: TCP port of the table service.
    :param timeout_s: seconds after which a response counts as lost.
    """

    address: str
    port: int
    timeout_s: float = TABLE_TIMEOUT_S


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """Resource limits for callers.

    :param body_bytes: maximum size of the body of a request or a response.
    :param caller_connections: maximum number of concurrent connections of callers.
    :param caller_idle_s: seconds after which an idle connection is closed.
    :param caller_stall_s: seconds without a byte after which a connection in the middle of a
        request is closed.
    :param memory_mb: megabytes that the process may use; bodies may take half of them, and an
        upload that finds no room is refused as not run. Read at the start.
    :param descriptors: maximum number of open descriptors, of which connections of callers may
        take half; 0 if only `caller_connections` limits them.
    """

    body_bytes: int = BODY_LIMIT_BYTES
    caller_connections: int = CALLER_CONNECTIONS_MAX
    caller_idle_s: float = CALLER_IDLE_TIMEOUT_S
    caller_stall_s: float = CALLER_STALL_TIMEOUT_S
    memory_mb: float = MEMORY_MB
    descriptors: int = 0

    @property
    def caller_connections_max(self) -> int:
        """Return the maximum number of concurrent connections of callers."""
        if not self.descriptors:
            return self.caller_connections
        return min(self.caller_connections, self.descriptors // 2)


class Settings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of a node, read when it starts.

    :param instance: name of the instance; a replacement keeps it.
    :param host: name of the host.
    :param zone: availability zone of the host.
    :param region: region of the zone.
    :param service: service of the local target.
    :param address: IPv4 address on which the node listens and under which other nodes reach it.
    :param table: the platform's table service, for deployments with this project's own interface.
    :param platform: settings of the adapter, for deployments with the interfaces of the users'
        platform; validated by `pollenbay.platform.settings`.
    :param admin_token: bearer token of operators, 16 characters or more; an empty token rejects
        all operators and is accepted only in deployments on the users' platform.
    :param peers: gossip addresses as ``address:port``, used to join while the table is unavailable.
    :param drain_s: maximum time in seconds that a planned stop waits for calls in flight.
    :param leave_s: seconds from announcing a planned stop until new work is rejected.
    :param target_lease_s: seconds without an announcement after which a target counts as absent.
    :param log_level: log level, as in Python's logging.
    """

    instance: InstanceId
    host: HostId
    zone: ZoneId
    region: RegionId
    service: ServiceName
    address: str
    admin_token: str = ""
    table: TableSettings | None = None
    platform: dict[str, object] | None = None
    ports: Ports = field(default_factory=Ports)
    advertised: AdvertisedPorts = field(default_factory=AdvertisedPorts)
    limits: Limits = field(default_factory=Limits)
    peers: tuple[str, ...] = ()
    drain_s: float = DRAIN_TIMEOUT_S
    leave_s: float = LEAVE_DELAY_S
    target_lease_s: float = ANNOUNCEMENT_LEASE_S
    log_level: str = "INFO"


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and validate a settings file."""
    try:
        document = safe_load(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError, YAMLError) as error:
        # A scalar that looks like a date or a number but is none raises ValueError.
        return Err(SettingsUnreadableError(f"{path}: {error}"))
    return parse_settings(document, str(path))


def parse_settings(document: object, source: str) -> Result[Settings, SettingsError]:
    """Validate a parsed YAML document.

    :param source: file name for error messages.
    """
    try:
        settings = convert(document, Settings)
    except ValidationError as error:
        return Err(SettingsInvalidError(f"{source}: {error}"))
    problem = _find_problem(settings)
    if problem is not None:
        return Err(SettingsInvalidError(f"{source}: {problem}"))
    return Ok(settings)


def _find_problem(settings: Settings) -> str | None:
    """Return the first problem that the types do not rule out, or None."""
    problems = chain(
        _address_problems(settings),
        _port_problems(settings),
        _range_problems(settings),
        _text_problems(settings),
    )
    return next(problems, None)


def _address_problems(settings: Settings) -> Iterator[str]:
    addresses = {"address": settings.address}
    if settings.table is not None:
        addresses["table.address"] = settings.table.address
    for key, address in addresses.items():
        if not _is_address(address):
            yield f"expected an IPv4 number - at `$.{key}`"
    for index, peer in enumerate(settings.peers):
        address, _, port = peer.rpartition(":")
        if not _is_address(address) or not port.isdigit() or int(port) > PORT_MAX:
            yield f"expected ADDRESS:PORT - at `$.peers[{index}]`"


def _port_problems(settings: Settings) -> Iterator[str]:
    ports = {f"ports.{name}": port for name, port in asdict(settings.ports).items()}
    advertised = {f"advertised.{name}": port for name, port in asdict(settings.advertised).items()}
    table = {} if settings.table is None else {"table.port": settings.table.port}
    for key, port in {**ports, **advertised, **table}.items():
        if not 0 <= port <= PORT_MAX:
            yield f"expected a port from 0 to {PORT_MAX} - at `$.{key}`"


def _range_problems(settings: Settings) -> Iterator[str]:
    positive = {
        "target_lease_s": settings.target_lease_s,
        "limits.body_bytes": settings.limits.body_bytes,
        "limits.caller_connections": settings.limits.caller_connections,
        "limits.caller_idle_s": settings.limits.caller_idle_s,
        "limits.caller_stall_s": settings.limits.caller_stall_s,
        "limits.memory_mb": settings.limits.memory_mb,
    }
    if settings.table is not None:
        positive["table.timeout_s"] = settings.table.timeout_s
    for key, value in positive.items():
        if not 0 < value < inf:
            yield f"expected more than 0 - at `$.{key}`"
    not_negative = {
        "drain_s": settings.drain_s,
        "leave_s": settings.leave_s,
        "limits.descriptors": settings.limits.descriptors,
    }
    for key, value in not_negative.items():
        if not 0 <= value < inf:
            yield f"expected 0 or more - at `$.{key}`"


def _text_problems(settings: Settings) -> Iterator[str]:
    if (settings.table is None) == (settings.platform is None):
        yield "expected either a table or a platform - at `$.table`"
    for key in ("instance", "host", "zone", "region", "service"):
        if not getattr(settings, key):
            yield f"expected a name - at `$.{key}`"
    if len(settings.admin_token) < TOKEN_CHARS_MIN and not _has_no_operators(settings):
        yield f"expected {TOKEN_CHARS_MIN} characters or more - at `$.admin_token`"
    if settings.log_level not in getLevelNamesMapping():
        yield "expected a level such as INFO - at `$.log_level`"


def _has_no_operators(settings: Settings) -> bool:
    """Return whether operators publish through the users' platform, so that no token is needed."""
    return settings.platform is not None and not settings.admin_token


def _is_address(text: str) -> bool:
    try:
        IPv4Address(text)
    except ValueError:
        return False
    return True
