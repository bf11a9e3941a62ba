"""Planned stops on the users' platform: whatever a stopping node passes on is answered."""

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from http.client import HTTPException
from pathlib import Path
from runpy import run_path
from signal import SIG_IGN, SIGHUP, getsignal, signal
from sys import modules
from time import sleep
from types import SimpleNamespace

from harness import Process, Processes, Response, wait_until
from platform_node import SERVICE, PlatformNode, make_config, make_route
from pytest import MonkeyPatch, fixture, mark
from slow_reader import SlowReader

from pollenbay.daemon import EXIT_TASK_FAILED

pytestmark = mark.alone

DEPLOYED_DAEMON = Path(__file__).resolve().parent.parent / "deploy" / "pollenbayd.py"
CLIENTS = 8
#: Longer than any machine takes.
STARTED_WITHIN_S = 60.0
#: Far beyond the grace period, and less than the 20 s after which another node closes an idle link.
ENDED_WITHIN_S = 10.0
#: So many that a route whose requests come from the nodes of two counts as internal.
SERVICES = ("stock", "other", "third", "fourth", "fifth")
#: Requests after which a node knows the class of a route.
CLASSIFYING_REQUESTS = 20
LONG_GRACE_S = 6.0
#: More than is left of a stop with that grace period when new work is rejected.
OUTLASTING_WORK_S = 4.6
#: So long that two such requests, one after the other, outlast a stop with that grace period.
HALF_STOP_WORK_S = 3.2


