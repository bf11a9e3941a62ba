"""The adapter's part of the settings, checked against types."""

from msgspec import Struct, ValidationError, convert
from msgspec.structs import replace
from result import Err, Ok, Result

from pollenbay.settings import Settings, SettingsInvalidError

MS_PER_S = 1000.0
#: Check-ins that may be missing before an instance counts as absent; they may be seconds late.
CHECK_INS_MISSED = 3.5
#: Part of the time to stop during which a node still takes new work, while others learn of it.
LEAVE_PART = 0.4
#: Time kept in hand before the process would be killed, in seconds.
STOP_MARGIN_S = 0.7


class Endpoint(Struct, frozen=True):
    """An IP number and a port."""

    address: str
    port: int


class Bounds(Struct, frozen=True):
    """What the deployment asks of every node.

    :param grace_s: seconds from the signal to stop until the process is killed.
    :param retry_budget_ratio: repeats that all nodes together may send a service, for each request.
    :param budget_window_s: seconds over which these are counted.
    :param budget_extra: repeats allowed besides in that time.
    """

    grace_s: float = 6.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_extra: float = 48.0


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Where the platform's interfaces are, each as ``address:port``.

    :param store: the metadata store.
    :param target: the instance beside the node.
    :param requests: where this node takes requests of clients and of its instance.
    :param readiness: where it is asked whether it is ready.
    :param check_ins: where its instance checks in.
    :param check_in_ms: milliseconds between two check-ins.
    :param bounds: values by name; names that are not known here are passed over.
    """

    store: str
    target: str
    requests: str
    readiness: str
    check_ins: str
    check_in_ms: float
    bounds: dict[str, object] = {}


def read_platform_settings(settings: Settings) -> Result[PlatformSettings, SettingsInvalidError]:
    """Return the adapter's part of a node's settings."""
    try:
        found = convert(settings.platform, PlatformSettings, strict=False)
        for text in (found.store, found.target, found.requests, found.readiness, found.check_ins):
            read_endpoint(text)
        read_bounds(found)
    except (ValidationError, ValueError) as error:
        return Err(SettingsInvalidError(f"platform: {error}"))
    return Ok(found)


def read_endpoint(text: str) -> Endpoint:
    """Return an address and a port.

    :raises ValueError: if the text is not ``address:port``.
    """
    address, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal():
        raise ValueError(f"expected ADDRESS:PORT, got {text!r}")
    return Endpoint(address, int(port))


def read_bounds(settings: PlatformSettings) -> Bounds:
    """Return the bounds that this project uses, with defaults for those not given.

    :raises ValidationError: if one of them is not a number.
    """
    known = {name: settings.bounds.get(name) for name in Bounds.__struct_fields__}
    return convert({name: value for name, value in known.items() if value is not None}, Bounds)


def adapt_settings(settings: Settings) -> Settings:
    """Return a node's settings with the times that follow from the platform's.

    Without a part for the platform, or with a wrong one, they stay as they are.
    """
    platform = read_platform_settings(settings)
    if isinstance(platform, Err):
        return settings
    return _with_bounds(settings, platform.ok_value)


def _with_bounds(settings: Settings, platform: PlatformSettings) -> Settings:
    bounds = read_bounds(platform)
    leave_s = bounds.grace_s * LEAVE_PART
    return replace(
        settings,
        leave_s=leave_s,
        drain_s=max(bounds.grace_s - leave_s - STOP_MARGIN_S, 0.0),
        target_lease_s=CHECK_INS_MISSED * platform.check_in_ms / MS_PER_S,
    )
