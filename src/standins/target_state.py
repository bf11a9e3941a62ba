"""State of the target stand-in: runs of calls, active faults and counters."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from msgspec import Struct

from pollenbay.ids import CallName
from standins.target_settings import CallSettings, TargetSettings


class Faults(Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of a target; setting faults turns off all that are not named.

    :param service_time_factor: factor on the service time.
    :param fail_rate: ratio of calls that run and then fail with 500.
    :param hang: whether calls take a slot and never respond.
    :param cut_short: whether responses are truncated before their content length.
    :param foreign: whether responses are complete but belong to another request.
    :param reported_load: load to report in place of the actual load; None for the actual load.
    :param load_lag_s: age of the reported load in seconds.
    :param silent: whether announcements are suppressed.
    :param leave: whether the target announces that it is leaving.
    """

    service_time_factor: float = 1.0
    fail_rate: float = 0.0
    hang: bool = False
    cut_short: bool = False
    foreign: bool = False
    reported_load: float | None = None
    load_lag_s: float = 0.0
    silent: bool = False
    leave: bool = False


class CallRun(Struct):
    """Run of a call that got a slot and so took effect, at least partly.

    :param started_at: monotonic seconds, comparable between processes of a host.
    :param finished: whether the call finished its work.
    """

    call: CallName
    idempotency_key: str | None
    marker: str
    started_at: float
    finished: bool = False


class CallCounts(Struct):
    """Counters of calls and announcements.

    :param received: complete requests for a known call.
    :param started: calls that got a slot.
    :param cancelled: calls cancelled because the client closed the connection.
    :param expired: calls cancelled at their deadline.
    :param shed: calls rejected because no slot was free.
    :param failed: calls failed with 500 by the fault.
    :param calls_failed: calls failed with 502 because a nested call failed.
    :param calls_wrong: responses to nested calls with another body than expected.
    :param announcements_failed: announcements that the node did not accept.
    """

    received: int = 0
    started: int = 0
    finished: int = 0
    cancelled: int = 0
    expired: int = 0
    shed: int = 0
    failed: int = 0
    calls_failed: int = 0
    calls_wrong: int = 0
    announcements_failed: int = 0


class RunLog(Struct):
    """Runs and counters of a target, as returned by the control port."""

    runs: list[CallRun]
    counts: CallCounts


class LoadSample(Struct, frozen=True):
    """Number of calls in flight at a time in monotonic seconds."""

    at: float
    in_flight: int


@dataclass(slots=True)
class TargetStore:
    """Complete state of a target.

    :param started_at: monotonic seconds.
    :param in_flight: calls that hold a slot or wait for one.
    """

    settings: TargetSettings
    calls: dict[CallName, CallSettings]
    random: Random
    started_at: float
    faults: Faults = field(default_factory=Faults)
    runs: list[CallRun] = field(default_factory=list)
    counts: CallCounts = field(default_factory=CallCounts)
    samples: deque[LoadSample] = field(default_factory=deque)
    in_flight: int = 0
    stopping: bool = False


def make_target_store(settings: TargetSettings, now: float) -> TargetStore:
    """Return the state of a target that starts at `now`, in monotonic seconds."""
    calls = {call.name: call for call in settings.calls}
    return TargetStore(settings, calls, Random(settings.seed), now)
