"""A replica in trouble answers items of batch jobs with a body without end."""

import asyncio
import base64
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import (CONTACT_S, Channel, Fleet, Replica, Store, call, config,  # noqa: E402
                      main, now)

HOST = ("Host", "rota.example")
MEMORY_MB = 260       # memoryMb of the edge machines
CHANNELS = 5          # kept channels at each machine
END_S = 60.0          # of the traffic
LIMIT = 3             # channels that may be closed without an answer


TOKENS_OUT = 231      # the most output tokens of an item, as its header says


class EndlessReplica(Replica):
    """While `in_trouble`, it sends the answer and then goes on sending bytes until the caller
    closes the channel. Each event holds a token or more, so that what follows event TOKENS_OUT
    belongs to no answer."""
    in_trouble = False

    async def stream(self, request, reader, writer, headers, crash_event=0):
        if not self.in_trouble:
            return await super().stream(request, reader, writer, headers)
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in headers]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        number = int(request.header("Last-Event-Id") or 0)
        while not reader.at_eof() and not writer.is_closing():
            piece = b""
            for _ in range(1 if number < TOKENS_OUT else 200):
                number += 1
                piece += b"id: %d\ndata: %s\n\n" % (
                    number, b"x" * (60 if number <= TOKENS_OUT else 1000))
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
            await asyncio.sleep(0.01 if number < TOKENS_OUT else 0.02)
        raise ConnectionResetError


def memory_mb(process):
    try:
        with open(f"/proc/{process.pid}/statm") as source:
            return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
    except OSError:
        return 0.0


async def case(record, trouble):
    draw = random.Random(int(os.environ.get("SEED", "1")))
    store = await Store().start()
    store.put("op/config", config(3, [
        {"name": "page", "host": "rota.example", "prefix": "/page/", "kind": "safe",
         "timeoutMs": 1000, "targetLatencyMs": 150, "service": "rota-web", "maxAttempts": 2,
         "priority": 2},
        {"name": "draft", "host": "rota.example", "prefix": "/draft/", "kind": "batch",
         "timeoutMs": 15000, "targetLatencyMs": 400, "runTargetMs": 18000, "retentionS": 60,
         "service": "rota-llm", "maxAttempts": 3, "maxCount": 3100000, "priority": 2}],
        {"rota-llm": {"maxConns": 290}, "rota-web": {"maxConns": 96}}))
    replicas = [await EndlessReplica(store, f"i-{n:02d}", "rota-llm",
                                     "qc-east-" + "abc"[n % 3], events=60).start()
                for n in range(12)]
    web = [await Replica(store, f"w-{n}", "rota-web", "qc-east-" + "abc"[n], slots=6,
                         interval=0.08, plain=True).start() for n in range(3)]
    fleet = Fleet(store, record)
    try:
        for machine in fleet.machines:
            fleet.start(machine)
        await fleet.wait_ready(fleet.edges)
        await asyncio.sleep(CONTACT_S + 0.5)
        begin = now()
        if trouble:
            replicas[0].in_trouble = True
            record.note(f"{replicas[0].name}: its answers have no end from now on")
        kept, jobs, kills, peaks = [], [], [], {}

        def new_id():
            return f"{draw.getrandbits(64):016x}"

        async def pages(machine):
            channel = Channel(fleet.address(machine, "front"))
            while now() - begin < END_S:
                name, used, at = new_id(), channel.requests, now()
                answer = await channel.call("POST", f"/page/{draw.randint(1, 99)}", [
                    HOST, ("Parsleytrack-Request-Id", name),
                    ("Parsleytrack-Deadline-Ms", "1000")], b"page")
                kept.append((name, machine, used, at, answer, now()))
                await asyncio.sleep(0.08)

        async def batches():
            while now() - begin < END_S - 20:
                job, machine = new_id(), draw.choice(fleet.edges)
                items = [{"id": new_id(), "path": f"/draft/{n}", "tokens": 581,
                          "headers": {"Parsleytrack-Model": "m",
                                      "Parsleytrack-Token-Usage": "350,231"},
                          "body": base64.b64encode(b"draft").decode()} for n in range(10)]
                answer = await call(fleet.address(machine, "front"), "POST", f"/draft/{job}",
                                    [HOST, ("Parsleytrack-Request-Id", job)],
                                    json.dumps({"items": items}).encode())
                record.note(f"job {job} at {machine.name}: status {answer.status}")
                if answer.status == 202:
                    jobs.append(job)
                await asyncio.sleep(1.4)

        async def watch_memory():
            """The platform kills a process that uses more than `memoryMb`, and starts it again."""
            while now() - begin < END_S:
                for machine in fleet.edges:
                    used = memory_mb(machine.process)
                    peaks[machine.name] = max(peaks.get(machine.name, 0.0), used)
                    if used > MEMORY_MB:
                        record.note(f"{machine.name} uses {used:.0f} MB, over {MEMORY_MB}: killed")
                        kills.append(machine.name)
                        machine.process.kill()
                        machine.process.wait()
                        asyncio.get_running_loop().call_later(0.5, fleet.start, machine)
                await asyncio.sleep(0.05)

        await asyncio.gather(batches(), watch_memory(),
                             *[pages(machine) for machine in fleet.edges
                               for _ in range(CHANNELS)])
        ran = {run["id"] for replica in web for run in replica.runs}
        closed = 0
        for name, machine, used, at, answer, end in kept:
            if name in ran and not answer.complete:
                closed += 1
                record.note(f"{name} at {machine.name}: request {used + 1} of its channel, run by "
                            f"a replica, channel closed without an answer ({answer.problem}) "
                            f"after {end - at:.3f} s", at)
        record.note("peaks: " + ", ".join(f"{k} {v:.0f} MB" for k, v in sorted(peaks.items())))
        served = sum(1 for entry in kept if entry[4].status == 200)
        record.note(f"requests on kept channels: {len(kept)}, served: {served}; jobs accepted: "
                    f"{len(jobs)}; processes killed for their memory: {len(kills)} "
                    f"({', '.join(sorted(set(kills)))})")
        if not jobs or served < len(kept) * 0.5:
            raise RuntimeError("the fleet did not serve")
        return closed > LIMIT, (
            f"LOST: {len(kills)} processes ended over {MEMORY_MB} MB; {closed} kept channels were "
            f"closed without an answer to a request that a sound replica ran; {LIMIT} are allowed")
    finally:
        fleet.close()


main(case, HERE)
