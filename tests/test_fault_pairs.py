"""Pairs of simultaneous faults under load, with real processes and one seed for each pair.

All promises are checked for each pair. `make test` runs a sample of the pairs;
`make faults` runs all of them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from itertools import combinations
from pathlib import Path
from threading import Event
from time import monotonic, sleep

import pytest
from cluster import Cluster, make_cluster
from fault_injection import Fault, FaultScenario, inject_faults
from harness import Processes, Response, run_log, wait_until
from load_clients import CallResult, LoadClients, markers_not_run, runs_by_marker, send_call
from stock_cluster import call_rule, wait_until_all_serving
from version_log import VersionLog

from pollenbay.rule import ServiceRule
from pollenbay.states import CallClass

PAIRS = list(combinations(Fault, 2))
#: Numbers of the pairs that run in `make test`; together they contain every fault.
SAMPLE = (3, 7, 15, 19, 23, 26)
FAULTS_AFTER_PUBLISH_S = 2.5
FAULTS_BEFORE_PUBLISH_S = 0.5
RECOVERED_WITHIN_S = 10.0
ACTIVE_WITHIN_S = 5.0
STABLE_FOR_S = 1.5
STABLE_CALLS_MIN = 5
PAIRS_PER_CLUSTER = 7
RATIO_TOLERANCE = 0.1
#: Calls under way when the faults begin, one for each caller, may fail in any class. Among fewer
#: calls than this they would decide the ratio.
RATIO_SAMPLES_MIN = 20
CRITICAL_CALLERS = 3
#: Faults under which no claim may be held.
PLATFORM_FAULTS = {Fault.PLATFORM_DOWN, Fault.PLATFORM_SLOW, Fault.RESPONSES_LOST}

LIST, PAPERS, BOOK = "/routes/list", "/routes/papers", "/routes/book"
ROUTES_CALLS = [
    {"name": "list", "service_ms": 2, "calls": ["stock.read"]},
    {"name": "papers", "service_ms": 2, "calls": ["stock.read"]},
    {"name": "book", "service_ms": 2, "calls": ["stock.reserve"]},
]
STOCK_CALLS = [{"name": "read", "service_ms": 60}, {"name": "reserve", "service_ms": 60}]


def rules(number: int) -> list[ServiceRule]:
    """Return the rules of both services; each number yields different rules."""
    return [
        ServiceRule(
            service="routes",
            slots=20 + number % 5,
            calls=(
                call_rule("list", CallClass.SHEDDABLE, calls=("stock.read",)),
                call_rule("papers", CallClass.CRITICAL, calls=("stock.read",)),
                call_rule("book", CallClass.CRITICAL, idempotent=False, calls=("stock.reserve",)),
            ),
        ),
        ServiceRule(
            service="stock",
            slots=4,
            calls=(
                call_rule("read", wait_ms=2500),
                call_rule("reserve", CallClass.CRITICAL, idempotent=False, wait_ms=2500),
            ),
        ),
    ]


class ClusterPool:
    """Provides a cluster and replaces it when a process has died or after several pairs."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: Processes | None = None
        self._cluster: Cluster | None = None
        self._used = 0

    def acquire(self) -> Cluster:
        """Return a cluster in which all processes are running."""
        if self._cluster is None or self._used >= PAIRS_PER_CLUSTER or not self._is_healthy():
            self.close()
            self._cluster = self._start()
            self._used = 0
        self._used += 1
        return self._cluster

    def close(self) -> None:
        """Stop all processes."""
        if self._processes is not None:
            self._processes.__exit__()
        self._processes = None

    def _is_healthy(self) -> bool:
        instances = self._cluster.instances.values()
        return all(each.node.alive and each.target.alive for each in instances)

    def _start(self) -> Cluster:
        self._processes = Processes(self._folder)
        cluster = make_cluster(self._processes)
        cluster.publish(*rules(0))
        for number in (1, 2):
            cluster.add(f"routes-{number}", "routes", ROUTES_CALLS, proxied=True)
            cluster.add(f"stock-{number}", "stock", STOCK_CALLS, slots=4, proxied=True)
        wait_until_all_serving(cluster)
        return cluster


