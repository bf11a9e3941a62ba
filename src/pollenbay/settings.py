"""Settings of a node: a YAML file checked against types, with errors that name file and key."""

from pathlib import Path

from msgspec import Struct, ValidationError, convert, field
from result import Err, Ok, Result
from yaml import YAMLError, safe_load

from pollenbay.http1 import BODY_LIMIT_BYTES
from pollenbay.ids import HostId, InstanceId, RegionId, ServiceName, ZoneId
from pollenbay.table import TABLE_TIMEOUT_S

DRAIN_S = 30.0
LEAVE_S = 2.0
CALLER_IDLE_S = 75.0
CALLER_CONNECTIONS = 4096
PORT_MAX = 65535
TOKEN_BYTES_MIN = 16


class SettingsError(Exception):
    """Root of the errors of this layer; the text names the file, the key and what is expected."""


class SettingsUnreadableError(SettingsError):
    """The file cannot be read or is not YAML."""


class SettingsInvalidError(SettingsError):
    """A key is unknown or missing, or a value is not what is expected."""


class Ports(Struct, frozen=True, forbid_unknown_fields=True):
    """TCP ports of a node; 0 lets the system choose.

    :param callers: HTTP of outside callers.
    :param outbound: HTTP of the target beside the node: its own calls and its announcements.
    :param link: calls from other nodes.
    :param gossip: heartbeats from other nodes.
    :param admin: HTTP of operators, health and metrics.
    """

    callers: int = 0
    outbound: int = 0
    link: int = 0
    gossip: int = 0
    admin: int = 0


class TableSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's table service is.

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
    :param service: service of the target beside the node.
    :param address: IP number at which the node listens and others reach it.
    :param admin_token: bearer token of operators, of 16 characters or more.
    :param peers: gossip addresses as ``address:port``, to join while the table is down.
    :param drain_s: longest time in seconds that a planned stop waits for calls in flight.
    :param leave_s: seconds from the announcement of leaving until new work is refused.
    :param log_level: level of the log lines, as in Python's logging.
    """

    instance: InstanceId
    host: HostId
    zone: ZoneId
    region: RegionId
    service: ServiceName
    address: str
    table: TableSettings
    admin_token: str
    ports: Ports = field(default_factory=Ports)
    limits: Limits = field(default_factory=Limits)
    peers: tuple[str, ...] = ()
    drain_s: float = DRAIN_S
    leave_s: float = LEAVE_S
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
    for name in Ports.__struct_fields__:
        if not 0 <= getattr(settings.ports, name) <= PORT_MAX:
            return f"expected a port from 0 to {PORT_MAX} - at `$.ports.{name}`"
    if len(settings.admin_token) < TOKEN_BYTES_MIN:
        return f"expected {TOKEN_BYTES_MIN} characters or more - at `$.admin_token`"
    for name in ("drain_s", "leave_s"):
        if getattr(settings, name) < 0:
            return f"expected 0 or more - at `$.{name}`"
    return None
