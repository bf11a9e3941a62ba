"""Stand-in for the platform: transactional table service and object store over HTTP.

``POST /table/transact``, ``GET /table/row``, ``GET /table/rows``, ``PUT`` and ``GET
/objects/NAME``; ``POST /control`` sets a fault and ``GET /control`` returns the counts.
"""

from time import monotonic
from urllib.parse import parse_qs, unquote, urlsplit

import click
from curio import run, sleep
from msgspec import MsgspecError
from msgspec.json import decode

from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.ids import RowKey
from pollenbay.stream import listen, port_of
from pollenbay.table import SCAN_LIMIT_ROWS, Rows, Transaction
from standins.commands.store import (
    admit_read,
    admit_write,
    apply_transaction,
    lose_response,
    put_object,
    set_mode,
)
from standins.listener import (
    LISTEN_ADDRESS,
    accept_http,
    json_response,
    print_ready,
    text_response,
)
from standins.queries.store import find_object, find_row, find_rows, is_down, response_delay_s
from standins.store import AnyMode, Store, make_store

OBJECT_PREFIX = "/objects/"


class Platform:
    """HTTP front end of a store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def handle(self, request: HttpRequest) -> HttpResponse | None:
        """Return the response to a request under the active fault; None closes the connection."""
        parts = urlsplit(request.target.decode("ascii"))
        if parts.path == "/control":
            return self._control(request)
        if is_down(self._store.mode):
            return None
        try:
            response = self._serve(request, parts.path, _Query(parts.query))
        except (MsgspecError, ValueError) as error:
            response = text_response(400, str(error))
        await sleep(response_delay_s(self._store.mode))
        return response

    def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == b"GET":
            return json_response(self._store.counts)
        try:
            set_mode(self._store, decode(request.body, type=AnyMode))
        except MsgspecError as error:
            return text_response(400, str(error))
        return json_response(self._store.mode)

    def _serve(self, request: HttpRequest, path: str, query: "_Query") -> HttpResponse | None:
        match request.method, path:
            case b"POST", "/table/transact":
                return self._transact(request.body)
            case b"GET", "/table/row":
                return self._read(find_row(self._store, RowKey(query.text("key"))))
            case b"GET", "/table/rows":
                return self._read(self._scan(query))
            case b"PUT", _ if path.startswith(OBJECT_PREFIX):
                return self._put_object(unquote(path[len(OBJECT_PREFIX) :]), request.body)
            case b"GET", _ if path.startswith(OBJECT_PREFIX):
                return self._get_object(unquote(path[len(OBJECT_PREFIX) :]))
        return text_response(404, "no such resource")

    def _transact(self, body: bytes) -> HttpResponse | None:
        transaction = decode(body, type=Transaction)
        if not admit_write(self._store, len(transaction.writes), monotonic()):
            return text_response(503, "too many writes")
        failed_key = apply_transaction(self._store, transaction)
        if failed_key is not None:
            return text_response(409, failed_key)
        if lose_response(self._store.mode, self._store):
            return None
        return text_response(200, "")

    def _scan(self, query: "_Query") -> Rows:
        limit = int(query.text("limit", str(SCAN_LIMIT_ROWS)))
        return find_rows(self._store, query.text("prefix"), query.text("after"), limit)

    def _read(self, rows: Rows) -> HttpResponse:
        if not admit_read(self._store, monotonic()):
            return text_response(503, "too many reads")
        self._store.counts.rows_read += len(rows.rows)
        return json_response(rows)

    def _put_object(self, name: str, content: bytes) -> HttpResponse | None:
        if not admit_write(self._store, 1, monotonic()):
            return text_response(503, "too many writes")
        put_object(self._store, name, content)
        if lose_response(self._store.mode, self._store):
            return None
        return text_response(200, "")

    def _get_object(self, name: str) -> HttpResponse:
        if not admit_read(self._store, monotonic()):
            return text_response(503, "too many reads")
        content = find_object(self._store, name)
        if content is None:
            return text_response(404, "no such object")
        return HttpResponse(200, [(b"content-type", b"application/octet-stream")], content)


class _Query:
    def __init__(self, text: str) -> None:
        self._values = parse_qs(text, keep_blank_values=True, strict_parsing=bool(text))

    def text(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter."""
        return self._values.get(name, [default])[0]


async def serve_platform(port: int, store: Store) -> None:
    """Serve requests until cancelled."""
    listener = listen(LISTEN_ADDRESS, port)
    print_ready(port_of(listener))
    await accept_http(listener, Platform(store).handle)


@click.command()
@click.option("--port", default=0, help="Port to listen on; 0 takes any free one.")
@click.option("--max-reads-per-s", type=float, help="Cap on read requests.")
@click.option("--max-writes-per-s", type=float, help="Cap on rows written.")
def main(port: int, max_reads_per_s: float | None, max_writes_per_s: float | None) -> None:
    """Run the platform stand-in until SIGTERM."""
    run(serve_platform, port, make_store(max_reads_per_s, max_writes_per_s))


if __name__ == "__main__":
    main()
