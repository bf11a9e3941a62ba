"""Log lines never block, and lines on single requests are bounded."""

import json
from logging import getLogger
from os import close, pipe, read
from types import SimpleNamespace

from pytest import fixture

from pollenbay.decisions import LINES_BURST, LINES_PER_S, Decision, make_decision_log
from pollenbay.ids import HostId, InstanceId
from pollenbay.logs import DroppingStream, start_logs
from pollenbay.timer import Timer

PIPE_BYTES = 65536


class SteppedTimer(Timer):
    """A timer whose time the test sets."""

    at = 0.0

    def now(self) -> float:
        """Return the time that the test has set."""
        return self.at


@fixture
def ends():
    """Return the two ends of a pipe."""
    reader, writer = pipe()
    yield reader, writer
    close(reader)
    close(writer)


def test_lines_that_nobody_reads_are_dropped(ends) -> None:
    reader, writer = ends
    stream = DroppingStream(writer)
    line = "x" * 999 + "\n"
    for _ in range(200):
        stream.write(line)
    assert stream.dropped > 100
    assert len(read(reader, 2 * PIPE_BYTES)) <= PIPE_BYTES


def test_a_line_after_a_cut_one_stands_alone(ends) -> None:
    reader, writer = ends
    stream = DroppingStream(writer)
    for _ in range(200):
        stream.write(json.dumps({"text": "x" * 1000}) + "\n")
    read(reader, 2 * PIPE_BYTES)
    stream.write(json.dumps({"last": True}) + "\n")
    assert json.loads(read(reader, PIPE_BYTES).split(b"\n")[-2]) == {"last": True}


def test_lines_on_requests_are_bounded(caplog) -> None:
    timer = SteppedTimer()
    log = make_decision_log(timer)
    caplog.set_level("INFO", "pollenbay.requests")
    for number in range(10_000):
        timer.at = number / 1000.0
        if log.take_room(Decision.HELD_BACK):
            log.write(Decision.HELD_BACK, {"request": str(number)})
    assert len(caplog.records) <= LINES_BURST + 10 * LINES_PER_S + 1
    left_out = sum(record.left_out for record in caplog.records) + log.left_out(Decision.HELD_BACK)
    assert left_out + len(caplog.records) == 10_000


def test_a_flood_of_one_message_leaves_room_for_another() -> None:
    log = make_decision_log(SteppedTimer())
    while log.take_room(Decision.HELD_BACK):
        pass
    assert log.take_room(Decision.FAILED)


def test_errors_of_the_event_loop_are_lines_and_its_warnings_are_not(monkeypatch, ends) -> None:
    reader, writer = ends
    for name in ("pollenbay", "curio"):
        logger = getLogger(name)
        for attribute in ("handlers", "level", "propagate"):
            monkeypatch.setattr(logger, attribute, getattr(logger, attribute))
    monkeypatch.setattr("pollenbay.logs.stdout", SimpleNamespace(fileno=lambda: writer))
    start_logs("INFO", InstanceId("node-1"), HostId("host-1"))
    getLogger("curio.time").warning("slow")
    getLogger("curio.kernel").error("crashed")
    lines = [json.loads(line) for line in read(reader, PIPE_BYTES).splitlines()]
    assert [(line["message"], line["instance"]) for line in lines] == [("crashed", "node-1")]
