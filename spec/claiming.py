"""Claiming of one idempotency key by requests at several hosts, with table faults and crashes.

Time is not modelled: any deadline may pass between two steps of a request, and a paused holder
is one whose next step is delayed. Models `pollenbay.commands.claim`.
"""

from collections.abc import Callable, Iterator

from spec.claim_state import (
    RELEASE_PHASES,
    TERMINAL_PHASES,
    WRITTEN_KINDS,
    Bounds,
    Kind,
    Message,
    Mutant,
    Phase,
    ReportedOutcome,
    Request,
    Row,
    State,
)

Step = tuple[str, State]


class ClaimSpec:
    """The protocol, optionally with one injected fault."""

    def __init__(self, bounds: Bounds, mutant: Mutant | None = None) -> None:
        self._bounds = bounds
        self._mutant = mutant
        self._by_phase: dict[Phase, Callable[[State, int], Iterator[Step]]] = {
            Phase.IDLE: self._idle,
            Phase.CLAIM_READ: self._claim_read,
            Phase.HELD: self._held,
            Phase.SENT: self._sent,
            Phase.ANSWER_READ: self._answer_read,
            Phase.RELEASE_READ: self._release_read,
        }

    @property
    def initial(self) -> State:
        """Return the state before the first request."""
        requests = tuple(Request() for _ in self._bounds.hosts)
        return State((Row(Kind.ABSENT),), frozenset(), requests, self._bounds.stale)

    def steps(self, state: State) -> list[Step]:
        """Return all transitions from a state as pairs of label and next state."""
        found: list[Step] = []
        for index, request in enumerate(state.requests):
            step = self._by_phase.get(request.phase)
            if step is not None:
                found.extend(step(state, index))
        for message in state.messages:
            found.extend(self._deliver(state, message))
        for host in set(self._bounds.hosts):
            found.extend(self._crash(state, host))
        return found

    def _idle(self, state: State, index: int) -> Iterator[Step]:
        yield f"{index} arrives", self._write_claim(state, index, state.requests[index])

    def _held(self, state: State, index: int) -> Iterator[Step]:
        request = state.requests[index]
        sent = request._replace(phase=Phase.SENT, sent=True)
        yield f"{index} sends", _replace_request(state, index, sent)
        released = request._replace(reported=ReportedOutcome.NOT_RUN, phase=Phase.RELEASE_READ)
        yield f"{index} does not send", _replace_request(state, index, released)

    def _sent(self, state: State, index: int) -> Iterator[Step]:
        request = state.requests[index]
        answered_request = request._replace(reported=ReportedOutcome.ANSWERED, answered_by=index)
        answered = _write(
            state, index, answered_request, Phase.ANSWER_WRITE, request.claim_base_version + 1
        )
        yield f"{index} is answered", answered
        yield f"{index} loses its target", _replace_request(
            state, index, self._lose_connection(request)
        )

    def _lose_connection(self, request: Request) -> Request:
        if self._mutant is Mutant.RELEASE_AFTER_LOSS:
            return request._replace(reported=ReportedOutcome.UNKNOWN, phase=Phase.RELEASE_READ)
        if self._mutant is Mutant.LOSS_TOLD_AS_NOT_RUN:
            return request._replace(reported=ReportedOutcome.NOT_RUN, phase=Phase.FINISHED)
        return request._replace(reported=ReportedOutcome.UNKNOWN, phase=Phase.FINISHED)

    def _write_claim(self, state: State, index: int, request: Request) -> State:
        if request.tries >= self._bounds.tries:
            return _replace_request(
                state,
                index,
                self._finish_or_release(request._replace(reported=ReportedOutcome.NOT_RUN)),
            )
        tried = request._replace(tries=request.tries + 1)
        return _write(state, index, tried, Phase.CLAIM_WRITE, tried.claim_base_version)

    def _finish_or_release(self, request: Request) -> Request:
        if request.uncertain and self._mutant is not Mutant.NO_RELEASE:
            return request._replace(phase=Phase.RELEASE_READ)
        return request._replace(phase=Phase.FINISHED)

    def _claim_read(self, state: State, index: int) -> Iterator[Step]:
        refused = state.requests[index]._replace(reported=ReportedOutcome.NOT_RUN)
        yield f"{index} cannot read", _replace_request(
            state, index, self._finish_or_release(refused)
        )
        for version, seen in _reads(state):
            yield f"{index} reads {version}", self._decide_on_row(seen, index, version)

    def _decide_on_row(self, state: State, index: int, version: int) -> State:
        row, request = state.rows[version], state.requests[index]
        if version > request.claim_base_version:
            request = request._replace(uncertain=False)
        if row.kind is Kind.CLAIMED and self._is_own(row, index):
            return _replace_request(state, index, _granted(request, version))
        if self._can_claim(state, row, index):
            rebased = request._replace(claim_base_version=max(request.claim_base_version, version))
            return self._write_claim(state, index, rebased)
        if row.kind is Kind.ANSWERED:
            answered_request = request._replace(
                reported=ReportedOutcome.ANSWERED, answered_by=row.owner
            )
            return _replace_request(state, index, self._finish_or_release(answered_request))
        return _replace_request(
            state,
            index,
            self._finish_or_release(request._replace(reported=ReportedOutcome.UNKNOWN)),
        )

    def _is_own(self, row: Row, index: int) -> bool:
        return row.owner == index or self._mutant is Mutant.READ_BACK_WITHOUT_NONCE

    def _can_claim(self, state: State, row: Row, index: int) -> bool:
        if row.kind in (Kind.ABSENT, Kind.RELEASED):
            return True
        if row.kind is Kind.ANSWERED:
            return False
        if self._mutant is Mutant.TAKE_OVER_AFTER_DEADLINE:
            return True
        phase = state.requests[row.owner].phase
        if self._mutant is Mutant.TAKE_OVER_FROM_DEAD and phase is Phase.DEAD:
            return True
        hosts = self._bounds.hosts
        return hosts[row.owner] == hosts[index] and phase in RELEASE_PHASES

    def _answer_read(self, state: State, index: int) -> Iterator[Step]:
        request = state.requests[index]
        for version, seen in _reads(state):
            row = seen.rows[version]
            if row == Row(Kind.CLAIMED, index):
                again = _write(seen, index, request, Phase.ANSWER_WRITE, version)
                yield f"{index} reads {version}", again
            elif row == Row(Kind.ANSWERED, index) or version > request.write_base_version:
                over = request._replace(phase=Phase.FINISHED)
                yield f"{index} reads {version}", _replace_request(seen, index, over)

    def _release_read(self, state: State, index: int) -> Iterator[Step]:
        request = state.requests[index]
        for version, seen in _reads(state):
            row = seen.rows[version]
            own = row == Row(Kind.CLAIMED, index)
            if not own and (version > request.claim_base_version or self._skips_fence(row)):
                over = request._replace(phase=Phase.FINISHED)
                yield f"{index} reads {version}", _replace_request(seen, index, over)
            else:
                release = _write(seen, index, request, Phase.RELEASE_WRITE, version)
                yield f"{index} reads {version}", release

    def _skips_fence(self, row: Row) -> bool:
        return self._mutant is Mutant.RELEASE_WITHOUT_FENCE and row.kind is Kind.ABSENT

    def _deliver(self, state: State, message: Message) -> Iterator[Step]:
        # The write is applied, conflicts, is lost or refused; the sender gets a reply or times out.
        delivered = state._replace(messages=state.messages - {message})
        owner = message.row.owner
        name = f"{message.row.kind.name.lower()}({owner}) on {message.base_version}"
        if self._applies(state, message):
            applied = delivered._replace(rows=(*delivered.rows, message.row))
            yield f"{name} applied", self._apply_reply(applied, owner, message, self._on_applied)
            yield f"{name} applied, no answer", self._apply_reply(
                applied, owner, message, _on_timeout
            )
        else:
            yield f"{name} conflicts", self._apply_reply(delivered, owner, message, _on_conflict)
        yield f"{name} lost", self._apply_reply(delivered, owner, message, _on_timeout)
        if _awaits(state.requests[owner], message):
            yield f"{name} refused", self._apply_reply(delivered, owner, message, self._on_refused)
            if self._count_unawaited(state) < self._bounds.late:
                yield f"{name} late", self._apply_reply(state, owner, message, _on_timeout)

    def _count_unawaited(self, state: State) -> int:
        return sum(not _awaits(state.requests[each.row.owner], each) for each in state.messages)

    def _applies(self, state: State, message: Message) -> bool:
        if self._mutant is Mutant.WRITE_WITHOUT_VERSION and message.row.kind is Kind.CLAIMED:
            return True
        return message.base_version == len(state.rows) - 1

    def _apply_reply(
        self, state: State, index: int, message: Message, update: Callable[[Request], Request]
    ) -> State:
        request = state.requests[index]
        if _awaits(request, message):
            request = update(request)
            if self._mutant is Mutant.SEND_BEFORE_READ_BACK:
                request = _granted_unconfirmed(request)
        elif self._grants_late(request, message, update):
            request = _granted(request, len(state.rows) - 1)
        return _replace_request(state, index, request)

    def _grants_late(self, request: Request, message: Message, update: object) -> bool:
        late = update == self._on_applied and message.row.kind is Kind.CLAIMED
        releasing = request.phase is Phase.RELEASE_READ
        return late and releasing and self._mutant is Mutant.GRANT_AFTER_REFUSAL

    def _on_applied(self, request: Request) -> Request:
        if request.phase is Phase.CLAIM_WRITE:
            return _granted(request, request.write_base_version + 1)
        return request._replace(phase=Phase.FINISHED)

    def _on_refused(self, request: Request) -> Request:
        if request.phase is Phase.CLAIM_WRITE:
            return self._finish_or_release(request._replace(reported=ReportedOutcome.NOT_RUN))
        return _on_conflict(request)

    def _crash(self, state: State, host: int) -> Iterator[Step]:
        requests = tuple(
            (
                request._replace(phase=Phase.DEAD)
                if self._bounds.hosts[index] == host and request.phase not in TERMINAL_PHASES
                else request
            )
            for index, request in enumerate(state.requests)
        )
        if requests != state.requests:
            yield f"host {host} dies", state._replace(requests=requests)


