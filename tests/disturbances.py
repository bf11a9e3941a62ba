"""The faults of the brief as things that a test can begin and end in a running cluster."""

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

from cluster import ADMIN_TOKEN, Cluster
from crowd import ask
from harness import control, send
from msgspec import to_builtins

from pollenbay.rule import ServiceRule


class Fault(Enum):
    """What may fail, as the brief lists it."""

    SLOW_DEEP_SERVICE = "slow-deep-service"
    SURGE = "surge"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_SLOW = "platform-slow"
    ANSWERS_LOST = "answers-lost"
    HOLDER_PAUSED = "holder-paused"
    OPERATORS_RACING = "operators-racing"
    SILENT_CONNECTIONS = "silent-connections"


#: Long enough for a paused node's lease to lapse.
PAUSE_S = 4.5
SURGE_CALLERS = 24
SURGE_RETRIES = 3
SLOW_FACTORS = (5.0, 25.0)
SLOW_PLATFORM_S = (0.2, 2.0)
SILENCE_GAP_S = (0.3, 1.0)
PLATFORM_GAP_S = (0.1, 0.6)
RACE_GAP_S = (0.0, 0.1)


@dataclass(slots=True)
class Scene:
    """A cluster under test.

    :param entry: service at which calls enter.
    :param deep: service that they reach last.
    :param surge_path: call that a surge asks for.
    :param rules: returns the rules to publish, from a number that makes them differ.
    :param seed: where all random choices come from.
    :param accepted: versions that operators were told are accepted, with their digests.
    """

    cluster: Cluster
    entry: str
    deep: str
    surge_path: str
    rules: Callable[[int], list[ServiceRule]]
    seed: int
    accepted: list[tuple[int, str]] = field(default_factory=list)
    published: int = 0
    lock: Lock = field(default_factory=Lock)

    def random(self, purpose: str) -> Random:
        """Return the random numbers of one purpose; the same for the same seed."""
        return Random(f"{self.seed} {purpose}")

    def names_of(self, service: str) -> list[str]:
        """Return the instances of a service."""
        found = self.cluster.instances.values()
        return [instance.name for instance in found if instance.service == service]

    def publish_at(self, name: str, author: str) -> bool:
        """Publish rules through a node as an operator does, and tell whether it was accepted."""
        with self.lock:
            self.published += 1
            rules = self.rules(self.published)
        body = json.dumps({"services": to_builtins(rules), "author": author})
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        try:
            answer = send(self.cluster[name].admin, "/v1/publish", "POST", body, headers)
        except (OSError, HTTPException):
            return False
        told = answer.json()
        if told.get("outcome") != "accepted":
            return False
        with self.lock:
            self.accepted.append((told["version"], told["digest"]))
        return True


@contextmanager
def disturbed(scene: Scene, faults: list[Fault]) -> Iterator[None]:
    """Bring faults about for the length of the block, and end them all."""
    stop = Event()
    threads = [Thread(target=_CAUSES[fault], args=(scene, stop)) for fault in faults]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop.set()
        for thread in threads:
            thread.join()
        calm(scene)


def calm(scene: Scene) -> None:
    """End whatever fault may be in force."""
    control(scene.cluster.platform, mode="up")
    for instance in scene.cluster.instances.values():
        if instance.node.alive:
            instance.node.resume()
        control(instance.target, service_time_factor=1.0)
        for proxy in (instance.link_proxy, instance.gossip_proxy):
            if proxy is not None:
                control(proxy, mode="pass")


def _slow_deep_service(scene: Scene, stop: Event) -> None:
    factor = scene.random("slow").uniform(*SLOW_FACTORS)
    for name in scene.names_of(scene.deep):
        control(scene.cluster[name].target, service_time_factor=factor)
    stop.wait()


def _surge(scene: Scene, stop: Event) -> None:
    names = scene.names_of(scene.entry)
    ports = [scene.cluster[name].callers for name in names]
    with ThreadPoolExecutor(SURGE_CALLERS) as pool:
        for number in range(SURGE_CALLERS):
            pool.submit(_ask_hard, scene, ports, number, stop)


def _ask_hard(scene: Scene, ports: list[int], number: int, stop: Event) -> None:
    count = 0
    while not stop.is_set():
        count += 1
        for attempt in range(1 + SURGE_RETRIES):
            marker = f"surge-{scene.seed}-{number}-{count}-{attempt}"
            port = ports[(number + count + attempt) % len(ports)]
            if ask(port, marker, scene.surge_path, "GET", "script", None).answered:
                break


def _platform_down(scene: Scene, stop: Event) -> None:
    _disturb_platform(scene, stop, "down", lambda random: {"mode": "down"})


def _platform_slow(scene: Scene, stop: Event) -> None:
    _disturb_platform(
        scene,
        stop,
        "slow",
        lambda random: {"mode": "slow", "delay_s": random.uniform(*SLOW_PLATFORM_S)},
    )


def _answers_lost(scene: Scene, stop: Event) -> None:
    _disturb_platform(
        scene, stop, "lost", lambda random: {"mode": "lose-answers", "count": random.randint(1, 3)}
    )


def _disturb_platform(
    scene: Scene, stop: Event, purpose: str, draw: Callable[[Random], dict[str, Any]]
) -> None:
    """Set a fault of the platform again and again, so that two of them take turns."""
    random = scene.random(purpose)
    while not stop.is_set():
        control(scene.cluster.platform, **draw(random))
        stop.wait(random.uniform(*PLATFORM_GAP_S))


def _holder_paused(scene: Scene, stop: Event) -> None:
    random = scene.random("pause")
    service = random.choice([scene.entry, scene.deep])
    node = scene.cluster[random.choice(scene.names_of(service))].node
    node.pause()
    began_at = monotonic()
    stop.wait(PAUSE_S)
    sleep(max(began_at + PAUSE_S - monotonic(), 0.0))
    node.resume()


def _operators_racing(scene: Scene, stop: Event) -> None:
    names = scene.names_of(scene.entry) + scene.names_of(scene.deep)
    with ThreadPoolExecutor(2) as pool:
        for author in ("anna", "bela"):
            pool.submit(_publish_again, scene, author, names, stop)


def _publish_again(scene: Scene, author: str, names: list[str], stop: Event) -> None:
    random = scene.random(author)
    while not stop.is_set():
        scene.publish_at(random.choice(names), author)
        stop.wait(random.uniform(*RACE_GAP_S))


def _silent_connections(scene: Scene, stop: Event) -> None:
    random = scene.random("silence")
    proxies = [
        proxy
        for instance in scene.cluster.instances.values()
        for proxy in (instance.link_proxy, instance.gossip_proxy)
    ]
    while not stop.is_set():
        proxy = random.choice(proxies)
        control(proxy, mode=random.choice(["silence", "half-open"]))
        stop.wait(random.uniform(*SILENCE_GAP_S))
        control(proxy, mode="pass")


_CAUSES: dict[Fault, Callable[[Scene, Event], Any]] = {
    Fault.SLOW_DEEP_SERVICE: _slow_deep_service,
    Fault.SURGE: _surge,
    Fault.PLATFORM_DOWN: _platform_down,
    Fault.PLATFORM_SLOW: _platform_slow,
    Fault.ANSWERS_LOST: _answers_lost,
    Fault.HOLDER_PAUSED: _holder_paused,
    Fault.OPERATORS_RACING: _operators_racing,
    Fault.SILENT_CONNECTIONS: _silent_connections,
}
