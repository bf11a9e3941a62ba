"""The complete call path with real processes: callers, nodes, links, targets and the table."""

from http.client import HTTPConnection
from socket import create_connection

import pytest
from cluster import Cluster, make_cluster
from harness import ADDRESS, Processes, keep_alive_connection, read_response, run_log, runs_of_key

from pollenbay.rule import CallRule, ServiceRule
from pollenbay.states import CallClass

ROUTES = ServiceRule(
    service="routes",
    calls=(
        CallRule(name="list", call_class=CallClass.SHEDDABLE, wait_ms=3000, calls=("stock.read",)),
    ),
)
STOCK = ServiceRule(
    service="stock",
    calls=(
        CallRule(name="read", call_class=CallClass.NORMAL, wait_ms=2000),
        CallRule(name="book", call_class=CallClass.CRITICAL, idempotent=False, wait_ms=2000),
    ),
)
STOCK_CALLS = [{"name": "read", "service_ms": 2}, {"name": "book", "service_ms": 2}]
ROUTES_CALLS = [{"name": "list", "service_ms": 2, "calls": ["stock.read"]}]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    """Yield a cluster with one instance of routes and two of stock, all serving."""
    with Processes(tmp_path_factory.mktemp("path")) as processes:
        cluster = make_cluster(processes)
        cluster.publish(ROUTES, STOCK)
        cluster.add("routes-1", "routes", ROUTES_CALLS)
        cluster.add("stock-1", "stock", STOCK_CALLS)
        cluster.add("stock-2", "stock", STOCK_CALLS, zone="z2")
        for name in cluster.instances:
            cluster.wait_until_answered(name, "/stock/read")
        cluster.wait_until_answered("stock-1", "/routes/list")
        yield cluster


class TestCall:
    def test_response_is_complete_and_belongs_to_the_request(self, cluster: Cluster) -> None:
        response = cluster.call("routes-1", "/stock/read", x_marker="m1", x_size="5000")
        assert response.status == 200
        assert response.headers["pollenbay-outcome"] == "answered"
        assert response.headers["x-marker"] == "m1"
        assert len(response.body) == 5000

    def test_target_calls_through_its_node(self, cluster: Cluster) -> None:
        response = cluster.call("routes-1", "/routes/list", x_marker="m2")
        assert response.status == 200
        runs = [run for target in cluster.targets for run in run_log(target)["runs"]]
        assert sum(run["call"] == "read" and run["marker"].startswith("m2/") for run in runs) == 1

    def test_pipelined_requests_are_answered_in_order(self, cluster: Cluster) -> None:
        lines = b"GET /stock/read HTTP/1.1\r\nhost: t\r\nx-marker: %s\r\nx-size: 63\r\n\r\n"
        with create_connection((ADDRESS, cluster["stock-1"].caller_port), timeout=5) as sock:
            sock.sendall(b"".join(lines % b"p%d" % number for number in range(5)))
            data = b""
            while data.count(b"x-marker") < 5 or not data.endswith(b"\n"):
                data += sock.recv(65536)
        positions = [data.index(b"x-marker: p%d" % number) for number in range(5)]
        assert positions == sorted(positions)

    def test_repeat_with_key_does_not_run_again(self, cluster: Cluster) -> None:
        for _ in range(3):
            cluster.call("routes-1", "/stock/book", "POST", idempotency_key="k1")
        assert runs_of_key(cluster.targets, "k1") == 1


class TestBadInput:
    """Protocol violations are rejected and the node continues to serve."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET /stock/read HTTP/1.1\r\nhost: t\r\nx: " + b"a" * 20000, b"431"),
            (b"GET /nothing HTTP/1.1\r\nhost: t\r\n\r\n", b"400"),
            (b"GET /stock/none HTTP/1.1\r\nhost: t\r\n\r\n", b"404"),
            (b"POST /stock/read HTTP/1.1\r\nhost: t\r\ncontent-length: x\r\n\r\n", b"400"),
            (b"POST /stock/read HTTP/1.1\r\nhost: t\r\ncontent-length: 99999999\r\n\r\n", b"413"),
            (b"GET /stock/read HTTP/1.1\r\nhost: t\r\npollenbay-deadline-ms: x\r\n\r\n", b"400"),
        ],
    )
    def test_malformed_request_is_rejected_as_not_run(
        self, cluster: Cluster, data: bytes, status: bytes
    ) -> None:
        with create_connection((ADDRESS, cluster["stock-1"].caller_port), timeout=5) as sock:
            sock.sendall(data)
            head = sock.recv(65536)
        assert head.split()[1] == status
        assert b"pollenbay-outcome: not-run" in head
        assert cluster.call("stock-1", "/stock/read").status == 200

    def test_request_with_truncated_body_is_not_run(self, cluster: Cluster) -> None:
        before = sum(len(run_log(target)["runs"]) for target in cluster.targets)
        with create_connection((ADDRESS, cluster["stock-1"].caller_port), timeout=5) as sock:
            sock.sendall(b"POST /stock/read HTTP/1.1\r\nhost: t\r\ncontent-length: 9\r\n\r\nabc")
        assert cluster.call("stock-1", "/stock/read").status == 200
        assert sum(len(run_log(target)["runs"]) for target in cluster.targets) == before + 1

    def test_unknown_context_is_rejected(self, cluster: Cluster) -> None:
        connection = HTTPConnection(ADDRESS, cluster["routes-1"].node.ready["outbound"], timeout=5)
        connection.request("GET", "/stock/read", headers={"pollenbay-context": "guess"})
        response = read_response(connection.getresponse())
        connection.close()
        assert response.status == 400
        assert response.headers["pollenbay-reason"] == "bad-context"


class TestKeepAlive:
    def test_each_request_gets_its_own_response(self, cluster: Cluster) -> None:
        with keep_alive_connection(cluster["routes-1"].caller_port) as connection:
            for number in range(20):
                connection.request("GET", "/stock/read", headers={"x-marker": f"n{number}"})
                assert read_response(connection.getresponse()).headers["x-marker"] == f"n{number}"
