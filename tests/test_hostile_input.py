"""Input of other writers and of faulty instances, sent to a real node on the users' platform."""

import json
from collections.abc import Iterator
from pathlib import Path
from socket import create_connection

from harness import ADDRESS, Process, Processes, send, wait_until
from platform_node import (
    HOST,
    READY_WITHIN_S,
    PlatformNode,
    make_config,
    make_route,
    row_of,
)
from pytest import fixture, mark

NESTED = b"[" * 200_000 + b"]" * 200_000
NODE_ROW = {
    "instance": "odd",
    "incarnation": 1,
    "address": "127.0.0.1",
    "gossip_port": 9,
    "written_at": 1.0,
}
ODD_ROWS = {
    "nested": NESTED,
    "nested-in-unknown-field": json.dumps(NODE_ROW).encode()[:-1] + b', "more": ' + NESTED + b"}",
    "port-too-high": json.dumps({**NODE_ROW, "gossip_port": 70000}).encode(),
    "port-negative": json.dumps({**NODE_ROW, "gossip_port": -1}).encode(),
    "port-huge": json.dumps({**NODE_ROW, "gossip_port": 2**70}).encode(),
    "incarnation-huge": json.dumps({**NODE_ROW, "incarnation": 2**70}).encode(),
    "time-out-of-range": json.dumps(NODE_ROW).encode().replace(b"1.0", b"1e400"),
    "address-with-nul": json.dumps({**NODE_ROW, "address": "127.0.0.1\0"}).encode(),
    "address-is-a-name": json.dumps({**NODE_ROW, "address": "host.example"}).encode(),
    "no-json": b"\xff\x00",
}


@fixture
def platform(tmp_path: Path) -> Iterator[PlatformNode]:
    """Yield the stand-ins of the platform with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path)


def put_row(platform: PlatformNode, key: str, value: bytes) -> None:
    """Write a row into the table of nodes, as another writer may."""
    row = {"table": "nodes", "part": "", "key": key, "value": row_of(value)}
    body = json.dumps({"expected": [], "writes": [row], "remove": []})
    assert send(platform.store.port, "/rows-tx", "POST", body).status == 200


def metric(node: Process, name: str) -> float:
    """Return the value of a metric without labels."""
    text = send(node.ready["admin"], "/metrics").body.decode("utf-8")
    return next(float(line.split()[1]) for line in text.splitlines() if line.startswith(name + " "))


@mark.parametrize("key", ["z1/odd", "z1/node-1"])
@mark.parametrize("odd", ODD_ROWS)
def test_odd_row_among_those_of_the_nodes_costs_only_itself(
    platform: PlatformNode, odd: str, key: str
) -> None:
    put_row(platform, key, ODD_ROWS[odd])
    node = platform.serve(make_route("/safe/"))
    platform.publish(make_config(2, make_route("/safe/"), make_route("/new/")))
    wait_until(lambda: platform.send_request("/new/").status == 200, READY_WITHIN_S)
    assert node.alive
    wait_until(lambda: metric(node, "pollenbay_table_bad_rows_total") > 0.0)


@mark.parametrize(
    "document",
    [
        NESTED,
        b'{"version": "r2", "more": ' + NESTED + b"}",
        make_config(2, make_route("/safe/", timeout_ms=2**70)),
        make_config(2, make_route("/safe/", service=None)),
        make_config(2).replace(b'"r2"', b'"r' + b"9" * 300 + b'"'),
    ],
    ids=["nested", "nested-in-unknown-field", "time-out-huge", "no-service", "version-huge"],
)
def test_unreadable_configuration_leaves_the_last_one_in_force(
    platform: PlatformNode, document: bytes
) -> None:
    node = platform.serve(make_route("/safe/"))
    platform.publish(document)
    platform.publish(make_config(3, make_route("/safe/"), make_route("/new/")))
    wait_until(lambda: platform.send_request("/new/").status == 200, READY_WITHIN_S)
    assert node.alive


@mark.parametrize("place", ["whole", "unknown-field"])
def test_nested_check_in_is_rejected(platform: PlatformNode, place: str) -> None:
    platform.serve(make_route("/safe/"))
    assert platform.check_in().status == 200
    body = b'{"more": ' + NESTED + b"}" if place == "unknown-field" else NESTED
    assert platform.send_check_in(body).status == 400
    assert platform.check_in().status == 200


@mark.parametrize("number", ["nan", "inf", "-inf", "1e400"])
def test_deadline_that_is_no_finite_number_is_rejected(platform: PlatformNode, number: str) -> None:
    node = platform.serve(make_route("/safe/"))
    response = platform.send_request("/safe/", headers={"x-pollenbay-deadline-ms": number})
    assert response.status == 400
    assert platform.send_request("/safe/").status == 200
    assert node.alive


@mark.parametrize("spoil", ["refused-again", "refused-again-unnamed"])
def test_refusal_written_again_is_no_answer_to_the_next_request(
    platform: PlatformNode, spoil: str
) -> None:
    platform.serve(make_route("/unsafe/", "unsafe", max_attempts=1))
    names = [f"next-{number}" for number in range(5)]
    refused = platform.send_request(f"/unsafe/?spoil={spoil}", "POST", body=b"x", name="first")
    responses = [platform.send_request("/unsafe/", "POST", body=b"x", name=name) for name in names]
    assert refused.status == 503
    assert [response.status for response in responses] == [200] * len(names)
    ran = [run["name"] for run in platform.runs()]
    assert "first" not in ran and all(ran.count(name) == 1 for name in names)


def test_kept_connection_serves_after_a_refusal_of_a_request_without_route(
    platform: PlatformNode,
) -> None:
    platform.serve(make_route("/safe/"))
    request = "GET {} HTTP/1.1\r\nhost: " + HOST + "\r\nx-pollenbay-request-id: k{}\r\n\r\n"
    with create_connection((ADDRESS, platform.requests_port), timeout=5) as connection:
        connection.sendall(request.format("/none/", 1).encode())
        assert b" 404 " in connection.recv(65536)
        connection.sendall(request.format("/safe/", 2).encode())
        assert b"answer to k2" in connection.recv(65536)
