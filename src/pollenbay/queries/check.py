"""Checks of rules, within one service and across services."""

import re
from collections.abc import Iterator, Sequence
from graphlib import CycleError, TopologicalSorter

from pollenbay.finding import Finding, FindingKind, Severity, make_finding
from pollenbay.ids import CallName, ServiceName
from pollenbay.rule import CallRule, ServiceRule
from pollenbay.rulefile import RuleFile

DEPTH_MAX_CALLS = 13
NAME_LENGTH_MAX = 63
SERVICES_MAX = 1000
CALLS_MAX = 200
REFERENCES_MAX = 100
SLOTS_MAX = 100_000
WAIT_MAX_MS = 600_000
RETRIES_MAX = 20
#: Maximum number of cycles reported at once; each hides others until it is fixed.
CYCLES_MAX = 20

_NAME = re.compile(rf"[a-z0-9-]{{1,{NAME_LENGTH_MAX}}}")
_NO_CALL = CallName("")

_Address = tuple[ServiceName, CallName]


class _Call:
    """A call of a rule file together with those of its callees that exist."""

    def __init__(self, file: str, service: ServiceName, rule: CallRule) -> None:
        self.file = file
        self.service = service
        self.rule = rule
        self.callees: list[_Call] = []

    @property
    def address(self) -> _Address:
        return self.service, self.rule.name

    @property
    def label(self) -> str:
        return f"{self.service}.{self.rule.name}"

    def finding(self, kind: FindingKind, message: str) -> Finding:
        return make_finding(kind, self.file, self.service, self.rule.name, message)


def check_rules(files: Sequence[RuleFile]) -> tuple[Finding, ...]:
    """Return all findings in rule files, errors first, then by file and call."""
    if len(files) > SERVICES_MAX:
        return (_too_many_services(files),)
    findings: list[Finding] = []
    for file in files:
        findings.extend(_check_service(file))
    findings.extend(_check_duplicate_services(files))
    calls = _index_calls(files)
    for call in calls.values():
        findings.extend(_link_callees(call, calls, files))
    for call in calls.values():
        findings.extend(_check_edges(call))
    findings.extend(_check_graph(calls))
    return tuple(sorted(findings, key=_sort_key))


def check_services(services: Sequence[ServiceRule]) -> tuple[Finding, ...]:
    """Return all findings in rules that did not come from files."""
    return check_rules([RuleFile(rule.service, rule) for rule in services])


def errors_of(findings: Sequence[Finding]) -> tuple[Finding, ...]:
    """Return the findings that prevent rules from being published."""
    return tuple(finding for finding in findings if finding.severity is Severity.ERROR)


def _sort_key(finding: Finding) -> tuple[int, str, str, str, str, str]:
    rank = 0 if finding.severity is Severity.ERROR else 1
    kind = finding.kind.value
    return rank, finding.file, finding.service, finding.call, kind, finding.message


def _too_many_services(files: Sequence[RuleFile]) -> Finding:
    message = f"expected {SERVICES_MAX} services or fewer, got {len(files)}"
    first = files[0]
    return make_finding(FindingKind.TOO_MANY, first.file, first.rule.service, _NO_CALL, message)


def _check_service(file: RuleFile) -> Iterator[Finding]:
    rule = file.rule

    def finding(kind: FindingKind, message: str) -> Finding:
        return make_finding(kind, file.file, rule.service, _NO_CALL, message)

    if not _NAME.fullmatch(rule.service):
        yield finding(FindingKind.BAD_NAME, _name_message("service", rule.service))
    if not 1 <= rule.slots <= SLOTS_MAX:
        yield finding(FindingKind.BAD_NUMBER, _number_message("slots", 1, SLOTS_MAX, rule.slots))
    if not rule.calls:
        yield finding(FindingKind.NO_CALLS, "the service has no calls")
    if len(rule.calls) > CALLS_MAX:
        message = f"expected {CALLS_MAX} calls or fewer, got {len(rule.calls)}"
        yield finding(FindingKind.TOO_MANY, message)
    seen: set[CallName] = set()
    for call in rule.calls:
        yield from _check_call(_Call(file.file, rule.service, call))
        if call.name in seen:
            message = f"call {call.name!r} is given more than once"
            yield make_finding(
                FindingKind.DUPLICATE_CALL, file.file, rule.service, call.name, message
            )
        seen.add(call.name)


def _check_call(call: _Call) -> Iterator[Finding]:
    rule = call.rule
    if not _NAME.fullmatch(rule.name):
        yield call.finding(FindingKind.BAD_NAME, _name_message("call", rule.name))
    if not 1 <= rule.wait_ms <= WAIT_MAX_MS:
        message = _number_message("wait_ms", 1, WAIT_MAX_MS, rule.wait_ms)
        yield call.finding(FindingKind.BAD_NUMBER, message)
    if not 0 <= rule.retries <= RETRIES_MAX:
        message = _number_message("retries", 0, RETRIES_MAX, rule.retries)
        yield call.finding(FindingKind.BAD_NUMBER, message)
    if len(rule.calls) > REFERENCES_MAX:
        message = f"expected {REFERENCES_MAX} calls made or fewer, got {len(rule.calls)}"
        yield call.finding(FindingKind.TOO_MANY, message)


