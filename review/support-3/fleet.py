"""Stand-ins of the platform's store, of replicas and of clients, and the nodes
of the deploy file as processes on loopback addresses.

One asyncio loop runs the stand-ins; the nodes are separate processes, started
with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The bounds of the small installations (SYSTEM.md, "Bounds").
CONTACT_MS = 3000
DRAIN_MS = 2000
CONFIG_APPLY_MS = 2000
CANCEL_MS = 3000
GRACE_S = 8


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Connection:
    """One HTTP/1.1 connection of a stand-in that serves requests."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.ended = asyncio.Event()

    async def read_request(self):
        """Returns (method, target, headers, body); None at the end."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = [tuple(part.strip() for part in line.split(":", 1))
                   for line in lines[1:] if line]
        fields = {name.lower(): value for name, value in headers}
        body = b""
        try:
            if fields.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await self.reader.readline()).split(b";")[0], 16)
                    body += await self.reader.readexactly(size)
                    await self.reader.readline()
                    if size == 0:
                        break
            elif "content-length" in fields:
                body = await self.reader.readexactly(int(fields["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return method, target, headers, body

    async def answer(self, status, headers, body):
        head = f"HTTP/1.1 {status} X\r\n"
        for name, value in headers:
            head += f"{name}: {value}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        self.writer.write(head.encode("latin-1") + body)
        await self.writer.drain()

    async def answer_json(self, status, document):
        await self.answer(status, [("Content-Type", "application/json")],
                          json.dumps(document).encode())

    def cut(self):
        """Closes the connection at once."""
        self.ended.set()
        if self.writer.transport is not None:
            self.writer.transport.abort()


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    VALUE_BYTES = 1048576
    PAGE_BYTES = 1_000_000

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.changes = []
        self.changed = asyncio.Event()
        self.waiting = {}
        self.servers = []

    async def listen(self, host):
        """Opens an address of the store; returns it."""
        server = await asyncio.start_server(self.serve, host, 0, limit=1 << 23)
        self.servers.append(server)
        return server.sockets[0].getsockname()[:2]

    def put(self, key, value):
        self.revision += 1
        value = value if isinstance(value, bytes) else value.encode()
        self._write(key, base64.b64encode(value).decode())
        self._notify()

    def erase(self, key):
        self.revision += 1
        self._delete(key)
        self._notify()

    def _write(self, key, value):
        """Writes a value in base64."""
        created = self.items[key]["createRev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value,
                           "revision": self.revision, "createRev": created, "lease": 0}
        self.changes.append((self.revision, key, dict(self.items[key])))

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.changes.append((self.revision, key,
                                 {"key": key, "revision": self.revision, "deleted": True}))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_waiting_watches(self, waited_s=0.0):
        """Cuts the watches that have waited for so long; returns how many."""
        now = time.monotonic()
        cut = [connection for connection, since in self.waiting.items()
               if now - since >= waited_s]
        for connection in cut:
            connection.cut()
        return len(cut)

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        try:
            while True:
                request = await connection.read_request()
                if request is None:
                    break
                await self.handle(connection, *request)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, connection, method, target, _headers, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                await connection.answer_json(404, {})
            else:
                await connection.answer_json(200, {**item, "currentRev": self.revision})
        elif url.path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = []
            size = 0
            for key in keys[:500]:
                size += len(self.items[key]["value"]) * 3 // 4
                if page and size > self.PAGE_BYTES:
                    break
                page.append(key)
            await connection.answer_json(200, {
                "items": [self.items[k] for k in page],
                "truncated": len(keys) > len(page), "currentRev": self.revision})
        elif url.path == "/v1/kv-watch":
            await self.watch(connection, query)
        elif url.path == "/v1/kv-txn" and method == "POST":
            await self.commit(connection, json.loads(body))
        else:
            await connection.answer_json(404, {})

    async def watch(self, connection, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        self.waiting[connection] = time.monotonic()
        try:
            while not connection.ended.is_set():
                events = [event for revision, key, event in self.changes
                          if revision > after and key.startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                waits = [asyncio.ensure_future(self.changed.wait()),
                         asyncio.ensure_future(connection.ended.wait())]
                await asyncio.wait(waits, timeout=left,
                                   return_when=asyncio.FIRST_COMPLETED)
                for wait in waits:
                    wait.cancel()
        finally:
            self.waiting.pop(connection, None)
        if connection.ended.is_set():
            raise ConnectionResetError
        await connection.answer_json(200, {"events": events, "currentRev": self.revision})

    async def commit(self, connection, change):
        holds = True
        current = []
        for row in change.get("expectRev", []):
            item = self.items.get(row["key"])
            holds = holds and (item["revision"] if item else 0) == row["revision"]
            if item:
                current.append(item)
        if any(len(put["value"]) * 3 // 4 > self.VALUE_BYTES
               for put in change.get("puts", [])):
            await connection.answer_json(400, {})
            return
        if not holds:
            await connection.answer_json(412, {"items": current})
            return
        self.revision += 1
        for put in change.get("puts", []):
            self._write(put["key"], put["value"])
        for key in change.get("deletes", []):
            self._delete(key)
        self._notify()
        await connection.answer_json(200, {"revision": self.revision})


class Replica:
    """A replica. handler(replica, connection, request) answers a request."""

    def __init__(self, store, record, name, service, handler, version="v1",
                 slots=8, zone="z-a"):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.handler = handler
        self.version = version
        self.slots = slots
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.leaving = False
        self.address = None
        self.server = None
        self.connections = set()
        self.arrivals = []
        self.tasks = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 23)
        self.address = self.server.sockets[0].getsockname()[:2]

    def entry(self, state="ready"):
        return json.dumps({
            "service": self.service, "address": "%s:%d" % self.address,
            "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": state, "coldLeftMs": 0, "seq": 1, "born": self.born})

    def register(self, state="ready"):
        self.store.put("servers/" + self.name, self.entry(state))

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                request = await connection.read_request()
                if request is None:
                    break
                fields = {name.lower(): value for name, value in request[2]}
                expected = fields.get("parsleytrack-expect-instance", self.name)
                if expected != self.name:
                    await connection.answer(
                        421, [("Parsleytrack-Instance-Id", self.name)], b"")
                    continue
                if "parsleytrack-request-id" in fields:
                    self.arrivals.append((time.monotonic(),
                                          fields["parsleytrack-request-id"]))
                if await self.handler(self, connection, request, fields) is False:
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            self.tasks.discard(task)
            writer.close()

    def head(self, fields, extra=()):
        """The header fields of an answer of this replica."""
        headers = [("Parsleytrack-Request-Id", fields["parsleytrack-request-id"]),
                   ("Parsleytrack-Response-Seal", "seal." + self.name),
                   ("Parsleytrack-Server-Load", "0,0,%d" % self.slots)]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        return headers + list(extra)

    def crash(self):
        """Ends the process: resets all connections and stops to listen."""
        self.server.close()
        for connection in list(self.connections):
            connection.cut()
        for task in list(self.tasks):
            task.cancel()


def render(template, values):
    """Fills in the parts of the deploy file's template language that the
    settings template uses."""

    def look_up(name, scope):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                return None
        return value

    def section(match):
        value = look_up(match.group(1), values)
        inner = match.group(2)
        if isinstance(value, list):
            return "".join(
                inner.replace("{{.}}", str(entry))
                .replace("{{,}}", "" if index + 1 == len(value) else ",")
                for index, entry in enumerate(value))
        return render(inner, values) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: str(look_up(match.group(1), values) or ""), text)


def free_ports(hosts, count):
    """Returns ports that are free at all of the hosts."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as other:
                    other.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Fleet:
    """The nodes of a small installation, with their store."""

    def __init__(self, record, entry_nodes=2, storage_nodes=1, memory_mb=260):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.store = Store(record)
        self.memory_mb = memory_mb
        self.entry_count = entry_nodes
        self.count = entry_nodes + storage_nodes
        pid = os.getpid()
        self.hosts = ["127.%d.%d.%d" % (1 + (pid >> 8) % 200, pid % 256, n + 2)
                      for n in range(self.count)]
        ports = free_ports(self.hosts, 6)
        self.front_port, self.ready_port, self.directory_port = ports[:3]
        self.control_port, self.peer_port, self.metrics_port = ports[3:]
        self.processes = [None] * self.count
        self.settings = [None] * self.count
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)

    def front(self, node):
        return self.hosts[node], self.front_port

    async def start(self):
        for number in range(self.count):
            address = await self.store.listen(self.hosts[number])
            self._write_settings(number, "%s:%d" % address)
        for number in range(self.count):
            self.start_node(number)
        for number in range(self.entry_count):
            await self.wait_ready(number)

    def _write_settings(self, number, store):
        role = "entry" if number < self.entry_count else "storage"
        host = self.hosts[number]
        listen = {"front": "", "ready": "", "directory": ""}
        if role == "entry":
            listen = {"front": "%s:%d" % (host, self.front_port),
                      "ready": "%s:%d" % (host, self.ready_port),
                      "directory": "%s:%d" % (host, self.directory_port)}
        values = {
            "nodeName": "%s-z-a-%d" % (role, number + 1), "region": "r",
            "zone": "z-a", "ip": host, "listen": listen,
            "portRange": [self.peer_port, self.metrics_port],
            "limits": {"cpuShare": 0.25, "memoryMb": self.memory_mb},
            "seeds": ["%s:%d" % (self.hosts[n], self.control_port)
                      for n in range(min(3, self.entry_count))],
            "platform": {"address": store}, "bounds": {"graceS": GRACE_S}}
        template = self.deploy["roles"][role]["template"]
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            text = render(file.read(), values)
        self.settings[number] = os.path.join(self.folder, "node%d.json" % number)
        with open(self.settings[number], "w", encoding="utf-8") as file:
            file.write(text)

    def start_node(self, number):
        role = "entry" if number < self.entry_count else "storage"
        words = self.deploy["roles"][role]["run"].split()
        words = [word.replace("/etc/parsleytrack/boot.yaml", self.settings[number])
                 for word in words]
        with open(self.settings[number] + ".log", "a", encoding="utf-8") as log:
            self.processes[number] = subprocess.Popen(
                words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": self.folder,
                     "LANG": "C.UTF-8",
                     "PARSLEYTRACK_SETTINGS": self.settings[number]})
        self.record.add("node %d started" % number)

    async def wait_ready(self, number):
        for _ in range(200):
            try:
                status, _, _ = await call(
                    (self.hosts[number], self.ready_port), "GET", "/v1/ready", [], b"", 1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("node %d is not ready" % number)

    def is_running(self, number):
        return self.processes[number].poll() is None

    def log(self, number):
        with open(self.settings[number] + ".log", encoding="utf-8", errors="replace") as file:
            return file.read()

    def send_signal(self, number, which):
        self.record.add("node %d gets signal %d" % (number, which))
        self.processes[number].send_signal(which)

    def stop(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            if process is not None:
                process.wait()
        if "KEEP" in os.environ:
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip()
               for line in head[1:] if ":" in line}
    return status, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read()


def request_bytes(method, target, headers, body):
    text = f"{method} {target} HTTP/1.1\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode("latin-1") + b"\r\n" + body


async def call(address, method, target, headers, body, timeout):
    """Sends one request on a connection of its own; returns the status, the
    header fields and the body. Raises EOFError if the answer is not complete."""
    async def run():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 23)
        try:
            writer.write(request_bytes(method, target, headers, body))
            await writer.drain()
            status, fields = await read_head(reader)
            return status, fields, await read_body(reader, fields)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as problem:
            raise EOFError(str(problem)) from problem
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


