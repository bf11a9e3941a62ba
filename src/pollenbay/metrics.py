"""Counters and histograms of a node; label values are bounded by construction."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from pollenbay.ids import CallerId
from pollenbay.states import CallClass, Reason

CALLER_LABELS_MAX = 50
OTHER_CALLERS = "other"
SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
#: Class label of a call that no rule names.
NO_CLASS = "none"


class Metrics:
    """All instruments of one node in a registry of its own.

    Callers past the first `CALLER_LABELS_MAX` share one label.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._callers: set[CallerId] = set()
        self._class_seconds = Histogram(
            "pollenbay_call_seconds",
            "Seconds from a request's arrival to its outcome, by class and outcome.",
            ["call_class", "outcome"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._caller_seconds = Histogram(
            "pollenbay_caller_seconds",
            "Seconds from a request's arrival to its outcome, by caller.",
            ["caller"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._queue_seconds = Histogram(
            "pollenbay_queue_seconds",
            "Seconds that a call waited for a slot of the target, by class.",
            ["call_class"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._target_seconds = Histogram(
            "pollenbay_target_seconds",
            "Seconds that the target took, by class.",
            ["call_class"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._refused = self._counter(
            "pollenbay_refused_total", "Calls not run, by class and reason.", "call_class", "reason"
        )
        self._unknown = self._counter(
            "pollenbay_unknown_total", "Calls of unknown outcome, by reason.", "reason"
        )
        self._attempts = self._counter(
            "pollenbay_attempts_total", "Attempts made, by class and kind.", "call_class", "kind"
        )
        self._bad_input = self._counter(
            "pollenbay_bad_input_total", "Input that broke a protocol, by source.", "source"
        )
        self._state_changes = self._counter(
            "pollenbay_state_changes_total", "Changes of state of the node, by state.", "state"
        )
        self._in_flight = self._gauge("pollenbay_in_flight", "Calls that the target is running.")
        self._limit = self._gauge("pollenbay_limit", "Calls that the target may run at once.")
        self._queued = self._gauge("pollenbay_queued", "Calls that wait for a slot.")
        self._rule_version = self._gauge("pollenbay_rule_version", "Rule version in force.")
        self._members = self._gauge("pollenbay_members", "Instances in view.")

    @property
    def registry(self) -> CollectorRegistry:
        """Return the registry that holds the instruments."""
        return self._registry

    @property
    def in_flight(self) -> Gauge:
        """Return the gauge of calls that the target is running."""
        return self._in_flight

    @property
    def limit(self) -> Gauge:
        """Return the gauge of the concurrency limit."""
        return self._limit

    @property
    def queued(self) -> Gauge:
        """Return the gauge of calls that wait."""
        return self._queued

    @property
    def rule_version(self) -> Gauge:
        """Return the gauge of the rule version in force."""
        return self._rule_version

    @property
    def members(self) -> Gauge:
        """Return the gauge of instances in view."""
        return self._members

    def note_call(
        self, call_class: CallClass | None, outcome: str, caller: CallerId, seconds: float
    ) -> None:
        """Count a request that entered here and has its outcome."""
        self._class_seconds.labels(_class_label(call_class), outcome).observe(seconds)
        self._caller_seconds.labels(self._caller_label(caller)).observe(seconds)

    def note_refusal(self, call_class: CallClass | None, reason: Reason) -> None:
        """Count a call that was not run."""
        self._refused.labels(_class_label(call_class), reason.value).inc()

    def note_unknown(self, reason: Reason) -> None:
        """Count a call of unknown outcome."""
        self._unknown.labels(reason.value).inc()

    def note_attempt(self, call_class: CallClass, retry: bool) -> None:
        """Count an attempt, first or repeated."""
        self._attempts.labels(call_class.value, "retry" if retry else "first").inc()

    def note_queue(self, call_class: CallClass, seconds: float) -> None:
        """Count a wait for a slot."""
        self._queue_seconds.labels(call_class.value).observe(seconds)

    def note_target(self, call_class: CallClass, seconds: float) -> None:
        """Count a call that the target has run."""
        self._target_seconds.labels(call_class.value).observe(seconds)

    def note_bad_input(self, source: str) -> None:
        """Count input that broke a protocol.

        :param source: which listener or peer it came from, one of few fixed names.
        """
        self._bad_input.labels(source).inc()

    def note_state(self, state: str) -> None:
        """Count a change of the node's state."""
        self._state_changes.labels(state).inc()

    def _caller_label(self, caller: CallerId) -> str:
        if caller in self._callers:
            return caller
        if len(self._callers) >= CALLER_LABELS_MAX:
            return OTHER_CALLERS
        self._callers.add(caller)
        return caller

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self._registry)


def make_metrics() -> Metrics:
    """Return instruments that have counted nothing."""
    return Metrics()


def _class_label(call_class: CallClass | None) -> str:
    return NO_CLASS if call_class is None else call_class.value
