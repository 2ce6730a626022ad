"""Measures a whole fleet of real processes on loopback.

Starts one deployment of examples/ (stand-ins for its engines and plain
services, and daemons), puts load on it with `parsleytrack load` and prints one
JSON object: the load's report, and for the daemons their processor time,
memory and bytes between nodes. Options can be given more than once where they
say so.
"""
import argparse
import copy
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

import demo

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
SETTLE_S = 3.0


class Fleet(demo.Demo):
    """A demo with as many engines and nodes as the measurement asks for."""

    def __init__(self, options):
        super().__init__(options.deployment)
        self.options = options
        templates = sorted((self.folder / "fleet").glob("*.json"))
        settings = [demo.read_commented(path) for path in templates]
        self.settings = []
        for index in range(options.nodes):
            entry = copy.deepcopy(settings[index % len(settings)])
            entry["node"]["id"] = f"node-{index + 1}"
            entry["node"]["availability_zone"] = self.zones[index % len(self.zones)]
            entry["log"] = {"level": "warning"}
            if options.batch_weight is not None:
                entry["scheduling"] = {"batch_weight": options.batch_weight}
            self.settings.append(entry)

    def start_stand_ins(self):
        self.store = self.start_stand_in("store", "store", "", self.zones[0])
        for index in range(self.options.engines):
            name = f"{self.engine_service}-{index + 1}"
            entry = self.start_stand_in(name, "engine", self.engine_service,
                                        self.zones[index % len(self.zones)], f"--replica={name}",
                                        f"--slots={self.options.slots}")
            self.list_instance(entry)
        for index in range(self.options.services):
            name = f"{self.plain_service}-{index + 1}"
            entry = self.start_stand_in(name, "service", self.plain_service,
                                        self.zones[index % len(self.zones)])
            self.list_instance(entry)

    def prepare_settings(self):
        for index, entry in enumerate(self.settings):
            for service in entry["services"]:
                if service["kind"] == "engine":
                    service["slots"] = self.options.slots
            entry["keeper"] = index < self.options.keepers

    def daemons(self):
        return [entry for entry in self.processes if entry["kind"] == "entry"]


def usage_of(pid):
    """Processor seconds and resident bytes of a process; None once it has ended."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    except OSError:
        return None
    if fields[0] == "Z":
        return None
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS, pages * os.sysconf("SC_PAGESIZE")


def counters_of(entry, prefix):
    """Sums a daemon's counters by their name and labels."""
    try:
        status, text = demo.call("GET", f"http://{entry['host']}:{entry['port']}/metrics")[:2]
    except Exception:  # A daemon that was killed on purpose.
        return {}
    values = {}
    for line in text.decode().splitlines():
        if line.startswith(prefix):
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    return values


def store_calls(fleet):
    return demo.call_json("GET", f"http://{demo.HOST}:{fleet.store['port']}/admin/calls")


def snapshot(fleet):
    return {entry["name"]: (usage_of(entry["pid"]), counters_of(entry, "parsleytrack_peer_bytes"))
            for entry in fleet.daemons()}


def daemon_report(before, after, seconds):
    rows = []
    for name, (old_usage, old_bytes) in before.items():
        new_usage, new_bytes = after[name]
        if old_usage is None or new_usage is None:
            continue
        rows.append({"node": name, "cpu_percent": 100 * (new_usage[0] - old_usage[0]) / seconds,
                     "rss_mb": new_usage[1] / 1e6,
                     "bytes_per_s": {key: (value - old_bytes.get(key, 0)) / seconds
                                     for key, value in new_bytes.items()}})
    return rows


def schedule_faults(fleet, faults):
    """Each fault is NAME:SIGNAL:SECONDS, such as node-1:KILL:10."""
    by_name = {entry["name"]: entry for entry in fleet.processes}
    for fault in faults:
        name, number, delay = fault.split(":")
        pid = by_name[name]["pid"]
        # A process is ended by the id that this script got when it started it.
        timer = threading.Timer(float(delay), os.kill, (pid, getattr(signal, "SIG" + number)))
        timer.daemon = True
        timer.start()


def run_load(fleet, options):
    nodes = ",".join(f"{entry['host']}:{entry['port']}" for entry in fleet.daemons())
    command = [demo.BUILD / "src" / "cli" / "parsleytrack", "load", "--json", f"--nodes={nodes}",
               f"--service={fleet.engine_service}", f"--model={options.model}", *options.load]
    outcome = subprocess.run([str(part) for part in command], stdout=subprocess.PIPE, check=False)
    if outcome.returncode != 0:
        raise demo.DemoError(f"load ended with {outcome.returncode}")
    return json.loads(outcome.stdout)


def measure(fleet, options):
    fleet.prepare_settings()
    fleet.start_stand_ins()
    fleet.start_daemons()
    notes = sorted((fleet.folder / "release").glob("*.json"))
    fleet.apply_note(notes[0])
    if options.model is None:
        options.model = json.loads(notes[0].read_text())["added"][0]["name"]
    time.sleep(SETTLE_S)
    schedule_faults(fleet, options.fault)
    calls_before = store_calls(fleet)
    before, begin = snapshot(fleet), time.monotonic()
    if options.idle_s:
        time.sleep(options.idle_s)
        load = None
    else:
        load = run_load(fleet, options)
    seconds = time.monotonic() - begin
    after = snapshot(fleet)
    return {"seconds": seconds, "load": load, "daemons": daemon_report(before, after, seconds),
            "engines": [demo.call_json("GET", f"http://{demo.HOST}:{entry['port']}/admin/stats")
                        for entry in fleet.processes if entry["kind"] == "engine" and usage_of(entry["pid"])],
            "gates": [counters_of(entry, "parsleytrack_") for entry in fleet.daemons()],
            "store_calls_before": calls_before, "store_calls_after": store_calls(fleet)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(demo.DEPLOYMENTS), default="givree")
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--keepers", type=int, default=3)
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--services", type=int, default=3)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--batch-weight", type=float)
    parser.add_argument("--model", help="default: the first model of the first release note")
    parser.add_argument("--idle-s", type=float, help="measure without load for so long")
    parser.add_argument("--fault", action="append", default=[], help="NAME:SIGNAL:SECONDS; repeatable")
    parser.add_argument("load", nargs="*", help="flags for parsleytrack load, after --")
    options = parser.parse_args()
    subprocess.run(["rm", "-rf", str(demo.DEMO)], check=True)
    demo.DEMO.mkdir(parents=True)
    fleet = Fleet(options)
    try:
        print(json.dumps(measure(fleet, options), indent=1))
        return 0
    except demo.DemoError as error:
        print(f"FAILED {error}", file=sys.stderr)
        return 1
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
