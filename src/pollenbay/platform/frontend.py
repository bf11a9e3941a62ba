"""Entry points of the adapter: the adapter object and the tasks that serve the platform's ports."""

from collections.abc import Awaitable
from functools import partial

from curio.io import Socket

from pollenbay.adapter import Adapter
from pollenbay.budget import RetryRates
from pollenbay.callerfrontend import make_caller_connections
from pollenbay.commands.descriptors import free_descriptors
from pollenbay.node import Node
from pollenbay.platform.checkins import make_check_ins, serve_check_ins, serve_readiness
from pollenbay.platform.instance import make_instance_dialect
from pollenbay.platform.requests import serve_client
from pollenbay.platform.settings import (
    PlatformSettings,
    adapt_settings,
    read_bounds,
    read_endpoint,
)
from pollenbay.platform.store import make_store_table, run_rule_feed
from pollenbay.stream import accept_streams, listen

#: Ratio of the allowed retry budget that one node uses, since retries multiply along a chain four
#: calls deep.
NODE_BUDGET_RATIO = 0.25
#: Maximum retry tokens that a node saves for one class of one service; low, since many nodes may
#: spend theirs at once.
RETRY_BURST_TOKENS = 1.0
#: Retry tokens that a node earns each second for one class of one service.
RETRY_TOKENS_PER_S = 0.02
#: Ratio of the time after a disruption in which a node has to be up to date for which the store
#: holds the feed requests that have to notice the disruption.
SENTINEL_HOLD_RATIO = 0.5
MS_PER_S = 1000.0


def make_platform_adapter(settings: PlatformSettings) -> Adapter:
    """Return the adapter for the platform's store and instances, with its retry rates."""
    bounds = read_bounds(settings)
    retry_rates = RetryRates(
        bounds.retry_budget_ratio * NODE_BUDGET_RATIO, RETRY_TOKENS_PER_S, RETRY_BURST_TOKENS
    )
    return Adapter(
        table=make_store_table(read_endpoint(settings.store)),
        dialect=make_instance_dialect(),
        retry_rates=retry_rates,
        budget_by_service=True,
        adaptive_limit=False,
        run_rule_sync=partial(run_rule_feed, bounds.contact_ms / MS_PER_S * SENTINEL_HOLD_RATIO),
        adapt=adapt_settings,
    )


def platform_tasks(node: Node, settings: PlatformSettings) -> list[Awaitable[None]]:
    """Return the tasks that serve requests, check-ins and readiness probes."""
    check_ins = make_check_ins(read_endpoint(settings.target), node.timer, node.departures)
    ports = (
        (settings.requests, partial(make_caller_connections().serve, node, serve_client)),
        (settings.check_ins, partial(serve_check_ins, check_ins, node)),
        (settings.readiness, partial(serve_readiness, node)),
    )
    make_room = partial(free_descriptors, node)
    return [accept_streams(_listen(text), serve, make_room) for text, serve in ports]


def _listen(text: str) -> Socket:
    endpoint = read_endpoint(text)
    return listen(endpoint.address, endpoint.port)
