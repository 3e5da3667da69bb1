"""Stand-ins for the platform's store, its servers and its clients, and boxes of the project as separate processes.

The store, the servers and the clients run in this process on loopback. Boxes are started with the command of the deploy
file, which also gets --ports_file, so that the kernel chooses the ports.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
COULD_NOT_RUN = 2


def now():
    return time.monotonic()


class Head:
    """The first line and the fields of a request or an answer."""

    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if ":" in line]

    def get(self, name, default=""):
        return next((value for key, value in self.fields if key.lower() == name.lower()), default)


async def read_head(reader):
    return Head(await reader.readuntil(b"\r\n\r\n"))


async def read_body(reader, head):
    if "chunked" in head.get("Transfer-Encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(head.get("Content-Length", "0")))


def answer_bytes(status, body=b"", fields=()):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def keyed_record(key, value):
    name = key.encode()
    return (1 + len(name) + len(value)).to_bytes(4, "big") + bytes([len(name)]) + name + value


class Service:
    """A listener on loopback that keeps count of its open connections."""

    def __init__(self):
        self.writers = set()
        self.port = 0

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Service):
    """The platform's store: keyed topics with one partition, appends, reads that wait, newest records, and a drill.

    `era` is the header Store-Era of all answers.
    """

    def __init__(self, era):
        super().__init__()
        self.era = era
        self.topics = {}
        self.is_away = False
        self.changed = asyncio.Event()
        self.answered_reads = []

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def append(self, topic, key, value):
        """Appends as the operator or a server does. Returns the offset."""
        self.records(topic).append((key, value, now()))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records(topic)) - 1

    def leave(self):
        """The drill begins: calls are reset."""
        self.is_away = True
        self.reset_all()

    def return_from_copy(self, moment):
        """The drill ends: what was written after the moment of the copy is gone, and the era rises by one."""
        for records in self.topics.values():
            while records and records[-1][2] > moment:
                records.pop()
        self.era += 1
        self.is_away = False

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        body = await read_body(reader, head)
        if self.is_away:
            writer.transport.abort()
            return False
        target = urllib.parse.urlsplit(head.first.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        call = {"/log-read": self.read, "/log-newest": self.newest, "/log-append": self.take}.get(target.path)
        status, answer = await call(query, body) if call else (404, b"{}")
        if self.is_away:
            writer.transport.abort()
            return False
        if target.path in ("/log-read", "/log-newest"):
            end = len(self.records(query["topic"]))
            self.answered_reads.append((now(), writer.get_extra_info("peername")[1], query["topic"], end))
        writer.write(answer_bytes(status, answer, [("Store-Era", self.era)]))
        await writer.drain()
        return True

    async def read(self, query, _):
        start, records, era = int(query["from"]), self.records(query["topic"]), self.era
        ends_at = now() + int(query.get("wait_ms", 0)) / 1000
        while start == len(records) and era == self.era and not self.is_away and now() < ends_at:
            try:
                await asyncio.wait_for(self.changed.wait(), min(0.05, max(0.001, ends_at - now())))
            except asyncio.TimeoutError:
                pass
        if start > len(records):
            return 410, json.dumps({"first": 0}).encode()
        raw = b"".join(keyed_record(key, value) for key, value, _ in records[start:])
        return 200, len(records).to_bytes(8, "big") + (0).to_bytes(8, "big") + raw

    async def newest(self, query, _):
        records = self.records(query["topic"])
        newest = {key: (value, offset) for offset, (key, value, _) in enumerate(records)}
        items = [
            {"tls_key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value
        ]
        return 200, json.dumps({"items": items, "truncated": False, "end": len(records)}).encode()

    async def take(self, query, body):
        topic = query["topic"]
        offset = len(self.records(topic))
        if int(query.get("current_rev", offset)) != offset:
            return 412, json.dumps({"end": offset}).encode()
        while body:
            length, key_length = int.from_bytes(body[:4], "big"), body[4]
            record, body = body[5 : 4 + length], body[4 + length :]
            self.append(topic, record[:key_length].decode(), record[key_length:])
        return 200, json.dumps({"offset": offset, "end": len(self.records(topic))}).encode()


class Server(Service):
    """A server of a plain service. Keeps itself in the store, and notes each request that it ran."""

    version = "v1"
    slots = 6

    def __init__(self, store, name, service, work_s=0.005):
        super().__init__()
        self.store, self.name, self.service, self.work_s = store, name, service, work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.ran = []
        self.bodies = {}

    def entry(self):
        return json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "hall-1", "version": self.version,
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "call_seq": 0, "born": self.born,
        }).encode()

    def register(self):
        return self.store.append("keyed.servers", self.name, self.entry())

    async def beat(self, interval_s=1.2):
        while True:
            if not self.store.is_away:
                self.register()
            await asyncio.sleep(interval_s)

    def end(self):
        """The process ends: its listener and its channels close, and its entry goes."""
        self.listener.close()
        self.reset_all()
        self.store.append("keyed.servers", self.name, b"")

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        body = await read_body(reader, head)
        attempt = head.get("X-Attempt-Id")
        echo = [("X-Attempt-Id", attempt)]
        if head.get("X-Expect-Instance") not in ("", self.name):
            writer.write(answer_bytes(421, b"", echo + [("X-Instance-Id", self.name)]))
            return True
        self.ran.append((now(), attempt, head.get("X-Tenant")))
        self.bodies[attempt] = body
        await asyncio.sleep(self.work_s)
        writer.write(answer_bytes(200, b"ok " + attempt.encode(), echo + [("X-Response-Stamp", f"{self.name}.{attempt}")]))
        await writer.drain()
        return True


class Box:
    """A box of the project, started with the command of the deploy file."""

    def __init__(self, folder, name, store, zone="hall-1", bounds=None):
        self.folder, self.name = pathlib.Path(folder), name
        self.settings = {
            "node_name": name, "role": "router", "machine_class": "front", "serves": ["front"], "ip": "127.0.0.1",
            "zone": zone, "region": "centro",
            "zones": {"hall-1": "centro", "hall-2": "centro", "hall-3": "centro"},
            "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"}, "port_range": [0, 0], "seeds": [],
            "bootstrap": True, "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 110, "max_fds": 4100,
                                          "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_ms": 1200,
            "bounds": {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
                       "revoke_strict": True, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
                       "retry_slack": 52, **(bounds or {})},
            "provider": {"address": f"127.0.0.1:{store.port}", "form": "log"},
        }
        self.port = self.ready_port = 0

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["router"]["run"].split()
        ports = self.folder / f"{self.name}.ports"
        ports.unlink(missing_ok=True)
        # The kernel chooses the ports, since the one of the deploy file may be taken on this machine.
        command = [str(ROOT / words[0])] + [
            "--metrics_port=0" if word.startswith("--metrics_port") else word for word in words[1:]]
        settings = self.folder / f"{self.name}.json"
        settings.write_text(json.dumps(self.settings))
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            command + [f"--ports_file={ports}"], stdout=self.log, stderr=self.log, cwd=ROOT,
            env={"PATH": os.environ["PATH"], "HOME": "/", "LANG": "C", "CLEATBEAM_CONFIG": str(settings)})
        for _ in range(400):
            if ports.exists() and len(ports.read_text().split()) >= 2:
                self.port, self.ready_port = (int(port) for port in ports.read_text().split()[:2])
                return
            time.sleep(0.01)
        could_not_run(f"{self.name} did not write its ports")

    def stop(self, number=signal.SIGTERM):
        if self.process.poll() is None:
            self.process.send_signal(number)


async def ask(port, request, timeout_s=5.0):
    """Sends one request on a new connection. Returns the head and the body, or None without a whole answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), timeout_s)
        writer.write(request)
        head = await asyncio.wait_for(read_head(reader), timeout_s)
        return head, await asyncio.wait_for(read_body(reader, head), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


def request_bytes(attempt, path, key, method="POST", host="h.example", body=b"", deadline_ms=1000, fields=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}",
             f"X-Key: {key}", *(f"{name}: {value}" for name, value in fields), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def status_of(answer):
    return int(answer[0].first.split(" ")[1]) if answer else 0


async def wait_ready(box, limit_s=15.0):
    ends_at = now() + limit_s
    while now() < ends_at:
        if status_of(await ask(box.ready_port, b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)) == 200:
            return
        await asyncio.sleep(0.05)
    could_not_run(f"{box.name} did not become ready")


def could_not_run(reason):
    print(f"could not run: {reason}", file=sys.stderr)
    raise SystemExit(COULD_NOT_RUN)


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = now()

    def note(self, text, at=None):
        self.file.write(f"{(at or now()) - self.began:9.3f} {text}\n")
        self.file.flush()


def play(main):
    """Runs `main(folder, record, boxes)` in a temporary folder and ends with its result as the exit code."""
    record = Record(pathlib.Path(sys.argv[1]) / "record.txt")
    folder = tempfile.mkdtemp()
    boxes = []
    code = COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        code = asyncio.new_event_loop().run_until_complete(main(folder, record, boxes))
    except SystemExit as end:
        code = end.code
    except Exception as error:  # A fault of the play itself shows nothing about the boxes.
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        for box in boxes:
            box.stop(signal.SIGKILL)
            box.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    # Tasks of the stand-ins are still open, and are dropped with the process.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
