"""Callers in open and closed loops that check that each answer is whole and their own."""

from functools import singledispatch
from random import Random
from time import monotonic

from curio import TaskGroup, TaskTimeout, sleep, timeout_after
from msgspec import Struct

from pollenbay.http1 import (
    HttpConnectError,
    HttpError,
    HttpRequest,
    HttpResponse,
    header_value,
)
from pollenbay.outcome import Headers
from pollenbay.translation import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
)
from standins.commands.load import in_flight, note_ending, note_refusal
from standins.load_settings import (
    CallerGroup,
    ClosedLoop,
    HardRetry,
    LoadSettings,
    MixEntry,
    NoRetry,
    OpenLoop,
    Phase,
    RetryPolicy,
)
from standins.load_state import Ending, LoadState, Refusal, Result
from standins.marker import MARKER_HEADER, SIZE_HEADER, is_own_answer
from standins.pool import Pool

#: How much longer than its stated wait a caller holds on before it closes the connection.
PATIENCE_S = 0.5
RESULTS_OF_OUTCOMES = {b"not-run": Result.NOT_RUN, b"unknown": Result.UNKNOWN}


class Attempt(Struct):
    """One request as it goes out, again and again if it is retried."""

    call: str
    request: HttpRequest
    marker: str
    size_bytes: int
    wait_s: float
    key: str | None


class Load:
    """A run of the load tool.

    :param entries: connections to the nodes or targets to call.
    """

    def __init__(self, settings: LoadSettings, entries: list[Pool], state: LoadState) -> None:
        self._settings = settings
        self._entries = entries
        self._state = state
        self._random = Random(settings.seed)
        self._began_at = monotonic()
        self._made = 0

    @property
    def settings(self) -> LoadSettings:
        """Return what it was told."""
        return self._settings

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the run began."""
        return monotonic() - self._began_at

    @property
    def length_s(self) -> float:
        """Return the length of all phases in seconds."""
        return sum(phase.seconds for phase in self._settings.phases)

    async def run(self) -> None:
        """Run all phases and wait for the last answers."""
        async with TaskGroup() as group:
            for callers in self._settings.groups:
                await group.spawn(drive, callers.loop, callers, self)

    async def send(
        self, callers: CallerGroup, caller: int, entry: MixEntry, arrived_s: float
    ) -> None:
        """Send one request of a caller, with the retries of its group, and note its end."""
        attempt = self._make_attempt(callers, caller, entry)
        results: list[Result] = []
        if self._state.in_flight < self._settings.max_in_flight:
            with in_flight(self._state):
                await self._try_all(attempt, attempts_of(callers.retry), results)
        ending = Ending(entry.call_class, attempt.key, arrived_s, self.elapsed_s, tuple(results))
        note_ending(self._state, ending)

    async def _try_all(self, attempt: Attempt, most: int, results: list[Result]) -> None:
        while len(results) < most:
            results.append(await self._try(attempt))
            if results[-1] in (Result.WHOLE, Result.WRONG):
                return

    async def _try(self, attempt: Attempt) -> Result:
        pool = self._random.choice(self._entries)
        headers = [(b"host", pool.host), *attempt.request.headers]
        request = HttpRequest(attempt.request.method, attempt.request.target, headers)
        try:
            patience_s = attempt.wait_s + PATIENCE_S
            response = await timeout_after(patience_s, pool.exchange, request)
        except HttpConnectError:
            return Result.NOT_RUN
        except (HttpError, TaskTimeout):
            return Result.UNKNOWN
        result = _judge(attempt, response)
        reason = header_value(response.headers, REASON_HEADER)
        if reason is not None:
            refusal = Refusal(attempt.call, result, reason.decode("latin-1"))
            note_refusal(self._state, refusal)
        return result

    def _make_attempt(self, callers: CallerGroup, caller: int, entry: MixEntry) -> Attempt:
        self._made += 1
        marker = f"{callers.name}-{caller}-{self._settings.seed}-{self._made}"
        key = f"k-{marker}" if entry.keyed else None
        headers: Headers = [
            (CALLER_HEADER, f"{callers.name}-{caller}".encode("ascii")),
            (MARKER_HEADER, marker.encode("ascii")),
            (SIZE_HEADER, b"%d" % entry.size_bytes),
            (DEADLINE_HEADER, b"%d" % entry.wait_ms),
        ]
        if key is not None:
            headers.append((KEY_HEADER, key.encode("ascii")))
        path = "/" + entry.call.replace(".", "/", 1)
        request = HttpRequest(b"POST", path.encode("ascii"), headers)
        wait_s = entry.wait_ms / 1000.0
        return Attempt(entry.call, request, marker, entry.size_bytes, wait_s, key)


def _judge(attempt: Attempt, response: HttpResponse) -> Result:
    outcome = header_value(response.headers, OUTCOME_HEADER)
    if outcome in RESULTS_OF_OUTCOMES:
        return RESULTS_OF_OUTCOMES[outcome]
    if response.status != 200:
        return Result.FAILED
    own = is_own_answer(response.body, attempt.marker, attempt.size_bytes)
    return Result.WHOLE if own else Result.WRONG


@singledispatch
def attempts_of(policy: RetryPolicy) -> int:
    """Return the most attempts for one request."""
    raise TypeError(f"not a retry policy: {type(policy).__name__}")


@attempts_of.register
def _(policy: NoRetry) -> int:
    return 1


@attempts_of.register
def _(policy: HardRetry) -> int:
    return 1 + policy.times


@singledispatch
async def drive(loop: object, callers: CallerGroup, load: Load) -> None:
    """Send the requests of a group for the length of the run."""
    raise TypeError(f"not a loop: {type(loop).__name__}")


@drive.register
async def _(loop: OpenLoop, callers: CallerGroup, load: Load) -> None:
    async with TaskGroup() as group:
        start_s = 0.0
        for phase in load.settings.phases:
            await _arrive(loop, callers, load, phase, start_s, group)
            start_s += phase.seconds


@drive.register
async def _(loop: ClosedLoop, callers: CallerGroup, load: Load) -> None:
    async with TaskGroup() as group:
        for caller in range(callers.callers):
            await group.spawn(_go_round, loop, callers, caller, load)


async def _arrive(
    loop: OpenLoop,
    callers: CallerGroup,
    load: Load,
    phase: Phase,
    start_s: float,
    group: TaskGroup,
) -> None:
    random = Random(f"{load.settings.seed}/{callers.name}/{phase.name}")
    due_s = start_s
    while True:
        due_s += random.expovariate(phase.rate_per_s * loop.share)
        if due_s >= start_s + phase.seconds:
            return
        caller = random.randrange(callers.callers)
        entry = _draw(callers, random)
        await sleep(max(due_s - load.elapsed_s, 0.0))
        await group.spawn(load.send, callers, caller, entry, due_s)


async def _go_round(loop: ClosedLoop, callers: CallerGroup, caller: int, load: Load) -> None:
    random = Random(f"{load.settings.seed}/{callers.name}/{caller}")
    while load.elapsed_s < load.length_s:
        if loop.think_ms > 0:
            await sleep(random.expovariate(1000.0 / loop.think_ms))
        await load.send(callers, caller, _draw(callers, random), load.elapsed_s)


def _draw(callers: CallerGroup, random: Random) -> MixEntry:
    return random.choices(callers.mix, [entry.weight for entry in callers.mix])[0]
