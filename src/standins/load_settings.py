"""Settings of the load generator, from a YAML file: callers, their requests, and phases."""

from pathlib import Path

from msgspec import Struct, field
from msgspec.yaml import decode

from pollenbay.states import CallClass
from standins.marker import DEFAULT_SIZE_BYTES

DEFAULT_CALLERS = 10
MAX_IN_FLIGHT = 2000


class MixEntry(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of request.

    :param call: the call as ``service.call``.
    :param call_class: class under which it is reported; `class` in the file.
    :param weight: relative frequency among the entries of its group.
    :param keyed: whether each request has an idempotency key.
    :param wait_ms: maximum time in milliseconds that the caller waits for a response.
    :param size_bytes: size of the response body to request.
    """

    call: str
    call_class: CallClass = field(name="class")
    weight: float = 1.0
    keyed: bool = False
    wait_ms: int = 2000
    size_bytes: int = DEFAULT_SIZE_BYTES


class Loop(Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """Base of the arrival models of requests."""


class OpenLoop(Loop, tag="open", kw_only=True):
    """Requests arrive at random at the rate of the phase, independent of earlier responses.

    :param share: ratio of the phase's rate that this group sends.
    """

    share: float = 1.0


class ClosedLoop(Loop, tag="closed", kw_only=True):
    """Each caller sends its next request after the response to the previous one.

    :param think_ms: mean pause between requests in milliseconds.
    """

    think_ms: float = 0.0


class RetryPolicy(Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """Base of the policies for requests without a complete response."""


class NoRetry(RetryPolicy, tag="none"):
    """Failed requests are not retried."""


class ImmediateRetry(RetryPolicy, tag="hard", kw_only=True):
    """Failed requests are retried immediately.

    :param times: maximum number of retries for a request.
    """

    times: int


class CallerGroup(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Callers with the same behaviour; their ids are ``name-0``, ``name-1`` and so on.

    :param callers: number of callers.
    """

    name: str
    mix: tuple[MixEntry, ...]
    callers: int = DEFAULT_CALLERS
    loop: OpenLoop | ClosedLoop = OpenLoop()
    retry: NoRetry | ImmediateRetry = NoRetry()


class Phase(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A period with a constant rate; the first phase is the base and the second the surge.

    :param rate_per_s: requests per second of all open loops together, retries not counted.
    :param seconds: duration of the phase.
    """

    name: str
    rate_per_s: float
    seconds: float


class LoadSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of the load generator.

    :param max_in_flight: maximum number of concurrent requests; further ones are counted as not
        sent.
    """

    groups: tuple[CallerGroup, ...]
    phases: tuple[Phase, ...]
    seed: int = 0
    max_in_flight: int = MAX_IN_FLIGHT


def read_load_settings(path: Path) -> LoadSettings:
    """Read a settings file.

    :raises msgspec.ValidationError: if the file does not match `LoadSettings`.
    """
    return decode(path.read_bytes(), type=LoadSettings)
