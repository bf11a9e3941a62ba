"""Settings of the target stand-in, from a YAML file."""

from pathlib import Path

from msgspec import Struct
from msgspec.yaml import decode

from pollenbay.ids import CallName, ServiceName

DEFAULT_LINGER_S = 2.0


class CallSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One call that the target serves.

    :param service_ms: time for which it holds a slot by itself, in milliseconds.
    :param calls: calls that it makes through its node, each as ``service.call``.
    :param parallel: whether it makes them all at once.
    """

    name: CallName
    service_ms: float
    calls: tuple[str, ...] = ()
    parallel: bool = False


class TargetSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Everything that a target is told when it starts.

    :param port: port to serve on; 0 takes any free one.
    :param control_port: port that takes faults and questions; 0 takes any free one.
    :param node_port: outbound port of the node beside it; 0 if there is no node.
    :param slots: calls that it runs at once.
    :param shed: whether calls beyond the slots are refused with 503 instead of queued.
    :param jitter: share by which the service time varies either way.
    :param cold_start_s: seconds after the start for which it is slow.
    :param cold_factor: factor on the service time while it is slow.
    :param linger_s: seconds for which it goes on to serve once it is told to stop.
    :param seed: seed of the jitter and of failures.
    """

    service: ServiceName
    calls: tuple[CallSettings, ...]
    address: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    node_address: str = "127.0.0.1"
    node_port: int = 0
    slots: int = 20
    shed: bool = False
    jitter: float = 0.0
    cold_start_s: float = 0.0
    cold_factor: float = 1.0
    linger_s: float = DEFAULT_LINGER_S
    seed: int = 0


def load_target_settings(path: Path) -> TargetSettings:
    """Read a settings file.

    :raises msgspec.ValidationError: if it is not as expected.
    """
    return decode(path.read_bytes(), type=TargetSettings)
