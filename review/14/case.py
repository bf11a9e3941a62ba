"""Clients leave while their requests wait for a second attempt elsewhere; see claim.txt."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common_3 as c  # noqa: E402

ROUNDS = 12
SLOTS = 25
DEADLINE_MS = 6000
#: Requests of clients that wait for the answer, and of clients that leave.
PATIENT, LEAVING = 120, 100
SPACING_S = 0.015
LEAVE_S = 0.5
SHED_RATIO = 0.45
ALLOWED_S = 0.5
#: "More than a few".
FEW = 5


class SheddingInstance(c.Instance):
    """Refuses a part of its requests as not run."""

    async def _respond(self, method, target, headers, body, writer):
        rid = c.header(headers, "x-pollenbay-request-id") or ""
        if c.TROUBLE and rid.startswith("leaving") and rng.random() < SHED_RATIO:
            self.record.add("shed", instance=self.name, id=rid)
            fields = [("X-Pollenbay-Request-Id", rid), ("X-Pollenbay-Not-Executed", "1")]
            return c.http_message(503, fields)
        return await super()._respond(method, target, headers, body, writer)


rng = random.Random(37)


async def play(record, folder, nodes):
    network = c.free_network()
    store = c.Store(record)
    await store.start(f"{network}.2")
    path = c.make_path("book", "desk", "unsafe", DEADLINE_MS)
    await store.put_config(c.make_config(1, ["desk"], [path]))
    instances = []
    for host, (name, kind, work_s) in enumerate(
        (("a", SheddingInstance, 0.5), ("b", c.Instance, 2.5)), 3
    ):
        ip = f"{network}.{host}"
        node = c.Node(record, folder, store, ip, f"sidecar-{name}", "desk")
        nodes.append(node)
        node.start()
        instance = kind(record, ip, f"i-{name}", "desk", SLOTS, lambda target, s=work_s: s)
        await instance.start()
        instances.append(instance)
    for node in nodes:
        await node.wait_ready()
    entry = nodes[0].ip
    left_at = {}

    async def one(rid, limit_s):
        headers = c.client_headers(rid, DEADLINE_MS)
        answer = await c.send(
            entry, c.PORTS["outbound"], "POST", "/book/1", headers, b"{}", limit_s
        )
        if not answer.status:
            left_at[rid] = record.now()
            record.add("left", id=rid)
        return answer.status

    await asyncio.sleep(5.0)
    for turn in range(ROUNDS):
        patient = [
            asyncio.create_task(one(f"patient-{turn}-{n:03d}", 9.0)) for n in range(PATIENT)
        ]
        await asyncio.sleep(0.6)
        leaving = []
        for n in range(LEAVING):
            leaving.append(asyncio.create_task(one(f"leaving-{turn}-{n:03d}", LEAVE_S)))
            await asyncio.sleep(SPACING_S)
        await asyncio.gather(*leaving)
        statuses = await asyncio.gather(*patient)
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        record.add("burst", turn=turn, patient=counts, left=len(left_at))
        await asyncio.sleep(1.0)
    late = [
        (at - left_at[rid], rid)
        for instance in instances
        for at, rid in instance.arrived
        if rid in left_at and at > left_at[rid] + ALLOWED_S
    ]
    record.add("result", left=len(left_at), late=len(late))
    for seconds, rid in late:
        record.add("late", id=rid, after_leaving_s=round(seconds, 3))
    return len(late) <= FEW


c.main(play, Path(__file__).resolve().parent)
