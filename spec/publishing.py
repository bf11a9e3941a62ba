"""Publication of rules by several operators, and their adoption by nodes from any source.

A node may be offered any rules that have been in the table, either by a stale read of the table
or by a lagging peer; this covers every order in which updates can propagate. Models
`pollenbay.commands.publication`, `settlement` and `adoption`.
"""

from collections.abc import Callable, Iterator

from spec.publish_state import (
    Bounds,
    Kind,
    Message,
    Mutant,
    Node,
    Operator,
    Phase,
    Record,
    ReportedOutcome,
    Rules,
    State,
)

Step = tuple[str, State]
ReplyHandler = Callable[[State, int], State]


class PublishSpec:
    """The protocol, optionally with one injected fault."""

    def __init__(self, bounds: Bounds, mutant: Mutant | None = None) -> None:
        self._bounds = bounds
        self._mutant = mutant
        self._by_phase: dict[Phase, Callable[[State, int], Iterator[Step]]] = {
            Phase.IDLE: self._idle,
            Phase.READ: self._read,
            Phase.READ_BACK: self._read_back,
            Phase.CLOSE_READ: self._close_read,
            Phase.FINISHED: self._settle,
        }

    @property
    def initial(self) -> State:
        """Return the state before the first publication."""
        count = len(self._bounds.digests)
        return State(
            history=(Rules(),),
            records=(Record(),) * count,
            messages=frozenset(),
            operators=(Operator(),) * count,
            nodes=(Node(),) * self._bounds.nodes,
            restarts=self._bounds.restarts,
            stale=self._bounds.stale,
        )

    def steps(self, state: State) -> list[Step]:
        """Return all transitions from a state as pairs of label and next state."""
        found: list[Step] = []
        for index, operator in enumerate(state.operators):
            step = self._by_phase.get(operator.phase)
            if step is not None:
                found.extend(step(state, index))
        for message in state.messages:
            found.extend(self._deliver(state, message))
        for index in range(self._bounds.nodes):
            found.extend(self._offer(state, index))
            found.extend(self._restart(state, index))
        return found

    def _idle(self, state: State, index: int) -> Iterator[Step]:
        started = state.operators[index]._replace(phase=Phase.READ)
        yield f"operator {index} starts", _replace_operator(state, index, started)

    def _read(self, state: State, index: int) -> Iterator[Step]:
        yield f"operator {index} cannot read", self._give_up(state, index)
        yield f"operator {index} reads", self._attempt(state, index, state.history[-1])
        if state.stale:
            remaining = state._replace(stale=state.stale - 1)
            for rules in state.history[:-1]:
                yield f"operator {index} reads the past", self._attempt(remaining, index, rules)

    def _attempt(self, state: State, index: int, current: Rules) -> State:
        operator = state.operators[index]
        if operator.expected_version < 0:
            operator = operator._replace(expected_version=current.version)
        if operator.tries >= self._bounds.tries:
            return _replace_operator(state, index, operator._replace(phase=Phase.CLOSE_READ))
        same = current.version > 0 and current.digest == self._bounds.digests[index]
        if not same and current.version != operator.expected_version:
            return _replace_operator(state, index, self._refuse(operator))
        kind = Kind.CONFIRM if same else Kind.PUBLISH
        tried = operator._replace(phase=Phase.WRITE, tries=operator.tries + 1, write_kind=kind)
        return _send(_replace_operator(state, index, tried), Message(kind, index, current.version))

    def _refuse(self, operator: Operator) -> Operator:
        if self._mutant is Mutant.REFUSE_WITHOUT_RECORD:
            return operator._replace(phase=Phase.FINISHED, reported=ReportedOutcome.REFUSED)
        return operator._replace(phase=Phase.CLOSE_READ)

    def _give_up(self, state: State, index: int) -> State:
        operator = state.operators[index]
        reported = ReportedOutcome.UNSETTLED if operator.sent else ReportedOutcome.NOT_WRITTEN
        return _replace_operator(
            state, index, operator._replace(phase=Phase.FINISHED, reported=reported)
        )

    def _read_back(self, state: State, index: int) -> Iterator[Step]:
        yield f"operator {index} cannot read back", self._give_up(state, index)
        for record, seen in _reads(state, index):
            if record.kind is not Kind.NONE:
                yield f"operator {index} reads back", _report_record(seen, index)
            else:
                again = seen.operators[index]._replace(phase=Phase.READ)
                yield f"operator {index} finds no record", _replace_operator(seen, index, again)

    def _close_read(self, state: State, index: int) -> Iterator[Step]:
        operator = state.operators[index]
        unsettled = operator._replace(phase=Phase.FINISHED, reported=ReportedOutcome.UNSETTLED)
        yield f"operator {index} cannot read its record", _replace_operator(state, index, unsettled)
        for record, seen in _reads(state, index):
            if record.kind is not Kind.NONE:
                yield f"operator {index} reads its record", _report_record(seen, index)
            else:
                closing = operator._replace(phase=Phase.CLOSE_WRITE, write_kind=Kind.CLOSE)
                closed = _send(
                    _replace_operator(seen, index, closing), Message(Kind.CLOSE, index, 0)
                )
                yield f"operator {index} closes", closed

    def _settle(self, state: State, index: int) -> Iterator[Step]:
        operator = state.operators[index]
        if operator.reported is ReportedOutcome.UNSETTLED:
            again = operator._replace(phase=Phase.CLOSE_READ, reported=ReportedOutcome.NOTHING)
            yield f"operator {index} settles", _replace_operator(state, index, again)

    def _deliver(self, state: State, message: Message) -> Iterator[Step]:
        # The write is applied, conflicts, is lost or refused; the sender gets a reply or times out.
        delivered = state._replace(messages=state.messages - {message})
        index = message.operator
        name = f"{message.kind.name.lower()}({index}) on {message.base_version}"
        if self._applies(state, message):
            applied = self._apply(delivered, message)
            yield f"{name} applied", self._apply_reply(applied, message, _on_applied)
            yield f"{name} applied, no answer", self._apply_reply(
                applied, message, self._on_timeout
            )
        else:
            yield f"{name} conflicts", self._apply_reply(delivered, message, self._on_conflict)
        yield f"{name} lost", self._apply_reply(delivered, message, self._on_timeout)
        if _awaits(state.operators[index], message):
            yield f"{name} refused", self._apply_reply(delivered, message, self._on_unavailable)
            if _count_unawaited(state) < self._bounds.late:
                yield f"{name} late", self._apply_reply(state, message, self._on_timeout)

    def _applies(self, state: State, message: Message) -> bool:
        unrecorded = state.records[message.operator].kind is Kind.NONE
        if message.kind is Kind.CLOSE:
            return unrecorded or self._mutant is Mutant.CLOSE_WITHOUT_CHECK
        if self._mutant is Mutant.RETRY_WITHOUT_RECORD:
            unrecorded = True
        if self._mutant is Mutant.PUBLISH_WITHOUT_VERSION:
            return unrecorded
        return unrecorded and state.history[-1].version == message.base_version

    def _apply(self, state: State, message: Message) -> State:
        index = message.operator
        version = message.base_version
        if message.kind is Kind.PUBLISH:
            version += 1
            rules = Rules(version, self._bounds.digests[index], index)
            state = state._replace(history=(*state.history, rules))
        record = Record(message.kind, version)
        records = (*state.records[:index], record, *state.records[index + 1 :])
        return state._replace(records=records)

    def _apply_reply(self, state: State, message: Message, handle_reply: ReplyHandler) -> State:
        if not _awaits(state.operators[message.operator], message):
            return state
        return handle_reply(state, message.operator)

    def _on_conflict(self, state: State, index: int) -> State:
        operator = state.operators[index]
        if operator.phase is Phase.CLOSE_WRITE:
            return _replace_operator(state, index, operator._replace(phase=Phase.CLOSE_READ))
        if self._mutant is Mutant.RETRY_WITHOUT_RECORD:
            return _replace_operator(
                state, index, operator._replace(phase=Phase.READ, expected_version=-1)
            )
        return _replace_operator(state, index, operator._replace(phase=Phase.READ_BACK))

    def _on_timeout(self, state: State, index: int) -> State:
        operator = state.operators[index]._replace(sent=True)
        reported = _TIMEOUT_REPORTED_AS.get(self._mutant)
        if operator.phase is Phase.WRITE and reported is not None:
            version = state.history[-1].version
            over = operator._replace(phase=Phase.FINISHED, reported=reported, version=version)
            return _replace_operator(state, index, over)
        return self._on_conflict(_replace_operator(state, index, operator), index)

    def _on_unavailable(self, state: State, index: int) -> State:
        if state.operators[index].phase is Phase.CLOSE_WRITE:
            return self._on_conflict(state, index)
        return self._give_up(state, index)

    def _offer(self, state: State, index: int) -> Iterator[Step]:
        node = state.nodes[index]
        for rules in set(state.history):
            if rules != node.rules and self._adopts(node, rules):
                adopted = Node(rules, max(node.highest_version, rules.version))
                yield f"node {index} adopts {rules.version}", _replace_node(state, index, adopted)

    def _adopts(self, node: Node, rules: Rules) -> bool:
        if self._mutant is Mutant.ADOPT_LOWER:
            return True
        return rules.version > node.rules.version

    def _restart(self, state: State, index: int) -> Iterator[Step]:
        if state.restarts and state.nodes[index] != Node():
            remaining = state._replace(restarts=state.restarts - 1)
            yield f"node {index} restarts", _replace_node(remaining, index, Node())


