"""Metrics kept as plain numbers and converted to metric families when they are collected.

The instruments of the metrics library take a lock and several calls for each update, on the path of
every request.
"""

from bisect import bisect_left
from collections.abc import Iterator
from itertools import accumulate
from math import inf

from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.registry import Collector
from prometheus_client.utils import floatToGoString

#: Upper bounds of the histogram buckets, from a decision within one process to the longest wait of
#: a route.
SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
BUCKET_BOUND_LABELS = [floatToGoString(bound) for bound in (*SECONDS_BUCKETS, inf)]


class CounterTally(Collector):
    """Counter with labels.

    :param name: name of the metric.
    :param text: help text of the metric.
    :param labels: label names.
    """

    def __init__(self, name: str, text: str, labels: tuple[str, ...]) -> None:
        self._name, self._text, self._labels = name, text, labels
        self._counts: dict[tuple[str, ...], int] = {}

    def add(self, *values: str) -> None:
        """Increment the counter of these label values."""
        self._counts[values] = self._counts.get(values, 0) + 1

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the metric family."""
        family = CounterMetricFamily(self._name, self._text, labels=self._labels)
        for values, count in self._counts.items():
            family.add_metric(values, count)
        yield family


class GaugeTally(Collector):
    """Gauge without labels.

    :param name: name of the metric.
    :param text: help text of the metric.
    """

    def __init__(self, name: str, text: str) -> None:
        self._name, self._text = name, text
        self._value = 0.0

    def set(self, value: float) -> None:
        """Set the value."""
        self._value = value

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the metric family."""
        yield GaugeMetricFamily(self._name, self._text, self._value)


class SecondsTally(Collector):
    """Histogram of durations in seconds, with labels.

    :param name: name of the metric.
    :param text: help text of the metric.
    :param labels: label names.
    """

    def __init__(self, name: str, text: str, labels: tuple[str, ...]) -> None:
        self._name, self._text, self._labels = name, text, labels
        self._counts: dict[tuple[str, ...], list[int]] = {}
        self._sums: dict[tuple[str, ...], float] = {}

    def observe(self, seconds: float, *values: str) -> None:
        """Record a duration under these label values."""
        counts = self._counts.get(values)
        if counts is None:
            counts = self._counts[values] = [0] * len(BUCKET_BOUND_LABELS)
            self._sums[values] = 0.0
        counts[bisect_left(SECONDS_BUCKETS, seconds)] += 1
        self._sums[values] += seconds

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yield the metric family, with cumulative bucket counts."""
        family = HistogramMetricFamily(self._name, self._text, labels=self._labels)
        for values, counts in self._counts.items():
            buckets = list(zip(BUCKET_BOUND_LABELS, accumulate(counts), strict=True))
            family.add_metric(values, buckets, self._sums[values])
        yield family
