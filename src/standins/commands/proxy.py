"""Changes to the state of the fault-injecting proxy."""

from functools import singledispatch

from standins.proxy_state import (
    AnyMode,
    Blackhole,
    Direction,
    HalfOpen,
    LoseResponse,
    Pass,
    ProxyState,
    Session,
    Silence,
)


def set_mode(state: ProxyState, mode: AnyMode) -> None:
    """Replace the active fault and apply the new one to open connections."""
    state.mode = mode
    for session in state.sessions:
        apply_to_session(mode, session)


def open_session(state: ProxyState, session: Session) -> None:
    """Record a new connection and apply the active fault to it."""
    state.counts.accepted += 1
    state.counts.open += 1
    state.sessions.add(session)
    if isinstance(state.mode, Blackhole):
        apply_to_session(state.mode, session)


def close_session(state: ProxyState, session: Session) -> None:
    """Remove a closed connection."""
    state.counts.open -= 1
    state.sessions.discard(session)


@singledispatch
def apply_to_session(mode: AnyMode, session: Session) -> None:
    """Apply a newly activated fault to an open connection."""


@apply_to_session.register(Silence)
@apply_to_session.register(Blackhole)
def _(mode: Silence | Blackhole, session: Session) -> None:
    session.stalled.update(Direction)


@apply_to_session.register
def _(mode: HalfOpen, session: Session) -> None:
    session.stalled.add(Direction.TO_DOWNSTREAM)


@singledispatch
def lose_response(mode: AnyMode, state: ProxyState, direction: Direction) -> bool:
    """Return whether to drop response bytes and close the connection; count it if so."""
    return False


@lose_response.register
def _(mode: LoseResponse, state: ProxyState, direction: Direction) -> bool:
    if direction is Direction.TO_UPSTREAM:
        return False
    state.counts.lost += 1
    mode.count -= 1
    if mode.count <= 0:
        set_mode(state, Pass())
    return True
