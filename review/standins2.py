"""Stand-ins for the platform's store, backend servers and clients, as the users' pages describe
them, and the means to start daemons with the command and the settings template of the deploy file.

Everything listens on 127.0.0.1. One asyncio loop runs all stand-ins; daemons are processes.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"

BOUNDS = {"grace_s": 6, "contact_ms": 3000, "drain_ms": 2000, "config_apply_ms": 2000,
          "retry_budget_ratio": 0.2}
MEMORY_MB = 260
HEARTBEAT_S = 1.5


def claim_port_range():
    """A range of ports below those that the system gives to connections. Its first port is held, so
    that cases that run at once do not take each other's."""
    for first in range(12000, 32000, 4000):
        guard = socket.socket()
        try:
            guard.bind((HOST, first))
            guard.listen()
            return guard, iter(range(first + 1, first + 4000))
        except OSError:
            guard.close()
    raise RuntimeError("no range of ports is free")


port_guard, port_range = None, None


def free_ports(count):
    """Ports that are free for TCP and UDP; each is given out once."""
    global port_guard, port_range
    if port_range is None:
        port_guard, port_range = claim_port_range()
    ports = []
    while len(ports) < count:
        port = next(port_range)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as one:
                    one.bind((HOST, port))
        except OSError:
            continue
        ports.append(port)
    return ports


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name):
        return self.headers.get(name, "")


async def read_message(reader, is_response=False):
    """One HTTP/1.1 message with a length, with chunks or, for a response, until the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower().endswith("chunked"):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            body += part
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_response:
        body = await reader.read()
    else:
        body = b""
    return Message(lines[0], headers, body)


def response(status, headers=(), body=b"", close=False):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def http_call(port, method, path, headers=(), body=b"", timeout=1.0):
    """One call on a new connection; returns its answer, or raises."""

    async def call():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            answer = await read_message(reader, True)
            return int(answer.first.split()[1]), answer
        finally:
            writer.close()

    return await asyncio.wait_for(call(), timeout)


class Server:
    """An HTTP/1.1 server; serve() of the subclass answers one request after the other."""

    server = None

    async def listen(self, port=0):
        self.connections = set()
        self.server = await asyncio.start_server(self._connected, HOST, port, limit=1 << 20,
                                                 backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _connected(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve(await read_message(reader), reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        if self.server is None:
            return
        self.server.close()
        for writer in list(self.connections):
            writer.close()


class Store(Server):
    """The platform's log: appends, conditional appends, reads that wait, newest records of keys."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.producers = {}

    def records(self, topic, part):
        return self.topics.setdefault((topic, part), [])

    def put(self, topic, key, value):
        key = key.encode()
        self.append(topic, 0, [bytes([len(key)]) + key + value])

    def append(self, topic, part, contents):
        records = self.records(topic, part)
        offset = len(records)
        records.extend(contents)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    async def serve(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        topic, part = arguments.get("topic", ""), int(arguments.get("part", 0))
        await asyncio.sleep(0.004)
        if path == "/log-append":
            writer.write(self.on_append(topic, part, arguments, request.body))
        elif path == "/log-read":
            writer.write(await self.on_read(topic, part, arguments))
        elif path == "/log-newest":
            writer.write(self.on_newest(topic, part))
        else:
            writer.write(response(404))
        return True

    def on_append(self, topic, part, arguments, body):
        contents = []
        while body:
            size = int.from_bytes(body[:4], "big")
            contents.append(body[4:4 + size])
            body = body[4 + size:]
        records = self.records(topic, part)
        producer = arguments.get("producer")
        if producer:
            key = (topic, part, producer)
            sequence = int(arguments.get("sequence", 0))
            last = self.producers.get(key, {})
            if sequence in last:
                return last[sequence]
        if "at" in arguments and int(arguments["at"]) != len(records):
            return self.answer(412, {"end_offset": len(records)})
        offset = self.append(topic, part, contents)
        answer = self.answer(200, {"offset": offset, "end_offset": offset + len(contents)})
        if producer:
            self.producers.setdefault(key, {})[sequence] = answer
        return answer

    async def on_read(self, topic, part, arguments):
        start = int(arguments.get("from", 0))
        end = time.monotonic() + int(arguments.get("wait_ms", 0)) / 1000
        while start >= len(self.records(topic, part)) and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        records = self.records(topic, part)
        body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for content in records[start:]:
            body += len(content).to_bytes(4, "big") + content
        return response(200, body=body)

    def on_newest(self, topic, part):
        newest = {}
        for offset, content in enumerate(self.records(topic, part)):
            key = content[1:1 + content[0]]
            newest[key] = (offset, content[1 + content[0]:])
        items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in newest.items() if value]
        return self.answer(200, {"items": items, "has_more": False,
                                 "end_offset": len(self.records(topic, part))})

    @staticmethod
    def answer(status, fields):
        return response(status, [("Content-Type", "application/json")],
                        json.dumps(fields).encode())


