"""Run times of the calls of one target, learnt from the calls that have ended."""

from msgspec import Struct

from pollenbay.ids import CallName

SMOOTHING_WEIGHT = 0.1
#: Maximum number of calls whose run time is kept.
NAMES_MAX = 256


class RunTime(Struct):
    """Run time of one call.

    :param mean_s: smoothed run time in seconds; 0 if unknown.
    :param sampled_at: monotonic seconds at which it was last sampled, or admitted to be sampled.
    :param running: number of these calls that run now.
    :param failed: whether the last sample is of a failed call, which only shows how long the target
        did not answer.
    """

    mean_s: float = 0.0
    sampled_at: float = 0.0
    running: int = 0
    failed: bool = False


UNKNOWN_RUN_TIME = RunTime()


class RunTimes:
    """Run times by name of the call, since those of one class may differ widely."""

    def __init__(self) -> None:
        self._by_name: dict[CallName, RunTime] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: CallName) -> RunTime:
        """Return the run time of a call, to be read only."""
        return self._by_name.get(name, UNKNOWN_RUN_TIME)

    def begin(self, name: CallName) -> None:
        """Count a call that starts."""
        self._run_time_of(name).running += 1

    def end(self, name: CallName) -> None:
        """Count a call that has ended or was given up."""
        self._run_time_of(name).running -= 1

    def record(self, name: CallName, run_s: float, ok: bool, now: float) -> None:
        """Record the run time of a call that has ended.

        :param run_s: seconds from sending the call to the end of its response.
        :param ok: whether it was answered successfully.
        """
        run_time = self._run_time_of(name)
        if not ok and run_s <= run_time.mean_s:
            return
        starts_anew = not run_time.mean_s or (ok and run_time.failed)
        weight = 1.0 if starts_anew else SMOOTHING_WEIGHT
        run_time.mean_s += weight * (run_s - run_time.mean_s)
        run_time.sampled_at = now
        run_time.failed = not ok

    def record_probe(self, name: CallName, now: float) -> None:
        """Record the start of a call that is admitted to be sampled."""
        self._run_time_of(name).sampled_at = now

    def discard(self) -> None:
        """Discard all samples."""
        for name, run_time in self._by_name.items():
            self._by_name[name] = RunTime(running=run_time.running)

    def _run_time_of(self, name: CallName) -> RunTime:
        run_time = self._by_name.get(name)
        if run_time is None:
            if len(self._by_name) >= NAMES_MAX:
                self._drop_one()
            run_time = self._by_name[name] = RunTime()
        return run_time

    def _drop_one(self) -> None:
        idle = [name for name, run_time in self._by_name.items() if not run_time.running]
        if idle:
            del self._by_name[min(idle, key=lambda name: self._by_name[name].sampled_at)]


def make_run_times() -> RunTimes:
    """Return run times without samples."""
    return RunTimes()
