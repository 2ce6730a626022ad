"""Replicas begin to answer a request, send a few events of the answer and crash."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import CONTACT_S, Fleet, Replica, Store, call, config, main, now  # noqa: E402

INTERVAL_S = 3.0      # the request comes again this often
EVENTS = 3            # events of its answer before the crash, 30 ms apart
END_S = 36.0          # after the begin of the requests
LIMIT = 3             # retries that the rule allows
BAD_PATH, BAD_BODY = "/suggest/7", b"the request that crashes replicas"


def is_bad(request):
    return request.path == BAD_PATH and request.body == BAD_BODY


async def case(record, trouble):
    draw = random.Random(int(os.environ.get("SEED", "1")))
    store = await Store().start()
    store.put("op/config", config(3, [
        {"name": "suggest", "host": "rota.example", "prefix": "/suggest/", "kind": "streaming",
         "timeoutMs": 5000, "targetLatencyMs": 300, "gapAimMs": 250, "service": "rota-llm",
         "maxAttempts": 1, "priority": 0, "sticky": True}],
        {"rota-llm": {"maxConns": 290}}))
    replicas = [await Replica(store, f"i-{n:02d}", "rota-llm",
                              "qc-east-" + "abc"[n % 3]).start() for n in range(12)]
    for replica in replicas:
        replica.crashes_under = is_bad if trouble else None
        replica.crash_event = EVENTS
    fleet = Fleet(store, record)
    try:
        for machine in fleet.machines:
            fleet.start(machine)
        await fleet.wait_ready(fleet.edges)
        await asyncio.sleep(CONTACT_S + 0.5)
        begin = now()
        record.note("all machines are in touch")
        sent = {}             # id of a client attempt -> machine
        bad, sound = [], []

        async def send(machine, path, body, into):
            name = f"{draw.getrandbits(64):016x}"
            sent[name] = machine
            at = now()
            answer = await call(fleet.address(machine, "front"), "POST", path, [
                ("Host", "rota.example"), ("Parsleytrack-Request-Id", name),
                ("Parsleytrack-Model", "m"), ("Parsleytrack-Token-Usage", "450,34"),
                ("Parsleytrack-Deadline-Ms", "5000")], body)
            into.append((at, answer.status))
            if body == BAD_BODY:
                record.note(f"crashing request {name} at {machine.name}: status {answer.status} "
                            f"{answer.problem}, channel ended whole: {answer.complete}")

        async def traffic():
            count = 0
            while now() - begin < END_S:
                count += 1
                asyncio.create_task(send(draw.choice(fleet.edges), f"/suggest/{100 + count}",
                                         b"sound", sound))
                await asyncio.sleep(0.25)

        async def crashing():
            for count in range(int(END_S / INTERVAL_S)):
                await asyncio.sleep(max(0.0, begin + count * INTERVAL_S - now()))
                await send(draw.choice(fleet.edges), BAD_PATH, BAD_BODY, bad)

        await asyncio.gather(traffic(), crashing())
        runs = sorted((run["time"], run["id"], replica.name) for replica in replicas
                      for run in replica.runs if is_bad(run["request"]))
        for when, name, replica in runs:
            record.note(f"{replica} began to run {name}, sent by {sent[name].name}" +
                        (" and crashed" if trouble else ""), when)
        if not trouble:
            return False, f"BUDGET: {len(runs)} runs, and no replica crashed"
        if len(runs) < 3:
            raise RuntimeError("the request crashed fewer than three replicas")
        third = runs[2][0]
        late = [run for run in runs if run[0] > third + CONTACT_S and
                sent[run[1]].in_touch(run[0])]
        served = sum(1 for _, status in sound if status == 200)
        record.note(f"sound requests: {len(sound)}, served: {served}")
        if served < len(sound) * 0.5:
            raise RuntimeError("most sound requests failed")
        return len(late) > LIMIT, (
            f"BUDGET: {len(runs)} replicas crashed; after the third and contactMs, machines in "
            f"touch sent the request to replicas {len(late)} times, {LIMIT} are allowed")
    finally:
        fleet.close()


main(case, HERE)
