"""Stand-ins of the platform, runners and clients for the scripts of this review, as the users' pages describe them.

Standard library only. Everything listens on loopback addresses of a network of its own, 127.N.M.0/24.
"""

import base64
import bisect
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = "key-one"
HOST = "h.example"


def now():
    return time.monotonic()


class Record:
    """`record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.begun = now()

    def add(self, text):
        with self.lock:
            self.file.write(f"{now() - self.begun:8.3f} {text}\n")
            self.file.flush()


def free_network():
    """A loopback network on which the ports of a deployment are free."""
    for _ in range(200):
        net = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        try:
            for port in (8001, 8002, 8005, 7700, 7715):
                with socket.socket() as it:
                    it.bind((f"{net}.1", port))
            return net
        except OSError:
            continue
    raise OSError("no loopback network is free")


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock, self.rest = sock, b""

    def more(self):
        data = self.sock.recv(262144)
        self.rest += data
        return bool(data)

    def head(self):
        """First line and headers (lower-case names), or None at the end of the connection."""
        while b"\r\n\r\n" not in self.rest:
            if not self.more():
                return None
        head, self.rest = self.rest.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = [line.split(":", 1) for line in lines[1:]]
        return lines[0], {name.strip().lower(): value.strip() for name, value in fields}

    def take(self, count):
        while len(self.rest) < count:
            if not self.more():
                return None
        data, self.rest = self.rest[:count], self.rest[count:]
        return data

    def line(self):
        while b"\r\n" not in self.rest:
            if not self.more():
                return None
        line, self.rest = self.rest.split(b"\r\n", 1)
        return line

    def body(self, headers, ends_with_connection=False):
        """The whole body, or None if it ends early."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while True:
                size = self.line()
                if size is None:
                    return None
                chunk = self.take(int(size.split(b";")[0], 16) + 2)
                if chunk is None:
                    return None
                if len(chunk) == 2:
                    return data
                data += chunk[:-2]
        if "content-length" in headers:
            return self.take(int(headers["content-length"]))
        if ends_with_connection:
            while self.more():
                pass
            data, self.rest = self.rest, b""
            return data
        return b""


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections and answers requests in a thread each."""

    def __init__(self, address, answer):
        self.answer = answer
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(1024)
        self.address = self.socket.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                head = reader.head()
                if head is None:
                    break
                body = reader.body(head[1])
                if body is None or self.answer(sock, head[0], head[1], body) is False:
                    break
        except (OSError, ValueError):
            pass
        finally:
            sock.close()


class Store:
    """The platform's store: tables of rows, their feeds and transactions."""

    def __init__(self, net):
        self.lock = threading.Condition()
        self.rows, self.history, self.revision = {}, [], 0
        self.begun = now()
        self.server = Server((f"{net}.250", 0), self.answer)
        self.address = self.server.address

    def put(self, table, key, value):
        """Writes a row, or removes it if `value` is None."""
        with self.lock:
            self.revision += 1
            raw = None if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
            self.write(table, "", key, raw)
            self.lock.notify_all()
            return self.revision

    def write(self, table, part, key, raw):
        row = {"table": table, "part": part, "privateKey": key, "ver": self.revision}
        if raw is None:
            self.rows.pop((table, part, key), None)
            row["gone"] = True
        else:
            row["value"] = base64.b64encode(raw).decode()
            self.rows[(table, part, key)] = row
        self.history.append(row)

    def reply(self, sock, status, body):
        body = body | {"ver": self.revision, "now_ms": int((now() - self.begun) * 1000)}
        data = json.dumps(body).encode()
        sock.sendall(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json", "Content-Length": len(data)}, data))

    def answer(self, sock, first, headers, body):
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        fields = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        if path == "/-/rows-get":
            with self.lock:
                found = [row for (table, part, _), row in self.rows.items() if table == fields["table"] and part == fields.get("part", "")]
                start = bytes.fromhex("".join(f"{ord(c):02x}" for c in unquote(fields.get("from", ""))))
                end = unquote(fields.get("targetVersion", "")).encode("latin-1")
                found = sorted((r for r in found if r["privateKey"].encode() >= start and (not end or r["privateKey"].encode() < end)), key=lambda r: r["privateKey"].encode())
                limit = min(int(fields.get("limit", 500)), 500)
                return self.reply(sock, 200, {"rows": found[:limit], "more": len(found) > limit})
        if path == "/-/rows-feed":
            after, until = int(fields["afterRevision"]), now() + int(fields.get("waitMs", 0)) / 1000
            with self.lock:
                while True:
                    index = bisect.bisect_right([row["ver"] for row in self.history], after)
                    found = [row for row in self.history[index:] if row["table"] == fields["table"]]
                    left = until - now()
                    if found or left <= 0:
                        return self.reply(sock, 200, {"rows": found})
                    self.lock.wait(left)
        if path == "/-/rows-tx":
            change = json.loads(body)
            with self.lock:
                current = {}
                for row in change.get("expectedRevision", []):
                    key = (row["table"], row.get("part", ""), row["privateKey"])
                    if self.rows.get(key, {"ver": 0})["ver"] != row["ver"]:
                        current[key] = self.rows.get(key)
                if current:
                    return self.reply(sock, 412, {"rows": [it for it in current.values() if it]})
                self.revision += 1
                for row in change.get("put", []):
                    self.write(row["table"], row.get("part", ""), row["privateKey"], base64.b64decode(row["value"]))
                for row in change.get("remove", []):
                    self.write(row["table"], row.get("part", ""), row["privateKey"], None)
                self.lock.notify_all()
                return self.reply(sock, 200, {})
        self.reply(sock, 404, {})


def unquote(text):
    return re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), text)


