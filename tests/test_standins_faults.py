"""Tests of the fault-injecting proxy."""

from http.client import HTTPException
from time import monotonic

import pytest
from harness import (
    Process,
    Processes,
    control,
    keep_alive_connection,
    read_counters,
    read_response,
    send,
)

RESPONSE_TIMEOUT_S = 0.5


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


def get_count(connection) -> bytes:
    connection.request("GET", "/count", headers={"x-marker": "m"})
    return read_response(connection.getresponse()).body


class TestPassThrough:
    def test_responses_pass(self, proxy):
        assert send(proxy.port, "/count").status == 200

    def test_delay_applies_in_both_directions(self, proxy):
        control(proxy, mode="delay", delay_ms=150)
        started_at = monotonic()
        assert send(proxy.port, "/count").status == 200
        assert monotonic() - started_at >= 0.3

    def test_unknown_mode_is_rejected(self, proxy):
        assert send(proxy.control_port, "/control", "POST", '{"mode": "x"}').status == 400


class TestCut:
    def test_cut_breaks_open_connections_and_refuses_new_ones_until_cleared(self, proxy):
        with keep_alive_connection(proxy.port) as connection:
            get_count(connection)
            control(proxy, mode="cut")
            with pytest.raises((OSError, HTTPException)):
                get_count(connection)
        with pytest.raises(ConnectionRefusedError):
            send(proxy.port, "/count")
        assert read_counters(proxy)["open"] == 0
        control(proxy, mode="pass")
        assert send(proxy.port, "/count").status == 200


class TestUnresponsive:
    def test_silence_affects_open_connections_permanently_but_not_new_ones(self, proxy, target):
        with keep_alive_connection(proxy.port, RESPONSE_TIMEOUT_S) as connection:
            get_count(connection)
            control(proxy, mode="silence")
            with pytest.raises(TimeoutError):
                get_count(connection)
            control(proxy, mode="pass")
            with keep_alive_connection(proxy.port) as fresh:
                assert get_count(fresh)
        assert read_counters(proxy)["dropped_bytes"] > 0
        assert read_counters(proxy)["open"] >= 1

    def test_blackhole_affects_new_connections(self, proxy):
        control(proxy, mode="blackhole")
        with pytest.raises(TimeoutError):
            send(proxy.port, "/count", within_s=RESPONSE_TIMEOUT_S)
        control(proxy, mode="pass")
        assert send(proxy.port, "/count").status == 200

    def test_half_open_passes_requests_only(self, proxy, target):
        with keep_alive_connection(proxy.port, RESPONSE_TIMEOUT_S) as connection:
            get_count(connection)
            control(proxy, mode="half-open")
            with pytest.raises(TimeoutError):
                get_count(connection)
        log = send(target.control_port, "/control/runs").json()
        assert log["counts"]["finished"] == 2
        assert send(proxy.port, "/count").status == 200


class TestLoseResponse:
    def test_request_runs_and_its_response_is_lost(self, proxy, target):
        control(proxy, mode="lose-answer", count=1)
        with pytest.raises((OSError, HTTPException)):
            send(proxy.port, "/count")
        log = send(target.control_port, "/control/runs").json()
        assert log["counts"]["finished"] == 1
        assert send(proxy.port, "/count").status == 200
        assert read_counters(proxy)["lost"] == 1
