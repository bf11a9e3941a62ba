"""Tests of target selection and of the scores that attempts update."""

from collections import Counter
from dataclasses import replace
from random import Random

from pollenbay.commands.routing import (
    CANDIDATES_VALID_S,
    EJECT_AFTER_FAILURES,
    EJECTION_MAX_S,
    EJECTION_MIN_S,
    MEMBERS_PER_EJECTION,
    PROBES_TO_READMIT,
    begin_attempt,
    drop_departed_scores,
    end_attempt,
    pick,
    record_occupancy,
)
from pollenbay.ids import HostId, Incarnation, InstanceId, RegionId, ServiceName, ZoneId
from pollenbay.queries.routing import OCCUPANCY_VALID_S, SLOW_START_S, may_have_room
from pollenbay.score import AttemptResult, Scores, make_scores
from pollenbay.states import MemberState
from pollenbay.view import Endpoints, Location, Member, View, make_view

SERVICE = ServiceName("stock")
ORIGIN = Location(HostId("origin"), ZoneId("zone-0"), RegionId("north"))
NOW = 1000.0
NO_INSTANCES: frozenset[InstanceId] = frozenset()
LATENCY_S = 0.02


class SimulatedCluster:
    """Members of one service with scores and a simulated clock; each attempt takes 1 ms."""

    def __init__(self, members: int, zones: int = 1) -> None:
        self.view: View = make_view()
        self.scores: Scores = make_scores()
        self.rng = Random(7)
        self.now = NOW
        for index in range(members):
            self.put(f"stock-{index}", zone=index % zones)

    def put(
        self,
        name: str,
        zone: int = 0,
        state: MemberState = MemberState.SERVING,
        age_s: float = 100.0,
        incarnation: int = 1,
    ) -> Member:
        member = Member(
            InstanceId(name),
            Incarnation(incarnation),
            SERVICE,
            Location(HostId(name), ZoneId(f"zone-{zone}"), RegionId("north")),
            Endpoints("127.0.0.1", 1, 2),
            state,
            last_seen_at=self.now,
            first_seen_at=self.now - age_s,
        )
        self.view.put(member)
        return member

    def member(self, index: int) -> Member:
        return self.view.members[InstanceId(f"stock-{index}")]

    def pick(
        self, excluded: frozenset[InstanceId] = NO_INSTANCES, may_probe: bool = True
    ) -> Member | None:
        return pick(
            self.view, self.scores, SERVICE, ORIGIN, excluded, self.now, self.rng, may_probe
        )

    def attempt(
        self,
        member: Member,
        result: AttemptResult = AttemptResult.ANSWERED,
        latency_s: float = LATENCY_S,
    ) -> None:
        begin_attempt(self.scores, member, self.now)
        self.now += 0.001
        end_attempt(self.scores, member, latency_s, result, self.now)

    def fail_attempts(self, member: Member, times: int = EJECT_AFTER_FAILURES) -> None:
        for _ in range(times):
            self.attempt(member, AttemptResult.FAILED)

    def pick_and_attempt(self, count: int, failing: InstanceId | None = None) -> Counter[str]:
        counts: Counter[str] = Counter()
        for _ in range(count):
            member = self.pick()
            assert member is not None
            counts[member.instance] += 1
            failed = member.instance == failing
            self.attempt(member, AttemptResult.FAILED if failed else AttemptResult.ANSWERED)
        return counts


