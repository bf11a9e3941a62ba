"""Log lines as JSON on standard error, one for each change of state."""

from logging import StreamHandler, getLogger
from sys import stderr

from pythonjsonlogger.json import JsonFormatter

from pollenbay.ids import HostId, InstanceId

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def start_logs(level: str, instance: InstanceId, host: HostId) -> None:
    """Send the log lines of the package to standard error.

    :param level: as in Python's logging.
    """
    handler = StreamHandler(stderr)
    fields = {"instance": instance, "host": host}
    handler.setFormatter(JsonFormatter(FORMAT, static_fields=fields))
    root = getLogger("pollenbay")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
