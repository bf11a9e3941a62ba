"""A small call graph of real processes for integration tests: platform, nodes and targets."""

from __future__ import annotations

from dataclasses import dataclass, field
from time import time
from typing import Any

from curio import run
from harness import ADDRESS, Answer, Process, Processes, send, wait_until

from pollenbay.commands.publication import Accepted, Publish, publish
from pollenbay.rule import ServiceRule
from pollenbay.table import make_table

ADMIN_TOKEN = "test-token-0123456789"
SERVING_WITHIN_S = 15.0


@dataclass(slots=True)
class Instance:
    """One node with the target beside it."""

    name: str
    service: str
    node: Process
    target: Process

    @property
    def callers(self) -> int:
        """Return the port for callers."""
        return self.node.ready["callers"]

    @property
    def admin(self) -> int:
        """Return the port for operators."""
        return self.node.ready["admin"]


@dataclass(slots=True)
class Cluster:
    """Processes of one test.

    :param table_port: where nodes look for the table; a proxy's port cuts them off from it.
    """

    processes: Processes
    platform: Process
    table_port: int
    instances: dict[str, Instance] = field(default_factory=dict)

    def __getitem__(self, name: str) -> Instance:
        return self.instances[name]

    @property
    def targets(self) -> list[Process]:
        """Return the targets of all instances."""
        return [instance.target for instance in self.instances.values()]

    def publish(self, *services: ServiceRule, author: str = "test") -> Accepted:
        """Publish rules past the nodes, straight to the platform's table."""
        table = make_table(ADDRESS, self.platform.port)
        outcome = run(publish, table, Publish(services=services, author=author), time())
        assert isinstance(outcome, Accepted), outcome
        return outcome

    def add(
        self,
        name: str,
        service: str,
        calls: list[dict[str, Any]],
        zone: str = "z1",
        slots: int = 20,
        node: dict[str, Any] | None = None,
        target: dict[str, Any] | None = None,
    ) -> Instance:
        """Start a node and its target.

        :param calls: as in `standins.target_settings.CallSettings`.
        :param node: further settings of the node.
        :param target: further settings of the target.
        """
        process = self.start_node(name, service, zone, node or {})
        beside = self.processes.start_target(
            f"{name}-target",
            {
                "service": service,
                "slots": slots,
                "node_port": process.ready["outbound"],
                "calls": calls,
                **(target or {}),
            },
        )
        instance = Instance(name, service, process, beside)
        self.instances[name] = instance
        return instance

    def start_node(self, name: str, service: str, zone: str, more: dict[str, Any]) -> Process:
        """Start a node alone."""
        settings = {
            "instance": name,
            "host": f"host-{name}",
            "zone": zone,
            "region": "r1",
            "service": service,
            "address": ADDRESS,
            "table": {"address": ADDRESS, "port": self.table_port, "timeout_s": 1.0},
            "admin_token": ADMIN_TOKEN,
            "leave_s": 1.0,
            "drain_s": 10.0,
        }
        return self.processes.start_node(name, {**settings, **more})

    def call(self, name: str, path: str, method: str = "GET", **headers: str) -> Answer:
        """Make one call through a node; underscores in header names stand for hyphens."""
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        return send(self[name].callers, path, method, headers=named)

    def wait_until_answered(self, name: str, path: str, method: str = "GET") -> Answer:
        """Call until the answer is 200."""

        def attempt() -> Answer | None:
            answer = self.call(name, path, method)
            return answer if answer.status == 200 else None

        return wait_until(attempt, SERVING_WITHIN_S, f"{path} at {name}")


def make_cluster(processes: Processes, table_port: int | None = None) -> Cluster:
    """Return a cluster with a platform and nothing else."""
    platform = processes.start_platform()
    return Cluster(processes, platform, table_port or platform.port)