class TestStates:
    def test_empty_view_has_no_target(self) -> None:
        assert SimulatedCluster(0).pick() is None

    def test_leaving_member_is_not_picked(self) -> None:
        cluster = SimulatedCluster(2)
        cluster.view.put(replace(cluster.member(0), state=MemberState.LEAVING))
        assert set(cluster.pick_and_attempt(50)) == {"stock-1"}

    def test_member_changed_to_leaving_in_place_is_not_picked(self) -> None:
        cluster = SimulatedCluster(2)
        cluster.pick()
        cluster.member(0).state = MemberState.LEAVING
        assert set(cluster.pick_and_attempt(50)) == {"stock-1"}

    def test_leaving_dead_and_starting_members_are_not_a_last_resort(self) -> None:
        for state in (MemberState.LEAVING, MemberState.DEAD, MemberState.STARTING):
            cluster = SimulatedCluster(1)
            cluster.pick()
            cluster.view.put(replace(cluster.member(0), state=state))
            assert cluster.pick() is None

    def test_suspect_member_is_the_last_resort(self) -> None:
        cluster = SimulatedCluster(2)
        cluster.view.put(replace(cluster.member(0), state=MemberState.SUSPECT))
        assert set(cluster.pick_and_attempt(50)) == {"stock-1"}
        last = cluster.pick(frozenset({InstanceId("stock-1")}))
        assert last is not None and last.instance == "stock-0"

    def test_new_member_is_picked_immediately(self) -> None:
        cluster = SimulatedCluster(1)
        cluster.pick()
        cluster.put("stock-1")
        assert set(cluster.pick_and_attempt(100)) == {"stock-0", "stock-1"}

    def test_state_changed_in_place_applies_when_the_candidates_expire(self) -> None:
        cluster = SimulatedCluster(1)
        cluster.put("stock-1", state=MemberState.STARTING)
        cluster.pick()
        cluster.member(1).state = MemberState.SERVING
        cluster.now += CANDIDATES_VALID_S
        assert set(cluster.pick_and_attempt(100)) == {"stock-0", "stock-1"}

    def test_excluded_members_are_not_picked(self) -> None:
        cluster = SimulatedCluster(3)
        excluded = frozenset({InstanceId("stock-0"), InstanceId("stock-2")})
        picked = cluster.pick(excluded)
        assert picked is not None and picked.instance == "stock-1"
        assert cluster.pick(excluded | {InstanceId("stock-1")}) is None


class TestCost:
    def test_members_of_the_same_zone_are_preferred_at_equal_cost(self) -> None:
        assert set(SimulatedCluster(8, zones=4).pick_and_attempt(400)) == {"stock-0", "stock-4"}

    def test_small_latency_difference_does_not_prefer_another_zone(self) -> None:
        cluster = SimulatedCluster(4, zones=4)
        for index in range(4):
            cluster.attempt(
                cluster.member(index), latency_s=0.9 * LATENCY_S if index else LATENCY_S
            )
        picked = {member.instance for member in (cluster.pick() for _ in range(50)) if member}
        assert picked == {"stock-0"}

    def test_calls_spill_to_other_zones_when_members_of_the_same_zone_are_busy(self) -> None:
        cluster = SimulatedCluster(8, zones=4)
        cluster.pick_and_attempt(50)
        for index in (0, 4):
            for _ in range(10):
                begin_attempt(cluster.scores, cluster.member(index), cluster.now)
        counts = cluster.pick_and_attempt(400)
        assert counts["stock-0"] + counts["stock-4"] < 0.25 * 400
        assert len(counts) == 8

    def test_member_of_the_same_host_is_preferred(self) -> None:
        cluster = SimulatedCluster(4)
        cluster.put("own")
        local = cluster.view.members[InstanceId("own")]
        cluster.view.put(replace(local, location=ORIGIN))
        assert cluster.pick_and_attempt(200)["own"] > 0.4 * 200

    def test_member_with_outstanding_attempts_is_avoided(self) -> None:
        cluster = SimulatedCluster(2)
        cluster.pick_and_attempt(20)
        for _ in range(10):
            begin_attempt(cluster.scores, cluster.member(0), cluster.now)
        assert set(cluster.pick_and_attempt(50)) == {"stock-1"}

    def test_slow_member_is_picked_rarely(self) -> None:
        cluster = SimulatedCluster(4)
        for index in range(4):
            cluster.attempt(cluster.member(index), latency_s=0.2 if index == 0 else LATENCY_S)
        assert cluster.pick_and_attempt(200)["stock-0"] <= 10

    def test_high_latency_measurement_expires(self) -> None:
        cluster = SimulatedCluster(2)
        cluster.attempt(cluster.member(0), latency_s=5.0)
        cluster.attempt(cluster.member(1))
        assert "stock-0" not in cluster.pick_and_attempt(50)
        cluster.now += 60.0
        cluster.attempt(cluster.member(1))
        assert "stock-0" in cluster.pick_and_attempt(50)

    def test_fast_refusals_do_not_attract_calls(self) -> None:
        cluster = SimulatedCluster(2)
        for _ in range(10):
            cluster.attempt(cluster.member(1))
            cluster.attempt(cluster.member(0), AttemptResult.REFUSED, latency_s=0.0001)
        assert cluster.pick_and_attempt(50)["stock-0"] == 0

    def test_member_with_only_refusals_is_rated_with_the_latency_of_the_others(self) -> None:
        cluster = SimulatedCluster(2)
        for _ in range(10):
            cluster.attempt(cluster.member(1), latency_s=0.5)
            cluster.attempt(cluster.member(0), AttemptResult.REFUSED, latency_s=0.0001)
        picked = {member.instance for member in (cluster.pick() for _ in range(50)) if member}
        assert picked == {"stock-1"}

    def test_measured_latency_takes_precedence_over_reported_load(self) -> None:
        cluster = SimulatedCluster(2)
        for _ in range(10):
            cluster.attempt(cluster.member(0), latency_s=LATENCY_S)
            cluster.attempt(cluster.member(1), latency_s=2 * LATENCY_S)
        busy = cluster.member(0).load
        busy.in_flight, busy.limit, busy.queued = 100, 10, 50
        assert set(cluster.pick_and_attempt(50)) == {"stock-0"}

    def test_reported_load_decides_without_measured_latency(self) -> None:
        cluster = SimulatedCluster(2)
        load = cluster.member(0).load
        load.in_flight, load.limit = 10, 10
        picked = Counter(
            member.instance for member in (cluster.pick() for _ in range(50)) if member
        )
        assert set(picked) == {"stock-1"}

    def test_new_incarnation_has_a_slow_start(self) -> None:
        cluster = SimulatedCluster(3)
        cluster.pick_and_attempt(100)
        cluster.put("stock-0", incarnation=2, age_s=0.0)
        for index in (1, 2):
            begin_attempt(cluster.scores, cluster.member(index), cluster.now)
        cluster.attempt(cluster.member(0))
        early = cluster.pick_and_attempt(200)["stock-0"]
        cluster.now += SLOW_START_S
        late = cluster.pick_and_attempt(200)["stock-0"]
        assert early < 0.2 * 200 < late

    def test_attempt_at_an_earlier_incarnation_does_not_update_the_score(self) -> None:
        cluster = SimulatedCluster(2)
        old = cluster.member(0)
        begin_attempt(cluster.scores, old, cluster.now)
        new = cluster.put("stock-0", incarnation=2)
        begin_attempt(cluster.scores, new, cluster.now)
        end_attempt(cluster.scores, old, 9.0, AttemptResult.FAILED, cluster.now)
        score = cluster.scores.scores[new.instance]
        assert (score.outstanding, score.failures) == (1, 0)


