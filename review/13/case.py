"""A node that has confirmed a departure is killed, then a late check-in arrives; see claim.txt."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common_3 as c  # noqa: E402

DEADLINE_MS = 2000
WORK_S = 0.3
RATE_PER_S = 30
DRAIN_S = c.BOUNDS["drain_ms"] / 1000
CONTACT_S = c.BOUNDS["contact_ms"] / 1000
#: Seconds after the confirmed departure: the node is killed, the last check-in that the instance
#: sent before it arrives, and the instance ends.
KILL_S = 0.3
LATE_S = 2.0
END_S = DRAIN_S + 3.5


async def play(record, folder, nodes):
    network = c.free_network()
    store = c.Store(record)
    await store.start(f"{network}.2")
    path = c.make_path("book", "desk", "unsafe", DEADLINE_MS)
    await store.put_config(c.make_config(1, ["desk", "shop"], [path]))
    instances = []
    for host, (name, service) in enumerate((("a", "shop"), ("b", "desk")), 3):
        ip = f"{network}.{host}"
        node = c.Node(record, folder, store, ip, f"sidecar-{name}", service)
        nodes.append(node)
        node.start()
        instance = c.Instance(record, ip, f"i-{name}", service, 25, lambda target: WORK_S)
        await instance.start()
        instances.append(instance)
    for node in nodes:
        await node.wait_ready()
    entry, beside = nodes[0], nodes[1]
    leaving = instances[1]
    answers = {}

    async def one(rid):
        headers = c.client_headers(rid, DEADLINE_MS)
        answer = await c.send(entry.ip, c.PORTS["outbound"], "POST", "/book/1", headers, b"{}")
        answers[rid] = answer.status
        return answer.status

    async def is_served():
        return await one("first") == 200

    await c.wait_until(is_served, 10.0, "an answer")
    # All machines are in touch.
    await asyncio.sleep(CONTACT_S + 1.0)
    tasks = []
    stopping = asyncio.Event()

    async def load():
        while not stopping.is_set():
            tasks.append(asyncio.create_task(one(f"book-{len(tasks):04d}")))
            await asyncio.sleep(1 / RATE_PER_S)

    loading = asyncio.create_task(load())
    await asyncio.sleep(1.0)
    # The instance sends one more check-in, which is on its way for `LATE_S` and longer, and then
    # says that it leaves. It sends no check-in after that.
    for task in leaving.tasks:
        task.cancel()
    late = check_in_of(leaving)
    target = f"/instances/{leaving.name}"
    answer = await c.send(leaving.ip, c.PORTS["admin"], "DELETE", target)
    if answer.status != 200:
        raise c.CannotRun("the departure was not confirmed")
    left_at = record.now()
    record.add("departure-confirmed", instance=leaving.name)
    await asyncio.sleep(KILL_S)
    started_at = left_at - CONTACT_S
    if c.TROUBLE:
        beside.end()
        record.add("killed", node=beside.name)
        beside.start()
        started_at = record.now()
    await asyncio.sleep(left_at + LATE_S - record.now())
    answer = await c.send(leaving.ip, c.PORTS["admin"], "PUT", target, body=late)
    record.add("late-check-in", instance=leaving.name, status=answer.status)
    await asyncio.sleep(left_at + END_S - record.now())
    await leaving.crash()
    await asyncio.sleep(0.5)
    stopping.set()
    await loading
    await asyncio.gather(*tasks)
    # Only requests of the time in which the restarted machine is in touch again.
    since = max(left_at + DRAIN_S, started_at + CONTACT_S)
    wrong = [(at, rid) for at, rid in leaving.arrived if at > since]
    lost = [rid for rid in leaving.ran if rid not in leaving.done and answers.get(rid) != 200]
    statuses = list(answers.values())
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    record.add("result", statuses=counts, after_departure=len(wrong), run_and_lost=len(lost))
    for at, rid in wrong:
        record.add("wrong", id=rid, after_confirmation_s=round(at - left_at, 3))
    return not wrong


def check_in_of(instance):
    """Return the body of the next check-in of an instance."""
    instance.seq += 1
    info = {"service": instance.service, "version": "v1", "zone": "z1", "capacity": instance.slots}
    status = {"state": "ready", "seq": instance.seq, "warmup_left_ms": 0}
    body = {"address": f"{instance.ip}:{c.PORTS['app']}", "info": info, "status": status}
    return json.dumps({**body, "born": instance.born}).encode()


c.main(play, Path(__file__).resolve().parent)
