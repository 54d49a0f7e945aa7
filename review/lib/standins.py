"""Stand-ins for the users' platform, and the start of real front processes, for the cases of the review.

Everything runs on loopback addresses. The stand-ins speak what PROTOCOL.md says: the store, replicas and
clients. Only Python's standard library is used.
"""

import asyncio
import copy
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of a small deployment, as the settings of its processes have them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "revoke_strict": True, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54,
    "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000, "recovery_s": 12,
    "pass_ms": 120, "reuse_window_s": 5.3,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def loopback_ip(n):
    """Returns a loopback address that no other run uses; each front expects a machine of its own."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{1 + pid % 250}.{n}"


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_message(reader):
    """Reads an HTTP/1.1 message with a length, in chunks or without a body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    body, whole = b"", True
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        whole = False
    return lines[0], headers, body, whole


def route(name, kind, **fields):
    return {
        "name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
        "timeout_ms": 5000, "target_latency_ms": 500, "priority": 0, "service": "huvo11a",
        "max_attempts": 2 if kind == "idempotent" else 1, "public": False, "sticky": False,
        "resumable": False, **fields,
    }


def config(version, routes, keys=(KEY,), **limits):
    return {
        "version": version, "routes": routes,
        "services": [{"name": "huvo11a", "health_check": "/health", "max_conns": 360,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000, **limits},
        "tenants": [{"name": TENANT, "api_keys": list(keys), "priority": 1}],
    }


class Store:
    """The platform's metadata store: objects by kind and name, with one revision counter."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 1
        self.era = 1
        self.server = None
        self.address = None
        self.is_down = False
        self.on_message = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def put(self, kind, name, spec):
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1, "finalizers": [],
                "deletion_requested": False}
        self.objects[(kind, name)] = {"metadata": meta, "spec": spec, "status": None}

    def copy(self):
        return copy.deepcopy(self.objects), self.revision

    def restore(self, older):
        """Comes back from a copy: revisions go back, and the era rises by one."""
        objects, self.revision = older
        self.objects, self.era = copy.deepcopy(objects), self.era + 1

    def remove(self, kind, name):
        self.revision += 1
        self.objects.pop((kind, name), None)

    async def serve(self, reader, writer, who=None):
        try:
            while (message := await read_message(reader)) is not None:
                status, body = self.answer(message)
                if self.on_message is not None:
                    self.on_message(who, message[0])
                body = json.dumps(body).encode()
                head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Store-Era: {self.era}\r\nContent-Length: {len(body)}\r\n\r\n")
                writer.write(head.encode() + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def answer(self, message):
        if self.is_down:
            return 503, {}
        line, _, body, _ = message
        method, target, _ = line.split(" ")
        parts = target.split("?")[0].strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, {}
        kind = parts[2]
        if method == "GET" and len(parts) == 3:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        if method == "POST" and len(parts) == 3:
            sent = json.loads(body)
            name = sent["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            self.put(kind, name, sent.get("spec"))
            return 200, self.objects[(kind, name)]
        found = self.objects.get((kind, parts[3])) if len(parts) > 3 else None
        if found is None:
            return 404, {}
        if method == "PUT" and len(parts) == 4:
            sent = json.loads(body)
            revision = sent.get("metadata", {}).get("revision")
            if revision is not None and revision != found["metadata"]["revision"]:
                return 409, found
            # What changes nothing does not increase the revision.
            if sent.get("spec") != found["spec"]:
                self.put(kind, parts[3], sent.get("spec"))
            return 200, self.objects[(kind, parts[3])]
        return (200, found) if method == "GET" and len(parts) == 4 else (404, {})


class Replica:
    """A replica that registers in the store and runs what it gets through a handler."""

    def __init__(self, store, record, name, handler, service="huvo11a", slots=6, version="v1"):
        self.store, self.record, self.name, self.handler = store, record, name, handler
        self.service, self.slots, self.version = service, slots, version
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.address = None
        self.server = None
        self.beats = None
        self.writers = set()
        self.is_leaving = False

    def exit(self):
        """Ends as a process does: its listener and all its channels are closed."""
        self.beats.cancel()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def start(self, ip="127.0.0.1", registers=True):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 23)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"
        if registers:
            self.report("ready")
            self.beats = asyncio.create_task(self._beat())

    def report(self, state):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": "jylland-a",
            "version": self.version, "slots": self.slots, "state": state,
            "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born})

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            if ("servers", self.name) in self.store.objects and not self.store.is_down:
                self.report(self.store.objects[("servers", self.name)]["spec"]["state"])

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body, whole = message
                if not whole:
                    break
                expected = headers.get("x-sesamehaven-expect-instance")
                if expected not in (None, self.name):
                    await self.reply(writer, headers, 421, b"", sealed=False)
                    continue
                if await self.handler(self, line, headers, body, writer) == "close":
                    break
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def run(self, headers, text=""):
        attempt = headers.get("x-sesamehaven-attempt-id", "")
        self.runs.append((self.record.now(), attempt))
        self.record(f"replica {self.name} runs {attempt} {text}")

    async def reply(self, writer, headers, status, body, sealed=True, extra=""):
        attempt = headers.get("x-sesamehaven-attempt-id", "")
        seal = f"X-Sesamehaven-Response-Seal: {self.name}.{attempt}\r\n" if sealed else ""
        # A replica that leaves says so in all its answers.
        extra += "Server-Leaving: 1\r\n" if self.is_leaving else ""
        head = (f"HTTP/1.1 {status} X\r\nX-Sesamehaven-Attempt-Id: {attempt}\r\n{seal}{extra}"
                f"Keep-Alive: timeout=5\r\nContent-Length: {len(body)}\r\n\r\n")
        writer.write(head.encode() + body)
        await writer.drain()


class Front:
    """A front process, started with the command of the deploy file and a settings file."""

    def __init__(self, record, name, ip, store, folder, memory_mb=110, seeds=(), bounds=None,
                 first_start=True, ports=None):
        self.record, self.name, self.ip = record, name, ip
        # The ports are the same on all machines.
        self.ports = ports or [free_port(ip) for _ in range(4)]
        self.front, self.ready, self.control, low = self.ports
        settings = {
            "node": name, "role": "front", "machine_class": "front", "serves": ["front", "control"],
            "ip": ip, "zone": "jylland-a", "region": "jylland", "zones": {"jylland-a": "jylland"},
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}",
                       "control": f"{ip}:{self.control}"},
            "port_range": [low, low + 15], "seeds": [f"{s}:{self.control}" for s in seeds],
            "first_start": first_start, "fault_counted": False,
            "limits": {"cpu_share": 0.19, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "quota", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": store.address, "form": "objects", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "min_ttl_ms": 1000},
        }
        self.path = os.path.join(folder, f"{name}.json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None

    def start(self):
        program = deploy_command()
        if not os.path.exists(os.path.join(ROOT, program[0])):
            raise CannotRun(f"{program[0]} is not built")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
               "LANG": "C.UTF-8", "SESAMEHAVEN_SETTINGS": self.path}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(program, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record(f"front {self.name} started")

    def signal(self, number):
        self.record(f"front {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def rss_mb(self):
        """Returns the resident memory of the process in MiB, or None if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and " 200 " in answer[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                self.record(f"front {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"front {self.name} is not ready")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def deploy_command():
    """Returns the command of the role from the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run = "):
                return line.split("=", 1)[1].strip().strip('"').split(" ")
    raise CannotRun("the deploy file has no command")


def request_head(method, path, attempt, length, deadline_ms=5000, key=KEY, extra=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Sesamehaven-Attempt-Id: {attempt}\r\n"
            f"X-Sesamehaven-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {key}\r\n{extra}"
            f"Content-Length: {length}\r\n\r\n").encode()


def main(case, folder, seconds=110):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="review-")
    fronts = []
    record(f"TROUBLE={int(TROUBLE)}")

    async def bounded():
        return await asyncio.wait_for(case(record, work, fronts), seconds)

    try:
        broken = asyncio.run(bounded())
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as err:
        record.say(f"the case couldn't run: {err!r}")
        code = 2
    finally:
        for front in fronts:
            front.kill()
        if os.environ.get("KEEP_LOGS"):
            print(work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    record.say({0: "the rule held", 1: "the rule was broken", 2: "not run"}[code])
    return code
