"""Promise: when a caller is told that a request was not run, it was not run."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event
from time import sleep

import pytest
from crowd import Crowd, ask, markers_run, told_not_run
from harness import Processes, control, runs_of_marker, send, wait_until
from stock_cluster import run_counts, serve_only_at, two_of_stock


class TestFaults:
    """Refusals while nodes die, links break and targets fail."""

    def test_under_overload_kills_and_cuts(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            ports = [cluster["stock-1"].callers]
            paths = ["/stock/read", "/stock/book"]
            crowd, stop = Crowd(ports, paths, callers=20, method="POST"), Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
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
                told = running.result()
            refused = told_not_run(told)
            ran = markers_run(cluster.targets)
            assert refused, "nothing was refused"
            assert [marker for marker in refused if marker in ran] == []

    @pytest.mark.parametrize("fault", [{"cut_short": True}, {"hang": True}])
    def test_target_that_ran_and_gave_no_answer(self, tmp_path: Path, fault: dict) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            for target in cluster.targets:
                control(target, **fault)
            for method, path in (("GET", "/stock/read"), ("POST", "/stock/book")):
                told = ask(cluster["stock-1"].callers, path[1:], path, method, "c", None)
                assert runs_of_marker(cluster.targets, path[1:]) > 0
                assert told.outcome != "not-run"

    @pytest.mark.parametrize("fault", ["lose-answer", "half-open"])
    def test_answer_that_is_lost_between_nodes(self, tmp_path: Path, fault: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            port, proxy = cluster["stock-1"].callers, cluster["stock-2"].link_proxy
            assert ask(port, "first", "/stock/book", "POST", "c", None).answered
            control(cluster["stock-2"].target, service_time_factor=20.0)
            with ThreadPoolExecutor(1) as pool:
                asked = pool.submit(ask, port, "lost", "/stock/book", "POST", "c", None)
                wait_until(lambda: runs_of_marker(cluster.targets, "lost") == 1, 5.0)
                control(proxy, mode=fault)
                told = asked.result()
            assert told.outcome == "unknown"
            assert runs_of_marker(cluster.targets, "lost") == 1

    def test_refusal_of_a_retry_says_nothing_of_the_first_attempt(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            serve_only_at(cluster, "stock-2")
            control(cluster["stock-2"].target, hang=True)
            port = cluster["stock-1"].callers
            with ThreadPoolExecutor(1) as pool:
                asked = pool.submit(ask, port, "m", "/stock/read", "GET", "c", None)
                wait_until(lambda: runs_of_marker(cluster.targets, "m") == 1, 5.0)
                cluster["stock-2"].node.kill()
                told = asked.result()
            assert told.outcome == "unknown"


class TestDeadlines:
    """Work that cannot finish in time is not sent."""

    SERVICE_TIME_FACTOR = 20.0
    DEADLINE_MS = 200

    def test_call_without_enough_time_is_refused(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            serve_only_at(cluster, "stock-2")
            control(cluster["stock-2"].target, service_time_factor=self.SERVICE_TIME_FACTOR)
            port = cluster["stock-1"].callers
            for number in range(3):
                assert ask(port, f"w{number}", "/stock/read", "GET", "c", None).answered
            before = run_counts(cluster, "stock-2")["received"]
            for _ in range(5):
                headers = {"x-marker": "late", "pollenbay-deadline-ms": str(self.DEADLINE_MS)}
                answer = send(port, "/stock/read", headers=headers)
                assert answer.headers["pollenbay-outcome"] == "not-run"
                assert answer.headers["pollenbay-reason"] == "deadline"
            assert run_counts(cluster, "stock-2")["received"] == before

    def test_queued_calls_past_their_deadline_are_not_sent(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            control(cluster["stock-1"].target, hang=True)
            serve_only_at(cluster, "stock-1")
            ports = [cluster["stock-1"].callers]
            crowd, stop = Crowd(ports, ["/stock/read"], callers=30), Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
                sleep(4)
                stop.set()
                told = running.result()
            refused = told_not_run(told)
            ran = markers_run(cluster.targets)
            assert refused, "nothing was refused"
            assert [marker for marker in refused if marker in ran] == []
            assert run_counts(cluster, "stock-1")["received"] == sum(ran.values())