class Record:
    """What was sent, answered and run; one line an event in record.txt."""

    def __init__(self, path, start=None):
        self.start = time.monotonic() if start is None else start
        self.file = open(path, "w", encoding="utf-8")
        self.runs = {}      # attempt id -> [(time, server, machine)]
        self.answers = {}   # attempt id -> status

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def merge(self, path):
        """Takes over what the clients of another process have recorded."""
        for text in open(path, encoding="utf-8"):
            words = text.split()
            if words[1] == "answer":
                self.answers[words[2]] = int(words[3])
            self.file.write(text)

    def ran(self, attempt, server):
        self.runs.setdefault(attempt, []).append((self.now(), server))
        self.line(f"run {attempt} at {server}")

    def answered(self, attempt, status, detail=""):
        self.answers[attempt] = status
        self.line(f"answer {attempt} {status} {detail}")


class Backend(Server):
    """One boot of a backend server, with its heartbeats to the daemon beside it."""

    def __init__(self, record, service, zone, port, heartbeat_port, slots, work, rng,
                 instance=None, shed_share=0.0, shed_delay=0.0):
        self.record, self.service, self.zone = record, service, zone
        self.wanted_port, self.heartbeat_port = port, heartbeat_port
        self.slots, self.work, self.rng = slots, work, rng
        self.id = instance or "i-%08x" % rng.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.shed_share, self.shed_delay = shed_share, shed_delay
        self.running = 0
        self.acked_leaving = None
        self.beats = None
        self.arrivals = []  # (time, attempt id)

    async def start(self):
        await self.listen(self.wanted_port)
        self.beats = asyncio.create_task(self._beat())

    def beat_body(self, state=None, sequence=None):
        return json.dumps({"service": self.service, "address": f"{HOST}:{self.port}",
                           "zone": self.zone, "version": "v1", "slots": self.slots,
                           "state": state or self.state, "cold_remaining_ms": 0,
                           "sequence": self.sequence if sequence is None else sequence,
                           "born": self.born}).encode()

    async def post_beat(self, body):
        status, _ = await http_call(self.heartbeat_port, "POST", f"/Instances.Heartbeat/{self.id}",
                                    [("Host", "x"), ("Content-Type", "application/json")], body)
        return status

    async def send_beat(self):
        self.sequence += 1
        try:
            return await self.post_beat(self.beat_body())
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def _beat(self):
        while True:
            if await self.send_beat() == 200:
                await asyncio.sleep(HEARTBEAT_S)
            else:
                await asyncio.sleep(0.2)

    async def leave(self):
        """Reports that it drains until that is acknowledged; returns whether it was."""
        self.state = "draining"
        for _ in range(10):
            if await self.send_beat() == 200:
                self.acked_leaving = self.record.now()
                self.record.line(f"leaving {self.id} acknowledged")
                return True
            await asyncio.sleep(0.1)
        return False

    async def deregister(self):
        body = json.dumps({"born": self.born}).encode()
        try:
            status, _ = await http_call(
                self.heartbeat_port, "POST", f"/Instances.Deregister/{self.id}",
                [("Host", "x"), ("Content-Type", "application/json")], body)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        self.record.line(f"deregister {self.id} answered {status}")
        return status == 200

    def end(self):
        if self.beats:
            self.beats.cancel()
        self.stop()

    async def serve(self, request, reader, writer):
        attempt = request.header("x-attempt-id")
        echo = [("X-Attempt-Id", attempt)]
        expected = request.header("x-expected-instance")
        if expected and expected != self.id:
            writer.write(response(421, echo + [("X-Instance-Id", self.id)]))
            return True
        if not attempt:
            writer.write(response(400, [("X-Not-Executed", "1")]))
            return True
        self.arrivals.append((self.record.now(), attempt))
        if self.running >= self.slots or self.rng.random() < self.shed_share:
            self.record.line(f"shed {attempt} at {self.id}")
            await asyncio.sleep(self.shed_delay)
            writer.write(response(503, echo + [("X-Not-Executed", "1")]))
            return True
        self.record.ran(attempt, self.id)
        self.running += 1
        try:
            limit = int(request.header("x-deadline-ms") or 60000) / 1000
            took = self.work(self.rng)
            gone = asyncio.create_task(reader.read(1)) if reader._buffer == b"" else None
            done, _ = await asyncio.wait(
                {asyncio.create_task(asyncio.sleep(min(took, limit)))} | ({gone} if gone else set()),
                return_when=asyncio.FIRST_COMPLETED)
            if gone and gone in done:
                return False  # the connection was closed: the request is dropped
            if gone:
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
        finally:
            self.running -= 1
        if took > limit:
            writer.write(response(504, echo + [("X-Response-Signature", "late")]))
            return True
        body = f"{self.id} {attempt}\n".encode()
        writer.write(response(200, echo + [("X-Response-Signature", f"{len(body):x}.{attempt}")],
                              body, close=self.state == "draining"))
        return self.state != "draining"


