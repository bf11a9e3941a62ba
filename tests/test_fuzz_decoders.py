"""Damaged bytes raise the error of the layer that decodes them, and nothing else."""

from __future__ import annotations

import json
from base64 import b64encode
from collections.abc import Callable
from math import inf
from pathlib import Path
from re import search

from fuzzing import FUZZ, damaged
from hypothesis import given
from hypothesis import strategies as st
from msgspec import to_builtins
from msgspec.json import encode as encode_json
from msgspec.msgpack import encode
from platform_node import make_config, make_route
from pytest import mark, raises

from pollenbay.adminendpoint import BadRequestError, find_endpoint
from pollenbay.announcement import Announcement
from pollenbay.badrows import make_bad_rows
from pollenbay.claim import AnsweredRow, ClaimedRow, ReleasedRow, decode_row, encode_row
from pollenbay.codec import CodecError, decode_json, make_message_decoder
from pollenbay.departures import Departure, make_departures
from pollenbay.gossipmessage import (
    CompareRequest,
    GossipDecodeError,
    Heartbeat,
    PageResponse,
    Record,
    Report,
    RulesRequest,
    RulesResponse,
    decode_request,
    decode_response,
    encode_message,
)
from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.link import LENGTH_PREFIX, Link, LinkMessageError
from pollenbay.linkmessage import (
    CallMessage,
    NotRunMessage,
    ProgressMessage,
    ResponseMessage,
    TargetFeedback,
    UnknownMessage,
)
from pollenbay.platform.checkins import CheckInError, make_check_ins
from pollenbay.platform.rules import parse_config
from pollenbay.platform.settings import Endpoint
from pollenbay.platform.store import StoreEncoding
from pollenbay.rendezvous import NodeRow
from pollenbay.rule import RuleSet
from pollenbay.rulerow import decode_rules, make_rule_set
from pollenbay.rulerow import encode_row as encode_rules
from pollenbay.states import CallClass, MemberState, Reason, TargetState
from pollenbay.timer import make_timer

SOURCE = Path(__file__).resolve().parent.parent / "src" / "pollenbay"
RECORD = Record(
    "stock-1", 3, 4, MemberState.SERVING, "stock", "h1", "z1", "r1", "127.0.0.1", 8001, 8002
)
REPORT = Report("stock-1", 3, 9, 2, 5.5, 1, 20, 0, 2)
RULES = parse_config(
    make_config(3, make_route("/safe/"), make_route("/unsafe/", "unsafe"))
).unwrap()
FEEDBACK = TargetFeedback(True, 0.5, 0.7, 20, (("stock", 2.5),))
LINK_MESSAGES = [
    CallMessage(
        "c1",
        "r1",
        "stock",
        "read",
        CallClass.NORMAL,
        "driver",
        "GET",
        "/read?x=1",
        [(b"host", b"a")],
        b"body",
        250.5,
        2,
        None,
        1,
        True,
        "routes",
    ),
    ResponseMessage("c1", 200, [(b"a", b"b")], b"body", 1, FEEDBACK),
    NotRunMessage("c1", Reason.OVERLOAD, 0.5, 1, FEEDBACK),
    UnknownMessage("c1", Reason.DEADLINE, 0),
    ProgressMessage("c1"),
]
GOSSIP_REQUESTS = [
    Heartbeat(RECORD, REPORT, "digest", 2**63, False, [RECORD], [REPORT]),
    RulesRequest(2, {"stock": 7}),
    CompareRequest([0] * 64, 3),
]
GOSSIP_RESPONSES = [
    GOSSIP_REQUESTS[0],
    PageResponse([RECORD]),
    RulesResponse(3, "digest", "platform", 1.0, ("stock",), RULES.services, RULES.routes),
]
CLAIM_ROWS = [
    ClaimedRow(
        nonce="n", written_epoch_s=1.0, fingerprint="f", instance="i", incarnation=3,
        deadline_epoch_s=2.0,
    ),
    AnsweredRow(
        nonce="n", written_epoch_s=1.0, fingerprint="f", status=200, headers=[(b"a", b"b")],
        body=b"x",
    ),
    ReleasedRow(nonce="n", written_epoch_s=1.0),
]  # fmt: skip
NODE_ROW = NodeRow("stock-1", 3, "127.0.0.1", 8002, 1.5, [Departure("i-1", 17, 4)], True)
ANNOUNCEMENT = Announcement(
    service="stock", address="127.0.0.1", port=8001, slots=20, state=TargetState.SERVING
)
CHECK_IN = {
    "address": "127.0.0.1:8001",
    "info": {"service": "stock", "version": "v1", "zone": "z1", "capacity": 20},
    "status": {"state": "ready", "seq": 4, "warmup_left_ms": 0},
    "born": 17,
}
STORE_ROW = {
    "table": "nodes",
    "part": "",
    "key": "z1/stock-1",
    "value": b64encode(encode_json(NODE_ROW)).decode(),
    "ver": 7,
}


def read_link_message(data: bytes) -> object:
    """Decode a message as a link does."""
    link = Link(None)
    link._received += LENGTH_PREFIX.pack(len(data)) + data
    return link.take_message()


