"""Stand-ins for the platform's store, replicas and clients, and a small fleet of
relay nodes as processes. Python's standard library only; loopback addresses only.
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
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTACT_S = 3.0          # contactMs of the installations' sheets
HEARTBEAT_S = 1.2        # heartbeatMs


def now():
    return time.monotonic()


def find(headers, name):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return None


# ---------------------------------------------------------------- HTTP, server

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))

    def header(self, name):
        return find(self.headers, name)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        key, _, value = line.partition(":")
        headers.append((key.strip(), value.strip()))
    return lines[0], headers


async def read_chunks(reader, on_chunk):
    """Returns whether the last chunk has come."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return True
        on_chunk(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_request(reader):
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    body = b""
    if "chunked" in (find(headers, "Transfer-Encoding") or ""):
        pieces = []
        await read_chunks(reader, pieces.append)
        body = b"".join(pieces)
    else:
        length = int(find(headers, "Content-Length") or 0)
        if length:
            body = await reader.readexactly(length)
    return Request(method, target, headers, body)


def response_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


# ------------------------------------------------------------- platform's store

class Store:
    """The metadata store: linearizable, keeps its whole history."""

    def __init__(self):
        self.items = {}        # key -> dict(value, revision, created)
        self.revision = 10
        self.events = []       # (revision, key, item or None)
        self.changed = asyncio.Event()
        self.commits = 0

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 24)
        self.address = self.server.sockets[0].getsockname()
        return self

    def write(self, key, value):
        if value is None:
            if key not in self.items:
                return
            del self.items[key]
            self.events.append((self.revision, key, None))
            return
        known = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "createRev": known["createRev"] if known else self.revision, "lease": 0}
        self.items[key] = item
        self.events.append((self.revision, key, item))

    def put(self, key, document):
        """A write of the operator or of a replica."""
        self.revision += 1
        self.write(key, document if isinstance(document, bytes) else json.dumps(document).encode())
        self.notify()

    def erase(self, key):
        if key in self.items:
            self.revision += 1
            self.write(key, None)
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def access_point(self, addresses):
        """A further address of the store. It shows replicas at the addresses of the proxies on
        one machine's path to them.

        addresses: replica's "IP:PORT" -> proxy's "IP:PORT"."""
        async def serve(reader, writer):
            await self.serve(reader, writer, addresses)
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 24)
        self.points = getattr(self, "points", []) + [server]
        return server.sockets[0].getsockname()

    @staticmethod
    def through(addresses, item):
        if not item.get("key", "").startswith("servers/") or "value" not in item:
            return item
        document = json.loads(base64.b64decode(item["value"]))
        document["address"] = addresses.get(document["address"], document["address"])
        return dict(item, value=base64.b64encode(json.dumps(document).encode()).decode())

    async def serve(self, reader, writer, addresses=None):
        try:
            while True:
                request = await read_request(reader)
                status, body = await self.answer(request)
                if addresses and "items" in body:
                    body = dict(body, items=[self.through(addresses, i) for i in body["items"]])
                if addresses and "events" in body:
                    body = dict(body, events=[self.through(addresses, i) for i in body["events"]])
                if addresses:
                    body = self.through(addresses, body)
                writer.write(response_bytes(status, [("Content-Type", "application/json")],
                                            json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        query = request.query
        if request.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, dict(item, currentRev=self.revision)
        if request.path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "truncated": len(keys) > 500, "currentRev": self.revision}
        if request.path == "/v1/kv-watch":
            end = now() + int(query["waitMs"]) / 1000
            after = int(query["after"])
            while True:
                found = [({"key": k, "revision": r, "deleted": True} if item is None else item)
                         for r, k, item in self.events
                         if r > after and k.startswith(query["prefix"])]
                if found or now() >= end:
                    return 200, {"events": found, "currentRev": self.revision}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), max(0.01, end - now()))
                except asyncio.TimeoutError:
                    pass
        if request.path == "/v1/kv-txn":
            change = json.loads(request.body)
            current = [self.items[c["key"]] for c in change.get("expectRev", [])
                       if c["key"] in self.items]
            for condition in change.get("expectRev", []):
                item = self.items.get(condition["key"])
                if (item["revision"] if item else 0) != condition["revision"]:
                    return 412, {"items": current}
            self.commits += 1
            self.revision += 1
            for entry in change.get("puts", []):
                self.write(entry["key"], base64.b64decode(entry["value"]))
            for key in change.get("deletes", []):
                self.write(key, None)
            revision = self.revision
            self.notify()
            return 200, {"revision": revision}
        return 404, {}