def _reads(state: State) -> Iterator[tuple[int, State]]:
    newest = len(state.rows) - 1
    yield newest, state
    if state.stale:
        for version in range(newest):
            yield version, state._replace(stale=state.stale - 1)


def _on_conflict(request: Request) -> Request:
    reads = {
        Phase.CLAIM_WRITE: Phase.CLAIM_READ,
        Phase.ANSWER_WRITE: Phase.ANSWER_READ,
        Phase.RELEASE_WRITE: Phase.RELEASE_READ,
    }
    return request._replace(phase=reads[request.phase])


def _on_timeout(request: Request) -> Request:
    claims = request.phase is Phase.CLAIM_WRITE
    return _on_conflict(request)._replace(uncertain=request.uncertain or claims)


def _granted(request: Request, version: int) -> Request:
    return request._replace(
        phase=Phase.HELD,
        claim_base_version=version - 1,
        write_base_version=0,
        tries=0,
        uncertain=False,
    )


def _granted_unconfirmed(request: Request) -> Request:
    if request.phase is Phase.CLAIM_READ and request.uncertain:
        return _granted(request, request.write_base_version + 1)
    return request


def _awaits(request: Request, message: Message) -> bool:
    return (
        WRITTEN_KINDS.get(request.phase) is message.row.kind
        and request.write_base_version == message.base_version
    )


def _write(state: State, index: int, request: Request, phase: Phase, version: int) -> State:
    message = Message(Row(WRITTEN_KINDS[phase], index), version)
    written = _replace_request(
        state, index, request._replace(phase=phase, write_base_version=version)
    )
    return written._replace(messages=written.messages | {message})


def _replace_request(state: State, index: int, request: Request) -> State:
    requests = state.requests
    if request.phase in (Phase.FINISHED, Phase.DEAD):
        request = request._replace(
            claim_base_version=0, write_base_version=0, tries=0, uncertain=False
        )
    return state._replace(requests=(*requests[:index], request, *requests[index + 1 :]))
