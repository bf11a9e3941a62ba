"""Promise: the retries of one request are bounded across the call chain, whatever its depth.

Without a shared allowance, retries multiply at each service of the chain when the last one fails.
"""

from __future__ import annotations

from pathlib import Path
from time import monotonic

import pytest
from cluster import Cluster, make_cluster
from harness import Processes, control, runs_of_marker, send
from load_clients import runs_by_marker, send_call
from stock_cluster import call_rule, start_stock_pair, wait_until_all_serving

from pollenbay.budget import BURST_TOKENS, TOKENS_PER_FIRST_ATTEMPT, TOKENS_PER_S
from pollenbay.rule import ServiceRule

CHAIN_RETRIES = 3
DEPTH = 4


class TestChain:
    """The retry allowance of a request, shared by all its nested calls."""

    @pytest.fixture
    def chain(self, tmp_path: Path):
        """Yield a chain of services with two instances each."""
        with Processes(tmp_path) as processes:
            cluster = make_cluster(processes)
            names = [f"s{depth}" for depth in range(DEPTH)]
            downstream = {name: f"{names[depth + 1]}.go" for depth, name in enumerate(names[:-1])}
            cluster.publish(*(self._rule(name, downstream.get(name)) for name in names))
            for name in names:
                calls = [
                    {"name": "go", "service_ms": 1, "calls": self._as_list(downstream.get(name))}
                ]
                for number in (1, 2):
                    cluster.add(f"{name}-{number}", name, calls)
            wait_until_all_serving(cluster)
            yield cluster

    def _rule(self, name: str, downstream: str | None) -> ServiceRule:
        rule = call_rule("go", retries=CHAIN_RETRIES, calls=tuple(self._as_list(downstream)))
        return ServiceRule(service=name, calls=(rule,))

    def _as_list(self, downstream: str | None) -> list[str]:
        return [] if downstream is None else [downstream]

    def test_attempts_at_the_deepest_service_stay_within_the_allowance(
        self, chain: Cluster
    ) -> None:
        for number in (1, 2):
            control(chain[f"s3-{number}"].target, cut_short=True)
        for number in range(5):
            send_call(chain["s0-1"].caller_port, f"r{number}", "/s0/go", "GET", f"c{number}", None)
        deepest = [chain["s3-1"].target, chain["s3-2"].target]
        runs = runs_by_marker(deepest)
        for number in range(5):
            attempts = sum(count for marker, count in runs.items() if f"r{number}/" in marker)
            assert 1 <= attempts <= 1 + CHAIN_RETRIES


class TestRetryBudget:
    """The retries that one node adds."""

    CALLS = 60

    def test_retries_stay_within_the_budget(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            for target in cluster.targets:
                control(target, cut_short=True)
            started_at = monotonic()
            for number in range(self.CALLS):
                send_call(
                    cluster["stock-1"].caller_port, f"r{number}", "/stock/read", "GET", "c", None
                )
            elapsed_s = monotonic() - started_at
            retries = sum(runs_by_marker(cluster.targets).values()) - self.CALLS
            earned = TOKENS_PER_FIRST_ATTEMPT * self.CALLS + TOKENS_PER_S * elapsed_s
            assert 0 < retries <= BURST_TOKENS + earned

    def test_call_without_context_gets_no_retries(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            for target in cluster.targets:
                control(target, cut_short=True)
            outbound = cluster["stock-1"].node.ready["outbound"]
            for number in range(5):
                response = send(outbound, "/stock/read", headers={"x-marker": f"m{number}"})
                assert response.headers["pollenbay-outcome"] == "unknown"
                assert runs_of_marker(cluster.targets, f"m{number}") == 1

    def test_context_of_no_call_in_progress_is_rejected(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            outbound = cluster["stock-1"].node.ready["outbound"]
            headers = {"x-marker": "m", "pollenbay-context": "12345"}
            response = send(outbound, "/stock/read", headers=headers)
            assert response.headers["pollenbay-reason"] == "bad-context"
            assert runs_of_marker(cluster.targets, "m") == 0
