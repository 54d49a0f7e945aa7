"""Stand-ins for the scripts of review/11 to review/15, in Python's standard library.

They follow the users' pages: a store (kinds `config`, `servers` and those of the system), replicas that
register there, and clients. The fronts are real processes, started with the command of the deploy file.
All addresses are loopback addresses with free ports.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.2
HEALTH = "/health"  # the health check of all services here
ERA = 1  # of the store, in all its answers (LETTER-4); it is never restored from a copy here
BROKEN, HELD, NOT_RUN = 1, 0, 2
# As in the settings that the platform shows for a small site.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "revoke_strict": True, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54, "quota_window_s": 8,
    "quota_overage": 0.1, "quota_slack": 110000, "recovery_s": 12, "pass_ms": 120,
    "reuse_window_s": 5.3,
}


class Record:
    """What was sent, answered and run, in seconds since the start."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, event, **fields):
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append((at, f"{at:9.3f} {event} {text}"))
        return at

    def write(self, folder):
        with open(os.path.join(folder, "record.txt"), "w") as out:
            for _, line in self.lines:
                out.write(line + "\n")


def free_port(ips):
    """Returns a port that is free at all of the addresses, for TCP and UDP."""
    for _ in range(200):
        port = random.randint(20000, 31000)
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    held.append(sock)
                    sock.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise RuntimeError("no free port")


def loopback_ip():
    return f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


class Bad(Exception):
    pass


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


def field(fields, name):
    return next((value for key, value in fields if key == name), None)


async def read_request(reader):
    first, fields = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = b""
    if (field(fields, "transfer-encoding") or "").lower() == "chunked":
        body = await read_chunks(reader)
    elif field(fields, "content-length"):
        body = await reader.readexactly(int(field(fields, "content-length")))
    return method, target, fields, body


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def closes(writer):
    try:
        writer.close()
    except Exception:
        pass


class Store:
    """The platform's store. `mode` is up, silent, busy or reset."""

    def __init__(self, record):
        self.record = record
        self.mode = "up"
        self.revision = 100
        self.kinds = {}
        self.beats = {}
        self.ip = "127.0.0.1"
        self.port = None
        self.writers = set()

    async def start(self):
        self.port = free_port([self.ip])
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.expiry = asyncio.create_task(self.expire())

    def put(self, kind, name, spec, status=None):
        known = self.kinds.setdefault(kind, {})
        previous = known.get(name)
        if previous and previous["spec"] == spec:
            return previous
        self.revision += 1
        known[name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created": previous["metadata"]["created"] if previous else self.revision,
                         "finalizers": [], "deletion_requested": False},
            "spec": spec, "status": status,
        }
        return known[name]

    def remove(self, kind, name):
        if self.kinds.get(kind, {}).pop(name, None) is not None:
            self.revision += 1

    def configure(self, config):
        self.put("config", "main", config)
        return self.record.add("config_confirmed", version=config["version"])

    def beat(self, name, spec):
        """A replica's liveness report; returns whether it was accepted."""
        if self.mode != "up":
            return False
        self.put("servers", name, spec)
        self.beats[name] = time.monotonic()
        return True

    def set_mode(self, mode):
        self.mode = mode
        self.record.add("store", mode=mode)
        if mode == "up":
            # Replicas report again before their entries expire.
            self.beats = {name: time.monotonic() for name in self.beats}
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            if self.mode != "up":
                continue
            for name, at in list(self.beats.items()):
                if time.monotonic() - at > 3 * BEAT_S:
                    del self.beats[name]
                    self.remove("servers", name)
                    self.record.add("entry_expired", server=name)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, target, _, body = await read_request(reader)
                if self.mode == "silent":
                    # The channel returns nothing any more.
                    await reader.read()
                    return
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                if self.mode == "busy":
                    status, answer = 503, {}
                else:
                    await asyncio.sleep(0.004)
                    status, answer = self.call(method, target, body)
                raw = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, ERA, len(raw)) + raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            closes(writer)

    def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        found = re.fullmatch(r"/v1/objects/([^/]+)(?:/([^/]+))?(/status)?", url.path)
        if not found:
            return 404, {}
        kind, name = found.group(1), found.group(2)
        name = urllib.parse.unquote(name) if name else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is None:
            names = sorted(n for n in objects if n > query.get("after_rev", ""))
            items = [objects[n] for n in names[:500]]
            return 200, {"items": items, "has_more": len(names) > 500, "current_rev": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, sent.get("spec"))
        if name not in objects:
            return 404, {}
        wanted = (sent.get("metadata") or {}).get("revision")
        if wanted is not None and wanted != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        if method == "PUT" and found.group(3):
            objects[name]["status"] = sent.get("status")
            return 200, objects[name]
        if method == "PUT":
            return 200, self.put(kind, name, sent.get("spec"))
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 404, {}


