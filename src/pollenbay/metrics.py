"""Counters and histograms of a node; label values are bounded by construction."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from prometheus_client import CollectorRegistry
from prometheus_client.metrics_core import CounterMetricFamily
from prometheus_client.registry import Collector

from pollenbay.ids import CallerId
from pollenbay.outcome import OUTCOME_NAMES, Outcome
from pollenbay.states import CallClass, Reason
from pollenbay.tally import CounterTally, GaugeTally, SecondsTally

CALLER_LABELS_MAX = 50
OTHER_CALLERS = "other"
#: Class label of a call that no rule names.
NO_CLASS = "none"


class Kind(Enum):
    """What an instrument does."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True, eq=False)
class Instrument:
    """Description of one instrument, each one its own key."""

    name: str
    kind: Kind
    text: str
    labels: tuple[str, ...] = ()


CALL_SECONDS = Instrument(
    "pollenbay_call_seconds",
    Kind.HISTOGRAM,
    "Seconds from a request's arrival to its outcome, by class and outcome.",
    ("call_class", "outcome"),
)
CALLER_SECONDS = Instrument(
    "pollenbay_caller_seconds",
    Kind.HISTOGRAM,
    "Seconds from a request's arrival to its outcome, by caller.",
    ("caller",),
)
QUEUE_SECONDS = Instrument(
    "pollenbay_queue_seconds",
    Kind.HISTOGRAM,
    "Seconds that a call waited for a slot of the target, by class.",
    ("call_class",),
)
TARGET_SECONDS = Instrument(
    "pollenbay_target_seconds",
    Kind.HISTOGRAM,
    "Seconds that the target took, by class.",
    ("call_class",),
)
REFUSED = Instrument(
    "pollenbay_refused",
    Kind.COUNTER,
    "Calls not run, by class and reason.",
    ("call_class", "reason"),
)
UNKNOWN_OUTCOMES = Instrument(
    "pollenbay_unknown", Kind.COUNTER, "Calls of unknown outcome, by reason.", ("reason",)
)
ATTEMPTS = Instrument(
    "pollenbay_attempts",
    Kind.COUNTER,
    "Attempts made, first ones and retries, by class.",
    ("call_class", "kind"),
)
BAD_INPUT = Instrument(
    "pollenbay_bad_input", Kind.COUNTER, "Input that broke a protocol, by source.", ("source",)
)
STATE_CHANGES = Instrument(
    "pollenbay_state_changes", Kind.COUNTER, "Changes of state of node and target.", ("state",)
)
IN_FLIGHT = Instrument("pollenbay_in_flight", Kind.GAUGE, "Calls that the target is running.")
LIMIT = Instrument("pollenbay_limit", Kind.GAUGE, "Calls that the target may run at once.")
QUEUED = Instrument("pollenbay_queued", Kind.GAUGE, "Calls that wait for a slot.")
RULE_VERSION = Instrument("pollenbay_rule_version", Kind.GAUGE, "Rule version in force.")
MEMBERS = Instrument("pollenbay_members", Kind.GAUGE, "Instances in view.")
INSTRUMENTS = (
    CALL_SECONDS,
    CALLER_SECONDS,
    QUEUE_SECONDS,
    TARGET_SECONDS,
    REFUSED,
    UNKNOWN_OUTCOMES,
    ATTEMPTS,
    BAD_INPUT,
    STATE_CHANGES,
    IN_FLIGHT,
    LIMIT,
    QUEUED,
    RULE_VERSION,
    MEMBERS,
)


class Counts(Collector):
    """Offers plain integer attributes of a part as counters.

    :param prefix: start of the names.
    :param part: object whose integer attributes only grow.
    :param names: the attributes.
    """

    def __init__(self, prefix: str, part: object, names: tuple[str, ...]) -> None:
        self._prefix = prefix
        self._part = part
        self._names = names

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield one counter for each attribute."""
        for name in self._names:
            text = f"{name.replace('_', ' ').capitalize()}, since the start."
            yield CounterMetricFamily(f"{self._prefix}_{name}", text, getattr(self._part, name))


class Metrics:
    """All instruments of one node in a registry of its own.

    Callers past the first `CALLER_LABELS_MAX` share one label.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._callers: set[CallerId] = set()
        self._tallies = {each: _make(each, self._registry) for each in INSTRUMENTS}

    @property
    def registry(self) -> CollectorRegistry:
        """Return the registry that holds the instruments."""
        return self._registry

    def set_gauge(self, instrument: Instrument, value: float) -> None:
        """Set a gauge."""
        self._tallies[instrument].set(value)

    def add_counts(self, prefix: str, part: object, names: tuple[str, ...]) -> None:
        """Offer integer attributes of a part as counters."""
        self._registry.register(Counts(prefix, part, names))

    def note_call(self, call_class: CallClass | None, outcome: Outcome, seconds: float) -> None:
        """Count a request that entered here and has its outcome."""
        name = OUTCOME_NAMES[type(outcome)]
        self._tallies[CALL_SECONDS].observe(seconds, _class_label(call_class), name)

    def note_caller(self, caller: CallerId, seconds: float) -> None:
        """Count a request of a caller."""
        self._tallies[CALLER_SECONDS].observe(seconds, self._caller_label(caller))

    def note_refusal(self, call_class: CallClass | None, reason: Reason) -> None:
        """Count a call that was not run."""
        self._tallies[REFUSED].add(_class_label(call_class), reason.value)

    def note_unknown(self, reason: Reason) -> None:
        """Count a call of unknown outcome."""
        self._tallies[UNKNOWN_OUTCOMES].add(reason.value)

    def note_attempt(self, call_class: CallClass, retry: bool) -> None:
        """Count an attempt, first or repeated."""
        self._tallies[ATTEMPTS].add(call_class.value, "retry" if retry else "first")

    def note_queue(self, call_class: CallClass, seconds: float) -> None:
        """Count a wait for a slot."""
        self._tallies[QUEUE_SECONDS].observe(seconds, call_class.value)

    def note_target(self, call_class: CallClass, seconds: float) -> None:
        """Count a call that the target has run."""
        self._tallies[TARGET_SECONDS].observe(seconds, call_class.value)

    def note_bad_input(self, source: str) -> None:
        """Count input that broke a protocol.

        :param source: which listener or peer it came from, one of few fixed names.
        """
        self._tallies[BAD_INPUT].add(source)

    def note_state(self, state: str) -> None:
        """Count a change of the node's state."""
        self._tallies[STATE_CHANGES].add(state)

    def _caller_label(self, caller: CallerId) -> str:
        if caller in self._callers:
            return caller
        if len(self._callers) >= CALLER_LABELS_MAX:
            return OTHER_CALLERS
        self._callers.add(caller)
        return caller


def make_metrics() -> Metrics:
    """Return instruments that have counted nothing."""
    return Metrics()


def _make(
    instrument: Instrument, registry: CollectorRegistry
) -> CounterTally | GaugeTally | SecondsTally:
    tally = _make_tally(instrument)
    registry.register(tally)
    return tally


def _make_tally(instrument: Instrument) -> CounterTally | GaugeTally | SecondsTally:
    if instrument.kind is Kind.HISTOGRAM:
        return SecondsTally(instrument.name, instrument.text, instrument.labels)
    if instrument.kind is Kind.COUNTER:
        return CounterTally(instrument.name, instrument.text, instrument.labels)
    return GaugeTally(instrument.name, instrument.text)


def _class_label(call_class: CallClass | None) -> str:
    return NO_CLASS if call_class is None else call_class.value