class Runner:
    """A sound runner of a plain service. `work` may be replaced to change how it answers."""

    def __init__(self, store, address, name, service, zone, record, slots=6, work_s=0.06):
        self.store, self.id, self.service, self.zone, self.record = store, name, service, zone, record
        self.slots, self.work_s, self.slow = slots, work_s, 1.0
        self.lock = threading.Lock()
        self.free = threading.Semaphore(slots)
        self.waiting = 0
        self.queue = 24
        self.runs = []
        self.state = "ready"
        self.server = Server(address, self.answer)
        self.address = self.server.address
        self.enter()

    def entry(self):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": 0}

    def enter(self):
        return self.store.put("servers", self.id, self.entry())

    def leave(self):
        return self.store.put("servers", self.id, None)

    def stamp(self, request):
        return f"{self.id}.{request}"

    def refuse(self, sock, request, status=503, extra=None):
        headers = {"Content-Length": 0, "Instance-Id": self.id} | ({"Request-Id": request} if request else {})
        if status != 421:
            headers["Not-Executed"] = 1
        sock.sendall(message(f"HTTP/1.1 {status} X", headers | (extra or {})))

    def answer(self, sock, first, headers, body):
        request = headers.get("request-id")
        method, target, _ = first.split(" ")
        if target == "/health":
            sock.sendall(message("HTTP/1.1 200 OK", {"Content-Length": 0, "Instance-Id": self.id}))
            return None
        if headers.get("expect-instance", self.id) != self.id:
            return self.refuse(sock, request, 421)
        with self.lock:
            if self.waiting >= self.slots + self.queue:
                full = True
            else:
                full = False
                self.waiting += 1
        if full:
            return self.refuse(sock, request)
        try:
            deadline = now() + int(headers.get("deadline-milliseconds", 30000)) / 1000
            if not self.free.acquire(timeout=max(0.0, deadline - now())):
                return self.refuse(sock, request)
            try:
                return self.work(sock, request, method, target, headers, body)
            finally:
                self.free.release()
        finally:
            with self.lock:
                self.waiting -= 1

    def work(self, sock, request, method, target, headers, body):
        self.note_run(request, method, target, headers, body)
        time.sleep(self.work_s * self.slow)
        data = f"{self.id} {request} ".encode().ljust(800, b".")
        sock.sendall(message("HTTP/1.1 200 OK", {"Request-Id": request, "Response-Stamp": self.stamp(request), "Content-Length": len(data)}, data))
        return None

    def note_run(self, request, method, target, headers, body):
        with self.lock:
            self.runs.append((now(), request, headers))
        self.record.add(f"run {request} at {self.id}: {method} {target}, body {len(body)} bytes, tenant {headers.get('tenant')}, left {headers.get('deadline-milliseconds')} ms")


class Answer:
    def __init__(self, status, headers, body, whole, error=None):
        self.status, self.headers, self.body, self.whole, self.error = status, headers, body, whole, error

    def __repr__(self):
        if self.status is None:
            return f"no answer ({self.error})"
        return f"{self.status}, {len(self.body or b'')} bytes, {'whole' if self.whole else 'not whole'}"


