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
    :param sufficient_samples: number of samples that suffices.
    """

    __slots__ = (
        "started_at",
        "sufficient_samples",
        "last_end_at",
        "occupied_s",
        "expected_s",
        "latency_s",
        "self_time_s",
        "samples",
        "failures",
        "ended_calls",
        "in_flight_sum",
    )

    def __init__(self, started_at: float, sufficient_samples: int) -> None:
        self.started_at = started_at
        self.sufficient_samples = sufficient_samples
        self.last_end_at = started_at
        self.occupied_s = 0.0
        self.expected_s = 0.0
        self.latency_s = 0.0
        self.self_time_s = 0.0
        self.samples = 0
        self.failures = 0
        self.ended_calls = 0
        self.in_flight_sum = 0