class TestEjection:
    def test_failing_member_is_ejected(self) -> None:
        cluster = SimulatedCluster(4)
        cluster.pick_and_attempt(20)
        cluster.fail_attempts(cluster.member(0))
        assert "stock-0" not in cluster.pick_and_attempt(100)

    def test_member_that_fails_most_attempts_is_ejected(self) -> None:
        cluster = SimulatedCluster(4)
        cluster.pick_and_attempt(20)
        for _ in range(10):
            cluster.attempt(cluster.member(0))
            cluster.fail_attempts(cluster.member(0), 4)
        assert cluster.scores.scores[InstanceId("stock-0")].ejections > 0
        assert "stock-0" not in cluster.pick_and_attempt(100)

    def test_number_of_ejected_members_is_bounded(self) -> None:
        cluster = SimulatedCluster(6)
        cluster.pick_and_attempt(20)
        for index in range(6):
            cluster.fail_attempts(cluster.member(index), 20)
        ejected = [s for s in cluster.scores.scores.values() if s.ejected_until > cluster.now]
        assert len(ejected) == 6 // MEMBERS_PER_EJECTION
        assert cluster.pick() is not None

    def test_only_member_is_never_ejected(self) -> None:
        cluster = SimulatedCluster(1)
        cluster.pick()
        cluster.fail_attempts(cluster.member(0), 50)
        assert cluster.scores.scores[InstanceId("stock-0")].ejected_until == 0.0

    def test_ejected_member_is_probed_by_one_attempt_at_a_time(self) -> None:
        cluster = SimulatedCluster(2)
        cluster.pick_and_attempt(20)
        cluster.fail_attempts(cluster.member(0))
        cluster.now += EJECTION_MIN_S
        assert cluster.pick(may_probe=False) is cluster.member(1)
        first = cluster.pick()
        assert first is cluster.member(0)
        begin_attempt(cluster.scores, first, cluster.now)
        assert all(cluster.pick() is cluster.member(1) for _ in range(20))

    def test_ejected_member_returns_after_successful_probes(self) -> None:
        cluster = SimulatedCluster(2)
        cluster.pick_and_attempt(20)
        cluster.fail_attempts(cluster.member(0))
        cluster.now += EJECTION_MIN_S
        for _ in range(PROBES_TO_READMIT):
            assert cluster.pick() is cluster.member(0)
            cluster.attempt(cluster.member(0))
        assert cluster.scores.scores[InstanceId("stock-0")].ejected_until == 0.0

    def test_each_failed_probe_doubles_the_ejection_up_to_a_maximum(self) -> None:
        cluster = SimulatedCluster(2)
        cluster.pick_and_attempt(20)
        cluster.fail_attempts(cluster.member(0))
        score = cluster.scores.scores[InstanceId("stock-0")]
        waits_s = []
        for _ in range(8):
            cluster.now = score.ejected_until + 0.01
            cluster.attempt(cluster.member(0), AttemptResult.TIMED_OUT)
            waits_s.append(round(score.ejected_until - cluster.now, 3))
        assert waits_s[:2] == [2 * EJECTION_MIN_S, 4 * EJECTION_MIN_S]
        assert waits_s[-1] == EJECTION_MAX_S

    def test_refusals_and_cancellations_do_not_eject(self) -> None:
        cluster = SimulatedCluster(3)
        cluster.pick_and_attempt(20)
        for _ in range(30):
            cluster.attempt(cluster.member(0), AttemptResult.REFUSED)
            cluster.attempt(cluster.member(1), AttemptResult.CANCELLED)
        assert all(score.ejected_until == 0.0 for score in cluster.scores.scores.values())

    def test_at_most_1_percent_of_calls_go_to_a_member_that_always_fails(self) -> None:
        cluster = SimulatedCluster(5)
        counts = cluster.pick_and_attempt(5000, failing=InstanceId("stock-0"))
        assert counts["stock-0"] <= 0.01 * 5000


