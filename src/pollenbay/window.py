"""Measurement window of a target, on which decisions about the limit are based."""

from enum import Enum


class Phase(Enum):
    """Purpose of the current window."""

    HOLD = "hold"
    SURGE = "surge"
    LESS = "less"
    MORE = "more"


class Window:
    """Measurements from one time on.

    :param started_at: monotonic seconds.
    :param wanted: number of samples that suffices.
    """

    __slots__ = (
        "started_at",
        "wanted",
        "last_at",
        "occupied_s",
        "expected_s",
        "latency_s",
        "own_s",
        "samples",
        "failures",
        "ends",
        "running",
    )

    def __init__(self, started_at: float, wanted: int) -> None:
        self.started_at = started_at
        self.wanted = wanted
        self.last_at = started_at
        self.occupied_s = 0.0
        self.expected_s = 0.0
        self.latency_s = 0.0
        self.own_s = 0.0
        self.samples = 0
        self.failures = 0
        self.ends = 0
        self.running = 0
