"""Tests of pollenbay.commands.publication and pollenbay.commands.settlement."""

from dataclasses import dataclass
from typing import Any

from admin_node import make_admin_node
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from stepped_table import Fault, TableDouble, drive

from pollenbay.commands import execute
from pollenbay.commands.publication import Publish, publish, read_current
from pollenbay.commands.settlement import Settle, settle
from pollenbay.finding import FindingKind
from pollenbay.ids import CallName, OperatorId, PublicationId, RuleVersion, ServiceName
from pollenbay.publication import (
    Accepted,
    HistoryEntry,
    Invalid,
    NotWritten,
    PublicationOutcome,
    Refused,
    Unsettled,
    make_publication_id,
    publication_epoch_s,
)
from pollenbay.rule import CallRule, RuleSet, ServiceRule
from pollenbay.rulerow import (
    CURRENT_RULES_KEY,
    HISTORY_PREFIX,
    PUBLICATION_PREFIX,
    decode_history_entry,
    decode_rules,
    encode_row,
    history_key,
    make_rule_set,
    publication_key,
    services_digest,
)
from pollenbay.states import CallClass
from pollenbay.table import Write

NOW = 1_800_000_000.0
ANNA = OperatorId("anna")
BELA = OperatorId("bela")
#: The requests of a publication before its write: read the rules, scan for old records.
NO_FAULT_BEFORE_WRITE = [Fault.NONE, Fault.NONE]


def _services(content: int) -> tuple[ServiceRule, ...]:
    call = CallRule(name=CallName("get"), call_class=CallClass.NORMAL, wait_ms=100 + content)
    return (ServiceRule(service=ServiceName("docs"), calls=(call,)),)


def _publish(
    content: int,
    author: OperatorId = ANNA,
    publication: PublicationId | None = None,
    expected: int | None = None,
) -> Publish:
    version = None if expected is None else RuleVersion(expected)
    return Publish(
        services=_services(content),
        author=author,
        publication=publication,
        expected_version=version,
    )


def _run_publish(table: TableDouble, command: Publish, faults: list[Fault] | None = None) -> Any:
    return drive(publish(table, command, NOW), faults or [])


def _history(table: TableDouble) -> dict[int, HistoryEntry]:
    rows = [row for key, row in table.rows.items() if key.startswith(HISTORY_PREFIX)]
    entries = [decode_history_entry(row.value).unwrap() for row in rows]
    return {entry.version: entry for entry in entries}


class TestPublish:
    def test_first_publication_is_version_one(self) -> None:
        table = TableDouble()
        outcome = _run_publish(table, _publish(1))
        assert isinstance(outcome, Accepted)
        assert (outcome.version, outcome.changed) == (1, True)
        rules = drive(read_current(table)).unwrap()
        assert rules.version == 1
        assert rules.services == _services(1)
        assert rules.digest == services_digest(_services(1)) == outcome.digest
        entry = _history(table)[1]
        assert (entry.author, entry.publication) == (ANNA, outcome.publication)

    def test_no_rules_exist_before_the_first_publication(self) -> None:
        assert drive(read_current(TableDouble())).unwrap() is None

    def test_republishing_the_same_rules_creates_no_version(self) -> None:
        table = TableDouble()
        _run_publish(table, _publish(1))
        outcome = _run_publish(table, _publish(1, BELA))
        assert isinstance(outcome, Accepted)
        assert (outcome.version, outcome.changed) == (1, False)
        assert list(_history(table)) == [1]

    def test_outdated_expected_version_is_refused_with_the_current_author(self) -> None:
        table = TableDouble()
        _run_publish(table, _publish(1, BELA))
        outcome = _run_publish(table, _publish(2, ANNA, expected=0))
        assert isinstance(outcome, Refused)
        assert (outcome.author, outcome.version) == (BELA, 1)
        assert list(_history(table)) == [1]

    def test_publication_id_publishes_once(self) -> None:
        table = TableDouble()
        publication = make_publication_id(NOW)
        first = _run_publish(table, _publish(1, publication=publication))
        _run_publish(table, _publish(2, BELA))
        again = _run_publish(table, _publish(1, publication=publication))
        assert again == first
        assert sorted(_history(table)) == [1, 2]

    def test_invalid_publication_id_writes_nothing(self) -> None:
        table = TableDouble()
        for text in ("x", "18000000000-ab", f"{int(NOW) - 100_000:010d}-{'a' * 16}"):
            outcome = _run_publish(table, _publish(1, publication=PublicationId(text)))
            assert isinstance(outcome, NotWritten)
        assert table.rows == {}

    def test_old_publication_records_are_removed(self) -> None:
        table = TableDouble()
        old = _run_publish(table, _publish(1)).publication
        outcome = drive(publish(table, _publish(2), NOW + 4 * 86_400))
        records = [key for key in table.rows if key.startswith(PUBLICATION_PREFIX)]
        assert records == [publication_key(outcome.publication)]
        assert publication_key(old) not in records

    def test_old_history_is_removed(self) -> None:
        table = TableDouble()
        _run_publish(table, _publish(1))
        rules = make_rule_set(RuleVersion(100_000), _services(1), ANNA, NOW)
        table.apply_write(Write(CURRENT_RULES_KEY, encode_row(rules)))
        _run_publish(table, _publish(2))
        assert history_key(RuleVersion(1)) not in table.rows
        assert history_key(RuleVersion(100_001)) in table.rows


