"""Exchanges over pynng: bounded in time and size, and never stuck on a dead peer."""

from socket import socket
from time import monotonic

import pytest
from curio import TaskCancelled, TaskGroup, run, sleep, spawn, timeout_after
from harness import Processes, control
from membership_double import ADDRESS, record_for

from pollenbay.ids import InstanceId
from pollenbay.news import (
    PageAnswer,
    PageRequest,
    Question,
    Refusal,
    RefusedAnswer,
    ReportRequest,
    decode_answer,
)
from pollenbay.peer import (
    EXCHANGE_TIMEOUT_S,
    QUESTION_LIMIT_BYTES,
    PeerAnswerError,
    PeerListenError,
    PeerSilentError,
    make_peer_link,
    make_peer_server,
    make_peer_traffic,
)

#: Longest that one question may take on a busy machine.
ASK_BOUND_S = EXCHANGE_TIMEOUT_S + 1.0
#: Within the time after which a silent member is suspected, so that none is for its connection.
GIVEN_UP_WITHIN_S = 2 * ASK_BOUND_S
QUESTION = PageRequest(InstanceId(""))


async def answer_page(question: Question) -> PageAnswer:
    """Answer any question by one page."""
    return PageAnswer([record_for("b")])


class Pair:
    """A server in a task, and a link to it."""

    def __init__(self, respond=answer_page) -> None:
        self.served, self.asked = make_peer_traffic(), make_peer_traffic()
        self.server = make_peer_server(ADDRESS, 0, self.served)
        self.link = make_peer_link(ADDRESS, self.server.port, self.asked)
        self.respond = respond

    async def __aenter__(self):
        self.task = await spawn(self.server.serve, self.respond)
        return self

    async def __aexit__(self, *details):
        await self.task.cancel()
        self.link.close()
        self.server.close()


class TestExchange:
    def test_question_is_answered_and_counted(self):
        async def main():
            async with Pair() as pair:
                answer = await pair.link.ask(QUESTION)
                return answer, pair.asked, pair.served

        answer, asked, served = run(main)
        assert answer == PageAnswer([record_for("b")])
        assert asked.sent_bytes == served.received_bytes > 0
        assert asked.received_bytes == served.sent_bytes > 0

    def test_refusal_is_an_error_of_this_layer(self):
        async def refuse(question):
            return RefusedAnswer(Refusal.BAD_MESSAGE)

        async def main():
            async with Pair(refuse) as pair:
                with pytest.raises(PeerAnswerError):
                    await pair.link.ask(QUESTION)

        run(main)

    def test_bytes_that_are_no_question_are_refused_and_the_server_goes_on(self):
        async def main():
            async with Pair() as pair:
                refusal = decode_answer(await pair.link._exchange(b"\xc1 no message"))
                return refusal, await pair.link.ask(QUESTION), pair.served.questions_refused

        refusal, answer, refused = run(main)
        assert refusal == RefusedAnswer(Refusal.BAD_MESSAGE)
        assert isinstance(answer, PageAnswer)
        assert refused == 1

    def test_question_past_the_size_limit_gets_no_answer_and_the_server_goes_on(self):
        async def main():
            async with Pair() as pair:
                with pytest.raises(PeerSilentError):
                    await pair.link.ask(PageRequest(InstanceId("x" * QUESTION_LIMIT_BYTES)))
                other = make_peer_link(ADDRESS, pair.server.port, pair.asked)
                try:
                    return await other.ask(QUESTION)
                finally:
                    other.close()

        assert isinstance(run(main), PageAnswer)


