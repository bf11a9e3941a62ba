"""Promise: a non-idempotent booking, ticket or order runs at most once.

A second run can come from a repeat at another node, a lost response, a failing table, or a node
that is paused or dies while it holds the claim.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path
from threading import Event
from time import monotonic, sleep

import pytest
from cluster import Cluster
from harness import (
    ADDRESS,
    Process,
    Processes,
    control,
    run_log,
    runs_of_key,
    runs_of_marker,
    wait_until,
)
from load_clients import (
    BODY_BYTES,
    CallResult,
    LoadClients,
    expected_body,
    runs_by_marker,
    send_call,
)
from stock_cluster import run_counts, serve_only_at, start_stock_pair

SLOW_FACTOR = 50.0
SETTLED_WITHIN_S = 10.0


def book(cluster: Cluster, name: str, key: str, marker: str = "m") -> CallResult:
    """Make the non-idempotent call with an idempotency key."""
    return send_call(cluster[name].caller_port, marker, "/stock/book", "POST", "mill", key)


def wait_until_replayed(cluster: Cluster, name: str, key: str) -> CallResult:
    """Repeat a call until a node replays the response, and return the result."""

    def replay() -> CallResult | None:
        result = book(cluster, name, key)
        return result if result.answered else None

    return wait_until(replay, SETTLED_WITHIN_S)


class TestRepeats:
    KEYS = 40
    #: Rejections take a few milliseconds; without pacing, most keys would fall into the phase in
    #: which the table is down and no booking can run.
    PACE_S = 0.05

    def test_key_runs_at_most_once_under_faults(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes, proxied=True)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                future = pool.submit(self._inject_faults, cluster, stop)
                try:
                    outcomes = [self._book_everywhere(cluster, n) for n in range(self.KEYS)]
                finally:
                    stop.set()
                future.result()
            runs_per_key = [runs_of_key(cluster.targets, f"k{n}") for n in range(self.KEYS)]
            assert max(runs_per_key) == 1
            rejected = [n for n in range(self.KEYS) if outcomes[n] == {"not-run"}]
            assert [
                n for n in rejected if runs_per_key[n]
            ] == [], "ran although every response reported not-run"
            assert sum(runs_per_key) > self.KEYS / 2, "too few bookings ran"

    def _book_everywhere(self, cluster: Cluster, number: int) -> set[str]:
        """Book with one key at all nodes, twice, and return the outcomes."""
        started_at = monotonic()
        names = ("stock-1", "stock-2") * 2
        results = [book(cluster, name, f"k{number}", f"k{number}-{name}") for name in names]
        sleep(max(started_at + self.PACE_S - monotonic(), 0.0))
        return {each.outcome for each in results}

    def _inject_faults(self, cluster: Cluster, stop: Event) -> None:
        proxy = cluster["stock-2"].link_proxy
        while not stop.is_set():
            control(proxy, mode="lose-answer", count=2)
            stop.wait(0.3)
            control(cluster.platform, mode="lose-answers", count=2)
            stop.wait(0.3)
            control(proxy, mode="silence")
            stop.wait(0.3)
            control(cluster.platform, mode="down")
            stop.wait(0.3)
            control(cluster.platform, mode="up")
            control(proxy, mode="pass")
            stop.wait(0.3)

    def test_concurrent_repeats_run_once(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes, ThreadPoolExecutor(4) as pool:
            cluster = start_stock_pair(processes)
            for number in range(10):
                names = ("stock-1", "stock-2") * 2
                futures = [pool.submit(book, cluster, name, f"k{number}") for name in names]
                results = [each.result() for each in futures]
                assert runs_of_key(cluster.targets, f"k{number}") == 1
                assert {each.outcome for each in results} <= {"answered", "unknown"}

    def test_first_response_is_replayed_by_every_node(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            assert book(cluster, "stock-1", "k", "first").complete
            for name in ("stock-1", "stock-2"):
                again = wait_until_replayed(cluster, name, "k")
                assert again.response is not None and again.response.body == expected_body("first")
            assert runs_of_key(cluster.targets, "k") == 1

    def test_call_without_key_runs_at_most_once_when_responses_are_lost(
        self, tmp_path: Path
    ) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            clients = LoadClients([cluster["stock-1"].caller_port], ["/stock/book"], method="POST")
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                future = clients.run_in_background(pool, stop)
                for _ in range(6):
                    control(cluster["stock-2"].link_proxy, mode="lose-answer", count=2)
                    sleep(0.5)
                stop.set()
                results = future.result()
            assert "unknown" in {each.outcome for each in results}, "no response was lost"
            assert max(runs_by_marker(cluster.targets).values()) == 1


class TestTableFaults:
    def test_call_is_rejected_as_not_run_while_the_table_is_down(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            control(cluster.platform, mode="down")
            result = book(cluster, "stock-1", "k")
            assert result.outcome == "not-run"
            assert result.response is not None
            assert result.response.headers["pollenbay-reason"] == "claim-unavailable"
            assert runs_of_key(cluster.targets, "k") == 0
            control(cluster.platform, mode="up")
            wait_until(lambda: book(cluster, "stock-2", "k").answered, SETTLED_WITHIN_S)
            assert runs_of_key(cluster.targets, "k") == 1

    def test_claim_whose_response_was_lost_is_read_back(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            for number in range(5):
                control(cluster.platform, mode="lose-answers", count=1)
                result = book(cluster, "stock-1", f"k{number}")
                assert result.answered and result.complete
                assert runs_of_key(cluster.targets, f"k{number}") == 1

    def test_abandoned_claim_frees_the_key(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            control(cluster.platform, mode="slow", delay_s=2.0)
            result = book(cluster, "stock-1", "k")
            assert result.outcome == "not-run"
            assert runs_of_key(cluster.targets, "k") == 0
            control(cluster.platform, mode="up")
            wait_until(lambda: book(cluster, "stock-2", "k").answered, SETTLED_WITHIN_S)
            assert runs_of_key(cluster.targets, "k") == 1


class TestClaimHolders:
    """Nodes that are paused or killed while they hold a claim."""

    def test_holder_paused_past_its_deadline_does_not_run_the_call_again(
        self, tmp_path: Path
    ) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            first, holder = self._start_slow_call(cluster, "k")
            holder.pause()
            sleep(4)
            again = book(cluster, self._other_name(cluster, holder), "k", "b")
            holder.resume()
            first.result()
            assert again.outcome == "unknown"
            assert runs_of_key(cluster.targets, "k") == 1

    def test_repeats_are_unknown_after_the_holder_is_killed(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            first, holder = self._start_slow_call(cluster, "k")
            holder.kill()
            other = self._other_name(cluster, holder)
            for _ in range(8):
                assert book(cluster, other, "k", "b").outcome == "unknown"
                sleep(0.5)
            first.result()
            assert runs_of_key(cluster.targets, "k") == 1

    def _start_slow_call(self, cluster: Cluster, key: str):
        """Start a slow call; return its future and the node that holds its claim."""
        for target in cluster.targets:
            control(target, service_time_factor=SLOW_FACTOR)
        pool = ThreadPoolExecutor(1)
        first = pool.submit(book, cluster, "stock-1", key, "a")
        pool.shutdown(wait=False)
        wait_until(lambda: runs_of_key(cluster.targets, key) == 1, 5.0)
        return first, self._running_node(cluster)

    def _running_node(self, cluster: Cluster) -> Process:
        for instance in cluster.instances.values():
            if run_log(instance.target)["runs"]:
                return instance.node
        raise AssertionError("no target ran the call")

    def _other_name(self, cluster: Cluster, holder: Process) -> str:
        return next(each.name for each in cluster.instances.values() if each.node is not holder)


class TestCallerDisconnects:
    """A caller that closes its connection while its call runs."""

    @pytest.mark.parametrize("entry", ["stock-1", "stock-2"])
    def test_idempotent_call_is_cancelled(self, tmp_path: Path, entry: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = self._start_slow_pair(processes)
            self._call_and_disconnect(cluster, entry, "GET", "/stock/read", {"x-marker": "m"})
            wait_until(lambda: run_counts(cluster, "stock-2")["cancelled"] == 1, 5.0)
            runs = run_log(cluster["stock-2"].target)["runs"]
            assert [run["finished"] for run in runs if run["marker"] == "m"] == [False]

    @pytest.mark.parametrize("entry", ["stock-1", "stock-2"])
    def test_non_idempotent_call_completes_and_is_recorded(
        self, tmp_path: Path, entry: str
    ) -> None:
        with Processes(tmp_path) as processes:
            cluster = self._start_slow_pair(processes)
            headers = {"x-marker": "m", "x-size": str(BODY_BYTES), "idempotency-key": "k"}
            headers["pollenbay-caller"] = "mill"
            self._call_and_disconnect(cluster, entry, "POST", "/stock/book", headers)
            wait_until(lambda: run_counts(cluster, "stock-2")["finished"] == 1, 5.0)
            assert run_counts(cluster, "stock-2")["cancelled"] == 0
            for name in ("stock-1", "stock-2"):
                wait_until_replayed(cluster, name, "k")
                again = book(cluster, name, "k", "again")
                assert again.response is not None and again.response.body == expected_body("m")
            assert runs_of_key(cluster.targets, "k") == 1

    def _start_slow_pair(self, processes: Processes) -> Cluster:
        cluster = start_stock_pair(processes)
        serve_only_at(cluster, "stock-2")
        control(cluster["stock-2"].target, service_time_factor=SLOW_FACTOR)
        return cluster

    def _call_and_disconnect(
        self, cluster: Cluster, entry: str, method: str, path: str, headers: dict[str, str]
    ) -> None:
        connection = HTTPConnection(ADDRESS, cluster[entry].caller_port, timeout=5)
        connection.request(method, path, headers=headers)
        wait_until(lambda: runs_of_marker(cluster.targets, "m") == 1, 5.0)
        connection.close()
