"""Two faults of the brief at once, each pair by a seed, with load on and real processes.

Every pair is checked against all promises. A few pairs run in `make test`; `make faults` runs
them all.
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
from crowd import Crowd, Told, ask, markers_run, told_not_run
from disturbances import Fault, Scene, disturbed
from harness import Processes, run_log, wait_until
from stock_cluster import call_rule, wait_until_known
from version_log import VersionLog

from pollenbay.rule import ServiceRule
from pollenbay.states import CallClass

PAIRS = list(combinations(Fault, 2))
#: Pairs that run in `make test`, by number; every fault is in one of them.
SAMPLE = (3, 7, 15, 19, 23, 26)
FAULTS_S = 2.5
CALM_S = 0.5
BACK_WITHIN_S = 10.0
IN_FORCE_WITHIN_S = 5.0
ANSWERED_FOR_S = 1.5
ANSWERS_LATELY = 5
PAIRS_PER_CLUSTER = 7
#: Least requests of a class for its share of answers to mean something.
SHARE_SAMPLES = 20
SHARE_SLACK = 0.1

LIST, PAPERS, BOOK = "/routes/list", "/routes/papers", "/routes/book"
ROUTES_CALLS = [
    {"name": "list", "service_ms": 2, "calls": ["stock.read"]},
    {"name": "papers", "service_ms": 2, "calls": ["stock.read"]},
    {"name": "book", "service_ms": 2, "calls": ["stock.reserve"]},
]
STOCK_CALLS = [{"name": "read", "service_ms": 60}, {"name": "reserve", "service_ms": 60}]


def rules(number: int) -> list[ServiceRule]:
    """Return the rules of both services; they differ by the number."""
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


class Clusters:
    """The cluster in use, made anew when a process has died or after several pairs."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: Processes | None = None
        self._cluster: Cluster | None = None
        self._used = 0

    def take(self) -> Cluster:
        """Return a cluster in which all processes run."""
        if self._cluster is None or self._used >= PAIRS_PER_CLUSTER or not self._sound():
            self.close()
            self._cluster = self._start()
            self._used = 0
        self._used += 1
        return self._cluster

    def close(self) -> None:
        """End all processes."""
        if self._processes is not None:
            self._processes.__exit__()
        self._processes = None

    def _sound(self) -> bool:
        instances = self._cluster.instances.values()
        return all(each.node.alive and each.target.alive for each in instances)

    def _start(self) -> Cluster:
        self._processes = Processes(self._folder)
        cluster = make_cluster(self._processes)
        cluster.publish(*rules(0))
        for number in (1, 2):
            cluster.add(f"routes-{number}", "routes", ROUTES_CALLS, proxied=True)
            cluster.add(f"stock-{number}", "stock", STOCK_CALLS, slots=4, proxied=True)
        wait_until_known(cluster)
        return cluster


@pytest.fixture(scope="module")
def clusters(tmp_path_factory) -> Iterator[Clusters]:
    """Yield the clusters of this module and end their processes."""
    clusters = Clusters(tmp_path_factory.mktemp("pairs"))
    yield clusters
    clusters.close()


def cases() -> list[object]:
    """Return all pairs with their seeds; those outside the sample are marked as long."""
    return [
        pytest.param(
            seed,
            pair,
            id=f"{pair[0].value}+{pair[1].value}",
            marks=() if seed in SAMPLE else pytest.mark.long,
        )
        for seed, pair in enumerate(PAIRS)
    ]


class TestPair:
    """All promises under two faults, and the way back."""

    @pytest.mark.parametrize(("seed", "pair"), cases())
    def test_promises_hold(self, clusters: Clusters, seed: int, pair: tuple[Fault, Fault]) -> None:
        cluster = clusters.take()
        scene = Scene(cluster, "routes", "stock", LIST, rules, seed)
        print(f"\nseed {seed}: {pair[0].value} + {pair[1].value}")
        wait_until(lambda: all_answered(scene, "before"), BACK_WITHIN_S, "a sound cluster")
        crowds = make_crowds(scene)
        with VersionLog(cluster) as log, asking_all(crowds) as told:
            with disturbed(scene, list(pair)):
                sleep(CALM_S)
                scene.publish_at("routes-1", "cili")
                sleep(FAULTS_S)
            ended_at = monotonic()
            wait_until(lambda: in_force(scene), IN_FORCE_WITHIN_S, "the accepted version")
            in_force_s = monotonic() - ended_at
            back_s = wait_until_back(crowds, ended_at)
        print(f"  all answered again {back_s:.1f} s, in force {in_force_s:.1f} s after the end")
        assert back_s <= BACK_WITHIN_S
        check_answers(told)
        check_runs(cluster, told)
        check_classes(told[PAPERS], told[LIST], ended_at)
        check_versions(scene, log)


