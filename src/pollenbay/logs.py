"""Logging set-up: JSON lines on standard output, written without blocking."""

from logging import ERROR, StreamHandler, getLogger
from os import set_blocking, write
from sys import stdout

from pythonjsonlogger.json import JsonFormatter

from pollenbay.ids import HostId, InstanceId

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class DroppingStream:
    """Output stream that never blocks: lines that cannot be written at once are dropped.

    :param descriptor: file descriptor; set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped = 0
        self._line_truncated = False
        set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped or truncated."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line; a truncated line before it is ended with a newline first."""
        data = text.encode("utf-8", "replace")
        if self._line_truncated:
            data = b"\n" + data
        try:
            written = write(self._descriptor, data)
        except BlockingIOError:
            self._dropped += 1
            return
        self._line_truncated = written < len(data)
        self._dropped += int(self._line_truncated)

    def flush(self) -> None:
        """Do nothing, since writes are not buffered."""


def configure_logging(level: str, instance: InstanceId, host: HostId) -> None:
    """Send the log lines of the package and the errors of the event loop to standard output.

    Warnings of the event loop are suppressed: it logs one for each operation that ends just past
    its time limit, which is not a failure.

    :param level: level name as in Python's logging.
    """
    handler = StreamHandler(DroppingStream(stdout.fileno()))
    fields = {"instance": instance, "host": host}
    handler.setFormatter(JsonFormatter(LOG_FORMAT, static_fields=fields))
    package_logger = getLogger("pollenbay")
    package_logger.handlers = [handler]
    package_logger.setLevel(level)
    package_logger.propagate = False
    event_loop_logger = getLogger("curio")
    event_loop_logger.handlers = [handler]
    event_loop_logger.setLevel(ERROR)
    event_loop_logger.propagate = False


def set_log_level(level: str) -> None:
    """Set the log level of the package.

    :param level: level name as in Python's logging.
    """
    getLogger("pollenbay").setLevel(level)
