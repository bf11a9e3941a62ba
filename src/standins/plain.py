"""Plain forwarder on a target's host, a baseline for benchmarks and not part of the product.

It listens on the same kinds of port as a node and forwards calls round robin over a static list
of members. All end-to-end headers are forwarded, so that targets receive deadlines and keys.
"""

from collections.abc import Iterable
from functools import singledispatch
from itertools import cycle

import click
from curio import TaskTimeout, run, spawn, timeout_after
from msgspec import Struct
from msgspec.json import decode, encode

from pollenbay.announcement import ANNOUNCE_PATH, Announcement
from pollenbay.http1 import HttpError, HttpRequest, HttpResponse, end_to_end_headers
from pollenbay.stream import listen, port_of
from standins.listener import LISTEN_ADDRESS, accept_http, text_response
from standins.pool import Pool, make_pool

EXCHANGE_TIMEOUT_S = 5.0
ATTEMPTS_WITH_RETRIES = 4
STATUS_SERVER_ERROR = 500


class Policy(Struct, frozen=True):
    """Base of the policies for failures and load."""


class NoControl(Policy, frozen=True):
    """No retries and no limit."""


class RetryEachHop(Policy, frozen=True):
    """Each hop retries a call on any failure."""


class FixedLimit(Policy, frozen=True):
    """Calls beyond the slots of the target are rejected; each hop retries on any failure."""


POLICIES = {"none": NoControl(), "retries": RetryEachHop(), "fixed": FixedLimit()}


class Ready(Struct, frozen=True):
    """Line that a forwarder prints once it listens, with its ports."""

    ready: bool
    callers: int
    outbound: int
    local: int


@singledispatch
def max_attempts_of(policy: Policy) -> int:
    """Return the maximum number of attempts for a call at one hop."""
    return 1


@max_attempts_of.register(RetryEachHop)
@max_attempts_of.register(FixedLimit)
def _(policy: Policy) -> int:
    return ATTEMPTS_WITH_RETRIES


@singledispatch
def is_full(policy: Policy, in_flight: int, slots: int) -> bool:
    """Return whether the policy rejects a further call."""
    return False


@is_full.register
def _(policy: FixedLimit, in_flight: int, slots: int) -> bool:
    return in_flight >= slots


class PlainForwarder:
    """Forwarder of a target.

    :param services: connection pools to the forwarders of each service.
    """

    def __init__(self, policy: Policy, services: dict[str, list[Pool]]) -> None:
        self._policy = policy
        self._round_robins = {name: cycle(pools) for name, pools in services.items()}
        self._target: Pool | None = None
        self._target_port = 0
        self._slots = 0
        self._in_flight = 0

    async def forward(self, request: HttpRequest) -> HttpResponse:
        """Forward a call to the next forwarder of its service, with the retries of the policy."""
        service = request.target.decode("latin-1").split("/")[1]
        if service not in self._round_robins:
            return text_response(404, "no such service")
        response = text_response(502, "no attempt")
        for _ in range(max_attempts_of(self._policy)):
            response = await _exchange(next(self._round_robins[service]), request)
            if response.status < STATUS_SERVER_ERROR:
                break
        return response

    async def serve_target(self, request: HttpRequest) -> HttpResponse:
        """Handle an announcement or a nested call of the local target."""
        if request.target != ANNOUNCE_PATH.encode("ascii"):
            return await self.forward(request)
        announcement = decode(request.body, type=Announcement)
        self._slots = announcement.slots
        if announcement.port != self._target_port:
            self._target_port = announcement.port
            self._target = make_pool(announcement.address, announcement.port)
        return text_response(200, "taken")

    async def serve_local(self, request: HttpRequest) -> HttpResponse:
        """Forward a call to the local target."""
        if self._target is None:
            return text_response(503, "no target")
        if is_full(self._policy, self._in_flight, self._slots):
            return text_response(503, "all slots are taken")
        self._in_flight += 1
        try:
            return await _exchange(self._target, request)
        finally:
            self._in_flight -= 1


async def _exchange(pool: Pool, request: HttpRequest) -> HttpResponse:
    headers = [(b"host", pool.host), *end_to_end_headers(request.headers)]
    forwarded = HttpRequest(request.method, request.target, headers, request.body)
    try:
        response = await timeout_after(EXCHANGE_TIMEOUT_S, pool.exchange, forwarded)
    except (HttpError, TaskTimeout):
        return text_response(502, "no whole answer")
    return HttpResponse(response.status, end_to_end_headers(response.headers), response.body)


async def serve_forwarder(forwarder: PlainForwarder, local_port: int) -> None:
    """Serve all ports until cancelled."""
    callers, outbound = listen(LISTEN_ADDRESS, 0), listen(LISTEN_ADDRESS, 0)
    local = listen(LISTEN_ADDRESS, local_port)
    ready = Ready(True, port_of(callers), port_of(outbound), port_of(local))
    await spawn(accept_http, callers, forwarder.forward, daemon=True)
    await spawn(accept_http, outbound, forwarder.serve_target, daemon=True)
    print(encode(ready).decode(), flush=True)
    await accept_http(local, forwarder.serve_local)


def make_forwarder(policy: Policy, members: Iterable[str]) -> PlainForwarder:
    """Return a forwarder.

    :param members: static list of forwarders, each as ``SERVICE=PORT``.
    """
    services: dict[str, list[Pool]] = {}
    for member in members:
        service, _, port = member.partition("=")
        services.setdefault(service, []).append(make_pool(LISTEN_ADDRESS, int(port)))
    return PlainForwarder(policy, services)


@click.command()
@click.option("--policy", type=click.Choice(list(POLICIES)), required=True)
@click.option("--member", "members", multiple=True, help="SERVICE=PORT of a forwarder.")
@click.option("--local-port", default=0, help="Port that other forwarders call.")
def main(policy: str, members: tuple[str, ...], local_port: int) -> None:
    """Run a plain forwarder until SIGTERM."""
    run(serve_forwarder, make_forwarder(POLICIES[policy], members), local_port)


if __name__ == "__main__":
    main()