def make_crowds(scene: Scene) -> dict[str, Crowd]:
    """Return the callers of each path."""
    ports = [scene.cluster[name].callers for name in scene.names_of("routes")]
    common = {"pause_s": 0.02, "name": f"s{scene.seed}"}
    return {
        LIST: Crowd(ports, [LIST], callers=4, **common),
        PAPERS: Crowd(ports, [PAPERS], callers=3, **common),
        BOOK: Crowd(ports, [BOOK], callers=3, method="POST", key=True, repeats=3, **common),
    }


@contextmanager
def asking_all(crowds: dict[str, Crowd]) -> Iterator[dict[str, list[Told]]]:
    """Let crowds ask while the block runs; what they were told, by path, is there after it."""
    told: dict[str, list[Told]] = {}
    stop = Event()
    with ThreadPoolExecutor(len(crowds)) as pool:
        running = {path: crowd.run_beside(pool, stop) for path, crowd in crowds.items()}
        try:
            yield told
        finally:
            stop.set()
            told.update({path: future.result() for path, future in running.items()})
            print(f"  {summary(told)}")


def all_answered(scene: Scene, purpose: str) -> bool:
    """Tell whether a call of each path at each entry is answered."""
    for name in scene.names_of("routes"):
        for path, method in ((LIST, "GET"), (PAPERS, "GET"), (BOOK, "POST")):
            marker = f"p{scene.seed}-{purpose}-{name}-{path[8:]}-{monotonic()}"
            key = marker if path == BOOK else None
            port = scene.cluster[name].callers
            if not ask(port, marker, path, method, "probe", key).answered:
                return False
    return True


def wait_until_back(crowds: dict[str, Crowd], ended_at: float) -> float:
    """Wait until all crowds are answered and return the seconds to the last failure."""
    limit_s = BACK_WITHIN_S + ANSWERED_FOR_S
    wait_until(lambda: all(map(is_answered, crowds.values())), limit_s, "all calls answered")
    heard = [told for crowd in crowds.values() for told in crowd.heard]
    failed = [told.ended_at for told in heard if not told.answered]
    return max([*failed, ended_at]) - ended_at


def is_answered(crowd: Crowd) -> bool:
    """Tell whether a crowd has lately been told answers and nothing else."""
    since = monotonic() - ANSWERED_FOR_S
    late = [told for told in list(crowd.heard) if told.ended_at >= since]
    return len(late) >= ANSWERS_LATELY and all(told.answered for told in late)


def in_force(scene: Scene) -> bool:
    """Tell whether one version, no older than any accepted one, is in force on all nodes."""
    versions = {scene.cluster.rule_version_of(name) for name in scene.cluster.instances}
    newest = max((version for version, _ in scene.accepted), default=0)
    return len(versions) == 1 and versions.pop() >= newest


def summary(told: dict[str, list[Told]]) -> dict[str, dict[str, int]]:
    """Return how often each outcome was told, with its reason, by path."""
    return {
        path: dict(Counter(f"{each.outcome} {each.reason}".strip() for each in list_))
        for path, list_ in told.items()
    }


def check_answers(told: dict[str, list[Told]]) -> None:
    """Check that each answer is whole and its caller's own."""
    for list_ in told.values():
        assert [each for each in list_ if each.answered and not each.whole] == []


def check_runs(cluster: Cluster, told: dict[str, list[Told]]) -> None:
    """Check that nothing with a key ran twice and nothing told as not run ran."""
    ran = markers_run(cluster.targets)
    for list_ in told.values():
        assert [marker for marker in told_not_run(list_) if marker in ran] == []
    logs = [run_log(target) for target in cluster.targets]
    keyed = Counter((run["call"], run["idempotency_key"]) for log in logs for run in log["runs"])
    twice = [pair for pair, count in keyed.items() if pair[1] is not None and count > 1]
    assert twice == []
    assert [log["counts"]["calls_wrong"] for log in logs] == [0] * len(logs)


def check_classes(critical: list[Told], sheddable: list[Told], until: float) -> None:
    """Check that critical calls fare no worse than sheddable ones while the faults last."""
    shares = []
    for list_ in (critical, sheddable):
        asked = [each for each in list_ if each.began_at < until]
        if len(asked) < SHARE_SAMPLES:
            return
        shares.append(sum(each.answered for each in asked) / len(asked))
    assert shares[0] >= shares[1] - SHARE_SLACK


def check_versions(scene: Scene, log: VersionLog) -> None:
    """Check that no version fell and that none was accepted with two contents."""
    assert log.falls() == []
    digests: dict[int, set[str]] = {}
    for version, digest in scene.accepted:
        digests.setdefault(version, set()).add(digest)
    assert [version for version, each in digests.items() if len(each) > 1] == []
