"""What a heartbeat says and what it changes where it arrives."""

from dataclasses import replace
from random import Random

from membership_double import clock_at, member_for, record_for, view_of

from pollenbay.commands.heartbeat import (
    absorb_heartbeat,
    absorb_question,
    acknowledge_news,
    compose_heartbeat,
    renew_report,
)
from pollenbay.commands.membership import apply_record, apply_report, hear, update_peers
from pollenbay.gossip import REPORT_SENDS, REPORTS_KEPT, Gossip, make_gossip
from pollenbay.ids import InstanceId, RuleVersion
from pollenbay.news import (
    NEWS_LIMIT,
    REPORT_LIMIT,
    REPORT_ROUND_LIMIT,
    Heartbeat,
    Report,
    decode_answer,
    decode_question,
    encode_news,
)
from pollenbay.rulebook import Rulebook, make_rulebook
from pollenbay.states import MemberState
from pollenbay.view import Load, View

A, B, C = InstanceId("a"), InstanceId("b"), InstanceId("c")


class Side:
    """Node `name` that knows the others and has chosen its peers, at second 0."""

    def __init__(self, name: InstanceId, others: tuple[str, ...] = ("a", "b", "c", "d")) -> None:
        self.name = name
        self.view: View = view_of(*(member_for(each) for each in others))
        self.gossip: Gossip = make_gossip(name, 0.0)
        self.rulebook: Rulebook = make_rulebook()
        self.rng = Random(1)
        update_peers(self.gossip, self.view, 0.0)

    def compose(self, receiver: InstanceId, **details: object) -> Heartbeat:
        """Return a heartbeat."""
        return compose_heartbeat(
            self.gossip, self.view, self.rulebook, receiver, self.rng, **details
        )

    def learn(self, *records) -> None:
        """Take in records as if another node had told them."""
        for record in records:
            apply_record(self.gossip, self.view, record, clock_at(1.0), InstanceId("z"))


class TestNews:
    def test_news_is_repeated_until_it_is_acknowledged(self):
        side = Side(A)
        news = record_for("d", incarnation=2)
        side.learn(news)
        assert side.compose(B).news == [news]
        beat = side.compose(B)
        assert beat.news == [news]
        acknowledge_news(side.gossip, side.view, B, beat)
        assert side.compose(B).news == []

    def test_news_that_changed_since_it_was_sent_is_sent_again(self):
        side = Side(A)
        side.learn(record_for("d", incarnation=2))
        beat = side.compose(B)
        newer = record_for("d", incarnation=3)
        side.learn(newer)
        acknowledge_news(side.gossip, side.view, B, beat)
        assert side.compose(B).news == [newer]

    def test_news_is_not_told_back_to_its_source(self):
        side = Side(A)
        beat = replace_news(Side(B).compose(A), [record_for("d", incarnation=2)])
        absorb_question(side.gossip, side.view, beat, clock_at(1.0))
        assert side.compose(B).news == []
        assert side.compose(C).news == [record_for("d", incarnation=2)]

    def test_one_heartbeat_is_bounded_and_the_rest_follows(self):
        side = Side(A)
        side.learn(*(record_for(f"x{number:03d}") for number in range(2 * NEWS_LIMIT)))
        told: set[InstanceId] = set()
        for _ in range(3):
            beat = side.compose(B)
            assert len(beat.news) <= NEWS_LIMIT
            acknowledge_news(side.gossip, side.view, B, beat)
            told.update(record.instance for record in beat.news)
        assert len(told) == 2 * NEWS_LIMIT

    def test_isolated_node_tells_no_news(self):
        side = Side(A)
        side.learn(record_for("d", incarnation=2))
        side.gossip.isolated = True
        assert side.compose(B).news == []

    def test_suspected_receiver_is_told_of_the_suspicion(self):
        side = Side(A)
        side.view.put(replace(side.view.members[B], state=MemberState.SUSPECT))
        assert [record.state for record in side.compose(B).news] == [MemberState.SUSPECT]

    def test_asker_of_an_earlier_incarnation_is_told_of_the_later_one(self):
        side = Side(A)
        side.learn(record_for("b", incarnation=7))
        answer = side.compose(B, said=record_for("b", incarnation=1))
        assert record_for("b", incarnation=7) in answer.news

    def test_asker_that_is_up_to_date_is_not_told_of_itself(self):
        side = Side(A)
        assert side.compose(B, said=record_for("b")).news == []


