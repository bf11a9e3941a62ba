"""Model-checking runs of CI: models and bounds, mutants, and states that must be reachable."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from minicheck import Protocol, check_safety

from spec import claim_state, publish_state
from spec.claiming_rules import make_claim_protocol, make_claim_reachability
from spec.publishing_rules import (
    REACHABLE,
    REACHABLE_WITH_EQUAL_DIGESTS,
    make_publish_protocol,
    make_publish_reachability,
)

MAX_STATES = 1_000_000
#: A counterexample is valid however few states were visited, so a mutant needs no exhaustive run.
MUTANT_MAX_STATES = 30_000

CLAIM_BOUNDS = (
    claim_state.Bounds(hosts=(0, 1), tries=2, stale=2, late=2),
    claim_state.Bounds(hosts=(0, 0), tries=2, stale=1, late=2),
    claim_state.Bounds(hosts=(0, 1, 0), tries=2, stale=0, late=0),
)
PUBLISH_BOUNDS = (
    publish_state.Bounds(digests=(0, 1), nodes=2, tries=2, restarts=1, late=1, stale=1),
    publish_state.Bounds(digests=(0, 1, 0), nodes=0, tries=1, restarts=0, late=1, stale=0),
)
CLAIM_MUTANT_BOUNDS = claim_state.Bounds(hosts=(0, 1), tries=2, stale=0, late=2)
PUBLISH_MUTANT_BOUNDS = publish_state.Bounds(
    digests=(0, 1), nodes=1, tries=2, restarts=0, late=1, stale=0
)
REACHABLE_BOUNDS = publish_state.Bounds(
    digests=(0, 1), nodes=2, tries=2, restarts=0, late=1, stale=0
)
EQUAL_DIGEST_BOUNDS = publish_state.Bounds(
    digests=(0, 0), nodes=1, tries=2, restarts=0, late=1, stale=0
)

#: The invariant that each mutant must break.
CLAIM_MUTANTS = {
    claim_state.Mutant.TAKE_OVER_AFTER_DEADLINE: "runs_at_most_once",
    claim_state.Mutant.TAKE_OVER_FROM_DEAD: "runs_at_most_once",
    claim_state.Mutant.SEND_BEFORE_READ_BACK: "runs_at_most_once",
    claim_state.Mutant.READ_BACK_WITHOUT_NONCE: "runs_at_most_once",
    claim_state.Mutant.WRITE_WITHOUT_VERSION: "runs_at_most_once",
    claim_state.Mutant.GRANT_AFTER_REFUSAL: "not_run_is_true",
    claim_state.Mutant.RELEASE_AFTER_LOSS: "runs_at_most_once",
    claim_state.Mutant.LOSS_TOLD_AS_NOT_RUN: "not_run_is_true",
    claim_state.Mutant.RELEASE_WITHOUT_FENCE: "no_row_is_left_for_nothing",
    claim_state.Mutant.NO_RELEASE: "no_row_is_left_for_nothing",
}
PUBLISH_MUTANTS = {
    publish_state.Mutant.PUBLISH_WITHOUT_VERSION: "one_digest_a_version",
    publish_state.Mutant.RETRY_WITHOUT_RECORD: "published_at_most_once",
    publish_state.Mutant.SILENCE_TOLD_AS_REFUSED: "refused_is_not_published",
    publish_state.Mutant.SILENCE_TOLD_AS_ACCEPTED: "accepted_is_published",
    publish_state.Mutant.SILENCE_TOLD_AS_NOT_WRITTEN: "refused_is_not_published",
    publish_state.Mutant.REFUSE_WITHOUT_RECORD: "refused_is_not_published",
    publish_state.Mutant.CLOSE_WITHOUT_CHECK: "refused_is_not_published",
    publish_state.Mutant.ADOPT_LOWER: "in_force_never_falls",
}


class Finding(NamedTuple):
    """Result for one invariant.

    :param holds: None if the run ended before the invariant was decided.
    :param trace: labels of the steps to a state that violates the invariant.
    """

    holds: bool | None
    trace: tuple[str, ...]


class Result(NamedTuple):
    """Result of a run.

    :param exhaustive: whether every reachable state was visited.
    """

    states: int
    exhaustive: bool
    findings: dict[str, Finding]


def check(protocol: Protocol, max_states: int = MAX_STATES) -> Result:
    """Check the invariants of a model in every reachable state, up to `max_states` states."""
    with _without_cycle_collection():
        report = check_safety(protocol, max_states)
    findings = {
        name: Finding(found["holds"], _step_labels(found["counterexample"]))
        for name, found in report["properties"].items()
    }
    return Result(report["reachable_states"], report["exhaustive"], findings)


def correct_models() -> dict[str, Protocol]:
    """Return the models without a fault, whose invariants must hold, by name and bounds."""
    claims = {f"claiming {bounds}": make_claim_protocol(bounds) for bounds in CLAIM_BOUNDS}
    publishings = {
        f"publishing {bounds}": make_publish_protocol(bounds) for bounds in PUBLISH_BOUNDS
    }
    return claims | publishings


def mutant_models() -> dict[str, tuple[Protocol, str]]:
    """Return the models with a fault, each with the invariant that it must break."""
    claims = {
        f"claiming {mutant.name}": (make_claim_protocol(CLAIM_MUTANT_BOUNDS, mutant), broken)
        for mutant, broken in CLAIM_MUTANTS.items()
    }
    publishings = {
        f"publishing {mutant.name}": (make_publish_protocol(PUBLISH_MUTANT_BOUNDS, mutant), broken)
        for mutant, broken in PUBLISH_MUTANTS.items()
    }
    return claims | publishings


def reachability_models() -> dict[str, Protocol]:
    """Return the models with one invariant per required state, which fails when it is reached."""
    return {
        "claiming": make_claim_reachability(CLAIM_MUTANT_BOUNDS),
        "publishing": make_publish_reachability(REACHABLE_BOUNDS, REACHABLE),
        "publishing equal rules": make_publish_reachability(
            EQUAL_DIGEST_BOUNDS, REACHABLE_WITH_EQUAL_DIGESTS
        ),
    }


@contextmanager
def _without_cycle_collection() -> Iterator[None]:
    # States contain no reference cycles, and collection takes a quarter of the run time.
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _step_labels(counterexample: list[dict] | None) -> tuple[str, ...]:
    if counterexample is None:
        return ()
    return tuple(step["label"] for step in counterexample if step["label"] is not None)
