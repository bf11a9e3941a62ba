"""Health, readiness and metrics of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct
from prometheus_client import generate_latest

from pollenbay.queries.dispatch import answer
from pollenbay.states import NodeState

if TYPE_CHECKING:
    from pollenbay.node import Node


class ShowHealth(Struct, frozen=True):
    """Query: whether the node responds. The result is `Health`."""


class ShowReadiness(Struct, frozen=True):
    """Query: whether the node accepts calls. The result is `Readiness`."""


class ShowMetrics(Struct, frozen=True):
    """Query: the metrics of the node. The result is `MetricsText`."""


class Health(Struct, frozen=True):
    """State of a node that responds."""

    state: NodeState


class Readiness(Struct, frozen=True):
    """Whether a node accepts calls."""

    ready: bool
    state: NodeState


class MetricsText(Struct, frozen=True):
    """Counters, gauges and histograms in the Prometheus text format."""

    text: bytes


@answer.register(ShowHealth)
async def _show_health(query: ShowHealth, node: Node) -> Health:
    return Health(node.state)


@answer.register(ShowReadiness)
async def _show_readiness(query: ShowReadiness, node: Node) -> Readiness:
    return Readiness(node.state is NodeState.SERVING, node.state)


@answer.register(ShowMetrics)
async def _show_metrics(query: ShowMetrics, node: Node) -> MetricsText:
    return MetricsText(generate_latest(node.metrics.registry))
