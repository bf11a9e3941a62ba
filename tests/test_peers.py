"""Selection of peers: spread over zones and regions, balanced, connected and stable."""

from collections import Counter
from dataclasses import replace

import pytest
from membership_double import member_for, view_of

from pollenbay.ids import InstanceId
from pollenbay.queries.peers import RINGS, SAME_ZONE_RINGS, select_peers
from pollenbay.states import MemberState
from pollenbay.view import View

#: Maximum number of nodes that may select one member; each sends it one heartbeat per second.
SELECTIONS_MAX = 12
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1", "z4": "r2", "z5": "r2", "z6": "r3", "z7": "r3"}


def make_multi_region_view(size: int) -> View:
    """Return a view of `size` members spread over seven zones in three regions."""
    zones = list(ZONES.items())
    members = []
    for number in range(size):
        zone, region = zones[number % len(zones)]
        members.append(member_for(f"i{number:04d}", zone=zone, region=region))
    return view_of(*members)


def count_reached(edges: dict[InstanceId, list[InstanceId]], start: InstanceId) -> list[int]:
    """Return the number of members reached after each step from a start."""
    reached, frontier, counts = {start}, {start}, [1]
    while frontier:
        frontier = {peer for each in frontier for peer in edges[each]} - reached
        reached |= frontier
        counts.append(len(reached))
    return counts


class TestSelection:
    def test_peers_cover_own_zone_other_zones_and_another_region(self):
        view = make_multi_region_view(70)
        for instance, member in view.members.items():
            locations = [view.members[each].location for each in select_peers(view, instance)]
            assert len(locations) == RINGS
            own = member.location
            assert sum(place.zone == own.zone for place in locations) >= SAME_ZONE_RINGS
            assert any(place.zone != own.zone and place.region == own.region for place in locations)
            assert any(place.region != own.region for place in locations)

    @pytest.mark.parametrize("size", [1, 2, 3, 5])
    def test_small_group_is_fully_connected(self, size):
        view = view_of(*(member_for(f"i{number}") for number in range(size)))
        for instance in view.members:
            assert set(select_peers(view, instance)) == set(view.members) - {instance}

    def test_suspects_are_selected_and_dead_and_leaving_are_not(self):
        view = view_of(*(member_for(name) for name in "abcd"))
        for name, state in (
            ("b", MemberState.DEAD),
            ("c", MemberState.LEAVING),
            ("d", MemberState.SUSPECT),
        ):
            view.put(replace(view.members[InstanceId(name)], state=state))
        assert select_peers(view, InstanceId("a")) == ["d"]

    def test_loss_of_one_member_changes_few_selections(self):
        view = make_multi_region_view(210)
        before = {each: select_peers(view, each) for each in view.members}
        view.remove(InstanceId("i0100"))
        after = {each: select_peers(view, each) for each in view.members}
        changed = sum(before[each] != after[each] for each in after)
        assert changed <= 4 * RINGS


class TestGraph:
    def test_updates_reach_all_members_in_few_steps(self):
        view = make_multi_region_view(700)
        edges = {each: select_peers(view, each) for each in view.members}
        counts = count_reached(edges, InstanceId("i0000"))
        assert counts[-1] == 700
        assert len(counts) <= 10

    def test_each_member_is_watched_from_several_zones(self):
        view = make_multi_region_view(700)
        edges = {each: select_peers(view, each) for each in view.members}
        selections = Counter(peer for peers in edges.values() for peer in peers)
        assert min(selections[each] for each in view.members) >= 1
        assert max(selections.values()) <= SELECTIONS_MAX
        for instance, peers in edges.items():
            watchers = set(peers) | {each for each in edges if instance in edges[each]}
            zones = {view.members[each].location.zone for each in watchers}
            assert len(watchers) >= RINGS
            assert len(zones) >= 3
