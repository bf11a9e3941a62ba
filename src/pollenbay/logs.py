"""Log lines as JSON on standard output, one for each change of state and each decision shown."""

from logging import ERROR, StreamHandler, getLogger
from os import set_blocking, write
from sys import stdout

from pythonjsonlogger.json import JsonFormatter

from pollenbay.ids import HostId, InstanceId

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class DroppingStream:
    """Standard output that never blocks: what its reader does not take at once is dropped.

    :param descriptor: file descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped = 0
        self._cut = False
        set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped or cut."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line; after one that was cut, an empty line ends it first."""
        data = text.encode("utf-8", "replace")
        if self._cut:
            data = b"\n" + data
        try:
            written = write(self._descriptor, data)
        except BlockingIOError:
            self._dropped += 1
            return
        self._cut = written < len(data)
        self._dropped += int(self._cut)

    def flush(self) -> None:
        """Do nothing, since nothing is kept back."""


def start_logs(level: str, instance: InstanceId, host: HostId) -> None:
    """Send the log lines of the package, and the errors of the event loop, to standard output.

    The event loop warns of each operation that ends just past its time limit, which is no failure.

    :param level: as in Python's logging.
    """
    handler = StreamHandler(DroppingStream(stdout.fileno()))
    fields = {"instance": instance, "host": host}
    handler.setFormatter(JsonFormatter(FORMAT, static_fields=fields))
    root = getLogger("pollenbay")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
    loop = getLogger("curio")
    loop.handlers = [handler]
    loop.setLevel(ERROR)
    loop.propagate = False


def set_log_level(level: str) -> None:
    """Change the level of the package's log lines.

    :param level: as in Python's logging.
    """
    getLogger("pollenbay").setLevel(level)
