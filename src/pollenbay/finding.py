"""Findings of the rule checker."""

from enum import Enum

from msgspec import Struct

from pollenbay.ids import CallName, ServiceName


class Severity(Enum):
    """Severity of a finding: errors prevent publication, warnings do not."""

    ERROR = "error"
    WARNING = "warning"


class FindingKind(Enum):
    """Kinds of problems that the rule checker detects."""

    BAD_NAME = "bad-name"
    BAD_NUMBER = "bad-number"
    BAD_REFERENCE = "bad-reference"
    TOO_MANY = "too-many"
    DUPLICATE_SERVICE = "doubled-service"
    DUPLICATE_CALL = "doubled-call"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CALL = "unknown-call"
    CYCLE = "cycle"
    TOO_DEEP = "too-deep"
    LONGER_DEADLINE = "longer-deadline"
    LOWER_PRIORITY = "less-important"
    NOT_IDEMPOTENT = "not-idempotent"
    SAME_DEADLINE = "same-deadline"
    REPEATED_REFERENCE = "repeated-reference"
    NO_CALLS = "no-calls"

    @property
    def severity(self) -> Severity:
        """Return the severity of findings of this kind."""
        return Severity.WARNING if self in _WARNINGS else Severity.ERROR


_WARNINGS = frozenset(
    {FindingKind.SAME_DEADLINE, FindingKind.REPEATED_REFERENCE, FindingKind.NO_CALLS}
)


class Finding(Struct, frozen=True, kw_only=True):
    """One problem in a rule set.

    :param file: path of the rule file, or the name of the service if there is no file.
    :param call: name of the call; empty if the finding concerns the service.
    :param message: description of the problem and of the expected value.
    """

    kind: FindingKind
    severity: Severity
    file: str
    service: ServiceName
    call: CallName = CallName("")
    message: str


def make_finding(
    kind: FindingKind, file: str, service: ServiceName, call: CallName, message: str
) -> Finding:
    """Return a finding with the severity of its kind."""
    return Finding(
        kind=kind, severity=kind.severity, file=file, service=service, call=call, message=message
    )
