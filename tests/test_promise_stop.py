"""Promises: a planned stop interrupts no running call, and new work stops within a few seconds."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from signal import SIGINT
from threading import Event
from time import monotonic, sleep

from cluster import Cluster, make_cluster
from harness import Processes, control, run_log, runs_of_key, runs_of_marker, wait_until
from load_clients import LoadClients, expected_body, send_call
from stock_cluster import (
    STOCK,
    STOCK_CALLS,
    serve_only_at,
    start_stock_pair,
    wait_until_all_serving,
)

from pollenbay.rule import ServiceRule

LEFT_WITHIN_S = 5.0
#: A node whose peers missed its leave announcement rejects work well before they consider it dead.
REJECTS_WITHIN_S = 2.5
LEAVE_S = 0.5
#: A request that starts this long before rejections begin arrives at the node in time.
ARRIVAL_MARGIN_S = 0.1
SLOW_FACTOR = 100.0


class TestNewWork:
    """Calls that reach an instance after it starts to leave."""

    def test_running_calls_complete_and_no_work_arrives_later(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            clients = LoadClients([cluster["stock-1"].caller_port], ["/stock/read"], callers=6)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                future = clients.run_in_background(pool, stop)
                sleep(1)
                leaving = cluster["stock-2"]
                began_at = monotonic()
                leaving.node.terminate()
                assert leaving.node.wait(20) == 0
                assert monotonic() - began_at <= LEFT_WITHIN_S + 10
                sleep(1)
                stop.set()
                results = future.result()
            runs = run_log(leaving.target)["runs"]
            assert runs, "the leaving instance ran no calls"
            assert [run for run in runs if not run["finished"]] == []
            assert max(run["started_at"] for run in runs) <= began_at + LEFT_WITHIN_S
            assert [each for each in results if each.outcome in ("lost", "unknown")] == []

    def test_peers_stop_calling_before_work_is_rejected(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes, node={"leave_s": 3.0})
            clients = LoadClients([cluster["stock-1"].caller_port], ["/stock/read"], callers=6)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                future = clients.run_in_background(pool, stop)
                sleep(1)
                began_at = monotonic()
                cluster["stock-2"].node.terminate()
                assert cluster["stock-2"].node.wait(20) == 0
                stop.set()
                future.result()
            runs = run_log(cluster["stock-2"].target)["runs"]
            assert max(run["started_at"] for run in runs) <= began_at + REJECTS_WITHIN_S

    def test_work_of_uninformed_nodes_is_rejected(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = self._start_entry_and_stock(processes)
            clients = LoadClients([cluster["routes-1"].caller_port], ["/stock/read"], callers=4)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                future = clients.run_in_background(pool, stop)
                sleep(1)
                for instance in cluster.instances.values():
                    control(instance.gossip_proxy, mode="cut")
                began_at = monotonic()
                cluster["stock-1"].node.terminate()
                sleep(LEFT_WITHIN_S)
                stop.set()
                results = future.result()
            runs = run_log(cluster["stock-1"].target)["runs"]
            assert max(run["started_at"] for run in runs) <= began_at + REJECTS_WITHIN_S
            assert [run for run in runs if not run["finished"]] == []
            arrived_by = began_at + LEAVE_S - ARRIVAL_MARGIN_S
            before = [each for each in results if each.started_at < arrived_by]
            assert {each.outcome for each in before} == {"answered"}

    def _start_entry_and_stock(self, processes: Processes) -> Cluster:
        cluster = make_cluster(processes)
        cluster.publish(STOCK, ServiceRule(service="routes", calls=()))
        node = {"leave_s": LEAVE_S}
        cluster.add("routes-1", "routes", [], proxied=True)
        cluster.add("stock-1", "stock", STOCK_CALLS, slots=4, node=node, proxied=True)
        wait_until_all_serving(cluster)
        return cluster


class TestInFlight:
    """Calls that are running when the stop begins."""

    def test_slow_call_is_answered(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            for target in cluster.targets:
                control(target, service_time_factor=SLOW_FACTOR)
            with ThreadPoolExecutor(1) as pool:
                future = pool.submit(
                    send_call,
                    cluster["stock-1"].caller_port,
                    "slow",
                    "/stock/book",
                    "POST",
                    "c",
                    "k",
                )
                wait_until(lambda: runs_of_key(cluster.targets, "k") == 1, 5.0)
                cluster["stock-1"].node.terminate()
                result = future.result()
            assert result.answered and result.complete
            assert cluster["stock-1"].node.wait(20) == 0

    def test_slow_call_of_another_node_is_answered(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            serve_only_at(cluster, "stock-2")
            control(cluster["stock-2"].target, service_time_factor=SLOW_FACTOR)
            with ThreadPoolExecutor(1) as pool:
                port = cluster["stock-1"].caller_port
                future = pool.submit(send_call, port, "slow", "/stock/read", "GET", "c", None)
                wait_until(lambda: runs_of_marker(cluster.targets, "slow") == 1, 5.0)
                cluster["stock-2"].node.terminate()
                result = future.result()
            assert result.answered and result.complete
            assert cluster["stock-2"].node.wait(20) == 0
            assert runs_of_marker(cluster.targets, "slow") == 1

    def test_outcome_is_recorded_before_exit(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            for target in cluster.targets:
                control(target, service_time_factor=SLOW_FACTOR)
            with ThreadPoolExecutor(1) as pool:
                future = pool.submit(
                    send_call,
                    cluster["stock-1"].caller_port,
                    "slow",
                    "/stock/book",
                    "POST",
                    "c",
                    "k",
                )
                wait_until(lambda: runs_of_key(cluster.targets, "k") == 1, 5.0)
                holder, other = _holder_and_other(cluster)
                control(cluster.platform, mode="down")
                cluster[holder].node.terminate()
                assert future.result().answered
                sleep(1.5)
                control(cluster.platform, mode="up")
            assert cluster[holder].node.wait(20) == 0
            again = send_call(cluster[other].caller_port, "again", "/stock/book", "POST", "c", "k")
            assert again.response is not None and again.response.body == expected_body("slow")
            assert runs_of_key(cluster.targets, "k") == 1


def _holder_and_other(cluster: Cluster) -> tuple[str, str]:
    first, second = cluster.instances
    return (first, second) if run_log(cluster[first].target)["runs"] else (second, first)


class TestSecondSignal:
    """Signals to a node that is stopping: only an interrupt makes it exit at once."""

    # A second SIGTERM, of another rolling stop, cut the calls that the first let complete.
    def test_second_stop_request_cuts_no_running_call(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes, ThreadPoolExecutor(1) as pool:
            cluster = start_stock_pair(processes)
            serve_only_at(cluster, "stock-1")
            control(cluster["stock-1"].target, service_time_factor=SLOW_FACTOR)
            port = cluster["stock-1"].caller_port
            future = pool.submit(send_call, port, "slow", "/stock/book", "POST", "c", None)
            wait_until(lambda: runs_of_marker(cluster.targets, "slow") == 1, 5.0)
            for _ in range(3):
                cluster["stock-1"].node.terminate()
                sleep(0.1)
            result = future.result()
            assert result.answered and result.complete
            assert cluster["stock-1"].node.wait(20) == 0

    def test_interrupted_calls_are_unknown_and_queued_calls_not_run(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes, ThreadPoolExecutor(8) as pool:
            cluster = start_stock_pair(processes)
            serve_only_at(cluster, "stock-1")
            control(cluster["stock-1"].target, service_time_factor=SLOW_FACTOR)
            port = cluster["stock-1"].caller_port
            futures = [
                pool.submit(
                    send_call, port, f"m{number}", "/stock/book", "POST", f"c{number}", None
                )
                for number in range(8)
            ]
            wait_until(lambda: len(run_log(cluster["stock-1"].target)["runs"]) >= 4, 5.0)
            sleep(0.3)
            cluster["stock-1"].node.terminate()
            sleep(0.5)
            cluster["stock-1"].node.popen.send_signal(SIGINT)
            assert cluster["stock-1"].node.wait(5) == 1
            results = [each.result() for each in futures]
            ran = {run["marker"] for run in run_log(cluster["stock-1"].target)["runs"]}
            outcomes = {each.marker: each.outcome for each in results}
            assert set(outcomes.values()) == {"unknown", "not-run"}
            assert {marker for marker in outcomes if outcomes[marker] == "unknown"} == ran
