"""A check-in of another writer, then the instance leaves."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import BOUNDS, CouldNotRunError, Instance, call, main, route  # noqa: E402

DEADLINE_MS = 5000
SLOTS = 8
WORK_S = 0.3
PER_S = 10.0
#: What the instance serves beyond `drain_ms` before it exits.
LITTLE_LONGER_S = 1.2


async def send_load(machine, ends_at, calls):
    """Send requests at a steady rate."""
    while machine.system.record.now() < ends_at:
        calls.append(
            asyncio.create_task(call(machine, f"/b/book?work={WORK_S}", DEADLINE_MS, "POST"))
        )
        await asyncio.sleep(1.0 / PER_S)


async def scenario(system, trouble):
    record = system.record
    await system.start_store()
    await system.publish(
        1, ["bookings", "front"], [route("r-b", "/b/", "bookings", "unsafe", DEADLINE_MS)]
    )
    entry, home = system.add_machine("node-1", "front"), system.add_machine("node-2", "bookings")
    for machine in (entry, home):
        machine.start()
        await machine.wait_ready()
    await Instance(entry, "i-1", SLOTS).start()
    instance = Instance(home, "i-2", SLOTS)
    await instance.start()
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000.0 + 1.5)
    calls = []
    load = asyncio.create_task(send_load(entry, record.now() + 6.0, calls))
    await asyncio.sleep(1.0)
    if trouble:
        body = instance.body("ready", 1, born=int(time.time() * 1000))
        body = body.replace(b'"bookings"', b'"pallet-robots"')
        status = await instance.say("PUT", body, name="pr-1")
        record.write(f"check-in of another writer, service pallet-robots: {status}")
    await asyncio.sleep(0.5)
    await instance.leave()
    await asyncio.sleep(BOUNDS["drain_ms"] / 1000.0 + LITTLE_LONGER_S)
    await instance.stop()
    await load
    answers = {each.request: each for each in await asyncio.gather(*calls)}
    if not any(each.status == 200 for each in answers.values()):
        raise CouldNotRunError("no request was served")
    bound = instance.confirmed_leaving_at + BOUNDS["drain_ms"] / 1000.0
    return [
        f"DRAIN: {run.request} reached i-2 {run.at - instance.confirmed_leaving_at:.2f} s"
        f" after its leaving was confirmed; there: {run.end};"
        f" the client got {answers[run.request].status} {answers[run.request].error}"
        for run in instance.runs
        if run.at > bound
    ]


main(__file__, scenario)
