"""State of the target stand-in: its runs, the faults in force and what was counted."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from msgspec import Struct

from pollenbay.ids import CallName
from standins.target_settings import CallSettings, TargetSettings


class Faults(Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of a target; what is not named in a request to set them is off.

    :param service_time_factor: factor on the service time.
    :param fail_rate: share of calls that run and are answered with 500.
    :param hang: calls run and are never answered.
    :param cut_short: answers end before their stated length.
    :param foreign: answers are whole but those to another request.
    :param reported_load: load to report whatever the truth; None for the truth.
    :param load_lag_s: age of the load that is reported, in seconds.
    :param silent: no announcements are made.
    :param leave: the target announces that it leaves.
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


class Run(Struct):
    """A call that got a slot and so took effect, at least in part.

    :param started_at: monotonic seconds, the same clock in all processes of a host.
    :param finished: whether its work came to its end.
    """

    call: CallName
    idempotency_key: str | None
    marker: str
    started_at: float
    finished: bool = False


class RunCounts(Struct):
    """What became of the calls.

    :param received: whole requests for a known call that were read.
    :param started: calls that got a slot.
    :param cancelled: calls given up because the client left.
    :param expired: calls given up at their deadline.
    :param shed: calls refused because all slots were taken.
    :param failed: calls answered with 500 by the fault.
    :param calls_failed: calls answered with 502 because one that they made failed.
    :param calls_wrong: answers to own calls that were not whole or not the right one.
    :param announcements_failed: announcements that the node did not take.
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
    """Answer to a question for the runs."""

    runs: list[Run]
    counts: RunCounts


class LoadSample(Struct, frozen=True):
    """Load at one moment, in monotonic seconds."""

    at: float
    in_flight: int


@dataclass(slots=True)
class TargetStore:
    """Everything that a target keeps.

    :param in_flight: calls that hold a slot or wait for one.
    """

    settings: TargetSettings
    calls: dict[CallName, CallSettings]
    random: Random
    started_at: float
    faults: Faults = field(default_factory=Faults)
    runs: list[Run] = field(default_factory=list)
    counts: RunCounts = field(default_factory=RunCounts)
    samples: deque[LoadSample] = field(default_factory=deque)
    in_flight: int = 0
    stopping: bool = False


def make_target_store(settings: TargetSettings, now: float) -> TargetStore:
    """Return the state of a target that starts now."""
    calls = {call.name: call for call in settings.calls}
    return TargetStore(settings, calls, Random(settings.seed), now)
