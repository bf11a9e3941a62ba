"""Requests of clients are taken until the last moment of a planned stop, and cut by its end."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import BOUNDS, CouldNotRunError, Instance, call, main, route  # noqa: E402

DEADLINE_MS = 1500
WORK_S = 0.3
PER_S = 10.0
#: Seconds after SIGTERM up to which a request may have been sent that is cut at the end of the stop.
EXCUSED_S = 3.0


async def send_load(machine, ends_at, calls):
    """Send requests that may not be repeated at a steady rate."""
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
    # The only machine of its zone, so that its clients stay although it isn't ready.
    entry = system.add_machine("node-1", "front", zone="z1")
    home = system.add_machine("node-2", "bookings", zone="z2")
    for machine in (entry, home):
        machine.start()
        await machine.wait_ready()
    await Instance(entry, "i-1", 20).start()
    instance = Instance(home, "i-2", 20)
    await instance.start()
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000.0 + 1.5)
    calls = []
    load = asyncio.create_task(send_load(entry, record.now() + 3.0 + BOUNDS["grace_s"], calls))
    await asyncio.sleep(3.0)
    if not instance.runs:
        raise CouldNotRunError("the deployment does not serve")
    if trouble:
        entry.send_signal(signal.SIGTERM)
    stopped_at = record.now()
    await load
    answers = {each.request: each for each in await asyncio.gather(*calls)}
    await asyncio.sleep(0.5)
    reasons = []
    for run in instance.runs:
        answer = answers[run.request]
        sent_s, ended_s = answer.sent_at - stopped_at, answer.ended_at - stopped_at
        if answer.error:
            what = "the connection ends without an answer"
        elif answer.status >= 500 and run.ended_at > answer.ended_at and sent_s > EXCUSED_S:
            what = f"broken off with {answer.status} while its instance is at work"
        else:
            continue
        reasons.append(
            f"LOST: {run.request}, sent {sent_s:.2f} s after SIGTERM and passed on: {what} "
            f"{ended_s:.2f} s after SIGTERM (grace {BOUNDS['grace_s']} s)"
        )
    return reasons


main(__file__, scenario)
