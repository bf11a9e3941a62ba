"""Tests of the target stand-in."""

import json
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from http.client import HTTPConnection, IncompleteRead
from queue import Queue
from socket import create_connection, create_server, socket
from threading import Thread

import pytest
from harness import (
    ADDRESS,
    Process,
    Processes,
    control,
    run_log,
    runs_of_key,
    send,
    wait_until,
)
from msgspec import convert

from pollenbay.announcement import ANNOUNCE_PATH
from pollenbay.states import TargetState
from standins.commands.target import draw_service_time, sample_load, set_faults
from standins.marker import is_expected_body
from standins.queries.target import make_announcement
from standins.target_settings import TargetSettings
from standins.target_state import Faults, make_target_store

CALLS = [
    {"name": "count", "service_ms": 1},
    {"name": "slow", "service_ms": 3000},
    {"name": "chain", "service_ms": 1, "calls": ["stock.slow", "stock.count"], "parallel": True},
    {"name": "short", "service_ms": 1, "calls": ["stock.count", "stock.count"]},
]


@pytest.fixture
def processes(tmp_path):
    with Processes(tmp_path) as running:
        yield running


@pytest.fixture
def target(processes) -> Process:
    return processes.start_target("target", {"service": "stock", "slots": 1, "calls": CALLS})


def start_calling_target(processes: Processes, node_port: int, **settings: object) -> Process:
    """Start a target whose nested calls go to `node_port`, on which any process may listen."""
    document = {"service": "shop", "node_port": node_port, "calls": CALLS, **settings}
    return processes.start_target("shop", document)


@contextmanager
def node_that_holds_calls() -> Iterator[tuple[int, Queue[tuple[socket, bytes]]]]:
    """Yield the port of a node and the nested calls that it leaves unanswered.

    Each is given as its connection and the bytes of the request.
    """
    held: Queue[tuple[socket, bytes]] = Queue()

    def serve(connection: socket) -> None:
        with suppress(OSError):
            while request := connection.recv(65536):
                if ANNOUNCE_PATH.encode("ascii") not in request:
                    held.put((connection, request))
                    return
                connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")

    def accept() -> None:
        with suppress(OSError):
            while True:
                connection, _ = listener.accept()
                Thread(target=serve, args=(connection,), daemon=True).start()

    listener = create_server((ADDRESS, 0))
    Thread(target=accept, daemon=True).start()
    try:
        yield listener.getsockname()[1], held
    finally:
        listener.close()


class TestResponses:
    def test_response_is_filled_with_its_marker(self, target):
        response = send(target.port, "/stock/count?x=1", headers={"x-marker": "m7", "x-size": "50"})
        assert response.headers["x-marker"] == "m7"
        assert is_expected_body(response.body, "m7", 50)
        assert not is_expected_body(response.body[:-1], "m7", 50)
        assert not is_expected_body(response.body, "m8", 50)

    def test_unknown_call_is_not_found(self, target):
        assert send(target.port, "/none").status == 404

    def test_runs_are_logged_with_their_key(self, target):
        for _ in range(2):
            send(target.port, "/count", headers={"idempotency-key": "k"})
        assert runs_of_key([target], "k") == 2
        assert runs_of_key([target], "other") == 0

    def test_invalid_size_is_rejected(self, target):
        assert send(target.port, "/count", headers={"x-size": "x"}).status == 400
        assert send(target.port, "/count").status == 200


class TestSlots:
    def test_calls_beyond_the_slots_wait(self, target):
        with pytest.raises(TimeoutError):
            send(target.port, "/slow", within_s=0.2)
        first = Thread(target=send, args=(target.port, "/slow"))
        first.start()
        wait_until(lambda: run_log(target)["counts"]["started"] == 2)
        with pytest.raises(TimeoutError):
            send(target.port, "/count", within_s=0.2)
        first.join()
        counts = run_log(target)["counts"]
        assert (counts["received"], counts["started"], counts["finished"]) == (3, 2, 1)

    def test_calls_beyond_the_slots_are_shed_when_configured(self, processes):
        document = {"service": "stock", "slots": 1, "shed": True, "calls": CALLS}
        target = processes.start_target("target", document)
        first = Thread(target=send, args=(target.port, "/slow"))
        first.start()
        wait_until(lambda: run_log(target)["counts"]["started"] == 1)
        assert send(target.port, "/count").status == 503
        first.join()


