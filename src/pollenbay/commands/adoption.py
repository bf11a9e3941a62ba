"""Activation of a published rule set on a node."""

from enum import Enum

from result import Err, Ok, Result

from pollenbay.ids import RuleVersion
from pollenbay.rule import RuleSet
from pollenbay.rulebook import Rulebook
from pollenbay.rulerow import services_digest
from pollenbay.states import AdoptionRefusal


class Adoption(Enum):
    """Effect of an accepted rule set."""

    ADOPTED = "adopted"
    UNCHANGED = "unchanged"


class AdoptionError(Exception):
    """Base class for refusals of a rule set.

    :param version: version of the refused rule set.
    """

    refusal: AdoptionRefusal

    def __init__(self, version: RuleVersion, message: str) -> None:
        super().__init__(message)
        self.version = version


class OlderRulesError(AdoptionError):
    """The rule set is older than the active one."""

    refusal = AdoptionRefusal.OLDER


class ConflictingRulesError(AdoptionError):
    """The rule set has the active version but another digest."""

    refusal = AdoptionRefusal.CONFLICTING


class RulesDigestError(AdoptionError):
    """The services and routes do not match the digest sent with them."""

    refusal = AdoptionRefusal.DIGEST


def adopt(
    rulebook: Rulebook, rules: RuleSet, now_epoch: float
) -> Result[Adoption, OlderRulesError | ConflictingRulesError | RulesDigestError]:
    """Activate a rule set if its version is higher than the active one.

    The active version never decreases, and the content of a version never changes. Refusals are
    counted in the rulebook.

    :param now_epoch: seconds since the epoch.
    """
    error = _find_refusal(rulebook, rules)
    if error is not None:
        rulebook.count_refusal(error.refusal)
        return Err(error)
    if rules.version == rulebook.version:
        return Ok(Adoption.UNCHANGED)
    rulebook.activate(rules, now_epoch)
    return Ok(Adoption.ADOPTED)


def _find_refusal(rulebook: Rulebook, rules: RuleSet) -> AdoptionError | None:
    version = rules.version
    if version < rulebook.version:
        return OlderRulesError(version, f"older than the active version {rulebook.version}")
    if version == rulebook.version:
        if rules.digest == rulebook.rules.digest:
            return None
        return ConflictingRulesError(version, "the active version has another digest")
    if services_digest(rules.services, rules.routes) != rules.digest:
        return RulesDigestError(version, "the services and routes do not match the digest")
    return None
