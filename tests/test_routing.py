"""Tests of the choice of a target and of what is learned from attempts."""

from collections import Counter
from dataclasses import replace
from random import Random

from pollenbay.commands.routing import (
    CANDIDATES_VALID_S,
    EJECT_AFTER_FAILURES,
    EJECTION_MAX_S,
    EJECTION_MIN_S,
    MEMBERS_PER_EJECTION,
    PROBES_TO_RETURN,
    begin_attempt,
    end_attempt,
    forget_gone,
    pick,
)
from pollenbay.ids import HostId, Incarnation, InstanceId, RegionId, ServiceName, ZoneId
from pollenbay.queries.routing import SLOW_START_S
from pollenbay.score import AttemptResult, Scores, make_scores
from pollenbay.states import MemberState
from pollenbay.view import Endpoints, Member, Place, View, make_view

SERVICE = ServiceName("stock")
ORIGIN = Place(HostId("origin"), ZoneId("zone-0"), RegionId("north"))
NOW = 1000.0
NONE: frozenset[InstanceId] = frozenset()
LATENCY_S = 0.02


class World:
    """A view, scores and a clock, with attempts that end at once."""

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
            Place(HostId(name), ZoneId(f"zone-{zone}"), RegionId("north")),
            Endpoints("127.0.0.1", 1, 2),
            state,
            heard_at=self.now,
            first_seen_at=self.now - age_s,
        )
        self.view.put(member)
        return member

    def member(self, index: int) -> Member:
        return self.view.members[InstanceId(f"stock-{index}")]

    def pick(self, excluded: frozenset[InstanceId] = NONE, may_probe: bool = True) -> Member | None:
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

    def fail(self, member: Member, times: int = EJECT_AFTER_FAILURES) -> None:
        for _ in range(times):
            self.attempt(member, AttemptResult.FAILED)

    def picks(self, count: int, bad: InstanceId | None = None) -> Counter[str]:
        counts: Counter[str] = Counter()
        for _ in range(count):
            member = self.pick()
            assert member is not None
            counts[member.instance] += 1
            failed = member.instance == bad
            self.attempt(member, AttemptResult.FAILED if failed else AttemptResult.ANSWERED)
        return counts


class TestStates:
    def test_no_member_no_target(self) -> None:
        assert World(0).pick() is None

    def test_a_leaving_member_gets_nothing(self) -> None:
        world = World(2)
        world.view.put(replace(world.member(0), state=MemberState.LEAVING))
        assert set(world.picks(50)) == {"stock-1"}

    def test_a_member_that_began_to_leave_in_place_gets_nothing(self) -> None:
        world = World(2)
        world.pick()
        world.member(0).state = MemberState.LEAVING
        assert set(world.picks(50)) == {"stock-1"}

    def test_leaving_and_dead_are_no_last_resort(self) -> None:
        for state in (MemberState.LEAVING, MemberState.DEAD, MemberState.STARTING):
            world = World(1)
            world.pick()
            world.view.put(replace(world.member(0), state=state))
            assert world.pick() is None

    def test_a_suspect_is_the_last_resort(self) -> None:
        world = World(2)
        world.view.put(replace(world.member(0), state=MemberState.SUSPECT))
        assert set(world.picks(50)) == {"stock-1"}
        last = world.pick(frozenset({InstanceId("stock-1")}))
        assert last is not None and last.instance == "stock-0"

    def test_a_new_member_is_called_at_once(self) -> None:
        world = World(1)
        world.pick()
        world.put("stock-1")
        assert set(world.picks(100)) == {"stock-0", "stock-1"}

    def test_a_state_changed_in_place_is_seen_within_a_second(self) -> None:
        world = World(1)
        world.put("stock-1", state=MemberState.STARTING)
        world.pick()
        world.member(1).state = MemberState.SERVING
        world.now += CANDIDATES_VALID_S
        assert set(world.picks(100)) == {"stock-0", "stock-1"}

    def test_tried_ones_are_excluded(self) -> None:
        world = World(3)
        excluded = frozenset({InstanceId("stock-0"), InstanceId("stock-2")})
        picked = world.pick(excluded)
        assert picked is not None and picked.instance == "stock-1"
        assert world.pick(excluded | {InstanceId("stock-1")}) is None


