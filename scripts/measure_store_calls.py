#!/usr/bin/env python3
"""Counts the calls that daemons make to the store while nothing happens, and
times how a release note comes into force.

    scripts/measure_store_calls.py --nodes 9 --seconds 30 [--lose 0.15]
"""

import argparse
import base64
import json
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

BUILD = Path(__file__).resolve().parent.parent / "build"
STAND_INS = BUILD / "tests" / "stand_ins"
ENGINES = 6
START_LIMIT_S = 30
RELEASE_LIMIT_S = 60


def free_port():
    """Returns a port that is free over TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def call(port, path, body=None, method=None):
    """Returns status and JSON of a call."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=data, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, json.loads(answer.read() or b"{}")
    except urllib.error.HTTPError as failure:
        return failure.code, json.loads(failure.read() or b"{}")


def start_stand_in(name, arguments=()):
    """Returns the process and the port of a stand-in."""
    process = subprocess.Popen(
        [STAND_INS / name / name, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    return process, int(process.stdout.readline().strip().rsplit(":", 1)[1])


def node_settings(index, ports, store_port):
    """Returns the settings of one daemon."""
    return {
        "node": {
            "id": f"n{index}",
            "region": "qc-east",
            "availability_zone": f"qc-east-{'abc'[index % 3]}",
        },
        "listen": {
            "host": "127.0.0.1",
            "http_port": ports[index][0],
            "peer_port": ports[index][1],
        },
        "seeds": [f"127.0.0.1:{peer}" for _, peer in ports[:3]],
        "store": {"addresses": [f"127.0.0.1:{store_port}"]},
        "services": [{"name": "rota-llm", "kind": "engine", "slots": 8}],
    }


def put_instance(store_port, number, port):
    """Lists an engine in the store."""
    record = {
        "host": "127.0.0.1",
        "port": port,
        "availability_zone": "qc-east-a",
        "state": "live",
    }
    key = f"instances/rota-llm/rota-llm-{number}".encode()
    call(
        store_port,
        "/v3/kv/put",
        {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(json.dumps(record).encode()).decode(),
        },
    )


def wait_until(limit_s, condition):
    """Returns the seconds until a condition held, or None."""
    begin = time.monotonic()
    while time.monotonic() - begin < limit_s:
        try:
            if condition():
                return time.monotonic() - begin
        except (urllib.error.URLError, OSError):
            pass
        time.sleep(0.05)
    return None


def apply_release(http_ports, version, model_version):
    """Applies a note; prints how long it took to be in force."""
    entry = {
        "kind": "model",
        "name": "rota-llm",
        "version": model_version,
        "service": "rota-llm",
    }
    part = "added" if version == 1 else "changed"
    note = {"note_id": f"note-{version}", part: [entry]}
    begin = time.monotonic()
    status = 0
    while status != 200 and time.monotonic() - begin < RELEASE_LIMIT_S:
        target = f"/v1/release?expected_version={version - 1}"
        status, answer = call(http_ports[0], target, note, "PUT")
    accepted = time.monotonic() - begin
    everywhere = wait_until(
        RELEASE_LIMIT_S,
        lambda: all(
            call(port, "/v1/release")[1]["version"] >= version
            for port in http_ports
        ),
    )
    engines = wait_until(
        RELEASE_LIMIT_S,
        lambda: not call(http_ports[0], "/v1/release/status")[1]["engines"],
    )
    print(
        f"release {version}: status {status}, accepted after {accepted:.2f} s, "
        f"on all nodes {everywhere} s later, engines in line {engines} s later"
    )


def measure(options, folder, processes):
    """Runs the measurement."""
    store, store_port = start_stand_in("store_stand_in")
    processes.append(store)
    for number in range(ENGINES):
        engine, port = start_stand_in("engine_stand_in")
        processes.append(engine)
        put_instance(store_port, number, port)
    ports = [(free_port(), free_port()) for _ in range(options.nodes)]
    for index in range(options.nodes):
        path = folder / f"n{index}.json"
        path.write_text(json.dumps(node_settings(index, ports, store_port)))
        with open(folder / f"n{index}.log", "w", encoding="utf-8") as log:
            processes.append(
                subprocess.Popen(
                    [BUILD / "src/daemon/parsleytrackd", f"--settings={path}"],
                    stderr=log,
                )
            )
    http_ports = [http for http, _ in ports]
    ready = wait_until(
        START_LIMIT_S,
        lambda: all(
            len(call(port, "/v1/nodes")[1]["nodes"]) == options.nodes
            for port in http_ports
        ),
    )
    print(f"nodes know each other after {ready} s")
    time.sleep(10)
    if options.lose:
        lost = {"lose_answer_fraction": options.lose}
        print("switch:", call(store_port, "/admin/switch", lost)[0])
    for version in (1, 2, 3):
        apply_release(http_ports, version, str(version))
    if options.lose:
        call(store_port, "/admin/switch", {"lose_answer_fraction": 0})
    time.sleep(20)
    before = call(store_port, "/admin/calls")[1]
    time.sleep(options.seconds)
    after = call(store_port, "/admin/calls")[1]
    rates = {
        kind: round((after[kind] - before.get(kind, 0)) / options.seconds, 2)
        for kind in after
        if kind != "waiting_watches"
    }
    print(f"{options.nodes} nodes idle for {options.seconds} s")
    print("calls a second:", json.dumps(rates))
    print("waiting watches:", after["waiting_watches"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--lose", type=float, default=0)
    parser.add_argument("--keep", help="folder for settings and logs")
    options = parser.parse_args()
    processes = []
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(options.keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            measure(options, folder, processes)
        finally:
            for process in processes:
                process.kill()
            for process in processes:
                process.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
