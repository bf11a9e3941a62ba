"""Hosts that die under load: how soon calls are all answered again, and no promise broken."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from time import monotonic, sleep

import pytest
from cluster import Cluster, Instance
from crowd import Crowd, Told, asking, markers_run, told_not_run
from harness import Processes, control, wait_until
from stock_cluster import STOCK_CALLS, state_seen_by, two_of_stock, wait_until_known

OUT_WITHIN_S = 5.0
DEAD_WITHIN_S = 5.0
LOAD_BEFORE_S = 1.0
LOAD_AFTER_S = 6.5


def kill_node(instance: Instance) -> None:
    """End the node; its target is left alone."""
    instance.node.kill()


def kill_target(instance: Instance) -> None:
    """End the target; its node goes on."""
    instance.target.kill()


def kill_host(instance: Instance) -> None:
    """End both."""
    instance.node.kill()
    instance.target.kill()


def lose_host(instance: Instance) -> None:
    """Let everything that is sent to the host vanish, as when its power is gone."""
    for proxy in (instance.link_proxy, instance.gossip_proxy):
        control(proxy, mode="blackhole")
    instance.node.kill()


LONG_ENDS = [pytest.param(end, marks=pytest.mark.long) for end in (kill_node, kill_target)]


class TestDeath:
    """The end of a host without notice."""

    @pytest.mark.parametrize("end", LONG_ENDS + [kill_host, lose_host])
    def test_calls_are_all_answered_again(
        self, tmp_path: Path, end: Callable[[Instance], None]
    ) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            survivors = [cluster["stock-1"].target]
            with asking(*load_on(cluster["stock-1"].callers)) as told:
                sleep(LOAD_BEFORE_S)
                ended_at = monotonic()
                end(cluster["stock-2"])
                sleep(LOAD_AFTER_S)
            answered_s = seconds_until_all_answered(told, ended_at)
            print(f"\n{end.__name__}: all answered again after {answered_s:.2f} s")
            assert answered_s <= OUT_WITHIN_S
            assert [each for each in told if each.answered and not each.whole] == []
            ran = markers_run(survivors)
            assert [marker for marker in told_not_run(told) if marker in ran] == []

    def test_dead_host_is_out_of_the_view(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            cluster.add("stock-3", "stock", STOCK_CALLS, slots=4)
            wait_until_known(cluster)
            cluster["stock-2"].node.kill()
            sleep(OUT_WITHIN_S)
            states = {state_seen_by(cluster, name, "stock-2") for name in ("stock-1", "stock-3")}
            assert states <= {"dead", "suspect"}
            for name in ("stock-1", "stock-3"):
                wait_until(partial(_sees_dead, cluster, name), DEAD_WITHIN_S)


def load_on(port: int) -> list[Crowd]:
    """Return callers that ask for lookups and bookings."""
    return [
        Crowd([port], ["/stock/read"], callers=4, pause_s=0.01, name="read"),
        Crowd([port], ["/stock/book"], 2, method="POST", key=True, pause_s=0.01, name="book"),
    ]


def seconds_until_all_answered(told: list[Told], since: float) -> float:
    """Return when the last call that was not answered began, in seconds after a moment."""
    failed = [each.began_at for each in told if each.began_at >= since and not each.answered]
    return max(failed, default=since) - since


def _sees_dead(cluster: Cluster, name: str) -> bool:
    return state_seen_by(cluster, name, "stock-2") == "dead"


class TestPlatform:
    """A long outage of the platform."""

    OUTAGE_S = 20.0
    BACK_WITHIN_S = 10.0

    @pytest.mark.long
    def test_node_started_meanwhile_serves_and_calls_go_on(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            with asking(*load_on(cluster["stock-1"].callers)) as told:
                control(cluster.platform, mode="down")
                began_at = monotonic()
                started_s = self._start_third(cluster, began_at)
                sleep(max(began_at + self.OUTAGE_S - monotonic(), 0.0))
                control(cluster.platform, mode="up")
                ended_at = monotonic()
                sleep(self.BACK_WITHIN_S)
            back_s = seconds_until_all_answered(told, ended_at)
            print(f"\nstarted node served {started_s:.1f} s after the outage began")
            print(f"bookings all answered {back_s:.2f} s after it ended")
            self._check(cluster, told, ended_at, back_s)

    def _start_third(self, cluster: Cluster, began_at: float) -> float:
        """Start a node that knows one peer and return when it served."""
        peer = f"127.0.0.1:{cluster['stock-1'].node.ready['gossip']}"
        cluster.add("stock-3", "stock", STOCK_CALLS, slots=4, node={"peers": [peer]})
        cluster.wait_until_answered("stock-3", "/stock/read")
        return monotonic() - began_at

    def _check(self, cluster: Cluster, told: list[Told], ended_at: float, back_s: float) -> None:
        assert back_s <= self.BACK_WITHIN_S / 2
        assert [each.outcome for each in told if "read" in each.path and not each.answered] == []
        ran = markers_run(cluster.targets)
        assert [marker for marker in told_not_run(told) if marker in ran] == []
        assert max(ran.values()) == 1
        during = [each for each in told if "book" in each.path and each.began_at < ended_at - 1.0]
        assert any(each.outcome == "not-run" for each in during), "no booking was refused"
        assert state_seen_by(cluster, "stock-2", "stock-3") == "serving"
