"""A cluster with a few instances of one service, shared by most tests of the promises."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from threading import Event, Thread

from cluster import Cluster, make_cluster
from harness import Processes, control, read_counters, run_log, send, wait_until

from pollenbay.rule import CallRule, ServiceRule
from pollenbay.states import CallClass

CONVERGED_WITHIN_S = 20.0


def call_rule(name: str, call_class: CallClass = CallClass.NORMAL, **more) -> CallRule:
    """Return a rule with a maximum wait of 3 s unless given."""
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


def start_stock_pair(processes: Processes, **more) -> Cluster:
    """Return a cluster with two serving instances of stock."""
    cluster = make_cluster(processes)
    cluster.publish(STOCK)
    for name in ("stock-1", "stock-2"):
        cluster.add(name, "stock", STOCK_CALLS, slots=4, **more)
    wait_until_all_serving(cluster)
    return cluster


def wait_until_all_serving(cluster: Cluster) -> None:
    """Wait until every node reports all instances as serving."""
    for name in cluster.instances:
        wait_until(partial(sees_all_serving, cluster, name), CONVERGED_WITHIN_S)


def sees_all_serving(cluster: Cluster, name: str) -> bool:
    """Return whether all instances are serving in a node's view."""
    states = [member["state"] for member in cluster.members_seen_by(name)]
    return states.count("serving") == len(cluster.instances)


def state_seen_by(cluster: Cluster, name: str, other: str) -> str:
    """Return the state of a member in a node's view."""
    members = {member["instance"]: member["state"] for member in cluster.members_seen_by(name)}
    return members[other]


def serve_only_at(cluster: Cluster, name: str) -> None:
    """Make the targets of all other instances leave, and wait until every view shows it."""
    for other in cluster.instances.values():
        if other.name != name:
            control(other.target, leave=True)
    for observer in cluster.instances:
        for other in cluster.instances:
            if other != name:
                wait_until(partial(_is_not_serving, cluster, observer, other), CONVERGED_WITHIN_S)


def _is_not_serving(cluster: Cluster, observer: str, other: str) -> bool:
    return state_seen_by(cluster, observer, other) != "serving"


def run_counts(cluster: Cluster, name: str) -> dict[str, int]:
    """Return the counters of the calls at a target."""
    return run_log(cluster[name].target)["counts"]


def metric(cluster: Cluster, name: str, line: str) -> float:
    """Return the value of a metric, given by name and labels; 0 if a node does not expose it."""
    text = send(cluster[name].admin_port, "/metrics").body.decode("utf-8")
    values = [each.rpartition(" ")[2] for each in text.splitlines() if each.startswith(line + " ")]
    return float(values[0]) if values else 0.0


def wait_until_connected(proxy) -> None:
    """Wait until a proxy has an open connection."""
    wait_until(lambda: read_counters(proxy)["open"] > 0)


@contextmanager
def in_background(work, *arguments) -> Iterator[Event]:
    """Run `work(stop, ...)` in a thread; on exit, set `stop` and join the thread."""
    stop = Event()
    thread = Thread(target=work, args=(stop, *arguments))
    thread.start()
    try:
        yield stop
    finally:
        stop.set()
        thread.join()
