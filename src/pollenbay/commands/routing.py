"""Target selection: pick a target for an attempt, and update its score from the result."""

from random import Random

from pollenbay.ids import InstanceId, ServiceName
from pollenbay.queries.routing import choose
from pollenbay.score import AttemptResult, Candidates, OccupancyReport, Score, Scores
from pollenbay.subset import make_candidates
from pollenbay.view import Location, Member, View

CANDIDATES_VALID_S = 1.0
LATENCY_WEIGHT = 0.2
SERVICE_LATENCY_WEIGHT = 0.05
SUCCESS_WEIGHT = 0.2
REFUSED_WEIGHT = 0.2
EJECT_AFTER_FAILURES = 5
#: An instance whose smoothed success ratio falls below this is ejected too.
EJECT_BELOW_SUCCESS = 0.3
#: Answered probes, sent one at a time, that end an ejection.
PROBES_TO_READMIT = 3
#: Minimum success ratio of an instance whose ejection ends.
READMITTED_SUCCESS = 0.6
#: Above this success ratio the next ejection starts from `EJECTION_MIN_S` again.
EJECTION_RESET_SUCCESS = 0.95
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 8.0
#: At most one out of this many members that a node calls is ejected at a time.
MEMBERS_PER_EJECTION = 3
FAILURE_RESULTS = frozenset({AttemptResult.FAILED, AttemptResult.TIMED_OUT})


def pick(
    view: View,
    scores: Scores,
    service: ServiceName,
    origin: Location,
    excluded: frozenset[InstanceId],
    now: float,
    rng: Random,
    may_probe: bool = True,
) -> Member | None:
    """Return the target for an attempt, or None if no live one is known.

    :param origin: location of the calling node.
    :param excluded: instances that this call has tried.
    :param may_probe: whether the call may probe an ejected target; False for a non-idempotent
        call, which could end as unknown.
    """
    candidates = _fresh_candidates(view, scores, service, origin, now)
    return choose(view, scores, candidates, excluded, now, rng, may_probe)


def begin_attempt(scores: Scores, member: Member, now: float) -> None:
    """Record the start of an attempt at a member."""
    _score_of(scores, member).outstanding += 1


def record_occupancy(
    scores: Scores, member: Member, occupancy: float, limit: int, now: float
) -> None:
    """Record the occupancy of a target that its node reported.

    :param occupancy: calls running or queued there, as a ratio of the limit.
    """
    score = _score_of(scores, member)
    score.occupancy = OccupancyReport(occupancy, limit, max(score.outstanding - 1, 0), now)


def end_attempt(
    scores: Scores, member: Member, latency_s: float, result: AttemptResult, now: float
) -> None:
    """Update the score of a member from an attempt that has ended.

    An attempt at an earlier incarnation is ignored, since it does not describe the present one.

    :param latency_s: seconds from the start of the attempt to its end.
    """
    score = scores.scores.get(member.instance)
    if score is None or score.incarnation != member.incarnation:
        return
    score.outstanding = max(score.outstanding - 1, 0)
    if result is AttemptResult.CANCELLED:
        return
    score.measured_at = now
    if result is AttemptResult.ANSWERED:
        _record_success(score, latency_s)
        _record_service_latency(scores, member.service, latency_s)
    elif result in FAILURE_RESULTS:
        _record_failure(scores, member, score, latency_s, now)
    else:
        score.refused_ratio += REFUSED_WEIGHT * (1.0 - score.refused_ratio)
    _record_probe(score, result, now)


def drop_departed_scores(scores: Scores, view: View) -> None:
    """Drop the scores of instances that are no longer in the view."""
    for instance in [scored for scored in scores.scores if scored not in view.members]:
        del scores.scores[instance]


def _fresh_candidates(
    view: View, scores: Scores, service: ServiceName, origin: Location, now: float
) -> Candidates:
    key = (service, origin.host)
    candidates = scores.candidates.get(key)
    if candidates is not None:
        age_s = now - candidates.made_at
        if candidates.changes == view.changes_of(service) and age_s < CANDIDATES_VALID_S:
            return candidates
    candidates = make_candidates(view, service, origin, now)
    scores.candidates[key] = candidates
    return candidates


def _score_of(scores: Scores, member: Member) -> Score:
    score = scores.scores.get(member.instance)
    if score is None or score.incarnation != member.incarnation:
        score = Score(member.incarnation)
        scores.scores[member.instance] = score
    return score


def _record_success(score: Score, latency_s: float) -> None:
    has_latency = score.latency_s > 0.0 and not score.ejected_until
    weight = LATENCY_WEIGHT if has_latency else 1.0
    score.latency_s += weight * (latency_s - score.latency_s)
    score.success_ratio += SUCCESS_WEIGHT * (1.0 - score.success_ratio)
    score.refused_ratio -= REFUSED_WEIGHT * score.refused_ratio
    score.failures = 0
    if score.success_ratio > EJECTION_RESET_SUCCESS:
        score.ejections = 0


def _record_service_latency(scores: Scores, service: ServiceName, latency_s: float) -> None:
    smoothed_s = scores.service_latencies_s.get(service, latency_s)
    scores.service_latencies_s[service] = smoothed_s + SERVICE_LATENCY_WEIGHT * (
        latency_s - smoothed_s
    )


def _record_failure(
    scores: Scores, member: Member, score: Score, latency_s: float, now: float
) -> None:
    score.failures += 1
    score.success_ratio -= SUCCESS_WEIGHT * score.success_ratio
    if latency_s > score.latency_s:
        score.latency_s += LATENCY_WEIGHT * (latency_s - score.latency_s)
    if now < score.ejected_until:
        return
    if score.failures >= EJECT_AFTER_FAILURES or score.success_ratio < EJECT_BELOW_SUCCESS:
        _eject(scores, member, score, now)


def _eject(scores: Scores, member: Member, score: Score, now: float) -> None:
    if not score.ejected_until and not _may_eject(scores, member, now):
        return
    period_s = min(EJECTION_MIN_S * 2.0 ** min(score.ejections, 8), EJECTION_MAX_S)
    score.ejections += 1
    score.ejected_until = now + period_s
    score.probes = 0


def _may_eject(scores: Scores, member: Member, now: float) -> bool:
    candidate_lists = [
        lists for (service, _), lists in scores.candidates.items() if service == member.service
    ]
    if not candidate_lists:
        return False
    members = max(candidate_lists, key=lambda lists: len(lists.subset)).subset
    if len(members) < 2:
        return False
    ejected = sum(1 for instance in members if _is_ejected(scores.scores.get(instance)))
    return ejected < max(len(members) // MEMBERS_PER_EJECTION, 1)


def _is_ejected(score: Score | None) -> bool:
    return score is not None and score.ejected_until > 0.0


def _record_probe(score: Score, result: AttemptResult, now: float) -> None:
    if result is not AttemptResult.ANSWERED or not 0.0 < score.ejected_until <= now:
        return
    score.probes += 1
    if score.probes < PROBES_TO_READMIT:
        return
    score.ejected_until = 0.0
    score.success_ratio = max(score.success_ratio, READMITTED_SUCCESS)
