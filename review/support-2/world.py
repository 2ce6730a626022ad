"""Stand-ins for the platform's store, the model replicas and the callers, and
the project's own programs as processes, all on loopback addresses.

The store and the replicas follow PROTOCOL.md. Every case adds its own traffic,
its disruption and its check.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "src", "daemon", "parsleytrackd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "kiosk.example"


class CannotRun(Exception):
    """The case could not run; says nothing about the program."""


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run; written to record.txt at the end."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.started = now()
        self.lines = []

    def add(self, text):
        self.lines.append("%8.3f %s" % (now() - self.started, text))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


# ---------------------------------------------------------------- HTTP

STATUS_TEXT = {200: "OK", 202: "Accepted", 404: "Not Found"}


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


def field(headers, name):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return None


async def read_body(reader, headers, is_response=False):
    if (field(headers, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = field(headers, "Content-Length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if is_response else b""


def response_bytes(status, headers, body=b""):
    text = "HTTP/1.1 %d %s\r\n" % (status, STATUS_TEXT.get(status, "Status"))
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode(
        "latin-1") + body


class Answer:
    """Status 0: the channel ended without a complete answer."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b""
        self.error = ""
        self.began_at = None
        self.ended_at = None


async def request(address, method, target, headers, body=b"", timeout=20.0,
                  on_bytes=None):
    """Sends one request on a channel of its own and reads the answer."""
    answer = Answer()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(
            *address, limit=16 * 1024 * 1024)
        text = "%s %s HTTP/1.1\r\n" % (method, target)
        for name, value in headers:
            text += "%s: %s\r\n" % (name, value)
        if body or method in ("POST", "PUT"):
            text += "Content-Length: %d\r\n" % len(body)
        writer.write((text + "\r\n").encode("latin-1") + body)
        await writer.drain()
        line, answer.headers = await read_head(reader)
        answer.began_at = now()
        status = int(line.split(" ")[1])
        if field(answer.headers, "Transfer-Encoding") and on_bytes:
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                piece = await reader.readexactly(size) if size else b""
                await reader.readexactly(2)
                if not size:
                    break
                answer.body += piece
                on_bytes(piece)
        else:
            answer.body = await read_body(reader, answer.headers, True)
        answer.status = status

    try:
        await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError) as problem:
        answer.error = type(problem).__name__
    finally:
        answer.ended_at = now()
        if writer:
            writer.close()
    return answer


# ---------------------------------------------------------------- store

