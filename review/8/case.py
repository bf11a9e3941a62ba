"""Calls of an instance are broken off while its node stops as planned."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import BOUNDS, CouldNotRunError, Instance, call, main, route  # noqa: E402

DEADLINE_MS = 6000
SLOTS = 8
PARENTS = 4
#: Seconds after SIGTERM at which the instance makes its calls, and their work.
CALLS_AT_S = 4.5
WORK_S = 1.0


async def scenario(system, trouble):
    record = system.record
    await system.start_store()
    await system.publish(
        1,
        ["bookings", "front", "routes"],
        [
            route("r-a", "/a/", "routes", "safe", DEADLINE_MS),
            route("r-p", "/p/", "bookings", "safe", 2500),
        ],
    )
    entry = system.add_machine("node-1", "front")
    middle, home = system.add_machine("node-2", "routes"), system.add_machine("node-3", "bookings")
    instances = []
    for machine in (entry, middle, home):
        machine.start()
        await machine.wait_ready()
    for machine in (entry, middle, home):
        instances.append(Instance(machine, f"i-{machine.name}", SLOTS))
        await instances[-1].start()
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000.0 + 1.5)
    for _ in range(60):
        answer = await call(entry, "/a/list?call=/p/peek&call_after=0", DEADLINE_MS)
    if answer.status != 200:
        raise CouldNotRunError("the deployment does not serve")
    path = f"/a/list?call=/p/peek?work={WORK_S}&call_after="
    started_at = record.now() + 0.1
    calls = []
    for number in range(PARENTS):
        after_s = started_at - record.now() + CALLS_AT_S + 0.1 * number
        calls.append(asyncio.create_task(call(entry, f"{path}{after_s:.2f}", DEADLINE_MS)))
    await asyncio.sleep(started_at - record.now())
    if trouble:
        middle.send_signal(signal.SIGTERM)
    started_at = record.now()
    answers = await asyncio.gather(*calls)
    await asyncio.sleep(0.5)
    record.write(f"answers to the clients: {[each.status for each in answers]}")
    return [
        f"LOST: {run.request} was sent {run.at - started_at:.2f} s after SIGTERM and broken off "
        f"{run.ended_at - started_at:.2f} s after it (grace {BOUNDS['grace_s']} s), "
        f"{run.ended_at - run.at:.2f} s into a work of {WORK_S} s"
        for run in instances[2].runs
        if run.at > started_at and run.end.startswith("dropped")
    ]


main(__file__, scenario)
