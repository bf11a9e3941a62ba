"""How long the table may hold this node's requests for newer rules."""

from functools import partial
from heapq import nsmallest
from random import Random

from pollenbay.ids import InstanceId
from pollenbay.queries.peers import ring_position
from pollenbay.states import MemberState
from pollenbay.view import View

#: Members whose requests are held briefly. They notice soon that a connection is dead or that the
#: table has lost their position, and pass newer rules on to the others.
SENTINELS_MAX = 3
#: Range of the time for which requests of the other members are held.
HOLD_RANGE_S = (3.75, 5.0)
_ALIVE = frozenset({MemberState.STARTING, MemberState.SERVING})


def hold_s(view: View, local: InstanceId, sentinel_hold_s: float, rng: Random) -> float:
    """Return the seconds for which this node's next request is held.

    :param sentinel_hold_s: the same for a sentinel.
    """
    return sentinel_hold_s if is_sentinel(view, local) else rng.uniform(*HOLD_RANGE_S)


def is_sentinel(view: View, local: InstanceId) -> bool:
    """Return whether a member is one of the few whose requests are held briefly."""
    alive = (member.instance for member in view.members.values() if member.state in _ALIVE)
    return local in nsmallest(SENTINELS_MAX, alive, key=partial(ring_position, ring=0))
