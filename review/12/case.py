"""Clients submit many batch jobs with bodies of legal size. The nodes accept
them and keep all of them in memory, go over the memory of their machines, are
killed and, once they are back, load the same jobs again."""

import asyncio
import base64
import collections
import json
import os
import time

import fleet
import workload

# Three of the nine entry machines of the Juggling Division Shop, with a third
# of the tokens that may wait there.
NODES = 3
MEMORY_MB = 110
MAX_COUNT = 900_000
JOBS = 700
QUIET_JOBS = 60
WORKERS = 16
SUBMISSION_S = 45
ITEMS = 10
BODY_BYTES = 100_000
ITEM_TOKENS = 125
RESTART_S = 0.5
FINISH_S = 18
# RULES.md, "Faults".
ENDS = 3
MACHINES = 2


def resident_mb(process):
    """The resident memory of a process; 0 if it has ended."""
    try:
        with open("/proc/%d/status" % process.pid, encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) // 1024
    except OSError:
        pass
    return 0


def job_text(number, body):
    """The JSON text of a batch job."""
    items = []
    for item in range(ITEMS):
        entry = json.dumps({
            "id": "%08x%08x" % (number + 1, item), "path": "/draft/3/%x" % item,
            "headers": {"Parsleytrack-Model": "m",
                        "Parsleytrack-Token-Usage": "75,50",
                        "Parsleytrack-Prompt-Prefix":
                            "9c2e41:40,%x:35" % (0x5000 + item)},
            "tokens": ITEM_TOKENS, "body": "BODY"})
        items.append(entry.replace("BODY", body))
    return ('{"items":[' + ",".join(items) + "]}").encode()


async def scenario(record, trouble):
    system = fleet.Fleet(record, entry_nodes=NODES, memory_mb=MEMORY_MB)
    ends = collections.Counter()
    peak = collections.Counter()
    accepted = []
    outcomes = collections.Counter()

    async def enforce_memory():
        """Does what the platform does: ends a process that uses more than the
        memory of its machine, and restarts it."""
        while True:
            await asyncio.sleep(0.05)
            for node in range(NODES):
                process = system.processes[node]
                if process.poll() is not None:
                    continue
                used = resident_mb(process)
                peak[node] = max(peak[node], used)
                if used > MEMORY_MB:
                    process.kill()
                    process.wait()
                    ends[node] += 1
                    record.add("node %d ends: it uses %d MB" % (node, used))
                    asyncio.get_running_loop().call_later(
                        RESTART_S, system.start_node, node)

    async def submit(number, body):
        text = job_text(number, body)
        for attempt in range(6):
            try:
                status, _, _ = await fleet.call(
                    system.front((number + attempt) % NODES), "POST", "/draft/7c",
                    [("Host", workload.HOST),
                     ("Parsleytrack-Request-Id", "%016x" % (number + 0x77)),
                     ("Content-Type", "application/json")], text, 8)
            except (OSError, EOFError, asyncio.TimeoutError):
                status = 0
            outcomes[status] += 1
            if status == 202:
                accepted.append(number)
                return
            await asyncio.sleep(0.5)

    try:
        handler = workload.stream_handler(50, 0.1, lambda replica: replica.service)
        await workload.add_replicas(system, "llm", 12, handler)
        document = json.loads(fleet.configuration())
        for route in document["routes"]:
            if route["kind"] == "batch":
                route["maxCount"] = MAX_COUNT
        system.store.put("op/config", json.dumps(document))
        await system.start()
        await asyncio.sleep(3)
        watcher = asyncio.create_task(enforce_memory())
        body = base64.b64encode(os.urandom(BODY_BYTES)).decode()
        jobs = JOBS if trouble else QUIET_JOBS
        began = time.monotonic()
        numbers = iter(range(jobs))

        async def work():
            for number in numbers:
                if time.monotonic() - began > SUBMISSION_S:
                    break
                await submit(number, body)

        await asyncio.gather(*[work() for _ in range(WORKERS)])
        record.add("%d jobs are accepted in %.1f s; answers by status: %s" % (
            len(accepted), time.monotonic() - began, dict(outcomes)))
        await asyncio.sleep(FINISH_S + 2)
        watcher.cancel()
        listed = sum(1 for key in system.store.items
                     if key.startswith("parsleytrack/jobs/output/"))
        record.add("%d s later %d of %d accepted items have a result" % (
            FINISH_S + 2, listed, len(accepted) * ITEMS))
        record.add("most memory by node, in MB: %s; ends by node: %s" % (
            dict(sorted(peak.items())), dict(sorted(ends.items()))))
        return sum(1 for count in ends.values() if count >= ENDS) >= MACHINES
    finally:
        system.stop()


fleet.main(os.path.dirname(os.path.abspath(__file__)), scenario)
