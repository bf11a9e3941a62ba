"""Keys and encoding of the table rows that hold rule sets and publications."""

from hashlib import sha256
from typing import TypeVar

from msgspec.msgpack import Encoder
from result import Err, Ok, Result

from pollenbay.codec import CodecError, MessageDecoder, make_message_decoder
from pollenbay.ids import Digest, OperatorId, PublicationId, RowKey, RuleVersion
from pollenbay.publication import HistoryEntry, PublicationRecord
from pollenbay.rule import Route, RuleSet, ServiceRule

CURRENT_RULES_KEY = RowKey("rules/current")
HISTORY_PREFIX = "rules/history/"
PUBLICATION_PREFIX = "rules/publications/"

_Value = TypeVar("_Value", RuleSet, HistoryEntry, PublicationRecord)

_ENCODER = Encoder()
#: Maximum size of a row; rules are the largest.
ROW_LIMIT_BYTES = 8 * 1024 * 1024
_RULES_DECODER = make_message_decoder(RuleSet, ROW_LIMIT_BYTES)
_ENTRY_DECODER = make_message_decoder(HistoryEntry, ROW_LIMIT_BYTES)
_RECORD_DECODER = make_message_decoder(PublicationRecord, ROW_LIMIT_BYTES)


class RuleRowError(Exception):
    """The value of a row does not have the type that its key implies."""


def history_key(version: RuleVersion) -> RowKey:
    """Return the key of the history entry of a version."""
    return RowKey(f"{HISTORY_PREFIX}{version:010d}")


def publication_key(publication: PublicationId) -> RowKey:
    """Return the key of the row that records the outcome of a publication."""
    return RowKey(f"{PUBLICATION_PREFIX}{publication}")


def encode_row(value: RuleSet | HistoryEntry | PublicationRecord) -> bytes:
    """Return the MessagePack encoding of a row value."""
    return _ENCODER.encode(value)


def decode_rules(value: bytes) -> Result[RuleSet, RuleRowError]:
    """Return the rule set encoded by `encode_row`."""
    return _decode(_RULES_DECODER, value)


def decode_history_entry(value: bytes) -> Result[HistoryEntry, RuleRowError]:
    """Return the history entry encoded by `encode_row`."""
    return _decode(_ENTRY_DECODER, value)


def decode_publication_record(value: bytes) -> Result[PublicationRecord, RuleRowError]:
    """Return the publication record encoded by `encode_row`."""
    return _decode(_RECORD_DECODER, value)


def services_digest(services: tuple[ServiceRule, ...], routes: tuple[Route, ...] = ()) -> Digest:
    """Return the SHA-256 of the encoded services and routes, in hexadecimal.

    Services are sorted by name first, so their order does not matter; the order of routes does.
    """
    encoded = _ENCODER.encode(sorted_services(services))
    if routes:
        encoded += _ENCODER.encode(routes)
    return Digest(sha256(encoded).hexdigest())


def sorted_services(services: tuple[ServiceRule, ...]) -> tuple[ServiceRule, ...]:
    """Return the services sorted by name."""
    return tuple(sorted(services, key=lambda rule: rule.service))


def make_rule_set(
    version: RuleVersion,
    services: tuple[ServiceRule, ...],
    author: OperatorId,
    published_at: float,
    routes: tuple[Route, ...] = (),
) -> RuleSet:
    """Return a rule set with sorted services and a computed digest.

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


def _decode(decoder: MessageDecoder[_Value], value: bytes) -> Result[_Value, RuleRowError]:
    try:
        return Ok(decoder.decode(value))
    except CodecError as error:
        return Err(RuleRowError(str(error)))
