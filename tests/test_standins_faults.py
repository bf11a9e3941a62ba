"""Tests of the fault-injecting proxy."""

from http.client import HTTPException
from time import monotonic

import pytest
from harness import Process, Processes, control, counts, kept_connection, read_answer, send

SILENT_WITHIN_S = 0.5


@pytest.fixture
def processes(tmp_path):
    with Processes(tmp_path) as running:
        yield running


@pytest.fixture
def target(processes) -> Process:
    return processes.start_target(
        "target", {"service": "stock", "calls": [{"name": "count", "service_ms": 1}]}
    )


@pytest.fixture
def proxy(processes, target) -> Process:
    return processes.start_proxy(target.port)


def ask(connection) -> bytes:
    connection.request("GET", "/count", headers={"x-marker": "m"})
    return read_answer(connection.getresponse()).body


class TestPassing:
    def test_answers_pass(self, proxy):
        assert send(proxy.port, "/count").status == 200

    def test_delay_holds_both_ways(self, proxy):
        control(proxy, mode="delay", delay_ms=150)
        started = monotonic()
        assert send(proxy.port, "/count").status == 200
        assert monotonic() - started >= 0.3

    def test_unknown_mode_is_refused(self, proxy):
        assert send(proxy.control_port, "/control", "POST", '{"mode": "x"}').status == 400


class TestCut:
    def test_open_connections_break_and_new_ones_are_refused_until_it_ends(self, proxy):
        with kept_connection(proxy.port) as connection:
            ask(connection)
            control(proxy, mode="cut")
            with pytest.raises((OSError, HTTPException)):
                ask(connection)
        with pytest.raises(ConnectionRefusedError):
            send(proxy.port, "/count")
        assert counts(proxy)["open"] == 0
        control(proxy, mode="pass")
        assert send(proxy.port, "/count").status == 200


class TestSilence:
    def test_open_connections_go_silent_for_good_and_new_ones_work(self, proxy, target):
        with kept_connection(proxy.port, SILENT_WITHIN_S) as connection:
            ask(connection)
            control(proxy, mode="silence")
            with pytest.raises(TimeoutError):
                ask(connection)
            control(proxy, mode="pass")
            with kept_connection(proxy.port) as fresh:
                assert ask(fresh)
        assert counts(proxy)["dropped_bytes"] > 0
        assert counts(proxy)["open"] >= 1

    def test_blackhole_takes_new_connections_too(self, proxy):
        control(proxy, mode="blackhole")
        with pytest.raises(TimeoutError):
            send(proxy.port, "/count", within_s=SILENT_WITHIN_S)
        control(proxy, mode="pass")
        assert send(proxy.port, "/count").status == 200

    def test_half_open_lets_requests_through(self, proxy, target):
        with kept_connection(proxy.port, SILENT_WITHIN_S) as connection:
            ask(connection)
            control(proxy, mode="half-open")
            with pytest.raises(TimeoutError):
                ask(connection)
        log = send(target.control_port, "/control/runs").json()
        assert log["counts"]["finished"] == 2
        assert send(proxy.port, "/count").status == 200


class TestLoseAnswer:
    def test_the_request_runs_and_its_answer_is_lost(self, proxy, target):
        control(proxy, mode="lose-answer", count=1)
        with pytest.raises((OSError, HTTPException)):
            send(proxy.port, "/count")
        log = send(target.control_port, "/control/runs").json()
        assert log["counts"]["finished"] == 1
        assert send(proxy.port, "/count").status == 200
        assert counts(proxy)["lost"] == 1
