"""Memberships as real processes: killed, paused, cut off from the table, published on."""

import json
import os
import signal
from collections.abc import Callable
from pathlib import Path
from time import monotonic, sleep

import pytest
from harness import Process, Processes, control, wait_until

DEAD_WITHIN_S = 5.0
LEAVING_WITHIN_S = 2.0
RULES_WITHIN_S = 5.0
SOON_S = 20.0
SIZE = 8


class Node:
    """One process and its log."""

    def __init__(self, name: str, process: Process, log: Path) -> None:
        self.name = name
        self.process = process
        self.log = log

    @property
    def last(self) -> dict:
        """Return the last line of its log."""
        return self.lines[-1]

    @property
    def lines(self) -> list[dict]:
        """Return all lines of its log."""
        whole, _, _ = self.log.read_bytes().rpartition(b"\n")
        return [json.loads(line) for line in whole.splitlines()]

    def believes(self, name: str) -> str | None:
        """Return the state of a member in its view."""
        member = self.last["members"].get(name)
        return None if member is None else member["state"]


class Nodes:
    """The processes of one test over three zones in two regions."""

    def __init__(self, processes: Processes, folder: Path) -> None:
        self._processes = processes
        self._folder = folder
        self.platform = processes.start_platform()
        self.all: list[Node] = []

    def start(self, name: str, *extra: str) -> Node:
        """Start a node."""
        number = int(name.strip("i"))
        log = self._folder / f"{name}-{monotonic()}.jsonl"
        process = self._processes.start(
            name,
            "tests.member_node",
            *("--instance", name, "--zone", f"z{number % 3}", "--log", str(log)),
            *("--region", f"r{number % 3 // 2}", "--table-port", str(self.platform.port)),
            *extra,
        )
        node = Node(name, process, log)
        wait_until(lambda: log.exists() and node.lines, SOON_S, "the log")
        self.all.append(node)
        return node

    def start_all(self, size: int = SIZE) -> None:
        """Start nodes and wait until each believes all to serve."""
        for number in range(size):
            self.start(f"i{number}")
        names = [node.name for node in self.all]
        wait_until(lambda: all(self.agree(name, "serving") for name in names), SOON_S, "serving")

    def others(self, name: str) -> list[Node]:
        """Return all nodes but one."""
        return [node for node in self.all if node.name != name]

    def agree(self, name: str, *states: str) -> bool:
        """Tell whether all others believe one to be in one of these states."""
        return all(node.believes(name) in states for node in self.others(name))


@pytest.fixture
def nodes(tmp_path):
    with Processes(tmp_path) as processes:
        yield Nodes(processes, tmp_path)


def delay_of(nodes: Nodes, name: str, start: float, states: tuple[str, ...]) -> float:
    """Return when the last of the others came to believe it, in seconds since `start`."""
    since = []
    for node in nodes.others(name):
        first = _first_line(node, lambda line: line["members"][name]["state"] in states, start)
        since.append(first["members"][name]["since"] - start)
    return max(since)


def _first_line(node: Node, condition: Callable[[dict], bool], start: float) -> dict:
    return next(line for line in node.lines if line["at"] >= start and condition(line))


class TestKill:
    def test_killed_node_is_out_of_every_view_within_the_bound(self, nodes):
        nodes.start_all()
        start = monotonic()
        nodes.all[2].process.kill()
        wait_until(lambda: nodes.agree("i2", "dead"), SOON_S, "death")
        assert delay_of(nodes, "i2", start, ("suspect", "dead")) < DEAD_WITHIN_S
        assert delay_of(nodes, "i2", start, ("dead",)) < DEAD_WITHIN_S
        for node in nodes.others("i2"):
            others = [node.believes(each.name) for each in nodes.others("i2")]
            assert set(others) == {"serving"}


