"""Changes to the state of the target stand-in."""

from pollenbay.ids import CallName
from standins.target_state import CallRun, Faults, LoadSample, TargetStore


def begin_run(
    store: TargetStore, call: CallName, idempotency_key: str | None, marker: str, now: float
) -> CallRun:
    """Record that a call got a slot.

    :param now: monotonic seconds.
    """
    run = CallRun(call, idempotency_key, marker, now)
    store.runs.append(run)
    store.counts.started += 1
    return run


def finish_run(store: TargetStore, run: CallRun) -> None:
    """Record that a call has finished its work."""
    run.finished = True
    store.counts.finished += 1


def set_faults(store: TargetStore, faults: Faults) -> None:
    """Replace all active faults."""
    store.faults = faults


def draw_failure(store: TargetStore) -> bool:
    """Return whether the next call fails, drawn at random with the fault's failure rate."""
    return store.random.random() < store.faults.fail_rate


def draw_service_time(store: TargetStore, call: CallName, now: float) -> float:
    """Return the time in seconds for which a call holds its slot, nested calls not included.

    :param now: monotonic seconds.
    """
    settings = store.settings
    seconds = store.calls[call].service_ms / 1000.0 * store.faults.service_time_factor
    if now - store.started_at < settings.cold_start_s:
        seconds *= settings.cold_factor
    return seconds * store.random.uniform(1.0 - settings.jitter, 1.0 + settings.jitter)


def sample_load(store: TargetStore, now: float) -> LoadSample:
    """Record the current load and return the sample to report, older by the fault's lag.

    :param now: monotonic seconds.
    """
    store.samples.append(LoadSample(now, store.in_flight))
    newest_to_report = now - store.faults.load_lag_s
    while len(store.samples) > 1 and store.samples[1].at <= newest_to_report:
        store.samples.popleft()
    return store.samples[0]