# ------------------------------------------------------------------- replicas

class Replica:
    """A replica of a service. Streams events on POST; plain answers if `plain`."""

    def __init__(self, store, name, service, zone, slots=8, events=20, interval=0.03, plain=False,
                 version="1.0"):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.slots, self.events, self.interval, self.plain = slots, events, interval, plain
        self.version = version
        self.born = int(time.time() * 1000)
        self.up = False
        self.state = "ready"
        self.seq = 0
        self.writers = set()
        self.runs = []            # dicts: time, request, request id
        self.running = 0
        self.waiting, self.queue = 0, 24
        self.crashes = []
        self.crashes_under = None  # a predicate on requests
        self.crash_event = 0       # the crash comes after so many events of the answer
        self.restart_s = 3.0
        self.online_events = 30

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 24)
        self.address = self.server.sockets[0].getsockname()
        self.up = True
        self.register()
        return self

    def register(self):
        self.seq += 1
        self.store.put("servers/" + self.name, {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state, "coldLeftMs": 0,
            "seq": self.seq, "born": self.born})

    def crash(self):
        """The process ends; it starts again after some seconds under its id."""
        if not self.up:
            return
        self.up = False
        self.crashes.append(now())
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.running = 0
        asyncio.get_running_loop().create_task(self.come_back())

    async def come_back(self):
        # Its entry lapses after three ping intervals of silence.
        if self.restart_s > 3 * HEARTBEAT_S:
            await asyncio.sleep(3 * HEARTBEAT_S)
            self.store.erase("servers/" + self.name)
            await asyncio.sleep(self.restart_s - 3 * HEARTBEAT_S)
        else:
            await asyncio.sleep(self.restart_s)
        self.born = int(time.time() * 1000)
        self.seq = 0
        await self.start(self.address[1])

    async def serve(self, reader, writer):
        self.writers.add(writer)
        born = self.born
        try:
            while True:
                request = await read_request(reader)
                await self.answer(request, reader, writer)
                if born != self.born:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def answer(self, request, reader, writer):
        if request.method == "GET" and request.path == "/health":
            writer.write(response_bytes(200, [("Parsleytrack-Instance-Id", self.name),
                                              ("Parsleytrack-Server-Load", self.load())]))
            return
        name = request.header("Parsleytrack-Request-Id")
        expected = request.header("Parsleytrack-Expect-Instance")
        if name is None:
            writer.write(response_bytes(400, [("Parsleytrack-Not-Executed", "1")]))
            return
        if expected is not None and expected != self.name:
            writer.write(response_bytes(421, [("Parsleytrack-Request-Id", name)]))
            return
        if self.waiting >= self.queue:
            writer.write(response_bytes(503, [("Parsleytrack-Request-Id", name),
                                              ("Parsleytrack-Not-Executed", "1")]))
            return
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await asyncio.sleep(0.005)
                if reader.at_eof() or writer.is_closing():
                    raise ConnectionResetError
        finally:
            self.waiting -= 1
        self.runs.append({"time": now(), "id": name, "request": request,
                          "version": self.version})
        crashes = self.crashes_under is not None and self.crashes_under(request)
        if crashes and self.crash_event == 0:
            self.crash()
            raise ConnectionResetError
        self.running += 1
        try:
            headers = [("Parsleytrack-Request-Id", name),
                       ("Parsleytrack-Response-Seal", f"seal.{self.name}.{name}"),
                       ("Parsleytrack-Server-Load", self.load())]
            if self.plain:
                await asyncio.sleep(self.interval)
                writer.write(response_bytes(200, headers, ("page " + name).encode()))
                return
            await self.stream(request, reader, writer, headers,
                              self.crash_event if crashes else 0)
        finally:
            self.running = max(0, self.running - 1)

    async def stream(self, request, reader, writer, headers, crash_event=0):
        first = int(request.header("Last-Event-Id") or 0) + 1
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in headers]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        # Items of batch jobs bring no time budget.
        online = request.header("Parsleytrack-Deadline-Ms") is not None
        last = min(self.events, self.online_events) if online else self.events
        for number in range(first, last + 1):
            await asyncio.sleep(self.interval)
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError
            event = f"id: {number}\ndata: {self.version}/{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number == crash_event:
                await asyncio.sleep(0.01)
                self.crash()
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# -------------------------------------------------------------------- clients

