"""Replicas that stream events, and callers of streams and of batch jobs."""

import asyncio
import base64
import json
import time

import fleet

HOST = "h.example"


def stream_handler(events, gap_s, label):
    """Returns a handler that answers each request with a stream of so many
    events, and goes on after Last-Event-Id. label(replica) is what the replica
    writes into each event, beside its number."""

    async def answer(replica, connection, _request, fields):
        request = fields["parsleytrack-request-id"]
        after = int(fields.get("last-event-id", "0"))
        replica.record.add("%s begins %s after event %d" % (
            replica.name, request, after))
        replica.runs.append((time.monotonic(), request))
        replica.running.add(request)
        try:
            head = "HTTP/1.1 200 OK\r\n"
            for name, value in replica.head(fields, [
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked")]):
                head += "%s: %s\r\n" % (name, value)
            connection.writer.write(head.encode() + b"\r\n")
            for number in range(after + 1, events + 1):
                await asyncio.sleep(gap_s)
                event = "id: %d\ndata: %s %d\n\n" % (number, label(replica), number)
                connection.writer.write(b"%x\r\n%s\r\n" % (len(event), event.encode()))
                await connection.writer.drain()
            connection.writer.write(b"0\r\n\r\n")
            await connection.writer.drain()
        finally:
            replica.running.discard(request)

    return answer


async def add_replicas(system, service, count, handler, **options):
    """Starts replicas of a service and writes their entries."""
    added = []
    for number in range(count):
        replica = fleet.Replica(system.store, system.record,
                                "i-%s-%02d" % (service, number), service,
                                handler, **options)
        replica.runs = []
        replica.running = set()
        await replica.start("127.0.0.1")
        replica.register()
        added.append(replica)
    return added


def leave(replicas):
    """The replicas report that they are draining, in their entries and in their
    answers."""
    for replica in replicas:
        replica.leaving = True
        replica.register("draining")


def exit_left(system, replicas):
    """The replicas that have reported it exit."""
    for replica in replicas:
        system.store.erase("servers/" + replica.name)
        replica.crash()


def batch_items(count, max_tokens):
    return [{"id": "%016x" % (0xabc000 + number),
             "path": "/draft/3/%x" % number,
             "headers": {"Parsleytrack-Model": "m",
                         "Parsleytrack-Token-Usage": "350,%d" % max_tokens,
                         "Parsleytrack-Prompt-Prefix":
                             "9c2e41:100,%x:250" % (0x5000 + number)},
             "body": base64.b64encode(b"draft %d" % number).decode(),
             "tokens": 350 + max_tokens} for number in range(count)]


async def submit(system, node, job, items):
    """Submits a batch job, and again after a refusal or no answer."""
    body = json.dumps({"items": items}).encode()
    for _ in range(5):
        try:
            status, _, _ = await fleet.call(
                system.front(node), "POST", "/draft/7c",
                [("Host", HOST), ("Parsleytrack-Request-Id", job),
                 ("Content-Type", "application/json")], body, 5)
        except (OSError, EOFError, asyncio.TimeoutError):
            status = 0
        system.record.add("job %s at node %d: %d" % (job, node, status))
        if status == 202:
            return
        await asyncio.sleep(0.5)
    raise RuntimeError("the job was not accepted")


class JobReader:
    """Reads the results of a batch job about twice a second."""

    def __init__(self, system, node, job, total):
        self.system = system
        self.node = node
        self.job = job
        self.total = total
        self.results = []
        self.last_at = time.monotonic()
        self.task = asyncio.create_task(self.run())

    async def run(self):
        while len(self.results) < self.total:
            try:
                status, _, body = await fleet.call(
                    self.system.front(self.node), "GET",
                    "/v1/lots/%s?after=%d" % (self.job, len(self.results)),
                    [("Host", HOST), ("Parsleytrack-Wait-Ms", "1000")], b"", 4)
            except (OSError, EOFError, asyncio.TimeoutError):
                status = 0
            if status == 200:
                new = json.loads(body)["results"]
                for result in new:
                    self.system.record.add("result %s %s" % (result["id"], result["state"]))
                    self.last_at = time.monotonic()
                self.results += new
            await asyncio.sleep(0.4)


def configuration(version, batch_service, services=()):
    """The usual configuration, with another service of the batch route, and
    with further services."""
    document = json.loads(fleet.configuration(version))
    for route in document["routes"]:
        if route["kind"] == "batch":
            route["service"] = batch_service
    for name in services:
        document["services"].append(
            {"name": name, "healthPath": "/health", "maxConns": 290,
             "protocol": "h1", "tls": False})
    return json.dumps(document)
