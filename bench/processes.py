"""Processes of one deployment on this machine, behind Pollenbay nodes or plain forwarders."""

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
SETTINGS_FOLDER = Path("src/standins/deployments")
RULES_FOLDER = Path("examples")
INSTANCES_PER_SERVICE = 2
ZONE_COUNT = 4
NODE_VARIANT = "ours"
SETTLE_S = 2.0
ADOPTION_TIMEOUT_S = "20"


class ReadyProcess(Struct):
    """A running process and its ready line, printed once it accepts connections."""

    process: subprocess.Popen
    ready: dict


class Instance(Struct):
    """A target and its proxy.

    :param proxy: the Pollenbay node or plain forwarder of the target.
    """

    service: str
    proxy: ReadyProcess
    target: ReadyProcess


class DeploymentProcesses(Struct):
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


def start_deployment(cluster: DeploymentProcesses, folder: Path, variant: str) -> None:
    """Start all processes of a variant, wait until they are ready and publish the rules."""
    services = sorted(path.stem for path in (RULES_FOLDER / cluster.deployment).glob("*.yaml"))
    identities = [
        (service, number) for service in services for number in range(1, INSTANCES_PER_SERVICE + 1)
    ]
    start_proxies = _start_nodes if variant == NODE_VARIANT else _start_forwarders
    proxies = [
        wait_until_ready(process) for process in start_proxies(cluster, folder, variant, identities)
    ]
    targets = [_spawn_target(cluster, s, p) for (s, _), p in zip(identities, proxies, strict=True)]
    for (service, _), proxy, target in zip(identities, proxies, targets, strict=True):
        cluster.instances.append(Instance(service, proxy, wait_until_ready(target)))
    if variant == NODE_VARIANT:
        _publish(cluster, folder)
    sleep(SETTLE_S)


def restart_target(cluster: DeploymentProcesses, instance: Instance) -> None:
    """Restart a target behind the same proxy."""
    instance.target = wait_until_ready(_spawn_target(cluster, instance.service, instance.proxy))


def spawn_module(cluster: DeploymentProcesses, module: str, *arguments: str) -> subprocess.Popen:
    """Start a Python module as a process of the deployment."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE, stdin=subprocess.DEVNULL
    )
    cluster.processes.append(process)
    return process


def wait_until_ready(process: subprocess.Popen) -> ReadyProcess:
    """Wait for the ready line of a process."""
    return ReadyProcess(process, json.loads(process.stdout.readline()))


def stop_deployment(cluster: DeploymentProcesses) -> None:
    """Kill all processes of a run and wait for them."""
    for process in cluster.processes:
        process.kill()
    for process in cluster.processes:
        process.wait()
        process.stdout.close()


def _spawn_target(
    cluster: DeploymentProcesses, service: str, proxy: ReadyProcess
) -> subprocess.Popen:
    config = SETTINGS_FOLDER / cluster.deployment / f"{service}.yaml"
    port = str(proxy.ready["outbound"])
    return spawn_module(cluster, "standins.target", "--config", str(config), "--node-port", port)


def _start_nodes(
    cluster: DeploymentProcesses, folder: Path, variant: str, identities: list[tuple[str, int]]
) -> list[subprocess.Popen]:
    platform = wait_until_ready(spawn_module(cluster, "standins.platform", "--port", "0"))
    processes = []
    for index, (service, number) in enumerate(identities):
        settings = _node_settings(cluster, service, number, index, platform.ready["port"])
        path = folder / f"{service}-{number}.yaml"
        path.write_text(safe_dump(settings), encoding="utf-8")
        processes.append(spawn_module(cluster, "pollenbay.daemon", "--settings", str(path)))
    return processes


def _node_settings(
    cluster: DeploymentProcesses, service: str, number: int, index: int, table_port: int
) -> dict:
    return {
        "instance": f"{service}-{number}",
        "host": f"host-{service}-{number}",
        "zone": f"zone-{index % ZONE_COUNT + 1}",
        "region": "region-1",
        "service": service,
        "address": ADDRESS,
        "table": {"address": ADDRESS, "port": table_port},
        "admin_token": cluster.token,
        "log_level": "ERROR",
    }


def _start_forwarders(
    cluster: DeploymentProcesses, folder: Path, variant: str, identities: list[tuple[str, int]]
) -> list[subprocess.Popen]:
    ports = _free_ports(len(identities))
    members = []
    for (service, _), port in zip(identities, ports, strict=True):
        members += ["--member", f"{service}={port}"]
    options = ["--policy", variant, *members, "--local-port"]
    return [spawn_module(cluster, "standins.plain", *options, str(port)) for port in ports]


def _free_ports(number: int) -> list[int]:
    sockets = [socket() for _ in range(number)]
    for sock in sockets:
        sock.bind((ADDRESS, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _publish(cluster: DeploymentProcesses, folder: Path) -> None:
    token_file = folder / "token"
    token_file.write_text(cluster.token, encoding="ascii")
    admin = f"http://{ADDRESS}:{cluster.instances[0].proxy.ready['admin']}"
    arguments = ["publish", str(RULES_FOLDER / cluster.deployment), "--admin", admin]
    arguments += ["--token-file", str(token_file), "--author", "bench"]
    arguments += ["--wait", ADOPTION_TIMEOUT_S]
    process = spawn_module(cluster, "pollenbay.tool", *arguments)
    process.stdout.read()
    if process.wait() != 0:
        raise RuntimeError("the rules were not published or not adopted in time")


def make_deployment_processes(deployment: str) -> DeploymentProcesses:
    """Return a deployment without processes."""
    return DeploymentProcesses(deployment, token_hex(16), [], [])
