"""Settings of the load tool, from a YAML file: callers, what they ask for, and phases."""

from pathlib import Path

from msgspec import Struct, field
from msgspec.yaml import decode

from pollenbay.states import CallClass
from standins.marker import DEFAULT_SIZE_BYTES

DEFAULT_CALLERS = 10
MAX_IN_FLIGHT = 2000


class MixEntry(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One kind of request.

    :param call: the call as ``service.call``.
    :param call_class: class under which it is reported; `class` in the file.
    :param weight: how often it is drawn, against the others of its group.
    :param keyed: whether each request carries an idempotency key.
    :param wait_ms: how long the caller waits for an answer, in milliseconds.
    """

    call: str
    call_class: CallClass = field(name="class")
    weight: float = 1.0
    keyed: bool = False
    wait_ms: int = 2000
    size_bytes: int = DEFAULT_SIZE_BYTES


class Loop(Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """Base of the ways in which requests follow each other."""


class OpenLoop(Loop, tag="open", kw_only=True):
    """Requests arrive at random at the rate of the phase, whatever becomes of earlier ones.

    :param share: part of the rate of the phase.
    """

    share: float = 1.0


class ClosedLoop(Loop, tag="closed", kw_only=True):
    """Each caller sends its next request after the answer to the last.

    :param think_ms: mean pause between them in milliseconds.
    """

    think_ms: float = 0.0


class RetryPolicy(Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """Base of what callers do when they got no whole answer."""


class NoRetry(RetryPolicy, tag="none"):
    """They give up."""


class HardRetry(RetryPolicy, tag="hard", kw_only=True):
    """They send the same request again at once.

    :param times: most retries for one request.
    """

    times: int


class CallerGroup(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Callers that behave alike; their ids are ``name-0`` and so on.

    :param callers: how many they are.
    """

    name: str
    mix: tuple[MixEntry, ...]
    callers: int = DEFAULT_CALLERS
    loop: OpenLoop | ClosedLoop = OpenLoop()
    retry: NoRetry | HardRetry = NoRetry()


class Phase(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A stretch of time with one rate; the first is the base and the second the surge.

    :param rate_per_s: requests a second of all open loops together, retries not counted.
    """

    name: str
    rate_per_s: float
    seconds: float


class LoadSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Everything that the load tool is told.

    :param max_in_flight: requests of open loops at once; more are counted as not sent.
    """

    groups: tuple[CallerGroup, ...]
    phases: tuple[Phase, ...]
    seed: int = 0
    max_in_flight: int = MAX_IN_FLIGHT


def load_load_settings(path: Path) -> LoadSettings:
    """Read a settings file.

    :raises msgspec.ValidationError: if it is not as expected.
    """
    return decode(path.read_bytes(), type=LoadSettings)