class Answer:
    def __init__(self):
        self.status = 0           # 0: no answer
        self.headers = []
        self.body = b""
        self.complete = False
        self.problem = ""

    def events(self):
        """Complete events: (id, data)."""
        found = []
        for block in self.body.split(b"\n\n")[:-1]:
            fields = dict(line.split(b": ", 1) for line in block.split(b"\n") if b": " in line)
            if b"id" in fields:
                found.append((int(fields[b"id"]), fields.get(b"data", b"").decode()))
        return found


async def call(address, method, target, headers=(), body=b"", timeout=6.0):
    """Sends one request on a new channel."""
    answer = Answer()
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
        lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(" ")[1])

        def collect(piece):
            answer.body += piece
        if "chunked" in (find(answer.headers, "Transfer-Encoding") or ""):
            answer.complete = await read_chunks(reader, collect)
        else:
            collect(await reader.readexactly(int(find(answer.headers, "Content-Length") or 0)))
            answer.complete = True
    try:
        await asyncio.wait_for(run(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError,
            ValueError) as problem:
        answer.problem = type(problem).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


# ----------------------------------------------------------------- TCP proxy

class Channel:
    """A client's channel that is kept for many requests, one after the other."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None
        self.requests = 0

    async def call(self, method, target, headers=(), body=b""):
        answer = Answer()
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.address,
                                                                         limit=1 << 24)
                self.requests = 0
            self.requests += 1
            lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
            lines.append(f"Content-Length: {len(body)}")
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            line, answer.headers = await read_head(self.reader)
            answer.status = int(line.split(" ")[1])

            def collect(piece):
                answer.body += piece
            if "chunked" in (find(answer.headers, "Transfer-Encoding") or ""):
                answer.complete = await read_chunks(self.reader, collect)
            else:
                length = int(find(answer.headers, "Content-Length") or 0)
                collect(await self.reader.readexactly(length))
                answer.complete = True
            if (find(answer.headers, "Connection") or "").lower() == "close":
                self.close()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as problem:
            answer.problem = type(problem).__name__
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class Proxy:
    """Forwards channels to an address. While cut, it forwards nothing: open channels hang and
    new ones are not answered."""

    def __init__(self, target):
        self.target = target
        self.cut = False
        self.pairs = set()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.address = self.server.sockets[0].getsockname()
        return self

    def refuse_new(self):
        """Open channels live on; new ones are refused."""
        self.server.close()

    async def serve(self, reader, writer):
        while self.cut:
            await asyncio.sleep(0.02)
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, other_writer), self.pump(other_reader, writer),
                             return_exceptions=True)

    async def pump(self, reader, writer):
        try:
            while True:
                piece = await reader.read(65536)
                while self.cut:
                    await asyncio.sleep(0.02)
                if not piece:
                    break
                writer.write(piece)
                await writer.drain()
        finally:
            writer.close()


# ------------------------------------------------------------------ the fleet

def deploy_file():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as source:
        return tomllib.load(source)


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(template, fields):
    """Fills the template of the settings in, as DEPLOY.md tells: values and sections of lists."""
    def section(match):
        values = lookup(fields, match.group(1)) or []
        out = []
        for index, value in enumerate(values):
            text = match.group(2).replace("{{.}}", str(value))
            out.append(text.replace("{{,}}", "," if index + 1 < len(values) else ""))
        return "".join(out)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        found = lookup(fields, match.group(1))
        return "" if found is None else str(found)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Machine:
    def __init__(self, name, role, host, zone):
        self.name, self.role, self.host, self.zone = name, role, host, zone
        self.process = None
        self.disruptions = []     # times of kills, starts, stops and cuts
        self.store = None
        self.starts = 0

    def in_touch(self, when):
        return not any(when - CONTACT_S < at <= when for at in self.disruptions)

    def disrupt(self):
        self.disruptions.append(now())


class Fleet:
    """Machines of two roles, edge and storage, each with one process of the deploy file."""

    def __init__(self, store, record, edges=6, storages=3, seed=0):
        self.store, self.record = store, record
        self.folder = tempfile.mkdtemp(prefix="parsleytrack-review-")
        self.deploy = deploy_file()
        net = random.Random(os.getpid() * 1000 + seed)
        prefix = f"127.{net.randint(20, 250)}.{net.randint(1, 250)}."
        zones = ["qc-east-a", "qc-east-b", "qc-east-c"]
        self.edges = [Machine(f"edge-{i + 1}", "entry", prefix + str(10 + i), zones[i % 3])
                      for i in range(edges)]
        self.storages = [Machine(f"storage-{i + 1}", "storage", prefix + str(100 + i),
                                 zones[i % 3]) for i in range(storages)]
        self.machines = self.edges + self.storages
        self.ports = self.free_ports(7)

    def free_ports(self, count):
        found = []
        while len(found) < count:
            probe = socket.socket()
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
            probe.close()
            if port in found:
                continue
            try:
                for machine in self.machines:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as test:
                            test.bind((machine.host, port))
            except OSError:
                continue
            found.append(port)
        return found

    def address(self, machine, what):
        index = {"front": 0, "ready": 1, "directory": 2, "control": 3, "peer": 4, "metrics": 5}
        return (machine.host, self.ports[index[what]])

    def settings(self, machine):
        def text(what):
            return "%s:%d" % self.address(machine, what)
        edge = machine.role == "entry"
        store = machine.store or self.store.address
        fields = {
            "nodeName": machine.name, "region": "qc-east", "zone": machine.zone,
            "ip": machine.host, "portRange": [self.ports[4], self.ports[5]],
            "listen": {"front": text("front"), "ready": text("ready"), "control": text("control"),
                       "directory": text("directory")} if edge else {},
            "limits": {"cpuShare": 0.25 if edge else 0.5, "memoryMb": 260 if edge else 290},
            "seeds": ["%s:%d" % self.address(m, "control") for m in self.edges[:3]],
            "platform": {"address": "%s:%d" % store}, "bounds": {"graceS": 8}}
        role = self.deploy["roles"][machine.role]
        with open(os.path.join(ROOT, role["template"])) as source:
            return render(source.read(), fields)

    def start(self, machine):
        path = os.path.join(self.folder, machine.name + ".boot")
        with open(path, "w") as out:
            out.write(self.settings(machine))
        words = self.deploy["roles"][machine.role]["run"].split()
        words = [w.replace("/etc/parsleytrack/boot.yaml", path) for w in words]
        words[0] = os.path.join(ROOT, words[0])
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PARSLEYTRACK_SETTINGS"] = path
        with open(os.path.join(self.folder, machine.name + ".log"), "ab") as log:
            machine.process = subprocess.Popen(words, cwd=ROOT, env=environment, stdout=log,
                                               stderr=log, stdin=subprocess.DEVNULL)
        machine.disrupt()
        machine.starts += 1

    def kill(self, machines):
        """SIGKILL of all of them at the same moment."""
        for machine in machines:
            machine.process.send_signal(signal.SIGKILL)
        for machine in machines:
            machine.process.wait()
            machine.disrupt()

    async def wait_ready(self, machines, limit=15.0):
        end = now() + limit
        for machine in machines:
            while (await call(self.address(machine, "ready"), "GET", "/v1/ready",
                              timeout=1)).status != 200:
                if now() > end:
                    raise RuntimeError(machine.name + " did not become ready")
                await asyncio.sleep(0.1)

    def log_text(self, machine):
        with open(os.path.join(self.folder, machine.name + ".log"), errors="replace") as source:
            return source.read()

    def close(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """What was sent, answered and run, by time from the start."""

    def __init__(self, path):
        self.begin = now()
        self.out = open(path, "w")

    def note(self, text, when=None):
        self.out.write(f"{(when or now()) - self.begin:8.3f}  {text}\n")
        self.out.flush()


def config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [dict({"name": name, "healthPath": "/health"}, **more)
                         for name, more in services.items()],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}}


def main(case, folder):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    # Channels that are still open at the end cannot be closed in order any more.
    sys.unraisablehook = lambda _: None
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.note(f"trouble: {trouble}")
    code = 2

    async def run():
        # An end from outside still ends all processes of the fleet.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record, trouble), 114)
    try:
        broken, verdict = asyncio.run(run())
        record.note("verdict: " + verdict)
        print(verdict)
        code = 1 if broken else 0
    except (Exception, asyncio.CancelledError) as problem:      # the case couldn't run
        record.note(f"could not run: {problem!r}")
        print("could not run:", repr(problem))
    raise SystemExit(code)
