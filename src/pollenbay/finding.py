"""What a check of rules has found."""

from enum import Enum

from msgspec import Struct

from pollenbay.ids import CallName, ServiceName


class Severity(Enum):
    """Whether a finding keeps rules from being published."""

    ERROR = "error"
    WARNING = "warning"


class FindingKind(Enum):
    """What is wrong."""

    BAD_NAME = "bad-name"
    BAD_NUMBER = "bad-number"
    BAD_REFERENCE = "bad-reference"
    TOO_MANY = "too-many"
    DOUBLED_SERVICE = "doubled-service"
    DOUBLED_CALL = "doubled-call"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CALL = "unknown-call"
    CYCLE = "cycle"
    TOO_DEEP = "too-deep"
    LONGER_DEADLINE = "longer-deadline"
    LESS_IMPORTANT = "less-important"
    NOT_IDEMPOTENT = "not-idempotent"
    SAME_DEADLINE = "same-deadline"
    REPEATED_REFERENCE = "repeated-reference"
    NO_CALLS = "no-calls"

    @property
    def severity(self) -> Severity:
        """Return whether rules with such a finding can be published."""
        return Severity.WARNING if self in _WARNINGS else Severity.ERROR


_WARNINGS = frozenset(
    {FindingKind.SAME_DEADLINE, FindingKind.REPEATED_REFERENCE, FindingKind.NO_CALLS}
)


class Finding(Struct, frozen=True, kw_only=True):
    """One thing that is wrong.

    :param file: the rule file; the name of the service when the rules came without files.
    :param call: the call concerned; empty if it is the whole service.
    :param message: what is wrong and what is expected.
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