def read_check_in(data: bytes) -> object:
    """Apply a check-in to an empty record."""
    check_ins = make_check_ins(Endpoint("127.0.0.1", 8001), make_timer(), make_departures(-inf))
    return check_ins.apply("i-1", data)


def read_store_rows(data: bytes) -> object:
    """Decode the rows of a response of the store."""
    return StoreEncoding().decode_rows(HttpResponse(200, [], data), make_bad_rows())


def read_publish(data: bytes) -> object:
    """Decode the body of a request to publish."""
    request = HttpRequest(b"POST", b"/v1/publish", [], data)
    return find_endpoint(request).unwrap().decode(request)


PUBLISH = encode_json({"services": to_builtins(RULES.services), "author": "anna"})
DECODERS: dict[str, tuple[Callable[[bytes], object], type[Exception], list[bytes]]] = {
    "link": (read_link_message, LinkMessageError, [encode(each) for each in LINK_MESSAGES]),
    "gossip-request": (
        decode_request,
        GossipDecodeError,
        [encode_message(each) for each in GOSSIP_REQUESTS],
    ),
    "gossip-response": (
        decode_response,
        GossipDecodeError,
        [encode_message(each) for each in GOSSIP_RESPONSES],
    ),
    "claim-row": (decode_row, AssertionError, [encode_row(each) for each in CLAIM_ROWS]),
    "rules-row": (decode_rules, AssertionError, [encode_rules(RULES)]),
    "node-row": (
        lambda data: decode_json(data, NodeRow),
        CodecError,
        [encode_json(NODE_ROW)],
    ),
    "configuration": (
        parse_config,
        AssertionError,
        [make_config(3, make_route("/safe/")), make_config(4)],
    ),
    "check-in": (read_check_in, CheckInError, [json.dumps(CHECK_IN).encode()]),
    "announcement": (
        lambda data: decode_json(data, Announcement),
        CodecError,
        [encode_json(ANNOUNCEMENT)],
    ),
    "store-rows": (
        read_store_rows,
        AssertionError,
        [json.dumps({"rows": [STORE_ROW, STORE_ROW], "ver": 9}).encode()],
    ),
    "publish": (read_publish, BadRequestError, [PUBLISH]),
}


@mark.parametrize("name", DECODERS)
def test_valid_input_is_decoded(name: str) -> None:
    decode, _, samples = DECODERS[name]
    for sample in samples:
        result = decode(sample)
        assert not hasattr(result, "is_err") or result.is_ok()


@mark.parametrize("name", DECODERS)
def test_damaged_input_raises_only_the_error_of_its_layer(name: str) -> None:
    decode, error_type, samples = DECODERS[name]

    @FUZZ
    @given(damaged(samples))
    def check(data: bytes) -> None:
        try:
            decode(data)
        except error_type:
            assert error_type is not AssertionError

    check()


@FUZZ
@given(damaged([encode_rules(RULES)]))
def test_rules_that_are_decoded_can_be_encoded(data: bytes) -> None:
    result = decode_rules(data)
    if result.is_ok():
        rules: RuleSet = result.ok_value
        make_rule_set(rules.version, rules.services, rules.author, 0.0, rules.routes)
        encode_rules(rules)


@FUZZ
@given(damaged([make_config(3, make_route("/safe/")), make_config(12)]))
def test_configuration_that_is_read_is_sound(data: bytes) -> None:
    result = parse_config(data)
    if result.is_err():
        return
    rules = result.ok_value
    assert search(rb'"r?0*%d"' % rules.version, data)
    assert all(route.destinations and route.wait_ms >= 0 for route in rules.routes)
    assert decode_rules(encode_rules(rules)).is_ok()


@mark.parametrize("levels", [100, 1_000, 100_000, 1_000_000])
def test_nesting_is_an_error_whether_or_not_the_type_knows_the_field(levels: int) -> None:
    nested = b"[" * levels + b"]" * levels
    decoder = make_message_decoder(NodeRow, 10_000_000)
    with raises(CodecError):
        decode_json(nested, NodeRow)
    with raises(CodecError):
        decoder.decode(b"\x91" * levels + b"\xc0")
    if levels > 1_000:
        with raises(CodecError):
            decode_json(encode_json(NODE_ROW)[:-1] + b',"more":' + nested + b"}", NodeRow)
        with raises(CodecError):
            decoder.decode(b"\x81\xa4more" + b"\x91" * levels + b"\xc0")


@given(st.integers(1, 100))
def test_size_is_bounded(excess: int) -> None:
    with raises(CodecError):
        decode_json(b" " * (100 + excess), NodeRow, limit_bytes=100)
    with raises(CodecError):
        make_message_decoder(NodeRow, 100).decode(b"\x00" * (100 + excess))


def test_no_other_module_decodes() -> None:
    pattern = (
        r"from msgspec\.(json|msgpack) import .*\b(decode|Decoder)\b|msgspec\.(json|msgpack)\."
    )
    modules = [path for path in SOURCE.rglob("*.py") if path.name != "codec.py"]
    assert [path.name for path in modules if search(pattern, path.read_text())] == []
