"""Tests of the command-line tool, alone and against real nodes and a stand-in platform."""

import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from cluster import ADMIN_TOKEN, Cluster, make_cluster
from harness import ADDRESS, SOURCE, Processes, control, send, wait_until

from pollenbay.printout import ExitCode
from pollenbay.tool import main

RULES = """\
service: docs
calls:
  - name: get
    class: {call_class}
    wait_ms: {wait_ms}
    calls: [{calls}]
"""
COMMAND_TIMEOUT_S = 60.0
ROLLOUT_TIMEOUT_S = "5"


def _write_rules(
    folder: Path, wait_ms: int | str = 100, call_class: str = "normal", calls: str = ""
) -> Path:
    folder.mkdir(exist_ok=True)
    text = RULES.format(wait_ms=wait_ms, call_class=call_class, calls=calls)
    (folder / "docs.yaml").write_text(text)
    return folder


@dataclass
class _CommandResult:
    code: int
    out: str
    err: str

    @property
    def json(self) -> Any:
        return json.loads(self.out)


def _run_tool(*arguments: str) -> _CommandResult:
    result = CliRunner().invoke(main, list(arguments))
    if result.exception is not None and not isinstance(result.exception, SystemExit):
        raise result.exception
    return _CommandResult(result.exit_code, result.stdout, result.stderr)


class TestCheck:
    def test_valid_rules_pass(self, tmp_path: Path) -> None:
        result = _run_tool("check", str(_write_rules(tmp_path)))
        assert result.code == ExitCode.DONE
        assert "1 rule files: 0 errors, 0 warnings" in result.out

    def test_findings_are_printed(self, tmp_path: Path) -> None:
        result = _run_tool("check", str(_write_rules(tmp_path, calls="stock.get")))
        assert result.code == ExitCode.REFUSED
        assert "docs.yaml: docs.get: error: " in result.out
        assert "unknown-service" in result.out

    def test_findings_are_printed_as_json(self, tmp_path: Path) -> None:
        result = _run_tool("check", str(_write_rules(tmp_path, calls="stock.get")), "--json")
        assert result.code == ExitCode.REFUSED
        assert result.json["findings"][0]["kind"] == "unknown-service"

    def test_invalid_rule_file_is_reported_with_line_and_key(self, tmp_path: Path) -> None:
        result = _run_tool("check", str(_write_rules(tmp_path, wait_ms="soon")))
        assert result.code == ExitCode.BAD_INPUT
        assert "docs.yaml:5: $.calls[0].wait_ms: Expected `int`" in result.out

    def test_missing_folder_is_bad_input(self, tmp_path: Path) -> None:
        assert _run_tool("check", str(tmp_path / "none")).code == ExitCode.BAD_INPUT


class TestUsage:
    def test_help_has_examples_and_exit_codes(self) -> None:
        for command in ("check", "publish"):
            out = _run_tool(command, "--help").out
            assert "Example" in out
            assert "Exit codes" in out
        for command in ("status", "history", "show", "drain"):
            assert "Example" in _run_tool(command, "--help").out

    def test_version_is_printed(self) -> None:
        assert _run_tool("version").out.startswith("pollenbay ")

    @pytest.mark.parametrize(
        "more",
        [
            (),
            ("--author", ""),
            ("--author", "x" * 101),
            ("--settle", "nonsense", "--author", "a"),
        ],
    )
    def test_publish_requires_valid_options(self, tmp_path: Path, more: tuple[str, ...]) -> None:
        token = tmp_path / "token"
        token.write_text(ADMIN_TOKEN)
        options = ("--admin", "http://127.0.0.1:1", "--token-file", str(token))
        rules = str(_write_rules(tmp_path / "rules"))
        assert _run_tool("publish", rules, *options, *more).code == ExitCode.BAD_INPUT
        assert _run_tool("publish", *options).code == ExitCode.BAD_INPUT

    @pytest.mark.parametrize(
        "url", ["127.0.0.1:80", "http://name:80", "http://127.0.0.1", "https://127.0.0.1:1", "x"]
    )
    def test_invalid_admin_url_is_rejected(self, tmp_path: Path, url: str) -> None:
        token = tmp_path / "token"
        token.write_text(ADMIN_TOKEN)
        result = _run_tool("status", "--admin", url, "--token-file", str(token))
        assert result.code == ExitCode.BAD_INPUT
        assert "http://IP-NUMBER:PORT" in result.err

    @pytest.mark.parametrize("content", [None, b"", b"two words", b"\xff"])
    def test_invalid_token_file_is_rejected(self, tmp_path: Path, content: bytes | None) -> None:
        token = tmp_path / "token"
        if content is not None:
            token.write_bytes(content)
        result = _run_tool("status", "--admin", "http://127.0.0.1:1", "--token-file", str(token))
        assert result.code == ExitCode.BAD_INPUT

    def test_absent_node_is_unreachable(self, tmp_path: Path) -> None:
        token = tmp_path / "token"
        token.write_text(ADMIN_TOKEN)
        options = ("--admin", "http://127.0.0.1:1", "--token-file", str(token))
        assert _run_tool("status", *options).code == ExitCode.UNREACHABLE
        rules = str(_write_rules(tmp_path / "rules"))
        result = _run_tool("publish", rules, *options, "--author", "anna")
        assert result.code == ExitCode.UNREACHABLE


