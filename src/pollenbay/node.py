"""The state of one node: everything that its commands change and its queries read."""

from dataclasses import dataclass
from random import Random

from pollenbay.budget import RetryBudget, make_budget
from pollenbay.contexts import Contexts, make_contexts
from pollenbay.gate import Gate, make_gate
from pollenbay.ids import Incarnation
from pollenbay.ledger import Ledger, make_ledger
from pollenbay.link import LinkPool, make_link_pool
from pollenbay.membership import Membership, make_membership
from pollenbay.metrics import Metrics, make_metrics
from pollenbay.rule import DEFAULT_SLOTS
from pollenbay.rulebook import Rulebook, make_rulebook
from pollenbay.score import Scores, make_scores
from pollenbay.settings import Settings
from pollenbay.states import NodeState
from pollenbay.table import Table, make_table
from pollenbay.target import Target, make_target
from pollenbay.timer import Timer, make_timer
from pollenbay.view import Place, View, make_view
from pollenbay.watch import Watch, make_watch


@dataclass(slots=True)
class Node:
    """One node with its parts.

    :param incarnation: this run of the instance.
    :param state: life of the process; `pollenbay.commands.life` changes it.
    """

    settings: Settings
    incarnation: Incarnation
    place: Place
    timer: Timer
    table: Table
    rulebook: Rulebook
    view: View
    target: Target
    gate: Gate
    scores: Scores
    budget: RetryBudget
    contexts: Contexts
    ledger: Ledger
    links: LinkPool
    watch: Watch
    membership: Membership
    metrics: Metrics
    random: Random
    state: NodeState = NodeState.STARTING
    refusing: bool = False
