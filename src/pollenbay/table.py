"""Client of the platform's transactional table service, over HTTP and JSON.

``POST /table/transact`` applies all writes if all checks hold, or else none; ``GET /table/row``
and ``GET /table/rows`` read.
"""

from logging import getLogger
from typing import Protocol, TypeVar
from urllib.parse import quote

from curio import TaskTimeout, timeout_after
from msgspec import Raw, Struct
from msgspec.json import encode
from result import Err, Ok, Result

from pollenbay.badrows import BadRows, make_bad_rows
from pollenbay.codec import CodecError, decode_each, decode_json
from pollenbay.http1 import HttpConnectError, HttpError, HttpRequest, HttpResponse
from pollenbay.httpclient import HttpClient, connect_http
from pollenbay.ids import RowKey, RowVersion, TableGeneration
from pollenbay.ranges import KnownRowVersion

TABLE_TIMEOUT_S = 2.0
SCAN_LIMIT_ROWS = 1000
IDLE_CONNECTIONS_MAX = 8
_Body = TypeVar("_Body")
STATUS_OK = 200
STATUS_CONFLICT = 409

LOG = getLogger("pollenbay.table")


class TableError(Exception):
    """Base class of the errors of this module."""


class TableUnavailableError(TableError):
    """A read failed, or a write was not applied."""


class TableConflictError(TableError):
    """A check of a transaction failed, so nothing was written."""


class TableUnknownError(TableError):
    """A write was sent but its response was lost; whether it was applied must be read back."""


class Row(Struct):
    """Row of the table.

    :param version: incremented by 1 with each write of the row.
    """

    key: RowKey
    version: KnownRowVersion
    value: bytes


class Check(Struct):
    """Precondition that a row has this version; 0 requires that it is absent."""

    key: RowKey
    version: RowVersion


class Write(Struct):
    """New value of a row; None deletes the row."""

    key: RowKey
    value: bytes | None


class Transaction(Struct):
    """Writes that are applied atomically if all checks hold."""

    checks: list[Check]
    writes: list[Write]


class Rows(Struct):
    """Response to a read.

    :param rows: each a `Row`, decoded one by one.
    """

    rows: list[Raw]


class TableCounts(Struct):
    """Counters of the calls to a table service.

    :param calls: calls made.
    :param timeouts: calls whose response did not arrive in time.
    :param restorations: changes of the generation.
    """

    calls: int = 0
    timeouts: int = 0
    restorations: int = 0


class TableEncoding(Protocol):
    """HTTP encoding of requests to a table service and decoding of its responses."""

    def row_target(self, key: RowKey) -> str:
        """Return the target of a request for one row."""

    def rows_target(self, prefix: str, after: str, limit: int) -> str:
        """Return the target of a request for rows by prefix, after a key.

        The response may contain additional rows, which the caller filters out.
        """

    def transaction_request(self, checks: list[Check], writes: list[Write]) -> HttpRequest:
        """Return the request that applies writes if all checks hold, without the host header."""

    def decode_rows(
        self, response: HttpResponse, bad_rows: BadRows
    ) -> Result[list[Row], TableError]:
        """Return the rows in a response to a read, without those that cannot be read."""

    def is_conflict(self, response: HttpResponse) -> bool:
        """Return whether a response to a write reports a failed check."""

    def generation(self, response: HttpResponse) -> TableGeneration | None:
        """Return the generation in which a response was made; None if it does not state one."""


class PlainEncoding:
    """Encoding of this project's own table interface."""

    def row_target(self, key: RowKey) -> str:
        """Return the target of a request for one row."""
        return f"/table/row?key={quote(key, safe='')}"

    def rows_target(self, prefix: str, after: str, limit: int) -> str:
        """Return the target of a request for rows by prefix, after a key."""
        query = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}&limit={limit}"
        return f"/table/rows?{query}"

    def transaction_request(self, checks: list[Check], writes: list[Write]) -> HttpRequest:
        """Return the request that applies writes if all checks hold."""
        return HttpRequest(b"POST", b"/table/transact", [], encode(Transaction(checks, writes)))

    def decode_rows(
        self, response: HttpResponse, bad_rows: BadRows
    ) -> Result[list[Row], TableError]:
        """Return the rows in a response to a read, without those that cannot be read."""
        return read_body(response, Rows).map(lambda found: read_rows(found.rows, Row, bad_rows))

    def is_conflict(self, response: HttpResponse) -> bool:
        """Return whether a response to a write reports a failed check."""
        return response.status == STATUS_CONFLICT

    def generation(self, response: HttpResponse) -> TableGeneration | None:
        """Return None, since this service never loses a write."""
        return None