class TestSilence:
    def test_port_that_nobody_holds_is_silence_within_the_bound(self):
        with socket() as sock:
            sock.bind((ADDRESS, 0))
            port = sock.getsockname()[1]

        async def main():
            link = make_peer_link(ADDRESS, port, make_peer_traffic())
            start = monotonic()
            with pytest.raises(PeerSilentError):
                await link.ask(ReportRequest())
            link.close()
            return monotonic() - start

        assert run(main) < ASK_BOUND_S

    def test_peer_that_accepts_and_says_nothing_blocks_no_other(self):
        silent = socket()
        silent.bind((ADDRESS, 0))
        silent.listen()

        async def ask_silent():
            link = make_peer_link(ADDRESS, silent.getsockname()[1], make_peer_traffic())
            try:
                with pytest.raises(PeerSilentError):
                    await link.ask(QUESTION)
            finally:
                link.close()

        async def main():
            async with Pair() as pair, TaskGroup() as group:
                waiting = await group.spawn(ask_silent)
                answered = 0
                while not waiting.terminated:
                    await pair.link.ask(QUESTION)
                    answered += 1
                    await sleep(0.01)
                return answered

        with silent:
            assert run(main) > 5

    def test_peer_that_comes_back_is_reached_by_the_same_link(self):
        async def main():
            traffic = make_peer_traffic()
            first = make_peer_server(ADDRESS, 0, traffic)
            port = first.port
            first.close()
            link = make_peer_link(ADDRESS, port, traffic)
            with pytest.raises(PeerSilentError):
                await link.ask(QUESTION)
            second = make_peer_server(ADDRESS, port, traffic)
            task = await spawn(second.serve, answer_page)
            try:
                return await timeout_after(10.0, _ask_until_answered, link)
            finally:
                await task.cancel()
                link.close()
                second.close()

        assert isinstance(run(main), PageAnswer)


class TestSilentConnection:
    """A connection that goes silent for good, while new ones work."""

    def test_is_given_up_for_a_new_one(self, tmp_path):
        async def main(proxy, server):
            task = await spawn(server.serve, answer_page)
            link = make_peer_link(ADDRESS, proxy.port, make_peer_traffic())
            try:
                await timeout_after(ASK_BOUND_S, _ask_until_answered, link)
                control(proxy, mode="silence")
                return await timeout_after(GIVEN_UP_WITHIN_S, _ask_until_answered, link)
            finally:
                await task.cancel()
                link.close()

        server = make_peer_server(ADDRESS, 0, make_peer_traffic())
        with Processes(tmp_path) as processes:
            answer = run(main, processes.start_proxy(server.port), server)
        server.close()
        assert isinstance(answer, PageAnswer)


class TestCancellation:
    def test_idle_server_and_waiting_question_are_cancelled_at_once(self):
        silent = socket()
        silent.bind((ADDRESS, 0))
        silent.listen()

        async def main():
            traffic = make_peer_traffic()
            server = make_peer_server(ADDRESS, 0, traffic)
            link = make_peer_link(ADDRESS, silent.getsockname()[1], traffic)
            tasks = [
                await spawn(server.serve, answer_page),
                await spawn(link.ask, QUESTION),
            ]
            await sleep(0.05)
            start = monotonic()
            for task in tasks:
                await task.cancel()
            elapsed_s = monotonic() - start
            server.close()
            link.close()
            return elapsed_s, [type(task.exception) for task in tasks]

        with silent:
            elapsed_s, errors = run(main)
        assert elapsed_s < EXCHANGE_TIMEOUT_S / 2
        assert errors == [TaskCancelled, TaskCancelled]

    def test_link_whose_question_was_cancelled_answers_the_next(self):
        async def slow(question):
            await sleep(0.2)
            return await answer_page(question)

        async def main():
            async with Pair(slow) as pair:
                task = await spawn(pair.link.ask, QUESTION)
                await sleep(0.05)
                await task.cancel()
                return await pair.link.ask(QUESTION)

        assert isinstance(run(main), PageAnswer)


class TestPort:
    def test_port_in_use_is_an_error_of_this_layer(self):
        server = make_peer_server(ADDRESS, 0, make_peer_traffic())
        try:
            with pytest.raises(PeerListenError):
                make_peer_server(ADDRESS, server.port, make_peer_traffic())
        finally:
            server.close()


async def _ask_until_answered(link):
    while True:
        try:
            return await link.ask(QUESTION)
        except PeerSilentError:
            await sleep(0.05)
