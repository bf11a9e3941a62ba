"""The choice of a target: near ones first, the better of two by what was measured here."""

from random import Random

from pollenbay.ids import InstanceId
from pollenbay.score import Candidates, Score, Scores
from pollenbay.states import MemberState
from pollenbay.view import Member, View

SLOW_START_S = 10.0
SLOW_START_PART = 0.1
#: A latency that is not measured again loses half of its weight in this time.
LATENCY_HALF_LIFE_S = 3.0
UNKNOWN_LATENCY_S = 0.001
#: Success and acceptance count no less than this in the cost.
MIN_PART = 0.1
#: What a fully loaded report adds to the cost.
REPORT_WEIGHT = 0.25
REPORT_VALID_S = 3.0


def choose(
    view: View,
    scores: Scores,
    candidates: Candidates,
    excluded: frozenset[InstanceId],
    now: float,
    rng: Random,
) -> Member | None:
    """Return the target for an attempt, or None if no live one is known.

    :param excluded: instances that this call has tried.
    """
    first = _sample(view, scores, candidates.near, excluded, now, rng, None)
    second = _sample(view, scores, candidates.subset, excluded, now, rng, first)
    if first is not None and second is not None:
        return _better(scores, first, second, now)
    return first or second or _fallback(view, scores, candidates, excluded, now)


def cost(member: Member, score: Score | None, now: float) -> float:
    """Return the expected cost of one more attempt, in seconds of weighted latency."""
    if score is None or score.incarnation != member.incarnation:
        return UNKNOWN_LATENCY_S * _report_factor(member, now) / _warmth(member, now)
    latency_s = _latency_now_s(score, now)
    parts = max(score.success, MIN_PART) * max(1.0 - score.refused, MIN_PART)
    own_cost = (score.outstanding + 1) * latency_s / (parts * _warmth(member, now))
    return own_cost * _report_factor(member, now)


def available(score: Score | None, now: float) -> bool:
    """Tell whether a target is not ejected; after an ejection one probe at a time passes."""
    if score is None or not score.ejected_until:
        return True
    return now >= score.ejected_until and not (score.probing and score.outstanding)


def _sample(
    view: View,
    scores: Scores,
    instances: list[InstanceId],
    excluded: frozenset[InstanceId],
    now: float,
    rng: Random,
    other: Member | None,
) -> Member | None:
    size = len(instances)
    if not size:
        return None
    start = int(rng.random() * size)
    for step in range(size):
        instance = instances[(start + step) % size]
        if instance in excluded or (other is not None and other.instance == instance):
            continue
        member = view.members.get(instance)
        if member is None or member.state is not MemberState.SERVING:
            continue
        if available(scores.scores.get(instance), now):
            return member
    return None


def _better(scores: Scores, first: Member, second: Member, now: float) -> Member:
    first_cost = cost(first, scores.scores.get(first.instance), now)
    second_cost = cost(second, scores.scores.get(second.instance), now)
    return first if first_cost <= second_cost else second


def _fallback(
    view: View,
    scores: Scores,
    candidates: Candidates,
    excluded: frozenset[InstanceId],
    now: float,
) -> Member | None:
    for instances, trusted in (
        (candidates.spare, True),
        (candidates.subset, False),
        (candidates.suspects, False),
    ):
        for instance in instances:
            member = view.members.get(instance)
            if instance in excluded or member is None or not _reachable(member):
                continue
            if not trusted or available(scores.scores.get(instance), now):
                return member
    return None


def _reachable(member: Member) -> bool:
    return member.state is MemberState.SERVING or member.state is MemberState.SUSPECT


def _latency_now_s(score: Score, now: float) -> float:
    if not score.latency_s:
        return UNKNOWN_LATENCY_S
    idle_s = now - score.measured_at
    return score.latency_s / (1.0 + idle_s / LATENCY_HALF_LIFE_S)


def _warmth(member: Member, now: float) -> float:
    age_s = now - member.first_seen_at
    if age_s >= SLOW_START_S:
        return 1.0
    return max(age_s / SLOW_START_S, SLOW_START_PART)


def _report_factor(member: Member, now: float) -> float:
    if now - member.heard_at > REPORT_VALID_S:
        return 1.0
    load = member.load
    return 1.0 + REPORT_WEIGHT * min((load.in_flight + load.queued) / max(load.limit, 1), 1.0)
