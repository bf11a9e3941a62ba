"""What comes of publishing rules, as an operator is told and as the table records it."""

from enum import Enum
from secrets import token_hex

from msgspec import Struct

from pollenbay.finding import Finding
from pollenbay.ids import Digest, OperatorId, PublicationId, RuleVersion

PUBLICATION_ID_BYTES = 8
OUTCOME_FIELD = "outcome"


class PublicationState(Enum):
    """What came of one publication; once recorded it never changes."""

    PUBLISHED = "published"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


class PublicationRecord(Struct, frozen=True, kw_only=True):
    """Row that settles what came of one publication.

    :param version: the version published, or the one that another operator published first.
    :param author: who published that version.
    :param changed: whether a new version came of it.
    """

    state: PublicationState
    version: RuleVersion
    digest: Digest
    author: OperatorId
    changed: bool


class HistoryEntry(Struct, frozen=True, kw_only=True):
    """Who published one version.

    :param published_at: seconds since the epoch, by the publishing node's clock.
    """

    version: RuleVersion
    digest: Digest
    author: OperatorId
    published_at: float
    publication: PublicationId


class Accepted(Struct, frozen=True, kw_only=True, tag="accepted", tag_field=OUTCOME_FIELD):
    """The rules are in the table under this version.

    :param changed: False if the very same rules had been published before.
    """

    publication: PublicationId
    version: RuleVersion
    digest: Digest
    changed: bool


class Refused(Struct, frozen=True, kw_only=True, tag="refused", tag_field=OUTCOME_FIELD):
    """The rules were not published and, under this id, never will be.

    :param version: the version that another operator published; 0 if the publication was
        withdrawn by settling it.
    :param author: who published that version.
    """

    publication: PublicationId
    version: RuleVersion
    author: OperatorId
    message: str


class Invalid(Struct, frozen=True, kw_only=True, tag="invalid", tag_field=OUTCOME_FIELD):
    """The rules have errors, so nothing was written."""

    findings: tuple[Finding, ...]


class NotWritten(Struct, frozen=True, kw_only=True, tag="not-written", tag_field=OUTCOME_FIELD):
    """This request wrote nothing, because the table could not be used."""

    publication: PublicationId
    message: str


class Unsettled(Struct, frozen=True, kw_only=True, tag="unsettled", tag_field=OUTCOME_FIELD):
    """A write was sent and its answer lost; settle it by the id once the table answers."""

    publication: PublicationId
    message: str


PublicationOutcome = Accepted | Refused | Invalid | NotWritten | Unsettled


def make_publication_id(now_epoch: float) -> PublicationId:
    """Return a new id that begins with the time, so that old records can be found in order.

    :param now_epoch: seconds since the epoch.
    """
    return PublicationId(f"{int(now_epoch):010d}-{token_hex(PUBLICATION_ID_BYTES)}")


def publication_time(publication: PublicationId) -> int | None:
    """Return the seconds since the epoch in an id, or None if it is not well formed."""
    seconds, dash, suffix = publication.partition("-")
    well_formed = (
        dash == "-"
        and len(seconds) == 10
        and seconds.isascii()
        and seconds.isdigit()
        and len(suffix) == 2 * PUBLICATION_ID_BYTES
        and all(letter in "0123456789abcdef" for letter in suffix)
    )
    return int(seconds) if well_formed else None
