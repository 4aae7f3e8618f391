"""Stand-ins of the platform, the runners and the clients for the scripts of the review.

Everything runs on loopback in one event loop. The system's own programs are separate processes, started
with the `run` lines of deploy/system.toml, only with the path of a settings file of their own.
"""
import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLERS_PORT, READINESS_PORT, RUNNER_PORT = 8005, 8002, 8001
STORE_PORT, ORIGIN_PORT, LOCK_PORT = 8007, 8006, 7999
FIRST_PORT, LAST_PORT = 7700, 7715
CHUNKS, CHUNK_BYTES, LAYERS = 8, 4096, 16
KEY, TENANT, HOST, MODEL = "key-1", "t1", "h.example", "m1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(it) for it in words) + "\n")

    def close(self):
        self.file.close()


# --- HTTP/1.1, as far as the pages need it

async def read_head(reader):
    """Reads a head. Returns its first line and the headers by lower-case name, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, is_answer=False):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_answer else b""


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


def head(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    return "\r\n".join(lines + [f"{k}: {v}" for k, v in headers.items()] + ["", ""]).encode()


def answer(status, body=b"", headers=None):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        headers = {"Content-Type": "application/json", **(headers or {})}
    return head(status, {**(headers or {}), "Content-Length": len(body)}) + body


class Server:
    """A server whose connections can be reset all at once."""

    def __init__(self, address):
        self.address = address
        self.server = None
        self.connections = {}

    async def listen(self):
        # SO_REUSEADDR: the address may have connections in TIME_WAIT from before a restart.
        self.server = await asyncio.start_server(
            self._serve, *self.address, limit=1 << 20, backlog=512, reuse_address=True)

    def crash(self):
        """Stops listening and resets every connection."""
        if self.server:
            self.server.close()
            self.server = None
        for task, writer in list(self.connections.items()):
            writer.transport.abort()
            task.cancel()
        self.connections.clear()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.connections[task] = writer
        try:
            while (received := await read_head(reader)) is not None:
                first, headers = received
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(method, target, headers, body, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.connections.pop(task, None)
            try:
                writer.close()
            except RuntimeError:
                pass


# --- The platform's store

class Store(Server):
    """Tables of rows, listings, feeds and transactions."""

    HISTORY_ROWS = 100_000

    def __init__(self, address):
        super().__init__(address)
        self.rows, self.history, self.revision, self.forgotten = {}, [], 0, 0
        self.started = time.monotonic()
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 50_000

    def write(self, table, key, value, part=""):
        """Writes a row; a value of None drops it. `value` is a JSON value or bytes."""
        self.revision += 1
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        row = {"table": table, "part": part, "privateKey": key, "ver": self.revision}
        if value is None:
            self.rows.pop((table, part, key), None)
            row["gone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[(table, part, key)] = row
        self.history.append(row)
        self._wake()

    def forget_history(self):
        self.history.clear()
        self.forgotten = self.revision
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body, reader, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/rows-get":
            reply = self.list(query)
        elif url.path == "/-/rows-feed":
            reply = await self.feed(query)
        elif url.path == "/-/rows-tx":
            reply = self.transact(json.loads(body))
        else:
            reply = answer(404)
        writer.write(reply)

    def page(self, rows, **more):
        return answer(200, {"rows": rows, **more, "ver": self.revision, "now_ms": self.clock_ms()})

    def list(self, query):
        first, end = query.get("from", "").encode(), query.get("targetVersion", "").encode()
        limit = min(int(query.get("limit") or 500), 500)
        place = (query["table"], query.get("part", ""))
        keys = sorted(key.encode() for (table, part, key) in self.rows if (table, part) == place)
        keys = [it for it in keys if it >= first and (not end or it < end)]
        rows = [self.rows[(*place, it.decode())] for it in keys[:limit]]
        return self.page(rows, more=len(keys) > limit)

    async def feed(self, query):
        after, until = int(query["afterRevision"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.forgotten:
                return answer(410)
            newest = {}
            for row in self.history:
                if row["ver"] > after and row["table"] == query["table"]:
                    newest[row["privateKey"]] = row
            left = until - time.monotonic()
            if newest or left <= 0:
                return self.page(sorted(newest.values(), key=lambda it: it["ver"]))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, change):
        def place(row):
            return row["table"], row.get("part", ""), row["privateKey"]
        expected = change.get("expectedRevision", [])
        if any(self.rows.get(place(it), {"ver": 0})["ver"] != it["ver"] for it in expected):
            rows = [self.rows[place(it)] for it in expected if place(it) in self.rows]
            return answer(412, {"rows": rows, "ver": self.revision, "now_ms": self.clock_ms()})
        for row in change.get("put", []):
            self.write(row["table"], row["privateKey"], base64.b64decode(row["value"]), row.get("part", ""))
        for row in change.get("remove", []):
            self.write(row["table"], row["privateKey"], None, row.get("part", ""))
        return answer(200, {"ver": self.revision, "now_ms": self.clock_ms()})


# --- The origin of weights

def chunk(version, index):
    return (hashlib.sha256(f"{version}/{index}".encode()).digest() * (CHUNK_BYTES // 32 + 1))[:CHUNK_BYTES]


class Origin(Server):
    async def handle(self, method, target, headers, body, reader, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        version = int(query.get("version", 1))
        if url.path.startswith("/-/manifest/"):
            digests = [hashlib.sha256(chunk(version, it)).hexdigest() for it in range(CHUNKS)]
            writer.write(answer(200, {"model": MODEL, "version": version, "chunkBytes": CHUNK_BYTES,
                                      "layers": LAYERS, "digests": digests}))
        else:
            writer.write(answer(200, chunk(version, int(query["quantity"]))))


# --- Runners

class Runner(Server):
    """A runner of a plain service, or a model runner with its report, orders and staged pieces."""

    HEARTBEAT_S = 1.2

    def __init__(self, platform, name, service, zone, address, slots=16):
        super().__init__(address)
        self.platform, self.name, self.service, self.zone, self.slots = platform, name, service, zone, slots
        self.lives, self.id, self.is_up, self.running = 0, None, False, 0
        self.is_model = False
        self.served = 0

    def entry(self):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": 0}

    async def start(self):
        self.lives += 1
        self.id = f"i-{self.name}-{self.lives}"
        self.running, self.is_up = 0, True
        await self.listen()
        self.write_entry()
        self.platform.record.add("runner", self.name, "starts as", self.id)

    def write_entry(self):
        self.platform.store.write("servers", self.id, self.entry())

    def go_down(self):
        """Crashes. The entry goes after three heartbeats without a write."""
        self.is_up = False
        self.crash()
        dead, store = self.id, self.platform.store
        self.platform.record.add("runner", self.name, "crashes as", dead)
        asyncio.get_running_loop().call_later(
            3 * self.HEARTBEAT_S, lambda: store.write("servers", dead, None))

    async def crash_for(self, seconds):
        self.go_down()
        await asyncio.sleep(seconds)
        await self.start()

    def signature(self):
        self.served += 1
        return f"{self.id}.{self.served:x}"

    async def handle(self, method, target, headers, body, reader, writer):
        if target == self.platform.HEALTH_PATH:
            writer.write(answer(200, b"", {"Instance-Id": self.id}))
            return
        request = headers.get("request-id", "?")
        echo = {"Request-Id": request}
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(answer(421, b"", {**echo, "Instance-Id": self.id}))
            return
        if self.running >= self.slots:
            writer.write(answer(503, b"", {**echo, "Not-Executed": "1"}))
            return
        self.platform.record.add("run", request, "at", self.id, method, target)
        self.platform.note_run(request, self)
        self.running += 1
        try:
            await self.run(method, target, headers, body, echo, writer)
        finally:
            self.running -= 1

    async def run(self, method, target, headers, body, echo, writer):
        await asyncio.sleep(self.platform.PLAIN_S)
        if self.platform.loses_answer(self, target):
            self.platform.record.add("lost", echo["Request-Id"], "the answer of", self.id)
            writer.transport.abort()
            raise ConnectionResetError
        text = f"{target} by {self.id}\n".encode()
        writer.write(answer(200, text, {**echo, "Response-Stamp": self.signature()}))


class ModelRunner(Runner):
    EVENTS, EVENT_S, WARM_S = 21, 0.07, 0.3

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.is_model = True
        self.version = 1
        self.staged = {it: chunk(1, it) for it in range(CHUNKS)}
        self.sequence, self.busy = 0, False

    async def start(self):
        if self.lives:
            # Restarted runners hold no layers. What was staged outlasts a crash.
            self.version = None
        self.sequence, self.busy = 0, False
        await super().start()

    def layers(self):
        return {"from": 0, "targetVersion": LAYERS, "version": self.version} if self.version else None

    def models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}] if self.version else []

    def entry(self):
        return {**super().entry(), "stage": "prefill_decode", "models": self.models(), "layers": self.layers(),
                "sequence": self.sequence}

    async def handle(self, method, target, headers, body, reader, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/report":
            report = {"stage": "prefill_decode", "models": self.models(), "layers": self.layers(),
                      "busy": self.busy, "sequence": self.sequence, "waiting": 0, "running": self.running,
                      "kvUsed": 0, "kvTotal": 1_000_000, "handles": 0, "pace": 1.0}
            writer.write(answer(200, report))
        elif url.path.startswith("/-/stage-put/"):
            self.staged[int(query["quantity"])] = body
            writer.write(answer(200))
        elif url.path.startswith("/-/stage-get/") and "quantity" in query:
            piece = self.staged.get(int(query["quantity"]))
            writer.write(answer(404) if piece is None else answer(200, piece))
        elif url.path.startswith("/-/stage-get/"):
            writer.write(answer(200, {"held": sorted(self.staged)}))
        elif url.path == "/-/order":
            writer.write(answer(self.take_order(json.loads(body))))
        elif self.version is None or self.busy:
            echo = {"Request-Id": headers.get("request-id", "?")}
            writer.write(answer(421, b"", {**echo, "Instance-Id": self.id}))
        else:
            await super().handle(method, target, headers, body, reader, writer)

    def take_order(self, order):
        if self.busy or order.get("expectedRevision", self.sequence) != self.sequence:
            return 409
        if order["version"] == self.version:
            return 200
        self.sequence, self.busy = self.sequence + 1, True
        whole = all(self.staged.get(it) == chunk(order["version"], it) for it in range(CHUNKS))
        asyncio.get_running_loop().call_later(self.WARM_S, self.finish_order, order["version"], whole, self.id)
        return 202

    def finish_order(self, version, whole, life):
        if life == self.id and self.is_up:
            self.busy, self.version = False, version if whole else None
            self.write_entry()
            self.platform.record.add("runner", self.name, "holds version", self.version)

    async def run(self, method, target, headers, body, echo, writer):
        first = int(headers.get("last-event-id", 0)) + 1
        writer.write(head(200, {**echo, "Content-Type": "text/event-stream", "Weight-Versions": self.version,
                                "Response-Stamp": self.signature(), "Transfer-Encoding": "chunked"}))
        for number in range(first, self.EVENTS + 1):
            await asyncio.sleep(self.EVENT_S)
            event = f"id: {number}\ndata: {target} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# --- The platform: store, origin, machines, processes and the entry of clients

class Process:
    """A process of the system on a machine of its own."""

    def __init__(self, platform, name, machine, zone, settings):
        self.platform, self.name, self.machine, self.zone = platform, name, machine, zone
        self.path = platform.folder / f"{name}.ini"
        self.path.write_text(settings, encoding="utf-8")
        self.child, self.is_in, self.misses = None, False, 0
        self.ended_by_itself = 0

    def start(self):
        log = open(self.platform.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen([str(ROOT / "target/release/silverdockd"), str(self.path)],
                                      cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.platform.record.add("process", self.name, "starts as", self.child.pid)

    def kill(self):
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()
        self.is_in = False
        self.platform.record.add("process", self.name, "killed")

    def log(self):
        return (self.platform.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")


class Platform:
    HEALTH_PATH = "/health"
    PLAIN_S = 0.06
    #: Bounds of the sheet of mizani-tips.
    BOUNDS = {"grace_s": 8, "contact_ms": 3000, "drain_ms": 2000, "configuration_ms": 2000, "version_ms": 8000,
              "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_allowance": 106}
    RECOVERY_S = 12

    def __init__(self, case, first_network):
        self.record = Record(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="silverdock-review-"))
        self.lock, self.network = self._network(first_network)
        self.store = Store((self.machine(250), STORE_PORT))
        self.origin = Origin((self.machine(249), ORIGIN_PORT))
        self.gateways, self.sidecars, self.runners = [], [], []
        self.runs = {}
        self.tasks = []
        self.zones = ["zone-a"]

    @staticmethod
    def _network(first):
        """Reserves a loopback network, so that several scripts can run at the same time."""
        for network in range(first, 250):
            lock = socket.socket()
            try:
                lock.bind((f"127.91.{network}.254", LOCK_PORT))
                return lock, network
            except OSError:
                lock.close()
        raise CannotRun("no loopback network is free")

    def machine(self, number):
        return f"127.91.{self.network}.{number}"

    def loses_answer(self, runner, target):
        return False

    def note_run(self, request, runner):
        self.runs.setdefault(request, []).append(runner.id)

    def settings(self, name, machine, zone, role):
        halls = ",".join(f"{it}=region-{it}" for it in self.zones)
        bounds = "\n".join(f"{key} = {value}" for key, value in self.BOUNDS.items())
        return (f"[node]\nname = {name}\nregion = region-{zone}\nhall = {zone}\nhalls = {halls}\n"
                f"address = {machine}\nfirst_port = {FIRST_PORT}\nlast_port = {LAST_PORT}\n"
                f"memory_mb = 260\nlink_mbps = 1000\n\n{role}\n"
                f"[store]\naddress = {self.store.address[0]}:{STORE_PORT}\nwrites_per_s = 400\n"
                f"reads_per_s = 2000\n\n[bounds]\n{bounds}\n")

    def configure(self, routes, services):
        """Writes the first configuration."""
        self.store.write("op", "config", {
            "version": 1, "routes": routes, "services": services + [
                {"name": "weights", "origin": "%s:%d" % self.origin.address, "zone": self.zones[0],
                 "linkMbps": 100.0, "connectionLimit": 48}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]})

    @staticmethod
    def route(name, kind, service, timeout_ms, target_ms, attempts=2):
        route = {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout_ms,
                 "targetLatencyMs": target_ms, "priority": 1, "service": service, "attempts": attempts,
                 "publicAccess": False}
        if kind == "stream":
            route.update(sticky=True, resumable=True, gapTargetMs=400)
        return route

    def plain_service(self, name):
        return {"name": name, "healthPath": self.HEALTH_PATH, "connectionLimit": 110, "protocol": "h1", "tls": False}

    def model_service(self, name, slots):
        engine = {"slots": slots, "kvCacheTokens": 1_000_000, "kvTokenBytes": 1000, "linkMbps": 400000.0,
                  "stride": 5, "models": [{"name": MODEL, "pace": 1.0, "loadS": 1.0, "warmS": 0.3}],
                  "sizeMb": 266000.0, "step_ms": 8.87, "read_per_s": 100_000.0, "chunk": 2048,
                  "report_lag_ms": 200.0, "usual": {"prompt": 100, "answer": 94}, "layers": LAYERS,
                  "layer_mb": 4540.0, "chunks": CHUNKS, "chunkBytes": CHUNK_BYTES}
        return {**self.plain_service(name), "connectionLimit": 374, "engine": engine}

    def add_gateway(self, number, zone):
        machine = self.machine(number)
        role = f"[gateway]\ncallers = {machine}:{CALLERS_PORT}\nreadiness = {machine}:{READINESS_PORT}\n"
        name = f"gateway-{number}"
        process = Process(self, name, machine, zone, self.settings(name, machine, zone, role))
        self.gateways.append(process)
        return process

    def add_sidecar(self, number, zone, service):
        machine = self.machine(number)
        role = f"[sidecar]\nrunner = {machine}:{RUNNER_PORT}\nservice = {service}\n"
        name = f"sidecar-{number}"
        process = Process(self, name, machine, zone, self.settings(name, machine, zone, role))
        self.sidecars.append(process)
        return process

    def add_runner(self, kind, number, service, zone, slots=16):
        address = (self.machine(number), RUNNER_PORT)
        runner = kind(self, str(number), service, zone, address, slots)
        self.runners.append(runner)
        return runner

    async def start(self):
        await self.store.listen()
        await self.origin.listen()
        for runner in self.runners:
            await runner.start()
        for process in self.gateways + self.sidecars:
            process.start()
        self.tasks.append(asyncio.create_task(self._watch_processes()))
        self.tasks += [asyncio.create_task(self._check(it)) for it in self.gateways]

    async def _watch_processes(self):
        while True:
            for process in self.gateways + self.sidecars:
                if process.child and process.child.poll() is not None and not process.child.returncode == -9:
                    process.ended_by_itself += 1
                    self.record.add("process", process.name, "ended by itself", process.child.returncode)
                    process.start()
            await asyncio.sleep(0.1)

    async def _check(self, gateway):
        """Asks a gateway each second whether it is ready; two misses take it out."""
        while True:
            began = time.monotonic()
            status, _ = await call(gateway.machine, READINESS_PORT, "GET", "/-/readiness", timeout=0.8)
            was_in = gateway.is_in
            gateway.misses = 0 if status == 200 else gateway.misses + 1
            gateway.is_in = status == 200 or (gateway.is_in and gateway.misses < 2)
            if gateway.is_in != was_in:
                self.record.add("entry", gateway.name, "is in" if gateway.is_in else "is out")
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - began)))

    async def wait_until_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while not all(it.is_in for it in self.gateways):
            if time.monotonic() > until:
                raise CannotRun("the gateways did not become ready")
            await asyncio.sleep(0.05)

    def entry(self, zone, attempt):
        """The gateway that gets a new connection of a client in this zone. Later tries reach others."""
        own = [it for it in self.gateways if it.zone == zone]
        usable = [it for it in own if it.is_in]
        if not usable:
            usable = [it for it in self.gateways if it.is_in] or own
        elif 2 * len(usable) < len(own):
            usable = own
        return usable[attempt % len(usable)]

    def kill_all(self):
        for process in self.gateways + self.sidecars:
            process.child.send_signal(signal.SIGKILL)
        for process in self.gateways + self.sidecars:
            process.kill()

    def start_all(self):
        for process in self.gateways + self.sidecars:
            process.start()

    def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.gateways + self.sidecars:
            if process.child and process.child.poll() is None:
                process.child.kill()
                process.child.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.lock.close()
        self.record.close()


async def call(host, port, method, target, headers=None, body=b"", timeout=2.0):
    """Makes a call on a connection of its own. Returns the status, 0 if there was no whole answer, and the body."""
    async def talk():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = {"Host": f"{host}:{port}", **(headers or {}), "Content-Length": len(body)}
            text = "".join(f"{k}: {v}\r\n" for k, v in lines.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode() + body)
            received = await read_head(reader)
            if received is None:
                return 0, b""
            first, answered = received
            return int(first.split()[1]), await read_body(reader, answered, True)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""


class Attempt:
    """One client attempt: a request in the words of the rules."""

    def __init__(self, request, zone, sent_at):
        self.id, self.zone, self.sent_at = request, zone, sent_at
        self.status, self.is_whole, self.retry_after, self.last_event = 0, False, None, 0

    @property
    def is_served(self):
        return self.status == 200 and self.is_whole


class Client:
    """Clients of one zone. They try again as PROTOCOL.md says: on a new connection, with a new id, after
    Retry-After if that is at most a third of the time that they have left."""

    def __init__(self, platform, zone):
        self.platform, self.zone, self.attempts = platform, zone, []

    async def ask(self, method, target, deadline_s, headers=None, retries=1, is_stream=False, number=0):
        until, last_event = time.monotonic() + deadline_s, 0
        for attempt_number in range(retries + 1):
            left = until - time.monotonic()
            if left <= 0.05:
                return
            attempt = await self._attempt(method, target, left, headers or {}, is_stream, last_event,
                                          number + attempt_number)
            if attempt.is_served or attempt.status in (400, 401, 404, 413, 431):
                return
            last_event = max(last_event, attempt.last_event)
            pause = 0.05 if attempt.retry_after is None else attempt.retry_after
            if pause > (until - time.monotonic()) / 3:
                return
            await asyncio.sleep(pause)

    async def _attempt(self, method, target, left, headers, is_stream, last_event, number):
        platform, record = self.platform, self.platform.record
        gateway = platform.entry(self.zone, number)
        attempt = Attempt(f"{random.getrandbits(64):016x}", self.zone, record.now())
        self.attempts.append(attempt)
        lines = {"Host": HOST, "Request-Id": attempt.id, "Authorization": f"Token {KEY}",
                 "Deadline-Milliseconds": int(left * 1000), "Content-Length": 0, **headers}
        if last_event:
            lines["Last-Event-Id"] = last_event
        record.add("sent", attempt.id, method, target, "to", gateway.name)
        try:
            await asyncio.wait_for(self._talk(gateway, method, target, lines, attempt, is_stream), left)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            record.add("no whole answer", attempt.id, type(error).__name__, f"status={attempt.status}")
        else:
            record.add("answered", attempt.id, attempt.status,
                       "" if attempt.retry_after is None else f"retry-after={attempt.retry_after}")
        return attempt

    async def _talk(self, gateway, method, target, lines, attempt, is_stream):
        connecting = asyncio.open_connection(gateway.machine, CALLERS_PORT)
        reader, writer = await asyncio.wait_for(connecting, 1.0)
        try:
            text = "".join(f"{k}: {v}\r\n" for k, v in lines.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode())
            received = await read_head(reader)
            if received is None:
                raise ConnectionResetError
            first, headers = received
            attempt.status = int(first.split()[1])
            if "retry-after" in headers:
                attempt.retry_after = float(headers["retry-after"])
            if attempt.status == 200 and is_stream:
                await self._read_events(reader, attempt)
            else:
                await read_body(reader, headers, True)
            attempt.is_whole = attempt.status != 200 or "response-stamp" in headers
        finally:
            writer.close()

    @staticmethod
    async def _read_events(reader, attempt):
        text = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            text += data[:-2]
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                attempt.last_event = int(event.split(b"\n")[0].removeprefix(b"id: "))


def play(case, scenario, first_network):
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for stop in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop, task.cancel)
        platform = Platform(case, first_network)
        try:
            return await asyncio.wait_for(scenario(platform), 112)
        finally:
            platform.close()
    try:
        is_broken, text = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print(f"cannot run: {type(error).__name__} {error}")
        sys.exit(2)
    print(text)
    sys.exit(1 if is_broken else 0)
