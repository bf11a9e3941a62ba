"""A small service graph of real processes for integration tests: platform, nodes and targets."""

from __future__ import annotations

from dataclasses import dataclass, field
from time import time
from typing import Any

from curio import run
from harness import ADDRESS, Process, Processes, Response, free_port, send, wait_until

from pollenbay.commands.publication import Accepted, Publish, publish
from pollenbay.rule import ServiceRule
from pollenbay.table import make_table

ADMIN_TOKEN = "test-token-0123456789"
SERVING_WITHIN_S = 15.0


@dataclass(slots=True)
class Instance:
    """One node and its target."""

    name: str
    service: str
    node: Process
    target: Process | None
    link_proxy: Process | None = None
    gossip_proxy: Process | None = None

    @property
    def caller_port(self) -> int:
        """Return the port on which the node accepts calls of callers."""
        return self.node.ready["callers"]

    @property
    def admin_port(self) -> int:
        """Return the port of the administration API."""
        return self.node.ready["admin"]


@dataclass(slots=True)
class Cluster:
    """Processes of one test.

    :param table_port: port at which nodes reach the table; the port of a fault-injecting proxy
        allows a test to cut them off.
    """

    processes: Processes
    platform: Process
    table_port: int
    instances: dict[str, Instance] = field(default_factory=dict)

    def __getitem__(self, name: str) -> Instance:
        return self.instances[name]

    @property
    def targets(self) -> list[Process]:
        return [each.target for each in self.instances.values() if each.target is not None]

    def publish(self, *services: ServiceRule, author: str = "test") -> Accepted:
        """Publish rules directly to the platform's table, bypassing the nodes."""
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
        proxied: bool = False,
    ) -> Instance:
        """Start a node and its target.

        :param calls: as in `standins.target_settings.CallSettings`.
        :param node: additional settings of the node.
        :param target: additional settings of the target.
        :param proxied: whether other nodes reach it through fault-injecting proxies.
        """
        node_settings = dict(node or {})
        proxies = self._start_proxies(node_settings) if proxied else (None, None)
        process = self.start_node(name, service, zone, node_settings)
        target_process = self.processes.start_target(
            f"{name}-target",
            {
                "service": service,
                "slots": slots,
                "node_port": process.ready["outbound"],
                "calls": calls,
                **(target or {}),
            },
        )
        instance = Instance(name, service, process, target_process, *proxies)
        self.instances[name] = instance
        return instance

    def add_node(self, name: str, service: str, zone: str = "z1") -> Instance:
        """Start a node without a target; the test simulates the target."""
        self.instances[name] = Instance(
            name, service, self.start_node(name, service, zone, {}), None
        )
        return self.instances[name]

    def _start_proxies(self, settings: dict[str, Any]) -> tuple[Process, Process]:
        ports = {"link": free_port(), "gossip": free_port()}
        link, gossip = (self.processes.start_proxy(port) for port in ports.values())
        settings["ports"] = ports
        settings["advertised"] = {"link": link.port, "gossip": gossip.port}
        return link, gossip

    def start_node(
        self, name: str, service: str, zone: str, extra_settings: dict[str, Any]
    ) -> Process:
        """Start a node without a target."""
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
        return self.processes.start_node(name, {**settings, **extra_settings})

    def call(self, name: str, path: str, method: str = "GET", **headers: str) -> Response:
        """Make one call through a node; underscores in header names become hyphens."""
        sent_headers = {key.replace("_", "-"): value for key, value in headers.items()}
        return send(self[name].caller_port, path, method, headers=sent_headers)

    def get_admin(self, name: str, path: str) -> Any:
        """Get a path of a node's administration API."""
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        response = send(self[name].admin_port, path, headers=headers)
        assert response.status == 200, response
        return response.json()

    def members_seen_by(self, name: str) -> list[dict[str, Any]]:
        """Return the instances in a node's view."""
        return self.get_admin(name, "/v1/members")["members"]

    def rule_version_of(self, name: str) -> int:
        """Return the active rule version of a node."""
        return self.get_admin(name, "/v1/status")["rule_version"]

    def wait_until_answered(self, name: str, path: str, method: str = "GET") -> Response:
        """Repeat a call until the response status is 200."""

        def attempt() -> Response | None:
            response = self.call(name, path, method)
            return response if response.status == 200 else None

        return wait_until(attempt, SERVING_WITHIN_S, f"{path} at {name}")


def make_cluster(processes: Processes, table_port: int | None = None) -> Cluster:
    """Return a cluster that consists of a platform only."""
    platform = processes.start_platform()
    return Cluster(processes, platform, table_port or platform.port)
