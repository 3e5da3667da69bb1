"""A small deployment on loopback for the scripts beside this folder: the platform's store, servers and clients as the
users' pages describe them, and boxes of the project as separate processes. Only Python's standard library is used."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ADDRESS = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the site file sites/censo-aves.toml, as a box finds them in its settings.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "stretch_max_ms": 5000,
    "revoke_strict": True, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
    "recover_s": 12, "pass_ms": 120, "retry_after_s": 5.6,
}
ZONES = {"hall-cordoba": "ar-centro", "hall-rosario": "ar-centro", "hall-santafe": "ar-centro"}
HEARTBEAT_S = 1.2
API_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class CaseCouldNotRun(Exception):
    pass


@dataclass
class Message:
    """The head and body of a request or an answer."""

    first_line: str
    headers: dict
    body: bytes = b""
    # Whether the whole message arrived, by its length, its last chunk or an orderly close.
    is_whole: bool = True


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_request(reader):
    request = await read_head(reader)
    if request.headers.get("transfer-encoding", "").lower() == "chunked":
        request.body = await read_chunks(reader)
    elif "content-length" in request.headers:
        request.body = await reader.readexactly(int(request.headers["content-length"]))
    return request


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += piece[:-2]


async def read_answer(reader):
    """Reads a client's answer. A chunked answer without its last chunk is not whole."""
    answer = await read_head(reader)
    headers = answer.headers
    if headers.get("transfer-encoding", "").lower() == "chunked":
        try:
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return answer
                answer.body += piece[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            answer.is_whole = False
            return answer
    length = int(headers.get("content-length", "0"))
    try:
        answer.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        answer.body = error.partial
        answer.is_whole = False
    except ConnectionError:
        answer.is_whole = False
    return answer


def encode(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def status_of(answer):
    return int(answer.first_line.split(" ")[1])


def query_of(target):
    _, _, text = target.partition("?")
    return dict(part.split("=", 1) for part in text.split("&") if "=" in part)


class Store:
    """The platform's metadata store: keyed topics of one partition as a log, and the servers' entries."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.port = 0
        # Of each listed server: its entry without call_seq, and when it last reported.
        self.listed = {}
        self.lapsing = None
        # While the store is down, it resets its channels, and time stands still for the servers' entries.
        self.is_down = False
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, ADDRESS, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.lapsing = asyncio.create_task(self.drop_silent_servers())

    async def report_server(self, name, entry, call_seq):
        """A server's liveness report. Its entry changes when more than call_seq does."""
        known = self.listed.get(name)
        self.listed[name] = (entry, time.monotonic())
        if known is None or known[0] != entry:
            await self.put("keyed.servers", name, {**entry, "call_seq": call_seq})

    async def drop_server(self, name):
        if self.listed.pop(name, None):
            await self.put("keyed.servers", name, None)

    async def drop_silent_servers(self):
        while True:
            await asyncio.sleep(0.05)
            if self.is_down:
                continue
            for name, (_, at) in list(self.listed.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    await self.drop_server(name)

    async def put(self, topic, key, value):
        name = key.encode()
        text = b"" if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())
        await self.append(topic, [bytes([len(name)]) + name + text])

    async def append(self, topic, records):
        async with self.changed:
            self.topics.setdefault(topic, []).extend(records)
            self.changed.notify_all()

    def go_down(self):
        self.is_down = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self):
        self.is_down = False
        now = time.monotonic()
        self.listed = {name: (entry, now) for name, (entry, _) in self.listed.items()}

    async def serve(self, reader, writer):
        if self.is_down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await asyncio.sleep(0.004)
                status, body = await self.answer(request)
                writer.write(encode(f"HTTP/1.1 {status} X", {"Content-Length": len(body)}, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        method, target, _ = request.first_line.split(" ")
        query = query_of(target)
        log = self.topics.setdefault(query.get("topic", ""), [])
        if target.startswith("/log-newest"):
            return 200, self.newest(log)
        if target.startswith("/log-read"):
            return 200, await self.read(log, int(query["from"]), float(query.get("wait_ms", "0")) / 1000)
        if target.startswith("/log-append") and method == "POST":
            if "current_rev" in query and int(query["current_rev"]) != len(log):
                return 412, json.dumps({"end": len(log)}).encode()
            records, body = [], request.body
            while body:
                length = int.from_bytes(body[:4], "big")
                records.append(body[4:4 + length])
                body = body[4 + length:]
            offset = len(log)
            await self.append(query["topic"], records)
            return 200, json.dumps({"offset": offset, "end": offset + len(records)}).encode()
        return 404, b""

    @staticmethod
    def newest(log):
        latest = {}
        for offset, record in enumerate(log):
            key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
            latest.pop(key, None)
            if value:
                latest[key] = (offset, value)
        items = [{"tls_key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in sorted(latest.items())]
        return json.dumps({"items": items, "truncated": False, "end": len(log)}).encode()

    async def read(self, log, start, wait):
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: len(log) > start), wait or 0.001)
            except asyncio.TimeoutError:
                pass
        records = log[start:]
        return (len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
                + b"".join(len(record).to_bytes(4, "big") + record for record in records))


@dataclass
class Run:
    """A request that a server has begun to work on."""

    server: str
    attempt: str
    at: float


@dataclass
class Server:
    """A server of a service. `work` answers a request that it runs; see play.py of each case."""

    store: Store
    record: Record
    service: str
    zone: str
    work: object
    slots: int = 6
    name: str = ""
    port: int = 0
    runs: list = field(default_factory=list)
    call_seq: int = 0
    reported_at: float = 0
    version: str = "v1"
    # When the process started, in milliseconds; 0 where the servers of a deployment don't tell.
    born: int = 0
    # Whether the server is cut off from the store, while clients of the service reach it.
    is_cut_off: bool = False
    has_left: bool = False
    listener: object = None
    writers: set = field(default_factory=set)

    async def start(self):
        self.name = self.name or f"i-{random.getrandbits(32):08x}"
        self.listener = await asyncio.start_server(self.serve, ADDRESS, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        await self.beat()

    async def beat(self):
        self.call_seq += 1
        self.reported_at = time.monotonic()
        await self.store.report_server(self.name, {
            "service": self.service, "address": f"{ADDRESS}:{self.port}", "zone": self.zone, "version": self.version,
            "slots": self.slots, "state": "ready", "cold_left_ms": 0, **({"born": self.born} if self.born else {})},
            self.call_seq)

    async def keep_beating(self):
        while not self.has_left:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_cut_off and not self.has_left and not self.store.is_down:
                await self.beat()

    async def leave_without_draining(self):
        """The entry goes; the server serves on until end() is called."""
        self.has_left = True
        await self.store.drop_server(self.name)

    async def crash(self, for_s, version=None):
        """The server's process ends, and another one starts under its id and at its address."""
        self.end()
        await asyncio.sleep(for_s)
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(self.serve, ADDRESS, self.port)
        if not self.store.is_down:
            await self.beat()

    def end(self):
        """The server's process ends."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        channel = Channel(self, reader, writer)
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request.headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(encode("HTTP/1.1 421 Misdirected Request", {
                        "X-Attempt-Id": request.headers.get("x-attempt-id", ""), "X-Instance-Id": self.name,
                        "Content-Length": 0}))
                    continue
                attempt = request.headers.get("x-attempt-id", "")
                self.runs.append(Run(self.name, attempt, time.monotonic()))
                self.record.write(f"run       {attempt} at {self.name}")
                await self.work(channel, request, attempt)
                channel.answers += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stamp(self, attempt):
        return f"{self.name}.{attempt}.{random.getrandbits(32):08x}"


@dataclass
class Channel:
    """A box's connection to a server."""

    server: Server
    reader: object
    writer: object
    answers: int = 0


class Box:
    """A box of the project, started with the command of deploy/system.toml on free ports."""

    def __init__(self, folder, name, zone, store, record):
        self.folder, self.name, self.zone, self.store, self.record = folder, name, zone, store, record
        self.process = None
        self.front = self.ready = 0

    async def start(self, is_first=True):
        ports = os.path.join(self.folder, f"{self.name}.ports")
        settings = os.path.join(self.folder, f"{self.name}.json")
        if os.path.exists(ports):
            os.remove(ports)
        first = free_port_range()
        with open(settings, "w", encoding="utf-8") as file:
            json.dump({
                "node_name": self.name, "role": "router", "machine_class": "front", "serves": ["front"],
                "ip": ADDRESS, "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES,
                "listen": {"front": f"{ADDRESS}:0", "ready": f"{ADDRESS}:0", "control": f"{ADDRESS}:0"},
                "port_range": [first, first + 15], "seeds": [], "bootstrap": is_first, "in_tolerance": False,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 110, "max_fds": 4100, "link_mbps": 1000.0,
                           "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
                "bounds": BOUNDS, "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
                "provider": {"address": f"{ADDRESS}:{self.store.port}", "form": "log", "writes_per_s": 400,
                             "reads_per_s": 2000, "parts": 24, "append_ms": 1.0, "part_mb_s": 20.0, "read_mb_s": 80.0,
                             "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200,
                             "ttl_min_ms": 1000}}, file)
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "cleatbeam"), "route", "--metrics_port=0", f"--ports_file={ports}", cwd=ROOT,
            env={"PATH": os.environ["PATH"], "CLEATBEAM_CONFIG": settings}, stdout=log, stderr=log)
        log.close()
        for _ in range(200):
            await asyncio.sleep(0.05)
            if os.path.exists(ports) and len(open(ports, encoding="utf-8").read().split()) >= 2:
                self.front, self.ready = map(int, open(ports, encoding="utf-8").read().split()[:2])
                self.record.write(f"box       {self.name} started")
                return
        raise CaseCouldNotRun(f"{self.name} did not start")

    async def wait_ready(self):
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection(ADDRESS, self.ready)
                writer.write(encode("GET /readiness HTTP/1.1", {"Host": "x", "Connection": "close"}))
                answer = await read_answer(reader)
                writer.close()
                if status_of(answer) == 200:
                    self.record.write(f"box       {self.name} is ready")
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CaseCouldNotRun(f"{self.name} did not become ready")

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        self.send_signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


def free_port_range():
    while True:
        first = random.randrange(20000, 30000)
        try:
            for port in (first, first + 1, first + 2):
                with socket.socket() as probe:
                    probe.bind((ADDRESS, port))
            return first
        except OSError:
            continue


class Client:
    """A client that keeps its channel to one box and sends one request after another."""

    def __init__(self, box, record):
        self.box, self.record = box, record
        self.reader = self.writer = None

    async def send(self, path, attempt, deadline_ms, method="POST", body=b"", headers=None):
        """Returns the answer, or nothing where the channel ended without one."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(ADDRESS, self.box.front)
            fields = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": deadline_ms, "X-Key": API_KEY}
            fields.update(headers or {})
            if body:
                fields["Content-Length"] = len(body)
            self.record.write(f"sent      {attempt} to {self.box.name}")
            self.writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            answer = await asyncio.wait_for(read_answer(self.reader), deadline_ms / 1000 + 6)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.record.write(f"no answer {attempt} ({type(error).__name__})")
            self.close()
            return None
        stamp = answer.headers.get("x-response-stamp", "none")
        self.record.write(f"answered  {attempt} status {status_of(answer)} id {answer.headers.get('x-attempt-id', 'none')}"
                          f" stamp {stamp} body {len(answer.body)} bytes{'' if answer.is_whole else ', cut short'}")
        if answer.headers.get("connection", "").lower() == "close" or not answer.is_whole:
            self.close()
        return answer

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def route(name, prefix, kind, service, timeout_ms, goal_ms, max_attempts, can_resume=False):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "goal_ms": goal_ms, "priority": 2, "service": service, "max_attempts": max_attempts, "public": False,
            "sticky": False, "can_resume": can_resume, "gap_target_ms": 1000}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [API_KEY], "priority": 1}]}


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def run_case(play, record_path, limit_s=110):
    """Runs `play(folder, record)`, which returns the lines that tell how the rule was broken. Ends the process with 1
    if there are any, with 0 if there are none, and with 2 if the case could not run."""
    record = Record(record_path)
    record.write(f"TROUBLE={1 if TROUBLE else 0}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(asyncio.wait_for(play(folder, record), limit_s))
        except Exception as error:
            record.write(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            sys.exit(2)
    for line in broken[:20]:
        record.write(f"broken    {line}")
    record.write(f"result    {len(broken)} times broken")
    print(f"{len(broken)} times broken" + (f", first: {broken[0]}" if broken else ""))
    sys.exit(1 if broken else 0)
