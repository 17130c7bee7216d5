#!/usr/bin/env python3
"""Measures how long a release note takes from publication to being in force at every daemon.

Starts the log stand-in and some daemons in three data centres on loopback, publishes notes at
random daemons, and polls the revision of each daemon until it has the note. Prints one JSON object.
Log faults are injected through the stand-in's /faults endpoint.
"""

import argparse
import http.client
import json
import os
import random
import signal
import subprocess
import tempfile
import time

TOKEN = "measure-token"
PORTS_PER_DAEMON = 4
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
POLL_SECONDS = 0.005
TIMEOUT_SECONDS = 120


class Daemon:
    def __init__(self, number, first_port):
        self.name = f"d{number}"
        self.data_centre = "abc"[number % 3]
        self.ports = [first_port + PORTS_PER_DAEMON * number + i for i in range(PORTS_PER_DAEMON)]
        self.process = None
        self.connection = None
        self.highest = 0

    def write_settings(self, folder, log_port, seeds):
        data, peer, control, admin = self.ports
        with open(os.path.join(folder, self.name + ".yaml"), "w", encoding="utf-8") as file:
            file.write(
                f"id: {self.name}\nregion: r\ndataCentre: {self.data_centre}\n"
                f"dataAddress: 127.0.0.1:{data}\npeerAddress: 127.0.0.1:{peer}\n"
                f"controlAddress: 127.0.0.1:{control}\nadminAddress: 127.0.0.1:{admin}\n"
                f"adminToken: {TOKEN}\nlog: 127.0.0.1:{log_port}\nseeds: [{', '.join(seeds)}]\n"
            )

    def start(self, binary, folder):
        output = open(os.path.join(folder, self.name + ".out"), "ab")
        settings = os.path.join(folder, self.name + ".yaml")
        self.process = subprocess.Popen(
            [binary, "daemon", "--settings", settings], stdout=output, stderr=output
        )
        self.connection = None

    def stop(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def call(self, method, target, body=None):
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection("127.0.0.1", self.ports[3], timeout=30)
            self.connection.request(
                method, target, body, {"Authorization": "Bearer " + TOKEN}
            )
            answer = self.connection.getresponse()
            return answer.status, json.loads(answer.read())
        except (OSError, http.client.HTTPException, json.JSONDecodeError):
            self.connection = None
            return 0, {}

    def notes(self):
        return self.call("GET", "/v1/status")[1].get("notes", {})

    def revision(self):
        return self.notes().get("revision", 0)

    def cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def rss_megabytes(self):
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE_BYTES / 1e6


class Log:
    def __init__(self, bench, port):
        self.port = port
        self.process = subprocess.Popen(
            [bench, "log", "--listen", f"127.0.0.1:{port}"],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        )

    def call(self, method, target, body=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)
        connection.request(method, target, body)
        return json.loads(connection.getresponse().read() or b"{}")

    def set_faults(self, **faults):
        self.call("PUT", "/faults", json.dumps(faults))

    def stats(self):
        return self.call("GET", "/stats")


class Measurement:
    def __init__(self, arguments, folder):
        self.arguments = arguments
        self.folder = folder
        self.random = random.Random(arguments.seed)
        self.reverts = 0
        self.log = Log(os.path.join(arguments.bin, "fuchsiadock-bench"), arguments.port)
        self.daemons = [Daemon(i, arguments.port + 10) for i in range(arguments.daemons)]
        seeds = [f"127.0.0.1:{d.ports[2]}" for d in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.write_settings(folder, arguments.port, seeds)

    def start(self, daemon):
        daemon.start(os.path.join(self.arguments.bin, "fuchsiadock"), self.folder)

    def wait_for(self, revision, start):
        """Seconds from the start until each daemon has the revision."""
        waiting = list(self.daemons)
        times = []
        while waiting:
            for daemon in list(waiting):
                notes = daemon.notes()
                if notes.get("hasConfig") and notes["revision"] >= revision:
                    times.append(time.monotonic() - start)
                    waiting.remove(daemon)
            if time.monotonic() - start > TIMEOUT_SECONDS:
                raise SystemExit(f"revision {revision} not in force at {[d.name for d in waiting]}")
            time.sleep(POLL_SECONDS)
        return times

    def publish(self, number, base):
        """Publishes until the outcome is known; returns the revision."""
        text = f"id: n{number}\nbase: {base}\nadded: {{services: [s{number}]}}\n"
        while True:
            status, body = self.random.choice(self.daemons).call("POST", "/v1/notes", text)
            if status in (200, 409):
                assert body["outcome"] == "accepted", body
                return body["revision"]
            time.sleep(0.2)

    def check_reverts(self, revision):
        """Counts daemons whose revision is below one that was in force at every daemon."""
        for daemon in self.daemons:
            notes = daemon.notes()
            if notes.get("hasConfig") and notes["revision"] < revision:
                self.reverts += 1

    def measure_series(self, first, count, before_each=lambda: None):
        """Publishes notes in turn; summarizes the times until the answer and until in force."""
        answers, times = [], []
        revision = self.daemons[0].revision()
        for number in range(first, first + count):
            before_each()
            start = time.monotonic()
            revision = self.publish(number, revision)
            answers.append(time.monotonic() - start)
            times += self.wait_for(revision, start)
        return {"toAnswer": summary(answers), "inForce": summary(times)}

    def restart_in_turn(self, revision):
        start = time.monotonic()
        for daemon in self.daemons:
            daemon.stop()
            self.start(daemon)
            while not daemon.notes().get("hasConfig"):
                time.sleep(POLL_SECONDS)
            self.check_reverts(revision)
        self.wait_for(revision, start)
        return {"seconds": round(time.monotonic() - start, 2), "reverts": self.reverts}

    def measure_outage(self, number):
        """Publishes a note while the log is down, and again once it is up."""
        base = self.daemons[0].revision()
        self.log.set_faults(down=True)
        daemon = self.daemons[0]
        text = f"id: n{number}\nbase: {base}\nadded: {{services: [s{number}]}}\n"
        status, _ = daemon.call("POST", "/v1/notes", text)
        self.check_reverts(base)
        self.log.set_faults(down=False)
        start = time.monotonic()
        revision = self.publish(number, base)
        return {"statusWhileDown": status, "inForce": summary(self.wait_for(revision, start))}

    def restart_all(self, revision):
        reads = self.log.stats()
        start = time.monotonic()
        for daemon in self.daemons:
            daemon.stop()
        for daemon in self.daemons:
            self.start(daemon)
        times = self.wait_for(revision, start)
        return {"inForce": summary(times), "logBefore": reads, "logAfter": self.log.stats()}

    def measure_idle(self, seconds):
        cpu = [d.cpu_seconds() for d in self.daemons]
        before = self.log.stats()
        time.sleep(seconds)
        used = [(d.cpu_seconds() - c) / seconds * 100 for d, c in zip(self.daemons, cpu)]
        return {
            "cpuPercent": summary(used),
            "rssMegabytes": summary([d.rss_megabytes() for d in self.daemons]),
            "logBefore": before,
            "logAfter": self.log.stats(),
            "seconds": seconds,
        }

    def run(self):
        start = time.monotonic()
        for daemon in self.daemons:
            self.start(daemon)
        result = {"daemons": len(self.daemons), "seed": self.arguments.seed}
        result["start"] = summary(self.wait_for(0, start))
        count = self.arguments.notes
        result["calm"] = self.measure_series(0, count)
        result["idle"] = self.measure_idle(10)
        result["answersLost"] = self.measure_series(
            count, max(3, count // 4), lambda: self.log.set_faults(loseAppendAnswers=1)
        )
        result["outage"] = self.measure_outage(10_000)
        revision = max(d.revision() for d in self.daemons)
        result["restartAll"] = self.restart_all(revision)
        result["restartInTurn"] = self.restart_in_turn(revision)
        return result

    def stop(self):
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.stop()
        self.log.process.kill()
        self.log.process.wait()


def summary(values):
    ordered = sorted(values)
    pick = lambda share: round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)
    return {"n": len(ordered), "p50": pick(0.5), "p99": pick(0.99), "max": round(ordered[-1], 3)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin", help="folder of the programs")
    parser.add_argument("--daemons", type=int, default=12)
    parser.add_argument("--notes", type=int, default=20)
    parser.add_argument("--port", type=int, default=25000, help="first port used")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        measurement = Measurement(arguments, folder)
        try:
            time.sleep(0.3)
            print(json.dumps(measurement.run(), indent=1))
        finally:
            measurement.stop()


if __name__ == "__main__":
    main()
