"""Settings of the platform adapter, and the node settings that follow from them."""

from functools import partial
from typing import Annotated

from msgspec import Meta, Struct, ValidationError, convert
from msgspec.structs import replace
from result import Err, Ok, Result

from pollenbay.settings import Limits, Settings, SettingsInvalidError

MS_PER_S = 1000.0
PORT_MAX = 65535
#: Check-in periods without a check-in after which an instance counts as absent. Check-ins may be
#: seconds late.
MISSED_CHECK_INS_MAX = 3.5
#: Ratio of the grace period during which a stopping node still admits new work, until the other
#: nodes have learned that it is leaving.
LEAVE_RATIO = 0.4
#: Upper limit of that time: what was sent later must not be broken off by the stop.
LEAVE_MAX_S = 3.0
#: Reserve between the end of a planned stop and the moment when the process would be killed.
STOP_MARGIN_S = 0.7


class Endpoint(Struct, frozen=True):
    """IP address and port."""

    address: str
    port: int


class Bounds(Struct, frozen=True):
    """Requirements of the deployment on every node.

    :param grace_s: seconds from the stop signal until the process is killed.
    :param contact_ms: milliseconds after a disruption from which on a node has to be up to date.
    :param retry_budget_ratio: retries per request that all nodes together may send to a service.
    :param budget_window_s: seconds over which retries and requests are counted.
    :param budget_extra: retries allowed in each window in addition to the ratio.
    """

    grace_s: float = 6.0
    contact_ms: float = 3000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_extra: float = 48.0


class MachineLimits(Struct, frozen=True):
    """Resources of the machine that this project heeds; None where it states none.

    :param memory_mb: megabytes that a process may use.
    :param max_fds: descriptors that a process may open.
    """

    memory_mb: Annotated[float, Meta(gt=0.0)] | None = None
    max_fds: Annotated[int, Meta(gt=0)] | None = None


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of the platform adapter; endpoints are given as ``address:port``.

    :param store: endpoint of the metadata store.
    :param target: endpoint of the local instance.
    :param requests: endpoint on which this node receives requests of clients and of its instance.
    :param readiness: endpoint on which this node serves readiness probes.
    :param check_ins: endpoint on which this node receives check-ins of its instance.
    :param check_in_ms: milliseconds between two check-ins.
    :param bounds: values by name; unknown names are ignored.
    :param limits: resources of the machine by name, which replace those of the node's own limits;
        unknown names are ignored.
    """

    store: str
    target: str
    requests: str
    readiness: str
    check_ins: str
    check_in_ms: float
    bounds: dict[str, object]
    limits: dict[str, object]


def read_platform_settings(settings: Settings) -> Result[PlatformSettings, SettingsInvalidError]:
    """Return the validated adapter settings of a node."""
    try:
        platform = convert(settings.platform, PlatformSettings, strict=False)
        for text in (
            platform.store,
            platform.target,
            platform.requests,
            platform.readiness,
            platform.check_ins,
        ):
            read_endpoint(text)
        read_bounds(platform)
        read_limits(platform)
    except (ValidationError, ValueError) as error:
        return Err(SettingsInvalidError(f"platform: {error}"))
    return Ok(platform)


def read_endpoint(text: str) -> Endpoint:
    """Parse an endpoint given as ``address:port``.

    :raises ValueError: if the text is not ``address:port``.
    """
    address, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or not 0 < int(port) <= PORT_MAX:
        raise ValueError(f"expected ADDRESS:PORT, got {text!r}")
    return Endpoint(address, int(port))


def read_bounds(settings: PlatformSettings) -> Bounds:
    """Return the bounds used by this project, with defaults for missing ones.

    :raises ValidationError: if a bound is not a number.
    """
    values = {name: settings.bounds.get(name) for name in Bounds.__struct_fields__}
    return convert({name: value for name, value in values.items() if value is not None}, Bounds)


def read_limits(settings: PlatformSettings) -> MachineLimits:
    """Return the resources of the machine that this project heeds.

    :raises ValidationError: if one is not a positive number.
    """
    return convert(settings.limits, MachineLimits, strict=False)


def adapt_settings(settings: Settings) -> Result[Settings, SettingsInvalidError]:
    """Return settings of a node with the times and limits derived from the platform's."""
    return read_platform_settings(settings).map(partial(_with_bounds, settings))


def _with_bounds(settings: Settings, platform: PlatformSettings) -> Settings:
    bounds = read_bounds(platform)
    leave_s = min(bounds.grace_s * LEAVE_RATIO, LEAVE_MAX_S)
    return replace(
        settings,
        leave_s=leave_s,
        drain_s=max(bounds.grace_s - leave_s - STOP_MARGIN_S, 0.0),
        target_lease_s=MISSED_CHECK_INS_MAX * platform.check_in_ms / MS_PER_S,
        limits=_with_machine_limits(settings.limits, read_limits(platform)),
    )


def _with_machine_limits(limits: Limits, machine: MachineLimits) -> Limits:
    return replace(
        limits,
        memory_mb=machine.memory_mb or limits.memory_mb,
        descriptors=machine.max_fds or limits.descriptors,
    )
