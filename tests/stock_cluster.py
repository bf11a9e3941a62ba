"""A cluster with a few instances of one service, as most tests of the promises need it."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from threading import Event, Thread

from cluster import Cluster, make_cluster
from harness import Processes, control, counts, run_log, send, wait_until

from pollenbay.rule import CallRule, ServiceRule
from pollenbay.states import CallClass

KNOWN_WITHIN_S = 20.0


def call_rule(name: str, call_class: CallClass = CallClass.NORMAL, **more) -> CallRule:
    """Return a rule with a wait of 3 s unless told otherwise."""
    return CallRule(name=name, call_class=call_class, **{"wait_ms": 3000, **more})


STOCK = ServiceRule(
    service="stock",
    slots=4,
    calls=(
        call_rule("read", CallClass.SHEDDABLE),
        call_rule("book", CallClass.CRITICAL, idempotent=False),
    ),
)
STOCK_CALLS = [{"name": "read", "service_ms": 20}, {"name": "book", "service_ms": 20}]


def two_of_stock(processes: Processes, **more) -> Cluster:
    """Return a cluster with two instances of stock that serve."""
    cluster = make_cluster(processes)
    cluster.publish(STOCK)
    for name in ("stock-1", "stock-2"):
        cluster.add(name, "stock", STOCK_CALLS, slots=4, **more)
    wait_until_known(cluster)
    return cluster


def wait_until_known(cluster: Cluster) -> None:
    """Wait until each node sees all instances serve, as told by its administration API."""
    for name in cluster.instances:
        wait_until(partial(sees_all_serving, cluster, name), KNOWN_WITHIN_S)


def sees_all_serving(cluster: Cluster, name: str) -> bool:
    """Tell whether a node believes that all instances serve."""
    states = [member["state"] for member in cluster.members_seen_by(name)]
    return states.count("serving") == len(cluster.instances)


def state_seen_by(cluster: Cluster, name: str, other: str) -> str:
    """Return the state of a member in a node's view."""
    members = {member["instance"]: member["state"] for member in cluster.members_seen_by(name)}
    return members[other]


def serve_only_at(cluster: Cluster, name: str) -> None:
    """Let the targets of all other instances leave, and wait until the nodes know."""
    for other in cluster.instances.values():
        if other.name != name:
            control(other.target, leave=True)
    for asked in cluster.instances:
        for other in cluster.instances:
            if other != name:
                wait_until(partial(_is_out, cluster, asked, other), KNOWN_WITHIN_S)


def _is_out(cluster: Cluster, asked: str, other: str) -> bool:
    return state_seen_by(cluster, asked, other) != "serving"


def run_counts(cluster: Cluster, name: str) -> dict[str, int]:
    """Return what became of the calls at a target."""
    return run_log(cluster[name].target)["counts"]


def metric(cluster: Cluster, name: str, line: str) -> float:
    """Return a metric of a node by its name with labels; 0 if it has not been counted."""
    text = send(cluster[name].admin, "/metrics").body.decode("utf-8")
    values = [each.rpartition(" ")[2] for each in text.splitlines() if each.startswith(line + " ")]
    return float(values[0]) if values else 0.0


def wait_until_connected(proxy) -> None:
    """Wait until a proxy carries a connection."""
    wait_until(lambda: counts(proxy)["open"] > 0)


@contextmanager
def in_background(work, *arguments) -> Iterator[Event]:
    """Run `work(stop, ...)` in a thread; `stop` is set and the thread joined at the end."""
    stop = Event()
    thread = Thread(target=work, args=(stop, *arguments))
    thread.start()
    try:
        yield stop
    finally:
        stop.set()
        thread.join()
