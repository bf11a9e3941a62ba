"""Tests of the connections to the local target."""

from curio import TaskTimeout, run, timeout_after
from curio.io import Socket

from pollenbay.httpclient import HttpClient
from pollenbay.ids import TargetId
from pollenbay.states import TargetState
from pollenbay.stream import listen, port_of
from pollenbay.target import IDLE_LIMIT_S, Target, make_target
from pollenbay.translation import make_plain_dialect

ADDRESS = "127.0.0.1"
NOW = 50.0
CLOSED_WITHIN_S = 2.0


async def idle_connection(target: Target, listener: Socket) -> tuple[HttpClient, Socket]:
    """Return a connection that the target keeps, and the target's end of it."""
    target.update(TargetState.SERVING, ADDRESS, port_of(listener), NOW, TargetId("first"))
    client = await target.connect(NOW)
    accepted, _ = await listener.accept()
    await target.keep(client, NOW)
    return client, accepted


def closed_after(change: str) -> bool:
    """Return whether the target's end of an idle connection is closed after a change."""

    async def main() -> bool:
        target = make_target(1000, make_plain_dialect())
        async with listen(ADDRESS, 0) as listener:
            _, accepted = await idle_connection(target, listener)
            port, now = port_of(listener), NOW
            if change == "run":
                target.update(TargetState.SERVING, ADDRESS, port, NOW, TargetId("second"))
            elif change == "port":
                target.update(TargetState.SERVING, ADDRESS, port + 1, NOW, TargetId("first"))
            elif change == "time":
                now += IDLE_LIMIT_S
            await target.close_unused(now)
            async with accepted:
                try:
                    return await timeout_after(CLOSED_WITHIN_S, accepted.recv, 1) == b""
                except TaskTimeout:
                    return False

    return run(main)


def test_idle_connections_to_an_earlier_run_are_closed() -> None:
    assert closed_after("run")


def test_idle_connections_to_an_earlier_endpoint_are_closed() -> None:
    assert closed_after("port")


def test_connections_that_were_idle_for_too_long_are_closed() -> None:
    assert closed_after("time")
