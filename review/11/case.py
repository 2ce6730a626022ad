"""A configuration moves the batch route to another service, and the replicas of
the service before leave. Items of an accepted job that waited for a slot of
that service are never sent anywhere."""

import asyncio
import os
import time

import fleet
import workload

JOB = "7c41e09b52d6a3f8"
ITEMS = 40
FINISH_S = 18
CALM_S = 5
NO_RESULT_S = 3
SLOTS = 8


async def scenario(record, trouble):
    system = fleet.Fleet(record)
    try:
        handler = workload.stream_handler(100, 0.05, lambda replica: replica.service)
        before = await workload.add_replicas(system, "llm", 2, handler)
        after = await workload.add_replicas(system, "llm2", 2, handler)
        system.store.put("op/config", workload.configuration(7, "llm", ["llm2"]))
        await system.start()
        await asyncio.sleep(4)
        await workload.submit(system, 0, JOB, workload.batch_items(ITEMS, 100))
        reader = workload.JobReader(system, 1, JOB, ITEMS)
        await asyncio.sleep(1.5)
        if trouble:
            system.store.put("op/config", workload.configuration(8, "llm2", ["llm2"]))
            record.add("version 8 moves the batch route from llm to llm2")
            await asyncio.sleep(3)
            workload.leave(before)
            record.add("the replicas of llm report that they are draining")
            await asyncio.sleep(fleet.DRAIN_MS / 1000 + 0.5)
            workload.exit_left(system, before)
            record.add("the replicas of llm have exited")
        await asyncio.sleep(FINISH_S + (0 if trouble else 6) - CALM_S)
        # The last seconds: whether a replica has an item, and how full it is.
        idle = True
        until = time.monotonic() + CALM_S
        while time.monotonic() < until:
            idle = idle and all(len(replica.running) == 0 for replica in after)
            await asyncio.sleep(0.1)
        listed = {result["id"] for result in reader.results}
        started = {request for replica in before + after for _, request in replica.runs}
        unlisted = [item["id"] for item in workload.batch_items(ITEMS, 100)
                    if item["id"] not in listed]
        quiet = time.monotonic() - reader.last_at >= NO_RESULT_S
        record.add("%d of %d items are listed; %d are not, %d of them never reached a "
                   "replica; replicas of llm2 idle: %s; no result in the last %d s: %s" % (
                       len(listed), ITEMS, len(unlisted),
                       len([item for item in unlisted if item not in started]),
                       idle, NO_RESULT_S, quiet))
        return len(unlisted) > 0 and idle and quiet
    finally:
        system.stop()


fleet.main(os.path.dirname(os.path.abspath(__file__)), scenario)
