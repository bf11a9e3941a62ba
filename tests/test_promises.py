"""What must always hold, with real processes under failure; docs/PROMISES.md lists the tests."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from threading import Event
from time import monotonic, sleep

import pytest
from cluster import Cluster, make_cluster
from crowd import Crowd, Told, ask, markers_run
from harness import Process, Processes, control, run_log, runs_of_key, wait_until

from pollenbay.rule import CallRule, ServiceRule
from pollenbay.states import CallClass

IN_FORCE_WITHIN_S = 5.0
LEFT_WITHIN_S = 5.0
CHAIN_RETRIES = 3


def call_rule(name: str, call_class: CallClass = CallClass.NORMAL, **more) -> CallRule:
    """Return a rule with a wait of 3 s unless told otherwise."""
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


def two_of_stock(processes: Processes, **more) -> Cluster:
    """Return a cluster with two instances of stock that serve."""
    cluster = make_cluster(processes)
    cluster.publish(STOCK)
    for name in ("stock-1", "stock-2"):
        cluster.add(name, "stock", STOCK_CALLS, slots=4, **more)
    wait_until_known(cluster)
    return cluster


def wait_until_known(cluster: Cluster) -> None:
    """Wait until each node sees all instances serve, as told by its administration API."""
    for name in cluster.instances:
        wait_until(partial(sees_all_serving, cluster, name), 20.0)


def sees_all_serving(cluster: Cluster, name: str) -> bool:
    """Tell whether a node believes that all instances serve."""
    states = [member["state"] for member in cluster.members_seen_by(name)]
    return states.count("serving") == len(cluster.instances)


def told_not_run(told: list[Told]) -> list[str]:
    """Return the markers of requests that were refused as not run."""
    return [each.marker for each in told if each.outcome == "not-run"]


class TestRetriesBounded:
    """The retries of one request are bounded across the whole chain."""

    DEPTH = 4

    @pytest.fixture
    def chain(self, tmp_path: Path):
        """Yield a chain of services, each with two instances, the deepest of which fails."""
        with Processes(tmp_path) as processes:
            cluster = make_cluster(processes)
            names = [f"s{level}" for level in range(self.DEPTH)]
            below = {name: f"{names[level + 1]}.go" for level, name in enumerate(names[:-1])}
            cluster.publish(*(self._rule(name, below.get(name)) for name in names))
            for name in names:
                calls = [{"name": "go", "service_ms": 1, "calls": self._listed(below.get(name))}]
                for number in (1, 2):
                    cluster.add(f"{name}-{number}", name, calls)
            wait_until_known(cluster)
            yield cluster

    def _rule(self, name: str, below: str | None) -> ServiceRule:
        rule = call_rule("go", retries=CHAIN_RETRIES, calls=tuple(self._listed(below)))
        return ServiceRule(service=name, calls=(rule,))

    def _listed(self, below: str | None) -> list[str]:
        return [] if below is None else [below]

    def test_attempts_at_the_deepest_stay_within_the_allowance(self, chain: Cluster) -> None:
        for number in (1, 2):
            control(chain[f"s3-{number}"].target, cut_short=True)
        for number in range(5):
            ask(chain["s0-1"].callers, f"r{number}", "/s0/go", "GET", f"c{number}", None)
        deepest = [chain["s3-1"].target, chain["s3-2"].target]
        ran = markers_run(deepest)
        for number in range(5):
            attempts = sum(count for marker, count in ran.items() if f"r{number}/" in marker)
            assert 1 <= attempts <= 1 + CHAIN_RETRIES


class TestShedOrder:
    """Bookings are shed after lookups."""

    def test_critical_calls_are_served_while_lookups_are_shed(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            ports = [instance.callers for instance in cluster.instances.values()]
            lookups = Crowd(ports, ["/stock/read"], callers=40, name="lookup")
            bookings = Crowd(ports, ["/stock/book"], callers=3, method="POST", name="booking")
            stop = Event()
            with ThreadPoolExecutor(2) as pool:
                running = [crowd.run_beside(pool, stop) for crowd in (lookups, bookings)]
                sleep(6)
                stop.set()
                looked, booked = (future.result() for future in running)
            shed = len([told for told in looked if not told.answered])
            lost = len([told for told in booked if not told.answered])
            assert shed > 50, "no overload was brought about"
            assert lost / len(booked) <= 0.05
            assert lost / len(booked) < shed / len(looked)


class TestWholeAnswers:
    """Every caller gets the whole answer to its own request and nothing else."""

    @pytest.mark.parametrize("fault", ["silence", "half-open", "cut", "lose-answer"])
    def test_under_faults_between_nodes(self, tmp_path: Path, fault: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            ports = [instance.callers for instance in cluster.instances.values()]
            crowd, stop = Crowd(ports, ["/stock/read"], callers=6, pause_s=0.01), Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
                for _ in range(3):
                    sleep(1)
                    control(cluster["stock-2"].link_proxy, mode=fault)
                    sleep(1)
                    control(cluster["stock-2"].link_proxy, mode="pass")
                stop.set()
                told = running.result()
            assert [each for each in told if each.answered and not each.whole] == []
            assert len([each for each in told if each.answered]) > len(told) / 2

    def test_part_of_an_answer_is_never_passed_on(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            for target in cluster.targets:
                control(target, cut_short=True)
            told = ask(cluster["stock-1"].callers, "m", "/stock/read", "GET", "c", None)
            assert told.outcome == "unknown"
            assert told.answer is not None and told.answer.status == 502


class TestNotRun:
    """A caller that is told "not run" can rely on it."""

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


class TestAtMostOnce:
    """A non-idempotent call runs at most once, whatever the caller repeats."""

    def test_repeats_of_a_key_at_all_nodes_under_faults(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                running = pool.submit(self._cause_faults, cluster, stop)
                for number in range(40):
                    for port in (cluster["stock-1"].callers, cluster["stock-2"].callers) * 2:
                        key = f"k{number}"
                        ask(port, f"{key}-{port}", "/stock/book", "POST", "mill", key)
                stop.set()
                running.result()
            counts = [runs_of_key(cluster.targets, f"k{number}") for number in range(40)]
            assert max(counts) == 1
            assert sum(counts) > 20, "hardly anything ran"

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

    def test_refused_as_not_run_while_the_table_is_down(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            control(cluster.platform, mode="down")
            told = ask(cluster["stock-1"].callers, "m", "/stock/book", "POST", "mill", "k")
            assert told.outcome == "not-run"
            assert told.answer is not None
            assert told.answer.headers["pollenbay-reason"] == "claim-unavailable"
            assert runs_of_key(cluster.targets, "k") == 0
            control(cluster.platform, mode="up")
            wait_until(lambda: self._book(cluster).answered, 10.0)
            assert runs_of_key(cluster.targets, "k") == 1

    def _book(self, cluster: Cluster) -> Told:
        return ask(cluster["stock-2"].callers, "m", "/stock/book", "POST", "mill", "k")

    def test_holder_paused_past_its_deadline(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            for target in cluster.targets:
                control(target, service_time_factor=50.0)
            with ThreadPoolExecutor(1) as pool:
                first = pool.submit(
                    ask, cluster["stock-1"].callers, "a", "/stock/book", "POST", "mill", "k"
                )
                wait_until(lambda: runs_of_key(cluster.targets, "k") == 1, 5.0)
                holder = self._node_that_runs(cluster)
                holder.pause()
                sleep(4)
                other = next(each for each in cluster.instances.values() if each.node is not holder)
                again = ask(other.callers, "b", "/stock/book", "POST", "mill", "k")
                holder.resume()
                first.result()
            assert again.outcome == "unknown"
            assert runs_of_key(cluster.targets, "k") == 1

    def _node_that_runs(self, cluster: Cluster) -> Process:
        for instance in cluster.instances.values():
            if run_log(instance.target)["runs"]:
                return instance.node
        raise AssertionError("no target ran the call")


class TestPlannedStop:
    """A planned stop cuts nothing, and new work ends after a few seconds."""

    def test_nothing_in_flight_is_cut_and_no_work_arrives_later(self, tmp_path: Path) -> None:
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

    def test_slow_call_in_flight_is_answered(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            control(cluster["stock-1"].target, service_time_factor=100.0)
            control(cluster["stock-2"].target, service_time_factor=100.0)
            with ThreadPoolExecutor(1) as pool:
                slow = pool.submit(
                    ask, cluster["stock-1"].callers, "slow", "/stock/book", "POST", "c", "k"
                )
                wait_until(lambda: runs_of_key(cluster.targets, "k") == 1, 5.0)
                cluster["stock-1"].node.terminate()
                told = slow.result()
            assert told.answered and told.whole
            assert cluster["stock-1"].node.wait(20) == 0


class TestRulesInForce:
    """An accepted version is in force everywhere within 5 s and never falls back."""

    def test_within_5_s_and_never_lower(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            seen: dict[str, list[int]] = {name: [] for name in cluster.instances}
            for slots in range(5, 9):
                service = ServiceRule(service="stock", slots=slots, calls=STOCK.calls)
                version = cluster.publish(service).version
                published_at = monotonic()
                wait_until(partial(self._all_at, cluster, seen, version), IN_FORCE_WITHIN_S)
                assert monotonic() - published_at <= IN_FORCE_WITHIN_S
            for versions in seen.values():
                assert versions == sorted(versions)

    def test_stale_reads_and_restart_do_not_bring_an_older_one_back(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            control(cluster.platform, mode="stale-reads")
            version = cluster.publish(STOCK_WITH_MORE).version
            control(cluster.platform, mode="up")
            wait_until(lambda: self._all_at(cluster, {}, version), IN_FORCE_WITHIN_S)
            control(cluster.platform, mode="stale-reads")
            cluster["stock-2"].node.kill()
            del cluster.instances["stock-2"]
            cluster.add("stock-2", "stock", STOCK_CALLS, slots=4)
            wait_until(lambda: cluster.call("stock-2", "/stock/read").status == 200, 20.0)
            assert cluster.rule_version_of("stock-2") == version

    def _all_at(self, cluster: Cluster, seen: dict[str, list[int]], version: int) -> bool:
        versions = {name: cluster.rule_version_of(name) for name in cluster.instances}
        for name, each in versions.items():
            seen.setdefault(name, []).append(each)
        return set(versions.values()) == {version}


STOCK_WITH_MORE = ServiceRule(
    service="stock", slots=4, calls=(*STOCK.calls, call_rule("count", CallClass.NORMAL))
)