class TestScores:
    def test_scores_of_departed_members_are_dropped(self) -> None:
        cluster = SimulatedCluster(3)
        cluster.pick_and_attempt(50)
        cluster.view.remove(InstanceId("stock-1"))
        drop_departed_scores(cluster.scores, cluster.view)
        assert InstanceId("stock-1") not in cluster.scores.scores


class TestRoomElsewhere:
    """Whether a call that one target refused for lack of capacity is worth sending to another."""

    @staticmethod
    def may_have_room(cluster: SimulatedCluster, *tried: int) -> bool:
        instances = frozenset(cluster.member(index).instance for index in tried)
        return may_have_room(cluster.view, cluster.scores, SERVICE, instances, cluster.now)

    @staticmethod
    def make_full(cluster: SimulatedCluster, *indexes: int, occupancy: float = 1.2) -> None:
        for index in indexes:
            member = cluster.member(index)
            record_occupancy(cluster.scores, member, occupancy, 10, cluster.now)

    def test_all_other_targets_are_full(self) -> None:
        cluster = SimulatedCluster(3)
        self.make_full(cluster, 0, 1, 2)
        assert not self.may_have_room(cluster, 0)

    def test_another_target_has_a_free_slot(self) -> None:
        cluster = SimulatedCluster(3)
        self.make_full(cluster, 0, 1)
        self.make_full(cluster, 2, occupancy=0.9)
        assert self.may_have_room(cluster, 0)
        assert not self.may_have_room(cluster, 0, 2)

    def test_target_without_a_fresh_report_may_have_a_free_slot(self) -> None:
        cluster = SimulatedCluster(2)
        self.make_full(cluster, 0)
        assert self.may_have_room(cluster, 0)
        self.make_full(cluster, 1)
        assert not self.may_have_room(cluster, 0)
        cluster.now += OCCUPANCY_VALID_S
        assert self.may_have_room(cluster, 0)

    def test_calls_sent_since_the_report_take_slots(self) -> None:
        cluster = SimulatedCluster(2)
        self.make_full(cluster, 1, occupancy=0.9)
        begin_attempt(cluster.scores, cluster.member(1), cluster.now)
        assert not self.may_have_room(cluster, 0)

    def test_leaving_target_has_no_room(self) -> None:
        cluster = SimulatedCluster(1)
        cluster.put("stock-1", state=MemberState.LEAVING)
        assert not self.may_have_room(cluster, 0)
