"""Stand-ins for the platform around the daemons: store, endpoints, clients, proxies.

They follow PROTOCOL.md and DEPLOY.md. Everything runs on loopback addresses, in one event loop; the
daemons are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent

# Bounds of the site files senvang-prod and nve-auction.
BOUNDS = {"retry_budget_ratio": 0.2}
CONTACT_S = 3.0
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Message:
    """Head and body of an HTTP/1.1 message."""

    def __init__(self, first, fields, body=b""):
        self.first, self.fields, self.body = first, fields, body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_message(reader):
    """A whole message with a Content-Length; raises IncompleteReadError if it ends early."""
    message = await read_head(reader)
    length = int(message.fields.get("content-length", "0"))
    message.body = await reader.readexactly(length) if length else b""
    return message


def answer(status, body=b"", fields=()):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return head.encode() + b"\r\n" + body


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def call(address, method, path, body=b"", fields=(), timeout=1.0):
    """One HTTP call on a connection of its own."""
    host, port = address.split(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields)
            writer.write(head.encode() + b"\r\n" + body)
            return await read_message(reader)
        finally:
            writer.close()


class Store:
    """The platform's store: keyed topics of its log. Loses nothing that it has acknowledged."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def put(self, topic, key, value):
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self.handle(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        if method == "POST" and path == "/log-append":
            size = struct.unpack(">I", request.body[:4])[0]
            content = request.body[4:4 + size]
            key = content[1:1 + content[0]].decode()
            await self.put(topic, key, content[1 + content[0]:])
            end = len(self.topics[topic])
            return self.json({"offset": end - 1, "end_offset": end})
        if method == "GET" and path == "/log-newest":
            newest = {}
            records = self.topics.get(topic, [])
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in newest.items() if value]
            return self.json({"items": items, "has_more": False, "end_offset": len(records)})
        if method == "GET" and path == "/log-read":
            start = int(query["from"])
            wait = int(query.get("wait_ms", "0")) / 1000
            try:
                async with asyncio.timeout(wait or 0.001), self.changed:
                    await self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start)
            except TimeoutError:
                pass
            records = self.topics.get(topic, [])
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return answer(200, body)
        return answer(404)

    @staticmethod
    def json(value):
        return answer(200, json.dumps(value).encode(), [("Content-Type", "application/json")])


class Proxy:
    """Forwards connections to an address; when cut, no byte passes in either direction."""

    def __init__(self, target):
        self.target = target
        self.last_read = 0.0  # when the daemon last sent a read of the configuration
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def cut(self):
        self.open.clear()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if b"GET /log-read?topic=keyed.op&" in data:
                    self.last_read = time.monotonic()
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        await self.open.wait()
        host, port = self.target.split(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except ConnectionError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, back), self.pump(there, writer))


class Run:
    """One request that an endpoint began to work on."""

    def __init__(self, at, endpoint, request):
        method, self.path, _ = request.first.split(" ")
        self.at, self.endpoint, self.method = at, endpoint, method
        self.id = request.fields.get("x-attempt-id", "")
        self.caller = request.fields.get("x-caller-service", "")


