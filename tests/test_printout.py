"""Tests of the text, JSON and exit codes that the command-line tool prints for reports."""

import json
from typing import Any

import pytest

from pollenbay.finding import FindingKind, make_finding
from pollenbay.ids import Digest, PublicationId
from pollenbay.printout import CheckReport, ExitCode, as_json, as_text, exit_code
from pollenbay.publication import Accepted, Invalid, NotWritten, Refused, Unsettled
from pollenbay.publishclient import PublishReport
from pollenbay.queries.rollout import Rollout

PUBLICATION = PublicationId("1800000000-0123456789abcdef")
ERROR = make_finding(FindingKind.CYCLE, "a.yaml", "a", "x", "calls itself")
WARNING = make_finding(FindingKind.NO_CALLS, "a.yaml", "a", "", "no calls")
ACCEPTED = Accepted(publication=PUBLICATION, version=4, digest=Digest("d"), changed=True)
INCOMPLETE_ROLLOUT = Rollout(version=4, reached=("a",), lagging=("b",))
COMPLETE_ROLLOUT = Rollout(version=4, reached=("a", "b"), lagging=())


class TestPublishReport:
    @pytest.mark.parametrize(
        ("outcome", "code", "text"),
        [
            (ACCEPTED, ExitCode.DONE, "accepted: version 4"),
            (
                Refused(
                    publication=PUBLICATION, version=4, author="bela", message="bela was first"
                ),
                ExitCode.REFUSED,
                "refused: bela was first",
            ),
            (Invalid(findings=(ERROR,)), ExitCode.REFUSED, "calls itself"),
            (NotWritten(publication=PUBLICATION, message="down"), ExitCode.UNREACHABLE, "nothing"),
            (
                Unsettled(publication=PUBLICATION, message="lost"),
                ExitCode.UNSETTLED,
                f"--settle {PUBLICATION}",
            ),
        ],
    )
    def test_outcome_determines_exit_code_and_text(
        self, outcome: Any, code: ExitCode, text: str
    ) -> None:
        report = PublishReport(outcome=outcome)
        assert exit_code(report) is code
        assert text in as_text(report)
        assert "outcome" in json.loads(as_json(report))["outcome"]

    def test_lagging_instances_are_named(self) -> None:
        report = PublishReport(outcome=ACCEPTED, rollout=INCOMPLETE_ROLLOUT)
        assert exit_code(report) is ExitCode.NOT_ACTIVE
        assert "not yet in force: b" in as_text(report)

    def test_complete_rollout_is_done(self) -> None:
        report = PublishReport(outcome=ACCEPTED, rollout=COMPLETE_ROLLOUT)
        assert exit_code(report) is ExitCode.DONE
        assert "2 live instances" in as_text(report)


class TestCheckReport:
    def test_errors_are_refused_and_warnings_are_not(self) -> None:
        assert exit_code(CheckReport(1, (ERROR, WARNING))) is ExitCode.REFUSED
        assert exit_code(CheckReport(1, (WARNING,))) is ExitCode.DONE
        assert "1 errors, 1 warnings" in as_text(CheckReport(1, (ERROR, WARNING)))

    def test_service_finding_is_printed_without_a_call(self) -> None:
        assert as_text(WARNING) == "a.yaml: a: warning: no calls [no-calls]"

    def test_unprintable_object_raises_type_error(self) -> None:
        with pytest.raises(TypeError):
            as_text(object())
