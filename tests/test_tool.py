"""Tests of the command-line tool, alone and against real nodes and the platform's stand-in."""

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
DONE_WITHIN_S = 60.0
IN_FORCE_WITHIN_S = "5"


def _write_rules(
    folder: Path, wait_ms: int | str = 100, call_class: str = "normal", calls: str = ""
) -> Path:
    folder.mkdir(exist_ok=True)
    text = RULES.format(wait_ms=wait_ms, call_class=call_class, calls=calls)
    (folder / "docs.yaml").write_text(text)
    return folder


@dataclass
class _Ran:
    code: int
    out: str
    err: str

    @property
    def json(self) -> Any:
        return json.loads(self.out)


def _run(*arguments: str) -> _Ran:
    result = CliRunner().invoke(main, list(arguments))
    if result.exception is not None and not isinstance(result.exception, SystemExit):
        raise result.exception
    return _Ran(result.exit_code, result.stdout, result.stderr)


class TestCheck:
    def test_good_rules(self, tmp_path: Path) -> None:
        ran = _run("check", str(_write_rules(tmp_path)))
        assert ran.code == ExitCode.DONE
        assert "1 rule files: 0 errors, 0 warnings" in ran.out

    def test_findings(self, tmp_path: Path) -> None:
        ran = _run("check", str(_write_rules(tmp_path, calls="stock.get")))
        assert ran.code == ExitCode.REFUSED
        assert "docs.yaml: docs.get: error: " in ran.out
        assert "unknown-service" in ran.out

    def test_json(self, tmp_path: Path) -> None:
        ran = _run("check", str(_write_rules(tmp_path, calls="stock.get")), "--json")
        assert ran.code == ExitCode.REFUSED
        assert ran.json["findings"][0]["kind"] == "unknown-service"

    def test_unreadable_file(self, tmp_path: Path) -> None:
        ran = _run("check", str(_write_rules(tmp_path, wait_ms="soon")))
        assert ran.code == ExitCode.BAD_INPUT
        assert "docs.yaml:5: $.calls[0].wait_ms: Expected `int`" in ran.out

    def test_missing_folder(self, tmp_path: Path) -> None:
        assert _run("check", str(tmp_path / "none")).code == ExitCode.BAD_INPUT


class TestUsage:
    def test_help_has_examples_and_exit_codes(self) -> None:
        for command in ("check", "publish"):
            out = _run(command, "--help").out
            assert "Example" in out
            assert "Exit codes" in out
        for command in ("status", "history", "show", "drain"):
            assert "Example" in _run(command, "--help").out

    def test_version(self) -> None:
        assert _run("version").out.startswith("pollenbay ")

    @pytest.mark.parametrize(
        "more",
        [
            (),
            ("--author", ""),
            ("--author", "x" * 101),
            ("--settle", "nonsense", "--author", "a"),
        ],
    )
    def test_publish_wants_its_options(self, tmp_path: Path, more: tuple[str, ...]) -> None:
        token = tmp_path / "token"
        token.write_text(ADMIN_TOKEN)
        place = ("--admin", "http://127.0.0.1:1", "--token-file", str(token))
        rules = str(_write_rules(tmp_path / "rules"))
        assert _run("publish", rules, *place, *more).code == ExitCode.BAD_INPUT
        assert _run("publish", *place).code == ExitCode.BAD_INPUT

    @pytest.mark.parametrize(
        "url", ["127.0.0.1:80", "http://name:80", "http://127.0.0.1", "https://127.0.0.1:1", "x"]
    )
    def test_bad_url(self, tmp_path: Path, url: str) -> None:
        token = tmp_path / "token"
        token.write_text(ADMIN_TOKEN)
        ran = _run("status", "--admin", url, "--token-file", str(token))
        assert ran.code == ExitCode.BAD_INPUT
        assert "http://IP-NUMBER:PORT" in ran.err

    @pytest.mark.parametrize("content", [None, b"", b"two words", b"\xff"])
    def test_bad_token_file(self, tmp_path: Path, content: bytes | None) -> None:
        token = tmp_path / "token"
        if content is not None:
            token.write_bytes(content)
        ran = _run("status", "--admin", "http://127.0.0.1:1", "--token-file", str(token))
        assert ran.code == ExitCode.BAD_INPUT

    def test_node_that_is_not_there(self, tmp_path: Path) -> None:
        token = tmp_path / "token"
        token.write_text(ADMIN_TOKEN)
        place = ("--admin", "http://127.0.0.1:1", "--token-file", str(token))
        assert _run("status", *place).code == ExitCode.UNREACHABLE
        rules = str(_write_rules(tmp_path / "rules"))
        ran = _run("publish", rules, *place, "--author", "anna")
        assert ran.code == ExitCode.UNREACHABLE


