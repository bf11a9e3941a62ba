"""Callers in open and closed loops that verify the body of each response."""

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
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
)
from standins.commands.load import record_refusal, record_request, track_in_flight
from standins.load_settings import (
    CallerGroup,
    ClosedLoop,
    ImmediateRetry,
    LoadSettings,
    MixEntry,
    NoRetry,
    OpenLoop,
    Phase,
    RetryPolicy,
)
from standins.load_state import LoadState, Refusal, RequestRecord, Result
from standins.marker import MARKER_HEADER, SIZE_HEADER, is_expected_body
from standins.pool import Pool

#: Seconds past the deadline of a request after which a caller closes the connection.
CLOSE_GRACE_S = 0.5
RESULT_BY_OUTCOME = {b"not-run": Result.NOT_RUN, b"unknown": Result.UNKNOWN}


class PreparedRequest(Struct):
    """A request as sent by each of its attempts.

    :param wait_s: seconds that the caller waits for a response.
    :param key: idempotency key, if any.
    """

    call: str
    request: HttpRequest
    marker: str
    size_bytes: int
    wait_s: float
    key: str | None


class LoadGenerator:
    """A run of the load generator.

    :param entries: connections to the nodes or targets to call.
    """

    def __init__(self, settings: LoadSettings, entries: list[Pool], state: LoadState) -> None:
        self._settings = settings
        self._entries = entries
        self._state = state
        self._random = Random(settings.seed)
        self._started_at = monotonic()
        self._prepared_count = 0

    @property
    def settings(self) -> LoadSettings:
        """Return the settings of the run."""
        return self._settings

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the start of the run."""
        return monotonic() - self._started_at

    @property
    def duration_s(self) -> float:
        """Return the duration of all phases in seconds."""
        return sum(phase.seconds for phase in self._settings.phases)

    async def run(self) -> None:
        """Run all phases and wait for the last responses."""
        async with TaskGroup() as group:
            for callers in self._settings.groups:
                await group.spawn(run_loop, callers.loop, callers, self)

    async def send(
        self, callers: CallerGroup, caller: int, entry: MixEntry, arrived_s: float
    ) -> None:
        """Send a request with the retries of the caller's group and record its result.

        :param caller: number of the caller in its group.
        :param arrived_s: arrival in seconds since the start of the run.
        """
        prepared = self._prepare(callers, caller, entry)
        results: list[Result] = []
        if self._state.in_flight < self._settings.max_in_flight:
            with track_in_flight(self._state):
                await self._send_with_retries(prepared, max_attempts_of(callers.retry), results)
        request_record = RequestRecord(
            entry.call_class, prepared.key, arrived_s, self.elapsed_s, tuple(results)
        )
        record_request(self._state, request_record)

    async def _send_with_retries(
        self, prepared: PreparedRequest, max_attempts: int, results: list[Result]
    ) -> None:
        while len(results) < max_attempts:
            results.append(await self._send_once(prepared))
            if results[-1] in (Result.COMPLETE, Result.WRONG):
                return

    async def _send_once(self, prepared: PreparedRequest) -> Result:
        pool = self._random.choice(self._entries)
        headers = [(b"host", pool.host), *prepared.request.headers]
        request = HttpRequest(prepared.request.method, prepared.request.target, headers)
        try:
            timeout_s = prepared.wait_s + CLOSE_GRACE_S
            response = await timeout_after(timeout_s, pool.exchange, request)
        except HttpConnectError:
            return Result.NOT_RUN
        except (HttpError, TaskTimeout):
            return Result.UNKNOWN
        result = _classify(prepared, response)
        reason = header_value(response.headers, REASON_HEADER)
        if reason is not None:
            refusal = Refusal(prepared.call, result, reason.decode("latin-1"))
            record_refusal(self._state, refusal)
        return result

    def _prepare(self, callers: CallerGroup, caller: int, entry: MixEntry) -> PreparedRequest:
        self._prepared_count += 1
        marker = f"{callers.name}-{caller}-{self._settings.seed}-{self._prepared_count}"
        key = f"k-{marker}" if entry.keyed else None
        headers: Headers = [
            (CALLER_HEADER, f"{callers.name}-{caller}".encode("ascii")),
            (MARKER_HEADER, marker.encode("ascii")),
            (SIZE_HEADER, b"%d" % entry.size_bytes),
            (DEADLINE_HEADER, b"%d" % entry.wait_ms),
        ]
        if key is not None:
            headers.append((IDEMPOTENCY_KEY_HEADER, key.encode("ascii")))
        path = "/" + entry.call.replace(".", "/", 1)
        request = HttpRequest(b"POST", path.encode("ascii"), headers)
        wait_s = entry.wait_ms / 1000.0
        return PreparedRequest(entry.call, request, marker, entry.size_bytes, wait_s, key)


def _classify(prepared: PreparedRequest, response: HttpResponse) -> Result:
    outcome = header_value(response.headers, OUTCOME_HEADER)
    if outcome in RESULT_BY_OUTCOME:
        return RESULT_BY_OUTCOME[outcome]
    if response.status != 200:
        return Result.FAILED
    correct = is_expected_body(response.body, prepared.marker, prepared.size_bytes)
    return Result.COMPLETE if correct else Result.WRONG


@singledispatch
def max_attempts_of(policy: RetryPolicy) -> int:
    """Return the maximum number of attempts for a request."""
    raise TypeError(f"unsupported retry policy: {type(policy).__name__}")


@max_attempts_of.register
def _(policy: NoRetry) -> int:
    return 1


@max_attempts_of.register
def _(policy: ImmediateRetry) -> int:
    return 1 + policy.times


@singledispatch
async def run_loop(loop: object, callers: CallerGroup, load: LoadGenerator) -> None:
    """Send the requests of a group until the end of the run."""
    raise TypeError(f"unsupported loop: {type(loop).__name__}")


@run_loop.register
async def _(loop: OpenLoop, callers: CallerGroup, load: LoadGenerator) -> None:
    async with TaskGroup() as group:
        start_s = 0.0
        for phase in load.settings.phases:
            await _run_open_phase(loop, callers, load, phase, start_s, group)
            start_s += phase.seconds


@run_loop.register
async def _(loop: ClosedLoop, callers: CallerGroup, load: LoadGenerator) -> None:
    async with TaskGroup() as group:
        for caller in range(callers.callers):
            await group.spawn(_run_closed_caller, loop, callers, caller, load)


async def _run_open_phase(
    loop: OpenLoop,
    callers: CallerGroup,
    load: LoadGenerator,
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
        entry = _draw_entry(callers, random)
        await sleep(max(due_s - load.elapsed_s, 0.0))
        await group.spawn(load.send, callers, caller, entry, due_s)


async def _run_closed_caller(
    loop: ClosedLoop, callers: CallerGroup, caller: int, load: LoadGenerator
) -> None:
    random = Random(f"{load.settings.seed}/{callers.name}/{caller}")
    while load.elapsed_s < load.duration_s:
        if loop.think_ms > 0:
            await sleep(random.expovariate(1000.0 / loop.think_ms))
        await load.send(callers, caller, _draw_entry(callers, random), load.elapsed_s)


def _draw_entry(callers: CallerGroup, random: Random) -> MixEntry:
    return random.choices(callers.mix, [entry.weight for entry in callers.mix])[0]
