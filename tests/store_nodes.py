"""Nodes without instances that share a store: what they make of its configuration."""

from __future__ import annotations

from typing import Any

from harness import ADDRESS, Process, Processes, control, free_port, send, wait_until
from platform_node import READY_WITHIN_S, SERVICE, make_config, make_route

VERSION_METRIC = "pollenbay_rule_version "


class StoreNodes:
    """A store, a fault-injecting proxy in front of it, and nodes that reach it through the proxy.

    :param bounds: bounds of the deployment.
    """

    def __init__(self, processes: Processes, bounds: dict[str, Any]) -> None:
        self._processes = processes
        self._bounds = bounds
        self._started = 0
        self.store = processes.start("store", "standins.metadata")
        self.proxy = processes.start_proxy(self.store.port)

    def start(self, count: int) -> list[Process]:
        """Start nodes and wait until each has adopted a configuration."""
        nodes = [self._spawn() for _ in range(count)]
        for node in nodes:
            wait_until(lambda node=node: version_at(node) > 0, READY_WITHIN_S, "a configuration")
        return nodes

    def publish(self, version: int) -> None:
        """Publish a configuration as the operator does."""
        document = make_config(version, make_route("/safe/"))
        assert send(self.store.port, "/operator/config", "POST", document).status == 200

    def write_other_rows(self, count: int, prefix: str = "other-") -> None:
        """Write rows beside the configuration, which raises the version of the store."""
        for number in range(count):
            send(self.store.port, f"/operator/{prefix}{number}", "POST", b"{}")

    def control_store(self, mode: str) -> None:
        """Set a fault of the store, or make or restore a copy of it."""
        control(self.store, mode=mode)

    def silence_connections(self) -> None:
        """Let all open connections to the store go silent; new ones work."""
        control(self.proxy, mode="silence")

    def rows(self, prefix: str) -> int:
        """Return the number of rows of nodes in the store whose key starts with a prefix."""
        found = send(self.store.port, f"/rows-get?table=nodes&part=&from={prefix}").json()["rows"]
        return sum(row["key"].startswith(prefix) for row in found)

    def _spawn(self) -> Process:
        self._started += 1
        return self._processes.start_node(f"node-{self._started}", self._settings())

    def _settings(self) -> dict[str, Any]:
        name = f"node-{self._started}"
        ports = [f"{ADDRESS}:{free_port()}" for _ in range(4)]
        return {
            "instance": name,
            "host": name,
            "zone": "z1",
            "region": "r1",
            "service": SERVICE,
            "address": ADDRESS,
            "platform": {
                "store": f"{ADDRESS}:{self.proxy.port}",
                "check_in_ms": 1500,
                "bounds": self._bounds,
                "limits": {},
                **dict(zip(("target", "requests", "readiness", "check_ins"), ports, strict=True)),
            },
        }


def version_at(node: Process) -> int:
    """Return the version of the configuration that a node has in force."""
    text = send(node.ready["admin"], "/metrics").body.decode("utf-8")
    lines = (line for line in text.splitlines() if line.startswith(VERSION_METRIC))
    return int(float(next(lines).removeprefix(VERSION_METRIC)))


def wait_for_version(nodes: list[Process], version: int, within_s: float) -> None:
    """Wait until all nodes have a version in force."""
    wait_until(
        lambda: all(version_at(node) == version for node in nodes),
        within_s,
        f"version {version} at {len(nodes)} nodes",
    )