_TIMEOUT_REPORTED_AS = {
    Mutant.SILENCE_TOLD_AS_REFUSED: ReportedOutcome.REFUSED,
    Mutant.SILENCE_TOLD_AS_ACCEPTED: ReportedOutcome.ACCEPTED,
    Mutant.SILENCE_TOLD_AS_NOT_WRITTEN: ReportedOutcome.NOT_WRITTEN,
}


def _on_applied(state: State, index: int) -> State:
    return _report_record(state, index)


def _reads(state: State, index: int) -> Iterator[tuple[Record, State]]:
    record = state.records[index]
    yield record, state
    if state.stale and record.kind is not Kind.NONE:
        yield Record(), state._replace(stale=state.stale - 1)


def _report_record(state: State, index: int) -> State:
    record, operator = state.records[index], state.operators[index]
    reported = ReportedOutcome.REFUSED if record.kind is Kind.CLOSE else ReportedOutcome.ACCEPTED
    over = operator._replace(phase=Phase.FINISHED, reported=reported, version=record.version)
    return _replace_operator(state, index, over)


def _awaits(operator: Operator, message: Message) -> bool:
    if operator.phase is Phase.CLOSE_WRITE:
        return message.kind is Kind.CLOSE
    return operator.phase is Phase.WRITE and message.kind is operator.write_kind


def _count_unawaited(state: State) -> int:
    return sum(not _awaits(state.operators[each.operator], each) for each in state.messages)


def _send(state: State, message: Message) -> State:
    return state._replace(messages=state.messages | {message})


def _replace_operator(state: State, index: int, operator: Operator) -> State:
    operators = state.operators
    return state._replace(operators=(*operators[:index], operator, *operators[index + 1 :]))


def _replace_node(state: State, index: int, node: Node) -> State:
    nodes = state.nodes
    return state._replace(nodes=(*nodes[:index], node, *nodes[index + 1 :]))
