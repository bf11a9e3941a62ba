"""The metadata store behind the table interface, against its stand-in."""

from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from curio import TaskGroup, run
from harness import ADDRESS, Process, Processes, control
from pytest import fixture, mark

from pollenbay.badrows import make_bad_rows
from pollenbay.http1 import HttpResponse
from pollenbay.ids import RowKey
from pollenbay.platform.settings import Endpoint
from pollenbay.platform.store import StoreEncoding, make_store_table
from pollenbay.table import Check, Table, TableConflictError, TableUnavailableError, Write

KEY = RowKey("nodes/z1/a")


@fixture
def store(tmp_path) -> Iterator[Process]:
    """Yield a store stand-in for one test."""
    with Processes(tmp_path) as processes:
        yield processes.start("store", "standins.metadata")


def run_with_table(store: Process, work: Callable[[Table], Awaitable[Any]]) -> Any:
    """Run a coroutine function with a client of the store."""

    async def main() -> Any:
        table = make_store_table(Endpoint(ADDRESS, store.port))
        try:
            return await work(table)
        finally:
            await table.close()

    return run(main)


def test_write_read_remove(store: Process) -> None:
    async def work(table: Table) -> None:
        assert (await table.get(KEY)).unwrap() is None
        assert (await table.transact([Check(KEY, 0)], [Write(KEY, b"\x00value")])).is_ok()
        row = (await table.get(KEY)).unwrap()
        assert (row.key, row.value) == (KEY, b"\x00value")
        assert (await table.transact([Check(KEY, row.version)], [Write(KEY, None)])).is_ok()
        assert (await table.get(KEY)).unwrap() is None

    run_with_table(store, work)


def test_failed_check_writes_nothing(store: Process) -> None:
    async def work(table: Table) -> None:
        await table.transact([], [Write(KEY, b"first")])
        result = await table.transact([Check(KEY, 0)], [Write(KEY, b"second")])
        assert isinstance(result.err(), TableConflictError)
        assert (await table.get(KEY)).unwrap().value == b"first"

    run_with_table(store, work)


def test_scan_by_prefix_after_a_key(store: Process) -> None:
    async def work(table: Table) -> None:
        keys = [f"nodes/z{zone}/{name}" for zone in (1, 2) for name in "abc"]
        await table.transact([], [Write(RowKey(key), b"x") for key in keys])
        await table.transact([], [Write(RowKey("other/z1/a"), b"x")])
        everything = (await table.scan("nodes/")).unwrap()
        assert [row.key for row in everything] == keys
        zone = (await table.scan("nodes/z1/", "nodes/z1/a", 1)).unwrap()
        assert [row.key for row in zone] == ["nodes/z1/b"]
        past = (await table.scan("nodes/", "nodes/z1/\U0010ffff", 9)).unwrap()
        assert [row.key for row in past] == keys[3:]

    run_with_table(store, work)


@mark.parametrize("mode", ["busy", "down"])
def test_reads_fail_while_the_store_is_unavailable(store: Process, mode: str) -> None:
    async def work(table: Table) -> None:
        control(store, mode=mode)
        assert isinstance((await table.get(KEY)).err(), TableUnavailableError)
        control(store, mode="up")
        assert (await table.get(KEY)).is_ok()

    run_with_table(store, work)


@mark.parametrize("body", [b"", b"{", b'{"rows": 7}', b'{"rows": ' + b"[" * 200_000])
def test_malformed_response_is_rejected(body: bytes) -> None:
    assert StoreEncoding().decode_rows(HttpResponse(200, [], body), make_bad_rows()).is_err()


@mark.parametrize(
    "odd_row",
    [
        b"7",
        b'{"table": 1}',
        b'{"table": "t", "key": "k", "value": "no base64!"}',
        b'{"table": "t", "key": "k", "value": "", "ver": 1e400}',
        b'{"table": "t", "key": "k", "value": "", "ver": %d}' % 2**70,
    ],
)
def test_malformed_row_costs_only_itself(odd_row: bytes) -> None:
    good_row = b'{"table": "t", "key": "k", "value": "eA==", "ver": 3}'
    body = b'{"rows": [%s, %s, %s]}' % (good_row, odd_row, good_row)
    bad_rows = make_bad_rows()
    rows = StoreEncoding().decode_rows(HttpResponse(200, [], body), bad_rows).unwrap()
    assert [(row.key, row.value, row.version) for row in rows] == [("t/k", b"x", 3)] * 2
    assert bad_rows.bad_rows == 1


def test_read_after_one_that_timed_out_uses_no_other_connection_of_before(
    store: Process, tmp_path
) -> None:
    async def work(table: Table) -> None:
        async with TaskGroup() as group:
            for _ in range(5):
                await group.spawn(table.get, KEY)
        control(proxy, mode="silence")
        assert isinstance((await table.get(KEY)).err(), TableUnavailableError)
        assert (await table.get(KEY)).is_ok()

    with Processes(tmp_path) as processes:
        proxy = processes.start_proxy(store.port)
        run_with_table(proxy, work)
