"""How long feed requests are held: some member always asks again soon."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from membership_double import member_for, view_of

from pollenbay.ids import InstanceId
from pollenbay.queries.rulefeed import HOLD_RANGE_S, SENTINELS_MAX, hold_s, is_sentinel
from pollenbay.states import MemberState

SENTINEL_HOLD_S = 1.5

MEMBERS = st.dictionaries(
    st.text("abcdefgh0123456789-", min_size=1, max_size=12),
    st.sampled_from(MemberState),
    min_size=1,
    max_size=40,
)


@given(members=MEMBERS)
def test_some_live_members_ask_again_soon(members: dict[str, MemberState]) -> None:
    view = view_of(*(member_for(name, state=state) for name, state in members.items()))
    alive = {
        name
        for name, state in members.items()
        if state in (MemberState.STARTING, MemberState.SERVING)
    }
    sentinels = {name for name in members if is_sentinel(view, InstanceId(name))}
    assert sentinels <= alive
    assert len(sentinels) == min(len(alive), SENTINELS_MAX)


@given(members=MEMBERS, seed=st.integers(0, 1000))
def test_hold_is_short_for_sentinels_only(members: dict[str, MemberState], seed: int) -> None:
    view = view_of(*(member_for(name, state=state) for name, state in members.items()))
    for name in map(InstanceId, members):
        held_s = hold_s(view, name, SENTINEL_HOLD_S, Random(seed))
        if is_sentinel(view, name):
            assert held_s == SENTINEL_HOLD_S
        else:
            assert HOLD_RANGE_S[0] <= held_s <= HOLD_RANGE_S[1]
