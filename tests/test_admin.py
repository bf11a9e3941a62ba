"""Tests of the admin interface of a node: authentication, queries, commands and malformed input."""

from typing import Any

import pytest
from admin_node import TOKEN, make_admin_node, make_request
from curio import TaskGroup, run, timeout_after
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import decode, encode
from stepped_table import Fault, drive

from pollenbay import admin
from pollenbay.admin import BODY_LIMIT_BYTES, respond, serve_admin
from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.node import Node
from pollenbay.publication import make_publication_id
from pollenbay.queries.history import History
from pollenbay.queries.rules import ShownRules
from pollenbay.queries.status import Status
from pollenbay.states import NodeState
from pollenbay.stream import accept_streams, listen, open_stream, port_of

RULES = [
    {"service": "docs", "calls": [{"name": "get", "class": "normal", "wait_ms": 100}]},
]
RECEIVE_TIMEOUT_S = 10.0


def _send_request(node: Node, request: HttpRequest, *faults: Fault) -> HttpResponse:
    return drive(respond(node, request), faults)


def _get(node: Node, path: bytes, *faults: Fault) -> HttpResponse:
    return _send_request(node, make_request(b"GET", path), *faults)


def _post(node: Node, path: bytes, body: object, *faults: Fault) -> HttpResponse:
    return _send_request(node, make_request(b"POST", path, encode(body)), *faults)


def _publish(node: Node, *faults: Fault, **more: Any) -> HttpResponse:
    return _post(node, b"/v1/publish", {"services": RULES, "author": "anna", **more}, *faults)


def _error(response: HttpResponse) -> str:
    return decode(response.body)["error"]


class TestToken:
    @pytest.mark.parametrize(
        "path",
        [b"/v1/status", b"/v1/rules", b"/v1/history", b"/v1/members", b"/v1/rollout?version=1"],
    )
    @pytest.mark.parametrize("token", [None, "", "wrong", TOKEN + "x", TOKEN[:-1], "é"])
    def test_query_without_valid_token_is_rejected(self, path: bytes, token: str | None) -> None:
        response = _send_request(make_admin_node(), make_request(b"GET", path, token=token))
        assert response.status == 401
        assert (b"www-authenticate", b"Bearer") in response.headers

    @pytest.mark.parametrize("path", [b"/v1/publish", b"/v1/settle", b"/v1/drain"])
    def test_command_without_valid_token_is_rejected(self, path: bytes) -> None:
        node = make_admin_node()
        body = encode({"services": RULES, "author": "anna"})
        response = _send_request(node, make_request(b"POST", path, body, token="wrong"))
        assert response.status == 401
        assert node.table.rows == {}
        assert not node.stopping.is_set()

    def test_other_authorization_scheme_is_rejected(self) -> None:
        request = HttpRequest(
            b"GET", b"/v1/status", [(b"authorization", b"Basic " + TOKEN.encode())]
        )
        assert _send_request(make_admin_node(), request).status == 401

    @pytest.mark.parametrize("path", [b"/healthz", b"/metrics"])
    def test_health_and_metrics_need_no_token(self, path: bytes) -> None:
        assert (
            _send_request(make_admin_node(), make_request(b"GET", path, token=None)).status == 200
        )