class TestCost:
    def test_near_members_get_the_calls_while_they_are_as_good(self) -> None:
        assert set(World(8, zones=4).picks(400)) == {"stock-0", "stock-4"}

    def test_a_little_latency_does_not_send_calls_to_another_zone(self) -> None:
        world = World(4, zones=4)
        for index in range(4):
            world.attempt(world.member(index), latency_s=0.9 * LATENCY_S if index else LATENCY_S)
        picked = {member.instance for member in (world.pick() for _ in range(50)) if member}
        assert picked == {"stock-0"}

    def test_calls_spill_to_other_zones_when_near_members_are_busy(self) -> None:
        world = World(8, zones=4)
        world.picks(50)
        for index in (0, 4):
            for _ in range(10):
                begin_attempt(world.scores, world.member(index), world.now)
        counts = world.picks(400)
        assert counts["stock-0"] + counts["stock-4"] < 0.25 * 400
        assert len(counts) == 8

    def test_this_host_goes_before_its_zone(self) -> None:
        world = World(4)
        world.put("own")
        own = world.view.members[InstanceId("own")]
        world.view.put(replace(own, place=ORIGIN))
        assert world.picks(200)["own"] > 0.4 * 200

    def test_outstanding_attempts_repel(self) -> None:
        world = World(2)
        world.picks(20)
        for _ in range(10):
            begin_attempt(world.scores, world.member(0), world.now)
        assert set(world.picks(50)) == {"stock-1"}

    def test_a_slow_member_gets_less(self) -> None:
        world = World(4)
        for index in range(4):
            world.attempt(world.member(index), latency_s=0.2 if index == 0 else LATENCY_S)
        assert world.picks(200)["stock-0"] <= 10

    def test_a_slow_measurement_is_forgotten(self) -> None:
        world = World(2)
        world.attempt(world.member(0), latency_s=5.0)
        world.attempt(world.member(1))
        assert "stock-0" not in world.picks(50)
        world.now += 60.0
        world.attempt(world.member(1))
        assert "stock-0" in world.picks(50)

    def test_quick_refusals_do_not_attract(self) -> None:
        world = World(2)
        for _ in range(10):
            world.attempt(world.member(1))
            world.attempt(world.member(0), AttemptResult.REFUSED, latency_s=0.0001)
        assert world.picks(50)["stock-0"] == 0

    def test_a_member_that_has_only_refused_is_taken_for_as_slow_as_the_others(self) -> None:
        world = World(2)
        for _ in range(10):
            world.attempt(world.member(1), latency_s=0.5)
            world.attempt(world.member(0), AttemptResult.REFUSED, latency_s=0.0001)
        picked = {member.instance for member in (world.pick() for _ in range(50)) if member}
        assert picked == {"stock-1"}

    def test_own_latency_goes_before_a_misleading_report(self) -> None:
        world = World(2)
        for _ in range(10):
            world.attempt(world.member(0), latency_s=LATENCY_S)
            world.attempt(world.member(1), latency_s=2 * LATENCY_S)
        busy = world.member(0).load
        busy.in_flight, busy.limit, busy.queued = 100, 10, 50
        assert set(world.picks(50)) == {"stock-0"}

    def test_a_report_decides_between_equals(self) -> None:
        world = World(2)
        load = world.member(0).load
        load.in_flight, load.limit = 10, 10
        picked = Counter(member.instance for member in (world.pick() for _ in range(50)) if member)
        assert set(picked) == {"stock-1"}

    def test_a_fresh_incarnation_starts_slowly(self) -> None:
        world = World(3)
        world.picks(100)
        world.put("stock-0", incarnation=2, age_s=0.0)
        for index in (1, 2):
            begin_attempt(world.scores, world.member(index), world.now)
        world.attempt(world.member(0))
        early = world.picks(200)["stock-0"]
        world.now += SLOW_START_S
        late = world.picks(200)["stock-0"]
        assert early < 0.2 * 200 < late

    def test_an_attempt_at_an_earlier_incarnation_teaches_nothing(self) -> None:
        world = World(2)
        old = world.member(0)
        begin_attempt(world.scores, old, world.now)
        new = world.put("stock-0", incarnation=2)
        begin_attempt(world.scores, new, world.now)
        end_attempt(world.scores, old, 9.0, AttemptResult.FAILED, world.now)
        score = world.scores.scores[new.instance]
        assert (score.outstanding, score.failures) == (1, 0)


