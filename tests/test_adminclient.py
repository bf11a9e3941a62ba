"""Tests of the admin client and of publishing, against a node with scripted responses."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from curio import TaskGroup, run
from curio.io import Socket
from msgspec.json import encode

from pollenbay.adminclient import (
    AdminAddress,
    AdminClient,
    AdminRejectedError,
    AdminResponseLostError,
    AdminStatusError,
    AdminTokenError,
    make_admin_client,
)
from pollenbay.commands.publication import Publish
from pollenbay.http1 import HttpResponse
from pollenbay.httpserver import HttpServer
from pollenbay.ids import PublicationId
from pollenbay.printout import ExitCode, exit_code
from pollenbay.publication import Accepted, NotWritten, Refused, Unsettled
from pollenbay.publishclient import publish_through, settle_through
from pollenbay.queries.health import Health
from pollenbay.states import NodeState
from pollenbay.stream import accept_streams, listen, port_of

PUBLICATION = PublicationId("1800000000-0123456789abcdef")
PUBLISH = Publish(services=(), author="anna", publication=PUBLICATION)
ACCEPTED = Accepted(publication=PUBLICATION, version=3, digest="d", changed=True)
REFUSED = Refused(publication=PUBLICATION, version=3, author="bela", message="first")
UNSETTLED = Unsettled(publication=PUBLICATION, message="lost")
NOT_WRITTEN = NotWritten(publication=PUBLICATION, message="down")

_Reply = HttpResponse | bytes | None


class _ScriptedNode:
    """Sends the scripted responses in order; None closes the connection without a response."""

    def __init__(self, *replies: _Reply) -> None:
        self.paths: list[str] = []
        self._replies = list(replies)

    async def serve(self, sock: Socket) -> None:
        server = HttpServer(sock)
        request = await server.read_request()
        assert request is not None
        self.paths.append(request.target.decode())
        reply = self._replies.pop(0)
        if isinstance(reply, bytes):
            await sock.sendall(reply)
        elif reply is not None:
            await server.write_response(reply)


def _reply(status: int, value: object) -> HttpResponse:
    return HttpResponse(status, [], encode(value))


def _run_operation(node: _ScriptedNode, operation: Callable[[AdminClient], Awaitable[Any]]) -> Any:
    async def main() -> Any:
        listener = listen("127.0.0.1", 0)
        client = make_admin_client(AdminAddress("127.0.0.1", port_of(listener), "t"), 5.0)
        async with TaskGroup() as group:
            server = await group.spawn(accept_streams, listener, node.serve)
            result = await operation(client)
            await server.cancel()
        return result

    return run(main)


class TestResponses:
    @pytest.mark.parametrize(
        ("reply", "error", "code"),
        [
            (None, AdminResponseLostError, ExitCode.UNREACHABLE),
            (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{", AdminResponseLostError, 3),
            (b"HTTP/1.1 200 OK\r\n\r\n{}", AdminResponseLostError, ExitCode.UNREACHABLE),
            (b"nonsense\r\n\r\n", AdminResponseLostError, ExitCode.UNREACHABLE),
            (_reply(200, {"state": "odd"}), AdminResponseLostError, ExitCode.UNREACHABLE),
            (_reply(401, {"error": "token"}), AdminTokenError, ExitCode.BAD_INPUT),
            (_reply(404, {"error": "path"}), AdminRejectedError, ExitCode.BAD_INPUT),
            (_reply(503, {"error": "down"}), AdminStatusError, ExitCode.UNREACHABLE),
        ],
    )
    def test_invalid_or_error_response_is_a_typed_error(
        self, reply: _Reply, error: type[Exception], code: int
    ) -> None:
        result = _run_operation(_ScriptedNode(reply), lambda client: client.get("/healthz", Health))
        assert isinstance(result.unwrap_err(), error)
        assert exit_code(result.unwrap_err()) == code

    def test_valid_response_is_decoded(self) -> None:
        node = _ScriptedNode(_reply(200, Health(NodeState.SERVING)))
        result = _run_operation(node, lambda client: client.get("/healthz", Health))
        assert result.unwrap() == Health(NodeState.SERVING)


class TestPublishThrough:
    @pytest.mark.parametrize(
        ("status", "outcome"), [(200, ACCEPTED), (409, REFUSED), (503, NOT_WRITTEN)]
    )
    def test_definite_outcome_is_final(self, status: int, outcome: Any) -> None:
        node = _ScriptedNode(_reply(status, outcome))
        result = _run_operation(node, lambda client: publish_through(client, PUBLISH, 5.0))
        assert result.unwrap() == outcome
        assert node.paths == ["/v1/publish"]

    @pytest.mark.parametrize("first", [None, _reply(504, UNSETTLED), _reply(200, {"odd": 1})])
    def test_lost_response_is_settled_and_publish_is_not_resent(self, first: _Reply) -> None:
        node = _ScriptedNode(first, None, _reply(504, UNSETTLED), _reply(200, ACCEPTED))
        result = _run_operation(node, lambda client: publish_through(client, PUBLISH, 30.0))
        assert result.unwrap() == ACCEPTED
        assert node.paths == ["/v1/publish", "/v1/settle", "/v1/settle", "/v1/settle"]

    def test_unsettled_publication_is_reported_with_its_id(self) -> None:
        node = _ScriptedNode(None, None)
        result = _run_operation(node, lambda client: publish_through(client, PUBLISH, 0.0))
        assert isinstance(result.unwrap(), Unsettled)
        assert result.unwrap().publication == PUBLICATION

    def test_wrong_token_after_a_lost_response_is_unsettled(self) -> None:
        node = _ScriptedNode(None, _reply(401, {"error": "token"}))
        result = _run_operation(node, lambda client: publish_through(client, PUBLISH, 5.0))
        assert isinstance(result.unwrap(), Unsettled)

    def test_publish_with_a_wrong_token_is_an_error(self) -> None:
        node = _ScriptedNode(_reply(401, {"error": "token"}))
        result = _run_operation(node, lambda client: publish_through(client, PUBLISH, 5.0))
        assert isinstance(result.unwrap_err(), AdminTokenError)

    def test_settle_with_a_wrong_token_is_an_error(self) -> None:
        node = _ScriptedNode(_reply(401, {"error": "token"}))
        result = _run_operation(node, lambda client: settle_through(client, PUBLICATION, 5.0))
        assert isinstance(result.unwrap_err(), AdminTokenError)
