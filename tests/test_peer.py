"""Exchanges over pynng: bounded in time and size, and never blocked by a dead peer."""

from socket import socket
from time import monotonic

import pytest
from curio import TaskCancelled, TaskGroup, run, sleep, spawn, timeout_after
from harness import Processes, control
from membership_double import ADDRESS, record_for

from pollenbay.gossipmessage import (
    PageRequest,
    PageResponse,
    PeerRequest,
    RefusalReason,
    RefusedResponse,
    ReportRequest,
    decode_response,
)
from pollenbay.ids import InstanceId
from pollenbay.peer import (
    EXCHANGE_TIMEOUT_S,
    REQUEST_LIMIT_BYTES,
    PeerListenError,
    PeerResponseError,
    PeerTimeoutError,
    make_peer_link,
    make_peer_server,
    make_peer_traffic,
)

#: Maximum duration of one exchange on a busy machine.
EXCHANGE_BOUND_S = EXCHANGE_TIMEOUT_S + 1.0
#: Bound for replacing a broken connection, so that no member is suspected because of it.
RECONNECT_BOUND_S = 2 * EXCHANGE_BOUND_S
REQUEST = PageRequest(InstanceId(""))


async def respond_with_page(request: PeerRequest) -> PageResponse:
    """Respond to any request with one page."""
    return PageResponse([record_for("b")])


class ServerAndLink:
    """A peer server that runs in a task, and a link to it."""

    def __init__(self, respond=respond_with_page) -> None:
        self.server_traffic, self.link_traffic = make_peer_traffic(), make_peer_traffic()
        self.server = make_peer_server(ADDRESS, 0, self.server_traffic)
        self.link = make_peer_link(ADDRESS, self.server.port, self.link_traffic)
        self.respond = respond

    async def __aenter__(self):
        self.task = await spawn(self.server.serve, self.respond)
        return self

    async def __aexit__(self, *details):
        await self.task.cancel()
        self.link.close()
        self.server.close()


class TestExchange:
    def test_request_gets_a_response_and_is_counted(self):
        async def main():
            async with ServerAndLink() as pair:
                response = await pair.link.send_request(REQUEST)
                return response, pair.link_traffic, pair.server_traffic

        response, link_traffic, server_traffic = run(main)
        assert response == PageResponse([record_for("b")])
        assert link_traffic.sent_bytes == server_traffic.received_bytes > 0
        assert link_traffic.received_bytes == server_traffic.sent_bytes > 0

    def test_refusal_raises_a_peer_error(self):
        async def refuse(request):
            return RefusedResponse(RefusalReason.BAD_MESSAGE)

        async def main():
            async with ServerAndLink(refuse) as pair:
                with pytest.raises(PeerResponseError):
                    await pair.link.send_request(REQUEST)

        run(main)

    def test_malformed_request_is_refused_and_the_server_continues(self):
        async def main():
            async with ServerAndLink() as pair:
                refusal = decode_response(await pair.link._exchange(b"\xc1 no message"))
                return (
                    refusal,
                    await pair.link.send_request(REQUEST),
                    pair.server_traffic.questions_refused,
                )

        refusal, response, refused = run(main)
        assert refusal == RefusedResponse(RefusalReason.BAD_MESSAGE)
        assert isinstance(response, PageResponse)
        assert refused == 1

    def test_oversized_request_gets_no_response_and_the_server_continues(self):
        async def main():
            async with ServerAndLink() as pair:
                with pytest.raises(PeerTimeoutError):
                    await pair.link.send_request(PageRequest(InstanceId("x" * REQUEST_LIMIT_BYTES)))
                other = make_peer_link(ADDRESS, pair.server.port, pair.link_traffic)
                try:
                    return await other.send_request(REQUEST)
                finally:
                    other.close()

        assert isinstance(run(main), PageResponse)


