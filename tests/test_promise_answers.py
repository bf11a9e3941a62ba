"""Promise: every caller gets the whole answer to its own request, never a part or another's."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event
from time import sleep

import pytest
from cluster import Cluster, make_cluster
from crowd import BODY_BYTES, Crowd, Told, ask, body_of
from harness import Processes, control, counts, wait_until
from raw_target import marker_in, raw_target
from stock_cluster import STOCK, metric, serve_only_at, two_of_stock

#: Longer, in milliseconds, than the silence after which a node gives a link up.
LATE_MS = 2000
UNKNOWN_METRIC = 'pollenbay_unknown_total{reason="answer-broken"}'


@pytest.fixture(scope="module")
def alone(tmp_path_factory):
    """Yield a cluster with one node that has no target yet, and the node's outbound port."""
    with Processes(tmp_path_factory.mktemp("alone")) as processes:
        cluster = make_cluster(processes)
        cluster.publish(STOCK)
        instance = cluster.add_node("stock-1", "stock")
        yield cluster, instance.node.ready["outbound"]


class TestLinks:
    """Faults between nodes."""

    @pytest.mark.parametrize("fault", ["silence", "half-open", "cut", "lose-answer"])
    def test_under_faults(self, tmp_path: Path, fault: str) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            ports = [instance.callers for instance in cluster.instances.values()]
            crowd, stop = Crowd(ports, ["/stock/read"], callers=6, pause_s=0.01), Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
                for _ in range(3):
                    sleep(1)
                    control(cluster["stock-2"].link_proxy, mode=fault)
                    sleep(1)
                    control(cluster["stock-2"].link_proxy, mode="pass")
                stop.set()
                told = running.result()
            assert wrong(told) == []
            assert len([each for each in told if each.answered]) > len(told) / 2

    def test_late_answers(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            crowd = Crowd([cluster["stock-1"].callers], ["/stock/read"], callers=6, pause_s=0.01)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
                for _ in range(2):
                    sleep(0.5)
                    control(cluster["stock-2"].link_proxy, mode="delay", delay_ms=LATE_MS)
                    sleep(1.0)
                    control(cluster["stock-2"].link_proxy, mode="pass")
                    sleep(2.0)
                stop.set()
                told = running.result()
            assert wrong(told) == []
            silent = 'pollenbay_unknown_total{reason="connection-silent"}'
            assert metric(cluster, "stock-1", silent) > 0, "no answer was late"

    def test_calls_on_silent_connections_are_tried_again_in_time(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            crowd = Crowd([cluster["stock-1"].callers], ["/stock/read"], callers=4, pause_s=0.01)
            stop = Event()
            with ThreadPoolExecutor(1) as pool:
                running = crowd.run_beside(pool, stop)
                sleep(1)
                control(cluster["stock-2"].link_proxy, mode="silence")
                sleep(4)
                stop.set()
                told = running.result()
            assert [each.outcome for each in told if not each.answered] == []
            assert max(each.ended_at - each.began_at for each in told) > 1, "nothing was silent"

    def test_one_silent_connection_ends_trust_in_those_beside_it(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes, ThreadPoolExecutor(8) as pool:
            cluster = two_of_stock(processes, proxied=True)
            serve_only_at(cluster, "stock-2")
            port, proxy = cluster["stock-1"].callers, cluster["stock-2"].link_proxy
            control(cluster["stock-2"].target, service_time_factor=5.0)
            asked = [
                pool.submit(ask, port, f"w{n}", "/stock/read", "GET", "c", None) for n in range(8)
            ]
            assert any([each.result().answered for each in asked])
            assert counts(proxy)["open"] >= 4, "too few connections are kept"
            control(proxy, mode="silence")
            for number in range(2):
                told = ask(port, f"m{number}", "/stock/read", "GET", "c", None)
                assert told.answered and told.whole

    def test_slow_call_is_not_taken_for_silence(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            serve_only_at(cluster, "stock-2")
            control(cluster["stock-2"].target, service_time_factor=110.0)
            told = ask(cluster["stock-1"].callers, "slow", "/stock/read", "GET", "c", None)
            assert told.answered and told.whole
            assert told.ended_at - told.began_at > 2.0, "the call was not slow"


class TestTargets:
    """Answers of a target that are not what they should be."""

    def test_part_of_an_answer_is_never_passed_on(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            for target in cluster.targets:
                control(target, cut_short=True)
            told = ask(cluster["stock-1"].callers, "m", "/stock/read", "GET", "c", None)
            assert told.outcome == "unknown"
            assert told.answer is not None and told.answer.status == 502

    @pytest.mark.parametrize(
        "junk",
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
    def test_bad_input_is_unknown_and_counted(self, alone, junk: bytes) -> None:
        cluster, outbound = alone
        with raw_target(outbound, "stock", lambda request: junk, close=True):
            wait_until(lambda: _is_sent(cluster), 10.0)
            before = metric(cluster, "stock-1", UNKNOWN_METRIC)
            told = ask(cluster["stock-1"].callers, "m", "/stock/read", "GET", "c", None)
            assert told.outcome == "unknown"
            assert told.answer is not None and b"part" not in told.answer.body
            assert told.answer.headers["pollenbay-reason"] == "answer-broken"
            assert metric(cluster, "stock-1", UNKNOWN_METRIC) > before

    def test_second_answer_to_a_request_is_nobodys(self, alone) -> None:
        cluster, outbound = alone
        with raw_target(outbound, "stock", _answer_twice, close=False):
            wait_until(lambda: _is_sent(cluster), 10.0)
            port = cluster["stock-1"].callers
            told = [ask(port, f"m{n}", "/stock/read", "GET", "c", None) for n in range(10)]
            assert wrong(told) == []
            assert [each.outcome for each in told] == ["answered"] * 10

    def test_second_answer_that_comes_later_is_nobodys(self, alone) -> None:
        cluster, outbound = alone
        with raw_target(outbound, "stock", _answer_once, close=False, again_s=0.05):
            wait_until(lambda: _is_sent(cluster), 10.0)
            port, told = cluster["stock-1"].callers, []
            for number in range(6):
                sleep(0.2)
                told.append(ask(port, f"n{number}", "/stock/read", "GET", "c", None))
            assert wrong(told) == []
            assert [each.outcome for each in told] == ["answered"] * 6


def wrong(told: list[Told]) -> list[Told]:
    """Return the answers that are not whole or not the caller's own."""
    return [each for each in told if each.answered and not each.whole]


def _is_sent(cluster: Cluster) -> bool:
    """Tell whether the node sends calls to its target."""
    told = ask(cluster["stock-1"].callers, "w", "/stock/read", "GET", "c", None)
    return told.outcome in ("answered", "unknown")


def _answer(marker: str) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (BODY_BYTES, body_of(marker))


def _answer_once(request: bytes) -> bytes:
    return _answer(marker_in(request))


def _answer_twice(request: bytes) -> bytes:
    return _answer(marker_in(request)) * 2
