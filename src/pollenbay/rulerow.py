"""Rows of the platform's table that hold the rules: their keys and their encoding."""

from hashlib import sha256
from typing import TypeVar

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder
from result import Err, Ok, Result

from pollenbay.ids import Digest, OperatorId, PublicationId, RowKey, RuleVersion
from pollenbay.publication import HistoryEntry, PublicationRecord
from pollenbay.rule import Route, RuleSet, ServiceRule

CURRENT_KEY = RowKey("rules/current")
HISTORY_PREFIX = "rules/history/"
PUBLICATION_PREFIX = "rules/publications/"

_Value = TypeVar("_Value", RuleSet, HistoryEntry, PublicationRecord)

_ENCODER = Encoder()
_RULES_DECODER = Decoder(RuleSet)
_ENTRY_DECODER = Decoder(HistoryEntry)
_RECORD_DECODER = Decoder(PublicationRecord)


class RuleRowError(Exception):
    """A row does not hold what its key promises."""


def history_key(version: RuleVersion) -> RowKey:
    """Return the key of the row that says who published a version."""
    return RowKey(f"{HISTORY_PREFIX}{version:010d}")


def publication_key(publication: PublicationId) -> RowKey:
    """Return the key of the row that settles what came of a publication."""
    return RowKey(f"{PUBLICATION_PREFIX}{publication}")


def encode_row(value: RuleSet | HistoryEntry | PublicationRecord) -> bytes:
    """Return the MessagePack form of a row's value."""
    return _ENCODER.encode(value)


def decode_rules(value: bytes) -> Result[RuleSet, RuleRowError]:
    """Return the rule set that `encode_row` encoded."""
    return _decode(_RULES_DECODER, value)


def decode_entry(value: bytes) -> Result[HistoryEntry, RuleRowError]:
    """Return the history entry that `encode_row` encoded."""
    return _decode(_ENTRY_DECODER, value)


def decode_record(value: bytes) -> Result[PublicationRecord, RuleRowError]:
    """Return the publication record that `encode_row` encoded."""
    return _decode(_RECORD_DECODER, value)


def services_digest(services: tuple[ServiceRule, ...], routes: tuple[Route, ...] = ()) -> Digest:
    """Return the SHA-256 of the encoded services and routes, in hexadecimal.

    Services count in the order of their names, routes as they stand.
    """
    encoded = _ENCODER.encode(sorted_services(services))
    if routes:
        encoded += _ENCODER.encode(routes)
    return Digest(sha256(encoded).hexdigest())


def sorted_services(services: tuple[ServiceRule, ...]) -> tuple[ServiceRule, ...]:
    """Return the services in the order of their names."""
    return tuple(sorted(services, key=lambda rule: rule.service))


def make_rule_set(
    version: RuleVersion,
    services: tuple[ServiceRule, ...],
    author: OperatorId,
    published_at: float,
    routes: tuple[Route, ...] = (),
) -> RuleSet:
    """Return a rule set with its services sorted and its digest filled in.

    :param published_at: seconds since the epoch.
    """
    return RuleSet(
        version=version,
        digest=services_digest(services, routes),
        author=author,
        published_at=published_at,
        services=sorted_services(services),
        routes=routes,
    )


def _decode(decoder: Decoder[_Value], value: bytes) -> Result[_Value, RuleRowError]:
    try:
        return Ok(decoder.decode(value))
    except (DecodeError, ValidationError) as error:
        return Err(RuleRowError(str(error)))
