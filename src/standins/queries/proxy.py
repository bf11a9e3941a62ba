"""Questions to the fault-injecting proxy."""

from functools import singledispatch

from standins.proxy_state import AnyMode, Cut, Delay


@singledispatch
def delay_s(mode: AnyMode) -> float:
    """Return the delay of bytes in seconds."""
    return 0.0


@delay_s.register
def _(mode: Delay) -> float:
    return mode.delay_ms / 1000.0


@singledispatch
def refuses(mode: AnyMode) -> bool:
    """Tell whether no connection is possible."""
    return False


@refuses.register
def _(mode: Cut) -> bool:
    return True