def _name_message(kind: str, name: str) -> str:
    return f"expected a {kind} name of 1 to {NAME_LENGTH_MAX} of a-z, 0-9 and -, got {name!r}"


def _number_message(key: str, low: int, high: int, value: int) -> str:
    return f"expected {key} from {low} to {high}, got {value}"


def _check_duplicate_services(files: Sequence[RuleFile]) -> Iterator[Finding]:
    first_files: dict[ServiceName, str] = {}
    for file in files:
        service = file.rule.service
        if service in first_files:
            message = f"service {service!r} is already given in {first_files[service]}"
            yield make_finding(FindingKind.DUPLICATE_SERVICE, file.file, service, _NO_CALL, message)
        first_files.setdefault(service, file.file)


def _index_calls(files: Sequence[RuleFile]) -> dict[_Address, _Call]:
    calls: dict[_Address, _Call] = {}
    for file in sorted(files, key=lambda file: (file.rule.service, file.file)):
        for rule in file.rule.calls:
            call = _Call(file.file, file.rule.service, rule)
            calls.setdefault(call.address, call)
    return calls


def _link_callees(
    call: _Call, calls: dict[_Address, _Call], files: Sequence[RuleFile]
) -> Iterator[Finding]:
    services = {file.rule.service for file in files}
    seen: set[str] = set()
    for reference in call.rule.calls[:REFERENCES_MAX]:
        service, dot, name = reference.partition(".")
        callee = calls.get((ServiceName(service), CallName(name)))
        if not dot or not name or not service:
            message = f"expected service.call, got {reference!r}"
            yield call.finding(FindingKind.BAD_REFERENCE, message)
        elif service not in services:
            message = f"calls {reference}, but no rule file gives service {service!r}"
            yield call.finding(FindingKind.UNKNOWN_SERVICE, message)
        elif callee is None:
            message = f"calls {reference}, but service {service!r} has no call {name!r}"
            yield call.finding(FindingKind.UNKNOWN_CALL, message)
        elif reference in seen:
            yield call.finding(FindingKind.REPEATED_REFERENCE, f"lists {reference} twice")
        else:
            call.callees.append(callee)
        seen.add(reference)


def _check_edges(call: _Call) -> Iterator[Finding]:
    for callee in call.callees:
        yield from _check_deadline(call, callee)
        if callee.rule.call_class.rank > call.rule.call_class.rank:
            yield call.finding(
                FindingKind.LOWER_PRIORITY,
                f"class {call.rule.call_class.value}, but calls {callee.label} of class"
                f" {callee.rule.call_class.value}, which is shed earlier",
            )
        if call.rule.idempotent and not callee.rule.idempotent:
            yield call.finding(
                FindingKind.NOT_IDEMPOTENT,
                f"idempotent, so it may be retried, but calls {callee.label}, which is not;"
                " expected idempotent: false",
            )


def _check_deadline(call: _Call, callee: _Call) -> Iterator[Finding]:
    if callee.rule.wait_ms > call.rule.wait_ms:
        message = (
            f"waits {call.rule.wait_ms} ms, but calls {callee.label}, which may take"
            f" {callee.rule.wait_ms} ms; expected {call.rule.wait_ms} ms or less there"
        )
        yield call.finding(FindingKind.LONGER_DEADLINE, message)
    elif callee.rule.wait_ms == call.rule.wait_ms:
        message = f"waits as long as {callee.label} may take, which leaves it no time of its own"
        yield call.finding(FindingKind.SAME_DEADLINE, message)


def _check_graph(calls: dict[_Address, _Call]) -> Iterator[Finding]:
    edges = {
        address: [callee.address for callee in call.callees] for address, call in calls.items()
    }
    for _ in range(CYCLES_MAX):
        try:
            order = list(TopologicalSorter(edges).static_order())
        except CycleError as error:
            cycle = _cycle_in_call_order(error.args[1])
            yield _cycle_finding(calls, cycle)
            edges[cycle[-1]].remove(cycle[0])
            continue
        yield from _check_depth(calls, edges, order)
        return


def _cycle_in_call_order(reported: list[_Address]) -> list[_Address]:
    """Return each call of the cycle once, in call order, starting with the least address.

    :param reported: as `graphlib` gives it: each calls the one before it, and the first is last.
    """
    cycle = reported[:0:-1]
    start = cycle.index(min(cycle))
    return cycle[start:] + cycle[:start]


def _cycle_finding(calls: dict[_Address, _Call], cycle: list[_Address]) -> Finding:
    labels = [calls[address].label for address in [*cycle, cycle[0]]]
    return calls[cycle[0]].finding(FindingKind.CYCLE, "calls itself: " + " -> ".join(labels))


def _check_depth(
    calls: dict[_Address, _Call], edges: dict[_Address, list[_Address]], order: list[_Address]
) -> Iterator[Finding]:
    depths: dict[_Address, int] = {}
    for address in order:
        depths[address] = 1 + max((depths[callee] for callee in edges[address]), default=0)
    called = {callee for callees in edges.values() for callee in callees}
    for address in order:
        if depths[address] > DEPTH_MAX_CALLS and address not in called:
            message = f"its chain is {depths[address]} calls deep, expected {DEPTH_MAX_CALLS}"
            yield calls[address].finding(FindingKind.TOO_DEEP, message)