@pytest.fixture(scope="module")
def clusters(tmp_path_factory) -> Iterator[ClusterPool]:
    """Yield the cluster pool of this module and stop its processes afterwards."""
    clusters = ClusterPool(tmp_path_factory.mktemp("pairs"))
    yield clusters
    clusters.close()


def pair_cases() -> list[object]:
    """Return all pairs with their seeds; pairs outside the sample are marked as long."""
    return [
        pytest.param(
            seed,
            pair,
            id=f"{pair[0].value}+{pair[1].value}",
            marks=() if seed in SAMPLE else pytest.mark.long,
        )
        for seed, pair in enumerate(PAIRS)
    ]


class TestFaultPair:
    """Promises under two faults, and the recovery."""

    @pytest.mark.parametrize(("seed", "pair"), pair_cases())
    def test_promises_hold_under_two_faults(
        self, clusters: ClusterPool, seed: int, pair: tuple[Fault, Fault]
    ) -> None:
        cluster = clusters.acquire()
        scenario = FaultScenario(cluster, "routes", "stock", LIST, rules, seed)
        print(f"\nseed {seed}: {pair[0].value} + {pair[1].value}")
        wait_until(
            lambda: all_answered(scenario, "before"), RECOVERED_WITHIN_S, "a healthy cluster"
        )
        client_groups = make_client_groups(scenario)
        with VersionLog(cluster) as log, running_groups(client_groups) as results:
            with inject_faults(scenario, list(pair)):
                sleep(FAULTS_BEFORE_PUBLISH_S)
                scenario.publish_through("routes-1", "cili")
                sleep(FAULTS_AFTER_PUBLISH_S)
            ended_at = monotonic()
            wait_until(
                lambda: is_active(scenario), ACTIVE_WITHIN_S, "the accepted version to be active"
            )
            active_s = monotonic() - ended_at
            recovered_s = wait_until_recovered(client_groups, ended_at)
        print(f"  recovered {recovered_s:.1f} s, active {active_s:.1f} s after the faults ended")
        assert recovered_s <= RECOVERED_WITHIN_S
        if Fault.CLAIM_HOLDER_PAUSED in pair and not PLATFORM_FAULTS.intersection(pair):
            assert scenario.claim_holder_paused
        check_responses(results)
        check_runs(cluster, results)
        check_classes(results[PAPERS], results[LIST], ended_at)
        check_versions(scenario, log)


class TestClassesCheck:
    """The check of the classes itself."""

    @staticmethod
    def results(answered: int, failed: int) -> list[CallResult]:
        statuses = [200] * answered + [504] * failed
        return [
            CallResult("m", PAPERS, Response(status, {}, b""), started_at=0.0, ended_at=0.1)
            for status in statuses
        ]

    @pytest.mark.parametrize(
        ("critical", "sheddable"), [((60, 40), (80, 20)), ((2, 8), (9, 1)), ((0, 4), (4, 0))]
    )
    def test_critical_calls_behind_sheddable_ones_are_found(
        self, critical: tuple[int, int], sheddable: tuple[int, int]
    ) -> None:
        with pytest.raises(AssertionError):
            check_classes(self.results(*critical), self.results(*sheddable), until=1.0)

    def test_class_without_calls_is_found(self) -> None:
        with pytest.raises(AssertionError):
            check_classes([], self.results(30, 0), until=1.0)

    def test_calls_under_way_at_the_beginning_may_fail(self) -> None:
        check_classes(self.results(0, CRITICAL_CALLERS), self.results(4, 0), until=1.0)


def make_client_groups(scenario: FaultScenario) -> dict[str, LoadClients]:
    """Return the callers by path."""
    ports = [scenario.cluster[name].caller_port for name in scenario.instances_of("routes")]
    common = {"pause_s": 0.02, "name": f"s{scenario.seed}"}
    return {
        LIST: LoadClients(ports, [LIST], callers=4, **common),
        PAPERS: LoadClients(ports, [PAPERS], callers=CRITICAL_CALLERS, **common),
        BOOK: LoadClients(ports, [BOOK], callers=3, method="POST", key=True, repeats=3, **common),
    }


