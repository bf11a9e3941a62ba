"""The timer service: one task that wakes every part which subscribed to a period."""

from heapq import heappop, heappush
from itertools import count
from time import monotonic, time

from curio import Event, sleep

IDLE_SLEEP_S = 0.25


class Subscription:
    """A part's interest in a period; `wait` returns once for each period that has passed.

    Periods missed while the part was busy are not made up for.
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
        """Tell whether the subscription has ended."""
        return self._cancelled

    def cancel(self) -> None:
        """End the subscription."""
        self._cancelled = True

    async def wait(self) -> None:
        """Wait for the next tick."""
        await self._event.wait()
        self._event.clear()

    async def fire(self) -> None:
        """Wake the subscriber."""
        await self._event.set()


class Timer:
    """Keeps the subscriptions in the order in which they are due."""

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
            await sleep(self._time_to_next())
            await self._fire_due(self.now())

    def _push(self, due: float, subscription: Subscription) -> None:
        heappush(self._due, (due, next(self._order), subscription))

    def _time_to_next(self) -> float:
        if not self._due:
            return IDLE_SLEEP_S
        return min(max(self._due[0][0] - self.now(), 0.001), IDLE_SLEEP_S)

    async def _fire_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, _, subscription = heappop(self._due)
            if subscription.cancelled:
                continue
            await subscription.fire()
            self._push(now + subscription.period_s, subscription)


def make_timer() -> Timer:
    """Return a timer with no subscriptions; its owner runs it in a task."""
    return Timer()
