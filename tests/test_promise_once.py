"""Promise: a non-idempotent booking, ticket or order runs at most once."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path
from threading import Event
from time import monotonic, sleep

import pytest
from cluster import Cluster
from crowd import BODY_BYTES, Crowd, Told, ask, body_of, markers_run
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
from stock_cluster import run_counts, serve_only_at, two_of_stock

SLOW_FACTOR = 50.0
SETTLED_WITHIN_S = 10.0


def book(cluster: Cluster, name: str, key: str, marker: str = "m") -> Told:
    """Make the one non-idempotent call with an idempotency key."""
    return ask(cluster[name].callers, marker, "/stock/book", "POST", "mill", key)


def wait_until_repeated(cluster: Cluster, name: str, key: str) -> Told:
    """Wait until a node answers a repeat and return what it told."""

    def repeat() -> Told | None:
        told = book(cluster, name, key)
        return told if told.answered else None

    return wait_until(repeat, SETTLED_WITHIN_S)


class TestRepeats:
    """Repeats of a key, at any node, under faults."""

    KEYS = 40
    #: Refusals take a few milliseconds, so that without a pace most keys would come in the one
    #: phase in which the table is down and no booking can run.
    PACE_S = 0.05

    def test_at_all_nodes_under_faults(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                running = pool.submit(self._cause_faults, cluster, stop)
                try:
                    told = [self._book_everywhere(cluster, n) for n in range(self.KEYS)]
                finally:
                    stop.set()
                running.result()
            counts = [runs_of_key(cluster.targets, f"k{n}") for n in range(self.KEYS)]
            assert max(counts) == 1
            refused = [n for n in range(self.KEYS) if told[n] == {"not-run"}]
            assert [n for n in refused if counts[n]] == [], "ran though all were told it had not"
            assert sum(counts) > self.KEYS / 2, "hardly anything ran"

    def _book_everywhere(self, cluster: Cluster, number: int) -> set[str]:
        """Book by one key at all nodes, twice, and return the outcomes that were told."""
        began_at = monotonic()
        names = ("stock-1", "stock-2") * 2
        told = [book(cluster, name, f"k{number}", f"k{number}-{name}") for name in names]
        sleep(max(began_at + self.PACE_S - monotonic(), 0.0))
        return {each.outcome for each in told}

    def _cause_faults(self, cluster: Cluster, stop: Event) -> None:
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

    def test_at_the_same_moment(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes, ThreadPoolExecutor(4) as pool:
            cluster = two_of_stock(processes)
            for number in range(10):
                names = ("stock-1", "stock-2") * 2
                asked = [pool.submit(book, cluster, name, f"k{number}") for name in names]
                told = [each.result() for each in asked]
                assert runs_of_key(cluster.targets, f"k{number}") == 1
                assert {each.outcome for each in told} <= {"answered", "unknown"}

    def test_first_answer_is_repeated_everywhere(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            assert book(cluster, "stock-1", "k", "first").whole
            for name in ("stock-1", "stock-2"):
                again = wait_until_repeated(cluster, name, "k")
                assert again.answer is not None and again.answer.body == body_of("first")
            assert runs_of_key(cluster.targets, "k") == 1

    def test_without_a_key_when_answers_are_lost(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            crowd = Crowd([cluster["stock-1"].callers], ["/stock/book"], method="POST")
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
                for _ in range(6):
                    control(cluster["stock-2"].link_proxy, mode="lose-answer", count=2)
                    sleep(0.5)
                stop.set()
                told = running.result()
            assert "unknown" in {each.outcome for each in told}, "no answer was lost"
            assert max(markers_run(cluster.targets).values()) == 1


class TestTable:
    """Claims while the platform's table fails."""

    def test_refused_as_not_run_while_it_is_down(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            control(cluster.platform, mode="down")
            told = book(cluster, "stock-1", "k")
            assert told.outcome == "not-run"
            assert told.answer is not None
            assert told.answer.headers["pollenbay-reason"] == "claim-unavailable"
            assert runs_of_key(cluster.targets, "k") == 0
            control(cluster.platform, mode="up")
            wait_until(lambda: book(cluster, "stock-2", "k").answered, SETTLED_WITHIN_S)
            assert runs_of_key(cluster.targets, "k") == 1

    def test_claim_whose_answer_was_lost_is_read_back(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            for number in range(5):
                control(cluster.platform, mode="lose-answers", count=1)
                told = book(cluster, "stock-1", f"k{number}")
                assert told.answered and told.whole
                assert runs_of_key(cluster.targets, f"k{number}") == 1

    def test_claim_given_up_in_time_frees_the_key(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            control(cluster.platform, mode="slow", delay_s=2.0)
            told = book(cluster, "stock-1", "k")
            assert told.outcome == "not-run"
            assert runs_of_key(cluster.targets, "k") == 0
            control(cluster.platform, mode="up")
            wait_until(lambda: book(cluster, "stock-2", "k").answered, SETTLED_WITHIN_S)
            assert runs_of_key(cluster.targets, "k") == 1


class TestHolders:
    """Nodes that hold a claim and are paused or die."""

    def test_paused_past_its_deadline(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            first, holder = self._start(cluster, "k")
            holder.pause()
            sleep(4)
            again = book(cluster, self._other(cluster, holder), "k", "b")
            holder.resume()
            first.result()
            assert again.outcome == "unknown"
            assert runs_of_key(cluster.targets, "k") == 1

    def test_killed_while_the_call_runs(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            first, holder = self._start(cluster, "k")
            holder.kill()
            other = self._other(cluster, holder)
            for _ in range(8):
                assert book(cluster, other, "k", "b").outcome == "unknown"
                sleep(0.5)
            first.result()
            assert runs_of_key(cluster.targets, "k") == 1

    def _start(self, cluster: Cluster, key: str):
        """Start a slow call and return its future and the node that holds its claim."""
        for target in cluster.targets:
            control(target, service_time_factor=SLOW_FACTOR)
        pool = ThreadPoolExecutor(1)
        first = pool.submit(book, cluster, "stock-1", key, "a")
        pool.shutdown(wait=False)
        wait_until(lambda: runs_of_key(cluster.targets, key) == 1, 5.0)
        return first, self._node_that_runs(cluster)

    def _node_that_runs(self, cluster: Cluster) -> Process:
        for instance in cluster.instances.values():
            if run_log(instance.target)["runs"]:
                return instance.node
        raise AssertionError("no target ran the call")

    def _other(self, cluster: Cluster, holder: Process) -> str:
        return next(each.name for each in cluster.instances.values() if each.node is not holder)


class TestCallerLeaves:
    """A caller closes its connection while its call runs."""

    @pytest.mark.parametrize("entry", ["stock-1", "stock-2"])
    def test_idempotent_call_is_cancelled(self, tmp_path: Path, entry: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = self._slow(processes)
            self._ask_and_leave(cluster, entry, "GET", "/stock/read", {"x-marker": "m"})
            wait_until(lambda: run_counts(cluster, "stock-2")["cancelled"] == 1, 5.0)
            runs = run_log(cluster["stock-2"].target)["runs"]
            assert [run["finished"] for run in runs if run["marker"] == "m"] == [False]

    @pytest.mark.parametrize("entry", ["stock-1", "stock-2"])
    def test_non_idempotent_call_goes_on_and_is_recorded(self, tmp_path: Path, entry: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = self._slow(processes)
            headers = {"x-marker": "m", "x-size": str(BODY_BYTES), "idempotency-key": "k"}
            headers["pollenbay-caller"] = "mill"
            self._ask_and_leave(cluster, entry, "POST", "/stock/book", headers)
            wait_until(lambda: run_counts(cluster, "stock-2")["finished"] == 1, 5.0)
            assert run_counts(cluster, "stock-2")["cancelled"] == 0
            for name in ("stock-1", "stock-2"):
                wait_until_repeated(cluster, name, "k")
                again = book(cluster, name, "k", "again")
                assert again.answer is not None and again.answer.body == body_of("m")
            assert runs_of_key(cluster.targets, "k") == 1

    def _slow(self, processes: Processes) -> Cluster:
        cluster = two_of_stock(processes)
        serve_only_at(cluster, "stock-2")
        control(cluster["stock-2"].target, service_time_factor=SLOW_FACTOR)
        return cluster

    def _ask_and_leave(
        self, cluster: Cluster, entry: str, method: str, path: str, headers: dict[str, str]
    ) -> None:
        connection = HTTPConnection(ADDRESS, cluster[entry].callers, timeout=5)
        connection.request(method, path, headers=headers)
        wait_until(lambda: runs_of_marker(cluster.targets, "m") == 1, 5.0)
        connection.close()
