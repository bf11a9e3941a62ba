"""A node that is not running, for tests of the administration API."""

from typing import Any

from stepped_table import TableDouble

from pollenbay.commands.adoption import adopt
from pollenbay.http1 import HttpRequest
from pollenbay.ids import Incarnation, RuleVersion
from pollenbay.node import Node, make_node
from pollenbay.queries.rules import read_current
from pollenbay.settings import parse_settings
from pollenbay.states import MemberState
from pollenbay.view import Endpoints, Location, Member

TOKEN = "token-0123456789"
SETTINGS = {
    "instance": "docs-1",
    "host": "h1",
    "zone": "z1",
    "region": "r1",
    "service": "docs",
    "address": "127.0.0.1",
    "table": {"address": "127.0.0.1", "port": 1},
    "admin_token": TOKEN,
}


def make_admin_node(table: TableDouble | None = None) -> Node:
    """Return a node with a table double that the test controls."""
    settings = parse_settings(SETTINGS, "test").unwrap()
    node = make_node(settings, 1, adopt, read_current)
    double: Any = table or TableDouble()
    node.table = double
    return node


def make_member(instance: str, version: int, state: MemberState, last_seen_at: float) -> Member:
    """Return a member with a rule version."""
    return Member(
        instance=instance,
        incarnation=Incarnation(1),
        service="docs",
        location=Location("h", "z", "r"),
        endpoints=Endpoints("127.0.0.1", 1, 2),
        state=state,
        last_seen_at=last_seen_at,
        first_seen_at=0.0,
        rule_version=RuleVersion(version),
        rule_since=7.0,
    )


def make_request(
    method: bytes, target: bytes, body: bytes = b"", token: str | None = TOKEN
) -> HttpRequest:
    """Return a request, with the valid token by default."""
    headers = [(b"host", b"test")]
    if token is not None:
        headers.append((b"authorization", f"Bearer {token}".encode()))
    return HttpRequest(method, target, headers, body)
