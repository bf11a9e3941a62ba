"""Differences between rule sets, so that a new version transfers only the changed services."""

from hashlib import blake2b

from msgspec.msgpack import encode

from pollenbay.ids import Digest, OperatorId, RuleVersion, ServiceName
from pollenbay.news import RulesAnswer, RulesRequest
from pollenbay.rule import RuleSet, ServiceRule

HASH_BYTES = 8

_NOTHING_NEWER = RulesAnswer(
    version=RuleVersion(0),
    digest=Digest(""),
    author=OperatorId(""),
    published_at=0.0,
    order=(),
    changed=(),
)


def make_rules_request(rules: RuleSet, complete: bool = False) -> RulesRequest:
    """Return the request for newer rules.

    :param complete: whether to request all services, as if none were held.
    """
    services = () if complete else rules.services
    return RulesRequest(rules.version, {rule.service: _hash_of(rule) for rule in services})


def make_rules_response(rules: RuleSet, request: RulesRequest) -> RulesAnswer:
    """Return the services of a rule set that the requesting node lacks."""
    if rules.version <= request.above:
        return _NOTHING_NEWER
    held = request.held
    changed = (rule for rule in rules.services if held.get(rule.service) != _hash_of(rule))
    return RulesAnswer(
        version=rules.version,
        digest=rules.digest,
        author=rules.author,
        published_at=rules.published_at,
        order=tuple(rule.service for rule in rules.services),
        changed=tuple(changed),
        routes=rules.routes,
    )


def assemble_rules(held: RuleSet, response: RulesAnswer) -> RuleSet | None:
    """Return the rule set that a response describes; None if it is not newer or not complete.

    The digest is verified when the rule set is adopted.
    """
    if response.version <= held.version:
        return None
    known: dict[ServiceName, ServiceRule] = {rule.service: rule for rule in held.services}
    known.update({rule.service: rule for rule in response.changed})
    if not all(service in known for service in response.order):
        return None
    return RuleSet(
        version=response.version,
        digest=response.digest,
        author=response.author,
        published_at=response.published_at,
        services=tuple(known[service] for service in response.order),
        routes=response.routes,
    )


def _hash_of(rule: ServiceRule) -> int:
    return int.from_bytes(blake2b(encode(rule), digest_size=HASH_BYTES).digest(), "big")
