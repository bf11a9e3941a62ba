"""An instance is taken away while calls wait for it in the queue of its node."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import BOUNDS, Instance, call, main, route  # noqa: E402

DEADLINE_MS = 5000
SLOTS = 2
WORK_S = 0.45
#: Nine tenths of what the two instances can do.
USUAL_PER_S = 8.0
#: A burst of the site files: this many times the usual traffic.
BURST = 1.8
BURST_S = 8.0
#: What an instance serves beyond `drain_ms` before it exits.
LITTLE_LONGER_S = 1.2


async def send_load(machine, per_s, ends_at, calls):
    """Send requests at a steady rate."""
    while machine.system.record.now() < ends_at:
        calls.append(
            asyncio.create_task(call(machine, f"/b/book?work={WORK_S}", DEADLINE_MS, "POST"))
        )
        await asyncio.sleep(1.0 / per_s)


async def scenario(system, trouble):
    record = system.record
    await system.start_store()
    await system.publish(
        1, ["bookings", "front"], [route("r-b", "/b/", "bookings", "unsafe", DEADLINE_MS)]
    )
    entry = system.add_machine("node-1", "front")
    homes = [system.add_machine(f"node-{number}", "bookings") for number in (2, 3)]
    for machine in (entry, *homes):
        machine.start()
        await machine.wait_ready()
    await Instance(entry, "i-1", SLOTS).start()
    instances = [Instance(machine, f"i-{machine.name}", SLOTS) for machine in homes]
    for instance in instances:
        await instance.start()
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000.0 + 1.5)
    calls = []
    await send_load(entry, USUAL_PER_S, record.now() + 3.0, calls)
    record.write("burst begins" if trouble else "no burst")
    per_s = USUAL_PER_S * (BURST if trouble else 1.0)
    load = asyncio.create_task(send_load(entry, per_s, record.now() + BURST_S, calls))
    await asyncio.sleep(BURST_S - 2.0)
    leaving = instances[0]
    await leaving.leave()
    await asyncio.sleep(BOUNDS["drain_ms"] / 1000.0 + LITTLE_LONGER_S)
    await leaving.stop()
    await load
    answers = await asyncio.gather(*calls)
    bound = leaving.confirmed_leaving_at + BOUNDS["drain_ms"] / 1000.0
    late = [run for run in leaving.runs if run.at > bound]
    answered = {answer.request: answer for answer in answers}
    record.write(
        f"{len(answers)} requests, {sum(each.status == 200 for each in answers)} served, "
        f"{sum(each.status == 503 for each in answers)} refused"
    )
    return [
        f"DRAIN: {run.request} reached {leaving.name} {run.at - leaving.confirmed_leaving_at:.2f} s"
        f" after its leaving was confirmed; there: {run.end};"
        f" the client got {answered[run.request].status} {answered[run.request].error}"
        for run in late
    ]


main(__file__, scenario)