@fixture
def platform(tmp_path) -> Iterator[PlatformNode]:
    """Yield the stand-ins of the platform with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path)


@fixture
def queueing_platform(tmp_path) -> Iterator[PlatformNode]:
    """Yield the same with a longer grace period and an instance that runs one call at a time."""
    with Processes(tmp_path) as processes:
        platform = PlatformNode(processes, tmp_path, grace_s=LONG_GRACE_S)
        platform.capacity = 1
        yield platform


def wait_for_entry(entry: PlatformNode) -> None:
    """Wait until a node passes requests on to the instance of another one."""
    wait_until(
        lambda: entry.send_request("/unsafe/", "POST", body=b"x").status == 200,
        STARTED_WITHIN_S,
        "the entry to serve",
    )


class StopClients:
    """Clients that send requests to a node, one after the other, until its process is gone."""

    def __init__(self, platform: PlatformNode, process: Process, target: str) -> None:
        self._platform = platform
        self._process = process
        self._target = target
        self._pool = ThreadPoolExecutor(CLIENTS)
        self._answered: set[str] = set()
        self._clients = [self._pool.submit(self._send_in_turn, each) for each in range(CLIENTS)]

    def wait_for_answers(self) -> set[str]:
        """Wait for the end of the process and return the names of the successful requests.

        Any other request must have been refused, or its connection was not served any more.
        """
        for client in self._clients:
            client.result()
        self._pool.shutdown()
        return self._answered

    def _send_in_turn(self, client: int) -> None:
        number = 0
        while self._process.alive:
            number += 1
            name = f"stop-{client}-{number}"
            with suppress(OSError, HTTPException):
                response = self._platform.send_request(self._target, "POST", body=b"x", name=name)
                if response.status == 200:
                    self._answered.add(name)
                else:
                    assert response.status == 503


def stop_requests_run(platform: PlatformNode) -> set[str]:
    """Return the names of the requests of `StopClients` that the instance ran."""
    return {run["name"] for run in platform.runs() if run["name"].startswith("stop-")}


def test_request_late_in_a_planned_stop_is_refused_or_answered(platform: PlatformNode) -> None:
    """No request that was passed on may lose its answer, whenever it comes."""
    node = platform.serve(make_route("/unsafe/", "unsafe"))
    clients = StopClients(platform, node, "/unsafe/?work_s=0.05")
    sleep(0.3)
    node.terminate()
    answered = clients.wait_for_answers()
    assert answered
    assert stop_requests_run(platform) == answered


# A node that stopped took requests of clients on such a route until its process ended.
def test_request_of_a_client_on_a_route_taken_for_internal_is_not_lost_in_a_planned_stop(
    platform: PlatformNode,
) -> None:
    platform.serve(make_route("/unsafe/", "unsafe"), services=SERVICES)
    entry = platform.add_node("other")
    process = entry.start()

    def is_answered() -> bool:
        return entry.send_request("/unsafe/", "POST", body=b"x").status == 200

    wait_until(is_answered, STARTED_WITHIN_S, "the entry to serve")
    for _ in range(CLASSIFYING_REQUESTS):
        assert is_answered()
    platform.check_in()
    clients = StopClients(entry, process, "/unsafe/?work_s=0.3")
    sleep(0.5)
    process.terminate()
    answered = clients.wait_for_answers()
    assert answered
    assert stop_requests_run(platform) == answered


# A stopping node took calls of its instance until the end and broke off those in progress.
def test_nested_call_late_in_a_planned_stop_is_refused_or_answered(platform: PlatformNode) -> None:
    other = platform.add_node("other")
    node = platform.serve(
        make_route("/unsafe/", "unsafe", timeout_ms=30_000),
        make_route("/peek/", "unsafe", service="other"),
        services=SERVICES,
    )
    other.start()

    def is_nested_call_answered() -> bool:
        other.check_in()
        return platform.send_request("/peek/", "POST", body=b"x").status == 200

    wait_until(is_nested_call_answered, STARTED_WITHIN_S, "the other node to serve")
    for _ in range(CLASSIFYING_REQUESTS):
        assert is_nested_call_answered()
    with ThreadPoolExecutor(1) as pool:
        parent = pool.submit(
            platform.send_request, "/unsafe/?work_s=8", "POST", body=b"x", name="parent"
        )
        wait_until(lambda: platform.has_started("parent"), STARTED_WITHIN_S, "the request to run")
        clients = StopClients(platform, node, "/peek/?work_s=0.4")
        node.terminate()
        answered = clients.wait_for_answers()
        assert parent.result().status in (502, 504)
    assert answered
    assert stop_requests_run(other) == answered


def test_request_that_outlasts_a_planned_stop_gets_an_answer(platform: PlatformNode) -> None:
    node = platform.serve(make_route("/unsafe/", "unsafe", timeout_ms=30_000))
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            platform.send_request, "/unsafe/?work_s=8", "POST", body=b"x", name="long"
        )
        wait_until(lambda: platform.has_started("long"), STARTED_WITHIN_S, "the request to run")
        node.terminate()
        assert answer.result().status in (502, 504)
    node.wait()


# A cut call whose client had begun to send the next request kept the process until it was killed.
@mark.parametrize(
    "behind",
    [
        b"POST /unsafe/ HTT",
        b"POST /unsafe/ HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf",
        b"GET /safe/ HTTP/1.1\r\nhost: shop.example\r\nx-pollenbay-request-id: behind\r\n\r\n",
    ],
    ids=["half-a-head", "half-a-body", "whole"],
)
def test_request_behind_a_call_that_is_cut_does_not_hold_up_a_planned_stop(
    platform: PlatformNode, behind: bytes
) -> None:
    safe = make_route("/safe/")
    node = platform.serve(make_route("/unsafe/", "unsafe", timeout_ms=30_000), safe)
    client = SlowReader(platform.requests_port)
    client.request("/unsafe/?work_s=8", "long")
    wait_until(lambda: platform.has_started("long"), STARTED_WITHIN_S, "the request to run")
    client.send_bytes(behind)
    node.terminate()
    assert node.wait(ENDED_WITHIN_S) == 1
    assert client.read_body() == (0, 0)


# A link whose call was cut by the end of a stop kept the process of the node until it was killed.
def test_request_of_another_node_that_outlasts_a_planned_stop_does_not_hold_it_up(
    platform: PlatformNode,
) -> None:
    entry = platform.add_node("other")
    node = platform.serve(make_route("/unsafe/", "unsafe", timeout_ms=30_000))
    entry.start()
    wait_for_entry(entry)
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            entry.send_request, "/unsafe/?work_s=8", "POST", body=b"x", name="long"
        )
        wait_until(lambda: platform.has_started("long"), STARTED_WITHIN_S, "the request to run")
        node.terminate()
        assert answer.result().status == 502
    node.wait(ENDED_WITHIN_S)


def test_call_that_the_end_of_a_stop_cuts_is_named_in_the_log(platform: PlatformNode) -> None:
    node = platform.serve(make_route("/unsafe/", "unsafe", timeout_ms=30_000))
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            platform.send_request, "/unsafe/?work_s=8", "POST", body=b"x", name="long"
        )
        wait_until(lambda: platform.has_started("long"), STARTED_WITHIN_S, "the request to run")
        node.terminate()
        assert answer.result().status == 502
    node.wait()
    lines = {line["message"]: line for line in node.log_lines()}
    cut = lines["cut by the end of the stop"]
    assert (cut["request"], cut["stage"], cut["from_node"]) == ("long", "begun", False)
    assert cut["begun_s_ago"] >= cut["stopping_since_s"] > 0.0
    assert lines["stop requested"]["signal"] == "SIGTERM"


# A signal that came before the handlers were set ended the process at once.
def test_stop_requested_as_soon_as_the_node_listens_is_a_planned_one(
    platform: PlatformNode,
) -> None:
    platform.publish(make_config(1, make_route("/unsafe/", "unsafe")))
    for _ in range(5):
        node = platform.start()
        node.popen.send_signal(SIGHUP)
        node.terminate()
        assert node.wait() == 0


# So did a hangup while its modules were imported.
def test_hangup_is_passed_over_before_the_daemon_is_imported(
    monkeypatch: MonkeyPatch,
) -> None:
    handlers = []
    daemon = SimpleNamespace(main=lambda: handlers.append(getsignal(SIGHUP)))
    monkeypatch.setitem(modules, "pollenbay.daemon", daemon)
    before = getsignal(SIGHUP)
    try:
        run_path(str(DEPLOYED_DAEMON))
    finally:
        signal(SIGHUP, before)
    assert handlers == [SIG_IGN]


# A task of the node that failed ended the process at once, with all calls in progress.
def test_request_is_not_lost_when_a_task_of_its_node_fails(platform: PlatformNode) -> None:
    platform.publish(make_config(1, make_route("/unsafe/", "unsafe")))
    node = platform.start("tests.failing_node")
    platform.wait_ready()
    assert platform.check_in().status == 200
    answer = platform.send_request("/unsafe/?work_s=1", "POST", body=b"x", name="long")
    assert answer.status == 200
    assert node.wait() == EXIT_TASK_FAILED
    failures = [line for line in node.log_lines() if line["message"] == "task failed"]
    assert [line["task"] for line in failures] == ["fail_beside_a_call"]


# A call that waited at a stopping node began late in the stop and was cut by its end.
def test_request_that_waits_at_a_stopping_node_is_answered_or_not_run(
    queueing_platform: PlatformNode,
) -> None:
    platform = queueing_platform
    entry = platform.add_node("other")
    node = platform.serve(make_route("/unsafe/", "unsafe", timeout_ms=30_000, priority=0))
    entry_process = entry.start()
    wait_for_entry(entry)
    work_s = {"first": 3.6, "second": 1.6, "third": 1.6}
    platform.check_in()
    with ThreadPoolExecutor(len(work_s)) as pool:
        answers = {}
        for name, seconds in work_s.items():
            target = f"/unsafe/?work_s={seconds}"
            answers[name] = pool.submit(
                entry.send_request, target, "POST", body=b"x", name=name, within_s=20.0
            )
            wait_until(lambda: platform.has_started("first"), STARTED_WITHIN_S, "the first to run")
        sleep(0.3)
        node.terminate()
        sleep(1.5)
        entry_process.terminate()
        statuses = {name: answer.result().status for name, answer in answers.items()}
    answered = {name for name, status in statuses.items() if status == 200}
    assert "first" in answered
    assert {name: status for name, status in statuses.items() if status not in (200, 503)} == {}
    assert {run["name"] for run in platform.runs()} & set(work_s) == answered


# A call that began in the first part of a stop outlasted it, though its run time was known.
def test_request_that_would_outlast_a_planned_stop_does_not_begin(
    queueing_platform: PlatformNode,
) -> None:
    platform = queueing_platform
    short = make_route("/unsafe/", "unsafe", timeout_ms=30_000, priority=0)
    long = make_route("/long/", "unsafe", timeout_ms=30_000, priority=0)
    node = platform.serve(short, long)
    assert platform.send_request(f"/long/?work_s={OUTLASTING_WORK_S}", "POST").status == 200
    platform.check_in()
    with ThreadPoolExecutor(3) as pool:

        def submit(name: str, path: str, work_s: float) -> Future[Response]:
            target = f"{path}?work_s={work_s}"
            return pool.submit(platform.send_request, target, "POST", name=name, within_s=20.0)

        first = submit("first", "/unsafe/", 1.5)
        wait_until(lambda: platform.has_started("first"), STARTED_WITHIN_S, "the first to run")
        outlasting = submit("outlasting", "/long/", OUTLASTING_WORK_S)
        sleep(0.3)
        node.terminate()
        assert outlasting.result().status == 503
        assert first.result().status == 200
    assert not platform.has_started("outlasting")


# An entry that was stopping passed a request on with more time than it had left, and cut it.
def test_request_that_begins_too_late_for_its_stopping_entry_is_not_run(
    queueing_platform: PlatformNode,
) -> None:
    platform = queueing_platform
    entry = platform.add_node("other")
    short = make_route("/unsafe/", "unsafe", timeout_ms=30_000, priority=0)
    long = make_route("/long/", "unsafe", timeout_ms=30_000, priority=0)
    platform.serve(short, long)
    entry_process = entry.start()
    wait_for_entry(entry)
    target = f"/long/?work_s={HALF_STOP_WORK_S}"
    assert platform.send_request(target, "POST").status == 200
    platform.check_in()
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(platform.send_request, target, "POST", name="first", within_s=20.0)
        wait_until(lambda: platform.has_started("first"), STARTED_WITHIN_S, "the first to run")
        entry_process.terminate()
        sleep(0.3)
        late = pool.submit(entry.send_request, target, "POST", name="late", within_s=20.0)
        assert late.result().status == 503
        assert first.result().status == 200
    assert not platform.has_started("late")


# A call that waited at a stopping node stayed there, though another instance was free.
def test_request_that_waits_at_a_stopping_node_is_answered_by_another_instance(
    queueing_platform: PlatformNode,
) -> None:
    platform = queueing_platform
    entry, free = platform.add_node("other"), platform.add_node(SERVICE, number=3)
    node = platform.serve(make_route("/unsafe/", "unsafe", timeout_ms=30_000, priority=0))
    entry.start()
    free.start()
    free.wait_ready()
    wait_for_entry(entry)
    platform.check_in()
    with ThreadPoolExecutor(2) as pool:

        def submit(name: str, work_s: float) -> Future[Response]:
            target = f"/unsafe/?work_s={work_s}"
            return pool.submit(entry.send_request, target, "POST", name=name, within_s=20.0)

        first = submit("first", 4.0)
        wait_until(lambda: platform.has_started("first"), STARTED_WITHIN_S, "the first to run")
        waiting = submit("waiting", 0.1)
        sleep(0.3)
        assert free.check_in().status == 200
        node.terminate()
        assert (waiting.result().status, first.result().status) == (200, 200)
    assert free.has_started("waiting")
    assert not platform.has_started("waiting")
