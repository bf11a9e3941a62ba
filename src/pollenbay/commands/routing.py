"""Decisions on targets: pick one for an attempt, and learn from how the attempt ends."""

from random import Random

from pollenbay.ids import InstanceId, ServiceName
from pollenbay.queries.routing import choose
from pollenbay.score import AttemptResult, Candidates, Score, Scores, Taken
from pollenbay.subset import make_candidates
from pollenbay.view import Member, Place, View

CANDIDATES_VALID_S = 1.0
LATENCY_WEIGHT = 0.2
TYPICAL_WEIGHT = 0.05
SUCCESS_WEIGHT = 0.2
REFUSED_WEIGHT = 0.2
EJECT_AFTER_FAILURES = 5
#: An instance whose smoothed success falls below this is ejected too.
EJECT_BELOW_SUCCESS = 0.3
#: Answered attempts, one at a time, that end an ejection.
PROBES_TO_RETURN = 3
SUCCESS_ON_RETURN = 0.6
#: Above this the next ejection is a short one again.
TRUSTED_SUCCESS = 0.95
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 8.0
#: At most one in so many of the members that a node calls is ejected at a time.
MEMBERS_PER_EJECTION = 3
FAULTS = frozenset({AttemptResult.FAILED, AttemptResult.TIMED_OUT})


def pick(
    view: View,
    scores: Scores,
    service: ServiceName,
    origin: Place,
    excluded: frozenset[InstanceId],
    now: float,
    rng: Random,
    may_probe: bool = True,
) -> Member | None:
    """Return the target for an attempt, or None if no live one is known.

    :param origin: where the node is that asks.
    :param excluded: instances that this call has tried.
    :param may_probe: whether the call may be the one that tries an ejected target again; not for
        a non-idempotent call, which could end as unknown.
    """
    candidates = _fresh_candidates(view, scores, service, origin, now)
    return choose(view, scores, candidates, excluded, now, rng, may_probe)


def begin_attempt(scores: Scores, member: Member, now: float) -> None:
    """Count an attempt at a member that begins."""
    _score_of(scores, member).outstanding += 1


def note_taken(scores: Scores, member: Member, part: float, limit: int, now: float) -> None:
    """Remember how full a target is, as its node told.

    :param part: calls that run or wait there, as a part of the limit.
    """
    score = _score_of(scores, member)
    score.taken = Taken(part, limit, max(score.outstanding - 1, 0), now)


def end_attempt(
    scores: Scores, member: Member, latency_s: float, result: AttemptResult, now: float
) -> None:
    """Learn from an attempt that has ended.

    An attempt at an earlier incarnation says nothing of the present one.

    :param latency_s: seconds from its beginning to its end.
    """
    score = scores.scores.get(member.instance)
    if score is None or score.incarnation != member.incarnation:
        return
    score.outstanding = max(score.outstanding - 1, 0)
    if result is AttemptResult.CANCELLED:
        return
    score.measured_at = now
    if result is AttemptResult.ANSWERED:
        _note_answer(score, latency_s)
        _note_typical(scores, member.service, latency_s)
    elif result in FAULTS:
        _note_fault(scores, member, score, latency_s, now)
    else:
        score.refused += REFUSED_WEIGHT * (1.0 - score.refused)
    _settle_probe(score, result, now)


def forget_gone(scores: Scores, view: View) -> None:
    """Drop the scores of instances that are no longer in the view."""
    for instance in [known for known in scores.scores if known not in view.members]:
        del scores.scores[instance]


def _fresh_candidates(
    view: View, scores: Scores, service: ServiceName, origin: Place, now: float
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


def _note_answer(score: Score, latency_s: float) -> None:
    known = score.latency_s > 0.0 and not score.ejected_until
    weight = LATENCY_WEIGHT if known else 1.0
    score.latency_s += weight * (latency_s - score.latency_s)
    score.success += SUCCESS_WEIGHT * (1.0 - score.success)
    score.refused -= REFUSED_WEIGHT * score.refused
    score.failures = 0
    if score.success > TRUSTED_SUCCESS:
        score.ejections = 0


def _note_typical(scores: Scores, service: ServiceName, latency_s: float) -> None:
    known_s = scores.typical_s.get(service, latency_s)
    scores.typical_s[service] = known_s + TYPICAL_WEIGHT * (latency_s - known_s)


def _note_fault(scores: Scores, member: Member, score: Score, latency_s: float, now: float) -> None:
    score.failures += 1
    score.success -= SUCCESS_WEIGHT * score.success
    if latency_s > score.latency_s:
        score.latency_s += LATENCY_WEIGHT * (latency_s - score.latency_s)
    if now < score.ejected_until:
        return
    if score.failures >= EJECT_AFTER_FAILURES or score.success < EJECT_BELOW_SUCCESS:
        _eject(scores, member, score, now)


def _eject(scores: Scores, member: Member, score: Score, now: float) -> None:
    if not score.ejected_until and not _may_eject(scores, member, now):
        return
    period_s = min(EJECTION_MIN_S * 2.0 ** min(score.ejections, 8), EJECTION_MAX_S)
    score.ejections += 1
    score.ejected_until = now + period_s
    score.probes = 0


def _may_eject(scores: Scores, member: Member, now: float) -> bool:
    pools = [
        lists for (service, _), lists in scores.candidates.items() if service == member.service
    ]
    if not pools:
        return False
    members = max(pools, key=lambda lists: len(lists.subset)).subset
    if len(members) < 2:
        return False
    ejected = sum(1 for instance in members if _ejected(scores.scores.get(instance)))
    return ejected < max(len(members) // MEMBERS_PER_EJECTION, 1)


def _ejected(score: Score | None) -> bool:
    return score is not None and score.ejected_until > 0.0


def _settle_probe(score: Score, result: AttemptResult, now: float) -> None:
    if result is not AttemptResult.ANSWERED or not 0.0 < score.ejected_until <= now:
        return
    score.probes += 1
    if score.probes < PROBES_TO_RETURN:
        return
    score.ejected_until = 0.0
    score.success = max(score.success, SUCCESS_ON_RETURN)
