"""Promise: the retries of one request are bounded across the whole chain, however deep."""

from __future__ import annotations

from pathlib import Path
from time import monotonic

import pytest
from cluster import Cluster, make_cluster
from crowd import ask, markers_run
from harness import Processes, control, runs_of_marker, send
from stock_cluster import call_rule, two_of_stock, wait_until_known

from pollenbay.budget import BURST_RETRIES, RETRIES_PER_FIRST_CALL, RETRIES_PER_S
from pollenbay.rule import ServiceRule

CHAIN_RETRIES = 3
DEPTH = 4


class TestChain:
    """The allowance of a request is shared by all its sub-calls."""

    @pytest.fixture
    def chain(self, tmp_path: Path):
        """Yield a chain of services, each with two instances, the deepest of which fails."""
        with Processes(tmp_path) as processes:
            cluster = make_cluster(processes)
            names = [f"s{level}" for level in range(DEPTH)]
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


class TestNode:
    """What one node adds."""

    CALLS = 60

    def test_ratio_of_retries_to_first_calls(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            for target in cluster.targets:
                control(target, cut_short=True)
            began_at = monotonic()
            for number in range(self.CALLS):
                ask(cluster["stock-1"].callers, f"r{number}", "/stock/read", "GET", "c", None)
            took_s = monotonic() - began_at
            retries = sum(markers_run(cluster.targets).values()) - self.CALLS
            earned = RETRIES_PER_FIRST_CALL * self.CALLS + RETRIES_PER_S * took_s
            assert 0 < retries <= BURST_RETRIES + earned

    def test_target_that_drops_the_context_gets_no_retries(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            for target in cluster.targets:
                control(target, cut_short=True)
            outbound = cluster["stock-1"].node.ready["outbound"]
            for number in range(5):
                answer = send(outbound, "/stock/read", headers={"x-marker": f"m{number}"})
                assert answer.headers["pollenbay-outcome"] == "unknown"
                assert runs_of_marker(cluster.targets, f"m{number}") == 1

    def test_context_of_no_call_in_progress_is_refused(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            outbound = cluster["stock-1"].node.ready["outbound"]
            headers = {"x-marker": "m", "pollenbay-context": "12345"}
            answer = send(outbound, "/stock/read", headers=headers)
            assert answer.headers["pollenbay-reason"] == "bad-context"
            assert runs_of_marker(cluster.targets, "m") == 0