@dataclass
class _Operator:
    """Runs the command-line tool as an operator of real nodes."""

    cluster: Cluster
    folder: Path
    token: Path

    def admin_options(self, port: int) -> tuple[str, ...]:
        return ("--admin", f"http://{ADDRESS}:{port}", "--token-file", str(self.token))

    def run(self, name: str, command: str, *more: str) -> _CommandResult:
        return _run_tool(command, *self.admin_options(self.cluster[name].admin_port), *more)

    def publish(self, port: int, wait_ms: int, *more: str, author: str = "anna") -> _CommandResult:
        return _run_tool(*self.publish_arguments(port, wait_ms, *more, author=author))

    def publish_arguments(
        self, port: int, wait_ms: int, *more: str, author: str = "anna"
    ) -> list[str]:
        rules = _write_rules(self.folder / f"rules-{wait_ms}", wait_ms)
        return [
            "publish",
            str(rules),
            *self.admin_options(port),
            "--author",
            author,
            "--json",
            *more,
        ]

    def version(self) -> int:
        """Return the newest rule version in the table."""
        entries = self.run("docs-1", "history", "--json").json["entries"]
        return entries[0]["version"] if entries else 0


@pytest.fixture(scope="module")
def operator(tmp_path_factory: pytest.TempPathFactory):
    """Yield an operator of two nodes that are members of each other's view."""
    folder = tmp_path_factory.mktemp("tool")
    token = folder / "token"
    token.write_text(ADMIN_TOKEN + "\n")
    with Processes(folder) as processes:
        cluster = make_cluster(processes)
        for name in ("docs-1", "docs-2"):
            cluster.add(name, "docs", [{"name": "get", "service_ms": 1}])
        operator = _Operator(cluster, folder, token)
        wait_until(lambda: len(_members(operator)) == 2, 15.0, "two members")
        yield operator


def _members(operator: _Operator) -> list[Any]:
    return operator.run("docs-1", "status", "--json").json["members"]


class TestRealNodes:
    def test_published_rules_are_active_on_all_nodes(self, operator: _Operator) -> None:
        admin = operator.cluster["docs-1"].admin_port
        result = operator.publish(admin, 101, "--wait", ROLLOUT_TIMEOUT_S)
        assert result.code == ExitCode.DONE
        assert result.json["outcome"]["outcome"] == "accepted"
        assert result.json["rollout"]["reached"] == ["docs-1", "docs-2"]
        for name in ("docs-1", "docs-2"):
            rules = operator.run(name, "show", "--json").json["rules"]
            assert rules["services"][0]["calls"][0]["wait_ms"] == 101

    def test_text_output_shows_members_history_and_rules(self, operator: _Operator) -> None:
        operator.publish(operator.cluster["docs-1"].admin_port, 102, "--wait", ROLLOUT_TIMEOUT_S)
        assert "docs-2" in operator.run("docs-1", "status").out
        assert "anna" in operator.run("docs-1", "history").out
        assert "wait_ms: 102" in operator.run("docs-2", "show").out

    def test_republished_rules_keep_the_version(self, operator: _Operator) -> None:
        admin = operator.cluster["docs-1"].admin_port
        first = operator.publish(admin, 103)
        again = operator.publish(admin, 103, author="bela")
        assert again.code == ExitCode.DONE
        assert again.json["outcome"]["version"] == first.json["outcome"]["version"]
        assert again.json["outcome"]["changed"] is False

    def test_one_of_two_concurrent_publications_is_refused(self, operator: _Operator) -> None:
        version = operator.version()
        started = [
            _start_tool(
                operator.publish_arguments(
                    operator.cluster[name].admin_port,
                    wait_ms,
                    "--expect",
                    str(version),
                    author=author,
                )
            )
            for name, wait_ms, author in (("docs-1", 201, "anna"), ("docs-2", 202, "bela"))
        ]
        results = [_wait_for_result(popen) for popen in started]
        assert sorted(result.code for result in results) == [ExitCode.DONE, ExitCode.REFUSED]
        winner = next(index for index, each in enumerate(results) if each.code == ExitCode.DONE)
        refused = results[1 - winner].json["outcome"]
        assert refused["author"] == ("anna", "bela")[winner]
        assert refused["version"] == version + 1 == operator.version()

    def test_wrong_token_is_rejected(self, operator: _Operator) -> None:
        wrong = operator.folder / "wrong"
        wrong.write_text("wrong-token-0123456789")
        options = operator.admin_options(operator.cluster["docs-1"].admin_port)[:2]
        result = _run_tool("status", *options, "--token-file", str(wrong))
        assert result.code == ExitCode.BAD_INPUT
        assert "token" in result.err


