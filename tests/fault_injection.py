"""Injects faults into a running cluster and clears them again."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum
from http.client import HTTPException
from random import Random
from threading import Event, Lock, Thread
from time import monotonic, sleep
from typing import Any

from cluster import ADMIN_TOKEN, Cluster, Instance
from harness import Process, control, run_log, send
from load_clients import send_call
from msgspec import to_builtins

from pollenbay.rule import ServiceRule


class Fault(Enum):
    """Faults that the product has to withstand."""

    SLOW_DOWNSTREAM_SERVICE = "slow-downstream-service"
    SURGE = "surge"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_SLOW = "platform-slow"
    RESPONSES_LOST = "responses-lost"
    CLAIM_HOLDER_PAUSED = "claim-holder-paused"
    CONCURRENT_PUBLICATIONS = "concurrent-publications"
    UNRESPONSIVE_CONNECTIONS = "unresponsive-connections"


#: Exceeds the lease of a node, so that the lease of a paused node expires.
PAUSE_S = 4.5
#: Maximum time to find a node that holds a claim.
CLAIM_HOLDER_SEARCH_S = 1.0
#: Number of the newest runs of a target among which one in progress is looked for.
RECENT_RUNS = 50
SURGE_CALLERS = 24
SURGE_RETRIES = 3
SERVICE_TIME_FACTOR_RANGE = (5.0, 25.0)
PLATFORM_DELAY_RANGE_S = (0.2, 2.0)
CONNECTION_FAULT_RANGE_S = (0.3, 1.0)
PLATFORM_FAULT_RANGE_S = (0.1, 0.6)
PUBLISH_INTERVAL_RANGE_S = (0.0, 0.1)


@dataclass(slots=True)
class FaultScenario:
    """A cluster under test.

    :param entry: service at which calls enter.
    :param downstream: last service of the call chain.
    :param surge_path: path of the calls of a surge.
    :param make_rules: returns the rules to publish; each number yields different rules.
    :param seed: seed of all random choices.
    :param accepted: versions, with their digests, that were reported to operators as accepted.
    :param claim_holder_paused: whether the node that was paused held a claim.
    """

    cluster: Cluster
    entry: str
    downstream: str
    surge_path: str
    make_rules: Callable[[int], list[ServiceRule]]
    seed: int
    accepted: list[tuple[int, str]] = field(default_factory=list)
    publications: int = 0
    claim_holder_paused: bool = False
    lock: Lock = field(default_factory=Lock)

    def random(self, purpose: str) -> Random:
        """Return the random generator of one purpose, reproducible by the seed."""
        return Random(f"{self.seed} {purpose}")

    def instances_of(self, service: str) -> list[str]:
        """Return the names of the instances of a service."""
        found = self.cluster.instances.values()
        return [instance.name for instance in found if instance.service == service]

    def publish_through(self, name: str, author: str) -> bool:
        """Publish rules through a node as an operator does; return whether they were accepted."""
        with self.lock:
            self.publications += 1
            rules = self.make_rules(self.publications)
        body = json.dumps({"services": to_builtins(rules), "author": author})
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        try:
            response = send(self.cluster[name].admin_port, "/v1/publish", "POST", body, headers)
        except (OSError, HTTPException):
            return False
        outcome = response.json()
        if outcome.get("outcome") != "accepted":
            return False
        with self.lock:
            self.accepted.append((outcome["version"], outcome["digest"]))
        return True


@contextmanager
def inject_faults(scenario: FaultScenario, faults: list[Fault]) -> Iterator[None]:
    """Inject faults for the duration of the block, then clear them all."""
    stop = Event()
    threads = [Thread(target=_INJECTORS[fault], args=(scenario, stop)) for fault in faults]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop.set()
        for thread in threads:
            thread.join()
        clear_faults(scenario)


def clear_faults(scenario: FaultScenario) -> None:
    """Clear all faults that may be active."""
    control(scenario.cluster.platform, mode="up")
    for instance in scenario.cluster.instances.values():
        if instance.node.alive:
            instance.node.resume()
        control(instance.target, service_time_factor=1.0)
        for proxy in (instance.link_proxy, instance.gossip_proxy):
            if proxy is not None:
                control(proxy, mode="pass")


def _slow_downstream_service(scenario: FaultScenario, stop: Event) -> None:
    factor = scenario.random("slow").uniform(*SERVICE_TIME_FACTOR_RANGE)
    for name in scenario.instances_of(scenario.downstream):
        control(scenario.cluster[name].target, service_time_factor=factor)
    stop.wait()


def _surge(scenario: FaultScenario, stop: Event) -> None:
    names = scenario.instances_of(scenario.entry)
    ports = [scenario.cluster[name].caller_port for name in names]
    with ThreadPoolExecutor(SURGE_CALLERS) as pool:
        for number in range(SURGE_CALLERS):
            pool.submit(_call_with_immediate_retries, scenario, ports, number, stop)


def _call_with_immediate_retries(
    scenario: FaultScenario, ports: list[int], number: int, stop: Event
) -> None:
    count = 0
    while not stop.is_set():
        count += 1
        for attempt in range(1 + SURGE_RETRIES):
            marker = f"surge-{scenario.seed}-{number}-{count}-{attempt}"
            port = ports[(number + count + attempt) % len(ports)]
            if send_call(port, marker, scenario.surge_path, "GET", "script", None).answered:
                break


def _platform_down(scenario: FaultScenario, stop: Event) -> None:
    _inject_platform_faults(scenario, stop, "down", lambda random: {"mode": "down"})


def _platform_slow(scenario: FaultScenario, stop: Event) -> None:
    _inject_platform_faults(
        scenario,
        stop,
        "slow",
        lambda random: {"mode": "slow", "delay_s": random.uniform(*PLATFORM_DELAY_RANGE_S)},
    )


def _responses_lost(scenario: FaultScenario, stop: Event) -> None:
    _inject_platform_faults(
        scenario,
        stop,
        "lost",
        lambda random: {"mode": "lose-answers", "count": random.randint(1, 3)},
    )


def _inject_platform_faults(
    scenario: FaultScenario,
    stop: Event,
    purpose: str,
    draw_fault: Callable[[Random], dict[str, Any]],
) -> None:
    """Set a platform fault repeatedly, so that two platform faults alternate."""
    random = scenario.random(purpose)
    while not stop.is_set():
        control(scenario.cluster.platform, **draw_fault(random))
        stop.wait(random.uniform(*PLATFORM_FAULT_RANGE_S))


def _claim_holder_paused(scenario: FaultScenario, stop: Event) -> None:
    random = scenario.random("pause")
    service = random.choice([scenario.entry, scenario.downstream])
    names = scenario.instances_of(service)
    random.shuffle(names)
    node = _pause_claim_holder(scenario, names)
    paused_at = monotonic()
    stop.wait(PAUSE_S)
    sleep(max(paused_at + PAUSE_S - monotonic(), 0.0))
    node.resume()


def _pause_claim_holder(scenario: FaultScenario, names: list[str]) -> Process:
    """Pause the first node found to hold a claim; the first of all if none is found in time.

    A call with a key that still runs after the pause holds a claim, since its node cannot have
    recorded the response.
    """
    ends_at = monotonic() + CLAIM_HOLDER_SEARCH_S
    while monotonic() < ends_at:
        for name in names:
            instance = scenario.cluster[name]
            if not _runs_keyed_call(instance):
                continue
            instance.node.pause()
            scenario.claim_holder_paused = _runs_keyed_call(instance)
            if scenario.claim_holder_paused:
                return instance.node
            instance.node.resume()
    node = scenario.cluster[names[0]].node
    node.pause()
    return node


def _runs_keyed_call(instance: Instance) -> bool:
    runs = run_log(instance.target)["runs"][-RECENT_RUNS:]
    return any(run["idempotency_key"] and not run["finished"] for run in runs)


def _concurrent_publications(scenario: FaultScenario, stop: Event) -> None:
    names = scenario.instances_of(scenario.entry) + scenario.instances_of(scenario.downstream)
    with ThreadPoolExecutor(2) as pool:
        for author in ("anna", "bela"):
            pool.submit(_publish_repeatedly, scenario, author, names, stop)


def _publish_repeatedly(
    scenario: FaultScenario, author: str, names: list[str], stop: Event
) -> None:
    random = scenario.random(author)
    while not stop.is_set():
        scenario.publish_through(random.choice(names), author)
        stop.wait(random.uniform(*PUBLISH_INTERVAL_RANGE_S))


def _unresponsive_connections(scenario: FaultScenario, stop: Event) -> None:
    random = scenario.random("silence")
    proxies = [
        proxy
        for instance in scenario.cluster.instances.values()
        for proxy in (instance.link_proxy, instance.gossip_proxy)
    ]
    while not stop.is_set():
        proxy = random.choice(proxies)
        control(proxy, mode=random.choice(["silence", "half-open"]))
        stop.wait(random.uniform(*CONNECTION_FAULT_RANGE_S))
        control(proxy, mode="pass")


_INJECTORS: dict[Fault, Callable[[FaultScenario, Event], Any]] = {
    Fault.SLOW_DOWNSTREAM_SERVICE: _slow_downstream_service,
    Fault.SURGE: _surge,
    Fault.PLATFORM_DOWN: _platform_down,
    Fault.PLATFORM_SLOW: _platform_slow,
    Fault.RESPONSES_LOST: _responses_lost,
    Fault.CLAIM_HOLDER_PAUSED: _claim_holder_paused,
    Fault.CONCURRENT_PUBLICATIONS: _concurrent_publications,
    Fault.UNRESPONSIVE_CONNECTIONS: _unresponsive_connections,
}
