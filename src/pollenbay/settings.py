"""Settings of a node: a YAML file checked against types, with errors that name file and key."""

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

from pollenbay.http1 import BODY_LIMIT_BYTES
from pollenbay.ids import HostId, InstanceId, RegionId, ServiceName, ZoneId
from pollenbay.table import TABLE_TIMEOUT_S
from pollenbay.target import ANNOUNCEMENT_LEASE_S

DRAIN_S = 30.0
LEAVE_S = 2.0
CALLER_IDLE_S = 75.0
CALLER_CONNECTIONS = 4096
PORT_MAX = 65535
TOKEN_LENGTH_MIN = 16


class SettingsError(Exception):
    """Root of the errors of this layer; the text names the file, the key and what is expected."""


class SettingsUnreadableError(SettingsError):
    """The file cannot be read or is not YAML."""


class SettingsInvalidError(SettingsError):
    """A key is unknown or missing, or a value is not what is expected."""


class Ports(Struct, frozen=True, forbid_unknown_fields=True):
    """TCP ports of a node; 0 lets the system choose.

    :param callers: port for HTTP of outside callers.
    :param outbound: port for HTTP of the target beside the node: its own calls and announcements.
    :param link: port for calls from other nodes.
    :param gossip: port for heartbeats from other nodes.
    :param admin: port for HTTP of operators, health and metrics.
    """

    callers: int = 0
    outbound: int = 0
    link: int = 0
    gossip: int = 0
    admin: int = 0


class AdvertisedPorts(Struct, frozen=True, forbid_unknown_fields=True):
    """Ports at which others reach a node, where these are not the ones it listens at; 0 if so.

    :param link: port told to other nodes for calls; 0 for `ports.link`.
    :param gossip: port told to other nodes for heartbeats; 0 for `ports.gossip`.
    """

    link: int = 0
    gossip: int = 0


class TableSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's table service is.

    :param address: IP number of the table service.
    :param port: its TCP port.
    :param timeout_s: seconds after which an answer counts as lost.
    """

    address: str
    port: int
    timeout_s: float = TABLE_TIMEOUT_S


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on what callers may use.

    :param body_bytes: longest body of a request or an answer.
    :param caller_connections: connections of callers at once.
    :param caller_idle_s: seconds after which an idle connection is closed.
    """

    body_bytes: int = BODY_LIMIT_BYTES
    caller_connections: int = CALLER_CONNECTIONS
    caller_idle_s: float = CALLER_IDLE_S


class Settings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Everything a node is told when it starts.

    :param instance: name of the instance; stays the same when it is replaced.
    :param host: name of the host.
    :param zone: availability zone of the host.
    :param region: region of the zone.
    :param service: service of the target beside the node.
    :param address: IP number at which the node listens and others reach it.
    :param table: the platform's table service, where this project's own interface is spoken.
    :param platform: settings of the adapter, where the interfaces of users' platform are spoken;
        `pollenbay.platform.settings` checks them.
    :param admin_token: bearer token of operators, of 16 characters or more; none lets nobody in,
        which only a deployment on the users' platform may choose.
    :param peers: gossip addresses as ``address:port``, to join while the table is down.
    :param drain_s: longest time in seconds that a planned stop waits for calls in flight.
    :param leave_s: seconds from the announcement of leaving until new work is refused.
    :param target_lease_s: seconds after which a target that has not announced itself is absent.
    :param log_level: level of the log lines, as in Python's logging.
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
    drain_s: float = DRAIN_S
    leave_s: float = LEAVE_S
    target_lease_s: float = ANNOUNCEMENT_LEASE_S
    log_level: str = "INFO"


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and check a settings file."""
    try:
        document = safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        return Err(SettingsUnreadableError(f"{path}: {error}"))
    return parse_settings(document, str(path))


def parse_settings(document: object, source: str) -> Result[Settings, SettingsError]:
    """Check a document against the settings.

    :param source: file name for the error text.
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
    """Return the first problem that the types cannot express, or None."""
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
    for number, peer in enumerate(settings.peers):
        address, _, port = peer.rpartition(":")
        if not _is_address(address) or not port.isdigit() or int(port) > PORT_MAX:
            yield f"expected ADDRESS:PORT - at `$.peers[{number}]`"


def _port_problems(settings: Settings) -> Iterator[str]:
    ports = {f"ports.{name}": port for name, port in asdict(settings.ports).items()}
    told = {f"advertised.{name}": port for name, port in asdict(settings.advertised).items()}
    table = {} if settings.table is None else {"table.port": settings.table.port}
    for key, port in {**ports, **told, **table}.items():
        if not 0 <= port <= PORT_MAX:
            yield f"expected a port from 0 to {PORT_MAX} - at `$.{key}`"


def _range_problems(settings: Settings) -> Iterator[str]:
    more_than_zero = {
        "target_lease_s": settings.target_lease_s,
        "limits.body_bytes": settings.limits.body_bytes,
        "limits.caller_connections": settings.limits.caller_connections,
        "limits.caller_idle_s": settings.limits.caller_idle_s,
    }
    if settings.table is not None:
        more_than_zero["table.timeout_s"] = settings.table.timeout_s
    for key, value in more_than_zero.items():
        if not 0 < value < inf:
            yield f"expected more than 0 - at `$.{key}`"
    for key, value in {"drain_s": settings.drain_s, "leave_s": settings.leave_s}.items():
        if not 0 <= value < inf:
            yield f"expected 0 or more - at `$.{key}`"


def _text_problems(settings: Settings) -> Iterator[str]:
    if (settings.table is None) == (settings.platform is None):
        yield "expected either a table or a platform - at `$.table`"
    for key in ("instance", "host", "zone", "region", "service"):
        if not getattr(settings, key):
            yield f"expected a name - at `$.{key}`"
    if len(settings.admin_token) < TOKEN_LENGTH_MIN and not _is_without_operators(settings):
        yield f"expected {TOKEN_LENGTH_MIN} characters or more - at `$.admin_token`"
    if settings.log_level not in getLevelNamesMapping():
        yield "expected a level such as INFO - at `$.log_level`"


def _is_without_operators(settings: Settings) -> bool:
    """Tell whether operators publish elsewhere, so that no token lets them in here."""
    return settings.platform is not None and not settings.admin_token


def _is_address(text: str) -> bool:
    try:
        IPv4Address(text)
    except ValueError:
        return False
    return True