class TestConcurrentOperators:
    def test_one_is_accepted_and_the_other_is_refused_with_its_author(self) -> None:
        table = TableDouble()
        first = publish(table, _publish(1, ANNA), NOW)
        second = publish(table, _publish(2, BELA), NOW)
        for operation in (first, second):
            operation.send(None)
            operation.send(Fault.NONE)
            operation.send(Fault.NONE)
        accepted = _finish(second)
        refused = _finish(first)
        assert isinstance(accepted, Accepted)
        assert isinstance(refused, Refused)
        assert (refused.author, refused.version) == (BELA, 1)

    def test_same_rules_from_both_become_one_version(self) -> None:
        table = TableDouble()
        first = publish(table, _publish(1, ANNA), NOW)
        second = publish(table, _publish(1, BELA), NOW)
        for operation in (first, second):
            operation.send(None)
            operation.send(Fault.NONE)
            operation.send(Fault.NONE)
        outcomes = [_finish(first), _finish(second)]
        assert [(outcome.version, outcome.changed) for outcome in outcomes] == [
            (1, True),
            (1, False),
        ]


def _finish(operation: Any) -> PublicationOutcome:
    while True:
        try:
            operation.send(Fault.NONE)
        except StopIteration as stop:
            return stop.value


class TestLostResponses:
    def test_response_lost_after_the_write_is_settled_by_reading_back(self) -> None:
        table = TableDouble()
        outcome = _run_publish(table, _publish(1), [*NO_FAULT_BEFORE_WRITE, Fault.LOST_AFTER])
        assert isinstance(outcome, Accepted)
        assert sorted(_history(table)) == [1]

    def test_write_that_was_lost_is_sent_again(self) -> None:
        table = TableDouble()
        outcome = _run_publish(table, _publish(1), [*NO_FAULT_BEFORE_WRITE, Fault.LOST_BEFORE])
        assert isinstance(outcome, Accepted)
        assert sorted(_history(table)) == [1]

    def test_delayed_write_that_arrives_after_its_retry_publishes_once(self) -> None:
        table = TableDouble()
        outcome = _run_publish(table, _publish(1), [*NO_FAULT_BEFORE_WRITE, Fault.DELAYED])
        assert isinstance(outcome, Accepted)
        table.deliver(0)
        assert sorted(_history(table)) == [1]

    def test_publication_that_cannot_be_read_back_is_settled_later(self) -> None:
        table = TableDouble()
        outcome = _run_publish(
            table, _publish(1), [*NO_FAULT_BEFORE_WRITE, Fault.LOST_AFTER, Fault.DOWN]
        )
        assert isinstance(outcome, Unsettled)
        settled = drive(settle(table, outcome.publication, NOW))
        assert isinstance(settled, Accepted)
        assert settled.version == 1

    def test_settling_an_unwritten_publication_rejects_its_delayed_write(self) -> None:
        table = TableDouble()
        outcome = _run_publish(
            table, _publish(1), [*NO_FAULT_BEFORE_WRITE, Fault.DELAYED, Fault.DOWN]
        )
        assert isinstance(outcome, Unsettled)
        settled = drive(settle(table, outcome.publication, NOW))
        assert isinstance(settled, Refused)
        table.deliver(0)
        assert _history(table) == {}

    def test_settling_while_the_table_is_down_stays_unsettled(self) -> None:
        outcome = drive(settle(TableDouble(), make_publication_id(NOW), NOW), [Fault.DOWN])
        assert isinstance(outcome, Unsettled)

    def test_publication_id_of_another_day_is_not_settled(self) -> None:
        table = TableDouble()
        outcome = drive(settle(table, make_publication_id(NOW - 90_000), NOW))
        assert isinstance(outcome, Unsettled)
        assert table.rows == {}

    def test_publication_while_the_table_is_down_writes_nothing(self) -> None:
        table = TableDouble()
        for faults in ([Fault.DOWN], [*NO_FAULT_BEFORE_WRITE, Fault.DOWN]):
            assert isinstance(_run_publish(table, _publish(1), faults), NotWritten)
        assert table.rows == {}

    def test_stale_read_does_not_restore_an_older_version(self) -> None:
        table = TableDouble()
        _run_publish(table, _publish(1))
        table.snapshot()
        _run_publish(table, _publish(2, BELA))
        outcome = _run_publish(table, _publish(1), [Fault.STALE])
        assert not (isinstance(outcome, Accepted) and outcome.version == 1)


