"""Claims of several hosts under faults, checked against an oracle that counts runs per key."""

from dataclasses import dataclass, field
from unittest.mock import patch

from curio import Event, Kernel, sleep, spawn
from curio.task import Task
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from table_double import Fault, ManualTimer, TableDouble

from pollenbay.claim import (
    Claim,
    ClaimedRow,
    ClaimNonce,
    ClaimRequest,
    decode_row,
    fingerprint_of,
    row_key_of,
)
from pollenbay.commands.claim import (
    PROBE_PERIOD_S,
    abandon_claim,
    acquire_claim,
    drain_ledger,
    record_response,
    release_claim,
)
from pollenbay.ids import (
    CallerId,
    CallName,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    ServiceName,
)
from pollenbay.ledger import Ledger, make_ledger
from pollenbay.outcome import Answered, NotRun, Unknown
from pollenbay.states import Reason

SERVICE = ServiceName("bookings")
CALL = CallName("book")
CALLER = CallerId("mill")
HOST_COUNT = 3
CALL_TIMEOUT_S = 10.0
DRAIN_TIMEOUT_S = 5.0
BODIES = (b"one bale", b"two bales")
KEYS = ("k1", "k2")

any_host = st.integers(0, HOST_COUNT - 1)
any_number = st.integers(0, 11)
any_key = st.sampled_from(KEYS)
any_body = st.sampled_from(BODIES)
any_faults = st.lists(st.sampled_from(list(Fault)), max_size=3)


@dataclass(slots=True)
class HeldClaim:
    """A claim that was granted to a host and is neither recorded nor released."""

    host: int
    request: ClaimRequest
    claim: Claim
    sent: bool = False


@dataclass(slots=True)
class Oracle:
    """What actually happened, for comparison with the outcomes.

    :param runs: response of each run, by key.
    :param run_fingerprints: fingerprints of the requests that ran, by key.
    :param lost_keys: keys for which a host may have crashed with a claim or an unwritten record.
    """

    runs: dict[str, list[Answered]] = field(default_factory=dict)
    run_fingerprints: dict[str, set[str]] = field(default_factory=dict)
    lost_keys: set[str] = field(default_factory=set)
    granted_nonces: set[ClaimNonce] = field(default_factory=set)

    def record_run(self, request: ClaimRequest) -> None:
        """Record a run with a response that no other run shares."""
        runs = self.runs.setdefault(request.key, [])
        runs.append(Answered(201, [], f"{request.key} run {len(runs)}".encode()))
        self.run_fingerprints.setdefault(request.key, set()).add(request.fingerprint)


