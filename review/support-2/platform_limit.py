"""The platform's limit of memory: a process that uses more than its memoryMb
is killed, and starts again after a short delay (DEPLOY.md)."""

import asyncio

RESTART_S = 0.5
CHECK_S = 0.02


def anonymous_mb(node):
    """What the process has allocated; the program's own pages don't count."""
    try:
        with open("/proc/%d/status" % node.process.pid,
                  encoding="ascii") as file:
            for line in file:
                if line.startswith("RssAnon"):
                    return int(line.split()[1]) / 1024.0
    except OSError:
        pass
    return 0.0


class MemoryLimit:
    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.ends = {node.ip: 0 for node in fleet.edges}
        self.peak = {node.ip: 0.0 for node in fleet.edges}
        self.watchers = [asyncio.ensure_future(self.watch(node))
                         for node in fleet.edges]

    async def watch(self, node):
        while True:
            await asyncio.sleep(CHECK_S)
            used = anonymous_mb(node)
            self.peak[node.ip] = max(self.peak[node.ip], used)
            if (node.process.returncode is None and
                    used <= self.fleet.memory_mb):
                continue
            self.ends[node.ip] += 1
            self.record.add("%s uses %.0f MB of %d; killed" % (
                node.ip, used, self.fleet.memory_mb))
            if node.process.returncode is None:
                node.process.kill()
            await node.process.wait()
            await asyncio.sleep(RESTART_S)
            await self.fleet.start_node(node)

    def machines_with(self, ends, before=None):
        before = before or {}
        return sum(count - before.get(ip, 0) >= ends
                   for ip, count in self.ends.items())

    def stop(self):
        for watcher in self.watchers:
            watcher.cancel()
