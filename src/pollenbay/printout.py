"""Output and exit codes of the command-line tool, by the type of the result."""

from datetime import UTC, datetime
from enum import IntEnum
from functools import singledispatch

from msgspec import Struct, to_builtins
from msgspec.json import encode, format
from yaml import safe_dump

from pollenbay.adminclient import (
    AdminAddressError,
    AdminClientError,
    AdminRejectedError,
    AdminTokenError,
)
from pollenbay.commands.lifecycle import DrainStarted
from pollenbay.finding import Finding
from pollenbay.publication import Accepted, Invalid, NotWritten, Refused, Unsettled
from pollenbay.publishclient import PublishReport
from pollenbay.queries.check import errors_of
from pollenbay.queries.history import History
from pollenbay.queries.rules import ShownRules
from pollenbay.queries.status import MemberStatus, Status
from pollenbay.rule import RuleSet
from pollenbay.rulefile import RuleFileError

DIGEST_CHARS_SHOWN = 12
JSON_INDENT = 2


class ExitCode(IntEnum):
    """Exit codes of the command-line tool."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    UNSETTLED = 4
    NOT_ACTIVE = 5


class CheckReport(Struct, frozen=True):
    """Result of checking rule files.

    :param files: number of files read.
    """

    files: int
    findings: tuple[Finding, ...]


class UnreadableFiles(Struct, frozen=True):
    """Errors of rule files that could not be read, each with file, line, key and expected value."""

    errors: tuple[str, ...]


class Failure(Struct, frozen=True):
    """Error of a request that the node did not execute."""

    error: str


class ToolVersion(Struct, frozen=True):
    """Version of the tool."""

    version: str


def make_unreadable_files(errors: list[RuleFileError]) -> UnreadableFiles:
    """Return the printable form of the errors of rule files."""
    return UnreadableFiles(tuple(str(error) for error in errors))


def as_json(value: object) -> str:
    """Return a result as indented JSON."""
    return format(encode(value), indent=JSON_INDENT).decode("utf-8")


@singledispatch
def as_text(value: object) -> str:
    """Return a result as human-readable text.

    :raises TypeError: if the type has no text form.
    """
    raise TypeError(f"no text form for {type(value).__name__}")


@singledispatch
def exit_code(value: object) -> ExitCode:
    """Return the exit code for a result; 0 for types without an implementation of their own."""
    return ExitCode.DONE


@as_text.register
def _(value: CheckReport) -> str:
    errors = len(errors_of(value.findings))
    warnings = len(value.findings) - errors
    total = f"{value.files} rule files: {errors} errors, {warnings} warnings"
    return "\n".join([*map(as_text, value.findings), total])


@exit_code.register
def _(value: CheckReport) -> ExitCode:
    return ExitCode.REFUSED if errors_of(value.findings) else ExitCode.DONE


@as_text.register
def _(value: Finding) -> str:
    name = f"{value.service}.{value.call}" if value.call else value.service
    prefix = f"{value.file}: {name}: {value.severity.value}"
    return f"{prefix}: {value.message} [{value.kind.value}]"


@as_text.register
def _(value: UnreadableFiles) -> str:
    return "\n".join(value.errors)


@exit_code.register
def _(value: UnreadableFiles) -> ExitCode:
    return ExitCode.BAD_INPUT


@as_text.register
def _(value: PublishReport) -> str:
    lines = [as_text(value.outcome)]
    if value.rollout is not None:
        lines.append(f"in force on {len(value.rollout.reached)} live instances")
        lines += [f"not yet in force: {instance}" for instance in value.rollout.lagging]
    return "\n".join(lines)


@exit_code.register
def _(value: PublishReport) -> ExitCode:
    if value.rollout is not None and not value.rollout.complete:
        return ExitCode.NOT_ACTIVE
    return exit_code(value.outcome)


@as_text.register
def _(value: Accepted) -> str:
    suffix = "" if value.changed else " (the same rules were already published)"
    return f"accepted: version {value.version}{suffix}"


@as_text.register
def _(value: Refused) -> str:
    return f"refused: {value.message}"


@exit_code.register
def _(value: Refused) -> ExitCode:
    return ExitCode.REFUSED


@as_text.register
def _(value: Invalid) -> str:
    return "\n".join([*map(as_text, value.findings), "refused: the rules have errors"])


@exit_code.register
def _(value: Invalid) -> ExitCode:
    return ExitCode.REFUSED


@as_text.register
def _(value: NotWritten) -> str:
    return f"not published, nothing was written: {value.message}"


@exit_code.register
def _(value: NotWritten) -> ExitCode:
    return ExitCode.UNREACHABLE


@as_text.register
def _(value: Unsettled) -> str:
    return (
        f"unsettled: it may have been published ({value.message})\n"
        f"settle it with: pollenbay publish --settle {value.publication}"
    )


@exit_code.register
def _(value: Unsettled) -> ExitCode:
    return ExitCode.UNSETTLED


@as_text.register
def _(value: Status) -> str:
    refused = sum(value.rules_refused.values())
    lines = [
        f"instance {value.instance}, incarnation {value.incarnation}, {value.state.value}",
        f"rules: version {value.rule_version} since {_format_time(value.rule_adopted_at)},"
        f" {refused} rule sets refused",
    ]
    if value.load is not None:
        load = value.load
        lines.append(f"load: {load.in_flight} of {load.limit} in flight, {load.queued} queued")
    lines.append(f"{'instance':24} {'state':9} {'rules':>8} {'since':20} {'heard':>8}")
    return "\n".join([*lines, *map(as_text, value.members)])


@as_text.register
def _(value: MemberStatus) -> str:
    since, heard = _format_time(value.rule_since), f"{value.heard_ago_s:.1f} s"
    return f"{value.instance:24} {value.state.value:9} {value.rule_version:>8} {since} {heard:>8}"


@as_text.register
def _(value: History) -> str:
    lines = [f"{'version':>8} {'published':20} {'author':20} digest"]
    for entry in value.entries:
        digest = entry.digest[:DIGEST_CHARS_SHOWN]
        lines.append(
            f"{entry.version:>8} {_format_time(entry.published_at)} {entry.author:20} {digest}"
        )
    return "\n".join(lines)


@as_text.register
def _(value: ShownRules) -> str:
    rules = value.rules
    header = (
        f"# version {rules.version} by {rules.author or 'nobody'},"
        f" published {_format_time(rules.published_at)},"
        f" in force here since {_format_time(value.adopted_at)}"
    )
    return "\n".join([header, *_rule_documents(rules)])


@as_text.register
def _(value: DrainStarted) -> str:
    return f"drain begun: {value.in_progress} requests in progress, {value.wait_s:g} s at most"


@as_text.register
def _(value: Failure) -> str:
    return value.error


@as_text.register
def _(value: ToolVersion) -> str:
    return f"pollenbay {value.version}"


@exit_code.register
def _(value: AdminClientError) -> ExitCode:
    return ExitCode.UNREACHABLE


@exit_code.register(AdminAddressError)
@exit_code.register(AdminRejectedError)
@exit_code.register(AdminTokenError)
def _(value: AdminClientError) -> ExitCode:
    return ExitCode.BAD_INPUT


def _rule_documents(rules: RuleSet) -> list[str]:
    documents = [to_builtins(service) for service in rules.services]
    return ["---\n" + safe_dump(document, sort_keys=False).rstrip() for document in documents]


def _format_time(epoch_s: float) -> str:
    if epoch_s <= 0:
        return f"{'-':20}"
    return datetime.fromtimestamp(epoch_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
