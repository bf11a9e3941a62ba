"""Invariants of the publication model, and states that must be reachable.

The reachable states show that the invariants do not hold merely because nothing happens.
"""

from collections.abc import Callable
from typing import Any

from minicheck import Protocol

from spec.publish_state import Bounds, Kind, Mutant, ReportedOutcome, Rules
from spec.publishing import PublishSpec

Fields = dict[str, Any]
Predicate = Callable[[Fields], bool]

UNPUBLISHED_OUTCOMES = (ReportedOutcome.REFUSED, ReportedOutcome.NOT_WRITTEN)


def _one_digest_a_version(fields: Fields) -> bool:
    published: tuple[Rules, ...] = fields["history"]
    return len({rules.version for rules in published}) == len(published)


def _current_never_falls(fields: Fields) -> bool:
    versions = [rules.version for rules in fields["history"]]
    return versions == sorted(versions)


def _published_at_most_once(fields: Fields) -> bool:
    operators = [rules.operator for rules in fields["history"]]
    return len(operators) == len(set(operators))


def _accepted_is_published(fields: Fields) -> bool:
    published = {rules.version: rules for rules in fields["history"]}
    for index, operator in enumerate(fields["operators"]):
        if operator.reported is ReportedOutcome.ACCEPTED:
            rules = published.get(operator.version, Rules())
            if rules.digest != fields["digests"][index]:
                return False
    return True


def _refused_is_not_published(fields: Fields) -> bool:
    publishers = {rules.operator for rules in fields["history"]}
    return not any(
        operator.reported in UNPUBLISHED_OUTCOMES and index in publishers
        for index, operator in enumerate(fields["operators"])
    )


def _in_force_never_falls(fields: Fields) -> bool:
    return all(node.rules.version == node.highest_version for node in fields["nodes"])


def _in_force_is_published(fields: Fields) -> bool:
    return all(node.rules in fields["history"] for node in fields["nodes"])


def _nodes_agree_on_a_version(fields: Fields) -> bool:
    rules = {node.rules for node in fields["nodes"]}
    return len({each.version for each in rules}) == len(rules)


INVARIANTS: dict[str, Predicate] = {
    "one_digest_a_version": _one_digest_a_version,
    "current_never_falls": _current_never_falls,
    "published_at_most_once": _published_at_most_once,
    "accepted_is_published": _accepted_is_published,
    "refused_is_not_published": _refused_is_not_published,
    "in_force_never_falls": _in_force_never_falls,
    "in_force_is_published": _in_force_is_published,
    "nodes_agree_on_a_version": _nodes_agree_on_a_version,
}


def _count_reported(fields: Fields, reported: ReportedOutcome) -> int:
    return sum(operator.reported is reported for operator in fields["operators"])


def _one_wins_one_is_refused(fields: Fields) -> bool:
    return (
        _count_reported(fields, ReportedOutcome.ACCEPTED) >= 1
        and _count_reported(fields, ReportedOutcome.REFUSED) >= 1
    )


def _both_write_on_one_version(fields: Fields) -> bool:
    bases = [each.base_version for each in fields["messages"] if each.kind is Kind.PUBLISH]
    return len(bases) > len(set(bases))


def _accepted_after_lost_answer(fields: Fields) -> bool:
    return any(
        each.sent and each.reported is ReportedOutcome.ACCEPTED for each in fields["operators"]
    )


def _late_write_after_refusal(fields: Fields) -> bool:
    return any(
        message.kind is Kind.PUBLISH
        and fields["operators"][message.operator].reported is ReportedOutcome.REFUSED
        for message in fields["messages"]
    )


def _node_lags_by_two(fields: Fields) -> bool:
    versions = [node.rules.version for node in fields["nodes"]]
    return max(versions) - min(versions) >= 2


def _confirmed(fields: Fields) -> bool:
    return any(record.kind is Kind.CONFIRM for record in fields["records"])


REACHABLE: dict[str, Predicate] = {
    "one_wins_one_is_refused": _one_wins_one_is_refused,
    "both_write_on_one_version": _both_write_on_one_version,
    "accepted_after_lost_answer": _accepted_after_lost_answer,
    "late_write_after_refusal": _late_write_after_refusal,
    "node_lags_by_two": _node_lags_by_two,
}
#: Reachable only if two operators publish equal rules.
REACHABLE_WITH_EQUAL_DIGESTS: dict[str, Predicate] = {"confirmed": _confirmed}


def make_publish_protocol(bounds: Bounds, mutant: Mutant | None = None) -> Protocol:
    """Return the publication model with the invariants that must hold."""
    return _make_protocol(bounds, mutant, INVARIANTS)


def make_publish_reachability(bounds: Bounds, reachable: dict[str, Predicate]) -> Protocol:
    """Return the model with one invariant per required state, which fails when it is reached."""
    never = {name: _negate(predicate) for name, predicate in reachable.items()}
    return _make_protocol(bounds, None, never)


def _negate(predicate: Predicate) -> Predicate:
    return lambda fields: not predicate(fields)


def _with_digests(predicate: Predicate, digests: tuple[int, ...]) -> Predicate:
    return lambda fields: predicate({**fields, "digests": digests})


def _make_protocol(
    bounds: Bounds, mutant: Mutant | None, invariants: dict[str, Predicate]
) -> Protocol:
    spec = PublishSpec(bounds, mutant)
    return Protocol(
        name="publishing" if mutant is None else mutant.name.lower(),
        candidate=False,
        fields=("history", "records", "messages", "operators", "nodes", "restarts", "stale"),
        initial=spec.initial,
        transitions=spec.steps,
        invariants={
            name: _with_digests(predicate, bounds.digests) for name, predicate in invariants.items()
        },
    )
