"""Processes of one deployment on this machine, beside nodes of ours or plain forwarders."""

import json
import subprocess
import sys
from pathlib import Path
from secrets import token_hex
from socket import socket
from time import sleep

from msgspec import Struct
from yaml import safe_dump

ADDRESS = "127.0.0.1"
SETTINGS = Path("src/standins/deployments")
RULES = Path("examples")
INSTANCES = 2
ZONES = 4
OURS = "ours"
SETTLE_S = 2.0
IN_FORCE_WITHIN_S = "20"


class Place(Struct):
    """One process and what it printed when it listened."""

    process: subprocess.Popen
    ready: dict


class Instance(Struct):
    """One target and the process beside it."""

    service: str
    beside: Place
    target: Place


class Graph(Struct):
    """All processes of one run.

    :param token: bearer token of the nodes.
    """

    deployment: str
    token: str
    instances: list[Instance]
    processes: list[subprocess.Popen]

    def of_service(self, service: str) -> list[Instance]:
        """Return the instances of a service."""
        return [item for item in self.instances if item.service == service]


def start_graph(graph: Graph, folder: Path, variant: str) -> None:
    """Start all processes of a variant and wait until they serve."""
    services = sorted(path.stem for path in (RULES / graph.deployment).glob("*.yaml"))
    names = [(service, number) for service in services for number in range(1, INSTANCES + 1)]
    start = _start_nodes if variant == OURS else _start_forwarders
    besides = [listening(process) for process in start(graph, folder, variant, names)]
    targets = [_spawn_target(graph, s, b) for (s, _), b in zip(names, besides, strict=True)]
    for (service, _), beside, target in zip(names, besides, targets, strict=True):
        graph.instances.append(Instance(service, beside, listening(target)))
    if variant == OURS:
        _publish(graph, folder)
    sleep(SETTLE_S)


def restart_target(graph: Graph, instance: Instance) -> None:
    """Start a target anew beside the same process."""
    instance.target = listening(_spawn_target(graph, instance.service, instance.beside))


def spawn_module(graph: Graph, module: str, *arguments: str) -> subprocess.Popen:
    """Start a module of ours."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE, stdin=subprocess.DEVNULL
    )
    graph.processes.append(process)
    return process


def listening(process: subprocess.Popen) -> Place:
    """Wait for the line that a process prints when it listens."""
    return Place(process, json.loads(process.stdout.readline()))


def end_graph(graph: Graph) -> None:
    """End all processes of a run."""
    for process in graph.processes:
        process.kill()
    for process in graph.processes:
        process.wait()
        process.stdout.close()


def _spawn_target(graph: Graph, service: str, beside: Place) -> subprocess.Popen:
    config = SETTINGS / graph.deployment / f"{service}.yaml"
    port = str(beside.ready["outbound"])
    return spawn_module(graph, "standins.target", "--config", str(config), "--node-port", port)


def _start_nodes(
    graph: Graph, folder: Path, variant: str, names: list[tuple[str, int]]
) -> list[subprocess.Popen]:
    platform = listening(spawn_module(graph, "standins.platform", "--port", "0"))
    processes = []
    for index, (service, number) in enumerate(names):
        settings = _node_settings(graph, service, number, index, platform.ready["port"])
        path = folder / f"{service}-{number}.yaml"
        path.write_text(safe_dump(settings), encoding="utf-8")
        processes.append(spawn_module(graph, "pollenbay.daemon", "--settings", str(path)))
    return processes


def _node_settings(graph: Graph, service: str, number: int, index: int, table_port: int) -> dict:
    return {
        "instance": f"{service}-{number}",
        "host": f"host-{service}-{number}",
        "zone": f"zone-{index % ZONES + 1}",
        "region": "region-1",
        "service": service,
        "address": ADDRESS,
        "table": {"address": ADDRESS, "port": table_port},
        "admin_token": graph.token,
        "log_level": "ERROR",
    }


def _start_forwarders(
    graph: Graph, folder: Path, variant: str, names: list[tuple[str, int]]
) -> list[subprocess.Popen]:
    ports = _free_ports(len(names))
    members = []
    for (service, _), port in zip(names, ports, strict=True):
        members += ["--member", f"{service}={port}"]
    options = ["--policy", variant, *members, "--local-port"]
    return [spawn_module(graph, "standins.plain", *options, str(port)) for port in ports]


def _free_ports(number: int) -> list[int]:
    sockets = [socket() for _ in range(number)]
    for sock in sockets:
        sock.bind((ADDRESS, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _publish(graph: Graph, folder: Path) -> None:
    token_file = folder / "token"
    token_file.write_text(graph.token, encoding="ascii")
    admin = f"http://{ADDRESS}:{graph.instances[0].beside.ready['admin']}"
    arguments = ["publish", str(RULES / graph.deployment), "--admin", admin]
    arguments += ["--token-file", str(token_file), "--author", "bench"]
    arguments += ["--wait", IN_FORCE_WITHIN_S]
    publishing = spawn_module(graph, "pollenbay.tool", *arguments)
    publishing.stdout.read()
    if publishing.wait() != 0:
        raise RuntimeError("the rules were not put in force")


def make_graph(deployment: str) -> Graph:
    """Return a graph without processes."""
    return Graph(deployment, token_hex(16), [], [])
