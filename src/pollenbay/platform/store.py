"""Client of the platform's metadata store: encoding of its rows, and feed of the configuration."""

from functools import partial
from logging import getLogger
from urllib.parse import quote

from msgspec import Raw, Struct
from msgspec.json import encode
from result import Err, Result

from pollenbay.badrows import BadRows
from pollenbay.commands.rulesync import adopt_rules
from pollenbay.feedposition import FeedPosition
from pollenbay.http1 import HttpRequest, HttpResponse, header_value
from pollenbay.ids import RowKey, RowVersion, TableGeneration
from pollenbay.membership import Membership
from pollenbay.platform.names import CONFIG_KEY, GENERATION_HEADER, OPERATOR_TABLE
from pollenbay.platform.rules import parse_config
from pollenbay.platform.settings import Endpoint
from pollenbay.queries.rulefeed import hold_s
from pollenbay.ranges import KnownRowVersion
from pollenbay.table import (
    Check,
    Row,
    Table,
    TableError,
    Write,
    make_table,
    read_body,
    read_rows,
)

STATUS_CHECK_FAILED = 412
#: Longest number that is accepted as a generation.
GENERATION_DIGITS_MAX = 18
#: Time-out of a read or a write.
STORE_TIMEOUT_S = 1.5
#: Delay of a feed response beyond the requested time after which the request counts as failed.
FEED_RESPONSE_SLACK_S = 0.7
FEED_RETRY_PERIOD_S = 0.25

LOG = getLogger("pollenbay.platform")


class _StoreRow(Struct):
    """Row of the store; `value` is base64 on the wire.

    :param ver: version, taken from one counter for the whole store.
    """

    table: str
    key: str
    part: str = ""
    value: bytes = b""
    ver: KnownRowVersion = RowVersion(0)
    deleted: bool = False


class _StoreRows(Struct):
    """Response to a read.

    :param rows: each a `_StoreRow`, decoded one by one.
    :param ver: newest version in the store.
    """

    rows: list[Raw]
    ver: KnownRowVersion = RowVersion(0)


class _FoundRows(Struct):
    """Rows of the operator, and the position in the feed that they lead to."""

    rows: list[_StoreRow]
    position: FeedPosition


class _TransactionRow(Struct, omit_defaults=True):
    table: str
    key: str
    part: str
    ver: RowVersion | None = None
    value: bytes | None = None


class _StoreTransaction(Struct):
    expected: list[_TransactionRow]
    writes: list[_TransactionRow]
    remove: list[_TransactionRow]


class StoreEncoding:
    """Encoding for the store; key ``TABLE/REST`` is row ``REST`` of table ``TABLE``, in part ''."""

    def row_target(self, key: RowKey) -> str:
        """Return the target of a request for one row."""
        return self.rows_target(key, "", 1)

    def rows_target(self, prefix: str, after: str, limit: int) -> str:
        """Return the target of a request for rows by prefix, starting at a key."""
        table, start = _split_key(max(prefix, after))
        _, end = _split_key(prefix)
        query = f"table={quote(table)}&part=&from={quote(start, safe='')}&limit={limit + 1}"
        if end:
            query += f"&target={quote(_prefix_end(end), safe='')}"
        return f"/rows-get?{query}"

    def transaction_request(self, checks: list[Check], writes: list[Write]) -> HttpRequest:
        """Return the request that applies writes if all checks hold."""
        body = _StoreTransaction(
            expected=[_transaction_row(check.key, ver=check.version) for check in checks],
            writes=[
                _transaction_row(write.key, value=write.value)
                for write in writes
                if write.value is not None
            ],
            remove=[_transaction_row(write.key) for write in writes if write.value is None],
        )
        headers = [(b"content-type", b"application/json")]
        return HttpRequest(b"POST", b"/rows-tx", headers, encode(body))

    def decode_rows(
        self, response: HttpResponse, bad_rows: BadRows
    ) -> Result[list[Row], TableError]:
        """Return the rows in a response to a read, without those that cannot be read."""
        found = read_body(response, _StoreRows)
        return found.map(
            lambda body: [_to_row(row) for row in read_rows(body.rows, _StoreRow, bad_rows)]
        )

    def is_conflict(self, response: HttpResponse) -> bool:
        """Return whether a response to a write reports a failed check."""
        return response.status == STATUS_CHECK_FAILED

    def generation(self, response: HttpResponse) -> TableGeneration | None:
        """Return the generation in which a response was made; None if it does not state one."""
        return read_generation(response)