class TestTimeout:
    def test_closed_port_times_out_within_the_bound(self):
        with socket() as sock:
            sock.bind((ADDRESS, 0))
            port = sock.getsockname()[1]

        async def main():
            link = make_peer_link(ADDRESS, port, make_peer_traffic())
            start = monotonic()
            with pytest.raises(PeerTimeoutError):
                await link.send_request(ReportRequest())
            link.close()
            return monotonic() - start

        assert run(main) < EXCHANGE_BOUND_S

    def test_bytes_of_a_request_without_response_are_counted(self):
        async def never_respond(_):
            await sleep(10.0)

        async def main():
            async with ServerAndLink(never_respond) as pair:
                with pytest.raises(PeerTimeoutError):
                    await pair.link.send_request(REQUEST)
                return pair.link_traffic.sent_bytes, pair.server_traffic.received_bytes

        sent, received = run(main)
        assert sent == received > 0

    def test_peer_that_accepts_but_never_responds_blocks_no_other(self):
        unresponsive = socket()
        unresponsive.bind((ADDRESS, 0))
        unresponsive.listen()

        async def request_unresponsive_peer():
            link = make_peer_link(ADDRESS, unresponsive.getsockname()[1], make_peer_traffic())
            try:
                with pytest.raises(PeerTimeoutError):
                    await link.send_request(REQUEST)
            finally:
                link.close()

        async def main():
            async with ServerAndLink() as pair, TaskGroup() as group:
                pending = await group.spawn(request_unresponsive_peer)
                response_count = 0
                while not pending.terminated:
                    await pair.link.send_request(REQUEST)
                    response_count += 1
                    await sleep(0.01)
                return response_count

        with unresponsive:
            assert run(main) > 5

    def test_restarted_peer_is_reached_by_the_same_link(self):
        async def main():
            traffic = make_peer_traffic()
            first = make_peer_server(ADDRESS, 0, traffic)
            port = first.port
            first.close()
            link = make_peer_link(ADDRESS, port, traffic)
            with pytest.raises(PeerTimeoutError):
                await link.send_request(REQUEST)
            second = make_peer_server(ADDRESS, port, traffic)
            task = await spawn(second.serve, respond_with_page)
            try:
                return await timeout_after(10.0, _request_until_response, link)
            finally:
                await task.cancel()
                link.close()
                second.close()

        assert isinstance(run(main), PageResponse)


class TestUnresponsiveConnection:
    """A connection that permanently stops passing data, while new connections work."""

    def test_unresponsive_connection_is_replaced_by_a_new_one(self, tmp_path):
        async def main(proxy, server):
            task = await spawn(server.serve, respond_with_page)
            link = make_peer_link(ADDRESS, proxy.port, make_peer_traffic())
            try:
                await timeout_after(EXCHANGE_BOUND_S, _request_until_response, link)
                control(proxy, mode="silence")
                return await timeout_after(RECONNECT_BOUND_S, _request_until_response, link)
            finally:
                await task.cancel()
                link.close()

        server = make_peer_server(ADDRESS, 0, make_peer_traffic())
        with Processes(tmp_path) as processes:
            response = run(main, processes.start_proxy(server.port), server)
        server.close()
        assert isinstance(response, PageResponse)


class TestCancellation:
    def test_idle_server_and_pending_request_are_cancelled_at_once(self):
        unresponsive = socket()
        unresponsive.bind((ADDRESS, 0))
        unresponsive.listen()

        async def main():
            traffic = make_peer_traffic()
            server = make_peer_server(ADDRESS, 0, traffic)
            link = make_peer_link(ADDRESS, unresponsive.getsockname()[1], traffic)
            tasks = [
                await spawn(server.serve, respond_with_page),
                await spawn(link.send_request, REQUEST),
            ]
            await sleep(0.05)
            start = monotonic()
            for task in tasks:
                await task.cancel()
            elapsed_s = monotonic() - start
            server.close()
            link.close()
            return elapsed_s, [type(task.exception) for task in tasks]

        with unresponsive:
            elapsed_s, errors = run(main)
        assert elapsed_s < EXCHANGE_TIMEOUT_S / 2
        assert errors == [TaskCancelled, TaskCancelled]

    def test_link_with_a_cancelled_request_serves_the_next(self):
        async def slow(request):
            await sleep(0.2)
            return await respond_with_page(request)

        async def main():
            async with ServerAndLink(slow) as pair:
                task = await spawn(pair.link.send_request, REQUEST)
                await sleep(0.05)
                await task.cancel()
                return await pair.link.send_request(REQUEST)

        assert isinstance(run(main), PageResponse)


class TestPort:
    def test_port_in_use_raises_a_peer_error(self):
        server = make_peer_server(ADDRESS, 0, make_peer_traffic())
        try:
            with pytest.raises(PeerListenError):
                make_peer_server(ADDRESS, server.port, make_peer_traffic())
        finally:
            server.close()


async def _request_until_response(link):
    while True:
        try:
            return await link.send_request(REQUEST)
        except PeerTimeoutError:
            await sleep(0.05)
