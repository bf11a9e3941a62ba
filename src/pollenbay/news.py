"""Gossip messages: membership updates, reports and rules exchanged between nodes; their codec."""

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

#: Maximum number of membership updates in one heartbeat.
NEWS_LIMIT = 64
#: Maximum number of reports of other members in one heartbeat.
REPORT_LIMIT = 16
#: Maximum number of reports of other members in the heartbeats to all contacts in one interval.
REPORT_ROUND_LIMIT = 48
#: Maximum number of records in one page of a view.
PAGE_LIMIT = 256
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024


class NewsError(Exception):
    """Root of the errors of this layer."""


class NewsDecodeError(NewsError):
    """The bytes are not a message of this version."""


class Record(Struct, frozen=True, array_like=True):
    """State of one member that is distributed to all nodes.

    :param sequence: increases each time the member changes its own state within an incarnation.
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
    """Load and rule version that a member reports about itself each second.

    :param report_sequence: counter of these reports within an incarnation.
    :param rule_since: when the member adopted its rules, in seconds since the epoch.
    :param in_flight: together with the next three, the fields of `pollenbay.view.TargetLoad`.
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
    """State of the sender with piggybacked membership updates; the response has the same form.

    :param sender: state of the sender.
    :param report: load and rule version of the sender.
    :param rule_digest: digest of the sender's rules.
    :param view_digest: XOR of the buckets of the summary of the sender's view.
    :param is_last: whether the sender will send no more heartbeats to this receiver.
    :param updates: states of other members, at most `UPDATES_PER_HEARTBEAT_MAX`.
    :param reports: reports of other members, at most `REPORTS_PER_HEARTBEAT_MAX`.
    """

    sender: Record
    report: Report
    rule_digest: Digest
    view_digest: int
    last: bool = False
    news: list[Record] = field(default_factory=list)
    reports: list[Report] = field(default_factory=list)


class RulesRequest(Struct, frozen=True, array_like=True, tag="rules?"):
    """Request for the rules if their version is higher than `newer_than`.

    :param known_hashes: hash of each service's rules that the sender has, so that only other ones
        are sent.
    """

    above: RuleVersion
    held: dict[ServiceName, int]


class RulesAnswer(Struct, frozen=True, array_like=True, tag="rules"):
    """Difference between a rule set and the requester's rules; see `pollenbay.rule.RuleSet`.

    :param version: 0 if there is no newer rule set.
    :param published_at: seconds since the epoch.
    :param service_order: all services of the rule set, in its order.
    :param changed_services: rules of the services that the requester does not have.
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
    """Request for a member's own report."""


class ReportAnswer(Struct, frozen=True, array_like=True, tag="report"):
    """A member's own report."""

    report: Report


class PageRequest(Struct, frozen=True, array_like=True, tag="page?"):
    """Request for the members whose instance ids sort after `after`."""

    after: InstanceId


class PageAnswer(Struct, frozen=True, array_like=True, tag="page"):
    """Up to `PAGE_RECORDS_MAX` members, sorted by instance id; fewer on the last page."""

    records: list[Record]


class CompareRequest(Struct, frozen=True, array_like=True, tag="cmp?"):
    """Request for the first bucket after `after`, in rotation, in which the two views differ.

    :param summary: XOR of the member hashes of each bucket in the sender's view.
    """

    summary: list[int]
    after: int


class CompareAnswer(Struct, frozen=True, array_like=True, tag="cmp"):
    """Members of one bucket.

    :param bucket: index of the bucket; -1 if the views agree.
    """

    bucket: int
    records: list[Record]


class Refusal(Enum):
    """Why a request was refused."""

    BAD_MESSAGE = "bad-message"


class RefusedAnswer(Struct, frozen=True, array_like=True, tag="no"):
    """The request was refused."""

    reason: Refusal


Question = Heartbeat | RulesRequest | ReportRequest | PageRequest | CompareRequest
Answer = Heartbeat | RulesAnswer | ReportAnswer | PageAnswer | CompareAnswer | RefusedAnswer

_encoder = Encoder()
_request_decoder: Decoder[Question] = Decoder(Question)
_response_decoder: Decoder[Answer] = Decoder(Answer)


def encode_news(message: Question | Answer) -> bytes:
    """Return a message encoded as MessagePack."""
    return _encoder.encode(message)


def decode_question(data: bytes) -> Question:
    """Return the request encoded in `data`.

    :raises GossipDecodeError: if `data` is not a request.
    """
    try:
        return _request_decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        raise NewsDecodeError(str(error)) from error


def decode_answer(data: bytes) -> Answer:
    """Return the response encoded in `data`.

    :raises GossipDecodeError: if `data` is not a response.
    """
    try:
        return _response_decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        raise NewsDecodeError(str(error)) from error
