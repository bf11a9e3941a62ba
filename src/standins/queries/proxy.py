"""Queries on the faults of the proxy."""

from functools import singledispatch

from standins.proxy_state import AnyMode, Cut, Delay


@singledispatch
def delay_s(mode: AnyMode) -> float:
    """Return the delay of forwarded bytes in seconds."""
    return 0.0


@delay_s.register
def _(mode: Delay) -> float:
    return mode.delay_ms / 1000.0


@singledispatch
def refuses_connections(mode: AnyMode) -> bool:
    """Return whether connections are refused."""
    return False


@refuses_connections.register
def _(mode: Cut) -> bool:
    return True
