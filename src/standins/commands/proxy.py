"""Changes to the state of the fault-injecting proxy."""

from functools import singledispatch

from standins.proxy_state import (
    AnyMode,
    Blackhole,
    Direction,
    HalfOpen,
    LoseAnswer,
    Pass,
    ProxyState,
    Session,
    Silence,
)


def set_mode(state: ProxyState, mode: AnyMode) -> None:
    """Put a fault in force in place of the last one."""
    state.mode = mode
    for session in state.sessions:
        strike(mode, session)


def open_session(state: ProxyState, session: Session) -> None:
    """Note a new connection."""
    state.counts.accepted += 1
    state.counts.open += 1
    state.sessions.add(session)
    if isinstance(state.mode, Blackhole):
        strike(state.mode, session)


def close_session(state: ProxyState, session: Session) -> None:
    """Forget a connection."""
    state.counts.open -= 1
    state.sessions.discard(session)


@singledispatch
def strike(mode: AnyMode, session: Session) -> None:
    """Do to an open connection what a fault does to it when it sets in."""


@strike.register(Silence)
@strike.register(Blackhole)
def _(mode: Silence | Blackhole, session: Session) -> None:
    session.silent.update(Direction)


@strike.register
def _(mode: HalfOpen, session: Session) -> None:
    session.silent.add(Direction.TO_DOWNSTREAM)


@singledispatch
def lose_answer(mode: AnyMode, state: ProxyState, direction: Direction) -> bool:
    """Tell whether bytes are to be dropped and their connection closed, and count it."""
    return False


@lose_answer.register
def _(mode: LoseAnswer, state: ProxyState, direction: Direction) -> bool:
    if direction is Direction.TO_UPSTREAM:
        return False
    state.counts.lost += 1
    mode.count -= 1
    if mode.count <= 0:
        set_mode(state, Pass())
    return True