@contextmanager
def running_groups(client_groups: dict[str, LoadClients]) -> Iterator[dict[str, list[CallResult]]]:
    """Run load during the block; the yielded results, by path, are complete once it has ended."""
    results: dict[str, list[CallResult]] = {}
    stop = Event()
    with ThreadPoolExecutor(len(client_groups)) as pool:
        futures = {
            path: group.run_in_background(pool, stop) for path, group in client_groups.items()
        }
        try:
            yield results
        finally:
            stop.set()
            results.update({path: future.result() for path, future in futures.items()})
            print(f"  {summary(results)}")


def all_answered(scenario: FaultScenario, purpose: str) -> bool:
    """Return whether a call of each path through each entry node succeeds."""
    for name in scenario.instances_of("routes"):
        for path, method in ((LIST, "GET"), (PAPERS, "GET"), (BOOK, "POST")):
            marker = f"p{scenario.seed}-{purpose}-{name}-{path[8:]}-{monotonic()}"
            key = marker if path == BOOK else None
            port = scenario.cluster[name].caller_port
            if not send_call(port, marker, path, method, "probe", key).answered:
                return False
    return True


def wait_until_recovered(client_groups: dict[str, LoadClients], ended_at: float) -> float:
    """Wait until all calls succeed; return the seconds from `ended_at` to the last failure."""
    limit_s = RECOVERED_WITHIN_S + STABLE_FOR_S
    wait_until(lambda: all(map(is_stable, client_groups.values())), limit_s, "all calls to succeed")
    results = [result for group in client_groups.values() for result in group.results]
    failed = [result.ended_at for result in results if not result.answered]
    return max([*failed, ended_at]) - ended_at


def is_stable(group: LoadClients) -> bool:
    """Return whether all recent calls of a client group, and enough of them, succeeded."""
    since = monotonic() - STABLE_FOR_S
    recent = [result for result in list(group.results) if result.ended_at >= since]
    return len(recent) >= STABLE_CALLS_MIN and all(result.answered for result in recent)


def is_active(scenario: FaultScenario) -> bool:
    """Return whether all nodes run the same version, no older than any accepted one."""
    versions = {scenario.cluster.rule_version_of(name) for name in scenario.cluster.instances}
    newest = max((version for version, _ in scenario.accepted), default=0)
    return len(versions) == 1 and versions.pop() >= newest


def summary(results: dict[str, list[CallResult]]) -> dict[str, dict[str, int]]:
    """Count the results by path, outcome and reason."""
    return {
        path: dict(Counter(f"{each.outcome} {each.reason}".strip() for each in path_results))
        for path, path_results in results.items()
    }


def check_responses(results: dict[str, list[CallResult]]) -> None:
    """Check that each response is complete and belongs to its request."""
    for path_results in results.values():
        assert [each for each in path_results if each.answered and not each.complete] == []


def check_runs(cluster: Cluster, results: dict[str, list[CallResult]]) -> None:
    """Check that no key ran twice and that no call reported as not run ran."""
    runs = runs_by_marker(cluster.targets)
    for path_results in results.values():
        assert [marker for marker in markers_not_run(path_results) if marker in runs] == []
    logs = [run_log(target) for target in cluster.targets]
    keyed = Counter((run["call"], run["idempotency_key"]) for log in logs for run in log["runs"])
    twice = [pair for pair, count in keyed.items() if pair[1] is not None and count > 1]
    assert twice == []
    assert [log["counts"]["calls_wrong"] for log in logs] == [0] * len(logs)


def check_classes(critical: list[CallResult], sheddable: list[CallResult], until: float) -> None:
    """Check that critical calls succeed no less than sheddable ones while the faults last."""
    ratios, counts = [], []
    for results in (critical, sheddable):
        started = [each for each in results if each.started_at < until]
        assert started, "a class made no calls"
        counts.append(len(started))
        ratios.append(sum(each.answered for each in started) / len(started))
    tolerance = RATIO_TOLERANCE
    if min(counts) < RATIO_SAMPLES_MIN:
        tolerance += CRITICAL_CALLERS / counts[0]
    assert ratios[0] >= ratios[1] - tolerance


def check_versions(scenario: FaultScenario, log: VersionLog) -> None:
    """Check that versions never decreased and that each was accepted with one content only."""
    assert log.decreases() == []
    digests: dict[int, set[str]] = {}
    for version, digest in scenario.accepted:
        digests.setdefault(version, set()).add(digest)
    assert [version for version, each in digests.items() if len(each) > 1] == []