class TestFaults:
    def test_lost_table_response_after_the_write_is_resolved(self, operator: _Operator) -> None:
        version = operator.version()
        control(operator.cluster.platform, mode="lose-answers", count=1)
        result = operator.publish(operator.cluster["docs-1"].admin_port, 301)
        assert result.code == ExitCode.DONE
        assert result.json["outcome"]["version"] == version + 1 == operator.version()

    @pytest.mark.parametrize("fault", [{"mode": "down"}, {"mode": "slow", "delay_s": 2.0}])
    def test_publish_fails_unwritten_while_the_table_is_down_or_slow(
        self, operator: _Operator, fault: dict[str, Any]
    ) -> None:
        version = operator.version()
        control(operator.cluster.platform, **fault)
        try:
            result = operator.publish(operator.cluster["docs-1"].admin_port, 302)
            history = operator.run("docs-1", "history")
        finally:
            control(operator.cluster.platform, mode="up")
        assert result.code == ExitCode.UNREACHABLE
        assert result.json["outcome"]["outcome"] == "not-written"
        assert history.code == ExitCode.UNREACHABLE
        assert operator.version() == version

    def test_second_publish_on_stale_reads_is_refused(self, operator: _Operator) -> None:
        version = operator.version()
        control(operator.cluster.platform, mode="stale-reads")
        try:
            first = operator.publish(operator.cluster["docs-1"].admin_port, 306)
            second = operator.publish(operator.cluster["docs-1"].admin_port, 307)
        finally:
            control(operator.cluster.platform, mode="up")
        assert first.code == ExitCode.DONE
        assert second.code == ExitCode.REFUSED
        assert first.json["outcome"]["version"] == version + 1 == operator.version()

    def test_lost_node_response_is_resolved(self, operator: _Operator) -> None:
        version = operator.version()
        proxy = operator.cluster.processes.start_proxy(operator.cluster["docs-1"].admin_port)
        control(proxy, mode="lose-answer", count=1)
        result = operator.publish(proxy.port, 303)
        assert result.code == ExitCode.DONE
        assert result.json["outcome"]["version"] == version + 1 == operator.version()

    def test_lasting_loss_of_the_node_is_unsettled_and_settled_by_id(
        self, operator: _Operator
    ) -> None:
        version = operator.version()
        proxy = operator.cluster.processes.start_proxy(operator.cluster["docs-1"].admin_port)
        control(proxy, mode="lose-answer", count=1000)
        result = operator.publish(proxy.port, 304, "--settle-for", "1")
        assert result.code == ExitCode.UNSETTLED
        publication = result.json["outcome"]["publication"]
        settled = operator.run("docs-2", "publish", "--settle", publication, "--json")
        assert settled.code == ExitCode.DONE
        assert settled.json["outcome"]["version"] == version + 1 == operator.version()

    def test_lagging_node_is_listed(self, operator: _Operator) -> None:
        paused = operator.cluster["docs-2"].node
        paused.pause()
        try:
            result = operator.publish(operator.cluster["docs-1"].admin_port, 305, "--wait", "1")
        finally:
            paused.resume()
        assert result.code == ExitCode.NOT_ACTIVE
        assert result.json["rollout"]["lagging"] == ["docs-2"]
        assert result.json["rollout"]["reached"] == ["docs-1"]

    def test_resumed_node_catches_up(self, operator: _Operator) -> None:
        version = operator.version()
        wait_until(
            lambda: operator.run("docs-2", "status", "--json").json["rule_version"] == version,
            15.0,
            "the paused node to catch up",
        )


class TestDrain:
    def test_drained_node_exits(self, operator: _Operator) -> None:
        instance = operator.cluster["docs-2"]
        result = operator.run("docs-2", "drain", "--json")
        assert result.code == ExitCode.DONE
        assert result.json["wait_s"] == 10.0
        assert instance.node.wait() == 0
        assert operator.run("docs-2", "status").code == ExitCode.UNREACHABLE

    def test_other_node_still_serves_health_and_metrics(self, operator: _Operator) -> None:
        admin = operator.cluster["docs-1"].admin_port
        assert send(admin, "/healthz").status == 200
        assert b"pollenbay_rule_version" in send(admin, "/metrics").body


def _start_tool(arguments: list[str]) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "pollenbay.tool", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={"PYTHONPATH": str(SOURCE)},
    )


def _wait_for_result(popen: subprocess.Popen[str]) -> _CommandResult:
    out, err = popen.communicate(timeout=COMMAND_TIMEOUT_S)
    return _CommandResult(popen.returncode, out, err)
