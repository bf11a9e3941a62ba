"""Zones and regions cut from each other, with load on both sides."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from time import monotonic, sleep

import pytest
from cluster import Cluster, make_cluster
from crowd import Crowd, Told, asking, markers_run, told_not_run
from harness import Processes, control, run_log, wait_until
from stock_cluster import STOCK, STOCK_CALLS, call_rule, state_seen_by, wait_until_known
from version_log import VersionLog

from pollenbay.rule import ServiceRule
from pollenbay.states import CallClass

CUT_S = 6.0
BACK_WITHIN_S = 10.0
OUT_WITHIN_S = 5.0
IN_FORCE_WITHIN_S = 5.0
MORE = ServiceRule(
    service="stock", slots=4, calls=(*STOCK.calls, call_rule("count", CallClass.NORMAL))
)


def cut(cluster: Cluster, mode: str, *names: str) -> None:
    """Set a fault at the way to some instances; `pass` ends it."""
    for name in names:
        for proxy in (cluster[name].link_proxy, cluster[name].gossip_proxy):
            control(proxy, mode=mode)


class TestBothWays:
    """Two places with one instance each that lose each other."""

    @pytest.mark.parametrize("region", ["r1", "r2"], ids=["zones", "regions"])
    def test_each_side_goes_on_and_both_come_together(self, tmp_path: Path, region: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = self._start(processes, region)
            with VersionLog(cluster) as log, asking(*self._crowds(cluster)) as told:
                sleep(1)
                cut(cluster, "blackhole", *cluster.instances)
                began_at = monotonic()
                version = cluster.publish(MORE).version
                wait_until(lambda: _all_at(cluster, version), IN_FORCE_WITHIN_S)
                sleep(CUT_S)
                assert _sees_other(cluster, "stock-1") != "serving"
                cut(cluster, "pass", *cluster.instances)
                ended_at = monotonic()
                wait_until(lambda: _both_see(cluster), BACK_WITHIN_S)
                together_s = monotonic() - ended_at
                sleep(1)
            answered_s = _last_failure(told, began_at, ended_at) - began_at
            print(f"\nall answered {answered_s:.2f} s after the cut, together {together_s:.1f} s")
            assert answered_s <= OUT_WITHIN_S
            assert log.falls() == []
            _check(cluster, told)

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
        wait_until_known(cluster)
        return cluster

    def _crowds(self, cluster: Cluster) -> list[Crowd]:
        ports = [instance.callers for instance in cluster.instances.values()]
        return [
            Crowd(ports, ["/stock/read"], callers=4, pause_s=0.01, name="read"),
            Crowd(ports, ["/stock/book"], 3, "POST", key=True, repeats=2, pause_s=0.01, name="b"),
        ]


class TestOneWay:
    """One zone that nothing reaches while it reaches the others."""

    def test_calls_go_elsewhere(self, tmp_path: Path) -> None:
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
            wait_until_known(cluster)
            crowd = Crowd([cluster["routes-1"].callers], ["/stock/read"], 4, pause_s=0.01)
            with asking(crowd) as told:
                sleep(1)
                cut(cluster, "blackhole", "stock-1")
                began_at = monotonic()
                sleep(CUT_S)
                cut(cluster, "pass", "stock-1")
                ended_at = monotonic()
                sleep(1)
            answered_s = _last_failure(told, began_at, ended_at) - began_at
            print(f"\nall answered {answered_s:.2f} s after the cut")
            assert answered_s <= OUT_WITHIN_S
            _check(cluster, told)


def _check(cluster: Cluster, told: list[Told]) -> None:
    """Check the promises that hold whatever fails."""
    assert [each for each in told if each.answered and not each.whole] == []
    ran = markers_run(cluster.targets)
    assert [marker for marker in told_not_run(told) if marker in ran] == []
    runs = [run for target in cluster.targets for run in run_log(target)["runs"]]
    keyed = Counter(run["idempotency_key"] for run in runs if run["idempotency_key"] is not None)
    assert [key for key, count in keyed.items() if count > 1] == []


def _last_failure(told: list[Told], since: float, until: float) -> float:
    """Return when the last call that was not answered began between two moments."""
    failed = [each.began_at for each in told if not each.answered]
    return max((at for at in failed if since <= at < until), default=since)


def _all_at(cluster: Cluster, version: int) -> bool:
    return {cluster.rule_version_of(name) for name in cluster.instances} == {version}


def _sees_other(cluster: Cluster, name: str) -> str:
    other = next(each for each in cluster.instances if each != name)
    return state_seen_by(cluster, name, other)


def _both_see(cluster: Cluster) -> bool:
    return all(_sees_other(cluster, name) == "serving" for name in cluster.instances)