class Endpoint:
    """An application endpoint: `slots` requests at once, a queue, status reports, health."""

    def __init__(self, record, name, service, slots, work_s, body=b"ok", queue=64):
        self.record, self.name, self.service, self.slots = record, name, service, slots
        self.work_s, self.body, self.queue = work_s, body, queue
        self.id, self.born = f"i-{name}", int(time.time() * 1000)
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.arrivals = []
        self.control = ""  # address of the daemon's status report port
        self.beats = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=1024)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                work = asyncio.ensure_future(self.handle(request))
                writer.write(await work)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request):
        target = request.first.split(" ")[1]
        attempt = request.fields.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", attempt)]
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return answer(status, b"", [("X-Instance-Id", self.id)])
        if request.fields.get("x-expected-instance", self.id) != self.id:
            return answer(421, b"", echo + [("X-Instance-Id", self.id)])
        self.arrivals.append(Run(time.monotonic(), self.name, request))
        self.record(f"{self.name}: request {attempt} arrived, {target}")
        if self.free.locked() and self.waiting >= self.queue:
            return answer(503, b"", echo + [("X-Not-Executed", "1")])
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        try:
            self.runs.append(Run(time.monotonic(), self.name, request))
            self.record(f"{self.name}: runs {attempt}")
            await asyncio.sleep(self.work_s)
        finally:
            self.free.release()
        return answer(200, self.body, echo + [("X-Response-Signature", f"s.{attempt}.{self.id}")])

    def report(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}
        return json.dumps(body).encode()

    async def beat(self, log=False):
        """One status report; returns whether it was acknowledged."""
        try:
            got = await call(self.control, "POST", f"/Instances.Heartbeat/{self.id}", self.report(),
                             [("Content-Type", "application/json")])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        if log:
            self.record(f"{self.name}: reported {self.state}, status {got.status}")
        return 200 <= got.status < 300

    async def deregister(self):
        got = await call(self.control, "POST", f"/Instances.Deregister/{self.id}",
                         json.dumps({"born": self.born}).encode())
        self.record(f"{self.name}: deregistered, status {got.status}")
        return 200 <= got.status < 300

    def start_beats(self):
        async def loop():
            while True:
                await self.beat()
                await asyncio.sleep(HEARTBEAT_S)

        self.beats = asyncio.ensure_future(loop())


