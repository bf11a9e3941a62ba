"""Command-line tool `pollenbay`: checks rule files and calls the administration API of nodes."""

from collections.abc import Callable
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from time import time
from typing import Any

import click
from curio import run
from result import Err, Ok, Result

from pollenbay.adminclient import AdminClient, AdminClientError, make_admin_client, read_address
from pollenbay.commands.lifecycle import DrainStarted
from pollenbay.commands.publication import AUTHOR_LENGTH_MAX, Publish
from pollenbay.ids import OperatorId, PublicationId, RuleVersion
from pollenbay.printout import (
    CheckReport,
    ExitCode,
    Failure,
    ToolVersion,
    as_json,
    as_text,
    exit_code,
    make_unreadable_files,
)
from pollenbay.publication import (
    Accepted,
    PublicationOutcome,
    make_publication_id,
    publication_epoch_s,
)
from pollenbay.publishclient import (
    PublishReport,
    publish_through,
    settle_through,
    wait_until_active,
)
from pollenbay.queries.check import check_rules, errors_of
from pollenbay.queries.history import HISTORY_DEFAULT_ENTRIES, HISTORY_MAX_ENTRIES, History
from pollenbay.queries.rules import ShownRules
from pollenbay.queries.status import Status
from pollenbay.rulefile import RuleFile, read_rule_folder

SETTLE_TIMEOUT_S = 10.0

EXIT_CODES = """\b
Exit codes:
  0  done
  1  the rules have errors, or were refused
  2  wrong usage, unreadable file, or wrong token
  3  the node or the platform cannot be reached; nothing was published
  4  unsettled: it may have been published
  5  published, but not in force on all live nodes within the wait
"""


def _admin_options(command: Callable[..., Any]) -> Callable[..., Any]:
    admin = click.option(
        "--admin",
        envvar="POLLENBAY_ADMIN",
        required=True,
        metavar="URL",
        help="Administration API of any node, http://IP-NUMBER:PORT [env POLLENBAY_ADMIN].",
    )
    token = click.option(
        "--token-file",
        envvar="POLLENBAY_TOKEN_FILE",
        required=True,
        type=click.Path(path_type=Path, dir_okay=False),
        help="File that holds the token [env POLLENBAY_TOKEN_FILE].",
    )
    return admin(token(command))


_json_option = click.option("--json", "json_output", is_flag=True, help="Print JSON.")
_folder_argument = click.argument(
    "folder", metavar="DIR", type=click.Path(path_type=Path, file_okay=False, exists=True)
)


@click.group(epilog=EXIT_CODES)
def main() -> None:
    """Check and publish the rules of a call graph, and see what its nodes do."""


@main.command(epilog="\b\nExample:\n  pollenbay check rules/\n\n" + EXIT_CODES)
@_folder_argument
@_json_option
def check(folder: Path, json_output: bool) -> None:
    """Find what is wrong with the rule files in DIR, each alone and together.

    Rule files are the .yaml files directly in DIR and files named pollenbay.yaml anywhere below.
    """
    files = _read_folder(folder, json_output)
    _exit_with(CheckReport(len(files), check_rules(files)), json_output)


@main.command(
    epilog="\b\nExamples:\n"
    "  pollenbay publish rules/ --admin http://10.0.0.7:8004 --token-file t --author anna\n"
    "  pollenbay publish rules/ --wait 10 --expect 41 ...\n"
    "  pollenbay publish --settle 1790000000-0123456789abcdef ...\n\n" + EXIT_CODES
)
@click.argument(
    "folder",
    metavar="[DIR]",
    required=False,
    type=click.Path(path_type=Path, file_okay=False, exists=True),
)
@_admin_options
@click.option("--author", help="Who publishes; the other operator sees it.")
@click.option("--expect", type=click.IntRange(0), help="Refuse unless this version is current.")
@click.option("--wait", type=click.FloatRange(0), help="Wait so many seconds until in force.")
@click.option("--settle", metavar="ID", help="Only find out what came of a publication.")
@click.option(
    "--settle-for",
    type=click.FloatRange(0),
    default=SETTLE_TIMEOUT_S,
    show_default=True,
    help="Seconds for which a lost answer is settled.",
)
@_json_option
def publish(
    folder: Path | None,
    admin: str,
    token_file: Path,
    author: str | None,
    expect: int | None,
    wait: float | None,
    settle: str | None,
    settle_for: float,
    json_output: bool,
) -> None:
    """Check the rule files in DIR and publish them as one version.

    Of two operators who publish at the same moment, one is accepted and the other is refused and
    told who was first. If an answer is lost, the tool finds out what came of it; if it cannot, it
    prints an id for --settle.
    """
    client = _make_client(admin, token_file, json_output)
    if settle is not None:
        if folder is not None:
            raise click.UsageError("give DIR or --settle, not both")
        result = run(settle_through, client, _publication_id(settle), settle_for)
    else:
        command = _publish_command(folder, author, expect, json_output)
        result = run(publish_through, client, command, settle_for)
    _report_publication(client, result, wait, json_output)


