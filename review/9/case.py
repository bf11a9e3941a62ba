"""A node is killed; what its instance says next overtakes an earlier check-in."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import BOUNDS, CouldNotRunError, Instance, call, main, route  # noqa: E402

DEADLINE_MS = 5000
SLOTS = 8
WORK_S = 0.3
PER_S = 10.0
#: Time by which the check-in comes late.
LATE_S = 1.5
#: What the instance serves beyond `drain_ms` before it exits.
LITTLE_LONGER_S = 3.0


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
    if (await call(entry, "/b/warm-up", DEADLINE_MS, "POST")).status != 200:
        raise CouldNotRunError("the deployment does not serve")
    # The instance is between two check-ins when its node is killed.
    await instance.pause_check_ins()
    if trouble:
        home.send_signal(signal.SIGKILL)
        home.process.wait()
        home.start()
        await home.wait_ready()
    started_at = record.now()
    late_body = instance.body("ready", instance.next_seq())
    record.write("the instance sends a check-in, which comes late")
    sent_at = record.now()
    await instance.leave(silently=True)
    await asyncio.sleep(max(sent_at + LATE_S - record.now(), 0.0))
    await instance.say("PUT", late_body)
    # From here on the machine is in touch again.
    await asyncio.sleep(max(started_at + BOUNDS["contact_ms"] / 1000.0 - record.now(), 0.0))
    calls = []
    exit_at = instance.confirmed_leaving_at + BOUNDS["drain_ms"] / 1000.0 + LITTLE_LONGER_S
    load = asyncio.create_task(send_load(entry, exit_at, calls))
    await asyncio.sleep(exit_at - record.now() - 0.1)
    await instance.stop()
    await load
    answers = {each.request: each for each in await asyncio.gather(*calls)}
    bound = instance.confirmed_leaving_at + BOUNDS["drain_ms"] / 1000.0
    return [
        f"DRAIN: {run.request} reached i-2 {run.at - instance.confirmed_leaving_at:.2f} s"
        f" after its leaving was confirmed; there: {run.end};"
        f" the client got {answers[run.request].status} {answers[run.request].error}"
        for run in instance.runs
        if run.at > bound
    ]


main(__file__, scenario)
