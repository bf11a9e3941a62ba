"""Network partitions between zones and between regions, with load on both sides."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from time import monotonic, sleep

import pytest
from cluster import Cluster, make_cluster
from harness import Processes, control, run_log, wait_until
from load_clients import CallResult, LoadClients, markers_not_run, running_load, runs_by_marker
from stock_cluster import STOCK, STOCK_CALLS, call_rule, state_seen_by, wait_until_all_serving
from version_log import VersionLog

from pollenbay.rule import ServiceRule
from pollenbay.states import CallClass

PARTITION_S = 6.0
MERGED_WITHIN_S = 10.0
ANSWERED_WITHIN_S = 5.0
ACTIVE_WITHIN_S = 5.0
EXTENDED_STOCK = ServiceRule(
    service="stock", slots=4, calls=(*STOCK.calls, call_rule("count", CallClass.NORMAL))
)


def set_proxy_mode(cluster: Cluster, mode: str, *names: str) -> None:
    """Set a fault on the links and gossip to some instances; `pass` clears it."""
    for name in names:
        for proxy in (cluster[name].link_proxy, cluster[name].gossip_proxy):
            control(proxy, mode=mode)


class TestTwoWayPartition:
    """Two zones or regions, one instance each, without traffic in either direction."""

    @pytest.mark.parametrize("region", ["r1", "r2"], ids=["zones", "regions"])
    def test_both_sides_serve_and_their_views_merge(self, tmp_path: Path, region: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = self._start(processes, region)
            with VersionLog(cluster) as log, running_load(*self._load(cluster)) as results:
                sleep(1)
                set_proxy_mode(cluster, "blackhole", *cluster.instances)
                began_at = monotonic()
                version = cluster.publish(EXTENDED_STOCK).version
                wait_until(lambda: _all_run_version(cluster, version), ACTIVE_WITHIN_S)
                sleep(PARTITION_S)
                assert _peer_state_seen_by(cluster, "stock-1") != "serving"
                set_proxy_mode(cluster, "pass", *cluster.instances)
                ended_at = monotonic()
                wait_until(lambda: _both_see_serving(cluster), MERGED_WITHIN_S)
                merged_s = monotonic() - ended_at
                sleep(1)
            answered_s = _last_failure(results, began_at, ended_at) - began_at
            print(f"\nall answered {answered_s:.2f} s after the partition, merged {merged_s:.1f} s")
            assert answered_s <= ANSWERED_WITHIN_S
            assert log.decreases() == []
            _check(cluster, results)

    def _start(self, processes: Processes, region: str) -> Cluster:
        cluster = make_cluster(processes)
        cluster.publish(STOCK)
        cluster.add("stock-1", "stock", STOCK_CALLS, slots=4, proxied=True)
        cluster.add(
            "stock-2",
            "stock",
            STOCK_CALLS,
            zone="z2",
            slots=4,
            node={"region": region},
            proxied=True,
        )
        wait_until_all_serving(cluster)
        return cluster

    def _load(self, cluster: Cluster) -> list[LoadClients]:
        ports = [instance.caller_port for instance in cluster.instances.values()]
        return [
            LoadClients(ports, ["/stock/read"], callers=4, pause_s=0.01, name="read"),
            LoadClients(
                ports, ["/stock/book"], 3, "POST", key=True, repeats=2, pause_s=0.01, name="b"
            ),
        ]


class TestOneWayPartition:
    """One zone that receives no traffic but can still send."""

    def test_calls_are_routed_to_the_reachable_zone(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = make_cluster(processes)
            cluster.publish(STOCK, ServiceRule(service="routes", calls=()))
            cluster.add("routes-1", "routes", [], proxied=True)
            for number in (1, 2):
                cluster.add(
                    f"stock-{number}",
                    "stock",
                    STOCK_CALLS,
                    zone=f"z{number}",
                    slots=4,
                    proxied=True,
                )
            wait_until_all_serving(cluster)
            clients = LoadClients(
                [cluster["routes-1"].caller_port], ["/stock/read"], 4, pause_s=0.01
            )
            with running_load(clients) as results:
                sleep(1)
                set_proxy_mode(cluster, "blackhole", "stock-1")
                began_at = monotonic()
                sleep(PARTITION_S)
                set_proxy_mode(cluster, "pass", "stock-1")
                ended_at = monotonic()
                sleep(1)
            answered_s = _last_failure(results, began_at, ended_at) - began_at
            print(f"\nall answered {answered_s:.2f} s after the partition")
            assert answered_s <= ANSWERED_WITHIN_S
            _check(cluster, results)


def _check(cluster: Cluster, results: list[CallResult]) -> None:
    """Check the promises that hold under any fault."""
    assert [each for each in results if each.answered and not each.complete] == []
    run_counts = runs_by_marker(cluster.targets)
    assert [marker for marker in markers_not_run(results) if marker in run_counts] == []
    runs = [run for target in cluster.targets for run in run_log(target)["runs"]]
    keyed = Counter(run["idempotency_key"] for run in runs if run["idempotency_key"] is not None)
    assert [key for key, count in keyed.items() if count > 1] == []


def _last_failure(results: list[CallResult], since: float, until: float) -> float:
    """Return the start time of the last failed call within [since, until), or `since`."""
    failed = [each.started_at for each in results if not each.answered]
    return max((at for at in failed if since <= at < until), default=since)


def _all_run_version(cluster: Cluster, version: int) -> bool:
    return {cluster.rule_version_of(name) for name in cluster.instances} == {version}


def _peer_state_seen_by(cluster: Cluster, name: str) -> str:
    other = next(each for each in cluster.instances if each != name)
    return state_seen_by(cluster, name, other)


def _both_see_serving(cluster: Cluster) -> bool:
    return all(_peer_state_seen_by(cluster, name) == "serving" for name in cluster.instances)