def configuration(version=7, routes=None, idle_timeout_ms=15000):
    """The bytes of op/config."""
    usual = [
        {"name": "r-page", "host": "h.example", "prefix": "/page/", "kind": "safe",
         "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
         "service": "web", "maxAttempts": 2},
        {"name": "r-note", "host": "h.example", "prefix": "/note/",
         "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300,
         "priority": 0, "service": "llm", "maxAttempts": 2, "sticky": True,
         "resumable": True, "gapAimMs": 250},
        {"name": "r-once", "host": "h.example", "prefix": "/once/",
         "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300,
         "priority": 0, "service": "llm", "maxAttempts": 1, "sticky": True,
         "resumable": False, "gapAimMs": 250},
        {"name": "r-draft", "host": "h.example", "prefix": "/draft/",
         "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400,
         "runTargetMs": 18000, "retentionS": 60, "priority": 2, "service": "llm",
         "maxAttempts": 3, "maxCount": 3100000, "sticky": True}]
    return json.dumps({
        "version": version, "routes": usual if routes is None else routes,
        "services": [
            {"name": "llm", "healthPath": "/health", "maxConns": 290,
             "protocol": "h1", "tls": False},
            {"name": "web", "healthPath": "/health", "maxConns": 96,
             "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": idle_timeout_ms}})


def main(folder, scenario):
    """Runs a case: scenario(record, fleet_options, trouble) is a coroutine that
    returns whether the rule was broken. Exits with 1 if it was, 0 if it held
    and 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("the disruption is " + ("on" if trouble else "off"))
    loop = asyncio.new_event_loop()

    def end(*_):
        raise KeyboardInterrupt

    # So that the nodes end with the case.
    signal.signal(signal.SIGTERM, end)
    try:
        broken = loop.run_until_complete(
            asyncio.wait_for(scenario(record, trouble), 110))
        outcome = "the rule was broken" if broken else "the rule held"
        code = 1 if broken else 0
    except BaseException as problem:  # pylint: disable=broad-except
        outcome = "the case could not run: %r" % problem
        code = 2
    record.add(outcome)
    print(outcome, flush=True)
    # The nodes have ended; what the stand-ins still wait for has no use.
    os._exit(code)