class TestEjection:
    def test_a_failing_member_is_left_out(self) -> None:
        world = World(4)
        world.picks(20)
        world.fail(world.member(0))
        assert "stock-0" not in world.picks(100)

    def test_a_member_that_fails_most_attempts_is_left_out(self) -> None:
        world = World(4)
        world.picks(20)
        for _ in range(10):
            world.attempt(world.member(0))
            world.fail(world.member(0), 4)
        assert world.scores.scores[InstanceId("stock-0")].ejections > 0
        assert "stock-0" not in world.picks(100)

    def test_not_all_are_ejected_at_once(self) -> None:
        world = World(6)
        world.picks(20)
        for index in range(6):
            world.fail(world.member(index), 20)
        ejected = [s for s in world.scores.scores.values() if s.ejected_until > world.now]
        assert len(ejected) == 6 // MEMBERS_PER_EJECTION
        assert world.pick() is not None

    def test_the_only_member_is_never_ejected(self) -> None:
        world = World(1)
        world.pick()
        world.fail(world.member(0), 50)
        assert world.scores.scores[InstanceId("stock-0")].ejected_until == 0.0

    def test_it_is_tried_by_one_attempt_at_a_time(self) -> None:
        world = World(2)
        world.picks(20)
        world.fail(world.member(0))
        world.now += EJECTION_MIN_S
        assert world.pick(may_probe=False) is world.member(1)
        first = world.pick()
        assert first is world.member(0)
        begin_attempt(world.scores, first, world.now)
        assert all(world.pick() is world.member(1) for _ in range(20))

    def test_it_returns_after_answered_attempts(self) -> None:
        world = World(2)
        world.picks(20)
        world.fail(world.member(0))
        world.now += EJECTION_MIN_S
        for _ in range(PROBES_TO_RETURN):
            assert world.pick() is world.member(0)
            world.attempt(world.member(0))
        assert world.scores.scores[InstanceId("stock-0")].ejected_until == 0.0

    def test_each_failed_try_doubles_the_wait_up_to_a_bound(self) -> None:
        world = World(2)
        world.picks(20)
        world.fail(world.member(0))
        score = world.scores.scores[InstanceId("stock-0")]
        waits_s = []
        for _ in range(8):
            world.now = score.ejected_until + 0.01
            world.attempt(world.member(0), AttemptResult.TIMED_OUT)
            waits_s.append(round(score.ejected_until - world.now, 3))
        assert waits_s[:2] == [2 * EJECTION_MIN_S, 4 * EJECTION_MIN_S]
        assert waits_s[-1] == EJECTION_MAX_S

    def test_refusals_and_cancellations_are_no_faults(self) -> None:
        world = World(3)
        world.picks(20)
        for _ in range(30):
            world.attempt(world.member(0), AttemptResult.REFUSED)
            world.attempt(world.member(1), AttemptResult.CANCELLED)
        assert all(score.ejected_until == 0.0 for score in world.scores.scores.values())

    def test_few_calls_go_to_a_member_that_fails_all(self) -> None:
        world = World(5)
        counts = world.picks(5000, bad=InstanceId("stock-0"))
        assert counts["stock-0"] <= 0.01 * 5000


class TestMemory:
    def test_scores_of_members_that_are_gone_are_dropped(self) -> None:
        world = World(3)
        world.picks(50)
        world.view.remove(InstanceId("stock-1"))
        forget_gone(world.scores, world.view)
        assert InstanceId("stock-1") not in world.scores.scores
