"""Requests with a body whose method is not POST or PUT. PROTOCOL.md: method,
path and body are forwarded unchanged."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
import world as w  # noqa: E402

METHODS = ("PATCH", "DELETE", "OPTIONS", "GET") if w.TROUBLE else (
    "POST", "PUT")
ORDINARY = b'{"title": "lemon", "tubs": 3}'


class Receiver(w.Replica):
    """Notes each request as its bytes say it: a body needs a length or
    chunks."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.received = []

    async def run(self, method, target, headers, body, request_id, fields,
                  writer):
        self.received.append((method, target, request_id, body))
        self.record.add("replica %s runs %s %s id %s, body of %d bytes" % (
            self.name, method, target, request_id, len(body)))
        await super().run(method, target, headers, body, request_id, fields,
                          writer)


async def play(record):
    store = w.Store()
    await store.start()
    replicas = [Receiver(store, record, "web", "j-%d" % n) for n in range(3)]
    for replica in replicas:
        replica.log_runs = False
        await replica.start()
    store.put("op/config", w.config(3, [
        w.route("r-page", "/page/", "safe", "web"),
        w.route("r-pay", "/pay/", "unsafe", "web", maxAttempts=1)]))
    fleet = w.Fleet(store, record, edges=2, storages=1, memory_mb=260)
    try:
        await fleet.start()
        await asyncio.sleep(1.0)
        return await judge(record, fleet, replicas)
    finally:
        await fleet.stop()


async def judge(record, fleet, replicas):
    sent = {}
    for method in METHODS:
        for body in (ORDINARY, None):
            request_id, inner_id = w.new_id(), w.new_id()
            if body is None:
                body = ("POST /pay/inner HTTP/1.1\r\nHost: %s\r\n"
                        "Parsleytrack-Request-Id: %s\r\n"
                        "Content-Length: 0\r\n\r\n" % (
                            w.HOST, inner_id)).encode()
            target = "/page/%s" % method.lower()
            sent[request_id] = (method, target, body)
            answer = await w.request(
                fleet.edges[0].front, method, target,
                [("Host", w.HOST), ("Parsleytrack-Request-Id", request_id),
                 ("Parsleytrack-Deadline-Ms", "2000")], body, timeout=4.0)
            record.add("client sent %s %s id %s, body of %d bytes: %d" % (
                method, target, request_id, len(body), answer.status))
            await asyncio.sleep(0.3)
    strange, changed = [], []
    for replica in replicas:
        for method, target, request_id, body in replica.received:
            if request_id not in sent:
                strange.append((method, target, request_id))
            elif sent[request_id] != (method, target, body):
                changed.append((method, target, request_id))
    record.add("%d requests sent; %d runs of requests that no client sent; "
               "%d runs with another body" % (
                   len(sent), len(strange), len(changed)))
    # UNASKED: a replica runs a request whose id no client sent, or one that
    # was smuggled inside another request, or with the body changed.
    return bool(strange or changed)


if __name__ == "__main__":
    w.main(HERE, play)
