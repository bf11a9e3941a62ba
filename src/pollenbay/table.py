"""Client of the platform's transactional table service, over HTTP and JSON.

``POST /table/transact`` takes checks and writes and applies all or none; ``GET /table/row``
and ``GET /table/rows`` read.
"""

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


class Table:
    """Client that keeps a few connections.

    :param address: IP number of the service.
    :param timeout_s: seconds after which an answer counts as lost.
    """

    def __init__(self, address: str, port: int, timeout_s: float = TABLE_TIMEOUT_S) -> None:
        self._address = address
        self._port = port
        self._timeout_s = timeout_s
        self._idle: list[HttpClient] = []

    async def get(self, key: RowKey) -> Result[Row | None, TableError]:
        """Read one row; Ok(None) if it is absent."""
        result = await self._read(f"/table/row?key={quote(key, safe='')}")
        return result.map(lambda rows: rows[0] if rows else None)

    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT_ROWS
    ) -> Result[list[Row], TableError]:
        """Read up to `limit` rows whose key starts with `prefix` and is past `after`, by key."""
        query = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}&limit={limit}"
        return await self._read(f"/table/rows?{query}")

    async def transact(
        self, checks: list[Check], writes: list[Write]
    ) -> Result[None, TableConflictError | TableUnavailableError | TableUnknownError]:
        """Apply all writes if all checks hold."""
        body = encode(Transaction(checks, writes))
        request = HttpRequest(b"POST", b"/table/transact", self._headers(), body)
        try:
            response = await timeout_after(self._timeout_s, self._exchange, request)
        except HttpConnectError as error:
            return Err(TableUnavailableError(str(error)))
        except (HttpError, TaskTimeout) as error:
            return Err(TableUnknownError(str(error)))
        if response.status == STATUS_OK:
            return Ok(None)
        if response.status == STATUS_CONFLICT:
            return Err(TableConflictError(response.body.decode("utf-8", "replace")))
        return Err(TableUnavailableError(f"status {response.status}"))

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _read(self, target: str) -> Result[list[Row], TableError]:
        request = HttpRequest(b"GET", target.encode("ascii"), self._headers())
        try:
            response = await timeout_after(self._timeout_s, self._exchange, request)
        except (HttpError, TaskTimeout) as error:
            return Err(TableUnavailableError(f"{type(error).__name__}: {error}"))
        return _decode_rows(response)

    def _headers(self) -> list[tuple[bytes, bytes]]:
        return [(b"host", f"{self._address}:{self._port}".encode("ascii"))]

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
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


def make_table(address: str, port: int, timeout_s: float = TABLE_TIMEOUT_S) -> Table:
    """Return a client; it connects at its first use."""
    return Table(address, port, timeout_s)


def _decode_rows(response: HttpResponse) -> Result[list[Row], TableError]:
    if response.status != STATUS_OK:
        return Err(TableUnavailableError(f"status {response.status}"))
    try:
        return Ok(decode(response.body, type=Rows).rows)
    except (DecodeError, ValidationError) as error:
        return Err(TableUnavailableError(str(error)))
