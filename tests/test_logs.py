"""Tests of logging: writing never blocks the node, and the rate of request lines is bounded."""

import json
from logging import getLogger
from os import close, pipe, read
from types import SimpleNamespace

from pytest import fixture

from pollenbay.decisions import LINES_BURST, LINES_PER_S, Decision, make_decision_log
from pollenbay.ids import HostId, InstanceId
from pollenbay.logs import DroppingStream, configure_logging
from pollenbay.timer import Timer

PIPE_BYTES = 65536


class ManualTimer(Timer):
    """A timer with manually set time."""

    at = 0.0

    def now(self) -> float:
        return self.at


@fixture
def pipe_ends():
    """Yield the read and write descriptors of a pipe."""
    reader, writer = pipe()
    yield reader, writer
    close(reader)
    close(writer)


def test_lines_are_dropped_while_the_pipe_is_full(pipe_ends) -> None:
    reader, writer = pipe_ends
    stream = DroppingStream(writer)
    line = "x" * 999 + "\n"
    for _ in range(200):
        stream.write(line)
    assert stream.dropped > 100
    assert len(read(reader, 2 * PIPE_BYTES)) <= PIPE_BYTES


def test_line_after_a_truncated_one_starts_on_its_own_line(pipe_ends) -> None:
    reader, writer = pipe_ends
    stream = DroppingStream(writer)
    for _ in range(200):
        stream.write(json.dumps({"text": "x" * 1000}) + "\n")
    read(reader, 2 * PIPE_BYTES)
    stream.write(json.dumps({"last": True}) + "\n")
    assert json.loads(read(reader, PIPE_BYTES).split(b"\n")[-2]) == {"last": True}


def test_rate_of_request_lines_is_bounded(caplog) -> None:
    timer = ManualTimer()
    log = make_decision_log(timer)
    caplog.set_level("INFO", "pollenbay.requests")
    for number in range(10_000):
        timer.at = number / 1000.0
        if log.reserve_line(Decision.THROTTLED):
            log.write(Decision.THROTTLED, {"request": str(number)})
    assert len(caplog.records) <= LINES_BURST + 10 * LINES_PER_S + 1
    left_out = sum(record.left_out for record in caplog.records) + log.left_out(Decision.THROTTLED)
    assert left_out + len(caplog.records) == 10_000


def test_line_budget_is_separate_for_each_message() -> None:
    log = make_decision_log(ManualTimer())
    while log.reserve_line(Decision.THROTTLED):
        pass
    assert log.reserve_line(Decision.FAILED)


def test_event_loop_errors_are_logged_and_warnings_are_not(monkeypatch, pipe_ends) -> None:
    reader, writer = pipe_ends
    for name in ("pollenbay", "curio"):
        logger = getLogger(name)
        for attribute in ("handlers", "level", "propagate"):
            monkeypatch.setattr(logger, attribute, getattr(logger, attribute))
    monkeypatch.setattr("pollenbay.logs.stdout", SimpleNamespace(fileno=lambda: writer))
    configure_logging("INFO", InstanceId("node-1"), HostId("host-1"))
    getLogger("curio.time").warning("slow")
    getLogger("curio.kernel").error("crashed")
    lines = [json.loads(line) for line in read(reader, PIPE_BYTES).splitlines()]
    assert [(line["message"], line["instance"]) for line in lines] == [("crashed", "node-1")]