class TestPause:
    def test_node_paused_past_its_lease_returns_as_a_new_incarnation(self, nodes):
        nodes.start_all()
        node = nodes.all[1]
        before = node.last["incarnation"]
        node.process.pause()
        wait_until(lambda: nodes.agree("i1", "dead"), SOON_S, "death")
        paused_at = monotonic()
        node.process.resume()
        wait_until(lambda: nodes.agree("i1", "serving"), SOON_S, "return")
        wait_until(lambda: node.last["incarnation"] > before, SOON_S, "its own new incarnation")
        for other in nodes.others("i1"):
            assert other.last["members"]["i1"]["incarnation"] == node.last["incarnation"]
            assert other.last["counts"]["reincarnations"] == 0
        after = [line for line in node.lines if line["at"] >= paused_at]
        assert not any(
            member["state"] in ("suspect", "dead")
            for line in after
            for member in line["members"].values()
        )


class TestLeaving:
    def test_announcement_reaches_all_within_the_bound(self, nodes):
        nodes.start_all()
        start = monotonic()
        nodes.all[4].process.terminate()
        wait_until(lambda: nodes.agree("i4", "leaving", "dead"), SOON_S, "leaving")
        assert delay_of(nodes, "i4", start, ("leaving",)) < LEAVING_WITHIN_S
        wait_until(lambda: nodes.agree("i4", "dead"), SOON_S, "end")


class TestManyAtOnce:
    def test_half_of_the_nodes_silent_are_suspected_and_not_forgotten(self, nodes):
        nodes.start_all()
        silent = [nodes.all[number] for number in (0, 2, 4, 6)]
        for node in silent:
            node.process.pause()
        rest = [node for node in nodes.all if node not in silent]
        names = [node.name for node in silent]
        suspected = lambda: all(  # noqa: E731
            node.believes(name) == "suspect" for node in rest for name in names
        )
        wait_until(suspected, SOON_S, "suspicion")
        sleep(2 * DEAD_WITHIN_S)
        assert suspected()
        for node in silent:
            node.process.resume()
        serving = lambda: all(  # noqa: E731
            node.believes(other.name) == "serving" for node in nodes.all for other in nodes.all
        )
        wait_until(serving, SOON_S, "all to serve again")
        assert all(node.last["counts"]["reincarnations"] == 0 for node in nodes.all)

    def test_node_that_hears_nobody_forgets_nobody_and_loses_its_lease(self, nodes):
        nodes.start_all()
        lonely, *others = nodes.all
        for node in others:
            node.process.pause()
        wait_until(
            lambda: lonely.last["isolated"] and not lonely.last["lease"], SOON_S, "isolation"
        )
        sleep(2 * DEAD_WITHIN_S)
        states = {node.name: lonely.believes(node.name) for node in others}
        assert set(states.values()) <= {"serving", "suspect"}
        for node in others:
            node.process.resume()
        serving = lambda: all(  # noqa: E731
            node.believes(other.name) == "serving" for node in nodes.all for other in nodes.all
        )
        wait_until(serving, SOON_S, "all to serve again")
        assert lonely.last["lease"]
        assert all(node.last["counts"]["reincarnations"] == 0 for node in nodes.all)


class TestTableDown:
    def test_group_goes_on_and_takes_in_a_new_node(self, nodes):
        nodes.start_all(4)
        control(nodes.platform, mode="down")
        sleep(3.0)
        assert all(nodes.agree(node.name, "serving") for node in nodes.all)
        late = nodes.start("i9", "--peer", f"127.0.0.1:{nodes.all[0].process.port}")
        wait_until(lambda: late.last["ready"], SOON_S, "the late node")
        wait_until(lambda: nodes.agree("i9", "serving"), SOON_S, "its announcement")


class TestRules:
    def test_version_is_everywhere_within_the_bound_and_never_falls(self, nodes):
        nodes.start_all()
        for _ in range(3):
            os.kill(nodes.all[3].process.pid, signal.SIGUSR1)
            sleep(0.5)
        wait_until(lambda: all(n.last["version"] == 3 for n in nodes.all), SOON_S, "version 3")
        times = [node.last["adopted_at"] for node in nodes.all]
        assert max(times) - min(times) < RULES_WITHIN_S
        for node in nodes.all:
            versions = [line["version"] for line in node.lines]
            assert versions == sorted(versions)
