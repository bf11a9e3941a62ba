"""Choice of peers: spread over zones and regions, even, connected, and stable."""

from collections import Counter
from dataclasses import replace

import pytest
from membership_double import member_for, view_of

from pollenbay.ids import InstanceId
from pollenbay.queries.peers import RINGS, ZONE_RINGS, choose_peers
from pollenbay.states import MemberState
from pollenbay.view import View

#: Heartbeats a second that the most chosen member may have to answer.
CHOOSERS_MAX = 12
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1", "z4": "r2", "z5": "r2", "z6": "r3", "z7": "r3"}


def make_world(size: int) -> View:
    """Return a view of `size` members spread over seven zones in three regions."""
    zones = list(ZONES.items())
    members = []
    for number in range(size):
        zone, region = zones[number % len(zones)]
        members.append(member_for(f"i{number:04d}", zone=zone, region=region))
    return view_of(*members)


def reach_of(edges: dict[InstanceId, list[InstanceId]], start: InstanceId) -> list[int]:
    """Return how many members are reached after each step from one."""
    reached, frontier, counts = {start}, {start}, [1]
    while frontier:
        frontier = {peer for each in frontier for peer in edges[each]} - reached
        reached |= frontier
        counts.append(len(reached))
    return counts


class TestChoice:
    def test_peers_are_of_own_zone_other_zones_and_another_region(self):
        view = make_world(70)
        for instance, member in view.members.items():
            chosen = [view.members[each].place for each in choose_peers(view, instance)]
            assert len(chosen) == RINGS
            own = member.place
            assert sum(place.zone == own.zone for place in chosen) >= ZONE_RINGS
            assert any(place.zone != own.zone and place.region == own.region for place in chosen)
            assert any(place.region != own.region for place in chosen)

    @pytest.mark.parametrize("size", [1, 2, 3, 5])
    def test_small_group_is_fully_connected(self, size):
        view = view_of(*(member_for(f"i{number}") for number in range(size)))
        for instance in view.members:
            assert set(choose_peers(view, instance)) == set(view.members) - {instance}

    def test_dead_and_leaving_are_not_chosen_and_suspects_are(self):
        view = view_of(*(member_for(name) for name in "abcd"))
        for name, state in (
            ("b", MemberState.DEAD),
            ("c", MemberState.LEAVING),
            ("d", MemberState.SUSPECT),
        ):
            view.put(replace(view.members[InstanceId(name)], state=state))
        assert choose_peers(view, InstanceId("a")) == ["d"]

    def test_loss_of_one_member_moves_few_choices(self):
        view = make_world(210)
        before = {each: choose_peers(view, each) for each in view.members}
        view.remove(InstanceId("i0100"))
        after = {each: choose_peers(view, each) for each in view.members}
        moved = sum(before[each] != after[each] for each in after)
        assert moved <= 4 * RINGS


class TestGraph:
    def test_news_reaches_all_in_few_steps(self):
        view = make_world(700)
        edges = {each: choose_peers(view, each) for each in view.members}
        counts = reach_of(edges, InstanceId("i0000"))
        assert counts[-1] == 700
        assert len(counts) <= 10

    def test_everybody_is_watched_from_several_sides(self):
        view = make_world(700)
        edges = {each: choose_peers(view, each) for each in view.members}
        choosers = Counter(peer for peers in edges.values() for peer in peers)
        assert min(choosers[each] for each in view.members) >= 1
        assert max(choosers.values()) <= CHOOSERS_MAX
        for instance, peers in edges.items():
            watchers = set(peers) | {each for each in edges if instance in edges[each]}
            zones = {view.members[each].place.zone for each in watchers}
            assert len(watchers) >= RINGS
            assert len(zones) >= 3