class Machine:
    """A machine of the platform: a daemon process with its settings, and the server beside it."""

    def __init__(self, folder, name, zone, service, store_port):
        self.folder, self.name, self.zone, self.service = folder, name, zone, service
        ports = free_ports(7)
        (self.outbound, self.inbound, self.ready, self.control, self.range0, self.range1,
         self.app) = ports
        self.store_port = store_port
        self.process = None
        self.backend = None
        self.starts = 0

    def fields(self):
        return {"node": self.name, "region": "vn-south", "zone": self.zone, "ip": HOST,
                "service": self.service, "app_addr": f"{HOST}:{self.app}",
                "port_range": [self.range0, self.range1],
                "listen": {"inbound": f"{HOST}:{self.inbound}",
                           "outbound": f"{HOST}:{self.outbound}",
                           "ready": f"{HOST}:{self.ready}", "control": f"{HOST}:{self.control}"},
                "platform": {"address": f"{HOST}:{self.store_port}"},
                "limits": {"memory_mb": MEMORY_MB}, "bounds": BOUNDS}

    def start(self):
        """Starts the daemon as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["daemon"]
        settings = self.folder / f"{self.name}.yaml"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), self.fields()))
        words = deploy["run"].replace("/etc/fuchsiadock/node.toml", str(settings)).split()
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder)}
        for key, text in deploy.get("env", {}).items():
            environment[key] = render(text, self.fields())
        self.starts += 1
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def exited(self, within):
        end = time.monotonic() + within
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    async def terminate(self):
        """SIGTERM, and SIGKILL after the grace period, as the platform does."""
        self.signal(signal.SIGTERM)
        if await self.exited(BOUNDS["grace_s"]) is None:
            self.signal(signal.SIGKILL)
            await self.exited(2)

    async def is_ready(self):
        try:
            status, _ = await http_call(self.ready, "GET", "/readiness", [("Host", "x")])
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, within=10):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


def lookup(fields, path):
    value = fields
    for name in path.split("."):
        value = value[int(name)] if isinstance(value, list) else value.get(name)
        if value is None:
            return None
    return value


def render(template, fields):
    """The parts of the platform's template language that the deploy file uses."""

    def section(match):
        value = lookup(fields, match[1])
        return match[2] if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: "" if (v := lookup(fields, m[1])) is None else str(v), text)


