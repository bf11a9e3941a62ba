"""Promise: an accepted version is in force everywhere within 5 s and never falls back."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from time import monotonic, time

from cluster import Cluster, make_cluster
from curio import run
from harness import ADDRESS, Processes, control, wait_until
from msgspec.structs import replace
from stock_cluster import STOCK, STOCK_CALLS, call_rule, two_of_stock, wait_until_known

from pollenbay.ids import Digest, OperatorId, PublicationId, RuleVersion
from pollenbay.publication import HistoryEntry
from pollenbay.rule import RuleSet, ServiceRule
from pollenbay.rulerow import CURRENT_KEY, encode_row, history_key, make_rule_set
from pollenbay.states import CallClass
from pollenbay.table import Write, make_table

IN_FORCE_WITHIN_S = 5.0
#: A few reads of the table.
REFUSED_WITHIN_S = 10.0
MORE = ServiceRule(
    service="stock", slots=4, calls=(*STOCK.calls, call_rule("count", CallClass.NORMAL))
)


def all_at(cluster: Cluster, seen: dict[str, list[int]], version: int) -> bool:
    """Tell whether all nodes have a version in force; what each has is added to `seen`."""
    versions = {name: cluster.rule_version_of(name) for name in cluster.instances}
    for name, each in versions.items():
        seen.setdefault(name, []).append(each)
    return set(versions.values()) == {version}


class TestInForce:
    """How soon a version is in force."""

    def test_within_5_s_and_never_lower(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            seen: dict[str, list[int]] = {}
            for slots in range(5, 9):
                service = ServiceRule(service="stock", slots=slots, calls=STOCK.calls)
                version = cluster.publish(service).version
                published_at = monotonic()
                wait_until(partial(all_at, cluster, seen, version), IN_FORCE_WITHIN_S)
                assert monotonic() - published_at <= IN_FORCE_WITHIN_S
            for versions in seen.values():
                assert versions == sorted(versions)

    def test_on_a_node_that_cannot_reach_the_table(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = make_cluster(processes)
            cluster.publish(STOCK)
            proxy = processes.start_proxy(cluster.platform.port)
            far = {"table": {"address": ADDRESS, "port": proxy.port, "timeout_s": 1.0}}
            cluster.add("stock-1", "stock", STOCK_CALLS)
            cluster.add("stock-2", "stock", STOCK_CALLS, node=far)
            wait_until_known(cluster)
            control(proxy, mode="cut")
            version = cluster.publish(MORE).version
            wait_until(lambda: all_at(cluster, {}, version), IN_FORCE_WITHIN_S)


class TestNeverOlder:
    """What would bring an older version, or another content of it, back."""

    def test_stale_reads_and_restart(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            control(cluster.platform, mode="stale-reads")
            version = cluster.publish(MORE).version
            control(cluster.platform, mode="up")
            wait_until(lambda: all_at(cluster, {}, version), IN_FORCE_WITHIN_S)
            control(cluster.platform, mode="stale-reads")
            cluster["stock-2"].node.kill()
            del cluster.instances["stock-2"]
            cluster.add("stock-2", "stock", STOCK_CALLS, slots=4)
            wait_until(lambda: cluster.call("stock-2", "/stock/read").status == 200, 20.0)
            assert cluster.rule_version_of("stock-2") == version

    def test_rows_that_do_not_belong_there(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            version = cluster.publish(MORE).version
            wait_until(lambda: all_at(cluster, {}, version), IN_FORCE_WITHIN_S)
            for number, fault in enumerate(("older", "conflicting", "digest"), start=1):
                wrong = _wrong_rules(version, fault)
                _write_rules(cluster, wrong, RuleVersion(version + number))
                for name in cluster.instances:
                    wait_until(partial(_has_refused, cluster, name, fault), REFUSED_WITHIN_S)
                    assert _calls_in_force(cluster, name) == ["read", "book", "count"]
                assert all_at(cluster, {}, version)


def _has_refused(cluster: Cluster, name: str, fault: str) -> bool:
    assert _calls_in_force(cluster, name) == ["read", "book", "count"]
    return cluster.ask_admin(name, "/v1/status")["rules_refused"][fault] > 0


def _calls_in_force(cluster: Cluster, name: str) -> list[str]:
    shown = cluster.ask_admin(name, "/v1/rules")
    return [call["name"] for call in shown["rules"]["services"][0]["calls"]]


def _wrong_rules(version: int, fault: str) -> RuleSet:
    newer = make_rule_set(RuleVersion(version + 1), (STOCK,), OperatorId("test"), time())
    if fault == "older":
        return make_rule_set(RuleVersion(version - 1), (STOCK,), OperatorId("test"), time())
    if fault == "conflicting":
        return make_rule_set(RuleVersion(version), (STOCK,), OperatorId("test"), time())
    return replace(newer, digest=Digest("0" * 64))


def _write_rules(cluster: Cluster, rules: RuleSet, told: RuleVersion) -> None:
    """Write rules past all checks, with a history that says that a version is newer."""
    entry = HistoryEntry(
        version=told,
        digest=rules.digest,
        author=rules.author,
        published_at=rules.published_at,
        publication=PublicationId("wrong"),
    )
    table = make_table(ADDRESS, cluster.platform.port)
    writes = [
        Write(CURRENT_KEY, encode_row(rules)),
        Write(history_key(told), encode_row(entry)),
    ]
    assert run(table.transact, [], writes).is_ok()
