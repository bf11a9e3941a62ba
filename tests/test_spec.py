"""Model checks: invariants hold within bounds, each mutant breaks one, none holds vacuously."""

import pytest

from spec.claim_state import Mutant as ClaimMutant
from spec.publish_state import Mutant as PublishMutant
from spec.runs import (
    CLAIM_MUTANTS,
    MUTANT_MAX_STATES,
    PUBLISH_MUTANTS,
    check,
    correct_models,
    mutant_models,
    reachability_models,
)

MODELS = correct_models()
MUTANT_MODELS = mutant_models()
REACHABILITY_MODELS = reachability_models()


class TestModels:
    @pytest.mark.parametrize("name", MODELS)
    def test_every_invariant_holds_in_every_state(self, name: str) -> None:
        result = check(MODELS[name])
        assert result.exhaustive
        assert {key: found for key, found in result.findings.items() if not found.holds} == {}


class TestMutants:
    @pytest.mark.parametrize("name", MUTANT_MODELS)
    def test_checker_detects_the_mutant(self, name: str) -> None:
        protocol, broken = MUTANT_MODELS[name]
        finding = check(protocol, MUTANT_MAX_STATES).findings[broken]
        assert finding.holds is False
        assert finding.trace

    def test_every_mutant_is_checked(self) -> None:
        assert set(CLAIM_MUTANTS) == set(ClaimMutant)
        assert set(PUBLISH_MUTANTS) == set(PublishMutant)


class TestReachability:
    @pytest.mark.parametrize("name", REACHABILITY_MODELS)
    def test_each_required_state_is_reached(self, name: str) -> None:
        findings = check(REACHABILITY_MODELS[name]).findings
        assert {key for key, found in findings.items() if found.holds is not False} == set()