class ClaimMachine(RuleBasedStateMachine):
    """Hosts with repeated requests of two keys, table faults, pauses and crashes in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.patches = [
            patch("pollenbay.commands.record.RETRY_DELAY_MIN_S", 0.001),
            patch("pollenbay.commands.record.RETRY_DELAY_MAX_S", 0.002),
            patch("pollenbay.commands.record.RESPONSE_DELAY_MAX_S", 0.001),
            patch("pollenbay.commands.claim.CLAIM_TIMEOUT_S", DRAIN_TIMEOUT_S),
            patch("pollenbay.commands.claim.RELEASE_WAIT_S", 0.01),
        ]
        for each in self.patches:
            each.start()
        self.kernel = Kernel()
        self.kernel.__enter__()
        self.table = TableDouble()
        self.timer = ManualTimer()
        self.oracle = Oracle()
        self.held: list[HeldClaim] = []
        self.ledgers: list[Ledger] = []
        self.ledger_tasks: list[Task] = []

    @initialize()
    def start(self) -> None:
        """Start all hosts."""
        for host in range(HOST_COUNT):
            ledger, runner = self.kernel.run(self.start_host, host, 1)
            self.ledgers.append(ledger)
            self.ledger_tasks.append(runner)

    async def start_host(self, host: int, incarnation: int) -> tuple[Ledger, Task]:
        """Return the running ledger of a host."""
        instance = InstanceId(f"b{host}")
        ledger = make_ledger(
            self.table, instance, Incarnation(incarnation), self.timer, gap_s=0.0
        )  # type: ignore[arg-type]
        ledger.clock = self.timer.now
        return ledger, await spawn(ledger.run, daemon=True)

    def request(self, key: str, body: bytes) -> ClaimRequest:
        """Return a request whose deadline is `CALL_TIMEOUT_S` from now."""
        fingerprint = fingerprint_of(SERVICE, CALL, "POST", "/book", body)
        deadline = self.timer.time_s + CALL_TIMEOUT_S
        return ClaimRequest(SERVICE, CALL, CALLER, IdempotencyKey(key), fingerprint, deadline)

    @rule(host=any_host, key=any_key, body=any_body, faults=any_faults)
    def arrive(self, host: int, key: str, body: bytes, faults: list[Fault]) -> None:
        """A request arrives while some table writes have faults."""
        self.table.faults.extend(faults)
        request = self.request(key, body)
        self.check_outcome(
            host, request, self.kernel.run(acquire_claim, self.ledgers[host], request)
        )

    @rule(key=any_key, body=any_body, faults=any_faults)
    def arrive_on_all_hosts(self, key: str, body: bytes, faults: list[Fault]) -> None:
        """A request arrives at all hosts at once."""
        self.table.faults.extend(faults)
        request = self.request(key, body)
        for host, outcome in enumerate(self.kernel.run(self.claim_on_all_hosts, request)):
            self.check_outcome(host, request, outcome)

    async def claim_on_all_hosts(self, request: ClaimRequest) -> list[object]:
        """Request the claim on all hosts concurrently."""
        tasks = [await spawn(acquire_claim, ledger, request) for ledger in self.ledgers]
        return [await task.join() for task in tasks]

    @rule(host=any_host, key=any_key, body=any_body, fault=st.sampled_from(list(Fault)))
    def arrive_and_cancel(self, host: int, key: str, body: bytes, fault: Fault) -> None:
        """A request arrives and is cancelled by its caller while the claim is being written."""
        self.table.faults.append(fault)
        self.kernel.run(self.cancel_in_flight, host, self.request(key, body))

    async def cancel_in_flight(self, host: int, request: ClaimRequest) -> None:
        """Cancel a claim in flight, then let its write continue."""
        self.table.gate = gate = Event()
        task = await spawn(acquire_claim, self.ledgers[host], request)
        for _ in range(5):
            await sleep(0)
        await task.cancel()
        self.table.gate = None
        await gate.set()
        await sleep(0)

    def pick(self, number: int, sent: bool) -> HeldClaim | None:
        """Return one of the held claims, or None.

        The choice of rules must not depend on the progress of the background tasks.
        """
        held = [held for held in self.held if held.sent is sent]
        return held[number % len(held)] if held else None

    @rule(number=any_number)
    def send_call(self, number: int) -> None:
        """A holder sends its call, possibly late; the call of a key must not be sent twice."""
        held = self.pick(number, sent=False)
        if held is not None:
            held.sent = True
            self.oracle.record_run(held.request)
            assert len(self.oracle.runs[held.request.key]) == 1, "the call ran twice"

    @rule(number=any_number, faults=any_faults)
    def receive_response(self, number: int, faults: list[Fault]) -> None:
        """The target's response reaches the holder."""
        held = self.pick(number, sent=True)
        if held is None:
            return
        self.held.remove(held)
        self.table.faults.extend(faults)
        response = self.oracle.runs[held.request.key][0]
        self.kernel.run(record_response, self.ledgers[held.host], held.claim, response)

    @rule(number=any_number)
    def lose_target(self, number: int) -> None:
        """The connection to the target breaks after the call was sent."""
        held = self.pick(number, sent=True)
        if held is None:
            return
        self.held.remove(held)
        abandon_claim(self.ledgers[held.host], held.claim)

    @rule(number=any_number, faults=any_faults)
    def release_unsent(self, number: int, faults: list[Fault]) -> None:
        """A holder releases its claim without having sent the call."""
        held = self.pick(number, sent=False)
        if held is None:
            return
        self.held.remove(held)
        self.table.faults.extend(faults)
        self.kernel.run(release_claim, self.ledgers[held.host], held.claim)

    @rule(host=any_host)
    def crash(self, host: int) -> None:
        """A host crashes and loses its state; its instance restarts."""
        self.kernel.run(self.ledger_tasks[host].cancel)
        self.oracle.lost_keys.update(KEYS)
        self.held = [held for held in self.held if held.host != host]
        incarnation = self.ledgers[host].incarnation + 1
        self.ledgers[host], self.ledger_tasks[host] = self.kernel.run(
            self.start_host, host, incarnation
        )

    @rule(seconds=st.sampled_from([PROBE_PERIOD_S, CALL_TIMEOUT_S / 2, 2 * CALL_TIMEOUT_S]))
    def advance_clock(self, seconds: float) -> None:
        """Time passes, also past deadlines, while holders are paused."""
        self.timer.time_s += seconds

    @rule(down=st.booleans(), read_down=st.booleans())
    def set_table(self, down: bool, read_down: bool) -> None:
        """The table goes down or comes up, for all requests or only for reads."""
        self.table.down = down
        self.table.read_down = read_down

    @rule(stale=st.booleans())
    def set_stale_reads(self, stale: bool) -> None:
        """Reads return a snapshot of the present rows from now on, or the current rows."""
        self.table.stale_rows = dict(self.table.rows) if stale else None

    @rule()
    def deliver_delayed(self) -> None:
        """Delayed writes are applied."""
        self.table.deliver_delayed()

    @rule()
    def run_background_tasks(self) -> None:
        """Background tasks run for a short time."""
        self.kernel.run(sleep, 0.005)

    def check_outcome(self, host: int, request: ClaimRequest, outcome: object) -> None:
        """Check the outcome of a request against the oracle."""
        fingerprints = self.oracle.run_fingerprints.get(request.key, set())
        match outcome:
            case Claim():
                assert not fingerprints, "granted after the call ran"
                assert outcome.nonce not in self.oracle.granted_nonces, "granted twice"
                self.oracle.granted_nonces.add(outcome.nonce)
                self.held.append(HeldClaim(host, request, outcome))
            case Answered():
                assert outcome == self.oracle.runs[request.key][0], "response of another run"
                assert request.fingerprint in fingerprints, "response of another request"
            case NotRun(reason=Reason.BAD_REQUEST):
                assert request.fingerprint not in fingerprints, "reported as not run, but it ran"
            case NotRun():
                assert outcome.reason is Reason.CLAIM_UNAVAILABLE
            case Unknown():
                assert outcome.reason in (Reason.DUPLICATE, Reason.DEADLINE)

    @invariant()
    def one_holder_per_key(self) -> None:
        """A key has at most one holder at any time."""
        keys = [held.request.key for held in self.held]
        assert len(keys) == len(set(keys)), "two holders of one key"

    def teardown(self) -> None:
        """With the table up, all records are written and keys that never ran are claimable."""
        try:
            if self.ledgers:
                self.clear_faults()
                self.check_rows()
        finally:
            self.kernel.run(self.stop_hosts)
            self.kernel.__exit__(None, None, None)
            for each in self.patches:
                each.stop()

    async def stop_hosts(self) -> None:
        """Stop all ledgers."""
        for runner in self.ledger_tasks:
            await runner.cancel()

    def clear_faults(self) -> None:
        """Clear all faults."""
        self.table.faults.clear()
        self.table.down = self.table.read_down = False
        self.table.stale_rows = None
        self.table.deliver_delayed()

    def check_rows(self) -> None:
        """Check the rows after all records have been written."""
        for ledger in self.ledgers:
            assert self.kernel.run(drain_ledger, ledger, DRAIN_TIMEOUT_S) == 0
            assert ledger.counts.lost == 0
            assert not ledger.unsent_nonces
        self.table.deliver_delayed()
        if self.oracle.lost_keys:
            return
        holders = {held.request.key for held in self.held}
        for key in set(KEYS) - holders - set(self.oracle.runs):
            row = self.table.rows.get(row_key_of(self.request(key, BODIES[0])))
            if row is not None:
                assert not isinstance(decode_row(row.value).unwrap(), ClaimedRow), "claim stuck"


ClaimMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestClaimMachine = ClaimMachine.TestCase
