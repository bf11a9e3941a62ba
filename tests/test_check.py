"""Tests of pollenbay.queries.check."""

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


def _call(name: str, *calls: str, wait_ms: int = 100, **more: Any) -> CallRule:
    more.setdefault("call_class", CallClass.NORMAL)
    return CallRule(name=name, wait_ms=wait_ms, calls=calls, **more)


def _service(name: str, *calls: CallRule, slots: int = 10) -> ServiceRule:
    return ServiceRule(service=name, slots=slots, calls=calls)


def _kinds(*services: ServiceRule) -> list[FindingKind]:
    return [finding.kind for finding in check_services(services)]


def _chain(length: int) -> list[ServiceRule]:
    """Return services whose first calls are a chain of so many calls."""
    calls = [
        _call("c", *([f"s{place + 1}.c"] if place + 1 < length else []), wait_ms=1000 - place)
        for place in range(length)
    ]
    return [_service(f"s{place}", call) for place, call in enumerate(calls)]


class TestOneService:
    def test_good_rules_have_no_findings(self) -> None:
        assert _kinds(_service("a", _call("x", "b.y")), _service("b", _call("y", wait_ms=99))) == []

    @pytest.mark.parametrize("name", ["", "Docs", "a_b", "a.b", "é", "x" * 64, "a\n"])
    def test_names(self, name: str) -> None:
        assert FindingKind.BAD_NAME in _kinds(_service(name, _call("x")))
        assert FindingKind.BAD_NAME in _kinds(_service("a", _call(name)))

    @pytest.mark.parametrize(
        "service",
        [
            _service("a", _call("x"), slots=0),
            _service("a", _call("x"), slots=10**9),
            _service("a", _call("x", wait_ms=0)),
            _service("a", _call("x", wait_ms=10**9)),
            _service("a", _call("x", retries=-1)),
            _service("a", _call("x", retries=21)),
        ],
    )
    def test_numbers(self, service: ServiceRule) -> None:
        assert _kinds(service) == [FindingKind.BAD_NUMBER]

    def test_doubled_call(self) -> None:
        findings = check_services([_service("a", _call("x"), _call("x"))])
        assert [(finding.kind, finding.call) for finding in findings] == [
            (FindingKind.DOUBLED_CALL, "x")
        ]

    def test_too_many_calls(self) -> None:
        calls = [_call(f"x{number}") for number in range(CALLS_MAX + 1)]
        assert _kinds(_service("a", *calls)) == [FindingKind.TOO_MANY]

    def test_too_many_references(self) -> None:
        references = [f"b.y{number}" for number in range(REFERENCES_MAX + 1)]
        callees = [_call(f"y{number}", wait_ms=9) for number in range(REFERENCES_MAX + 1)]
        kinds = _kinds(_service("a", _call("x", *references)), _service("b", *callees))
        assert kinds == [FindingKind.TOO_MANY]

    def test_no_calls_is_a_warning(self) -> None:
        findings = check_services([_service("a")])
        assert [finding.kind for finding in findings] == [FindingKind.NO_CALLS]
        assert errors_of(findings) == ()


class TestReferences:
    def test_unknown_service(self) -> None:
        assert _kinds(_service("a", _call("x", "b.y"))) == [FindingKind.UNKNOWN_SERVICE]

    def test_unknown_call(self) -> None:
        kinds = _kinds(_service("a", _call("x", "b.z")), _service("b", _call("y")))
        assert kinds == [FindingKind.UNKNOWN_CALL]

    @pytest.mark.parametrize("reference", ["b", "b.", ".y", ""])
    def test_malformed(self, reference: str) -> None:
        assert _kinds(_service("a", _call("x", reference))) == [FindingKind.BAD_REFERENCE]

    def test_doubled_service_names_both_files(self) -> None:
        files = [
            RuleFile("one.yaml", _service("a", _call("x"))),
            RuleFile("two.yaml", _service("a", _call("y"))),
        ]
        (finding,) = check_rules(files)
        assert finding.kind is FindingKind.DOUBLED_SERVICE
        assert finding.file == "two.yaml"
        assert "one.yaml" in finding.message

    def test_reference_listed_twice_is_a_warning(self) -> None:
        services = [_service("a", _call("x", "b.y", "b.y")), _service("b", _call("y", wait_ms=9))]
        (finding,) = check_services(services)
        assert finding.kind is FindingKind.REPEATED_REFERENCE
        assert finding.severity is Severity.WARNING