class Daemon:
    """One daemon process, its settings rendered from deploy/daemon.yaml.template."""

    def __init__(self, record, folder, name, zone, service, app_address, store_address,
                 memory_mb=260):
        self.record, self.folder, self.name = record, Path(folder), name
        self.zone, self.service = zone, service
        self.app_address, self.store_address, self.memory_mb = app_address, store_address, memory_mb
        self.process = None
        self.log = None  # a file or pipe for the log, instead of one in the folder
        ports = free_ports(6)
        self.outbound, self.inbound, self.ready, self.control = (
            f"{HOST}:{port}" for port in ports[:4])
        self.port_range = ports[4:]

    def fields(self):
        return {
            "node": self.name, "region": "region", "zone": self.zone, "ip": HOST,
            "listen.outbound": self.outbound, "listen.inbound": self.inbound,
            "listen.ready": self.ready, "listen.control": self.control,
            "port_range.0": self.port_range[0], "port_range.1": self.port_range[1],
            "platform.address": self.store_address, "service": self.service,
            "app_addr": self.app_address, "limits.memory_mb": self.memory_mb,
            "bounds.retry_budget_ratio": BOUNDS["retry_budget_ratio"],
        }

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["daemon"]
        fields = self.fields()
        text = re.sub(r"\{\{([a-z0-9_.]+)\}\}", lambda found: str(fields[found.group(1)]),
                      (ROOT / role["template"]).read_text())
        settings = self.folder / f"{self.name}.yaml"
        settings.write_text(text)
        words = [str(settings) if word.startswith("/etc/") else word
                 for word in role["run"].split(" ")]
        log = self.log or open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.record(f"{self.name}: started")

    def signal(self, number):
        self.record(f"{self.name}: sent {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process.poll() is None

    async def is_ready(self):
        try:
            return (await call(self.ready, "GET", "/readiness")).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Answer:
    """What a client saw of one request; status 0: the connection ended without an answer."""

    def __init__(self, attempt, status, body, sent_at, ended_at, fields):
        self.id, self.status, self.body = attempt, status, body
        self.sent_at, self.ended_at, self.fields = sent_at, ended_at, fields


class System:
    """Store, daemons and endpoints of one small deployment."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.daemons = []
        self.endpoints = []
        self.ids = itertools.count(1)

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for daemon in self.daemons:
            if daemon.process and daemon.is_running():
                daemon.process.kill()
                daemon.process.wait()
        for endpoint in self.endpoints:
            await endpoint.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add(self, name, zone, service, slots, work_s, store_address=None, memory_mb=260,
                  log=None, **options):
        endpoint = Endpoint(self.record, name, service, slots, work_s, **options)
        await endpoint.start()
        daemon = Daemon(self.record, self.folder, name, zone, service, endpoint.address,
                        store_address or self.store.address, memory_mb)
        daemon.log = log
        endpoint.control = daemon.control
        self.endpoints.append(endpoint)
        self.daemons.append(daemon)
        daemon.start()
        endpoint.start_beats()
        return daemon, endpoint

    async def configure(self, version, routes):
        resources = [
            {"resource_kind": "routes", "metadata": {"name": f"r{path.strip('/')}"},
             "spec": {"host": "site.example", "path_prefix": path, "kind": kind,
                      "timeout_ms": timeout_ms, "target_latency_ms": 2000, "priority": 0,
                      "service": service, "max_attempts": 2}}
            for path, (service, kind, timeout_ms) in routes.items()]
        services = sorted({service for service, _, _ in routes.values()})
        resources += [
            {"resource_kind": "services", "metadata": {"name": service},
             "spec": {"health_path": "/health", "max_connections": 1000, "protocol": "h1",
                      "tls": False}} for service in services]
        resources.append(
            {"resource_kind": "limits", "metadata": {},
             "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                      "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        value = json.dumps({"version": version, "resources": resources}).encode()
        await self.store.put("keyed.op", "config", value)
        self.record(f"operator: version {version} acknowledged: {routes}")
        return time.monotonic()

    async def request(self, daemon, method, path, deadline_ms, leave_after=None, body=b"",
                      read=None):
        """One client attempt on a new connection. leave_after: closes it after so many seconds."""
        attempt = f"{next(self.ids):06x}{os.getpid():06x}"
        sent = time.monotonic()
        self.record(f"client: {attempt} {method} {path} to {daemon.name}")

        def done(status, got=b"", fields=None):
            text = f"client: {attempt} got " + (f"status {status}" if status else "no answer")
            self.record(f"{text}, {len(got)} bytes, {fields or {}}")
            return Answer(attempt, status, got, sent, time.monotonic(), fields or {})

        host, port = daemon.outbound.split(":")
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return done(0)
        try:
            head = (f"{method} {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {attempt}\r\n"
                    f"X-Deadline-Ms: {deadline_ms}\r\n")
            if method != "GET":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            limit = leave_after if leave_after is not None else deadline_ms / 1000 + 1
            async with asyncio.timeout(limit):
                got = await read_message(reader)
            return done(got.status, got.body, got.fields)
        except TimeoutError:
            self.record(f"client: {attempt} leaves")
            return done(0)
        except (OSError, asyncio.IncompleteReadError):
            return done(0)
        finally:
            writer.close()

    async def steady(self, daemon, method, path, deadline_ms, rate, until, **options):
        """Clients that send at an even rate until the time; returns their tasks."""
        tasks = []
        due = time.monotonic()
        while due < until:
            tasks.append(asyncio.ensure_future(
                self.request(daemon, method, f"{path}{len(tasks)}", deadline_ms, **options)))
            due += 1 / rate
            await asyncio.sleep(due - time.monotonic())
        return tasks

    async def await_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all([await daemon.is_ready() for daemon in self.daemons]):
                self.record("platform: all daemons are ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the daemons did not become ready")

    async def await_served(self, daemon, method, path, deadline_ms=4000, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if (await self.request(daemon, method, path, deadline_ms)).status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRun(f"{path} was not served by {daemon.name}")


def run_case(folder, case):
    """Runs case(record, has_trouble) -> bool, whether the rule held; returns the exit code."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        async with asyncio.timeout(110):
            return await case(record, has_trouble)

    try:
        held = asyncio.run(limited())
    except (CannotRun, TimeoutError, OSError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
