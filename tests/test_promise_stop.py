"""Promises: a planned stop cuts nothing in flight, and no new work comes after a few seconds."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event
from time import monotonic, sleep

from cluster import Cluster, make_cluster
from crowd import Crowd, ask, body_of
from harness import Processes, control, run_log, runs_of_key, runs_of_marker, wait_until
from stock_cluster import STOCK, STOCK_CALLS, serve_only_at, two_of_stock, wait_until_known

from pollenbay.rule import ServiceRule

LEFT_WITHIN_S = 5.0
#: A node that others have not heard leave refuses work well before they believe it dead.
REFUSING_WITHIN_S = 2.5
LEAVE_S = 0.5
#: A request that was begun so long before the refusals is at its node before them.
ARRIVED_WITHIN_S = 0.1
SLOW_FACTOR = 100.0


class TestNewWork:
    """What still reaches an instance that leaves."""

    def test_nothing_is_cut_and_no_work_arrives_later(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            crowd = Crowd([cluster["stock-1"].callers], ["/stock/read"], callers=6)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
                sleep(1)
                leaving = cluster["stock-2"]
                began_at = monotonic()
                leaving.node.terminate()
                assert leaving.node.wait(20) == 0
                assert monotonic() - began_at <= LEFT_WITHIN_S + 10
                sleep(1)
                stop.set()
                told = running.result()
            runs = run_log(leaving.target)["runs"]
            assert runs, "the leaving instance had no work"
            assert [run for run in runs if not run["finished"]] == []
            assert max(run["started_at"] for run in runs) <= began_at + LEFT_WITHIN_S
            assert [each for each in told if each.outcome in ("lost", "unknown")] == []

    def test_others_stop_calling_before_work_is_refused(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, node={"leave_s": 3.0})
            crowd = Crowd([cluster["stock-1"].callers], ["/stock/read"], callers=6)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
                sleep(1)
                began_at = monotonic()
                cluster["stock-2"].node.terminate()
                assert cluster["stock-2"].node.wait(20) == 0
                stop.set()
                running.result()
            runs = run_log(cluster["stock-2"].target)["runs"]
            assert max(run["started_at"] for run in runs) <= began_at + REFUSING_WITHIN_S

    def test_work_of_nodes_that_have_not_heard_is_refused(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = self._entry_and_one_of_stock(processes)
            crowd = Crowd([cluster["routes-1"].callers], ["/stock/read"], callers=4)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
                sleep(1)
                for instance in cluster.instances.values():
                    control(instance.gossip_proxy, mode="cut")
                began_at = monotonic()
                cluster["stock-1"].node.terminate()
                sleep(LEFT_WITHIN_S)
                stop.set()
                told = running.result()
            runs = run_log(cluster["stock-1"].target)["runs"]
            assert max(run["started_at"] for run in runs) <= began_at + REFUSING_WITHIN_S
            assert [run for run in runs if not run["finished"]] == []
            arrived_by = began_at + LEAVE_S - ARRIVED_WITHIN_S
            before = [each for each in told if each.began_at < arrived_by]
            assert {each.outcome for each in before} == {"answered"}

    def _entry_and_one_of_stock(self, processes: Processes) -> Cluster:
        cluster = make_cluster(processes)
        cluster.publish(STOCK, ServiceRule(service="routes", calls=()))
        node = {"leave_s": LEAVE_S}
        cluster.add("routes-1", "routes", [], proxied=True)
        cluster.add("stock-1", "stock", STOCK_CALLS, slots=4, node=node, proxied=True)
        wait_until_known(cluster)
        return cluster


class TestInFlight:
    """Calls that run when the stop begins."""

    def test_slow_call_is_answered(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            for target in cluster.targets:
                control(target, service_time_factor=SLOW_FACTOR)
            with ThreadPoolExecutor(1) as pool:
                slow = pool.submit(
                    ask, cluster["stock-1"].callers, "slow", "/stock/book", "POST", "c", "k"
                )
                wait_until(lambda: runs_of_key(cluster.targets, "k") == 1, 5.0)
                cluster["stock-1"].node.terminate()
                told = slow.result()
            assert told.answered and told.whole
            assert cluster["stock-1"].node.wait(20) == 0

    def test_slow_call_of_another_node_is_answered(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            serve_only_at(cluster, "stock-2")
            control(cluster["stock-2"].target, service_time_factor=SLOW_FACTOR)
            with ThreadPoolExecutor(1) as pool:
                port = cluster["stock-1"].callers
                slow = pool.submit(ask, port, "slow", "/stock/read", "GET", "c", None)
                wait_until(lambda: runs_of_marker(cluster.targets, "slow") == 1, 5.0)
                cluster["stock-2"].node.terminate()
                told = slow.result()
            assert told.answered and told.whole
            assert cluster["stock-2"].node.wait(20) == 0
            assert runs_of_marker(cluster.targets, "slow") == 1

    def test_answer_is_recorded_before_the_end(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            for target in cluster.targets:
                control(target, service_time_factor=SLOW_FACTOR)
            with ThreadPoolExecutor(1) as pool:
                slow = pool.submit(
                    ask, cluster["stock-1"].callers, "slow", "/stock/book", "POST", "c", "k"
                )
                wait_until(lambda: runs_of_key(cluster.targets, "k") == 1, 5.0)
                holder, other = _holder_and_other(cluster)
                control(cluster.platform, mode="down")
                cluster[holder].node.terminate()
                assert slow.result().answered
                sleep(1.5)
                control(cluster.platform, mode="up")
            assert cluster[holder].node.wait(20) == 0
            again = ask(cluster[other].callers, "again", "/stock/book", "POST", "c", "k")
            assert again.answer is not None and again.answer.body == body_of("slow")
            assert runs_of_key(cluster.targets, "k") == 1


def _holder_and_other(cluster: Cluster) -> tuple[str, str]:
    first, second = cluster.instances
    return (first, second) if run_log(cluster[first].target)["runs"] else (second, first)


class TestSecondSignal:
    """A second signal ends a node early, and callers are told the outcomes."""

    def test_running_is_unknown_and_queued_is_not_run(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes, ThreadPoolExecutor(8) as pool:
            cluster = two_of_stock(processes)
            serve_only_at(cluster, "stock-1")
            control(cluster["stock-1"].target, service_time_factor=SLOW_FACTOR)
            port = cluster["stock-1"].callers
            asked = [
                pool.submit(ask, port, f"m{number}", "/stock/book", "POST", f"c{number}", None)
                for number in range(8)
            ]
            wait_until(lambda: len(run_log(cluster["stock-1"].target)["runs"]) >= 4, 5.0)
            sleep(0.3)
            cluster["stock-1"].node.terminate()
            sleep(0.5)
            cluster["stock-1"].node.terminate()
            assert cluster["stock-1"].node.wait(5) == 1
            told = [each.result() for each in asked]
            ran = {run["marker"] for run in run_log(cluster["stock-1"].target)["runs"]}
            outcomes = {each.marker: each.outcome for each in told}
            assert set(outcomes.values()) == {"unknown", "not-run"}
            assert {marker for marker in outcomes if outcomes[marker] == "unknown"} == ran
