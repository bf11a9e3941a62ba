"""Timer service: one task that wakes all periodic subscribers."""

from heapq import heappop, heappush
from itertools import count
from time import monotonic, time

from curio import Event, sleep

SLEEP_MAX_S = 0.25


class Subscription:
    """Subscription to a period; `wait` returns once for each elapsed period.

    Periods missed while the subscriber was busy are skipped.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._event = Event()
        self._cancelled = False

    @property
    def period_s(self) -> float:
        """Return the period in seconds."""
        return self._period_s

    @property
    def cancelled(self) -> bool:
        """Return whether the subscription is cancelled."""
        return self._cancelled

    def cancel(self) -> None:
        """Cancel the subscription."""
        self._cancelled = True

    async def wait(self) -> None:
        """Wait for the next tick."""
        await self._event.wait()
        self._event.clear()

    async def fire(self) -> None:
        """Wake the subscriber."""
        await self._event.set()


class Timer:
    """Subscriptions in the order in which they are due."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Subscription]] = []
        self._order = count()

    def now(self) -> float:
        """Return monotonic seconds."""
        return monotonic()

    def epoch(self) -> float:
        """Return seconds since the epoch, by this host's clock."""
        return time()

    def subscribe(self, period_s: float) -> Subscription:
        """Return a subscription that fires every `period_s` seconds."""
        subscription = Subscription(period_s)
        self._push(self.now() + period_s, subscription)
        return subscription

    async def run(self) -> None:
        """Fire subscriptions until cancelled."""
        while True:
            await sleep(self._seconds_to_next())
            await self._fire_due(self.now())

    def _push(self, due: float, subscription: Subscription) -> None:
        heappush(self._due, (due, next(self._order), subscription))

    def _seconds_to_next(self) -> float:
        if not self._due:
            return SLEEP_MAX_S
        return min(max(self._due[0][0] - self.now(), 0.001), SLEEP_MAX_S)

    async def _fire_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, _, subscription = heappop(self._due)
            if subscription.cancelled:
                continue
            await subscription.fire()
            self._push(now + subscription.period_s, subscription)


def make_timer() -> Timer:
    """Return a timer without subscriptions; its owner runs it in a task."""
    return Timer()
