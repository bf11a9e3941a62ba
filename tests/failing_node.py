"""Runs a node whose maintenance fails after its first request in progress has been seen.

Run as ``python -m tests.failing_node --settings FILE``.
"""

from curio import sleep, spawn

from pollenbay import daemon
from pollenbay.commands.maintenance import run_maintenance
from pollenbay.node import Node

POLL_S = 0.01


class InjectedError(Exception):
    """The failure."""


async def fail_beside_a_call(node: Node) -> None:
    """Run the maintenance until a call is in progress, then fail."""
    task = await spawn(run_maintenance, node)
    while not node.gate.in_flight or not node.watch.in_progress:
        await sleep(POLL_S)
    await task.cancel()
    raise InjectedError("injected")


if __name__ == "__main__":
    daemon.run_maintenance = fail_beside_a_call
    daemon.main()
