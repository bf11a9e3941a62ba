"""Tests of the platform stand-in, through the product's own client of the table."""

from http.client import HTTPException
from time import monotonic

import pytest
from curio import run
from harness import Process, Processes, control, counts, send

from pollenbay.ids import RowKey, RowVersion
from pollenbay.table import (
    Check,
    Row,
    TableConflictError,
    TableUnavailableError,
    TableUnknownError,
    Write,
    make_table,
)

A = RowKey("a/1")
B = RowKey("a/2")


@pytest.fixture
def processes(tmp_path):
    with Processes(tmp_path) as running:
        yield running


@pytest.fixture
def platform(processes) -> Process:
    return processes.start_platform()


def ask(platform: Process, use):
    async def in_table():
        table = make_table("127.0.0.1", platform.port)
        try:
            return await use(table)
        finally:
            await table.close()

    return run(in_table)


def write(platform: Process, key: RowKey, value: bytes | None, version: int | None = None):
    checks = [] if version is None else [Check(key, RowVersion(version))]
    return ask(platform, lambda table: table.transact(checks, [Write(key, value)]))


def read(platform: Process, key: RowKey) -> Row | None:
    return ask(platform, lambda table: table.get(key)).unwrap()


class TestTransactions:
    def test_versions_grow_and_are_not_used_again_after_removal(self, platform):
        assert write(platform, A, b"one", 0).is_ok()
        assert read(platform, A) == Row(A, RowVersion(1), b"one")
        assert write(platform, A, None, 1).is_ok()
        assert read(platform, A) is None
        assert write(platform, A, b"two", 0).is_ok()
        assert read(platform, A) == Row(A, RowVersion(3), b"two")

    def test_a_failed_check_names_its_key_and_nothing_is_written(self, platform):
        write(platform, B, b"b")
        checks = [Check(A, RowVersion(0)), Check(B, RowVersion(0))]
        writes = [Write(A, b"a"), Write(B, b"a")]
        result = ask(platform, lambda table: table.transact(checks, writes))
        assert isinstance(result.unwrap_err(), TableConflictError)
        assert str(result.unwrap_err()) == B
        assert read(platform, A) is None
        assert read(platform, B).value == b"b"

    def test_scan_is_by_key_within_prefix_after_and_limit(self, platform):
        keys = [RowKey(f"p/{number}") for number in (3, 1, 2, 4)]
        writes = [Write(key, b"") for key in [*keys, RowKey("q/1")]]
        ask(platform, lambda table: table.transact([], writes))
        rows = ask(platform, lambda table: table.scan("p/", "p/1", 2)).unwrap()
        assert [row.key for row in rows] == ["p/2", "p/3"]
        assert counts(platform)["writes"] == 5

    def test_a_broken_transaction_is_refused(self, platform):
        assert send(platform.port, "/table/transact", "POST", b"{").status == 400


class TestObjects:
    def test_an_object_comes_back_whole(self, platform):
        content = bytes(range(256)) * 100
        assert send(platform.port, "/objects/a%2Fb", "PUT", content).status == 200
        assert send(platform.port, "/objects/a%2Fb").body == content
        assert send(platform.port, "/objects/a").status == 404


class TestFaults:
    def test_down_has_no_effect_and_ends(self, platform):
        control(platform, mode="down")
        assert isinstance(write(platform, A, b"x").unwrap_err(), TableUnknownError)
        with pytest.raises((OSError, HTTPException)):
            send(platform.port, "/table/row?key=a")
        control(platform, mode="up")
        assert read(platform, A) is None

    def test_a_lost_answer_follows_a_write_that_took_effect(self, platform):
        control(platform, mode="lose-answers", count=1)
        assert isinstance(write(platform, A, b"x").unwrap_err(), TableUnknownError)
        assert read(platform, A).value == b"x"
        assert write(platform, A, b"y").is_ok()

    def test_slow_delays_each_answer(self, platform):
        control(platform, mode="slow", delay_s=0.3)
        started = monotonic()
        assert write(platform, A, b"x").is_ok()
        assert monotonic() - started >= 0.3

    def test_stale_reads_show_the_past_while_checks_see_the_present(self, platform):
        write(platform, A, b"old")
        control(platform, mode="stale-reads")
        assert write(platform, A, b"new", 1).is_ok()
        assert read(platform, A).value == b"old"
        assert write(platform, A, b"newer", 1).is_err()
        control(platform, mode="up")
        assert read(platform, A).value == b"new"

    def test_writes_past_the_cap_are_refused_and_counted(self, processes):
        capped = processes.start_platform(max_writes_per_s=3)
        results = [write(capped, A, b"x") for _ in range(8)]
        refused = [result.unwrap_err() for result in results if result.is_err()]
        assert refused
        assert all(isinstance(error, TableUnavailableError) for error in refused)
        assert counts(capped)["limited"] == len(refused)
        assert read(capped, A).version == 8 - len(refused)
