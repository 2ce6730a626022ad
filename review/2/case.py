"""A replica of a new software version falls silent for a second while a machine is stopped."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import CONTACT_S, Fleet, Replica, Store, call, config, main, now  # noqa: E402

SILENCE_S = 1.0       # "for a second or so"
GRACE_S = 8.0         # graceS
EVENTS, PAUSE_S = 34, 0.08


class PausingReplica(Replica):
    """Falls silent and goes on."""
    silent_until = 0.0

    async def stream(self, request, reader, writer, headers, crash_event=0):
        first = int(request.header("Last-Event-Id") or 0) + 1
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in headers]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.interval)
            while now() < self.silent_until:
                await asyncio.sleep(0.01)
            if reader.at_eof() or writer.is_closing():
                self.note(f"{self.name}: the channel of {request.header('Parsleytrack-Request-Id')} "
                          f"was closed by its caller after event {number - 1}")
                raise ConnectionResetError
            event = f"id: {number}\ndata: {self.version}/{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def case(record, trouble):
    draw = random.Random(int(os.environ.get("SEED", "1")))
    store = await Store().start()
    store.put("op/config", config(3, [
        {"name": "note", "host": "rota.example", "prefix": "/note/", "kind": "streaming",
         "timeoutMs": 5000, "targetLatencyMs": 300, "gapAimMs": 250, "service": "rota-llm",
         "maxAttempts": 2, "resumable": True, "priority": 0, "sticky": True}],
        {"rota-llm": {"maxConns": 290}}))
    replicas = []
    for n in range(12):
        version = "2.0" if n == 0 else "1.0"
        replica = PausingReplica(store, f"i-{n:02d}", "rota-llm", "qc-east-" + "abc"[n % 3],
                                 events=EVENTS, interval=PAUSE_S, version=version)
        replica.note = record.note
        replicas.append(await replica.start())
    new = replicas[0]
    record.note(f"{new.name} has software version 2.0, eleven replicas have 1.0")
    fleet = Fleet(store, record)
    try:
        for machine in fleet.machines:
            fleet.start(machine)
        await fleet.wait_ready(fleet.edges)
        await asyncio.sleep(CONTACT_S + 0.5)
        stopped = fleet.edges[0]
        streams = []          # (id, machine, time sent, answer, time of the end)

        async def send(machine):
            name = f"{draw.getrandbits(64):016x}"
            at = now()
            answer = await call(fleet.address(machine, "front"), "POST",
                                f"/note/{draw.randint(1, 999)}", [
                ("Host", "rota.example"), ("Parsleytrack-Request-Id", name),
                ("Parsleytrack-Model", "m"), ("Parsleytrack-Token-Usage", "450,34"),
                ("Parsleytrack-Deadline-Ms", "5000")], b"note")
            streams.append((name, machine, at, answer, now()))

        tasks = []
        for _ in range(10):
            for machine in [stopped] + fleet.edges:
                tasks.append(asyncio.create_task(send(machine)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        term = now()
        stopped.process.terminate()
        record.note(f"SIGTERM of {stopped.name}; {new.running} streams run at {new.name}")
        await asyncio.sleep(0.2)
        if trouble:
            new.silent_until = now() + SILENCE_S
            record.note(f"{new.name} falls silent for {SILENCE_S} s")
        await asyncio.gather(*tasks)
        record.note("all streams have ended")
        version_of = {run["id"]: replica.version for replica in replicas for run in replica.runs}
        lost = []
        for name, machine, at, answer, end in sorted(streams, key=lambda entry: entry[2]):
            whole = answer.status == 200 and answer.complete
            record.note(f"{name} at {machine.name}: status {answer.status}, "
                        f"{len(answer.events())} of {EVENTS} events, whole: {answer.complete}, "
                        f"version {version_of.get(name)}, {answer.problem}, "
                        f"ended after {end - at:.2f} s", at)
            if (machine is stopped and not answer.complete and name in version_of and
                    end < term + GRACE_S + 1 and end - at < 5.0 * 0.7):
                lost.append(name)
            elif not whole and machine is not stopped:
                record.note(f"  (beside planned work, {machine.name} broke {name} off, too)", end)
        used = sum(1 for entry in streams
                   if entry[1] is stopped and version_of.get(entry[0]) == "2.0")
        if used == 0:
            raise RuntimeError("no stream of the stopped machine ran at the new version")
        return bool(lost), (f"LOST: of {len(streams)} streams, {used} of the stopped machine ran "
                            f"at version 2.0, and it ended {len(lost)} without a whole answer")
    finally:
        fleet.close()


main(case, HERE)