class TestCancellation:
    def test_work_stops_when_the_client_disconnects(self, target):
        connection = HTTPConnection("127.0.0.1", target.port, timeout=5)
        connection.request("GET", "/slow")
        wait_until(lambda: run_log(target)["counts"]["started"] == 1)
        connection.close()
        wait_until(lambda: run_log(target)["counts"]["cancelled"] == 1, 2.0)
        assert send(target.port, "/count").status == 200
        assert [run["finished"] for run in run_log(target)["runs"]] == [False, True]

    def test_work_stops_at_the_deadline(self, target):
        response = send(target.port, "/slow", headers={"pollenbay-deadline-ms": "100"})
        assert response.status == 504
        assert run_log(target)["counts"]["expired"] == 1


class TestNestedCalls:
    def test_nested_calls_carry_the_derived_key(self, processes, target):
        shop = start_calling_target(processes, target.port)
        headers = {"idempotency-key": "k", "pollenbay-deadline-ms": "2000"}
        assert send(shop.port, "/short", headers=headers).status == 200
        assert runs_of_key([target], "k/stock.count") == 2

    def test_nested_calls_carry_context_and_time_left(self, processes):
        with node_that_holds_calls() as (node_port, held):
            shop = start_calling_target(processes, node_port)
            headers = {"pollenbay-context": "c7", "pollenbay-deadline-ms": "700"}
            assert send(shop.port, "/short", headers=headers).status == 504
            _, request = held.get(timeout=5)
        lines = request.decode("ascii").lower().split("\r\n")
        sent = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        assert sent["pollenbay-context"] == "c7"
        assert 0 < int(sent["pollenbay-deadline-ms"]) <= 700

    def test_failed_nested_call_fails_the_parent_call(self, processes, target):
        shop = start_calling_target(processes, target.port)
        control(target, fail_rate=1.0)
        assert send(shop.port, "/short").status == 502
        counts = run_log(shop)["counts"]
        assert (counts["calls_failed"], counts["finished"]) == (1, 0)
        assert run_log(target)["counts"]["received"] == 1

    def test_foreign_response_to_a_nested_call_fails_the_parent_call(self, processes, target):
        shop = start_calling_target(processes, target.port)
        control(target, foreign=True)
        assert send(shop.port, "/short").status == 502
        assert run_log(shop)["counts"]["calls_wrong"] == 1

    def test_nested_response_and_disconnect_of_the_client_arrive_together(self, processes):
        with node_that_holds_calls() as (node_port, held):
            shop = start_calling_target(processes, node_port)
            for _ in range(3):
                client = create_connection((ADDRESS, shop.port))
                client.sendall(b"GET /short HTTP/1.1\r\nhost: a\r\n\r\n")
                nested, _ = held.get(timeout=5)
                shop.pause()
                nested.sendall(b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n")
                client.close()
                shop.resume()
                nested.close()
            wait_until(lambda: run_log(shop)["counts"]["calls_failed"] == 3)
            assert send(shop.port, "/count").status == 200
            assert "Task Crash" not in shop.errors()

    def test_parallel_nested_calls_run_concurrently(self, processes):
        wide = processes.start_target("wide", {"service": "stock", "slots": 2, "calls": CALLS})
        shop = start_calling_target(processes, wide.port)
        call = Thread(target=send, args=(shop.port, "/chain"))
        call.start()
        wait_until(lambda: run_log(wide)["counts"]["finished"] == 1)
        finished = {run["call"]: run["finished"] for run in run_log(wide)["runs"]}
        assert finished == {"slow": False, "count": True}
        call.join()


class TestFaults:
    def test_hang_runs_the_call_without_responding(self, target):
        control(target, hang=True)
        with pytest.raises(TimeoutError):
            send(target.port, "/count", within_s=0.3)
        assert run_log(target)["counts"]["started"] == 1

    def test_cut_short_response_is_truncated(self, target):
        control(target, cut_short=True)
        with pytest.raises(IncompleteRead):
            send(target.port, "/count")

    def test_failures_are_reproducible_by_seed(self, processes):
        def statuses() -> list[int]:
            document = {"service": "stock", "seed": 5, "calls": CALLS}
            target = processes.start_target("seeded", document)
            control(target, fail_rate=0.5)
            return [send(target.port, "/count").status for _ in range(20)]

        first = statuses()
        assert {200, 500} == set(first)
        assert statuses() == first

    def test_unknown_fault_is_rejected(self, target):
        response = send(target.control_port, "/control", "POST", json.dumps({"hangs": True}))
        assert response.status == 400


class TestServiceTime:
    def store(self, **settings: object):
        document = {"service": "stock", "calls": CALLS, **settings}
        return make_target_store(convert(document, TargetSettings), 100.0)

    def test_cold_target_is_slower(self):
        store = self.store(cold_start_s=5, cold_factor=4)
        assert draw_service_time(store, "slow", 104.0) == pytest.approx(12.0)
        assert draw_service_time(store, "slow", 106.0) == pytest.approx(3.0)

    def test_service_time_factor_slows_all_calls(self):
        store = self.store()
        set_faults(store, Faults(service_time_factor=2.0))
        assert draw_service_time(store, "slow", 101.0) == pytest.approx(6.0)

    def test_jitter_stays_within_its_ratio(self):
        store = self.store(jitter=0.1)
        times = [draw_service_time(store, "slow", 101.0) for _ in range(200)]
        assert 2.7 <= min(times) < 2.9 and 3.1 < max(times) <= 3.3


class TestReports:
    def report(self, store, now: float):
        return make_announcement(store, 80, sample_load(store, now))

    @pytest.fixture
    def store(self):
        document = {"service": "stock", "slots": 4, "calls": CALLS}
        return make_target_store(convert(document, TargetSettings), 100.0)

    def test_actual_load_is_reported_without_faults(self, store):
        store.in_flight = 3
        announcement = self.report(store, 101.0)
        assert (announcement.in_flight, announcement.reported_load) == (3, 0.75)
        assert (announcement.state, announcement.port) == (TargetState.SERVING, 80)

    def test_lagging_report_is_outdated(self, store):
        set_faults(store, Faults(load_lag_s=2.0))
        for second, in_flight in enumerate([1, 2, 3, 4]):
            store.in_flight = in_flight
            announcement = self.report(store, 101.0 + second)
        assert announcement.in_flight == 2

    def test_misleading_report_has_the_configured_load(self, store):
        store.in_flight = 4
        set_faults(store, Faults(reported_load=0.0))
        assert self.report(store, 101.0).in_flight == 0

    def test_leaving_target_reports_its_state(self, store):
        set_faults(store, Faults(leave=True))
        assert self.report(store, 101.0).state is TargetState.LEAVING


class TestAnnouncements:
    def test_announcements_without_acceptance_are_counted(self, processes, target):
        shop = start_calling_target(processes, target.port)
        wait_until(lambda: run_log(shop)["counts"]["announcements_failed"] >= 2)

    def test_sigterm_waits_for_calls_in_flight(self, processes):
        document = {"service": "stock", "linger_s": 0.1, "calls": CALLS}
        target = processes.start_target("target", document)
        responses = []
        call = Thread(target=lambda: responses.append(send(target.port, "/slow")))
        call.start()
        wait_until(lambda: run_log(target)["counts"]["started"] == 1)
        target.terminate()
        assert target.wait() == 0
        call.join()
        assert responses[0].status == 200
