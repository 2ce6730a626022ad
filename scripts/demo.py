"""The demo that scripts/demo.sh runs after the build."""

import argparse
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
DEMO = BUILD / "demo"
PROCESS_LIST = DEMO / "processes.json"
HOST = "127.0.0.1"
PATIENCE_S = 30
DEPLOYMENTS = {
    "givree": {
        "chat": "vitrine-du-jour.json",
        "adapter_chat": "note-de-comptoir.json",
        "read_path": "/rota/chez-lise/today",
        "write_path": "/orders",
        "write_body": "tub-order.json",
    },
    "juggling": {
        "chat": "stilt-fitting.json",
        "adapter_chat": "product-note.json",
        "read_path": "/stoc/catalige-alu-60",
        "write_path": "/rezervari",
        "write_body": "stilt-reservation.json",
    },
}


class DemoError(Exception):
    """A step of the demo did not go as it must."""


def require(condition, message):
    if not condition:
        raise DemoError(message)


def wait_for(what, check, patience_s=PATIENCE_S):
    """Returns the first true result of check(), or fails."""
    end = time.monotonic() + patience_s
    problem = "nothing was seen"
    while time.monotonic() < end:
        try:
            outcome = check()
            if outcome:
                return outcome
            problem = f"last result: {outcome!r}"
        except (OSError, ValueError, KeyError, DemoError) as error:
            problem = str(error)
        time.sleep(0.1)
    raise DemoError(f"{what}: not within {patience_s} s; {problem}")


def call(method, url, body=None, headers=None, timeout_s=PATIENCE_S):
    """Returns status and body of an HTTP call."""
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def call_json(method, url, body=None, headers=None):
    status, text = call(method, url, body, headers)
    require(status < 300, f"{method} {url}: status {status}: {text[:300].decode(errors='replace')}")
    return json.loads(text)


def read_commented(path):
    """Reads JSON with whole-line comments."""
    return json.loads(re.sub(r"^\s*//.*$", "", path.read_text(), flags=re.M))


