"""Promise: a caller receives the complete response to its own request.

The tests guard against truncated responses and against responses to other requests, after faults on
links between nodes and after malformed, truncated or duplicate responses of targets.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event
from time import sleep

import pytest
from cluster import Cluster, make_cluster
from harness import Processes, control, read_counters, wait_until
from load_clients import BODY_BYTES, CallResult, LoadClients, expected_body, send_call
from raw_target import marker_of, raw_target
from stock_cluster import STOCK, metric, serve_only_at, start_stock_pair

#: Exceeds the time after which a node gives up an unresponsive link.
DELAY_MS = 2000
BROKEN_RESPONSE_METRIC = 'pollenbay_unknown_total{reason="answer-broken"}'


@pytest.fixture(scope="module")
def lone_node(tmp_path_factory):
    """Yield a cluster with one node without a target, and the node's outbound port."""
    with Processes(tmp_path_factory.mktemp("alone")) as processes:
        cluster = make_cluster(processes)
        cluster.publish(STOCK)
        instance = cluster.add_node("stock-1", "stock")
        yield cluster, instance.node.ready["outbound"]


class TestLinkFaults:
    @pytest.mark.parametrize("fault", ["silence", "half-open", "cut", "lose-answer"])
    def test_responses_are_complete_under_link_faults(self, tmp_path: Path, fault: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes, proxied=True)
            ports = [instance.caller_port for instance in cluster.instances.values()]
            clients, stop = LoadClients(ports, ["/stock/read"], callers=6, pause_s=0.01), Event()
            with ThreadPoolExecutor(1) as pool:
                future = clients.run_in_background(pool, stop)
                for _ in range(3):
                    sleep(1)
                    control(cluster["stock-2"].link_proxy, mode=fault)
                    sleep(1)
                    control(cluster["stock-2"].link_proxy, mode="pass")
                stop.set()
                results = future.result()
            assert wrong_results(results) == []
            assert len([each for each in results if each.answered]) > len(results) / 2

    def test_late_responses_reach_no_other_caller(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            clients = LoadClients(
                [cluster["stock-1"].caller_port], ["/stock/read"], callers=6, pause_s=0.01
            )
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                future = clients.run_in_background(pool, stop)
                for _ in range(2):
                    sleep(0.5)
                    control(cluster["stock-2"].link_proxy, mode="delay", delay_ms=DELAY_MS)
                    sleep(1.0)
                    control(cluster["stock-2"].link_proxy, mode="pass")
                    sleep(2.0)
                stop.set()
                results = future.result()
            assert wrong_results(results) == []
            timeout_metric = 'pollenbay_unknown_total{reason="connection-silent"}'
            assert metric(cluster, "stock-1", timeout_metric) > 0, "no response was late"

    def test_calls_on_unresponsive_connections_are_retried_in_time(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            clients = LoadClients(
                [cluster["stock-1"].caller_port], ["/stock/read"], callers=4, pause_s=0.01
            )
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                future = clients.run_in_background(pool, stop)
                sleep(1)
                control(cluster["stock-2"].link_proxy, mode="silence")
                sleep(4)
                stop.set()
                results = future.result()
            assert [each.outcome for each in results if not each.answered] == []
            assert (
                max(each.ended_at - each.started_at for each in results) > 1
            ), "no connection was unresponsive"

    def test_unresponsive_connection_retires_the_others_of_its_link(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes, ThreadPoolExecutor(8) as pool:
            cluster = start_stock_pair(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            port, proxy = cluster["stock-1"].caller_port, cluster["stock-2"].link_proxy
            control(cluster["stock-2"].target, service_time_factor=5.0)
            futures = [
                pool.submit(send_call, port, f"w{n}", "/stock/read", "GET", "c", None)
                for n in range(8)
            ]
            assert any([each.result().answered for each in futures])
            assert read_counters(proxy)["open"] >= 4, "too few open connections"
            control(proxy, mode="silence")
            for number in range(2):
                result = send_call(port, f"m{number}", "/stock/read", "GET", "c", None)
                assert result.answered and result.complete

    def test_slow_call_is_not_taken_for_an_unresponsive_connection(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            serve_only_at(cluster, "stock-2")
            control(cluster["stock-2"].target, service_time_factor=110.0)
            result = send_call(
                cluster["stock-1"].caller_port, "slow", "/stock/read", "GET", "c", None
            )
            assert result.answered and result.complete
            assert result.ended_at - result.started_at > 2.0, "the call was not slow"


class TestTargetFaults:
    """Malformed, truncated and duplicate responses."""

    def test_truncated_response_is_not_forwarded(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            for target in cluster.targets:
                control(target, cut_short=True)
            result = send_call(cluster["stock-1"].caller_port, "m", "/stock/read", "GET", "c", None)
            assert result.outcome == "unknown"
            assert result.response is not None and result.response.status == 502

    @pytest.mark.parametrize(
        "malformed",
        [
            b"SSH-2.0-OpenSSH_9.6\r\n",
            b"\x16\x03\x01\x02\x00" * 20,
            b"HTTP/1.1 200 OK\r\n\r\npart",
            b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\npart",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\npart",
        ],
        ids=["ssh", "tls", "no-length", "short", "no-last-chunk", "two-lengths"],
    )
    def test_malformed_response_is_unknown_and_counted(self, lone_node, malformed: bytes) -> None:
        cluster, outbound = lone_node
        with raw_target(outbound, "stock", lambda request: malformed, close=True):
            wait_until(lambda: _reaches_target(cluster), 10.0)
            before = metric(cluster, "stock-1", BROKEN_RESPONSE_METRIC)
            result = send_call(cluster["stock-1"].caller_port, "m", "/stock/read", "GET", "c", None)
            assert result.outcome == "unknown"
            assert result.response is not None and b"part" not in result.response.body
            assert result.response.headers["pollenbay-reason"] == "answer-broken"
            assert metric(cluster, "stock-1", BROKEN_RESPONSE_METRIC) > before

    def test_duplicate_response_is_discarded(self, lone_node) -> None:
        cluster, outbound = lone_node
        with raw_target(outbound, "stock", _respond_twice, close=False):
            wait_until(lambda: _reaches_target(cluster), 10.0)
            port = cluster["stock-1"].caller_port
            results = [send_call(port, f"m{n}", "/stock/read", "GET", "c", None) for n in range(10)]
            assert wrong_results(results) == []
            assert [each.outcome for each in results] == ["answered"] * 10

    def test_late_duplicate_response_is_discarded(self, lone_node) -> None:
        cluster, outbound = lone_node
        with raw_target(outbound, "stock", _respond_once, close=False, resend_after_s=0.05):
            wait_until(lambda: _reaches_target(cluster), 10.0)
            port, results = cluster["stock-1"].caller_port, []
            for number in range(6):
                sleep(0.2)
                results.append(send_call(port, f"n{number}", "/stock/read", "GET", "c", None))
            assert wrong_results(results) == []
            assert [each.outcome for each in results] == ["answered"] * 6


def wrong_results(results: list[CallResult]) -> list[CallResult]:
    """Return the responses that are truncated or belong to another request."""
    return [each for each in results if each.answered and not each.complete]


def _reaches_target(cluster: Cluster) -> bool:
    """Return whether the node sends calls to its target."""
    result = send_call(cluster["stock-1"].caller_port, "w", "/stock/read", "GET", "c", None)
    return result.outcome in ("answered", "unknown")


def _response(marker: str) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (BODY_BYTES, expected_body(marker))


def _respond_once(request: bytes) -> bytes:
    return _response(marker_of(request))


def _respond_twice(request: bytes) -> bytes:
    return _response(marker_of(request)) * 2