class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    VALUE_BYTES = 1048576

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.delay = 0.004
        self.server = None
        self.address = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(
            self.serve, ip, 0, limit=32 * 1024 * 1024)
        self.address = self.server.sockets[0].getsockname()[:2]

    def put(self, key, value):
        self.write([(key, value)], [])

    def erase(self, key):
        self.write([], [key])

    def write(self, puts, deletes):
        self.revision += 1
        for key, value in puts:
            known = self.items.get(key)
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "createRev": known["createRev"] if known else self.revision,
                "lease": 0}
            self.history.append(dict(self.items[key]))
        for key in deletes:
            if self.items.pop(key, None):
                self.history.append({"key": key, "revision": self.revision,
                                     "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, document = await self.handle(method, target, body)
                writer.write(response_bytes(
                    status, [("Content-Type", "application/json")],
                    json.dumps(document).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        await asyncio.sleep(self.delay)
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query,
                                              keep_blank_values=True).items()}
        if parts.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, dict(item, currentRev=self.revision)
        if parts.path == "/v1/kv-range":
            return 200, self.list(query["prefix"], query.get("after", ""))
        if parts.path == "/v1/kv-watch":
            return await self.watch(query)
        if parts.path == "/v1/kv-txn" and method == "POST":
            return self.commit(json.loads(body))
        return 404, {}

    def list(self, prefix, after):
        items, size, truncated = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            size += len(self.items[key]["value"])
            if items and (len(items) >= 500 or size > 1000000):
                truncated = True
                break
            items.append(self.items[key])
        return {"items": items, "truncated": truncated,
                "currentRev": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = now() + int(query["waitMs"]) / 1000.0
        while True:
            events = [e for e in self.history
                      if e["revision"] > after
                      and e["key"].startswith(query["prefix"])]
            if events or now() >= end:
                return 200, {"events": events, "currentRev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass

    def commit(self, change):
        entries = (change.get("expectRev", []) + change.get("puts", []) +
                   change.get("deletes", []))
        if len(entries) > 32:
            return 400, {}
        puts = [(put["key"], base64.b64decode(put["value"]))
                for put in change.get("puts", [])]
        if any(len(value) > self.VALUE_BYTES for _, value in puts):
            return 400, {}
        current, holds = [], True
        for condition in change.get("expectRev", []):
            item = self.items.get(condition["key"])
            if item:
                current.append(item)
            holds = holds and condition["revision"] == (
                item["revision"] if item else 0)
        if not holds:
            return 412, {"items": current}
        self.write(puts, change.get("deletes", []))
        return 200, {"revision": self.revision}


# ---------------------------------------------------------------- replicas

class Replica:
    """A replica of a service: plain answers, or streams of events."""

    def __init__(self, store, record, service, name, slots=8, version="1",
                 ip="127.0.0.1"):
        self.store = store
        self.record = record
        self.service = service
        self.name = name
        self.slots = slots
        self.version = version
        self.weights = 1
        self.ip = ip
        self.port = 0
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.server = None
        self.writers = set()
        self.busy = 0
        self.events = 34
        self.event_s = 0.02
        self.log_runs = True
        self.runs = []        # (request id, version, service, first event)
        self.refusals = 0
        self.registered = None
        self.beat = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=16 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()
        if self.beat is None:
            self.beat = asyncio.ensure_future(self.keep_registered())

    async def keep_registered(self):
        while True:
            await asyncio.sleep(1.2)
            if self.server:
                self.register()

    def register(self, state="ready"):
        """Writes the entry; a ping that changes nothing else is left out."""
        self.seq += 1
        entry = {"service": self.service,
                 "address": "%s:%d" % (self.ip, self.port),
                 "zone": "zone-a", "version": self.version,
                 "slots": self.slots, "state": state, "coldLeftMs": 0,
                 "seq": self.seq, "born": self.born}
        content = dict(entry, seq=0)
        if content != self.registered or not self.store.value(
                "servers/" + self.name):
            self.registered = content
            self.store.put("servers/" + self.name, json.dumps(entry).encode())

    def crash(self):
        """The process ends: its channels are reset, nothing is said."""
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.busy = 0

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if len(line.split(" ")) != 3:
                    # Bytes that are no request.
                    writer.write(response_bytes(400, []))
                    break
                if not await self.answer(line, headers, body, writer, reader):
                    break
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load_fields(self):
        return [("Parsleytrack-Server-Load",
                 "%d,0,%d" % (self.busy, self.slots)),
                ("Parsleytrack-Weight-Versions", str(self.weights))]

    async def answer(self, line, headers, body, writer, reader):
        method, target, _ = line.split(" ")
        if target == "/health":
            writer.write(response_bytes(
                200, [("Parsleytrack-Instance-Id", self.name)]))
            return True
        request_id = field(headers, "Parsleytrack-Request-Id")
        fields = [("Parsleytrack-Request-Id", request_id or "")]
        if request_id is None:
            writer.write(response_bytes(
                400, [("Parsleytrack-Not-Executed", "1")]))
            return True
        expected = field(headers, "Parsleytrack-Expect-Instance")
        weights = field(headers, "Parsleytrack-Expect-Version")
        if (expected is not None and expected != self.name) or (
                weights is not None and weights != str(self.weights)):
            self.refusals += 1
            writer.write(response_bytes(
                421, fields + [("Parsleytrack-Not-Executed", "1")]))
            return True
        if self.busy >= self.slots:
            writer.write(response_bytes(
                503, fields + [("Parsleytrack-Not-Executed", "1")] +
                self.load_fields()))
            return True
        self.busy += 1
        boot = self.born
        try:
            await self.run(method, target, headers, body, request_id, fields,
                           writer)
        finally:
            if self.born == boot:
                self.busy = max(0, self.busy - 1)
        return True

    async def run(self, method, target, headers, body, request_id, fields,
                  writer):
        first = int(field(headers, "Last-Event-Id") or "0")
        self.runs.append((request_id, self.version, self.service, first))
        if self.log_runs:
            self.record.add("replica %s (%s, version %s) runs %s %s id %s "
                            "after event %d" % (
                                self.name, self.service, self.version, method,
                                target, request_id, first))
        fields = fields + [("Parsleytrack-Response-Seal",
                            "seal." + request_id)] + self.load_fields()
        if not field(headers, "Parsleytrack-Token-Usage"):
            await asyncio.sleep(0.03)
            writer.write(response_bytes(
                200, fields, ("page of %s" % self.service).encode()))
            await writer.drain()
            return
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in fields:
            text += "%s: %s\r\n" % (name, value)
        writer.write((text + "Transfer-Encoding: chunked\r\n\r\n").encode())
        version = self.version
        for number in range(first + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if writer.transport.is_closing():
                raise OSError("the caller has closed the channel")
            event = "id: %d\ndata: v%s-%s-%d\n\n" % (
                number, version, request_id[:8], number)
            writer.write(("%x\r\n%s\r\n" % (len(event), event)).encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# ---------------------------------------------------------------- nodes

def render(template, names):
    """Fills in the settings template as DEPLOY.md describes it."""

    def lookup(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def expand(text, scopes, last=True):
        out, at = "", 0
        for match in iter(lambda: re.compile(r"\{\{([#^]?)([^{}/]+?)\}\}")
                          .search(text, at), None):
            out += text[at:match.start()]
            kind, name = match.groups()
            at = match.end()
            if kind:
                close = "{{/%s}}" % name
                end = text.index(close, at)
                inner, at = text[at:end], end + len(close)
                value = lookup(name, scopes)
                if kind == "^":
                    out += "" if value else expand(inner, scopes)
                elif isinstance(value, list):
                    for index, entry in enumerate(value):
                        out += expand(inner, scopes + [entry],
                                      index + 1 == len(value))
                elif value:
                    out += expand(inner, scopes)
            elif name == ",":
                out += "" if last else ","
            else:
                value = lookup(name, scopes)
                out += "" if value is None else str(value)
        return out + text[at:]

    return expand(template, [names])


def deploy_command():
    """The command of the deploy file and its template."""
    import tomllib
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        deploy = tomllib.load(file)
    entry = next(role for role in deploy["roles"].values()
                 if "edge" in role["serves"])
    storage = next(role for role in deploy["roles"].values()
                   if "storage" in role["serves"])
    with open(os.path.join(ROOT, entry["template"]), encoding="utf-8") as file:
        template = file.read()
    return entry["run"].split(), storage["run"].split(), template


def free_ports(ips, count):
    """Ports that are free at all these addresses."""
    chosen = []
    for _ in range(500):
        port = random.randrange(20000, 30000)
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    held.append(probe)
                    probe.bind((ip, port))
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
        if port not in chosen:
            chosen.append(port)
        if len(chosen) == count:
            return chosen
    raise CannotRun("no free ports")


class Node:
    def __init__(self, fleet, index, is_edge):
        self.fleet = fleet
        self.index = index
        self.is_edge = is_edge
        self.ip = "127.77.%d.%d" % (1 if is_edge else 2, index + 1)
        self.process = None
        self.log = None

    @property
    def front(self):
        return (self.ip, self.fleet.ports["front"])

    @property
    def ready(self):
        return (self.ip, self.fleet.ports["ready"])


class Fleet:
    """The project's programs, started with the commands of the deploy file."""

    def __init__(self, store, record, edges=3, storages=1, memory_mb=110,
                 bounds=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the deploy build is missing: " + PROGRAM)
        self.store = store
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="parsleytrack-review-")
        self.memory_mb = memory_mb
        self.bounds = bounds or {"graceS": 8}
        self.edges = [Node(self, index, True) for index in range(edges)]
        self.storages = [Node(self, index, False) for index in range(storages)]
        names = ("front", "ready", "control", "directory", "peer", "metrics")
        ips = [node.ip for node in self.edges + self.storages]
        self.ports = dict(zip(names, free_ports(ips, len(names))))
        self.commands = deploy_command()

    def settings(self, node):
        listen = {}
        if node.is_edge:
            listen = {name: "%s:%d" % (node.ip, self.ports[name])
                      for name in ("front", "ready", "control", "directory")}
        return {
            "nodeName": "%s-zone-a-%d" % (
                "edge" if node.is_edge else "storage", node.index + 1),
            "region": "region-1", "zone": "zone-a", "ip": node.ip,
            "limits": {"cpuShare": 0.25 if node.is_edge else 0.5,
                       "memoryMb": self.memory_mb},
            "listen": listen,
            "portRange": [self.ports["peer"], self.ports["metrics"]],
            "seeds": ["%s:%d" % (edge.ip, self.ports["control"])
                      for edge in self.edges[:3]],
            "platform": {"address": "%s:%d" % self.store.address},
            "bounds": self.bounds}

    async def start_node(self, node):
        edge_run, storage_run, template = self.commands
        text = render(template, self.settings(node))
        if not node.is_edge:
            text = re.sub(r'"(front|ready|directory)": "",?\n', "", text)
        path = os.path.join(self.folder, node.ip + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        run = edge_run if node.is_edge else storage_run
        words = [re.sub(r"=/etc/\S+$", "=" + path, word) for word in run]
        node.log = os.path.join(self.folder, node.ip + ".log")
        with open(node.log, "ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, stdout=log, stderr=log)

    async def start(self):
        for node in self.storages + self.edges:
            await self.start_node(node)
        for node in self.edges:
            await self.wait_ready(node)

    async def wait_ready(self, node, limit=15.0):
        end = now() + limit
        while now() < end:
            answer = await request(node.ready, "GET", "/v1/ready",
                                   [("Host", "x")], timeout=1.0)
            if answer.status == 200:
                return
            if node.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRun("node %s is not ready: see %s" % (node.ip, node.log))

    def resident_mb(self, node):
        with open("/proc/%d/status" % node.process.pid,
                  encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024.0
        return 0.0

    async def stop(self):
        for node in self.edges + self.storages:
            if node.process and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                except ProcessLookupError:
                    pass
        for node in self.edges + self.storages:
            if node.process:
                await node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs are kept in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **more):
    return dict({"name": name, "host": HOST, "prefix": prefix, "kind": kind,
                 "service": service, "priority": 0, "timeoutMs": 5000,
                 "targetLatencyMs": 300, "maxAttempts": 2}, **more)


def config(version, routes, services=("llm", "web"), **more):
    return json.dumps(dict({
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/health", "maxConns": 500,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}},
        **more)).encode()


def new_id():
    return "%016x" % random.getrandbits(64)


def token_fields(request_id, prompt=450, out=34):
    return [("Parsleytrack-Request-Id", request_id),
            ("Parsleytrack-Model", "m"),
            ("Parsleytrack-Token-Usage", "%d,%d" % (prompt, out)),
            ("Parsleytrack-Prompt-Prefix",
             "5c1e07a2:200,%s:250" % request_id[:8])]


def submission(route_prefix, count, body=b"prompt", tokens=684, more=()):
    items = []
    for number in range(count):
        item_id = new_id()
        headers = {"Parsleytrack-Model": "m",
                   "Parsleytrack-Token-Usage": "350,%d" % (tokens - 350),
                   "Parsleytrack-Prompt-Prefix":
                       "9c2e41:100,%s:250" % item_id[:8]}
        headers.update(dict(more))
        items.append({"id": item_id, "path": route_prefix + item_id,
                      "headers": headers,
                      "body": base64.b64encode(body).decode(),
                      "tokens": tokens})
    return items


def main(case_folder, play):
    """Runs a case: play(record) returns True if the rule was broken."""
    record = Record(case_folder)
    record.add("TROUBLE=%d" % TROUBLE)
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(play(record), 115))
        code = 1 if broken else 0
        record.add("verdict: the rule was %s" % (
            "broken" if broken else "kept"))
    except CannotRun as problem:
        record.add("the case could not run: %s" % problem)
    except asyncio.TimeoutError:
        record.add("the case could not run: it took too long")
    except OSError as problem:
        record.add("the case could not run: %r" % problem)
    record.write()
    print(record.lines[-1])
    sys.exit(code)
