"""Differences between rule sets, so that a new version transfers only the changed services."""

from hashlib import blake2b

from msgspec.msgpack import encode

from pollenbay.gossipmessage import RulesRequest, RulesResponse
from pollenbay.ids import Digest, OperatorId, RuleVersion, ServiceName
from pollenbay.rule import RuleSet, ServiceRule

HASH_BYTES = 8

_NOTHING_NEWER = RulesResponse(
    version=RuleVersion(0),
    digest=Digest(""),
    author=OperatorId(""),
    published_at=0.0,
    service_order=(),
    changed_services=(),
)


def make_rules_request(rules: RuleSet, complete: bool = False) -> RulesRequest:
    """Return the request for newer rules.

    :param complete: whether to request all services, as if none were held.
    """
    services = () if complete else rules.services
    return RulesRequest(rules.version, {rule.service: _hash_of(rule) for rule in services})


def make_rules_response(rules: RuleSet, request: RulesRequest) -> RulesResponse:
    """Return the services of a rule set that the requesting node lacks."""
    if rules.version <= request.newer_than:
        return _NOTHING_NEWER
    held = request.known_hashes
    changed = (rule for rule in rules.services if held.get(rule.service) != _hash_of(rule))
    return RulesResponse(
        version=rules.version,
        digest=rules.digest,
        author=rules.author,
        published_at=rules.published_at,
        service_order=tuple(rule.service for rule in rules.services),
        changed_services=tuple(changed),
        routes=rules.routes,
    )


def assemble_rules(held: RuleSet, response: RulesResponse) -> RuleSet | None:
    """Return the rule set that a response describes; None if it is not newer or not complete.

    The digest is verified when the rule set is adopted.
    """
    if response.version <= held.version:
        return None
    known: dict[ServiceName, ServiceRule] = {rule.service: rule for rule in held.services}
    known.update({rule.service: rule for rule in response.changed_services})
    if not all(service in known for service in response.service_order):
        return None
    return RuleSet(
        version=response.version,
        digest=response.digest,
        author=response.author,
        published_at=response.published_at,
        services=tuple(known[service] for service in response.service_order),
        routes=response.routes,
    )


def _hash_of(rule: ServiceRule) -> int:
    return int.from_bytes(blake2b(encode(rule), digest_size=HASH_BYTES).digest(), "big")