@dataclass
class _Operator:
    """An operator's options for real nodes."""

    cluster: Cluster
    folder: Path
    token: Path

    def place(self, port: int) -> tuple[str, ...]:
        return ("--admin", f"http://{ADDRESS}:{port}", "--token-file", str(self.token))

    def ask(self, name: str, command: str, *more: str) -> _Ran:
        return _run(command, *self.place(self.cluster[name].admin), *more)

    def publish(self, port: int, wait_ms: int, *more: str, author: str = "anna") -> _Ran:
        return _run(*self.publish_arguments(port, wait_ms, *more, author=author))

    def publish_arguments(
        self, port: int, wait_ms: int, *more: str, author: str = "anna"
    ) -> list[str]:
        rules = _write_rules(self.folder / f"rules-{wait_ms}", wait_ms)
        return ["publish", str(rules), *self.place(port), "--author", author, "--json", *more]

    def version(self) -> int:
        """Return the version that the table holds."""
        entries = self.ask("docs-1", "history", "--json").json["entries"]
        return entries[0]["version"] if entries else 0


@pytest.fixture(scope="module")
def operator(tmp_path_factory: pytest.TempPathFactory):
    """Yield an operator of two nodes that know each other."""
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
    return operator.ask("docs-1", "status", "--json").json["members"]


class TestRealNodes:
    def test_published_rules_are_in_force_on_all(self, operator: _Operator) -> None:
        admin = operator.cluster["docs-1"].admin
        ran = operator.publish(admin, 101, "--wait", IN_FORCE_WITHIN_S)
        assert ran.code == ExitCode.DONE
        assert ran.json["outcome"]["outcome"] == "accepted"
        assert ran.json["rollout"]["reached"] == ["docs-1", "docs-2"]
        for name in ("docs-1", "docs-2"):
            rules = operator.ask(name, "show", "--json").json["rules"]
            assert rules["services"][0]["calls"][0]["wait_ms"] == 101

    def test_people_can_read_everything(self, operator: _Operator) -> None:
        operator.publish(operator.cluster["docs-1"].admin, 102, "--wait", IN_FORCE_WITHIN_S)
        assert "docs-2" in operator.ask("docs-1", "status").out
        assert "anna" in operator.ask("docs-1", "history").out
        assert "wait_ms: 102" in operator.ask("docs-2", "show").out

    def test_same_rules_again_keep_the_version(self, operator: _Operator) -> None:
        admin = operator.cluster["docs-1"].admin
        first = operator.publish(admin, 103)
        again = operator.publish(admin, 103, author="bela")
        assert again.code == ExitCode.DONE
        assert again.json["outcome"]["version"] == first.json["outcome"]["version"]
        assert again.json["outcome"]["changed"] is False

    def test_two_operators_at_once(self, operator: _Operator) -> None:
        version = operator.version()
        started = [
            _start(
                operator.publish_arguments(
                    operator.cluster[name].admin,
                    wait_ms,
                    "--expect",
                    str(version),
                    author=author,
                )
            )
            for name, wait_ms, author in (("docs-1", 201, "anna"), ("docs-2", 202, "bela"))
        ]
        results = [_result(popen) for popen in started]
        assert sorted(result.code for result in results) == [ExitCode.DONE, ExitCode.REFUSED]
        winner = next(index for index, each in enumerate(results) if each.code == ExitCode.DONE)
        refused = results[1 - winner].json["outcome"]
        assert refused["author"] == ("anna", "bela")[winner]
        assert refused["version"] == version + 1 == operator.version()

    def test_wrong_token(self, operator: _Operator) -> None:
        wrong = operator.folder / "wrong"
        wrong.write_text("wrong-token-0123456789")
        place = operator.place(operator.cluster["docs-1"].admin)[:2]
        ran = _run("status", *place, "--token-file", str(wrong))
        assert ran.code == ExitCode.BAD_INPUT
        assert "token" in ran.err


