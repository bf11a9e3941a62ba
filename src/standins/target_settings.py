"""Settings of the target stand-in, from a YAML file."""

from pathlib import Path

from msgspec import Struct
from msgspec.yaml import decode

from pollenbay.ids import CallName, ServiceName

DEFAULT_LINGER_S = 2.0


class CallSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A call that the target serves.

    :param service_ms: time in milliseconds for which it holds a slot, nested calls not included.
    :param calls: nested calls through the node, each as ``service.call``.
    :param parallel: whether the nested calls run in parallel.
    """

    name: CallName
    service_ms: float
    calls: tuple[str, ...] = ()
    parallel: bool = False


class TargetSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of a target.

    :param port: port to serve on; 0 selects a free port.
    :param control_port: port for faults and queries; 0 selects a free port.
    :param node_port: outbound port of the target's node; 0 without a node.
    :param slots: maximum number of concurrent calls.
    :param shed: whether calls beyond the slots are rejected with 503 instead of queued.
    :param jitter: maximum relative deviation of the service time, up or down.
    :param cold_start_s: duration of the cold start in seconds.
    :param cold_factor: factor on the service time during the cold start.
    :param linger_s: seconds for which it continues to serve after SIGTERM.
    :param seed: seed of the jitter and of injected failures.
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


def read_target_settings(path: Path) -> TargetSettings:
    """Read a settings file.

    :raises msgspec.ValidationError: if the file does not match `TargetSettings`.
    """
    return decode(path.read_bytes(), type=TargetSettings)
