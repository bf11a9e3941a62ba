"""Tests of the subset of members that a node calls."""

from collections import Counter

from pollenbay.ids import HostId, Incarnation, InstanceId, RegionId, ServiceName, ZoneId
from pollenbay.states import MemberState
from pollenbay.subset import SUBSET_MEMBERS_MAX, distance, make_candidates
from pollenbay.view import Endpoints, Location, Member, View, make_view

SERVICE = ServiceName("stock")
ORIGIN = Location(HostId("origin"), ZoneId("zone-0"), RegionId("north"))


def make_place(host: str, zone: int, region: str = "north") -> Location:
    return Location(HostId(host), ZoneId(f"zone-{zone}"), RegionId(region))


def make_member(name: str, location: Location, state: MemberState = MemberState.SERVING) -> Member:
    endpoints = Endpoints("127.0.0.1", 1, 2)
    return Member(
        InstanceId(name), Incarnation(1), SERVICE, location, endpoints, state, 0.0, -100.0
    )


def make_view_of(*members: Member) -> View:
    view = make_view()
    for item in members:
        view.put(item)
    return view


class TestDistance:
    def test_distance_grows_from_host_to_region(self) -> None:
        places = [
            ORIGIN,
            make_place("near", 0),
            make_place("other-zone", 1),
            make_place("other-region", 0, "south"),
        ]
        assert [distance(item, ORIGIN) for item in places] == [0, 1, 2, 3]


class TestSubset:
    def test_nearest_members_come_first(self) -> None:
        view = make_view_of(
            make_member("far", make_place("a", 3, "south")),
            make_member("other", make_place("b", 1)),
            make_member("near", make_place("c", 0)),
        )
        candidates = make_candidates(view, SERVICE, ORIGIN, 0.0)
        assert candidates.subset == ["near", "other", "far"]
        assert candidates.nearest == ["near"]

    def test_subset_is_bounded_and_the_rest_is_spare(self) -> None:
        members = [make_member(f"stock-{n}", make_place(f"host-{n}", n % 7)) for n in range(64)]
        candidates = make_candidates(make_view_of(*members), SERVICE, ORIGIN, 0.0)
        assert len(candidates.subset) == SUBSET_MEMBERS_MAX
        assert len(candidates.outside_subset) == 64 - SUBSET_MEMBERS_MAX

    def test_subsets_of_many_nodes_cover_members_evenly(self) -> None:
        members = [make_member(f"stock-{n}", make_place(f"host-{n}", 0)) for n in range(64)]
        view = make_view_of(*members)
        counts: Counter[InstanceId] = Counter()
        for node in range(400):
            candidates = make_candidates(view, SERVICE, make_place(f"node-{node}", 0), 0.0)
            counts.update(candidates.subset)
        mean = 400 * SUBSET_MEMBERS_MAX / 64
        assert len(counts) == 64
        assert max(counts.values()) < 1.5 * mean
        assert min(counts.values()) > 0.5 * mean

    def test_removed_member_changes_one_entry_of_the_subset(self) -> None:
        members = [make_member(f"stock-{n}", make_place(f"host-{n}", 0)) for n in range(64)]
        view = make_view_of(*members)
        before = make_candidates(view, SERVICE, ORIGIN, 0.0).subset
        view.remove(before[3])
        after = make_candidates(view, SERVICE, ORIGIN, 0.0).subset
        assert len(set(before) - set(after)) == 1


class TestStates:
    def test_subset_contains_only_serving_members(self) -> None:
        members = [
            make_member(state.value, make_place(state.value, 0), state) for state in MemberState
        ]
        candidates = make_candidates(make_view_of(*members), SERVICE, ORIGIN, 0.0)
        assert candidates.subset == ["serving"]
        assert candidates.suspects == ["suspect"]
        assert candidates.outside_subset == []

    def test_unknown_service_has_no_candidates(self) -> None:
        candidates = make_candidates(make_view(), SERVICE, ORIGIN, 0.0)
        assert candidates.nearest == candidates.subset == candidates.suspects == []
