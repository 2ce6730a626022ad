"""The replicas of a service crash two at a time and are back soon; the node that
owns a batch job is stopped meanwhile, as for an upgrade. The items of the
accepted job are to be finished."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
import world as w  # noqa: E402

REPLICAS = 12         # as on the site
NODES = 9             # as on the site
ITEMS = 24            # the largest job of the site
AT_A_TIME = 2         # a share of .17
STEP_S = 0.23
DOWN_S = 0.4
FIRST_PING_S = 1.2    # heartbeatMs is 1200
ROUNDS = 4            # at most; the rest is left out once an item is stuck
FINISH_S = 18.0       # finishS of the site
CALM_S = 5.0          # RULES.md, Batch jobs, LOST
QUIET_S = 3.0


class Replica(w.Replica):
    """Notes when its runs begin and end."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.spans = []   # [item, begin, end or None, whole]
        self.events = 231
        self.event_s = 0.02

    async def run(self, method, target, headers, body, request_id, fields,
                  writer):
        span = [request_id, w.now(), None, False]
        self.spans.append(span)
        try:
            await super().run(method, target, headers, body, request_id,
                              fields, writer)
            span[3] = True
        finally:
            span[2] = w.now()


async def play(record):
    store = w.Store()
    await store.start()
    replicas = [Replica(store, record, "llm", "i-%02d" % n)
                for n in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    store.put("op/config", w.config(3, [
        w.route("r-lot", "/lot/", "batch", "llm", timeoutMs=15000,
                targetLatencyMs=400, maxAttempts=3, runTargetMs=18000,
                retentionS=60, maxCount=3100000, priority=2)]))
    fleet = w.Fleet(store, record, edges=NODES, storages=1)
    try:
        await fleet.start()
        await asyncio.sleep(3.0)
        return await judge(record, store, fleet, replicas)
    finally:
        await fleet.stop()


async def start_again(record, replica):
    """The next process, of the same version, writes its entry with its first
    ping."""
    await asyncio.sleep(DOWN_S)
    replica.born = int(time.time() * 1000)
    write_entry, replica.register = replica.register, lambda: None
    await replica.start()
    record.add("%s has started again" % replica.name)
    await asyncio.sleep(FIRST_PING_S)
    replica.register = write_entry
    replica.register()


async def submit(record, node, jobs):
    job, items = w.new_id(), w.submission("/lot/", ITEMS)
    answer = await w.request(
        node.front, "POST", "/lot/1",
        [("Host", w.HOST), ("Parsleytrack-Request-Id", job),
         ("Content-Type", "application/json")],
        json.dumps({"items": items}).encode(), timeout=6.0)
    record.add("batch job %s of %d items at %s: %d" % (
        job, ITEMS, node.ip, answer.status))
    if answer.status != 202:
        raise w.CannotRun("the batch job is not accepted")
    jobs[job] = {item["id"] for item in items}
    return job


async def unlisted_items(fleet, jobs):
    """The items that no answer lists; every node may answer."""
    unlisted = set()
    for job, ids in jobs.items():
        listed = set()
        for node in fleet.edges:
            answer = await w.request(
                node.front, "GET", "/v1/lots/%s?after=0" % job,
                [("Host", w.HOST)], timeout=4.0)
            if answer.status == 200:
                listed |= {entry["id"] for entry in
                           json.loads(answer.body)["results"]
                           if entry["state"] in ("completed", "dead_letter")}
        unlisted |= ids - listed
    return unlisted


def owner_of(store, fleet, job):
    """Where the job's items are started from: which node is stopped decides
    only what the disruption meets, not what is judged."""
    for key in store.items:
        if key.endswith("/state/" + job):
            value = store.value(key)
            for node in fleet.edges:
                if b"edge-zone-a-%d" % (node.index + 1) in value:
                    return node
    raise w.CannotRun("the job has no owner")


async def disrupt(record, store, fleet, replicas, job):
    starts = []
    for first in range(0, REPLICAS, AT_A_TIME):
        group = replicas[first:first + AT_A_TIME]
        for replica in group:
            replica.crash()
        record.add("crash of %s" % ", ".join(r.name for r in group))
        starts += [asyncio.ensure_future(start_again(record, replica))
                   for replica in group]
        if group[-1] is not replicas[-1]:
            await asyncio.sleep(STEP_S)
    await asyncio.sleep(0.05)
    node = owner_of(store, fleet, job)
    record.add("SIGTERM to the node %s" % node.ip)
    node.process.terminate()
    await asyncio.wait_for(node.process.wait(), 12)
    await asyncio.gather(*starts)
    await fleet.start_node(node)
    await fleet.wait_ready(node)
    record.add("the node %s has ended and is ready again" % node.ip)


async def judge(record, store, fleet, replicas):
    jobs = {}
    for number in range(ROUNDS):
        job = await submit(record, fleet.edges[number], jobs)
        await asyncio.sleep(2.0)
        if w.TROUBLE:
            await disrupt(record, store, fleet, replicas, job)
        # A run lasts 4.7 s.
        await asyncio.sleep(6.0)
        unlisted = await unlisted_items(fleet, jobs)
        record.add("round %d: %d items unlisted" % (number, len(unlisted)))
        if unlisted:
            break
    await asyncio.sleep(FINISH_S)
    unlisted = await unlisted_items(fleet, jobs)
    at = w.now()
    spans = [span for replica in replicas for span in replica.spans]
    had = {span[0] for span in spans
           if span[2] is None or span[2] > at - CALM_S}
    finished = [span for span in spans
                if span[3] and span[2] > at - QUIET_S]
    record.add("finishS is over: %d items unlisted; in the last 5 s replicas "
               "had %d items, in the last 3 s %d were finished" % (
                   len(unlisted), len(had), len(finished)))
    for item in sorted(unlisted):
        last = max((span[1] for span in spans if span[0] == item), default=at)
        record.add("unlisted: %s, last at a replica %.1f s ago" % (
            item, at - last))
    # LOST: items are unlisted though in the last 5 s no replica had an unlisted
    # item, the replicas were idle, and in the last 3 s no item was finished.
    return bool(unlisted) and not had and not finished


if __name__ == "__main__":
    w.main(HERE, play)
