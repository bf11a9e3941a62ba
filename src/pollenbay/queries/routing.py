"""The choice of a target: near ones first, the better of two by what was measured here."""

from random import Random

from pollenbay.ids import InstanceId
from pollenbay.score import Candidates, Score, Scores, Taken
from pollenbay.states import MemberState
from pollenbay.view import Member, View

SLOW_START_S = 10.0
SLOW_START_PART = 0.1
#: What is not measured again loses half of its weight in this time, so that it is tried again.
HALF_LIFE_S = 3.0
#: Latency of a service of which nothing has been measured.
UNKNOWN_LATENCY_S = 0.001
#: A target in another zone is taken only below this part of the cost of the near one.
FARTHER_PART = 0.8
#: Success and acceptance count no less than this in the cost.
MIN_PART = 0.1
#: What a fully loaded report adds to the cost.
REPORT_WEIGHT = 0.25
REPORT_VALID_S = 3.0
#: What a target's node told with a reply is used for so long.
TAKEN_VALID_S = 0.5
#: Up to this part of its slots a target is chosen by latency alone, so that fast ones fill first.
UNCROWDED_PART = 0.85
#: By how many latencies a target costs more for each further limit's worth of calls.
CROWDED_WEIGHT = 10.0


def choose(
    view: View,
    scores: Scores,
    candidates: Candidates,
    excluded: frozenset[InstanceId],
    now: float,
    rng: Random,
    may_probe: bool = True,
) -> Member | None:
    """Return the target for an attempt, or None if no live one is known.

    A target whose ejection is over is taken as soon as it is met, one attempt at a time.

    :param excluded: instances that this call has tried.
    :param may_probe: whether this call may be such an attempt.
    """
    first = _sample(view, scores, candidates.near, excluded, now, rng, None, may_probe)
    if first is None:
        first = _sample(view, scores, candidates.subset, excluded, now, rng, None, may_probe)
    second = _sample(view, scores, candidates.subset, excluded, now, rng, first, may_probe)
    if first is not None and second is not None:
        return _better(scores, first, second, now)
    return first or _fallback(view, scores, candidates, excluded, now)


def cost(member: Member, score: Score | None, typical_s: float, now: float) -> float:
    """Return the expected cost of one more attempt, in seconds of weighted latency.

    :param typical_s: latency of the service, for a target that has not been measured.
    """
    if score is None or score.incarnation != member.incarnation:
        return typical_s * _report_factor(member, now) / _warmth(member, now)
    if score.taken is not None and now - score.taken.told_at < TAKEN_VALID_S:
        return _told_cost(member, score, score.taken, typical_s, now)
    age = 0.5 ** ((now - score.measured_at) / HALF_LIFE_S)
    latency_s = score.latency_s * age if score.latency_s else typical_s
    parts = max(1.0 - (1.0 - score.success) * age, MIN_PART)
    parts *= max(1.0 - score.refused * age, MIN_PART)
    own_cost = (score.outstanding + 1) * latency_s / (parts * _warmth(member, now))
    return own_cost * _report_factor(member, now)


def crowding(taken: float) -> float:
    """Return by how much a target costs more than an idle one.

    Answers the load pattern in which a service is nearly full and its targets differ in speed: all
    slots have to be taken before any target has a queue.

    :param taken: calls that run or wait there, as a part of what may run.
    """
    return 1.0 + CROWDED_WEIGHT * max(taken - UNCROWDED_PART, 0.0)


def _told_cost(member: Member, score: Score, told: Taken, typical_s: float, now: float) -> float:
    """Return the cost by what the target's node told, corrected by what was sent since."""
    sent_since = score.outstanding - told.outstanding
    taken = told.part + sent_since / max(told.limit, 1)
    latency_s = score.latency_s or typical_s
    success = max(score.success, MIN_PART) * max(1.0 - score.refused, MIN_PART)
    return latency_s * crowding(taken) / (success * _warmth(member, now))


def available(score: Score | None, now: float, may_probe: bool = True) -> bool:
    """Tell whether a target is not ejected, or is due to be tried and not being tried."""
    if score is None or not score.ejected_until:
        return True
    return may_probe and now >= score.ejected_until and not score.outstanding


def due_for_probe(score: Score | None, now: float) -> bool:
    """Tell whether the ejection of a target is over and it has still to prove itself."""
    return score is not None and 0.0 < score.ejected_until <= now


def _sample(
    view: View,
    scores: Scores,
    instances: list[InstanceId],
    excluded: frozenset[InstanceId],
    now: float,
    rng: Random,
    other: Member | None,
    may_probe: bool,
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
        if available(scores.scores.get(instance), now, may_probe):
            return member
    return None


def _better(scores: Scores, first: Member, second: Member, now: float) -> Member:
    first_score = scores.scores.get(first.instance)
    second_score = scores.scores.get(second.instance)
    if due_for_probe(second_score, now):
        return second
    if due_for_probe(first_score, now):
        return first
    typical_s = scores.typical_s.get(first.service, UNKNOWN_LATENCY_S)
    first_cost = cost(first, first_score, typical_s, now)
    second_cost = cost(second, second_score, typical_s, now)
    part = 1.0 if first.place.zone == second.place.zone else FARTHER_PART
    return second if second_cost < part * first_cost else first


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