class Replica:
    """A replica of a service. `on_run(replica, request)` may end the process (returns "crash")."""

    def __init__(self, record, store, service, zone="z-a", slots=6, queue=24, work_s=0.03, on_run=None,
                 is_streaming=False):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.slots, self.queue, self.work_s, self.on_run = slots, queue, work_s, on_run
        self.is_streaming = is_streaming
        self.ip = "127.0.0.1"
        self.port = free_port([self.ip])
        self.running = self.waiting = 0
        self.writers = set()
        self.server = None
        self.id = None
        self.sequence = 0
        self.ran = []
        self.version = "v1"

    async def start(self, keeps_id=False):
        """Starts a new lifetime, with a new id or with the one that it had."""
        if not keeps_id:
            self.id = "i-%010x" % random.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self.room = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beats = asyncio.create_task(self.beat())
        self.record.add("server_started", server=self.id, service=self.service, version=self.version)

    def crash(self):
        """Ends the process: its channels end and nothing listens at its address."""
        if self.server is None:
            return
        self.record.add("server_crashed", server=self.id)
        self.server.close()
        self.server = None
        self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.beat(self.id, {
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": "ready", "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born,
            })
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, target, fields, body = await read_request(reader)
                await self.answer(reader, writer, method, target, fields, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            closes(writer)

    def head(self, status, attempt, extra):
        lines = [f"HTTP/1.1 {status} X", "Keep-Alive: timeout=10",
                 f"X-Sesamehaven-Replica-Load: {self.running},{self.waiting},{self.slots}"]
        if attempt:
            lines.append(f"X-Sesamehaven-Attempt-Id: {attempt}")
        return ("\r\n".join(lines + extra) + "\r\n\r\n").encode()

    def refuse(self, writer, status, attempt):
        writer.write(self.head(status, attempt, ["X-Sesamehaven-Not-Executed: 1", "Content-Length: 0"]))

    async def answer(self, reader, writer, method, target, fields, body):
        attempt = field(fields, "x-sesamehaven-attempt-id")
        expected = field(fields, "x-sesamehaven-expect-instance")
        self.record.add("arrives", id=attempt, server=self.id)
        if not attempt and (method, target) != ("GET", HEALTH):
            return self.refuse(writer, 400, None)
        if expected and expected != self.id:
            return self.refuse(writer, 421, attempt)
        if self.waiting >= self.queue:
            return self.refuse(writer, 503, attempt)
        identity = self.id
        self.waiting += 1
        try:
            await self.room.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            if self.id != identity or self.server is None:
                raise ConnectionError
            if target == HEALTH:
                writer.write(self.head(200, attempt, [f"X-Sesamehaven-Replica-Id: {self.id}", "Content-Length: 0"]))
                return await writer.drain()
            run = {"at": self.record.now(), "id": attempt, "target": target, "body": body, "fields": fields,
                   "server": self.id, "service": self.service}
            self.ran.append(run)
            self.record.add("runs", id=attempt, server=self.id)
            if self.on_run and self.on_run(self, run) == "crash":
                self.crash()
                raise ConnectionError
            await self.work(writer, attempt, fields)
        finally:
            self.running -= 1
            self.room.release()

    async def work(self, writer, attempt, fields):
        seal = "X-Sesamehaven-Response-Seal: " + "%x.%s" % (random.getrandbits(32), attempt)
        if not self.is_streaming:
            await asyncio.sleep(self.work_s)
            writer.write(self.head(200, attempt, [seal, "Content-Length: 2"]) + b"ok")
            return await writer.drain()
        await asyncio.sleep(self.work_s)
        writer.write(self.head(200, attempt, [seal, "Content-Type: text/event-stream",
                                              "Transfer-Encoding: chunked"]))
        for number in range(2):
            event = b"id: %d\ndata: piece\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Front:
    """A process of the deploy file's role `front`."""

    def __init__(self, record, folder, name, ip, ports, store, seeds, bounds, zone="z-a"):
        self.record, self.name, self.ip = record, name, ip
        self.listen, self.ready, self.control, self.peers = ports
        self.path = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None
        self.settings = {
            "node": name, "role": "front", "machine_class": "front", "serves": ["front", "control"],
            "ip": ip, "zone": zone, "region": "r", "zones": {zone: "r"},
            "listen": {"front": f"{ip}:{self.listen}", "ready": f"{ip}:{self.ready}",
                       "control": f"{ip}:{self.control}"},
            "port_range": [self.peers, self.peers], "seeds": seeds, "first_start": True,
            "fault_counted": False,
            "limits": {"cpu_share": 0.19, "cores": 1, "memory_mb": 110, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "quota", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": bounds,
            "platform": {"address": f"{store.ip}:{store.port}", "form": "objects", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "min_ttl_ms": 1000},
        }

    def start(self):
        with open(self.path, "w") as out:
            json.dump(self.settings, out)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["SESAMEHAVEN_SETTINGS"] = self.path
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen([deploy_command()], cwd=ROOT, env=env, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.settings["first_start"] = False
        self.record.add("front_started", name=self.name)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.add("front_killed", name=self.name)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            got = await asyncio.wait_for(
                exchange(self.ip, self.ready, "GET", "/v1/ready", [("Host", self.ip)], b""), 0.5)
            return got.status == 200
        except (OSError, Bad, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise Bad(f"{self.name} is not ready")
            await asyncio.sleep(0.02)
        self.record.add("front_ready", name=self.name)


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml")) as lines:
        found = re.search(r'^run\s*=\s*"([^"]+)"', lines.read(), re.M)
    words = found.group(1).split()
    assert len(words) == 1, words
    return os.path.join(ROOT, words[0])


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


async def exchange(ip, port, method, target, fields, body):
    """Sends one request on a new channel and reads the whole answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)
    try:
        lines = [f"{method} {target} HTTP/1.1"] + [f"{n}: {v}" for n, v in fields]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        first, got = await read_head(reader)
        status = int(first.split()[1])
        if (field(got, "transfer-encoding") or "").lower() == "chunked":
            whole = await read_chunks(reader)
        elif field(got, "content-length"):
            whole = await reader.readexactly(int(field(got, "content-length")))
        else:
            whole = await reader.read()
        return Answer(status, got, whole)
    finally:
        closes(writer)


class Client:
    def __init__(self, record, host):
        self.record, self.host = record, host
        self.sent = {}

    async def send(self, front, method, target, key, deadline_ms, fields=(), body=b"", note=""):
        """Makes one attempt; returns its status, or None if the channel ended or the time was over."""
        attempt = "%016x" % random.getrandbits(64)
        self.sent[attempt] = self.record.add("sent", id=attempt, to=front.name, target=target, note=note)
        all_fields = [("Host", self.host), ("X-Sesamehaven-Attempt-Id", attempt),
                      ("X-Sesamehaven-Deadline-Ms", deadline_ms)]
        if key:
            all_fields.append(("X-Api-Key", key))
        all_fields += list(fields)
        try:
            got = await asyncio.wait_for(
                exchange(front.ip, front.listen, method, target, all_fields, body), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as err:
            self.record.add("no_answer", id=attempt, why=type(err).__name__)
            return attempt, None, None
        self.record.add("answered", id=attempt, status=got.status)
        return attempt, got.status, got


class Deployment:
    """The store, the replicas and the fronts of one play."""

    def __init__(self, folder, fronts=3, bounds=None):
        self.folder = folder
        self.record = Record()
        self.temp = tempfile.mkdtemp(prefix="review-3-")
        self.store = Store(self.record)
        self.count = fronts
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.fronts, self.replicas = [], []

    async def start(self, config, replicas):
        await self.store.start()
        self.store.configure(config)
        self.replicas = replicas
        for replica in replicas:
            await replica.start()
        ips = set()
        while len(ips) < self.count:
            ips.add(loopback_ip())
        ips = sorted(ips)
        ports = []
        while len(ports) < 4:
            port = free_port(ips)
            if port not in ports:
                ports.append(port)
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        for number, ip in enumerate(ips):
            self.fronts.append(Front(self.record, self.temp, f"front-{number + 1}", ip, ports, self.store,
                                     seeds, self.bounds))
        for front in self.fronts:
            front.start()
        for front in self.fronts:
            await front.wait_ready()

    def end(self):
        for front in self.fronts:
            front.end()
        self.record.write(self.folder)
        shutil.rmtree(self.temp, ignore_errors=True)

    def runs(self):
        return sorted((run for replica in self.replicas for run in replica.ran), key=lambda r: r["at"])


def play(folder, fronts, scenario, kind=Deployment):
    """Runs a scenario, which returns the list of breaks, and exits with its result."""
    deployment = kind(folder, fronts)
    code = NOT_RUN
    # The processes that were started end also if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        async def main():
            return await asyncio.wait_for(scenario(deployment), 115)

        breaks = asyncio.run(main())
        for text in breaks:
            deployment.record.add("BROKEN", what=text)
            print("broken:", text)
        if not breaks:
            print("held")
        code = BROKEN if breaks else HELD
    except Exception as err:
        print("could not run:", type(err).__name__, err)
        deployment.record.add("could_not_run", why=repr(err))
    finally:
        deployment.end()
    sys.exit(code)


def quota_breaks(deployment, client, charges, rate, burst, bounds):
    """The rule QUOTA over all windows: requests that were both sent in one and ran in it."""
    window = bounds["quota_window_s"]
    limit = (rate * window + burst) * (1 + bounds["quota_overage"]) + bounds["quota_slack"]
    first = {}
    for run in deployment.runs():
        first.setdefault(run["id"], run["at"])
    counted = sorted((client.sent[i], at, charges[i]) for i, at in first.items() if i in charges)
    worst = (0, 0.0)
    for start, _, _ in counted:
        total = sum(n for sent, ran, n in counted if sent >= start and ran <= start + window)
        worst = max(worst, (total, start))
    deployment.record.add("quota", most=worst[0], limit=int(limit), window_from=f"{worst[1]:.3f}")
    print(f"most in a window of {window} s: {worst[0]} tokens, limit {int(limit)}")
    if worst[0] > limit:
        return [f"QUOTA: {worst[0]} tokens sent and run in the {window} s from {worst[1]:.3f}, limit {int(limit)}"]
    return []
