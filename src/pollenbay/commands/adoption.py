"""Putting a published rule set in force on a node."""

from enum import Enum

from result import Err, Ok, Result

from pollenbay.ids import RuleVersion
from pollenbay.rule import RuleSet
from pollenbay.rulebook import Rulebook
from pollenbay.rulerow import services_digest
from pollenbay.states import AdoptionRefusal


class Adoption(Enum):
    """What an accepted rule set did."""

    ADOPTED = "adopted"
    UNCHANGED = "unchanged"


class AdoptionError(Exception):
    """Root of the errors of this layer: a rule set was not put in force.

    :param version: version of the rule set that was refused.
    """

    refusal: AdoptionRefusal

    def __init__(self, version: RuleVersion, message: str) -> None:
        super().__init__(message)
        self.version = version


class OlderRulesError(AdoptionError):
    """The rule set is older than that in force."""

    refusal = AdoptionRefusal.OLDER


class ConflictingRulesError(AdoptionError):
    """The rule set has the version in force but another digest."""

    refusal = AdoptionRefusal.CONFLICTING


class RulesDigestError(AdoptionError):
    """The services do not match the digest that came with them."""

    refusal = AdoptionRefusal.DIGEST


def adopt(
    rulebook: Rulebook, rules: RuleSet, now_epoch: float
) -> Result[Adoption, OlderRulesError | ConflictingRulesError | RulesDigestError]:
    """Put a rule set in force if its version is higher than that in force.

    A version never falls and never changes what it holds; refusals are counted in the rulebook.

    :param now_epoch: seconds since the epoch.
    """
    error = _refusal(rulebook, rules)
    if error is not None:
        rulebook.count_refusal(error.refusal)
        return Err(error)
    if rules.version == rulebook.version:
        return Ok(Adoption.UNCHANGED)
    rulebook.replace(rules, now_epoch)
    return Ok(Adoption.ADOPTED)


def _refusal(rulebook: Rulebook, rules: RuleSet) -> AdoptionError | None:
    version = rules.version
    if version < rulebook.version:
        return OlderRulesError(version, f"{rulebook.version} is in force")
    if version == rulebook.version:
        if rules.digest == rulebook.rules.digest:
            return None
        return ConflictingRulesError(version, "the version in force has another digest")
    if services_digest(rules.services, rules.routes) != rules.digest:
        return RulesDigestError(version, "the services do not match the digest")
    return None
