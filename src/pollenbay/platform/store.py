"""The platform's metadata store: its requests, its rows, and the feed of the configuration."""

from functools import partial
from logging import getLogger
from urllib.parse import quote

from msgspec import Struct
from msgspec.json import encode
from result import Err, Result

from pollenbay.commands.pulling import JITTER, adopt_rules
from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.ids import RowKey, RowVersion
from pollenbay.membership import Membership
from pollenbay.platform.names import CONFIG_KEY, OPERATOR_TABLE
from pollenbay.platform.rules import read_rules
from pollenbay.platform.settings import Endpoint
from pollenbay.table import (
    Check,
    Row,
    Table,
    TableError,
    Write,
    make_table,
    read_body,
)

STATUS_CHECK_FAILED = 412
#: Longest answer to a read or a write, in seconds.
STORE_TIMEOUT_S = 1.5
#: How long the store is asked to hold a request for changes. A request that is swallowed delays
#: this node by as long; the others, whose requests end at other moments, then pass the news on, so
#: the time grows with their number.
FEED_WAIT_MIN_S = 1.0
FEED_WAIT_MAX_S = 5.0
FEED_WAIT_PER_MEMBER_S = 0.25
#: How much later than asked for an answer of the store may come.
FEED_SLACK_S = 0.7
FEED_PAUSE_S = 0.25

LOG = getLogger("pollenbay.platform")


class _StoreRow(Struct):
    """One row; `value` is base64 on the wire.

    :param ver: taken from one counter for the whole store.
    """

    table: str
    key: str
    part: str = ""
    value: bytes = b""
    ver: RowVersion = RowVersion(0)
    deleted: bool = False


class _StoreRows(Struct):
    """Answer to a read.

    :param ver: the newest version in the store.
    """

    rows: list[_StoreRow]
    ver: int = 0


class _Place(Struct, omit_defaults=True):
    table: str
    key: str
    part: str
    ver: RowVersion | None = None
    value: bytes | None = None


class _StoreTransaction(Struct):
    expected: list[_Place]
    writes: list[_Place]
    remove: list[_Place]


class StoreEncoding:
    """Keys ``TABLE/REST`` of this project stand in the store's table of that name, in part ''."""

    def read_row(self, key: RowKey) -> str:
        """Return the target of a request for one row."""
        return self.read_rows(key, "", 1)

    def read_rows(self, prefix: str, after: str, limit: int) -> str:
        """Return the target of a request for rows by prefix, from a key on."""
        table, start = _split(max(prefix, after))
        _, end = _split(prefix)
        query = f"table={quote(table)}&part=&from={quote(start, safe='')}&limit={limit + 1}"
        if end:
            query += f"&target={quote(_past(end), safe='')}"
        return f"/rows-get?{query}"

    def write(self, checks: list[Check], writes: list[Write]) -> HttpRequest:
        """Return the request that applies writes if all checks hold."""
        body = _StoreTransaction(
            expected=[_place(each.key, ver=each.version) for each in checks],
            writes=[
                _place(each.key, value=each.value) for each in writes if each.value is not None
            ],
            remove=[_place(each.key) for each in writes if each.value is None],
        )
        headers = [(b"content-type", b"application/json")]
        return HttpRequest(b"POST", b"/rows-tx", headers, encode(body))

    def rows_of(self, response: HttpResponse) -> Result[list[Row], TableError]:
        """Return the rows in a response to a read."""
        found = read_body(response, _StoreRows)
        return found.map(lambda rows: [_row(row) for row in rows.rows])

    def is_conflict(self, response: HttpResponse) -> bool:
        """Tell whether a response to a write says that a check failed."""
        return response.status == STATUS_CHECK_FAILED


def make_store_table(endpoint: Endpoint) -> Table:
    """Return the client of the store behind the interface of the table."""
    return make_table(endpoint.address, endpoint.port, STORE_TIMEOUT_S, StoreEncoding())


async def run_rule_feed(membership: Membership) -> None:
    """Put each configuration in force as soon as the store has it, until cancelled."""
    pauses = membership.timer.subscribe(FEED_PAUSE_S)
    after: int | None = None
    reached = True
    while True:
        result = await _next_rows(membership.table, after, _feed_wait_s(membership))
        membership.table_asked = True
        if result.is_ok() != reached:
            reached = result.is_ok()
            LOG.warning("store", extra={"reached": reached, "error": str(result.err())})
        if isinstance(result, Err):
            after = None
            await pauses.wait()
            continue
        await _adopt_newest(membership, result.ok_value.rows)
        after = result.ok_value.ver


def _feed_wait_s(membership: Membership) -> float:
    members = len(membership.view.members)
    wait_s = members * FEED_WAIT_PER_MEMBER_S * membership.rng.uniform(*JITTER)
    return min(max(wait_s, FEED_WAIT_MIN_S), FEED_WAIT_MAX_S)


async def _next_rows(
    table: Table, after: int | None, wait_s: float
) -> Result[_StoreRows, TableError]:
    """Return the configuration as it stands, or what has changed after a version."""
    if after is None:
        target, limit_s = f"/rows-get?table={OPERATOR_TABLE}&part=&limit=10", STORE_TIMEOUT_S
    else:
        target = f"/rows-feed?table={OPERATOR_TABLE}&after={after}&wait_ms={wait_s * 1000:.0f}"
        limit_s = wait_s + FEED_SLACK_S
    response = await table.fetch(target, limit_s)
    return response.and_then(partial(read_body, body_type=_StoreRows))


async def _adopt_newest(membership: Membership, rows: list[_StoreRow]) -> None:
    for row in rows:
        if row.key != CONFIG_KEY or row.deleted:
            continue
        rules = read_rules(row.value)
        if isinstance(rules, Err):
            LOG.error("configuration unreadable", extra={"error": str(rules.err_value)})
            continue
        await adopt_rules(membership, rules.ok_value)


def _split(key: str) -> tuple[str, str]:
    table, _, rest = key.partition("/")
    return table, rest


def _past(prefix: str) -> str:
    """Return the least key above all keys with a prefix of ASCII characters."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _place(key: RowKey, ver: RowVersion | None = None, value: bytes | None = None) -> _Place:
    table, rest = _split(key)
    return _Place(table=table, key=rest, part="", ver=ver, value=value)


def _row(row: _StoreRow) -> Row:
    return Row(RowKey(f"{row.table}/{row.key}"), row.ver, row.value)
