"""Client of the platform's transactional table service, over HTTP and JSON.

``POST /table/transact`` takes checks and writes and applies all or none; ``GET /table/row``
and ``GET /table/rows`` read.
"""

from typing import Protocol, TypeVar
from urllib.parse import quote

from curio import TaskTimeout, timeout_after
from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode
from result import Err, Ok, Result

from pollenbay.http1 import HttpConnectError, HttpError, HttpRequest, HttpResponse
from pollenbay.httpclient import HttpClient, connect_http
from pollenbay.ids import RowKey, RowVersion

TABLE_TIMEOUT_S = 2.0
SCAN_LIMIT_ROWS = 1000
KEPT_CONNECTIONS = 8
T = TypeVar("T")
STATUS_OK = 200
STATUS_CONFLICT = 409


class TableError(Exception):
    """Root of the errors of this layer."""


class TableUnavailableError(TableError):
    """The service did not do what was asked: a read failed, or a write was not taken."""


class TableConflictError(TableError):
    """A check failed, so nothing was written."""


class TableUnknownError(TableError):
    """A write was sent and its answer was lost; only reading back tells whether it is in force."""


class Row(Struct):
    """One row.

    :param version: grows by one with each write of the row.
    """

    key: RowKey
    version: RowVersion
    value: bytes


class Check(Struct):
    """Demand that a row has this version; 0 demands that it is absent."""

    key: RowKey
    version: RowVersion


class Write(Struct):
    """New value of a row; None removes it."""

    key: RowKey
    value: bytes | None


class Transaction(Struct):
    """Checks and writes that take effect together or not at all."""

    checks: list[Check]
    writes: list[Write]


class Rows(Struct):
    """Answer to a read."""

    rows: list[Row]


class TableEncoding(Protocol):
    """How requests to a table service are written in HTTP and its responses read."""

    def read_row(self, key: RowKey) -> str:
        """Return the target of a request for one row."""

    def read_rows(self, prefix: str, after: str, limit: int) -> str:
        """Return the target of a request for rows by prefix, past a key.

        The response may hold a few others besides.
        """

    def write(self, checks: list[Check], writes: list[Write]) -> HttpRequest:
        """Return the request that applies writes if all checks hold, without host header."""

    def rows_of(self, response: HttpResponse) -> Result[list[Row], TableError]:
        """Return the rows in a response to a read."""

    def is_conflict(self, response: HttpResponse) -> bool:
        """Tell whether a response to a write says that a check failed."""


class PlainEncoding:
    """The interface that this project's stand-in serves."""

    def read_row(self, key: RowKey) -> str:
        """Return the target of a request for one row."""
        return f"/table/row?key={quote(key, safe='')}"

    def read_rows(self, prefix: str, after: str, limit: int) -> str:
        """Return the target of a request for rows by prefix, past a key."""
        query = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}&limit={limit}"
        return f"/table/rows?{query}"

    def write(self, checks: list[Check], writes: list[Write]) -> HttpRequest:
        """Return the request that applies writes if all checks hold."""
        return HttpRequest(b"POST", b"/table/transact", [], encode(Transaction(checks, writes)))

    def rows_of(self, response: HttpResponse) -> Result[list[Row], TableError]:
        """Return the rows in a response to a read."""
        return read_body(response, Rows).map(lambda found: found.rows)

    def is_conflict(self, response: HttpResponse) -> bool:
        """Tell whether a response to a write says that a check failed."""
        return response.status == STATUS_CONFLICT


class Table:
    """Client that keeps a few connections.

    :param address: IP number of the service.
    :param timeout_s: seconds after which an answer counts as lost.
    :param encoding: how the service is spoken to.
    """

    def __init__(self, address: str, port: int, timeout_s: float, encoding: TableEncoding) -> None:
        self._address = address
        self._port = port
        self._timeout_s = timeout_s
        self._encoding = encoding
        self._idle: list[HttpClient] = []

    async def get(self, key: RowKey) -> Result[Row | None, TableError]:
        """Read one row; Ok(None) if it is absent."""
        result = await self._read(self._encoding.read_row(key))
        return result.map(lambda rows: next((row for row in rows if row.key == key), None))

    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT_ROWS
    ) -> Result[list[Row], TableError]:
        """Read up to `limit` rows whose key starts with `prefix` and is past `after`, by key."""
        result = await self._read(self._encoding.read_rows(prefix, after, limit))
        return result.map(lambda rows: [row for row in rows if _is_in(row, prefix, after)][:limit])

    async def transact(
        self, checks: list[Check], writes: list[Write]
    ) -> Result[None, TableConflictError | TableUnavailableError | TableUnknownError]:
        """Apply all writes if all checks hold."""
        request = self._encoding.write(checks, writes)
        try:
            response = await timeout_after(self._timeout_s, self._exchange, request)
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
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()

    async def fetch(self, target: str, limit_s: float) -> Result[HttpResponse, TableError]:
        """Return the whole response to a read, whatever its status.

        :param limit_s: seconds after which it counts as lost.
        """
        request = HttpRequest(b"GET", target.encode("ascii"), [])
        try:
            return Ok(await timeout_after(limit_s, self._exchange, request))
        except (HttpError, TaskTimeout) as error:
            return Err(TableUnavailableError(f"{type(error).__name__}: {error}"))

    async def _read(self, target: str) -> Result[list[Row], TableError]:
        response = await self.fetch(target, self._timeout_s)
        return response.and_then(self._encoding.rows_of)

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        request.headers.insert(0, (b"host", f"{self._address}:{self._port}".encode("ascii")))
        client = await self._connection()
        try:
            response = await client.exchange(request)
        except BaseException:
            await client.close()
            raise
        await self._keep(client)
        return response

    async def _connection(self) -> HttpClient:
        while self._idle:
            client = self._idle.pop()
            if not client.stale:
                return client
            await client.close()
        return await connect_http(self._address, self._port)

    async def _keep(self, client: HttpClient) -> None:
        if client.reusable and len(self._idle) < KEPT_CONNECTIONS:
            self._idle.append(client)
        else:
            await client.close()


def read_body(response: HttpResponse, body_type: type[T]) -> Result[T, TableError]:
    """Return the decoded body of a response to a read.

    :param body_type: what the JSON stands for.
    """
    if response.status != STATUS_OK:
        return Err(TableUnavailableError(f"status {response.status}"))
    try:
        return Ok(decode(response.body, type=body_type))
    except (DecodeError, ValidationError) as error:
        return Err(TableUnavailableError(str(error)))


def _is_in(row: Row, prefix: str, after: str) -> bool:
    return row.key.startswith(prefix) and row.key > after


def make_table(
    address: str,
    port: int,
    timeout_s: float = TABLE_TIMEOUT_S,
    encoding: TableEncoding | None = None,
) -> Table:
    """Return a client; it connects at its first use."""
    return Table(address, port, timeout_s, encoding or PlainEncoding())