class TestExecute:
    def test_accepted_rules_become_active_on_the_node(self) -> None:
        node = make_admin_node()
        outcome = drive(execute(_publish(1), node))
        assert isinstance(outcome, Accepted)
        assert node.rulebook.version == 1

    def test_rules_with_errors_are_not_written(self) -> None:
        node = make_admin_node()
        services = _services(1) + _services(2)
        outcome = drive(execute(Publish(services=services, author=ANNA), node))
        assert isinstance(outcome, Invalid)
        assert [finding.kind for finding in outcome.findings] == [FindingKind.DUPLICATE_SERVICE]
        assert node.table.rows == {}

    def test_settling_returns_the_publication_outcome(self) -> None:
        node = make_admin_node()
        outcome = drive(execute(_publish(1), node))
        again = drive(execute(Settle(publication=outcome.publication), node))
        assert again == outcome


class TestPublicationId:
    def test_id_contains_its_publication_time(self) -> None:
        assert publication_epoch_s(make_publication_id(NOW)) == int(NOW)

    def test_malformed_ids_have_no_publication_time(self) -> None:
        for text in ("", "-", "1800000000", "1800000000-xyz", "１800000000-" + "a" * 16):
            assert publication_epoch_s(PublicationId(text)) is None


@dataclass
class _Request:
    """A publication or a settlement in progress."""

    publication: PublicationId
    operation: Any


#: Most requests have no fault, so that many publications get as far as their write.
FAULTS = st.sampled_from([Fault.NONE] * 10 + list(Fault))