@main.command(epilog="\b\nExample:\n  pollenbay status --admin http://10.0.0.7:8004 --token-file t")
@_admin_options
@_json_option
def status(admin: str, token_file: Path, json_output: bool) -> None:
    """Show a node, and which rules every instance runs and since when."""
    _show(_make_client(admin, token_file, json_output), "/v1/status", Status, json_output)


@main.command(epilog="\b\nExample:\n  pollenbay history --limit 5 --json ...")
@_admin_options
@click.option(
    "--limit",
    type=click.IntRange(1, HISTORY_MAX_ENTRIES),
    default=HISTORY_DEFAULT_ENTRIES,
    show_default=True,
    help="Versions to show.",
)
@_json_option
def history(admin: str, token_file: Path, limit: int, json_output: bool) -> None:
    """Show who published the latest versions, newest first."""
    _show(
        _make_client(admin, token_file, json_output),
        f"/v1/history?limit={limit}",
        History,
        json_output,
    )


@main.command(epilog="\b\nExample:\n  pollenbay show --admin http://10.0.0.7:8004 --token-file t")
@_admin_options
@_json_option
def show(admin: str, token_file: Path, json_output: bool) -> None:
    """Show the rules in force on a node, as rule files."""
    _show(_make_client(admin, token_file, json_output), "/v1/rules", ShownRules, json_output)


@main.command(epilog="\b\nExample:\n  pollenbay drain --admin http://10.0.0.7:8004 --token-file t")
@_admin_options
@_json_option
def drain(admin: str, token_file: Path, json_output: bool) -> None:
    """Stop the node at --admin as planned: requests in flight end first."""
    client = _make_client(admin, token_file, json_output)
    _exit_with_result(run(client.post, "/v1/drain", {}, DrainStarted), json_output)


@main.command(name="version")
@_json_option
def show_version(json_output: bool) -> None:
    """Show the version of this tool."""
    try:
        number = version("pollenbay")
    except PackageNotFoundError:
        number = "unknown (not installed)"
    _exit_with(ToolVersion(number), json_output)


def _publish_command(
    folder: Path | None, author: str | None, expect: int | None, json_output: bool
) -> Publish:
    if folder is None:
        raise click.UsageError("expected DIR or --settle")
    if not author or len(author) > AUTHOR_LENGTH_MAX:
        raise click.UsageError(f"expected --author with 1 to {AUTHOR_LENGTH_MAX} characters")
    files = _read_folder(folder, json_output)
    findings = check_rules(files)
    if errors_of(findings):
        _exit_with(CheckReport(len(files), findings), json_output)
    for finding in findings:
        click.echo(as_text(finding), err=True)
    return Publish(
        services=tuple(file.rule for file in files),
        author=OperatorId(author),
        publication=make_publication_id(time()),
        expected_version=None if expect is None else RuleVersion(expect),
    )


def _publication_id(text: str) -> PublicationId:
    publication = PublicationId(text)
    if publication_epoch_s(publication) is None:
        raise click.UsageError(f"expected an id as publish printed it, got {text!r}")
    return publication


def _report_publication(
    client: AdminClient,
    result: Result[PublicationOutcome, AdminClientError],
    wait: float | None,
    json_output: bool,
) -> None:
    if isinstance(result, Err):
        _exit_with_error(result.err_value, json_output)
    outcome = result.ok_value
    if wait is None or not isinstance(outcome, Accepted):
        _exit_with(PublishReport(outcome=outcome), json_output)
    rollout = run(wait_until_active, client, outcome.version, wait)
    if isinstance(rollout, Ok):
        _exit_with(PublishReport(outcome=outcome, rollout=rollout.ok_value), json_output)
    _print(PublishReport(outcome=outcome), json_output)
    click.echo(f"not known whether it is in force: {rollout.err_value}", err=True)
    raise SystemExit(ExitCode.NOT_ACTIVE)


def _read_folder(folder: Path, json_output: bool) -> tuple[RuleFile, ...]:
    result = read_rule_folder(folder)
    if isinstance(result, Err):
        _exit_with(make_unreadable_files(result.err_value), json_output)
    return result.ok_value


def _make_client(admin: str, token_file: Path, json_output: bool) -> AdminClient:
    address = read_address(admin, token_file)
    if isinstance(address, Err):
        _exit_with_error(address.err_value, json_output)
    return make_admin_client(address.ok_value)


def _show(client: AdminClient, path: str, response_type: type, json_output: bool) -> None:
    _exit_with_result(run(client.get, path, response_type), json_output)


def _exit_with_result(result: Result[Any, AdminClientError], json_output: bool) -> None:
    if isinstance(result, Err):
        _exit_with_error(result.err_value, json_output)
    _exit_with(result.ok_value, json_output)


def _exit_with_error(error: AdminClientError, json_output: bool) -> None:
    _print(Failure(str(error)), json_output, err=not json_output)
    raise SystemExit(exit_code(error))


def _exit_with(value: object, json_output: bool) -> None:
    _print(value, json_output)
    raise SystemExit(exit_code(value))


def _print(value: object, json_output: bool, err: bool = False) -> None:
    click.echo(as_json(value) if json_output else as_text(value), err=err)


if __name__ == "__main__":
    main()