class TestContacts:
    def test_asker_becomes_a_contact_and_leaves_with_its_last_heartbeat(self):
        side = Side(A, ("a",))
        asker = Side(B)
        absorb_question(side.gossip, side.view, asker.compose(A), clock_at(1.0))
        assert side.gossip.contacts[B].asks
        absorb_question(side.gossip, side.view, asker.compose(A, last=True), clock_at(2.0))
        assert B not in side.gossip.contacts

    def test_heartbeat_of_an_earlier_incarnation_is_no_sign_of_life(self):
        side = Side(A)
        side.learn(record_for("b", incarnation=5))
        absorb_heartbeat(side.gossip, side.view, Side(B).compose(A), clock_at(9.0))
        assert side.gossip.contacts[B].heard_at == 0.0
        assert side.view.members[B].heard_at < 9.0


class TestReports:
    def test_load_and_rule_version_reach_others_through_a_third(self):
        first, middle, last = Side(A), Side(B), Side(C)
        first.gossip.load = Load(in_flight=3, limit=7, queued=2, admitted_rank=1)
        renew_report(first.gossip, first.view, first.rulebook)
        absorb_question(middle.gossip, middle.view, first.compose(B), clock_at(1.0))
        absorb_question(last.gossip, last.view, middle.compose(C), clock_at(2.0))
        member = last.view.members[A]
        assert member.load == Load(3, 7, 2, 1)
        assert member.heard_at == 2.0

    def test_older_report_changes_nothing(self):
        side = Side(A)
        newer, older = report_for("b", 2, 5), report_for("b", 1, 9)
        assert apply_report(side.gossip, side.view, newer, 1.0)
        assert not apply_report(side.gossip, side.view, older, 2.0)
        assert side.view.members[B].rule_version == 5

    def test_report_of_another_incarnation_changes_nothing(self):
        side = Side(A)
        side.learn(record_for("b", incarnation=2))
        assert not apply_report(side.gossip, side.view, report_for("b", 2, 5), 1.0)

    def test_report_is_passed_on_a_bounded_number_of_times(self):
        side = Side(A)
        apply_report(side.gossip, side.view, report_for("b", 2, 5), 1.0)
        passed = [len(side.compose(C).reports) for _ in range(REPORT_SENDS + 2)]
        assert sum(passed) == REPORT_SENDS

    def test_reports_are_bounded_in_a_heartbeat_and_in_memory(self):
        names = tuple(f"x{number:03d}" for number in range(REPORTS_KEPT + 50))
        side = Side(A, ("a", *names))
        for name in names:
            apply_report(side.gossip, side.view, report_for(name, 1, 1), 1.0)
        assert len(side.gossip.reports) == REPORTS_KEPT
        assert 0 < len(side.compose(B).reports) <= REPORT_LIMIT

    def test_node_with_many_contacts_tells_each_the_less(self):
        names = tuple(f"x{number:03d}" for number in range(100))
        side = Side(A, ("a", *names))
        for name in names:
            apply_report(side.gossip, side.view, report_for(name, 1, 1), 1.0)
            hear(side.gossip, side.view, InstanceId(name), 1.0)
        contacts = list(side.gossip.contacts)[:24]
        for name in set(side.gossip.contacts) - set(contacts):
            del side.gossip.contacts[name]
        told = [len(side.compose(each).reports) for each in contacts]
        assert 0 < sum(told) <= REPORT_ROUND_LIMIT


class TestSize:
    def test_largest_heartbeat_keeps_its_bound(self):
        names = tuple(f"instance-{number:05d}" for number in range(400))
        side = Side(A, ("a", *names))
        side.learn(*(record_for(name, incarnation=1_800_000_000_000) for name in names))
        for name in names:
            report = report_for(name, 1, 1, incarnation=1_800_000_000_000)
            apply_report(side.gossip, side.view, report, 1.0)
        beat = side.compose(side.gossip.chosen[0])
        assert len(beat.news) == NEWS_LIMIT - 1
        assert len(encode_news(beat)) < 16 * 1024

    def test_heartbeat_survives_its_encoding(self):
        side = Side(A)
        side.learn(record_for("d", incarnation=2))
        beat = side.compose(B)
        assert decode_question(encode_news(beat)) == beat
        assert decode_answer(encode_news(beat)) == beat


def report_for(name: str, tick: int, version: int, incarnation: int = 1) -> Report:
    """Return a report of an idle member."""
    return Report(InstanceId(name), incarnation, tick, RuleVersion(version), 0.0, 0, 1, 0, 2)


def replace_news(beat: Heartbeat, news: list) -> Heartbeat:
    """Return a heartbeat with other news."""
    return Heartbeat(beat.sender, beat.report, beat.rule_digest, beat.view_digest, False, news, [])
