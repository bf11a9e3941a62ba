"""Processor time per request of both nodes on the path of a request on the users' platform.

Starts the store, an instance and two nodes, sends requests over keep-alive connections, and prints
the processor time per request of the entry node and of the node of the instance.
"""

import json
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Thread
from time import monotonic, sleep

import click

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from harness import (  # noqa: E402
    Processes,
    keep_alive_connection,
    send,
    wait_until,
)
from platform_node import HOST, PlatformNode, make_config, make_route  # noqa: E402

TICKS_PER_S = 100.0
SETTLE_S = 3.0
#: The node drops an instance that has not checked in for a few periods.
CHECK_IN_PERIOD_S = 1.0


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return the peak resident memory of a process in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


def send_requests(port: int, stop_at: float, counts: list[int]) -> None:
    """Send requests in sequence on one connection until a monotonic time; append their number."""
    count = 0
    with keep_alive_connection(port) as connection:
        while monotonic() < stop_at:
            headers = {
                "host": HOST,
                "x-pollenbay-request-id": f"{count:016x}",
                "x-pollenbay-deadline-ms": "900",
                "user-agent": "bench",
                "accept": "*/*",
            }
            connection.request("GET", "/safe/a?work_s=0.02", headers=headers)
            connection.getresponse().read()
            count += 1
    counts.append(count)


@click.command()
@click.option("--seconds", default=5.0, help="How long to send.")
@click.option("--connections", default=16, help="Connections that send at once.")
def main(seconds: float, connections: int) -> None:
    """Print the cost of a request at the entry and beside the instance."""
    with TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        target_node = PlatformNode(processes, Path(folder))
        target_process = target_node.serve(make_route("/safe/", slo_ms=500))
        entry_node = target_node.add_node("other")
        entry, port = entry_node.start(), entry_node.requests_port
        target_node.publish(make_config(2, make_route("/safe/")))
        headers = {"host": HOST, "x-pollenbay-request-id": "warm"}
        wait_until(lambda: send(port, "/safe/", headers=headers).status == 200, 10.0, "the entry")
        sleep(SETTLE_S)
        target_node.check_in()
        before = {process.pid: cpu_s(process.pid) for process in (entry, target_process)}
        counts: list[int] = []
        stop_at = monotonic() + seconds
        threads = [
            Thread(target=send_requests, args=(port, stop_at, counts)) for _ in range(connections)
        ]
        for thread in threads:
            thread.start()
        while monotonic() < stop_at:
            target_node.check_in()
            sleep(CHECK_IN_PERIOD_S)
        for thread in threads:
            thread.join()
        requests = sum(counts)
        result = {"requests": requests, "per_s": round(requests / seconds)}
        for process, role in ((entry, "entry"), (target_process, "beside")):
            used_s = cpu_s(process.pid) - before[process.pid]
            result[f"{role}_ms"] = round(used_s / requests * 1000, 3)
            result[f"{role}_mb"] = round(rss_mb(process.pid), 1)
        click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
