"""Outcomes of publishing rules, as reported to operators and as recorded in the table."""

from enum import Enum
from secrets import token_hex

from msgspec import Struct

from pollenbay.finding import Finding
from pollenbay.ids import Digest, OperatorId, PublicationId, RuleVersion
from pollenbay.ranges import EpochSeconds, KnownRuleVersion

PUBLICATION_ID_BYTES = 8
OUTCOME_FIELD = "outcome"


class PublicationState(Enum):
    """Outcome of one publication; final once recorded."""

    PUBLISHED = "published"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


class PublicationRecord(Struct, frozen=True, kw_only=True):
    """Row that records the outcome of one publication.

    :param version: the version published, or the one that another operator published first.
    :param author: operator who published that version.
    :param changed: whether the publication created a new version.
    """

    state: PublicationState
    version: KnownRuleVersion
    digest: Digest
    author: OperatorId
    changed: bool


class HistoryEntry(Struct, frozen=True, kw_only=True):
    """Author and publication of one version.

    :param published_at: seconds since the epoch, by the clock of the publishing node.
    """

    version: KnownRuleVersion
    digest: Digest
    author: OperatorId
    published_at: EpochSeconds
    publication: PublicationId


class Accepted(Struct, frozen=True, kw_only=True, tag="accepted", tag_field=OUTCOME_FIELD):
    """The rules are stored in the table under this version.

    :param changed: False if the current version already had the same rules.
    """

    publication: PublicationId
    version: RuleVersion
    digest: Digest
    changed: bool


class Refused(Struct, frozen=True, kw_only=True, tag="refused", tag_field=OUTCOME_FIELD):
    """The rules were not published and cannot be published under this id any more.

    :param version: the version that another operator published; 0 if the publication was
        withdrawn by settling it.
    :param author: operator who published that version.
    """

    publication: PublicationId
    version: RuleVersion
    author: OperatorId
    message: str


class Invalid(Struct, frozen=True, kw_only=True, tag="invalid", tag_field=OUTCOME_FIELD):
    """The rules have errors, so nothing was written."""

    findings: tuple[Finding, ...]


class NotWritten(Struct, frozen=True, kw_only=True, tag="not-written", tag_field=OUTCOME_FIELD):
    """Nothing was written, because the table was unavailable."""

    publication: PublicationId
    message: str


class Unsettled(Struct, frozen=True, kw_only=True, tag="unsettled", tag_field=OUTCOME_FIELD):
    """A write was sent but its response was lost; settle it by id once the table is available."""

    publication: PublicationId
    message: str


PublicationOutcome = Accepted | Refused | Invalid | NotWritten | Unsettled


def make_publication_id(now_epoch_s: float) -> PublicationId:
    """Return a new id that starts with the time, so that records sort by age.

    :param now_epoch_s: seconds since the epoch.
    """
    return PublicationId(f"{int(now_epoch_s):010d}-{token_hex(PUBLICATION_ID_BYTES)}")


def publication_epoch_s(publication: PublicationId) -> int | None:
    """Return the time in an id, in seconds since the epoch, or None if the id is malformed."""
    seconds, separator, suffix = publication.partition("-")
    well_formed = (
        separator == "-"
        and len(seconds) == 10
        and seconds.isascii()
        and seconds.isdigit()
        and len(suffix) == 2 * PUBLICATION_ID_BYTES
        and all(letter in "0123456789abcdef" for letter in suffix)
    )
    return int(seconds) if well_formed else None
