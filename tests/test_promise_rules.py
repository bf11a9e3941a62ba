"""Promise: an accepted rule version is active on all nodes within 5 s and is never rolled back."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from time import monotonic, time

from cluster import Cluster, make_cluster
from curio import run
from harness import ADDRESS, Processes, control, wait_until
from msgspec.structs import replace
from stock_cluster import STOCK, STOCK_CALLS, call_rule, start_stock_pair, wait_until_all_serving

from pollenbay.ids import Digest, OperatorId, PublicationId, RuleVersion
from pollenbay.publication import HistoryEntry
from pollenbay.rule import RuleSet, ServiceRule
from pollenbay.rulerow import CURRENT_RULES_KEY, encode_row, history_key, make_rule_set
from pollenbay.states import CallClass
from pollenbay.table import Write, make_table

ACTIVE_WITHIN_S = 5.0
#: Enough time for a few reads of the table.
REJECTED_WITHIN_S = 10.0
EXTENDED_STOCK = ServiceRule(
    service="stock", slots=4, calls=(*STOCK.calls, call_rule("count", CallClass.NORMAL))
)


def all_run_version(cluster: Cluster, observed: dict[str, list[int]], version: int) -> bool:
    """Return whether a version is active on all nodes; append each node's version to `observed`."""
    versions = {name: cluster.rule_version_of(name) for name in cluster.instances}
    for name, each in versions.items():
        observed.setdefault(name, []).append(each)
    return set(versions.values()) == {version}


class TestActivation:
    def test_version_is_active_in_time_and_never_decreases(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            observed: dict[str, list[int]] = {}
            for slots in range(5, 9):
                service = ServiceRule(service="stock", slots=slots, calls=STOCK.calls)
                version = cluster.publish(service).version
                published_at = monotonic()
                wait_until(partial(all_run_version, cluster, observed, version), ACTIVE_WITHIN_S)
                assert monotonic() - published_at <= ACTIVE_WITHIN_S
            for versions in observed.values():
                assert versions == sorted(versions)

    def test_version_reaches_a_node_cut_off_from_the_table(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = make_cluster(processes)
            cluster.publish(STOCK)
            proxy = processes.start_proxy(cluster.platform.port)
            proxied_table = {"table": {"address": ADDRESS, "port": proxy.port, "timeout_s": 1.0}}
            cluster.add("stock-1", "stock", STOCK_CALLS)
            cluster.add("stock-2", "stock", STOCK_CALLS, node=proxied_table)
            wait_until_all_serving(cluster)
            control(proxy, mode="cut")
            version = cluster.publish(EXTENDED_STOCK).version
            wait_until(lambda: all_run_version(cluster, {}, version), ACTIVE_WITHIN_S)


class TestNoRollback:
    """Table contents that would activate an older version or change the content of a version."""

    def test_stale_reads_and_restart_bring_back_no_older_version(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            control(cluster.platform, mode="stale-reads")
            version = cluster.publish(EXTENDED_STOCK).version
            control(cluster.platform, mode="up")
            wait_until(lambda: all_run_version(cluster, {}, version), ACTIVE_WITHIN_S)
            control(cluster.platform, mode="stale-reads")
            cluster["stock-2"].node.kill()
            del cluster.instances["stock-2"]
            cluster.add("stock-2", "stock", STOCK_CALLS, slots=4)
            wait_until(lambda: cluster.call("stock-2", "/stock/read").status == 200, 20.0)
            assert cluster.rule_version_of("stock-2") == version

    def test_invalid_rule_rows_are_rejected(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            version = cluster.publish(EXTENDED_STOCK).version
            wait_until(lambda: all_run_version(cluster, {}, version), ACTIVE_WITHIN_S)
            for number, fault in enumerate(("older", "conflicting", "digest"), start=1):
                invalid = _invalid_rules(version, fault)
                _write_rules(cluster, invalid, RuleVersion(version + number))
                for name in cluster.instances:
                    wait_until(partial(_has_rejected, cluster, name, fault), REJECTED_WITHIN_S)
                    assert _active_calls(cluster, name) == ["read", "book", "count"]
                assert all_run_version(cluster, {}, version)


def _has_rejected(cluster: Cluster, name: str, fault: str) -> bool:
    assert _active_calls(cluster, name) == ["read", "book", "count"]
    return cluster.get_admin(name, "/v1/status")["rules_refused"][fault] > 0


def _active_calls(cluster: Cluster, name: str) -> list[str]:
    shown = cluster.get_admin(name, "/v1/rules")
    return [call["name"] for call in shown["rules"]["services"][0]["calls"]]


def _invalid_rules(version: int, fault: str) -> RuleSet:
    newer = make_rule_set(RuleVersion(version + 1), (STOCK,), OperatorId("test"), time())
    if fault == "older":
        return make_rule_set(RuleVersion(version - 1), (STOCK,), OperatorId("test"), time())
    if fault == "conflicting":
        return make_rule_set(RuleVersion(version), (STOCK,), OperatorId("test"), time())
    return replace(newer, digest=Digest("0" * 64))


def _write_rules(cluster: Cluster, rules: RuleSet, listed_version: RuleVersion) -> None:
    """Write rules without any checks, with a history entry for `listed_version`."""
    entry = HistoryEntry(
        version=listed_version,
        digest=rules.digest,
        author=rules.author,
        published_at=rules.published_at,
        publication=PublicationId("wrong"),
    )
    table = make_table(ADDRESS, cluster.platform.port)
    writes = [
        Write(CURRENT_RULES_KEY, encode_row(rules)),
        Write(history_key(listed_version), encode_row(entry)),
    ]
    assert run(table.transact, [], writes).is_ok()
