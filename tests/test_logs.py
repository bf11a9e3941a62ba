"""Log lines never block, and lines on single requests are bounded."""

import json
from os import close, pipe, read

from pytest import fixture

from pollenbay.decisions import LINES_BURST, LINES_PER_S, make_decision_log
from pollenbay.logs import DroppingStream
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
        if log.take_room():
            log.write("request failed", {"request": str(number)})
    assert len(caplog.records) <= LINES_BURST + 10 * LINES_PER_S + 1
    left_out = sum(record.left_out for record in caplog.records) + log.suppressed
    assert left_out + len(caplog.records) == 10_000