class PublicationMachine(RuleBasedStateMachine):
    """Publications and settlements whose requests interleave, with a fault on any of them."""

    @initialize()
    def start(self) -> None:
        self.table = TableDouble()
        self.requests: list[_Request] = []
        self.contents: dict[PublicationId, int] = {}
        self.publish_counts: dict[PublicationId, int] = {}
        self.outcomes: dict[PublicationId, list[PublicationOutcome]] = {}
        self.last_version = 0

    @rule(content=st.integers(0, 2), expect=st.booleans())
    def start_publication(self, content: int, expect: bool) -> None:
        publication = PublicationId(f"{int(NOW):010d}-{len(self.contents):016x}")
        self.contents[publication] = content
        self._start_publish(publication, self._current_version() if expect else None)

    @precondition(lambda self: self.contents)
    @rule(data=st.data())
    def publish_again(self, data: st.DataObject) -> None:
        self._start_publish(data.draw(st.sampled_from(sorted(self.contents))), None)

    @precondition(lambda self: self.contents)
    @rule(data=st.data())
    def start_settling(self, data: st.DataObject) -> None:
        publication = data.draw(st.sampled_from(sorted(self.contents)))
        self._start(publication, settle(self.table, publication, NOW))

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), faults=st.lists(FAULTS, min_size=1, max_size=6))
    def advance_request(self, data: st.DataObject, faults: list[Fault]) -> None:
        request = data.draw(st.sampled_from(self.requests))
        for fault in faults:
            if request in self.requests:
                self._step(request, fault)

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(self.requests))
        while request in self.requests:
            self._step(request, Fault.NONE)

    @precondition(lambda self: self.table.delayed)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        self.table.deliver(data.draw(st.integers(0, len(self.table.delayed) - 1)))

    @rule()
    def snapshot(self) -> None:
        self.table.snapshot()

    @invariant()
    def version_never_decreases(self) -> None:
        version = self._current_version()
        assert version >= self.last_version
        self.last_version = version

    @invariant()
    def each_version_has_one_publication(self) -> None:
        history = _history(self.table)
        assert sorted(history) == list(range(1, self._current_version() + 1))
        publications = [entry.publication for entry in history.values()]
        assert len(publications) == len(set(publications))

    @invariant()
    def returned_outcomes_are_correct(self) -> None:
        history = _history(self.table)
        published = {entry.publication: entry for entry in history.values()}
        for publication, outcomes in self.outcomes.items():
            for outcome in outcomes:
                self._check_outcome(publication, outcome, history, published)

    def teardown(self) -> None:
        if not hasattr(self, "table"):
            return
        while self.requests:
            self._step(self.requests[0], Fault.NONE)
        while self.table.delayed:
            self.table.deliver(0)
        for publication in self.contents:
            outcome = drive(settle(self.table, publication, NOW))
            assert isinstance(outcome, Accepted | Refused)
            self.outcomes.setdefault(publication, []).append(outcome)
        self.each_version_has_one_publication()
        self.returned_outcomes_are_correct()

    def _check_outcome(
        self,
        publication: PublicationId,
        outcome: PublicationOutcome,
        history: dict[int, HistoryEntry],
        published: dict[PublicationId, HistoryEntry],
    ) -> None:
        if isinstance(outcome, Accepted):
            content = self.contents[publication]
            entry = history[outcome.version]
            assert entry.digest == services_digest(_services(content))
            assert (entry.publication == publication) == outcome.changed
        if isinstance(outcome, Refused):
            assert publication not in published
            assert not any(isinstance(other, Accepted) for other in self.outcomes[publication])
        if isinstance(outcome, NotWritten) and self.publish_counts[publication] == 1:
            assert publication not in published

    def _start_publish(self, publication: PublicationId, expected: int | None) -> None:
        command = _publish(
            self.contents[publication], OperatorId(publication[-2:]), publication, expected
        )
        self.publish_counts[publication] = self.publish_counts.get(publication, 0) + 1
        self._start(publication, publish(self.table, command, NOW))

    def _start(self, publication: PublicationId, operation: Any) -> None:
        request = _Request(publication, operation)
        operation.send(None)
        self.requests.append(request)

    def _step(self, request: _Request, fault: Fault) -> None:
        applied = len(self.table.applied)
        before = self._current_version()
        try:
            request.operation.send(fault)
        except StopIteration as stop:
            self.requests = [other for other in self.requests if other is not request]
            self.outcomes.setdefault(request.publication, []).append(stop.value)
            self._check_unchanged(stop.value, before, len(self.table.applied) > applied)

    def _check_unchanged(
        self, outcome: PublicationOutcome, version: int, has_written: bool
    ) -> None:
        """Check that rules accepted without a new version were current when this was written."""
        if isinstance(outcome, Accepted) and not outcome.changed and has_written:
            assert outcome.version == version

    def _current_version(self) -> int:
        row = self.table.rows.get(CURRENT_RULES_KEY)
        return 0 if row is None else _decoded(row.value).version


def _decoded(value: bytes) -> RuleSet:
    return decode_rules(value).unwrap()


TestPublicationMachine = PublicationMachine.TestCase
TestPublicationMachine.settings = settings(max_examples=400, stateful_step_count=40)