class TestQueries:
    def test_metrics_include_the_rule_version(self) -> None:
        response = _get(make_admin_node(), b"/metrics")
        assert b"pollenbay_rule_version" in response.body

    def test_readiness_follows_the_node_state(self) -> None:
        node = make_admin_node()
        assert _get(node, b"/readyz").status == 503
        node.state = NodeState.SERVING
        assert _get(node, b"/readyz").status == 200
        node.state = NodeState.DRAINING
        assert _get(node, b"/readyz").status == 503
        assert _get(node, b"/healthz").status == 200

    def test_status_shows_instance_and_state(self) -> None:
        status = decode(_get(make_admin_node(), b"/v1/status").body, type=Status)
        assert status.instance == "docs-1"
        assert status.state is NodeState.STARTING

    def test_rules_show_the_published_version(self) -> None:
        node = make_admin_node()
        _publish(node)
        shown = decode(_get(node, b"/v1/rules").body, type=ShownRules)
        assert shown.rules.version == 1
        assert shown.rules.services[0].service == "docs"
        assert shown.adopted_at > 0

    def test_history_is_newest_first_and_limited(self) -> None:
        node = make_admin_node()
        for wait_ms in (1, 2, 3):
            call = {"name": "get", "class": "normal", "wait_ms": wait_ms}
            _publish(node, services=[{"service": "docs", "calls": [call]}])
        history = decode(_get(node, b"/v1/history?limit=2").body, type=History)
        assert [entry.version for entry in history.entries] == [3, 2]

    def test_history_is_unavailable_while_the_table_is_down(self) -> None:
        response = _get(make_admin_node(), b"/v1/history", Fault.DOWN)
        assert response.status == 503
        assert "down" in _error(response)

    @pytest.mark.parametrize("query", [b"limit=0", b"limit=x", b"limit=9999", b"limit=", b"n=1"])
    def test_invalid_history_limit_is_rejected(self, query: bytes) -> None:
        response = _get(make_admin_node(), b"/v1/history?" + query)
        assert response.status == 400
        assert "limit" in _error(response)

    @pytest.mark.parametrize("query", [b"", b"?version=0", b"?version=-1", b"?version=1&x=2"])
    def test_rollout_requires_a_valid_version(self, query: bytes) -> None:
        response = _get(make_admin_node(), b"/v1/rollout" + query)
        assert response.status == 400
        assert "version" in _error(response)


class TestCommands:
    def test_publish_activates_the_rules(self) -> None:
        node = make_admin_node()
        response = _publish(node)
        assert response.status == 200
        assert decode(response.body)["outcome"] == "accepted"
        assert node.rulebook.version == 1

    def test_publish_with_outdated_expected_version_conflicts(self) -> None:
        node = make_admin_node()
        _publish(node, author="bela")
        call = {"name": "get", "class": "normal", "wait_ms": 5}
        response = _publish(
            node, services=[{"service": "docs", "calls": [call]}], expected_version=0
        )
        assert response.status == 409
        assert decode(response.body)["author"] == "bela"

    def test_publish_of_invalid_rules_returns_the_findings(self) -> None:
        response = _publish(make_admin_node(), services=RULES + RULES)
        assert response.status == 422
        assert decode(response.body)["findings"][0]["kind"] == "doubled-service"

    def test_publish_while_the_table_is_down_writes_nothing(self) -> None:
        response = _publish(make_admin_node(), Fault.DOWN)
        assert response.status == 503
        assert decode(response.body)["outcome"] == "not-written"

    def test_lost_table_response_is_settled_by_publication_id(self) -> None:
        node = make_admin_node()
        publication = make_publication_id(node.timer.epoch())
        response = _publish(
            node,
            Fault.NONE,
            Fault.NONE,
            Fault.LOST_AFTER,
            Fault.DOWN,
            publication=publication,
        )
        assert response.status == 504
        settled = _post(node, b"/v1/settle", {"publication": publication})
        assert settled.status == 200
        assert decode(settled.body)["version"] == 1

    def test_drain_stops_the_node(self) -> None:
        node = make_admin_node()
        response = run(respond, node, make_request(b"POST", b"/v1/drain", b""))
        assert response.status == 200
        assert node.stopping.is_set()