def read_generation(response: HttpResponse) -> TableGeneration | None:
    """Return the generation of the store in which a response was made; None if it has none."""
    value = header_value(response.headers, GENERATION_HEADER) or b""
    if not value.isdigit() or len(value) > GENERATION_DIGITS_MAX:
        return None
    return TableGeneration(int(value))


def make_store_table(endpoint: Endpoint) -> Table:
    """Return a table client for the store."""
    return make_table(endpoint.address, endpoint.port, STORE_TIMEOUT_S, StoreEncoding())


async def run_rule_feed(sentinel_hold_s: float, membership: Membership) -> None:
    """Adopt each configuration as soon as the store has it, until cancelled.

    :param sentinel_hold_s: seconds for which the store holds a request of a sentinel.
    """
    local = membership.settings.instance
    retry_timer = membership.timer.subscribe(FEED_RETRY_PERIOD_S)
    position: FeedPosition | None = None
    reached = True
    reached_at = membership.timer.now()
    while True:
        wait_s = hold_s(membership.view, local, sentinel_hold_s, membership.rng)
        result = await _next_rows(membership.table, position, wait_s)
        membership.rules_table_queried = True
        if result.is_ok() != reached:
            reached = result.is_ok()
            fields = {
                "reached": reached,
                "error": str(result.err()),
                "position": position,
                "reached_s_ago": round(membership.timer.now() - reached_at, 3),
            }
            LOG.warning("store", extra=fields)
        if isinstance(result, Err):
            position = None
            await retry_timer.wait()
            continue
        reached_at = membership.timer.now()
        found = result.ok_value
        await _adopt_newest(membership, found.rows)
        if position is None or found.position.continues(position):
            position = found.position
            continue
        LOG.warning("feed restarted", extra={"position": position, "found": found.position})
        position = None
        await retry_timer.wait()


async def _next_rows(
    table: Table, position: FeedPosition | None, wait_s: float
) -> Result[_FoundRows, TableError]:
    """Return the current configuration, or the changes after a position."""
    if position is None:
        query = f"table={OPERATOR_TABLE}&part=&from={CONFIG_KEY}&limit=1"
        target, timeout_s = f"/rows-get?{query}", STORE_TIMEOUT_S
    else:
        query = f"table={OPERATOR_TABLE}&after={position.version}&wait_ms={wait_s * 1000:.0f}"
        target, timeout_s = f"/rows-feed?{query}", wait_s + FEED_RESPONSE_SLACK_S
    response = await table.fetch(target, timeout_s)
    return response.and_then(partial(_read_found_rows, table))


def _read_found_rows(table: Table, response: HttpResponse) -> Result[_FoundRows, TableError]:
    generation = read_generation(response)
    return read_body(response, _StoreRows).map(
        lambda body: _FoundRows(
            read_rows(body.rows, _StoreRow, table.bad_rows), FeedPosition(generation, body.ver)
        )
    )


async def _adopt_newest(membership: Membership, rows: list[_StoreRow]) -> None:
    for row in rows:
        if row.key != CONFIG_KEY or row.deleted:
            continue
        rules = parse_config(row.value)
        if isinstance(rules, Err):
            LOG.error("configuration unreadable", extra={"error": str(rules.err_value)})
            continue
        await adopt_rules(membership, rules.ok_value)


def _split_key(key: str) -> tuple[str, str]:
    table, _, rest = key.partition("/")
    return table, rest


def _prefix_end(prefix: str) -> str:
    """Return the lowest key above all keys with a prefix of ASCII characters."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _transaction_row(
    key: RowKey, ver: RowVersion | None = None, value: bytes | None = None
) -> _TransactionRow:
    table, rest = _split_key(key)
    return _TransactionRow(table=table, key=rest, part="", ver=ver, value=value)


def _to_row(row: _StoreRow) -> Row:
    return Row(RowKey(f"{row.table}/{row.key}"), row.ver, row.value)
