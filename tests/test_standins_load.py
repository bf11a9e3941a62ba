"""Tests of the load tool."""

import json
import subprocess

import pytest
from harness import Processes, control
from hypothesis import given
from hypothesis import strategies as st

from pollenbay.states import CallClass
from standins.commands.load import record_refusal
from standins.load_settings import Phase
from standins.load_state import Refusal, RequestRecord, Result, make_load_state
from standins.queries.load import compare_with_run_logs, format_table, make_report
from standins.target_state import CallCounts, CallRun, RunLog

PHASES = [
    Phase(name="base", rate_per_s=10, seconds=5),
    Phase(name="surge", rate_per_s=10, seconds=2),
    Phase(name="after", rate_per_s=10, seconds=8),
]


@pytest.fixture
def processes(tmp_path):
    with Processes(tmp_path) as running:
        yield running


def ending(second: int, result: Result, key: str | None = None) -> RequestRecord:
    return RequestRecord(CallClass.NORMAL, key, second + 0.2, second + 0.3, (result,))


def state_with_outage(first: int, end: int):
    state = make_load_state()
    for second in range(15):
        result = Result.NOT_RUN if first <= second < end else Result.COMPLETE
        state.request_records += [ending(second, result) for _ in range(10)]
    return state


class TestReport:
    @given(st.integers(0, 5))
    def test_recovery_is_measured_from_the_end_of_the_surge(self, lag_s):
        recovery = make_report(state_with_outage(5, 7 + lag_s), PHASES).recovery
        assert recovery.goodput_s == recovery.share_s == lag_s

    def test_unhealthy_base_phase_is_reported(self):
        state = state_with_outage(5, 7)
        state.request_records += [ending(2, Result.NOT_RUN) for _ in range(10)]
        report = make_report(state, PHASES)
        assert report.recovery.base_share == pytest.approx(40 / 50)
        assert "whole answers in the base: 80.0%" in format_table(report)

    def test_missing_recovery_is_reported(self):
        recovery = make_report(state_with_outage(5, 14), PHASES).recovery
        assert recovery.goodput_s is None

    def test_only_complete_responses_count_as_goodput(self):
        report = make_report(state_with_outage(5, 7), PHASES)
        surge = [item for item in report.classes if item.phase == "surge" and item.sent]
        assert [(item.whole, item.not_run, item.sent) for item in surge] == [(0, 20, 20)]


class TestRefusals:
    def test_rejections_are_counted_by_call_and_reason(self):
        state = make_load_state()
        for reason in ("overload", "deadline", "overload"):
            record_refusal(state, Refusal("stock.count", Result.NOT_RUN, reason))
        report = make_report(state, PHASES)
        assert [(item.refusal.reason, item.attempts) for item in report.refusals] == [
            ("overload", 2),
            ("deadline", 1),
        ]
        assert "stock.count: not-run, overload: 2 attempts" in format_table(report)


class TestRunLogCheck:
    def log(self, *keys: str) -> RunLog:
        return RunLog([CallRun("book", key, "m", 0.0) for key in keys], CallCounts())

    def test_key_run_on_two_targets_is_detected(self):
        truth = compare_with_run_logs(make_load_state(), [self.log("a", "b"), self.log("a")])
        assert (truth.keys_run, truth.doubled) == (2, 1)

    def test_run_reported_as_not_run_is_detected(self):
        state = make_load_state()
        state.request_records = [ending(0, Result.NOT_RUN, "a"), ending(0, Result.NOT_RUN, "b")]
        assert compare_with_run_logs(state, [self.log("a")]).run_after_all == 1
        assert compare_with_run_logs(state, [self.log("b/stock.reserve")]).run_after_all == 1
        assert compare_with_run_logs(state, [self.log("c")]).run_after_all == 0


class TestTool:
    def run(self, processes: Processes, target, retry: dict[str, object]):
        document = {
            "phases": [{"name": "base", "rate_per_s": 40, "seconds": 1}],
            "groups": [
                {
                    "name": "shops",
                    "retry": retry,
                    "mix": [{"call": "stock.count", "class": "critical", "keyed": True}],
                },
                {
                    "name": "night",
                    "callers": 2,
                    "loop": {"kind": "closed", "think_ms": 20},
                    "mix": [{"call": "stock.count", "class": "normal"}],
                },
            ],
        }
        config = processes.write_yaml("load.yaml", document)
        ports = ["--port", str(target.port), "--target-control", str(target.control_port)]
        tool = processes.spawn("load", "standins.caller", "--config", str(config), *ports)
        try:
            output, _ = tool.popen.communicate(timeout=30)
        except subprocess.TimeoutExpired:
            pytest.fail("the load tool did not end")
        assert tool.popen.returncode == 0, tool.errors()
        report = json.loads(output)
        return {item["call_class"]: item for item in report["classes"]}, report["truth"]

    @pytest.fixture
    def target(self, processes):
        calls = [{"name": "count", "service_ms": 1}]
        return processes.start_target("target", {"service": "stock", "calls": calls})

    def test_complete_responses_are_counted_by_class(self, processes, target):
        classes, truth = self.run(processes, target, {"kind": "none"})
        assert classes["critical"]["whole"] == classes["critical"]["sent"] > 0
        assert classes["normal"]["whole"] == classes["normal"]["sent"] > 0
        assert truth["keys_run"] == classes["critical"]["sent"]
        assert truth["doubled"] == 0

    def test_hard_retries_run_the_call_again(self, processes, target):
        control(target, fail_rate=1.0)
        classes, truth = self.run(processes, target, {"kind": "hard", "times": 2})
        critical = classes["critical"]
        assert critical["failed"] == critical["sent"] > 0
        assert critical["attempts"] == 3 * critical["sent"]
        assert truth["doubled"] == truth["keys_run"] == critical["sent"]

    def test_responses_to_another_request_are_wrong(self, processes, target):
        control(target, foreign=True)
        classes, _ = self.run(processes, target, {"kind": "hard", "times": 2})
        critical = classes["critical"]
        assert critical["wrong"] == critical["sent"] == critical["attempts"] > 0

    def test_truncated_responses_are_unknown(self, processes, target):
        control(target, cut_short=True)
        classes, _ = self.run(processes, target, {"kind": "none"})
        assert classes["critical"]["unknown"] == classes["critical"]["sent"] > 0
