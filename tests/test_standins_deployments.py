"""Tests that the settings, rule files and load of each deployment are consistent."""

from pathlib import Path

import pytest
from msgspec.yaml import decode

from pollenbay.rule import ServiceRule
from standins.load_settings import read_load_settings
from standins.target_settings import read_target_settings

ROOT = Path(__file__).resolve().parent.parent
DEPLOYMENTS = ROOT / "src" / "standins" / "deployments"
NAMES = ["sagbru", "esernyo"]


def read_rules(name: str) -> dict[str, ServiceRule]:
    files = sorted((ROOT / "examples" / name).glob("*.yaml"))
    rules = [decode(file.read_bytes(), type=ServiceRule) for file in files]
    return {rule.service: rule for rule in rules}


@pytest.mark.parametrize("name", NAMES)
class TestDeployments:
    def test_rules_match_the_calls_and_slots_of_each_target(self, name):
        rules = read_rules(name)
        assert len(rules) == 4
        for service, rule in rules.items():
            target = read_target_settings(DEPLOYMENTS / name / f"{service}.yaml")
            assert target.service == service
            assert target.slots == rule.slots
            served = {call.name: sorted(call.calls) for call in target.calls}
            assert served == {call.name: sorted(call.calls) for call in rule.calls}

    def test_load_matches_the_class_key_and_wait_of_each_rule(self, name):
        calls = {
            f"{service}.{call.name}": call
            for service, rule in read_rules(name).items()
            for call in rule.calls
        }
        load = read_load_settings(DEPLOYMENTS / name / "load.yaml")
        for entry in (entry for group in load.groups for entry in group.mix):
            call = calls[entry.call]
            assert call.call_class is entry.call_class
            assert entry.keyed is not call.idempotent
            assert entry.wait_ms == call.wait_ms

    def test_shares_of_open_loops_sum_to_one(self, name):
        load = read_load_settings(DEPLOYMENTS / name / "load.yaml")
        shares = [group.loop.share for group in load.groups if hasattr(group.loop, "share")]
        assert sum(shares) == pytest.approx(1.0)