class TestEdges:
    def test_callee_waits_longer(self) -> None:
        (finding,) = check_services(
            [_service("a", _call("x", "b.y")), _service("b", _call("y", wait_ms=101))]
        )
        assert finding.kind is FindingKind.LONGER_DEADLINE
        assert (finding.service, finding.call) == ("a", "x")
        assert "100 ms" in finding.message and "101 ms" in finding.message

    def test_callee_waits_as_long_is_a_warning(self) -> None:
        kinds = _kinds(_service("a", _call("x", "b.y")), _service("b", _call("y")))
        assert kinds == [FindingKind.SAME_DEADLINE]
        assert kinds[0].severity is Severity.WARNING

    def test_important_call_on_a_less_important_one(self) -> None:
        caller = _call("x", "b.y", call_class=CallClass.CRITICAL)
        kinds = _kinds(_service("a", caller), _service("b", _call("y", wait_ms=9)))
        assert kinds == [FindingKind.LESS_IMPORTANT]

    def test_less_important_call_on_an_important_one_is_good(self) -> None:
        callee = _call("y", wait_ms=9, call_class=CallClass.CRITICAL)
        assert _kinds(_service("a", _call("x", "b.y")), _service("b", callee)) == []

    def test_idempotent_call_on_one_that_is_not(self) -> None:
        callee = _call("y", wait_ms=9, idempotent=False)
        kinds = _kinds(_service("a", _call("x", "b.y")), _service("b", callee))
        assert kinds == [FindingKind.NOT_IDEMPOTENT]

    def test_call_that_is_not_idempotent_on_an_idempotent_one_is_good(self) -> None:
        caller = _call("x", "b.y", idempotent=False)
        assert _kinds(_service("a", caller), _service("b", _call("y", wait_ms=9))) == []


class TestGraph:
    def test_cycle_is_named_from_its_least_call_on(self) -> None:
        services = [
            _service("c", _call("z", "a.x")),
            _service("b", _call("y", "c.z")),
            _service("a", _call("x", "b.y")),
        ]
        cycles = [each for each in check_services(services) if each.kind is FindingKind.CYCLE]
        assert [each.message for each in cycles] == ["calls itself: a.x -> b.y -> c.z -> a.x"]

    def test_call_that_calls_itself(self) -> None:
        assert FindingKind.CYCLE in _kinds(_service("a", _call("x", "a.x")))

    def test_two_cycles_are_both_told(self) -> None:
        services = [
            _service("a", _call("x", "a.x")),
            _service("b", _call("x", "c.x")),
            _service("c", _call("x", "b.x")),
        ]
        assert _kinds(*services).count(FindingKind.CYCLE) == 2

    def test_shared_callee_is_no_cycle(self) -> None:
        services = [
            _service("a", _call("x", "b.y", "c.z", wait_ms=300)),
            _service("b", _call("y", "c.z", wait_ms=200)),
            _service("c", _call("z")),
        ]
        assert _kinds(*services) == []

    def test_thirteen_deep_is_good_and_fourteen_is_not(self) -> None:
        assert _kinds(*_chain(13)) == []
        findings = check_services(_chain(14))
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
    def test_findings_do_not_depend_on_the_order_of_files(
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
    def test_graph_of_the_target_size(self) -> None:
        services = [
            _service(
                f"s{layer}-{place}",
                *(
                    _call(
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
        begun = process_time()
        assert check_services(services) == ()
        assert process_time() - begun < 5.0