class Table:
    """Client of a table service that reuses up to `IDLE_CONNECTIONS_MAX` idle connections.

    :param address: IP address of the service.
    :param timeout_s: seconds after which a response counts as lost.
    :param encoding: HTTP interface of the service.
    """

    def __init__(self, address: str, port: int, timeout_s: float, encoding: TableEncoding) -> None:
        self._address = address
        self._port = port
        self._timeout_s = timeout_s
        self._encoding = encoding
        self._idle: list[HttpClient] = []
        self._bad_rows = make_bad_rows()
        self._counts = TableCounts()
        self._generation: TableGeneration | None = None

    @property
    def bad_rows(self) -> BadRows:
        """Return the record of rows that could not be read."""
        return self._bad_rows

    @property
    def counts(self) -> TableCounts:
        """Return the counters of calls."""
        return self._counts

    async def get(self, key: RowKey) -> Result[Row | None, TableError]:
        """Read one row; `Ok(None)` if it is absent."""
        result = await self._read(self._encoding.row_target(key))
        return result.map(lambda rows: next((row for row in rows if row.key == key), None))

    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT_ROWS
    ) -> Result[list[Row], TableError]:
        """Read up to `limit` rows whose key starts with `prefix` and is above `after`, by key."""
        result = await self._read(self._encoding.rows_target(prefix, after, limit))
        return result.map(
            lambda rows: [row for row in rows if _is_in_range(row, prefix, after)][:limit]
        )

    async def transact(
        self, checks: list[Check], writes: list[Write]
    ) -> Result[None, TableConflictError | TableUnavailableError | TableUnknownError]:
        """Apply all writes if all checks hold."""
        request = self._encoding.transaction_request(checks, writes)
        try:
            response = await self._exchange_within(self._timeout_s, request)
        except HttpConnectError as error:
            return Err(TableUnavailableError(str(error)))
        except (HttpError, TaskTimeout) as error:
            return Err(TableUnknownError(str(error)))
        if response.status == STATUS_OK:
            return Ok(None)
        if self._encoding.is_conflict(response):
            return Err(TableConflictError(response.body.decode("utf-8", "replace")))
        return Err(TableUnavailableError(f"status {response.status}"))

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def fetch(self, target: str, timeout_s: float) -> Result[HttpResponse, TableError]:
        """Return the complete response to a read, whatever its status.

        :param timeout_s: seconds after which the response counts as lost.
        """
        request = HttpRequest(b"GET", target.encode("ascii"), [])
        try:
            return Ok(await self._exchange_within(timeout_s, request))
        except (HttpError, TaskTimeout) as error:
            return Err(TableUnavailableError(f"{type(error).__name__}: {error}"))

    async def _read(self, target: str) -> Result[list[Row], TableError]:
        response = await self.fetch(target, self._timeout_s)
        return response.and_then(lambda found: self._encoding.decode_rows(found, self._bad_rows))

    async def _exchange_within(self, timeout_s: float, request: HttpRequest) -> HttpResponse:
        self._counts.calls += 1
        try:
            response = await timeout_after(timeout_s, self._exchange, request)
        except TaskTimeout:
            self._counts.timeouts += 1
            # Connections that are open now may be as dead as this one.
            await self.close()
            raise
        self._record_generation(self._encoding.generation(response))
        return response

    def _record_generation(self, generation: TableGeneration | None) -> None:
        before = self._generation
        if generation is None or generation == before:
            return
        self._generation = generation
        if before is not None:
            self._counts.restorations += 1
            LOG.warning("table restored", extra={"before": before, "after": generation})

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        request.headers.insert(0, (b"host", f"{self._address}:{self._port}".encode("ascii")))
        client = await self._take_connection()
        try:
            response = await client.exchange(request)
        except BaseException:
            await client.close()
            raise
        await self._release_connection(client)
        return response

    async def _take_connection(self) -> HttpClient:
        while self._idle:
            client = self._idle.pop()
            if not client.stale:
                return client
            await client.close()
        return await connect_http(self._address, self._port)

    async def _release_connection(self, client: HttpClient) -> None:
        if client.reusable and len(self._idle) < IDLE_CONNECTIONS_MAX:
            self._idle.append(client)
        else:
            await client.close()


def read_body(response: HttpResponse, body_type: type[_Body]) -> Result[_Body, TableError]:
    """Return the body of a response to a read, decoded from JSON.

    :param body_type: type of the body.
    """
    if response.status != STATUS_OK:
        return Err(TableUnavailableError(f"status {response.status}"))
    try:
        return Ok(decode_json(response.body, body_type))
    except CodecError as error:
        return Err(TableUnavailableError(str(error)))


def read_rows(parts: list[Raw], row_type: type[_Body], bad_rows: BadRows) -> list[_Body]:
    """Return the rows that can be read, and record the others."""
    results = decode_each(parts, row_type)
    for part, result in zip(parts, results, strict=True):
        if isinstance(result, Err):
            bad_rows.record_unreadable(bytes(part), str(result.err_value))
    return [result.ok_value for result in results if isinstance(result, Ok)]


def _is_in_range(row: Row, prefix: str, after: str) -> bool:
    return row.key.startswith(prefix) and row.key > after


def make_table(
    address: str,
    port: int,
    timeout_s: float = TABLE_TIMEOUT_S,
    encoding: TableEncoding | None = None,
) -> Table:
    """Return a client, which connects on first use."""
    return Table(address, port, timeout_s, encoding or PlainEncoding())
