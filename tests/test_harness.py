"""What the tests of processes rely on."""

import harness
from harness import free_port
from pytest import MonkeyPatch


# Two test workers chose the same port at once, and one of their nodes could not listen.
def test_port_is_not_chosen_by_two_processes_before_it_is_used(monkeypatch: MonkeyPatch) -> None:
    port = free_port()
    monkeypatch.setattr(harness, "_CANDIDATE_PORTS", iter([port, *harness.PORTS]))
    assert free_port() != port