def free_port():
    """A port that is free for TCP and UDP, below those that the kernel gives to
    outgoing connections, which could take it before the daemon does."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
                return port
            except OSError:
                continue


class Demo:
    def __init__(self, name):
        self.texts = DEPLOYMENTS[name]
        self.folder = ROOT / "examples" / name
        self.settings = [read_commented(path) for path in sorted((self.folder / "demo").glob("*.json"))]
        self.zones = [entry["node"]["availability_zone"] for entry in self.settings]
        services = {entry["kind"]: entry["name"] for entry in self.settings[0]["services"]}
        self.engine_service = services["engine"]
        self.plain_service = services["plain"]
        self.processes = []
        self.children = []

    def start(self, arguments, log_name):
        log = open(DEMO / f"{log_name}.log", "wb")
        child = subprocess.Popen([str(part) for part in arguments], cwd=ROOT, stdout=log,
                                 stderr=subprocess.STDOUT, start_new_session=True)
        self.children.append((log_name, child))
        return child

    def start_stand_in(self, name, kind, service, zone, *options):
        program = BUILD / "tests" / "stand_ins" / f"{kind}_stand_in" / f"{kind}_stand_in"
        child = self.start([program, *options], name)

        def port():
            self.check_running()
            found = re.search(r"^listening=.*:(\d+)$", (DEMO / f"{name}.log").read_text(), re.M)
            return found and int(found.group(1))

        entry = {"name": name, "kind": kind, "service": service, "host": HOST,
                 "port": wait_for(f"{name} starts", port), "pid": child.pid,
                 "availability_zone": zone, "keeper": False}
        self.processes.append(entry)
        return entry

    def check_running(self):
        for name, child in self.children:
            if child.poll() is not None:
                tail = (DEMO / f"{name}.log").read_text(errors="replace")[-1500:]
                raise KeyError(f"{name} ended with {child.returncode}:\n{tail}")

    def start_stand_ins(self):
        self.store = self.start_stand_in("store", "store", "", self.zones[0])
        for index, zone in enumerate(self.zones, 1):
            name = f"{self.engine_service}-{index}"
            engine = self.start_stand_in(name, "engine", self.engine_service, zone,
                                         f"--replica={name}", "--slots=4")
            self.list_instance(engine)
        for index, zone in enumerate(self.zones, 1):
            name = f"{self.plain_service}-{index}"
            server = self.start_stand_in(name, "service", self.plain_service, zone)
            self.list_instance(server)

    def list_instance(self, entry):
        """Writes a backend server into the platform's list."""
        value = {"host": entry["host"], "port": entry["port"],
                 "availability_zone": entry["availability_zone"], "state": "live"}
        key = f"instances/{entry['service']}/{entry['name']}"
        call_json("POST", f"http://{HOST}:{self.store['port']}/v3/kv/put", {
            "key": base64.b64encode(key.encode()).decode(),
            "value": base64.b64encode(json.dumps(value).encode()).decode()})

    def start_daemons(self):
        peer_ports = [free_port() for _ in self.settings]
        for index, settings in enumerate(self.settings):
            node = settings["node"]
            http_port = free_port()
            folder = DEMO / "data" / node["id"]
            folder.mkdir(parents=True)
            is_keeper = settings.pop("keeper", True)
            node.pop("data_folder", None)
            if is_keeper:
                node["data_folder"] = str(folder)
            settings["listen"] = {"host": HOST, "http_port": http_port, "peer_port": peer_ports[index]}
            settings["seeds"] = [f"{HOST}:{port}" for port in peer_ports if port != peer_ports[index]]
            settings["store"]["addresses"] = [f"{HOST}:{self.store['port']}"]
            path = DEMO / f"{node['id']}.json"
            path.write_text(json.dumps(settings, indent=4))
            child = self.start([BUILD / "src" / "daemon" / "parsleytrackd", "--settings", path], node["id"])
            self.processes.append({"name": node["id"], "kind": "entry", "service": "", "host": HOST,
                                   "port": http_port, "pid": child.pid,
                                   "availability_zone": node["availability_zone"],
                                   "keeper": is_keeper})
        self.nodes = [f"http://{HOST}:{entry['port']}" for entry in self.processes if entry["kind"] == "entry"]
        for node in self.nodes:
            wait_for(f"{node} answers /healthz", lambda node=node: self.check_running() or call("GET", node + "/healthz")[0] == 200)
        wait_for("all nodes know each other", lambda: all(
            len(call_json("GET", node + "/v1/nodes")["nodes"]) == len(self.nodes) for node in self.nodes))

    def address(self, service):
        """Asks the system where to call, as callers do."""
        answer = wait_for(f"addresses for {service}", lambda: call_json(
            "GET", f"{self.nodes[0]}/v1/addresses?service={service}")["addresses"])
        return f"http://{answer[0]['host']}:{answer[0]['port']}"

    def apply_note(self, path):
        note = json.loads(path.read_text())
        version = call_json("GET", self.nodes[0] + "/v1/release")["version"]
        accepted = wait_for(f"release note {note['note_id']} is accepted", lambda: call_json(
            "PUT", f"{self.nodes[0]}/v1/release?expected_version={version}", note)["version"])
        require(accepted == version + 1, f"version {accepted} follows version {version}")

        def in_force(node):
            release = call_json("GET", node + "/v1/release")
            return release["version"] == accepted and release["note_id"] == note["note_id"]

        for node in self.nodes:
            wait_for(f"note {note['note_id']} is in force on {node}", lambda node=node: in_force(node))
        wait_for("engines have what the catalogue names", lambda: all(
            self.engine_matches(entry) for entry in self.processes if entry["kind"] == "engine"))
        return accepted

    def engine_matches(self, entry):
        wanted = call_json("GET", self.nodes[0] + "/v1/release")["catalogue"]
        state = call_json("GET", f"http://{HOST}:{entry['port']}/v1/state")
        models = {(model["name"], version) for model in wanted["models"] for version in model["versions"]}
        adapters = {(adapter["name"], adapter["version"]) for adapter in wanted["adapters"]}
        return (models == {(model["name"], model["version"]) for model in state["models"]}
                and adapters == {(adapter["name"], adapter["version"]) for adapter in state["adapters"]})

    def stream(self, body_path):
        """Sends a streamed chat request; returns its text."""
        body = json.loads(body_path.read_text())
        request = urllib.request.Request(
            self.address(self.engine_service) + "/v1/chat/completions", json.dumps(body).encode(),
            {"Content-Type": "application/json", "X-Workspace": "demo", "X-Deadline-Ms": "20000"})
        text, reason, done = [], None, False
        try:
            with urllib.request.urlopen(request, timeout=PATIENCE_S) as answer:
                for line in answer:
                    if not line.startswith(b"data: "):
                        continue
                    if line.strip() == b"data: [DONE]":
                        done = True
                        continue
                    choice = json.loads(line[len(b"data: "):])["choices"][0]
                    text.append(choice.get("delta", {}).get("content", ""))
                    reason = choice.get("finish_reason") or reason
        except urllib.error.HTTPError as error:
            raise DemoError(f"streamed answer: status {error.code}: {error.read()[:300]!r}") from error
        require(done, "the streamed answer has no data: [DONE]")
        require(reason == "length", f"the streamed answer ended with {reason}")
        words = "".join(text).split()
        require(len(words) == body["max_tokens"], f"{len(words)} tokens of {body['max_tokens']}")
        return " ".join(words)

    def show_plain_service(self):
        base = f"{self.address(self.plain_service)}/services/{self.plain_service}"
        seen = call_json("GET", base + self.texts["read_path"], headers={"X-Workspace": "demo"})
        require(seen["path"] == self.texts["read_path"], f"the service saw {seen}")
        body = json.loads((self.folder / "online" / self.texts["write_body"]).read_text())
        headers = {"X-Workspace": "demo", "X-Non-Idempotent": "true",
                   "Idempotency-Key": "demo-call-1", "Content-Type": "application/json"}
        status, first = call("POST", base + self.texts["write_path"], body, headers)
        require(status == 200, f"non-idempotent call: status {status}: {first[:300]!r}")
        call("POST", base + self.texts["write_path"], body, headers)
        runs = sum(call_json("GET", f"http://{HOST}:{entry['port']}/executions?key=demo-call-1")["count"]
                   for entry in self.processes if entry["kind"] == "service")
        require(runs == 1, f"the non-idempotent call, sent twice, ran {runs} times")
        return f"GET {self.texts['read_path']} and POST {self.texts['write_path']}, sent twice, run once"

    def show_batch(self):
        items = next((self.folder / "batch").glob("*.jsonl")).read_bytes()
        wanted = {json.loads(line)["custom_id"] for line in items.splitlines()}
        job = call_json("POST", f"{self.address(self.engine_service)}/v1/batches?deadline_s=120", items,
                        {"X-Workspace": "demo", "Idempotency-Key": "demo-job-1", "Content-Type": "application/jsonl"})
        require(job["items"] == len(wanted), f"{job['items']} items of {len(wanted)} accepted")

        def complete():
            shown = call_json("GET", f"{self.nodes[1]}/v1/batches/{job['id']}")
            return shown if shown["status"] == "completed" else None

        wait_for(f"job {job['id']} completes", complete, 120)
        for node in self.nodes:
            status, text = call("GET", f"{node}/v1/batches/{job['id']}/results")
            require(status == 200, f"results on {node}: status {status}: {text[:300]!r}")
            results = [json.loads(line) for line in text.splitlines()]
            ids = [result["custom_id"] for result in results]
            require(len(ids) == len(wanted) and set(ids) == wanted, f"results on {node}: {sorted(ids)}")
            failed = [result for result in results if result["status"] != "completed"]
            require(not failed, f"not completed: {failed[:2]}")
        return f"job {job['id']}: {len(wanted)} items, one result each, the same on all nodes"

    def run(self):
        DEMO.mkdir(parents=True)
        notes = sorted((self.folder / "release").glob("*.json"))
        self.step("stand-ins", lambda: self.start_stand_ins() or f"{len(self.processes)} started")
        self.step("daemons", lambda: self.start_daemons() or f"{len(self.nodes)} know each other")
        self.step("first release note", lambda: f"version {self.apply_note(notes[0])} in force on every node and engine")
        self.step("streamed answer", lambda: self.stream(self.folder / "online" / self.texts["chat"]))
        self.step("streamed answer of an adapter", lambda: self.stream(self.folder / "online" / self.texts["adapter_chat"]))
        self.step("plain service", self.show_plain_service)
        self.step("batch job", self.show_batch)
        self.step("second release note", lambda: f"version {self.apply_note(notes[1])} in force on every node and engine")
        self.step("withdrawn adapter", self.show_withdrawn)

    def show_withdrawn(self):
        body = (self.folder / "online" / self.texts["adapter_chat"]).read_bytes()
        status, text = call("POST", self.address(self.engine_service) + "/v1/chat/completions", body, {"X-Workspace": "demo"})
        require(status >= 400, f"a withdrawn adapter was answered with status {status}")
        error = json.loads(text)["error"]
        require(error["ran"] == "no", f"the refusal says {error}")
        return f"refused with status {status}, reason {error['reason']}"

    def step(self, name, action):
        try:
            outcome = action()
            self.check_running()
        except (DemoError, OSError, ValueError, KeyError) as error:
            raise DemoError(f"{name}: {error}") from error
        print(f"ok    {name}: {outcome}", flush=True)

    def stop(self):
        for _, child in self.children:
            if child.poll() is None:
                child.kill()
        for _, child in self.children:
            child.wait()


