"""Tests of the platform stand-in through the product's table client."""

from http.client import HTTPException
from time import monotonic

import pytest
from curio import run
from harness import Process, Processes, control, read_counters, send

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

KEY_A = RowKey("a/1")
KEY_B = RowKey("a/2")


@pytest.fixture
def processes(tmp_path):
    with Processes(tmp_path) as running:
        yield running


@pytest.fixture
def platform(processes) -> Process:
    return processes.start_platform()


def run_with_table(platform: Process, operation):
    async def main():
        table = make_table("127.0.0.1", platform.port)
        try:
            return await operation(table)
        finally:
            await table.close()

    return run(main)


def write(platform: Process, key: RowKey, value: bytes | None, version: int | None = None):
    checks = [] if version is None else [Check(key, RowVersion(version))]
    return run_with_table(platform, lambda table: table.transact(checks, [Write(key, value)]))


def read(platform: Process, key: RowKey) -> Row | None:
    return run_with_table(platform, lambda table: table.get(key)).unwrap()


class TestTransactions:
    def test_versions_increase_and_are_not_reused_after_removal(self, platform):
        assert write(platform, KEY_A, b"one", 0).is_ok()
        assert read(platform, KEY_A) == Row(KEY_A, RowVersion(1), b"one")
        assert write(platform, KEY_A, None, 1).is_ok()
        assert read(platform, KEY_A) is None
        assert write(platform, KEY_A, b"two", 0).is_ok()
        assert read(platform, KEY_A) == Row(KEY_A, RowVersion(3), b"two")

    def test_failed_check_names_its_key_and_writes_nothing(self, platform):
        write(platform, KEY_B, b"b")
        checks = [Check(KEY_A, RowVersion(0)), Check(KEY_B, RowVersion(0))]
        writes = [Write(KEY_A, b"a"), Write(KEY_B, b"a")]
        result = run_with_table(platform, lambda table: table.transact(checks, writes))
        assert isinstance(result.unwrap_err(), TableConflictError)
        assert str(result.unwrap_err()) == KEY_B
        assert read(platform, KEY_A) is None
        assert read(platform, KEY_B).value == b"b"

    def test_scan_is_ordered_and_respects_prefix_after_and_limit(self, platform):
        keys = [RowKey(f"p/{number}") for number in (3, 1, 2, 4)]
        writes = [Write(key, b"") for key in [*keys, RowKey("q/1")]]
        run_with_table(platform, lambda table: table.transact([], writes))
        rows = run_with_table(platform, lambda table: table.scan("p/", "p/1", 2)).unwrap()
        assert [row.key for row in rows] == ["p/2", "p/3"]
        assert read_counters(platform)["writes"] == 5

    def test_malformed_transaction_is_rejected(self, platform):
        assert send(platform.port, "/table/transact", "POST", b"{").status == 400


class TestObjects:
    def test_object_is_returned_unchanged(self, platform):
        content = bytes(range(256)) * 100
        assert send(platform.port, "/objects/a%2Fb", "PUT", content).status == 200
        assert send(platform.port, "/objects/a%2Fb").body == content
        assert send(platform.port, "/objects/a").status == 404


class TestFaults:
    def test_writes_have_no_effect_while_down(self, platform):
        control(platform, mode="down")
        assert isinstance(write(platform, KEY_A, b"x").unwrap_err(), TableUnknownError)
        with pytest.raises((OSError, HTTPException)):
            send(platform.port, "/table/row?key=a")
        control(platform, mode="up")
        assert read(platform, KEY_A) is None

    def test_write_takes_effect_when_its_response_is_lost(self, platform):
        control(platform, mode="lose-answers", count=1)
        assert isinstance(write(platform, KEY_A, b"x").unwrap_err(), TableUnknownError)
        assert read(platform, KEY_A).value == b"x"
        assert write(platform, KEY_A, b"y").is_ok()

    def test_slow_delays_each_response(self, platform):
        control(platform, mode="slow", delay_s=0.3)
        started_at = monotonic()
        assert write(platform, KEY_A, b"x").is_ok()
        assert monotonic() - started_at >= 0.3

    def test_stale_reads_return_old_rows_while_checks_use_current_ones(self, platform):
        write(platform, KEY_A, b"old")
        control(platform, mode="stale-reads")
        assert write(platform, KEY_A, b"new", 1).is_ok()
        assert read(platform, KEY_A).value == b"old"
        assert write(platform, KEY_A, b"newer", 1).is_err()
        control(platform, mode="up")
        assert read(platform, KEY_A).value == b"new"

    def test_writes_beyond_the_limit_are_rejected_and_counted(self, processes):
        capped = processes.start_platform(max_writes_per_s=3)
        results = [write(capped, KEY_A, b"x") for _ in range(8)]
        rejected = [result.unwrap_err() for result in results if result.is_err()]
        assert rejected
        assert all(isinstance(error, TableUnavailableError) for error in rejected)
        assert read_counters(capped)["limited"] == len(rejected)
        assert read(capped, KEY_A).version == 8 - len(rejected)
