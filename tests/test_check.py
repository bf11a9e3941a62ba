"""Tests of the rule checks: each service, references, call edges, cycles and depth."""

from random import Random
from time import process_time
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenbay.finding import FindingKind, Severity
from pollenbay.queries.check import (
    CALLS_MAX,
    REFERENCES_MAX,
    check_rules,
    check_services,
    errors_of,
)
from pollenbay.rule import CallRule, ServiceRule
from pollenbay.rulefile import RuleFile
from pollenbay.states import CallClass


def _make_call(name: str, *calls: str, wait_ms: int = 100, **more: Any) -> CallRule:
    more.setdefault("call_class", CallClass.NORMAL)
    return CallRule(name=name, wait_ms=wait_ms, calls=calls, **more)


def _make_service(name: str, *calls: CallRule, slots: int = 10) -> ServiceRule:
    return ServiceRule(service=name, slots=slots, calls=calls)


def _finding_kinds(*services: ServiceRule) -> list[FindingKind]:
    return [finding.kind for finding in check_services(services)]


def _make_chain(length: int) -> list[ServiceRule]:
    """Return services whose first calls form a chain of the given length."""
    calls = [
        _make_call("c", *([f"s{index + 1}.c"] if index + 1 < length else []), wait_ms=1000 - index)
        for index in range(length)
    ]
    return [_make_service(f"s{index}", call) for index, call in enumerate(calls)]


class TestOneService:
    def test_valid_rules_have_no_findings(self) -> None:
        assert (
            _finding_kinds(
                _make_service("a", _make_call("x", "b.y")),
                _make_service("b", _make_call("y", wait_ms=99)),
            )
            == []
        )

    @pytest.mark.parametrize("name", ["", "Docs", "a_b", "a.b", "é", "x" * 64, "a\n"])
    def test_invalid_name_is_an_error(self, name: str) -> None:
        assert FindingKind.BAD_NAME in _finding_kinds(_make_service(name, _make_call("x")))
        assert FindingKind.BAD_NAME in _finding_kinds(_make_service("a", _make_call(name)))

    @pytest.mark.parametrize(
        "service",
        [
            _make_service("a", _make_call("x"), slots=0),
            _make_service("a", _make_call("x"), slots=10**9),
            _make_service("a", _make_call("x", wait_ms=0)),
            _make_service("a", _make_call("x", wait_ms=10**9)),
            _make_service("a", _make_call("x", retries=-1)),
            _make_service("a", _make_call("x", retries=21)),
        ],
    )
    def test_number_out_of_range_is_an_error(self, service: ServiceRule) -> None:
        assert _finding_kinds(service) == [FindingKind.BAD_NUMBER]

    def test_duplicate_call_is_an_error(self) -> None:
        findings = check_services([_make_service("a", _make_call("x"), _make_call("x"))])
        assert [(finding.kind, finding.call) for finding in findings] == [
            (FindingKind.DUPLICATE_CALL, "x")
        ]

    def test_too_many_calls_is_an_error(self) -> None:
        calls = [_make_call(f"x{number}") for number in range(CALLS_MAX + 1)]
        assert _finding_kinds(_make_service("a", *calls)) == [FindingKind.TOO_MANY]

    def test_too_many_references_is_an_error(self) -> None:
        references = [f"b.y{number}" for number in range(REFERENCES_MAX + 1)]
        callees = [_make_call(f"y{number}", wait_ms=9) for number in range(REFERENCES_MAX + 1)]
        kinds = _finding_kinds(
            _make_service("a", _make_call("x", *references)), _make_service("b", *callees)
        )
        assert kinds == [FindingKind.TOO_MANY]

    def test_service_without_calls_is_a_warning(self) -> None:
        findings = check_services([_make_service("a")])
        assert [finding.kind for finding in findings] == [FindingKind.NO_CALLS]
        assert errors_of(findings) == ()


class TestReferences:
    def test_unknown_service_is_an_error(self) -> None:
        assert _finding_kinds(_make_service("a", _make_call("x", "b.y"))) == [
            FindingKind.UNKNOWN_SERVICE
        ]

    def test_unknown_call_is_an_error(self) -> None:
        kinds = _finding_kinds(
            _make_service("a", _make_call("x", "b.z")), _make_service("b", _make_call("y"))
        )
        assert kinds == [FindingKind.UNKNOWN_CALL]

    @pytest.mark.parametrize("reference", ["b", "b.", ".y", ""])
    def test_malformed_reference_is_an_error(self, reference: str) -> None:
        assert _finding_kinds(_make_service("a", _make_call("x", reference))) == [
            FindingKind.BAD_REFERENCE
        ]

    def test_duplicate_service_names_both_files(self) -> None:
        files = [
            RuleFile("one.yaml", _make_service("a", _make_call("x"))),
            RuleFile("two.yaml", _make_service("a", _make_call("y"))),
        ]
        (finding,) = check_rules(files)
        assert finding.kind is FindingKind.DUPLICATE_SERVICE
        assert finding.file == "two.yaml"
        assert "one.yaml" in finding.message

    def test_reference_listed_twice_is_a_warning(self) -> None:
        services = [
            _make_service("a", _make_call("x", "b.y", "b.y")),
            _make_service("b", _make_call("y", wait_ms=9)),
        ]
        (finding,) = check_services(services)
        assert finding.kind is FindingKind.REPEATED_REFERENCE
        assert finding.severity is Severity.WARNING