class Connection:
    """A client's connection to a gateway, which is kept for many requests."""

    def __init__(self, address, timeout=1.0):
        self.socket = socket.create_connection(address, timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.socket)
        self.requests = 0
        self.open = True

    def head(self, method, path, request, deadline_ms, length=None, key=KEY, extra=None):
        headers = {"Host": HOST, "Request-Id": request, "Deadline-Milliseconds": deadline_ms}
        if key:
            headers["Authorization"] = f"Token {key}"
        if length is not None:
            headers["Content-Length"] = length
        return message(f"{method} {path} HTTP/1.1", headers | (extra or {}))

    def send(self, data):
        self.socket.sendall(data)

    def receive(self, timeout):
        """Reads the answer to the request that was sent last."""
        self.requests += 1
        self.socket.settimeout(timeout)
        head = None
        try:
            head = self.reader.head()
            if head is None:
                self.close()
                return Answer(None, {}, b"", False, "closed")
            status = int(head[0].split(" ")[1])
            body = self.reader.body(head[1], ends_with_connection=True)
            if head[1].get("connection", "").lower() == "close" or body is None:
                self.close()
            return Answer(status, head[1], body, body is not None)
        except TimeoutError:
            self.close()
            return Answer(int(head[0].split(" ")[1]) if head else None, head[1] if head else {}, b"", False, "time out")
        except OSError as error:
            self.close()
            return Answer(int(head[0].split(" ")[1]) if head else None, head[1] if head else {}, b"", False, type(error).__name__)

    def call(self, method, path, request, deadline_ms, body=None, key=KEY, extra=None):
        length = None if body is None else len(body)
        try:
            self.send(self.head(method, path, request, deadline_ms, length, key, extra) + (body or b""))
        except OSError as error:
            self.close()
            return Answer(None, {}, b"", False, f"on sending: {type(error).__name__}")
        return self.receive(deadline_ms / 1000 + 2)

    def close(self):
        self.open = False
        self.socket.close()


class Process:
    """A gateway or sidecar, started with the command of the deploy file and settings as of a small deployment."""

    def __init__(self, folder, role, fields):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        text = (ROOT / deploy["template"]).read_text()
        settings = pathlib.Path(folder) / f"{fields['nodeName']}.conf"
        settings.write_text(fill(text, fields))
        words = shlex.split(deploy["run"])
        self.command = [str(ROOT / words[0])] + [str(settings) if it == "/etc/silverdock/local.conf" else it for it in words[1:]]
        self.name, self.settings, self.folder = fields["nodeName"], settings, folder
        self.fields = fields
        self.start()

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.log = open(pathlib.Path(self.folder) / f"{self.name}.log", "a")
        self.process = subprocess.Popen(self.command, cwd=ROOT, env=env | {"SILVERDOCK_SETTINGS": str(self.settings)}, stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory, or None if the process has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return None
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else None

    def end(self):
        if self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except OSError:
                pass
        self.process.wait()


def fill(text, fields):
    """Fills the template of a role. Of sections only the one of the zones is used."""
    zones = ",".join(f"{zone}={region}" for zone, region in fields["zones"].items())
    text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", zones, text)
    return re.sub(r"\{\{([^}]+)\}\}", lambda m: str(fields.get(m[1], "")), text)


BOUNDS = {"graceS": 8, "contactMs": 3000, "drainMs": 2000, "configApplyMs": 2000, "version_ms": 8000, "budgetRatio": 0.2,
          "budgetWindowS": 10, "retrySlack": 106}


def fields(net, machine, role, store, memory_mb=260, link_mbps=1000.0, **more):
    ip = f"{net}.{machine}"
    named = {"nodeName": f"{role}-{machine}", "region": "nairobi", "zone": "nbo-hall-a", "zones": {"nbo-hall-a": "nairobi"},
             "ip": ip, "internalPorts.0": 7700, "internalPorts.1": 7715, "limits.memoryMb": memory_mb, "limits.linkMbps": link_mbps,
             "listen.front": f"{ip}:8005", "listen.ready": f"{ip}:8002", "platform.address": "%s:%d" % store.address,
             "platform.writes_per_s": 400, "platform.reads_per_s": 2000}
    return named | {f"bounds.{name}": value for name, value in BOUNDS.items()} | more


def route(name, kind, service, **more):
    base = {"name": f"r-{name}", "host": HOST, "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 300,
            "priority": 2, "service": service, "attempts": 2, "publicAccess": False, "sticky": kind == "stream"}
    if kind == "stream":
        base |= {"timeoutMs": 6000, "targetLatencyMs": 500, "priority": 1, "resumable": True, "gapTargetMs": 400}
    return base | more


def configuration(version, routes, services, **more):
    base = {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-one", "apiKeys": [KEY], "priority": 1}]}
    return base | more


def plain_service(name):
    return {"name": name, "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": False}


def is_ready(ip):
    try:
        connection = Connection((ip, 8002))
        connection.send(message("GET /-/readiness HTTP/1.1", {"Host": ip}))
        answer = connection.receive(1.0)
        connection.close()
        return answer.status == 200
    except OSError:
        return False


def wait_until(check, timeout):
    until = now() + timeout
    while now() < until:
        if check():
            return True
        time.sleep(0.02)
    return False


def run_case(main):
    """Runs a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    processes = []
    trouble = os.environ.get("TROUBLE") != "0"
    code = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = main(record, scratch, processes, trouble)
        except Exception as error:  # The case could not run.
            record.add(f"the case could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
            import traceback
            traceback.print_exc()
        finally:
            for it in processes:
                it.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                import shutil
                shutil.copytree(scratch, keep, dirs_exist_ok=True)
    record.add(f"result {code}")
    sys.stdout.flush()
    os._exit(code)