class TestFaults:
    def test_answer_of_the_table_lost_after_the_write(self, operator: _Operator) -> None:
        version = operator.version()
        control(operator.cluster.platform, mode="lose-answers", count=1)
        ran = operator.publish(operator.cluster["docs-1"].admin, 301)
        assert ran.code == ExitCode.DONE
        assert ran.json["outcome"]["version"] == version + 1 == operator.version()

    @pytest.mark.parametrize("fault", [{"mode": "down"}, {"mode": "slow", "delay_s": 2.0}])
    def test_table_down_or_slow(self, operator: _Operator, fault: dict[str, Any]) -> None:
        version = operator.version()
        control(operator.cluster.platform, **fault)
        try:
            ran = operator.publish(operator.cluster["docs-1"].admin, 302)
            history = operator.ask("docs-1", "history")
        finally:
            control(operator.cluster.platform, mode="up")
        assert ran.code == ExitCode.UNREACHABLE
        assert ran.json["outcome"]["outcome"] == "not-written"
        assert history.code == ExitCode.UNREACHABLE
        assert operator.version() == version

    def test_stale_reads_of_the_table(self, operator: _Operator) -> None:
        version = operator.version()
        control(operator.cluster.platform, mode="stale-reads")
        try:
            first = operator.publish(operator.cluster["docs-1"].admin, 306)
            second = operator.publish(operator.cluster["docs-1"].admin, 307)
        finally:
            control(operator.cluster.platform, mode="up")
        assert first.code == ExitCode.DONE
        assert second.code == ExitCode.REFUSED
        assert first.json["outcome"]["version"] == version + 1 == operator.version()

    def test_answer_of_the_node_lost(self, operator: _Operator) -> None:
        version = operator.version()
        proxy = operator.cluster.processes.start_proxy(operator.cluster["docs-1"].admin)
        control(proxy, mode="lose-answer", count=1)
        ran = operator.publish(proxy.port, 303)
        assert ran.code == ExitCode.DONE
        assert ran.json["outcome"]["version"] == version + 1 == operator.version()

    def test_node_lost_for_long_is_unsettled_and_settled_by_the_id(
        self, operator: _Operator
    ) -> None:
        version = operator.version()
        proxy = operator.cluster.processes.start_proxy(operator.cluster["docs-1"].admin)
        control(proxy, mode="lose-answer", count=1000)
        ran = operator.publish(proxy.port, 304, "--settle-for", "1")
        assert ran.code == ExitCode.UNSETTLED
        publication = ran.json["outcome"]["publication"]
        settled = operator.ask("docs-2", "publish", "--settle", publication, "--json")
        assert settled.code == ExitCode.DONE
        assert settled.json["outcome"]["version"] == version + 1 == operator.version()

    def test_node_that_lags_is_named(self, operator: _Operator) -> None:
        paused = operator.cluster["docs-2"].node
        paused.pause()
        try:
            ran = operator.publish(operator.cluster["docs-1"].admin, 305, "--wait", "1")
        finally:
            paused.resume()
        assert ran.code == ExitCode.NOT_IN_FORCE
        assert ran.json["rollout"]["lagging"] == ["docs-2"]
        assert ran.json["rollout"]["reached"] == ["docs-1"]

    def test_node_that_was_paused_catches_up(self, operator: _Operator) -> None:
        version = operator.version()
        wait_until(
            lambda: operator.ask("docs-2", "status", "--json").json["rule_version"] == version,
            15.0,
            "the paused node to catch up",
        )


class TestDrain:
    def test_drained_node_ends(self, operator: _Operator) -> None:
        instance = operator.cluster["docs-2"]
        ran = operator.ask("docs-2", "drain", "--json")
        assert ran.code == ExitCode.DONE
        assert ran.json["wait_s"] == 10.0
        assert instance.node.wait() == 0
        assert operator.ask("docs-2", "status").code == ExitCode.UNREACHABLE

    def test_health_and_metrics_of_the_other(self, operator: _Operator) -> None:
        admin = operator.cluster["docs-1"].admin
        assert send(admin, "/healthz").status == 200
        assert b"pollenbay_rule_version" in send(admin, "/metrics").body


def _start(arguments: list[str]) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "pollenbay.tool", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={"PYTHONPATH": str(SOURCE)},
    )


def _result(popen: subprocess.Popen[str]) -> _Ran:
    out, err = popen.communicate(timeout=DONE_WITHIN_S)
    return _Ran(popen.returncode, out, err)
