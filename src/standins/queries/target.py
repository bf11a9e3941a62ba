"""Queries on the state of the target stand-in."""

from pollenbay.announcement import Announcement
from pollenbay.ids import CallName
from pollenbay.states import TargetState
from standins.target_state import LoadSample, RunLog, TargetStore


def find_call(store: TargetStore, path: str) -> CallName | None:
    """Return the call that a path names, or None if the target does not serve it.

    :param path: ``/call`` or ``/service/call``; further segments and the query are ignored.
    """
    segments = path.split("?")[0].strip("/").split("/")
    if len(segments) > 1 and segments[0] == store.settings.service:
        segments = segments[1:]
    call = CallName(segments[0])
    return call if call in store.calls else None


def run_log(store: TargetStore) -> RunLog:
    """Return all runs and counters."""
    return RunLog(store.runs, store.counts)


def make_announcement(store: TargetStore, port: int, sample: LoadSample) -> Announcement:
    """Return the announcement of the target under the active faults.

    :param sample: the load to report.
    """
    settings = store.settings
    leaving = store.stopping or store.faults.leave
    load = sample.in_flight / settings.slots
    if store.faults.reported_load is not None:
        load = store.faults.reported_load
    return Announcement(
        service=settings.service,
        address=settings.address,
        port=port,
        slots=settings.slots,
        state=TargetState.LEAVING if leaving else TargetState.SERVING,
        in_flight=round(load * settings.slots),
        reported_load=load,
    )
