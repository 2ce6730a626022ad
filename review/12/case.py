"""Ten clients a node read the results of a finished job near its end. Each read
loads all results of the job; the nodes go over the memory of their machines."""

import asyncio
import collections
import os
import time

import fleet
import workload

JOB = "7c41e09b52d6a3f8"
NODES = 2
MEMORY_MB = 110
ITEMS = 200
# The site's items have up to 370 events of up to 360 bytes, 6 tokens each.
EVENTS = 300
EVENT_BYTES = 300
ITEM_OUTPUT_TOKENS = 1800
READERS = 10
# Longer than a node serves the results of a finished job from memory.
AFTER_END_S = 17
READING_S = 30
RESTART_S = 0.5
ENDS = 3


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


async def scenario(record, trouble):
    system = fleet.Fleet(record, entry_nodes=NODES, memory_mb=MEMORY_MB)
    ends = collections.Counter()
    peak = collections.Counter()
    reads = collections.Counter()

    async def enforce_memory():
        """Does what the platform does: ends a process that uses more than the
        memory of its machine, and restarts it."""
        while True:
            await asyncio.sleep(0.02)
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

    async def read_end(node, until):
        while time.monotonic() < until:
            try:
                status, _, _ = await fleet.call(
                    system.front(node), "GET", "/v1/lots/%s?after=%d" % (JOB, ITEMS - 2),
                    [("Host", workload.HOST), ("Parsleytrack-Wait-Ms", "1000")], b"", 4)
            except (OSError, EOFError, asyncio.TimeoutError):
                status = 0
            reads[status] += 1
            await asyncio.sleep(0.5)

    try:
        padding = "x" * EVENT_BYTES
        handler = workload.stream_handler(EVENTS, 0.003, lambda _: padding)
        await workload.add_replicas(system, "llm", 12, handler)
        system.store.put("op/config", fleet.configuration())
        await system.start()
        await asyncio.sleep(3)
        await workload.submit(system, 0, JOB, workload.batch_items(ITEMS, ITEM_OUTPUT_TOKENS))
        reader = workload.JobReader(system, 0, JOB, ITEMS)
        await asyncio.wait_for(reader.task, 45)
        await asyncio.sleep(AFTER_END_S)
        watcher = asyncio.create_task(enforce_memory())
        until = time.monotonic() + READING_S
        readers = READERS if trouble else 1
        await asyncio.gather(*[read_end(node, until)
                               for node in range(NODES) for _ in range(readers)])
        watcher.cancel()
        record.add("reads by status: %s; most memory by node, in MB: %s; ends by node: %s" % (
            dict(reads), dict(sorted(peak.items())), dict(sorted(ends.items()))))
        return sum(1 for count in ends.values() if count >= ENDS) >= 2
    finally:
        system.stop()


fleet.main(os.path.dirname(os.path.abspath(__file__)), scenario)
