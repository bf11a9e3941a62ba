"""Gossip messages: membership updates, reports and rules exchanged between nodes; their codec."""

from enum import Enum

from msgspec import Struct, field
from msgspec.msgpack import Encoder

from pollenbay.codec import CodecError, MessageDecoder, make_message_decoder
from pollenbay.ids import (
    Digest,
    HostId,
    InstanceId,
    OperatorId,
    RegionId,
    ServiceName,
    ZoneId,
)
from pollenbay.ranges import (
    Count,
    EpochSeconds,
    IpAddress,
    KnownIncarnation,
    KnownRuleVersion,
    Port,
)
from pollenbay.rule import Route, ServiceRule
from pollenbay.states import MemberState

#: Maximum number of membership updates in one heartbeat.
UPDATES_PER_HEARTBEAT_MAX = 64
#: Maximum number of reports of other members in one heartbeat.
REPORTS_PER_HEARTBEAT_MAX = 16
#: Maximum number of reports of other members in the heartbeats to all contacts in one interval.
REPORTS_PER_INTERVAL_MAX = 48
#: Maximum number of records in one page of a view.
PAGE_RECORDS_MAX = 256
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024


class GossipMessageError(Exception):
    """Base class of the errors of this layer."""


class GossipDecodeError(GossipMessageError):
    """The bytes are not a message of this version."""


class Record(Struct, frozen=True, array_like=True):
    """State of one member that is distributed to all nodes.

    :param sequence: increases each time the member changes its own state within an incarnation.
    :param address: IP number of the node.
    """

    instance: InstanceId
    incarnation: KnownIncarnation
    sequence: Count
    state: MemberState
    service: ServiceName
    host: HostId
    zone: ZoneId
    region: RegionId
    address: IpAddress
    link_port: Port
    gossip_port: Port


class Report(Struct, frozen=True, array_like=True):
    """Load and rule version that a member reports about itself each second.

    :param report_sequence: counter of these reports within an incarnation.
    :param rule_since: when the member adopted its rules, in seconds since the epoch.
    :param in_flight: together with the next three, the fields of `pollenbay.view.TargetLoad`.
    """

    instance: InstanceId
    incarnation: KnownIncarnation
    report_sequence: Count
    rule_version: KnownRuleVersion
    rule_since: EpochSeconds
    in_flight: Count
    limit: Count
    queued: Count
    admitted_rank: Count


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
    is_last: bool = False
    updates: list[Record] = field(default_factory=list)
    reports: list[Report] = field(default_factory=list)


class RulesRequest(Struct, frozen=True, array_like=True, tag="rules?"):
    """Request for the rules if their version is higher than `newer_than`.

    :param known_hashes: hash of each service's rules that the sender has, so that only other ones
        are sent.
    """

    newer_than: KnownRuleVersion
    known_hashes: dict[ServiceName, int]


class RulesResponse(Struct, frozen=True, array_like=True, tag="rules"):
    """Difference between a rule set and the requester's rules; see `pollenbay.rule.RuleSet`.

    :param version: 0 if there is no newer rule set.
    :param published_at: seconds since the epoch.
    :param service_order: all services of the rule set, in its order.
    :param changed_services: rules of the services that the requester does not have.
    :param routes: all routes of the rule set.
    """

    version: KnownRuleVersion
    digest: Digest
    author: OperatorId
    published_at: EpochSeconds
    service_order: tuple[ServiceName, ...]
    changed_services: tuple[ServiceRule, ...]
    routes: tuple[Route, ...] = ()


class ReportRequest(Struct, frozen=True, array_like=True, tag="report?"):
    """Request for a member's own report."""


class ReportResponse(Struct, frozen=True, array_like=True, tag="report"):
    """A member's own report."""

    report: Report


class PageRequest(Struct, frozen=True, array_like=True, tag="page?"):
    """Request for the members whose instance ids sort after `after`."""

    after: InstanceId


class PageResponse(Struct, frozen=True, array_like=True, tag="page"):
    """Up to `PAGE_RECORDS_MAX` members, sorted by instance id; fewer on the last page."""

    records: list[Record]


class CompareRequest(Struct, frozen=True, array_like=True, tag="cmp?"):
    """Request for the first bucket after `after`, in rotation, in which the two views differ.

    :param summary: XOR of the member hashes of each bucket in the sender's view.
    """

    summary: list[int]
    after: int


class CompareResponse(Struct, frozen=True, array_like=True, tag="cmp"):
    """Members of one bucket.

    :param bucket: index of the bucket; -1 if the views agree.
    """

    bucket: int
    records: list[Record]


class RefusalReason(Enum):
    """Why a request was refused."""

    BAD_MESSAGE = "bad-message"


class RefusedResponse(Struct, frozen=True, array_like=True, tag="no"):
    """The request was refused."""

    reason: RefusalReason


PeerRequest = Heartbeat | RulesRequest | ReportRequest | PageRequest | CompareRequest
PeerResponse = (
    Heartbeat | RulesResponse | ReportResponse | PageResponse | CompareResponse | RefusedResponse
)

_encoder = Encoder()
_request_decoder: MessageDecoder[PeerRequest] = make_message_decoder(
    PeerRequest, MESSAGE_LIMIT_BYTES
)
_response_decoder: MessageDecoder[PeerResponse] = make_message_decoder(
    PeerResponse, MESSAGE_LIMIT_BYTES
)


def encode_message(message: PeerRequest | PeerResponse) -> bytes:
    """Return a message encoded as MessagePack."""
    return _encoder.encode(message)


def decode_request(data: bytes) -> PeerRequest:
    """Return the request encoded in `data`.

    :raises GossipDecodeError: if `data` is not a request.
    """
    try:
        return _request_decoder.decode(data)
    except CodecError as error:
        raise GossipDecodeError(str(error)) from error


def decode_response(data: bytes) -> PeerResponse:
    """Return the response encoded in `data`.

    :raises GossipDecodeError: if `data` is not a response.
    """
    try:
        return _response_decoder.decode(data)
    except CodecError as error:
        raise GossipDecodeError(str(error)) from error
