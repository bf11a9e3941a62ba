"""Promise: a request that was reported to its caller as not run was not run.

A false report can come from a lost response, a rejected retry, a failing target or a node that dies
under overload; a caller that repeats such a request runs it twice.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event
from time import sleep

import pytest
from harness import Processes, control, runs_of_marker, send, wait_until
from load_clients import LoadClients, markers_not_run, runs_by_marker, send_call
from stock_cluster import run_counts, serve_only_at, start_stock_pair


class TestFaults:
    """Rejections while nodes die, links break and targets fail."""

    def test_rejected_calls_never_ran_under_overload_kills_and_cuts(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes, proxied=True)
            ports = [cluster["stock-1"].caller_port]
            paths = ["/stock/read", "/stock/book"]
            clients, stop = LoadClients(ports, paths, callers=20, method="POST"), Event()
            with ThreadPoolExecutor(1) as pool:
                future = clients.run_in_background(pool, stop)
                sleep(1)
                control(cluster["stock-2"].link_proxy, mode="cut")
                sleep(1)
                control(cluster["stock-2"].link_proxy, mode="pass")
                cluster["stock-2"].node.pause()
                sleep(2)
                cluster["stock-2"].node.resume()
                sleep(1)
                cluster["stock-2"].node.kill()
                sleep(1)
                stop.set()
                results = future.result()
            rejected = markers_not_run(results)
            runs = runs_by_marker(cluster.targets)
            assert rejected, "no call was rejected"
            assert [marker for marker in rejected if marker in runs] == []

    @pytest.mark.parametrize("fault", [{"cut_short": True}, {"hang": True}])
    def test_call_that_ran_without_response_is_not_reported_not_run(
        self, tmp_path: Path, fault: dict
    ) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            for target in cluster.targets:
                control(target, **fault)
            for method, path in (("GET", "/stock/read"), ("POST", "/stock/book")):
                result = send_call(
                    cluster["stock-1"].caller_port, path[1:], path, method, "c", None
                )
                assert runs_of_marker(cluster.targets, path[1:]) > 0
                assert result.outcome != "not-run"

    @pytest.mark.parametrize("fault", ["lose-answer", "half-open"])
    def test_response_lost_between_nodes_is_unknown(self, tmp_path: Path, fault: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            port, proxy = cluster["stock-1"].caller_port, cluster["stock-2"].link_proxy
            assert send_call(port, "first", "/stock/book", "POST", "c", None).answered
            control(cluster["stock-2"].target, service_time_factor=20.0)
            with ThreadPoolExecutor(1) as pool:
                future = pool.submit(send_call, port, "lost", "/stock/book", "POST", "c", None)
                wait_until(lambda: runs_of_marker(cluster.targets, "lost") == 1, 5.0)
                control(proxy, mode=fault)
                result = future.result()
            assert result.outcome == "unknown"
            assert runs_of_marker(cluster.targets, "lost") == 1

    def test_rejected_retry_leaves_the_outcome_unknown(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            serve_only_at(cluster, "stock-2")
            control(cluster["stock-2"].target, hang=True)
            port = cluster["stock-1"].caller_port
            with ThreadPoolExecutor(1) as pool:
                future = pool.submit(send_call, port, "m", "/stock/read", "GET", "c", None)
                wait_until(lambda: runs_of_marker(cluster.targets, "m") == 1, 5.0)
                cluster["stock-2"].node.kill()
                result = future.result()
            assert result.outcome == "unknown"


class TestDeadlines:
    """Calls that cannot finish in time are not sent to targets."""

    SERVICE_TIME_FACTOR = 20.0
    DEADLINE_MS = 200

    def test_call_without_enough_time_is_rejected(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            serve_only_at(cluster, "stock-2")
            control(cluster["stock-2"].target, service_time_factor=self.SERVICE_TIME_FACTOR)
            port = cluster["stock-1"].caller_port
            for number in range(3):
                assert send_call(port, f"w{number}", "/stock/read", "GET", "c", None).answered
            before = run_counts(cluster, "stock-2")["received"]
            for _ in range(5):
                headers = {"x-marker": "late", "pollenbay-deadline-ms": str(self.DEADLINE_MS)}
                response = send(port, "/stock/read", headers=headers)
                assert response.headers["pollenbay-outcome"] == "not-run"
                assert response.headers["pollenbay-reason"] == "deadline"
            assert run_counts(cluster, "stock-2")["received"] == before

    def test_queued_calls_past_their_deadline_are_not_sent(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            control(cluster["stock-1"].target, hang=True)
            serve_only_at(cluster, "stock-1")
            ports = [cluster["stock-1"].caller_port]
            clients, stop = LoadClients(ports, ["/stock/read"], callers=30), Event()
            with ThreadPoolExecutor(1) as pool:
                future = clients.run_in_background(pool, stop)
                sleep(4)
                stop.set()
                results = future.result()
            rejected = markers_not_run(results)
            runs = runs_by_marker(cluster.targets)
            assert rejected, "no call was rejected"
            assert [marker for marker in rejected if marker in runs] == []
            assert run_counts(cluster, "stock-1")["received"] == sum(runs.values())
