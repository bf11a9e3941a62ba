"""Claims of several hosts under faults, against an oracle that counts the runs of each key."""

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
    drain_ledger,
    record_answer,
    release_claim,
    take_claim,
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
HOSTS = 3
WAIT_S = 10.0
SETTLE_S = 5.0
BODIES = (b"one bale", b"two bales")
KEYS = ("k1", "k2")

hosts_of = st.integers(0, HOSTS - 1)
numbers = st.integers(0, 11)
keys_of = st.sampled_from(KEYS)
bodies_of = st.sampled_from(BODIES)
faults_of = st.lists(st.sampled_from(list(Fault)), max_size=3)


@dataclass(slots=True)
class Held:
    """A claim that a host was granted and has not ended."""

    host: int
    request: ClaimRequest
    claim: Claim
    sent: bool = False


@dataclass(slots=True)
class Oracle:
    """What really happened.

    :param runs: answer of each run, by key.
    :param ran: fingerprints of the requests that ran, by key.
    :param lost: keys of which a host died while it held or was writing something.
    """

    runs: dict[str, list[Answered]] = field(default_factory=dict)
    ran: dict[str, set[str]] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)
    granted: set[ClaimNonce] = field(default_factory=set)

    def note_run(self, request: ClaimRequest) -> None:
        """Count a run, with an answer that no other run shares."""
        runs = self.runs.setdefault(request.key, [])
        runs.append(Answered(201, [], f"{request.key} run {len(runs)}".encode()))
        self.ran.setdefault(request.key, set()).add(request.fingerprint)


