#!/usr/bin/env python3
"""Checks on real processes that requests run at most once, and never after the answer "not-run".

Starts the log stand-in, four daemons of one service with a backend server each (threads of this
program that count their runs), and callers that repeat each request under one key through all
daemons. Meanwhile daemons are paused until keys have expired, killed and restarted.

  scripts/at-most-once.py [--port 20000] [--seconds 30] [--seed 1] [--bin build/bin]
"""

import argparse
import collections
import http.client
import http.server
import json
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

DAEMONS = 4
KEY_LIFETIME_MS = 4000
PAUSE_SECONDS = 5  # longer than KEY_LIFETIME_MS, so that every key expires
CALLERS = 12
REPEATS = 8
TOKEN = "check-token"

NOTE = """
id: check-1
base: 0
added:
  services: [redeem]
  classes:
    - {name: redemption, service: redeem, match: {method: POST, path: /redemptions}, rank: 0,
       idempotent: false, deadline: 1000ms}
  customers:
    - {name: north, share: 1, limit: 200}
  retries: []
"""


class RunRecord:
    """Counts the runs of each request and records the answers that its callers received."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = collections.Counter()
        self.answers = collections.defaultdict(list)

    def add_run(self, name):
        with self.lock:
            self.runs[name] += 1

    def add_answer(self, name, outcome, body):
        with self.lock:
            self.answers[name].append((outcome, body))

    def violations(self):
        for name, answers in self.answers.items():
            runs = self.runs[name]
            if runs > 1:
                yield f"{name} ran {runs} times"
            for outcome, body in answers:
                if outcome == "not-run" and runs > 0:
                    yield f"{name} ran, but a caller was answered not-run"
                if outcome == "complete" and (runs == 0 or body != f"done {name}"):
                    yield f"{name} got the answer {body!r} after {runs} runs"


def start_backend(record, seed):
    """Starts a backend server that counts runs, takes 5 to 100 ms and drops 5% of its answers.

    Returns its port.
    """
    rng = random.Random(seed)

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):
            name = self.rfile.read(int(self.headers["Content-Length"])).decode()
            record.add_run(name)
            time.sleep(rng.uniform(0.005, 0.1))
            body = f"done {name}".encode()
            if rng.random() < 0.05:
                self.close_connection = True
                return
            try:
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
            except ConnectionError:  # its daemon was killed
                self.close_connection = True

        def log_message(self, *_):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_address[1]


def call(port, method, path, headers=None, body=b"", timeout=2.0):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer, answer.read().decode()
    finally:
        connection.close()


class System:
    def __init__(self, options, work, record):
        self.options, self.work = options, pathlib.Path(work)
        self.processes = {}
        self.stop_requested = threading.Event()
        self.backends = [start_backend(record, options.seed * 100 + i) for i in range(DAEMONS)]
        (self.work / "token").write_text(TOKEN + "\n")
        (self.work / "note.yaml").write_text(NOTE)
        self.start("log", "fuchsiadock-bench", "log", "--listen", f"127.0.0.1:{options.port}")
        for i in range(DAEMONS):
            self.start_daemon(i)

    def port(self, daemon, offset=0):
        return self.options.port + 10 * (daemon + 1) + offset

    def start(self, name, program, *arguments):
        command = [str(pathlib.Path(self.options.bin) / program), *arguments]
        with open(self.work / f"{name}.out", "ab") as out:
            self.processes[name] = subprocess.Popen(command, stdout=out, stderr=out)

    def start_daemon(self, i):
        seeds = ", ".join(f"127.0.0.1:{self.port(d, 2)}" for d in range(DAEMONS))
        settings = {
            "id": f"redeem-{i}", "region": "south", "dataCentre": "ab"[i % 2],
            "dataAddress": f"127.0.0.1:{self.port(i)}",
            "peerAddress": f"127.0.0.1:{self.port(i, 1)}",
            "controlAddress": f"127.0.0.1:{self.port(i, 2)}",
            "adminAddress": f"127.0.0.1:{self.port(i, 3)}",
            "adminToken": TOKEN, "seeds": f"[{seeds}]", "log": f"127.0.0.1:{self.options.port}",
            "keyLifetimeMs": KEY_LIFETIME_MS}
        path = self.work / f"daemon-{i}.yaml"
        path.write_text("".join(f"{key}: {value}\n" for key, value in settings.items()))
        self.start(f"daemon-{i}", "fuchsiadock", "daemon", "--settings", str(path))

    def send_heartbeats(self, i):
        body = json.dumps({"service": "redeem", "port": self.backends[i], "slots": 8}).encode()
        while not self.stop_requested.wait(0.5):
            try:
                call(self.port(i), "PUT", "/.fuchsiadock/backend", body=body)
            except OSError:
                pass

    def publish(self):
        admin = f"127.0.0.1:{self.port(0, 3)}"
        command = [str(pathlib.Path(self.options.bin) / "fuchsiadock"), "note", "publish",
                   str(self.work / "note.yaml"), "--admin", admin, "--token-file",
                   str(self.work / "token")]
        for _ in range(60):
            done = subprocess.run(command, capture_output=True, text=True, check=False)
            if done.returncode == 0:
                return
            time.sleep(0.25)
        sys.exit(f"the note was not accepted: {done.stdout}{done.stderr}")

    def inject_faults(self, rng, until, counts):
        while time.monotonic() < until:
            i = rng.randrange(DAEMONS)
            process = self.processes[f"daemon-{i}"]
            if rng.random() < 0.5:
                counts["paused"] += 1
                process.send_signal(signal.SIGSTOP)
                time.sleep(rng.choice([0.5, 1.5, PAUSE_SECONDS]))
                process.send_signal(signal.SIGCONT)
            else:
                counts["killed"] += 1
                process.kill()
                process.wait()
                time.sleep(rng.uniform(0.0, 0.5))
                self.start_daemon(i)
            time.sleep(rng.uniform(0.2, 1.0))

    def stop(self):
        self.stop_requested.set()
        for process in self.processes.values():
            process.kill()
            process.wait()


def caller(system, record, number, until, seed):
    rng = random.Random(seed)
    serial = 0
    while time.monotonic() < until:
        serial += 1
        name = f"request-{number}-{serial}"
        try:
            answer, _ = call(system.port(rng.randrange(DAEMONS)), "POST", "/redeem/redemptions",
                             {"Fuchsiadock-Customer": "north"}, name.encode())
        except OSError:
            continue
        key = answer.getheader("Fuchsiadock-Next-Key")
        if not key:
            time.sleep(0.1)
            continue
        headers = {"Fuchsiadock-Customer": "north", "Idempotency-Key": key,
                   "Fuchsiadock-Deadline-Ms": "1000"}
        for _ in range(rng.randrange(1, REPEATS)):
            port = system.port(rng.randrange(DAEMONS))
            try:
                answer, body = call(port, "POST", "/redeem/redemptions", headers, name.encode(),
                                    rng.choice([0.05, 1.5]))
                record.add_answer(name, answer.getheader("Fuchsiadock-Outcome"), body)
            except (OSError, http.client.HTTPException):
                record.add_answer(name, "lost", "")
            time.sleep(rng.choice([0.0, 0.05, 0.5, 2.0 * rng.random()]))


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--port", type=int, default=20000)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--bin", default="build/bin")
    options = parser.parse_args()
    record, fault_counts = RunRecord(), collections.Counter()
    with tempfile.TemporaryDirectory() as work:
        system = System(options, work, record)
        try:
            system.publish()
            for i in range(DAEMONS):
                threading.Thread(target=system.send_heartbeats, args=(i,), daemon=True).start()
            time.sleep(2)
            until = time.monotonic() + options.seconds
            threads = [threading.Thread(target=caller, args=(system, record, n, until,
                                                             options.seed * 1000 + n))
                       for n in range(CALLERS)]
            for thread in threads:
                thread.start()
            system.inject_faults(random.Random(options.seed), until, fault_counts)
            for thread in threads:
                thread.join()
            # Requests still in flight may run late; their runs must count as well.
            time.sleep(PAUSE_SECONDS)
        finally:
            system.stop()
    outcomes = collections.Counter(outcome for answers in record.answers.values()
                                   for outcome, _ in answers)
    print(f"requests {len(record.answers)}, runs {sum(record.runs.values())}, "
          f"answers {dict(outcomes)}, daemons {dict(fault_counts)}")
    violations = sorted(set(record.violations()))
    for line in violations:
        print("BROKEN:", line)
    if outcomes["complete"] == 0:
        print("BROKEN: no request was answered")
    return 1 if violations or outcomes["complete"] == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