def desired_state(version, routes, services):
    """op/config: routes are tuples of name, host, prefix, kind, service, timeout and priority."""
    resources = []
    for name, host, prefix, kind, service, timeout_ms, priority in routes:
        resources.append({"resource_kind": "routes", "metadata": {"name": name},
                          "spec": {"host": host, "path_prefix": prefix, "kind": kind,
                                   "timeout_ms": timeout_ms, "target_latency_ms": 1500,
                                   "priority": priority, "service": service, "max_attempts": 2}})
    for name in services:
        resources.append({"resource_kind": "services", "metadata": {"name": name},
                          "spec": {"health_path": "/health", "max_connections": 1084,
                                   "protocol": "h1", "tls": False}})
    resources.append({"resource_kind": "limits", "metadata": {},
                      "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
    return json.dumps({"version": version, "resources": resources}).encode()


class Fleet:
    """Store, machines and their servers; ends all that it started."""

    def __init__(self, record, rng):
        self.record, self.rng = record, rng
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fuchsiadock-review-"))
        self.store = Store()
        self.machines = []

    async def start(self):
        await self.store.listen()

    def add(self, name, zone, service):
        machine = Machine(self.folder, name, zone, service, self.store.port)
        self.machines.append(machine)
        machine.start()
        return machine

    async def add_backend(self, machine, slots, work, **options):
        backend = Backend(self.record, machine.service, machine.zone, machine.app, machine.control,
                          slots, work, self.rng, **options)
        machine.backend = backend
        await backend.start()
        return backend

    def end(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        for machine in self.machines:
            if machine.backend:
                machine.backend.end()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def send_attempt(record, machine, method, host, path, deadline_ms, rng, body=b""):
    """One client attempt on a new connection; returns its id, status (0: none) and Retry-After."""
    attempt = "%016x" % rng.getrandbits(64)
    record.line(f"send {attempt} to {machine.name}")
    headers = [("Host", host), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", str(deadline_ms))]
    try:
        status, answer = await http_call(machine.outbound, method, path, headers, body,
                                         deadline_ms / 1000)
        reason = answer.header("fuchsiadock-reason")
        record.answered(attempt, status, reason)
        try:
            wait = float(answer.header("retry-after") or 0)
        except ValueError:
            wait = 0
        return attempt, status, wait
    except asyncio.TimeoutError:
        record.answered(attempt, 0, "gave up")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        record.answered(attempt, 0, type(error).__name__)
    return attempt, 0, 0


async def client_request(record, machine, method, host, path, budget_ms, rng, retries=1, body=b""):
    """A client's request: sent again after a promise that it has not run, as the pages say."""
    end = time.monotonic() + budget_ms / 1000
    status = 0
    for _ in range(retries + 1):
        left = int((end - time.monotonic()) * 1000)
        if left < 50:
            break
        _, status, wait = await send_attempt(record, machine, method, host, path, left, rng, body)
        if status not in (408, 421, 429, 503):
            break
        await asyncio.sleep(min(wait, max(0, end - time.monotonic()) / 3))
    return status


def run_case(play, judge, path):
    """Plays a case, for less than 120 s, and judges its record; 2 if it could not run."""
    record = Record(path)

    async def bounded():
        # Connections that are open at the end are cancelled, which the loop would print.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(play(record), 117)

    try:
        result = asyncio.run(bounded())
    except Exception as error:  # pylint: disable=broad-except
        record.line(f"failed: {error!r}")
        print(f"failed: {error!r}")
        result = 2
    if result is None:
        result = judge(record)
    record.file.close()
    return result
