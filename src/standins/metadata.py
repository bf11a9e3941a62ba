"""Stand-in for the metadata store of the users' platform: rows, conditional writes and a feed.

``POST /control`` with ``{"mode": MODE}`` sets a fault, see `Mode`, or does one of these:
``copy`` keeps a copy of all rows, and ``restore`` returns to it, which gives out versions again and
raises the generation; requests that the store holds stay where they are.
"""

from base64 import b64decode, b64encode
from enum import Enum
from urllib.parse import parse_qs, urlsplit

import click
from curio import Event, TaskTimeout, run, sleep, timeout_after
from msgspec import Struct
from msgspec.json import decode, encode

from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.platform.names import GENERATION_HEADER
from pollenbay.stream import listen, port_of
from standins.listener import LISTEN_ADDRESS, accept_http, json_response, print_ready, text_response

#: Longer than any client waits for a response.
SILENT_DELAY_S = 3600.0
STATUS_BUSY = 503
STATUS_CHECK_FAILED = 412
STATUS_HISTORY_GONE = 410
COPY = "copy"
RESTORE = "restore"


class Mode(Enum):
    """Fault of the store."""

    UP = "up"
    #: Connections are closed without a response.
    DOWN = "down"
    #: No response.
    SILENT = "silent"
    BUSY = "busy"
    #: Requests are served once the fault has ended.
    PAUSED = "paused"


class Control(Struct):
    """Request to set a fault, or to make or restore a copy."""

    mode: str


class StoredRow(Struct):
    """A row with its value in base64.

    :param ver: version of the store at the last change of the row.
    :param deleted: whether the row is deleted; such rows are in the feed only.
    """

    table: str
    part: str
    key: str
    value: str
    ver: int
    deleted: bool = False


class Metadata:
    """Metadata store, with one version counter for all rows."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._version = 0
        self._changed = Event()
        self._mode = Mode.UP
        self._generation = 1
        self._copy: tuple[dict[tuple[str, str, str], StoredRow], int] = ({}, 0)

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row of the operator, outside the transaction interface."""
        await self._apply([(table, "", key, b64encode(value).decode("ascii"))], [])

    async def handle(self, request: HttpRequest) -> HttpResponse | None:
        """Return the response to a request under the active fault; None closes the connection."""
        parts = urlsplit(request.target.decode("ascii"))
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/control":
            control = decode(request.body, type=Control)
            await self._control(control.mode)
            return json_response(control)
        if parts.path.startswith("/operator/"):
            await self.put("op", parts.path.removeprefix("/operator/"), request.body)
            return HttpResponse(200, [])
        response = await self._serve(request, parts.path, query)
        if response is not None:
            response.headers.append((GENERATION_HEADER, b"%d" % self._generation))
        return response

    async def _control(self, mode: str) -> None:
        if mode == COPY:
            self._copy = dict(self._rows), self._version
        elif mode == RESTORE:
            rows, self._version = self._copy
            self._rows = dict(rows)
            self._generation += 1
        else:
            self._mode = Mode(mode)
            await self._changed.set()

    async def _serve(
        self, request: HttpRequest, path: str, query: dict[str, str]
    ) -> HttpResponse | None:
        while self._mode is Mode.PAUSED:
            await self._wait_for_change()
        if self._mode is Mode.SILENT:
            await sleep(SILENT_DELAY_S)
        if self._mode is Mode.DOWN:
            return None
        if self._mode is Mode.BUSY:
            return HttpResponse(STATUS_BUSY, [])
        match request.method, path:
            case b"GET", "/rows-get":
                return self._read(query)
            case b"GET", "/rows-feed":
                return await self._feed(query)
            case b"POST", "/rows-tx":
                return await self._write(decode(request.body))
        return text_response(404, "no such call")

    def _read(self, query: dict[str, str]) -> HttpResponse:
        start, end = query.get("from", ""), query.get("target")
        rows = [
            row
            for row in sorted(self._rows.values(), key=lambda each: each.key)
            if row.table == query["table"] and row.part == query.get("part", "")
            if not row.deleted and row.key >= start and (end is None or row.key < end)
        ]
        return self._rows_response(rows[: int(query.get("limit", "500"))])

    async def _feed(self, query: dict[str, str]) -> HttpResponse:
        after, wait_s = int(query["after"]), float(query["wait_ms"]) / 1000.0
        if after > self._version:
            return HttpResponse(STATUS_HISTORY_GONE, [])
        try:
            await timeout_after(wait_s, self._wait_for, query["table"], after)
        except TaskTimeout:
            return self._rows_response([])
        return self._rows_response(self._changes(query["table"], after))

    async def _wait_for(self, table: str, after: int) -> None:
        while not self._changes(table, after):
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def _changes(self, table: str, after: int) -> list[StoredRow]:
        rows = [row for row in self._rows.values() if row.table == table and row.ver > after]
        return sorted(rows, key=lambda row: row.ver)

    async def _write(self, body: dict) -> HttpResponse:
        for check in body.get("expected", []):
            row = self._rows.get((check["table"], check["part"], check["key"]))
            if (row.ver if row and not row.deleted else 0) != check["ver"]:
                return HttpResponse(STATUS_CHECK_FAILED, [], encode({"rows": []}))
        writes = [(w["table"], w["part"], w["key"], w["value"]) for w in body.get("writes", [])]
        removed = [(r["table"], r["part"], r["key"]) for r in body.get("remove", [])]
        await self._apply(writes, removed)
        return HttpResponse(200, [], encode({"ver": self._version, "now_ms": 0}))

    async def _apply(
        self, writes: list[tuple[str, str, str, str]], removed: list[tuple[str, str, str]]
    ) -> None:
        self._version += 1
        for table, part, key, value in writes:
            b64decode(value, validate=True)
            self._rows[table, part, key] = StoredRow(table, part, key, value, self._version)
        for table, part, key in removed:
            row = StoredRow(table, part, key, "", self._version, deleted=True)
            self._rows[table, part, key] = row
        await self._changed.set()

    def _rows_response(self, rows: list[StoredRow]) -> HttpResponse:
        body = {"rows": rows, "has_more": False, "ver": self._version, "now_ms": 0}
        return HttpResponse(200, [(b"content-type", b"application/json")], encode(body))


async def serve_metadata(port: int) -> None:
    """Serve requests until cancelled."""
    listener = listen(LISTEN_ADDRESS, port)
    print_ready(port_of(listener))
    await accept_http(listener, Metadata().handle)


@click.command()
@click.option("--port", default=0, help="Port to listen on; 0 takes any free one.")
def main(port: int) -> None:
    """Run the stand-in until SIGTERM."""
    run(serve_metadata, port)


if __name__ == "__main__":
    main()
