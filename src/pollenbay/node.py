"""State of one node, which commands change and queries read."""

from dataclasses import dataclass, field
from math import inf
from random import Random

from curio import Event

from pollenbay.adapter import Adapter, AdaptSettings, make_plain_adapter
from pollenbay.bodymemory import BodyMemory, make_body_memory
from pollenbay.budget import RetryBudgets, make_retry_budgets
from pollenbay.contexts import Contexts, make_contexts
from pollenbay.decisions import DecisionLog, make_decision_log
from pollenbay.departures import Departures
from pollenbay.exchange import Exchanges, make_exchanges
from pollenbay.gate import Gate, make_gate
from pollenbay.ids import Incarnation, ServiceName
from pollenbay.ledger import Ledger, make_ledger
from pollenbay.link import LinkPool, make_link_pool
from pollenbay.membership import AdoptRules, Membership, ReadRules, make_membership
from pollenbay.metrics import Metrics, make_metrics
from pollenbay.origins import Origins, make_origins
from pollenbay.rule import DEFAULT_SLOTS
from pollenbay.rulebook import Rulebook, make_rulebook
from pollenbay.saturation import Saturation, make_saturation
from pollenbay.score import Scores, make_scores
from pollenbay.settings import Settings
from pollenbay.states import NodeState
from pollenbay.table import Table
from pollenbay.target import Target, make_target
from pollenbay.throttle import Throttle, make_throttle
from pollenbay.timer import Timer, make_timer
from pollenbay.view import Location, View, make_view
from pollenbay.watch import Watch, make_watch


@dataclass(slots=True)
class Node:
    """One node with its components.

    :param state: life cycle state of the process; changed by `pollenbay.commands.lifecycle`.
    :param decisions: log of decisions on single requests.
    :param adapt: returns settings completed with values derived from the deployment's own, or why
        they are not valid for it.
    :param saturation: admission levels of the local target and of downstream services.
    :param throttle: recorded properties of routes, used to throttle callers' requests.
    :param origins: sources of the requests at the local target.
    :param downstream_called_at: services that the local target calls, with the monotonic seconds of
        the last call.
    :param rejects_new_work: whether new work is rejected because the node is leaving.
    :param stopping_since: monotonic seconds at which a planned stop began; infinite before.
    :param stops_at: monotonic seconds by which a planned stop cancels the calls in progress;
        infinite before a stop begins.
    :param stopping: set when a planned stop was requested.
    """

    settings: Settings
    location: Location
    timer: Timer
    table: Table
    rulebook: Rulebook
    view: View
    target: Target
    gate: Gate
    scores: Scores
    budgets: RetryBudgets
    contexts: Contexts
    ledger: Ledger
    links: LinkPool
    body_memory: BodyMemory
    watch: Watch
    exchanges: Exchanges
    membership: Membership
    metrics: Metrics
    random: Random
    decisions: DecisionLog
    adapt: AdaptSettings
    saturation: Saturation = field(default_factory=make_saturation)
    throttle: Throttle = field(default_factory=make_throttle)
    origins: Origins = field(default_factory=make_origins)
    downstream_called_at: dict[ServiceName, float] = field(default_factory=dict)
    state: NodeState = NodeState.STARTING
    rejects_new_work: bool = False
    stopping_since: float = inf
    stops_at: float = inf
    stopping: Event = field(default_factory=Event)

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.state in (NodeState.DRAINING, NodeState.STOPPED)

    @property
    def departures(self) -> Departures:
        """Return the recent departures of the local target."""
        return self.membership.departures

    @property
    def incarnation(self) -> Incarnation:
        """Return the current incarnation of the instance."""
        return self.membership.incarnation


def make_node(
    settings: Settings,
    link_port: int,
    adopt: AdoptRules,
    read_rules: ReadRules,
    adapter: Adapter | None = None,
) -> Node:
    """Return a node that has not started to serve.

    :param link_port: port on which calls from other nodes are accepted.
    :param adopt: activates rules.
    :param read_rules: reads the rules stored in the table.
    :param adapter: interfaces of the deployment; by default those of this project.
    """
    adapter = adapter or make_plain_adapter(settings.table)
    timer = make_timer()
    table = adapter.table
    rulebook, view = make_rulebook(), make_view()
    membership = make_membership(
        settings, link_port, view, rulebook, table, timer, adopt, read_rules
    )
    body_memory = make_body_memory(settings.limits.memory_mb)
    ledger = make_ledger(table, settings.instance, membership.incarnation, timer)
    node = Node(
        settings=settings,
        location=Location(settings.host, settings.zone, settings.region),
        timer=timer,
        table=table,
        rulebook=rulebook,
        view=view,
        target=make_target(settings.limits.body_bytes, adapter.dialect, body_memory),
        body_memory=body_memory,
        gate=make_gate(DEFAULT_SLOTS, adapter.adaptive_limit),
        scores=make_scores(),
        budgets=make_retry_budgets(adapter.retry_rates, adapter.budget_by_service),
        contexts=make_contexts(),
        ledger=ledger,
        links=make_link_pool(body_memory),
        watch=make_watch(),
        exchanges=make_exchanges(),
        membership=membership,
        metrics=make_metrics(),
        random=Random(),
        decisions=make_decision_log(timer),
        adapt=adapter.adapt,
    )
    _register_counters(node)
    return node


def _register_counters(node: Node) -> None:
    sources = {
        "pollenbay_claims": node.ledger.counts,
        "pollenbay_gossip": node.membership.gossip.counts,
        "pollenbay_traffic": node.membership.traffic,
        "pollenbay_table": node.table.bad_rows,
        "pollenbay_table_service": node.table.counts,
    }
    for prefix, source in sources.items():
        node.metrics.add_counters(prefix, source, _integer_names(source))
    node.metrics.add_counters("pollenbay_watch", node.watch, ("left",))
    node.metrics.add_counters("pollenbay_body_memory", node.body_memory, ("refused", "waited"))


def _integer_names(source: object) -> tuple[str, ...]:
    names = getattr(source, "__slots__", ()) or vars(source)
    return tuple(name for name in names if isinstance(getattr(source, name), int))
