"""Selection of a target: near ones first, the better of two by locally measured cost."""

from random import Random

from pollenbay.ids import InstanceId, ServiceName
from pollenbay.score import Candidates, OccupancyReport, Score, Scores
from pollenbay.states import MemberState
from pollenbay.view import Member, View

SLOW_START_S = 10.0
SLOW_START_MIN_RATIO = 0.1
#: Half-life of a measurement that is not repeated; it decays so that the target is tried again.
SCORE_HALF_LIFE_S = 3.0
#: Latency assumed for a service that has not been measured.
DEFAULT_LATENCY_S = 0.001
#: A target in another zone is selected only below this ratio of the cost of the near one.
CROSS_ZONE_COST_RATIO = 0.8
#: Lower bound of the success and acceptance ratios in the cost.
MIN_RATIO = 0.1
#: Relative cost added by a load report at full load.
REPORT_WEIGHT = 0.25
REPORT_VALID_S = 3.0
#: Seconds for which an occupancy reported with a reply is used.
OCCUPANCY_VALID_S = 0.5
#: Occupancy from which a target has no free slot.
FULL_OCCUPANCY = 1.0
#: Up to this occupancy a target is selected by latency alone, so that fast ones fill first.
UNCONGESTED_RATIO = 0.85
#: Cost added, in multiples of the latency, per unit of occupancy above `UNCONGESTED_RATIO`.
CONGESTION_WEIGHT = 10.0


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

    A target whose ejection period is over is selected as soon as it is sampled, for one attempt
    at a time.

    :param excluded: instances that this call has tried.
    :param may_probe: whether this call may be such an attempt.
    """
    first = _sample(view, scores, candidates.nearest, excluded, now, rng, None, may_probe)
    if first is None:
        first = _sample(view, scores, candidates.subset, excluded, now, rng, None, may_probe)
    second = _sample(view, scores, candidates.subset, excluded, now, rng, first, may_probe)
    if first is not None and second is not None:
        return _better(scores, first, second, now)
    return first or _fallback(view, scores, candidates, excluded, now)


def cost(member: Member, score: Score | None, service_latency_s: float, now: float) -> float:
    """Return the expected cost of one more attempt, in seconds of weighted latency.

    :param service_latency_s: latency of the service, for a target that has not been measured.
    """
    if score is None or score.incarnation != member.incarnation:
        return service_latency_s * _report_factor(member, now) / _slow_start_factor(member, now)
    if score.occupancy is not None and now - score.occupancy.received_at < OCCUPANCY_VALID_S:
        return _reported_cost(member, score, score.occupancy, service_latency_s, now)
    decay = 0.5 ** ((now - score.measured_at) / SCORE_HALF_LIFE_S)
    latency_s = score.latency_s * decay if score.latency_s else service_latency_s
    success_ratio = max(1.0 - (1.0 - score.success_ratio) * decay, MIN_RATIO)
    success_ratio *= max(1.0 - score.refused_ratio * decay, MIN_RATIO)
    measured_cost = (
        (score.outstanding + 1) * latency_s / (success_ratio * _slow_start_factor(member, now))
    )
    return measured_cost * _report_factor(member, now)


def may_have_room(
    view: View, scores: Scores, service: ServiceName, tried: frozenset[InstanceId], now: float
) -> bool:
    """Return whether a target that was not tried may have a free slot, as far as is known.

    Covers the load pattern in which all targets of a service are full: a refused call that is sent
    to each of them in turn takes no slot and multiplies the arrivals that all of them refuse.
    """
    return any(
        member.state is MemberState.SERVING
        and member.instance not in tried
        and _may_have_slot(scores.scores.get(member.instance), member, now)
        for member in view.members_of(service)
    )


def _may_have_slot(score: Score | None, member: Member, now: float) -> bool:
    if score is None or score.incarnation != member.incarnation or score.occupancy is None:
        return True
    if now - score.occupancy.received_at >= OCCUPANCY_VALID_S:
        return True
    return _current_occupancy(score, score.occupancy) < FULL_OCCUPANCY


def _current_occupancy(score: Score, report: OccupancyReport) -> float:
    """Return a reported occupancy, corrected by the calls sent since the report."""
    return report.occupancy + (score.outstanding - report.outstanding) / max(report.limit, 1)


def congestion_factor(occupancy: float) -> float:
    """Return the factor by which a target costs more than an idle one.

    Covers the load pattern in which a service is nearly full and its targets differ in speed: all
    slots have to be in use before any target has a queue.

    :param occupancy: calls running or queued there, as a ratio of the limit.
    """
    return 1.0 + CONGESTION_WEIGHT * max(occupancy - UNCONGESTED_RATIO, 0.0)


def _reported_cost(
    member: Member, score: Score, report: OccupancyReport, typical_s: float, now: float
) -> float:
    occupancy = _current_occupancy(score, report)
    latency_s = score.latency_s or typical_s
    success = max(score.success_ratio, MIN_RATIO) * max(1.0 - score.refused_ratio, MIN_RATIO)
    return latency_s * congestion_factor(occupancy) / (success * _slow_start_factor(member, now))


def available(score: Score | None, now: float, may_probe: bool = True) -> bool:
    """Return whether a target is not ejected, or is due for a probe with none in flight."""
    if score is None or not score.ejected_until:
        return True
    return may_probe and now >= score.ejected_until and not score.outstanding


def due_for_probe(score: Score | None, now: float) -> bool:
    """Return whether the ejection period of a target is over but its probes are not complete."""
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
    typical_s = scores.service_latencies_s.get(first.service, DEFAULT_LATENCY_S)
    first_cost = cost(first, first_score, typical_s, now)
    second_cost = cost(second, second_score, typical_s, now)
    cost_ratio = 1.0 if first.location.zone == second.location.zone else CROSS_ZONE_COST_RATIO
    return second if second_cost < cost_ratio * first_cost else first


def _fallback(
    view: View,
    scores: Scores,
    candidates: Candidates,
    excluded: frozenset[InstanceId],
    now: float,
) -> Member | None:
    for instances, skip_ejected in (
        (candidates.outside_subset, True),
        (candidates.subset, False),
        (candidates.suspects, False),
    ):
        for instance in instances:
            member = view.members.get(instance)
            if instance in excluded or member is None or not _may_be_reachable(member):
                continue
            if not skip_ejected or available(scores.scores.get(instance), now):
                return member
    return None


def _may_be_reachable(member: Member) -> bool:
    return member.state is MemberState.SERVING or member.state is MemberState.SUSPECT


def _slow_start_factor(member: Member, now: float) -> float:
    age_s = now - member.first_seen_at
    if age_s >= SLOW_START_S:
        return 1.0
    return max(age_s / SLOW_START_S, SLOW_START_MIN_RATIO)


def _report_factor(member: Member, now: float) -> float:
    if now - member.last_seen_at > REPORT_VALID_S:
        return 1.0
    load = member.load
    return 1.0 + REPORT_WEIGHT * min((load.in_flight + load.queued) / max(load.limit, 1), 1.0)
