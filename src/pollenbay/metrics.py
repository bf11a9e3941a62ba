"""Metrics of a node; the number of label values is bounded by construction."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from prometheus_client import CollectorRegistry
from prometheus_client.metrics_core import CounterMetricFamily
from prometheus_client.registry import Collector

from pollenbay.ids import CallerId
from pollenbay.outcome import OUTCOME_NAMES, Outcome
from pollenbay.states import CallClass, CallStage, Reason
from pollenbay.tally import CounterTally, GaugeTally, SecondsTally

CALLER_LABELS_MAX = 50
OTHER_CALLERS_LABEL = "other"
#: Class label of a call without a rule.
NO_CLASS_LABEL = "none"


class InstrumentKind(Enum):
    """Type of an instrument."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True, eq=False)
class Instrument:
    """Description of one instrument; compared by identity, so that it can serve as a key."""

    name: str
    kind: InstrumentKind
    text: str
    labels: tuple[str, ...] = ()


CALL_SECONDS = Instrument(
    "pollenbay_call_seconds",
    InstrumentKind.HISTOGRAM,
    "Seconds from a request's arrival to its outcome, by class and outcome.",
    ("call_class", "outcome"),
)
CALLER_SECONDS = Instrument(
    "pollenbay_caller_seconds",
    InstrumentKind.HISTOGRAM,
    "Seconds from a request's arrival to its outcome, by caller.",
    ("caller",),
)
QUEUE_SECONDS = Instrument(
    "pollenbay_queue_seconds",
    InstrumentKind.HISTOGRAM,
    "Seconds that a call waited for a slot of the target, by class.",
    ("call_class",),
)
TARGET_SECONDS = Instrument(
    "pollenbay_target_seconds",
    InstrumentKind.HISTOGRAM,
    "Seconds that the target took, by class.",
    ("call_class",),
)
REFUSED = Instrument(
    "pollenbay_refused",
    InstrumentKind.COUNTER,
    "Calls not run, by class and reason.",
    ("call_class", "reason"),
)
UNKNOWN_OUTCOMES = Instrument(
    "pollenbay_unknown", InstrumentKind.COUNTER, "Calls of unknown outcome, by reason.", ("reason",)
)
ATTEMPTS = Instrument(
    "pollenbay_attempts",
    InstrumentKind.COUNTER,
    "Attempts made, first ones and retries, by class.",
    ("call_class", "kind"),
)
BAD_INPUT = Instrument(
    "pollenbay_bad_input",
    InstrumentKind.COUNTER,
    "Input that broke a protocol, by source.",
    ("source",),
)
STATE_CHANGES = Instrument(
    "pollenbay_state_changes",
    InstrumentKind.COUNTER,
    "State changes of the node and the target.",
    ("state",),
)
CUT_CALLS = Instrument(
    "pollenbay_cut_calls",
    InstrumentKind.COUNTER,
    "Calls cut by the end of a planned stop, by how far they had got.",
    ("stage",),
)
NO_DESCRIPTOR = Instrument(
    "pollenbay_no_descriptor",
    InstrumentKind.COUNTER,
    "Attempts to accept a connection that found no descriptor.",
)
IN_FLIGHT = Instrument(
    "pollenbay_in_flight", InstrumentKind.GAUGE, "Calls that the target is running."
)
LIMIT = Instrument(
    "pollenbay_limit", InstrumentKind.GAUGE, "Calls that the target may run at once."
)
QUEUED = Instrument("pollenbay_queued", InstrumentKind.GAUGE, "Calls that wait for a slot.")
OPEN_EXCHANGES = Instrument(
    "pollenbay_open_exchanges",
    InstrumentKind.GAUGE,
    "Requests that were read and whose response has not been sent completely.",
)
RULE_VERSION = Instrument("pollenbay_rule_version", InstrumentKind.GAUGE, "Active rule version.")
IDLE_LINKS = Instrument(
    "pollenbay_idle_links", InstrumentKind.GAUGE, "Links to other nodes that carry no call."
)
MEMBERS = Instrument("pollenbay_members", InstrumentKind.GAUGE, "Instances in the view.")
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
    CUT_CALLS,
    NO_DESCRIPTOR,
    IN_FLIGHT,
    LIMIT,
    QUEUED,
    OPEN_EXCHANGES,
    RULE_VERSION,
    IDLE_LINKS,
    MEMBERS,
)