class TestBadInput:
    @pytest.mark.parametrize(
        ("body", "reason"),
        [
            (b"", "truncated"),
            (b"{", "truncated"),
            (b"\xff", "malformed"),
            (b"[]", "Expected `object`"),
            (b"[" * 100_000, "body"),
            (b'{"services": []}', "author"),
            (b'{"services": [], "author": ""}', "$.author"),
            (b'{"services": [], "author": "a", "x": 1}', "x"),
            (b'{"services": [{"service": 3}], "author": "a"}', "$.services[0].service"),
        ],
    )
    def test_invalid_body_is_rejected_with_a_reason(self, body: bytes, reason: str) -> None:
        node = make_admin_node()
        response = _send_request(node, make_request(b"POST", b"/v1/publish", body))
        assert response.status == 400
        assert reason in _error(response)
        assert node.table.rows == {}

    def test_unknown_path_returns_the_known_paths(self) -> None:
        response = _get(make_admin_node(), b"/v2/status")
        assert response.status == 404
        assert "/v1/status" in _error(response)

    def test_wrong_method_returns_the_allowed_methods(self) -> None:
        response = _post(make_admin_node(), b"/v1/status", {})
        assert response.status == 405
        assert (b"allow", b"GET") in response.headers

    @given(st.binary(max_size=60), st.binary(max_size=60))
    def test_any_target_and_body_gets_a_response(self, target: bytes, body: bytes) -> None:
        for method in (b"GET", b"POST"):
            response = _send_request(make_admin_node(), make_request(method, b"/" + target, body))
            assert response.status in (400, 404, 405)


class TestConnection:
    """Requests over real sockets."""

    def test_connection_serves_consecutive_requests(self) -> None:
        request = b"GET /healthz HTTP/1.1\r\nhost: t\r\n\r\n"
        data = _exchange(request + request, b'"starting"}', 2)
        assert data.count(b"HTTP/1.1 200") == 2

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET /healthz HTTP/1.1\r\n\r\n", b"400"),
            (b"GET /healthz HTTP/1.1\r\nhost: t\r\nx: " + b"y" * 40_000, b"431"),
            (
                b"POST /v1/publish HTTP/1.1\r\nhost: t\r\ncontent-length: %d\r\n\r\n"
                % (BODY_LIMIT_BYTES + 1),
                b"413",
            ),
        ],
    )
    def test_malformed_request_gets_an_error_and_closes_the_connection(
        self, data: bytes, status: bytes
    ) -> None:
        response = _exchange(data, None, 1)
        assert response.startswith(b"HTTP/1.1 " + status)
        assert b"connection: close" in response.lower()

    def test_incomplete_request_times_out(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(admin, "REQUEST_TIMEOUT_S", 0.2)
        assert _exchange(b"GET /healthz HTTP/1.1\r\nhost:", None, 1) == b""

    def test_client_disconnect_does_not_affect_other_connections(self) -> None:
        node = make_admin_node()

        async def main() -> bytes:
            listener = listen("127.0.0.1", 0)
            port = port_of(listener)
            async with TaskGroup() as group:
                server = await group.spawn(
                    accept_streams, listener, lambda sock: serve_admin(node, sock)
                )
                sock = await open_stream("127.0.0.1", port)
                await sock.sendall(b"POST /v1/publish HTTP/1.1\r\nhost: t\r\ncontent-length: 9")
                await sock.close()
                data = await _send_and_receive(
                    port, b"GET /healthz HTTP/1.1\r\nhost: t\r\n\r\n", b"}", 1
                )
                await server.cancel()
            return data

        assert run(main).startswith(b"HTTP/1.1 200")


def _exchange(data: bytes, marker: bytes | None, count: int) -> bytes:
    """Send bytes to a serving node and return what it sends back.

    Reads until the marker has occurred `count` times; without a marker until the node closes the
    connection.
    """

    async def main() -> bytes:
        node = make_admin_node()
        listener = listen("127.0.0.1", 0)
        port = port_of(listener)
        async with TaskGroup() as group:
            server = await group.spawn(
                accept_streams, listener, lambda sock: serve_admin(node, sock)
            )
            response = await _send_and_receive(port, data, marker, count)
            await server.cancel()
        return response

    return run(main)


async def _send_and_receive(port: int, data: bytes, marker: bytes | None, count: int) -> bytes:
    sock = await open_stream("127.0.0.1", port)
    async with sock:
        await sock.sendall(data)
        response = b""
        while marker is None or response.count(marker) < count:
            chunk = await timeout_after(RECEIVE_TIMEOUT_S, sock.recv, 65536)
            if not chunk:
                break
            response += chunk
        return response