class ClaimMachine(RuleBasedStateMachine):
    """Hosts, repeats of two keys, faults of the table, pauses and crashes in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.patches = [
            patch("pollenbay.commands.record.RETRY_FIRST_S", 0.001),
            patch("pollenbay.commands.record.RETRY_LONGEST_S", 0.002),
            patch("pollenbay.commands.record.ANSWER_PATIENCE_S", 0.001),
            patch("pollenbay.commands.claim.CLAIM_TIMEOUT_S", SETTLE_S),
            patch("pollenbay.commands.claim.RELEASE_WAIT_S", 0.01),
        ]
        for each in self.patches:
            each.start()
        self.kernel = Kernel()
        self.kernel.__enter__()
        self.table = TableDouble()
        self.timer = ManualTimer()
        self.oracle = Oracle()
        self.held: list[Held] = []
        self.ledgers: list[Ledger] = []
        self.runners: list[Task] = []

    @initialize()
    def start(self) -> None:
        """Start all hosts."""
        for host in range(HOSTS):
            ledger, runner = self.kernel.run(self.start_host, host, 1)
            self.ledgers.append(ledger)
            self.runners.append(runner)

    async def start_host(self, host: int, incarnation: int) -> tuple[Ledger, Task]:
        """Return the running ledger of a host."""
        instance = InstanceId(f"b{host}")
        ledger = make_ledger(
            self.table, instance, Incarnation(incarnation), self.timer, gap_s=0.0
        )  # type: ignore[arg-type]
        ledger.clock = self.timer.now
        return ledger, await spawn(ledger.run, daemon=True)

    def request(self, key: str, body: bytes) -> ClaimRequest:
        """Return a request whose deadline is `WAIT_S` from now."""
        fingerprint = fingerprint_of(SERVICE, CALL, "POST", "/book", body)
        deadline = self.timer.time_s + WAIT_S
        return ClaimRequest(SERVICE, CALL, CALLER, IdempotencyKey(key), fingerprint, deadline)

    @rule(host=hosts_of, key=keys_of, body=bodies_of, faults=faults_of)
    def arrive(self, host: int, key: str, body: bytes, faults: list[Fault]) -> None:
        """A request arrives while some writes meet faults."""
        self.table.faults.extend(faults)
        request = self.request(key, body)
        self.check(host, request, self.kernel.run(take_claim, self.ledgers[host], request))

    @rule(key=keys_of, body=bodies_of, faults=faults_of)
    def arrive_everywhere(self, key: str, body: bytes, faults: list[Fault]) -> None:
        """A request arrives at all hosts at once."""
        self.table.faults.extend(faults)
        request = self.request(key, body)
        for host, outcome in enumerate(self.kernel.run(self.race, request)):
            self.check(host, request, outcome)

    async def race(self, request: ClaimRequest) -> list[object]:
        """Take the claim on each host at once."""
        tasks = [await spawn(take_claim, ledger, request) for ledger in self.ledgers]
        return [await task.join() for task in tasks]

    @rule(host=hosts_of, key=keys_of, body=bodies_of, fault=st.sampled_from(list(Fault)))
    def arrive_and_leave(self, host: int, key: str, body: bytes, fault: Fault) -> None:
        """A request arrives and its caller leaves while the claim is being written."""
        self.table.faults.append(fault)
        self.kernel.run(self.cancel_in_flight, host, self.request(key, body))

    async def cancel_in_flight(self, host: int, request: ClaimRequest) -> None:
        """Cancel a claim in flight, then let its write go on."""
        self.table.gate = gate = Event()
        task = await spawn(take_claim, self.ledgers[host], request)
        for _ in range(5):
            await sleep(0)
        await task.cancel()
        self.table.gate = None
        await gate.set()
        await sleep(0)

    def pick(self, number: int, sent: bool) -> Held | None:
        """Return one of the claims that are held, or None.

        Which rules run must not hang on what the tasks in the background have done so far.
        """
        held = [held for held in self.held if held.sent is sent]
        return held[number % len(held)] if held else None

    @rule(number=numbers)
    def send(self, number: int) -> None:
        """A holder sends its call, however late, and no call of a key twice."""
        held = self.pick(number, sent=False)
        if held is not None:
            held.sent = True
            self.oracle.note_run(held.request)
            assert len(self.oracle.runs[held.request.key]) == 1, "the call ran twice"

    @rule(number=numbers, faults=faults_of)
    def answer(self, number: int, faults: list[Fault]) -> None:
        """The target's answer reaches the holder."""
        held = self.pick(number, sent=True)
        if held is None:
            return
        self.held.remove(held)
        self.table.faults.extend(faults)
        answer = self.oracle.runs[held.request.key][0]
        self.kernel.run(record_answer, self.ledgers[held.host], held.claim, answer)

    @rule(number=numbers)
    def lose_target(self, number: int) -> None:
        """The connection to the target breaks after the call was sent."""
        held = self.pick(number, sent=True)
        if held is None:
            return
        self.held.remove(held)
        abandon_claim(self.ledgers[held.host], held.claim)

    @rule(number=numbers, faults=faults_of)
    def release(self, number: int, faults: list[Fault]) -> None:
        """A holder gives its claim back unsent."""
        held = self.pick(number, sent=False)
        if held is None:
            return
        self.held.remove(held)
        self.table.faults.extend(faults)
        self.kernel.run(release_claim, self.ledgers[held.host], held.claim)

    @rule(host=hosts_of)
    def crash(self, host: int) -> None:
        """A host dies with all that it knew; its instance starts anew."""
        self.kernel.run(self.runners[host].cancel)
        self.oracle.lost.update(KEYS)
        self.held = [held for held in self.held if held.host != host]
        incarnation = self.ledgers[host].incarnation + 1
        self.ledgers[host], self.runners[host] = self.kernel.run(self.start_host, host, incarnation)

    @rule(seconds=st.sampled_from([PROBE_PERIOD_S, WAIT_S / 2, 2 * WAIT_S]))
    def pass_time(self, seconds: float) -> None:
        """Time passes, past deadlines too, while holders stand still."""
        self.timer.time_s += seconds

    @rule(down=st.booleans(), read_down=st.booleans())
    def set_table(self, down: bool, read_down: bool) -> None:
        """The table goes down or comes up, for all or for reads alone."""
        self.table.down = down
        self.table.read_down = read_down

    @rule(stale=st.booleans())
    def set_stale(self, stale: bool) -> None:
        """Reads show the present from now on, or the past."""
        self.table.stale = dict(self.table.rows) if stale else None

    @rule()
    def land(self) -> None:
        """Late writes arrive."""
        self.table.land()

    @rule()
    def work(self) -> None:
        """Tasks in the background run for a while."""
        self.kernel.run(sleep, 0.005)

    def check(self, host: int, request: ClaimRequest, outcome: object) -> None:
        """Hold what a request was told against what happened."""
        ran = self.oracle.ran.get(request.key, set())
        match outcome:
            case Claim():
                assert not ran, "granted after the call ran"
                assert outcome.nonce not in self.oracle.granted, "granted twice"
                self.oracle.granted.add(outcome.nonce)
                self.held.append(Held(host, request, outcome))
            case Answered():
                assert outcome == self.oracle.runs[request.key][0], "another run's answer"
                assert request.fingerprint in ran, "another request's answer"
            case NotRun(reason=Reason.BAD_REQUEST):
                assert request.fingerprint not in ran, "told not run, but it ran"
            case NotRun():
                assert outcome.reason is Reason.CLAIM_UNAVAILABLE
            case Unknown():
                assert outcome.reason in (Reason.DUPLICATE, Reason.DEADLINE)

    @invariant()
    def one_holder_a_key(self) -> None:
        """At any moment a key has one holder."""
        keys = [held.request.key for held in self.held]
        assert len(keys) == len(set(keys)), "two holders of one key"

    def teardown(self) -> None:
        """With the table up again all is settled, and what never ran can be claimed."""
        try:
            if self.ledgers:
                self.heal()
                self.settle()
        finally:
            self.kernel.run(self.stop_hosts)
            self.kernel.__exit__(None, None, None)
            for each in self.patches:
                each.stop()

    async def stop_hosts(self) -> None:
        """Stop all ledgers."""
        for runner in self.runners:
            await runner.cancel()

    def heal(self) -> None:
        """End all faults."""
        self.table.faults.clear()
        self.table.down = self.table.read_down = False
        self.table.stale = None
        self.table.land()

    def settle(self) -> None:
        """Check the rows once the records are written."""
        for ledger in self.ledgers:
            assert self.kernel.run(drain_ledger, ledger, SETTLE_S) == 0
            assert ledger.counts.lost == 0
            assert not ledger.unsent
        self.table.land()
        if self.oracle.lost:
            return
        holders = {held.request.key for held in self.held}
        for key in set(KEYS) - holders - set(self.oracle.runs):
            row = self.table.rows.get(row_key_of(self.request(key, BODIES[0])))
            if row is not None:
                assert not isinstance(decode_row(row.value).unwrap(), ClaimedRow), "stuck"


ClaimMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestClaimMachine = ClaimMachine.TestCase
