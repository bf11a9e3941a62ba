"""Tests of the plain forwarder with real processes."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from harness import Process, Processes, control, free_port, run_log, send, wait_until

SLOTS = 2


def start_pair(processes: Processes, policy: str) -> tuple[Process, Process]:
    """Start a forwarder and its target, and wait until the target is announced."""
    port = free_port()
    options = ["--policy", policy, "--member", f"stock={port}", "--local-port", str(port)]
    plain = processes.start("plain", "standins.plain", *options)
    settings = {
        "service": "stock",
        "slots": SLOTS,
        "node_port": plain.ready["outbound"],
        "calls": [{"name": "level", "service_ms": 0}, {"name": "reserve", "service_ms": 500}],
    }
    target = processes.start_target("stock", settings)
    wait_until(lambda: send(port, "/stock/level").status == 200, what="the announcement")
    return plain, target


def count_attempts(target: Process) -> int:
    return run_log(target)["counts"]["received"]


class TestRetries:
    @pytest.mark.parametrize(
        ("policy", "expected"),
        [("none", 1), ("retries", 4), ("fixed", 4)],
    )
    def test_attempts_of_a_failing_call(self, tmp_path: Path, policy: str, expected: int) -> None:
        with Processes(tmp_path) as processes:
            plain, target = start_pair(processes, policy)
            control(target, fail_rate=1.0)
            before = count_attempts(target)
            assert send(plain.ready["callers"], "/stock/level").status == 500
            assert count_attempts(target) - before == expected


class TestLimit:
    @pytest.mark.parametrize(("policy", "refused"), [("none", 0), ("fixed", 4)])
    def test_calls_beyond_the_slots(self, tmp_path: Path, policy: str, refused: int) -> None:
        with Processes(tmp_path) as processes:
            plain, _ = start_pair(processes, policy)
            port = plain.ready["local"]
            with ThreadPoolExecutor(SLOTS + 4) as pool:
                responses = pool.map(lambda _: send(port, "/stock/reserve"), range(SLOTS + 4))
                statuses = [response.status for response in responses]
            assert statuses.count(503) == refused


class TestForwarding:
    def test_headers_of_the_caller_reach_the_target(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            plain, target = start_pair(processes, "none")
            headers = {"x-marker": "m1", "idempotency-key": "k1"}
            send(plain.ready["callers"], "/stock/level", "POST", headers=headers)
            last = run_log(target)["runs"][-1]
            assert (last["marker"], last["idempotency_key"]) == ("m1", "k1")

    def test_unknown_service_is_not_found(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            plain, _ = start_pair(processes, "none")
            assert send(plain.ready["callers"], "/docs/write").status == 404