class TestEdges:
    def test_callee_with_a_longer_deadline_is_an_error(self) -> None:
        (finding,) = check_services(
            [
                _make_service("a", _make_call("x", "b.y")),
                _make_service("b", _make_call("y", wait_ms=101)),
            ]
        )
        assert finding.kind is FindingKind.LONGER_DEADLINE
        assert (finding.service, finding.call) == ("a", "x")
        assert "100 ms" in finding.message and "101 ms" in finding.message

    def test_callee_with_the_same_deadline_is_a_warning(self) -> None:
        kinds = _finding_kinds(
            _make_service("a", _make_call("x", "b.y")), _make_service("b", _make_call("y"))
        )
        assert kinds == [FindingKind.SAME_DEADLINE]
        assert kinds[0].severity is Severity.WARNING

    def test_callee_of_a_less_important_class_is_reported(self) -> None:
        caller = _make_call("x", "b.y", call_class=CallClass.CRITICAL)
        kinds = _finding_kinds(
            _make_service("a", caller), _make_service("b", _make_call("y", wait_ms=9))
        )
        assert kinds == [FindingKind.LOWER_PRIORITY]

    def test_callee_of_a_more_important_class_is_valid(self) -> None:
        callee = _make_call("y", wait_ms=9, call_class=CallClass.CRITICAL)
        assert (
            _finding_kinds(_make_service("a", _make_call("x", "b.y")), _make_service("b", callee))
            == []
        )

    def test_non_idempotent_callee_of_an_idempotent_call_is_reported(self) -> None:
        callee = _make_call("y", wait_ms=9, idempotent=False)
        kinds = _finding_kinds(
            _make_service("a", _make_call("x", "b.y")), _make_service("b", callee)
        )
        assert kinds == [FindingKind.NOT_IDEMPOTENT]

    def test_idempotent_callee_of_a_non_idempotent_call_is_valid(self) -> None:
        caller = _make_call("x", "b.y", idempotent=False)
        assert (
            _finding_kinds(
                _make_service("a", caller), _make_service("b", _make_call("y", wait_ms=9))
            )
            == []
        )


class TestGraph:
    def test_cycle_is_listed_from_its_alphabetically_first_call(self) -> None:
        services = [
            _make_service("c", _make_call("z", "a.x")),
            _make_service("b", _make_call("y", "c.z")),
            _make_service("a", _make_call("x", "b.y")),
        ]
        cycles = [each for each in check_services(services) if each.kind is FindingKind.CYCLE]
        assert [each.message for each in cycles] == ["calls itself: a.x -> b.y -> c.z -> a.x"]

    def test_call_that_calls_itself_is_a_cycle(self) -> None:
        assert FindingKind.CYCLE in _finding_kinds(_make_service("a", _make_call("x", "a.x")))

    def test_two_cycles_are_both_reported(self) -> None:
        services = [
            _make_service("a", _make_call("x", "a.x")),
            _make_service("b", _make_call("x", "c.x")),
            _make_service("c", _make_call("x", "b.x")),
        ]
        assert _finding_kinds(*services).count(FindingKind.CYCLE) == 2

    def test_shared_callee_is_not_a_cycle(self) -> None:
        services = [
            _make_service("a", _make_call("x", "b.y", "c.z", wait_ms=300)),
            _make_service("b", _make_call("y", "c.z", wait_ms=200)),
            _make_service("c", _make_call("z")),
        ]
        assert _finding_kinds(*services) == []

    def test_depth_of_13_is_valid_and_14_is_too_deep(self) -> None:
        assert _finding_kinds(*_make_chain(13)) == []
        findings = check_services(_make_chain(14))
        assert [(finding.kind, finding.service) for finding in findings] == [
            (FindingKind.TOO_DEEP, "s0")
        ]


SERVICES = st.lists(
    st.builds(
        ServiceRule,
        service=st.sampled_from(["a", "b", "c", "B!"]),
        slots=st.integers(-1, 3),
        calls=st.lists(
            st.builds(
                CallRule,
                name=st.sampled_from(["x", "y", "z"]),
                call_class=st.sampled_from(CallClass),
                idempotent=st.booleans(),
                wait_ms=st.integers(-1, 3),
                calls=st.lists(
                    st.sampled_from(["a.x", "a.y", "b.x", "b.z", "c.x", "c.q", "no", "d.x"]),
                    max_size=4,
                ).map(tuple),
            ),
            max_size=3,
        ).map(tuple),
    ),
    max_size=5,
)


class TestOrder:
    @given(SERVICES, st.integers(0, 99))
    def test_findings_are_independent_of_the_service_order(
        self, services: list[ServiceRule], seed: int
    ) -> None:
        unique = list({service.service: service for service in services}.values())
        shuffled = list(unique)
        Random(seed).shuffle(shuffled)
        assert check_services(unique) == check_services(shuffled)

    @given(SERVICES)
    def test_errors_come_first(self, services: list[ServiceRule]) -> None:
        severities = [finding.severity for finding in check_services(services)]
        assert severities == sorted(severities, key=list(Severity).index)


class TestSize:
    def test_graph_of_143_services_is_checked_within_5_s_of_cpu_time(self) -> None:
        services = [
            _make_service(
                f"s{layer}-{place}",
                *(
                    _make_call(
                        f"c{number}",
                        *(f"s{layer + 1}-{other}.c{number}" for other in range(4 * (layer < 12))),
                        wait_ms=1000 - layer,
                    )
                    for number in range(10)
                ),
            )
            for layer in range(13)
            for place in range(11)
        ]
        started_at = process_time()
        assert check_services(services) == ()
        assert process_time() - started_at < 5.0