class AttributeCounters(Collector):
    """Exports integer attributes of an object as counters.

    :param prefix: prefix of the counter names.
    :param source: object whose integer attributes only increase.
    :param names: names of the attributes.
    """

    def __init__(self, prefix: str, source: object, names: tuple[str, ...]) -> None:
        self._prefix = prefix
        self._source = source
        self._names = names

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield one counter for each attribute."""
        for name in self._names:
            text = f"{name.replace('_', ' ').capitalize()}, since the start."
            yield CounterMetricFamily(f"{self._prefix}_{name}", text, getattr(self._source, name))


class Metrics:
    """All instruments of one node, in a separate registry.

    Callers after the first `CALLER_LABELS_MAX` share one label.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._callers: set[CallerId] = set()
        self._tallies = {each: _register_tally(each, self._registry) for each in INSTRUMENTS}

    @property
    def registry(self) -> CollectorRegistry:
        """Return the registry that holds the instruments."""
        return self._registry

    def set_gauge(self, instrument: Instrument, value: float) -> None:
        """Set a gauge to a value."""
        self._tallies[instrument].set(value)

    def add_counters(self, prefix: str, source: object, names: tuple[str, ...]) -> None:
        """Export integer attributes of an object as counters."""
        self._registry.register(AttributeCounters(prefix, source, names))

    def record_call(self, call_class: CallClass | None, outcome: Outcome, seconds: float) -> None:
        """Record the outcome and the duration of a request that entered at this node.

        :param call_class: None if no rule names the call.
        """
        name = OUTCOME_NAMES[type(outcome)]
        self._tallies[CALL_SECONDS].observe(seconds, _class_label(call_class), name)

    def record_caller(self, caller: CallerId, seconds: float) -> None:
        """Record the duration of a request of a caller."""
        self._tallies[CALLER_SECONDS].observe(seconds, self._caller_label(caller))

    def record_refusal(self, call_class: CallClass | None, reason: Reason) -> None:
        """Record a call that was not run."""
        self._tallies[REFUSED].add(_class_label(call_class), reason.value)

    def record_unknown(self, reason: Reason) -> None:
        """Record a call of unknown outcome."""
        self._tallies[UNKNOWN_OUTCOMES].add(reason.value)

    def record_attempt(self, call_class: CallClass, retry: bool) -> None:
        """Record an attempt, either a first one or a retry."""
        self._tallies[ATTEMPTS].add(call_class.value, "retry" if retry else "first")

    def record_queue_wait(self, call_class: CallClass, seconds: float) -> None:
        """Record the seconds for which a call waited for a slot."""
        self._tallies[QUEUE_SECONDS].observe(seconds, call_class.value)

    def record_target_call(self, call_class: CallClass, seconds: float) -> None:
        """Record the seconds that the target took for a call."""
        self._tallies[TARGET_SECONDS].observe(seconds, call_class.value)

    def record_bad_input(self, source: str) -> None:
        """Record input that broke a protocol.

        :param source: listener or kind of peer that it came from; one of a few fixed names, since
            it becomes a label.
        """
        self._tallies[BAD_INPUT].add(source)

    def record_state_change(self, state: str) -> None:
        """Record a state change of the node or the target."""
        self._tallies[STATE_CHANGES].add(state)

    def record_cut_call(self, stage: CallStage) -> None:
        """Record a call that the end of a planned stop has cut."""
        self._tallies[CUT_CALLS].add(stage.value)

    def record_no_descriptor(self) -> None:
        """Record an attempt to accept a connection that found no descriptor."""
        self._tallies[NO_DESCRIPTOR].add()

    def _caller_label(self, caller: CallerId) -> str:
        if caller in self._callers:
            return caller
        if len(self._callers) >= CALLER_LABELS_MAX:
            return OTHER_CALLERS_LABEL
        self._callers.add(caller)
        return caller


def make_metrics() -> Metrics:
    """Return instruments in a new registry, all at zero."""
    return Metrics()


def _register_tally(
    instrument: Instrument, registry: CollectorRegistry
) -> CounterTally | GaugeTally | SecondsTally:
    tally = _make_tally(instrument)
    registry.register(tally)
    return tally


def _make_tally(instrument: Instrument) -> CounterTally | GaugeTally | SecondsTally:
    if instrument.kind is InstrumentKind.HISTOGRAM:
        return SecondsTally(instrument.name, instrument.text, instrument.labels)
    if instrument.kind is InstrumentKind.COUNTER:
        return CounterTally(instrument.name, instrument.text, instrument.labels)
    return GaugeTally(instrument.name, instrument.text)


def _class_label(call_class: CallClass | None) -> str:
    return NO_CLASS_LABEL if call_class is None else call_class.value