def is_ours(entry):
    """Whether a pid still belongs to the process that was listed."""
    try:
        command = pathlib.Path(f"/proc/{entry['pid']}/cmdline").read_bytes()
    except OSError:
        return False
    return str(BUILD).encode() in command


def stop_kept():
    if not PROCESS_LIST.exists():
        return
    entries = [entry for entry in json.loads(PROCESS_LIST.read_text()) if is_ours(entry)]
    for entry in entries:
        os.kill(entry["pid"], signal.SIGKILL)
    PROCESS_LIST.unlink()
    print(f"ended {len(entries)} processes")


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo.sh")
    parser.add_argument("--keep", action="store_true", help="leave everything running")
    parser.add_argument("--stop", action="store_true", help="end what --keep left running")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="givree")
    options = parser.parse_args()
    stop_kept()
    if options.stop:
        return 0
    subprocess.run(["rm", "-rf", str(DEMO)], check=True)
    # A stopped demo ends what it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    demo = Demo(options.deployment)
    keep = False
    try:
        demo.run()
        keep = options.keep
        print("demo: all was right")
        return 0
    except DemoError as error:
        print(f"FAILED {error}\ndemo: logs are in {DEMO.relative_to(ROOT)}", file=sys.stderr)
        return 1
    finally:
        if keep:
            PROCESS_LIST.write_text(json.dumps(demo.processes, indent=2) + "\n")
            print(f"demo: left running, see {PROCESS_LIST.relative_to(ROOT)}; end with scripts/demo.sh --stop")
        else:
            demo.stop()


if __name__ == "__main__":
    sys.exit(main())
