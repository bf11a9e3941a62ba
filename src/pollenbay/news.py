"""Messages that nodes exchange about each other and about the rules, and their codec."""

from enum import Enum

from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.msgpack import Decoder, Encoder

from pollenbay.ids import (
    Digest,
    HostId,
    Incarnation,
    InstanceId,
    OperatorId,
    RegionId,
    RuleVersion,
    ServiceName,
    ZoneId,
)
from pollenbay.rule import Route, ServiceRule
from pollenbay.states import MemberState

#: Most records in one heartbeat.
NEWS_LIMIT = 64
#: Most reports on other members in one heartbeat.
REPORT_LIMIT = 16
#: Most reports on other members in one round of heartbeats to all contacts.
REPORT_ROUND_LIMIT = 48
#: Most records in one page of a view.
PAGE_LIMIT = 256
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024


class NewsError(Exception):
    """Root of the errors of this layer."""


class NewsDecodeError(NewsError):
    """Bytes that are no message of this version."""


class Record(Struct, frozen=True, array_like=True):
    """State of one member as far as it spreads.

    :param sequence: grows each time the member changes its own state within an incarnation.
    :param address: IP number of the node.
    """

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    state: MemberState
    service: ServiceName
    host: HostId
    zone: ZoneId
    region: RegionId
    address: str
    link_port: int
    gossip_port: int


class Report(Struct, frozen=True, array_like=True):
    """What a member says of itself each second.

    :param tick: counter of these reports within an incarnation.
    :param rule_since: when the member adopted its rules, in seconds since the epoch.
    :param in_flight: with the three below, the fields of `pollenbay.view.Load`.
    """

    instance: InstanceId
    incarnation: Incarnation
    tick: int
    rule_version: RuleVersion
    rule_since: float
    in_flight: int
    limit: int
    queued: int
    admitted_rank: int


class Heartbeat(Struct, frozen=True, array_like=True, tag="beat"):
    """Sender's own state with news of others; its answer has the same form.

    :param sender: state of the sender.
    :param report: load and rule version of the sender.
    :param rule_digest: digest of its rules.
    :param view_digest: XOR of the buckets of its view's summary.
    :param last: whether the sender will send no more heartbeats to this receiver.
    :param news: states of other members, at most `NEWS_LIMIT`.
    :param reports: reports of other members, at most `REPORT_LIMIT`.
    """

    sender: Record
    report: Report
    rule_digest: Digest
    view_digest: int
    last: bool = False
    news: list[Record] = field(default_factory=list)
    reports: list[Report] = field(default_factory=list)


class RulesRequest(Struct, frozen=True, array_like=True, tag="rules?"):
    """Ask for the rules if their version is higher than `above`.

    :param held: hash of each service's rules that the sender has, so that only others are sent.
    """

    above: RuleVersion
    held: dict[ServiceName, int]


class RulesAnswer(Struct, frozen=True, array_like=True, tag="rules"):
    """A rule set as far as it differs from what the asker holds; see `pollenbay.rule.RuleSet`.

    :param version: 0 if there is nothing newer.
    :param order: all services of the rule set, in its order.
    :param changed: those that the asker does not hold.
    :param routes: all routes of the rule set.
    """

    version: RuleVersion
    digest: Digest
    author: OperatorId
    published_at: float
    order: tuple[ServiceName, ...]
    changed: tuple[ServiceRule, ...]
    routes: tuple[Route, ...] = ()


class ReportRequest(Struct, frozen=True, array_like=True, tag="report?"):
    """Ask a member for its own report."""


class ReportAnswer(Struct, frozen=True, array_like=True, tag="report"):
    """A member's own report."""

    report: Report


class PageRequest(Struct, frozen=True, array_like=True, tag="page?"):
    """Ask for the members whose instance ids are past `after`."""

    after: InstanceId


class PageAnswer(Struct, frozen=True, array_like=True, tag="page"):
    """Members by instance id, at most `PAGE_LIMIT`; fewer when these are the last."""

    records: list[Record]


class CompareRequest(Struct, frozen=True, array_like=True, tag="cmp?"):
    """Ask for the first bucket past `after` in which the two views differ.

    :param summary: the sender's sum for each bucket.
    """

    summary: list[int]
    after: int


class CompareAnswer(Struct, frozen=True, array_like=True, tag="cmp"):
    """Members of one bucket.

    :param bucket: which one; -1 if the views agree.
    """

    bucket: int
    records: list[Record]


class Refusal(Enum):
    """Why a message was not served."""

    BAD_MESSAGE = "bad-message"


class RefusedAnswer(Struct, frozen=True, array_like=True, tag="no"):
    """The message was not served."""

    reason: Refusal


Question = Heartbeat | RulesRequest | ReportRequest | PageRequest | CompareRequest
Answer = Heartbeat | RulesAnswer | ReportAnswer | PageAnswer | CompareAnswer | RefusedAnswer

_encoder = Encoder()
_question_decoder: Decoder[Question] = Decoder(Question)
_answer_decoder: Decoder[Answer] = Decoder(Answer)


def encode_news(message: Question | Answer) -> bytes:
    """Return a message as MessagePack."""
    return _encoder.encode(message)


def decode_question(data: bytes) -> Question:
    """Return the question in `data`.

    :raises NewsDecodeError: if it is none.
    """
    try:
        return _question_decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        raise NewsDecodeError(str(error)) from error


def decode_answer(data: bytes) -> Answer:
    """Return the answer in `data`.

    :raises NewsDecodeError: if it is none.
    """
    try:
        return _answer_decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        raise NewsDecodeError(str(error)) from error
