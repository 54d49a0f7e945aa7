"""Stand-ins of the platform in its own protocol: store, replicas, clients, and fronts as real processes.

Python's standard library only; everything is on loopback addresses, with free ports.
"""

import asyncio
import copy
import itertools
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
FRONT = os.path.join(ROOT, "target", "release", "sesame-front")
HELD, BROKEN, NOT_RUN = 0, 1, 2
START = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not be brought about, so that nothing is said of the rule."""


class Record:
    """The lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{now():8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def both(self, text):
        self(text)
        print(f"{now():8.3f} s  {text}", flush=True)


def free_port(ip):
    with socket.socket() as tcp:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        tcp.bind((ip, 0))
        return tcp.getsockname()[1]


def free_peer_port(ips):
    """Returns a port that is free for TCP and UDP at all addresses."""
    for _ in range(200):
        port = random.randint(20000, 30000)
        sockets = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    sockets.append(s)
                    s.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun("no free port for the fronts")


def loopback_ips(count):
    """Returns loopback addresses, one for each machine, that other runs hardly use."""
    a, b = random.randint(1, 250), random.randint(1, 250)
    return [f"127.{a}.{b}.{n}" for n in range(1, count + 1)]


class Message:
    """An HTTP message."""

    def __init__(self, first, headers, body, complete):
        self.first, self.headers, self.body, self.complete = first, headers, body, complete

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def header(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def chunks(reader):
    """Yields the chunks of a body; raises IncompleteReadError if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_message(reader, has_body=True):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    body, complete = b"", True
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif "chunked" in headers.get("transfer-encoding", ""):
            async for chunk in chunks(reader):
                body += chunk
    except (asyncio.IncompleteReadError, ConnectionError):
        complete = False
    return Message(first, headers, body, complete)


class Store:
    """The platform's store: objects by kind and name, with a single revision counter."""

    def __init__(self, record):
        self.record = record
        self.kinds = {}
        self.revision = 100
        self.raw_entries = {}
        self.era = 1
        self.is_down = False

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.ip, self.port = self.server.sockets[0].getsockname()[:2]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def put(self, kind, name, spec):
        """Writes an object as the operator or a replica does; returns the time of the confirmation."""
        self.revision += 1
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name, {"metadata": {"created": self.revision}})
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": old["metadata"]["created"],
            "finalizers": [],
            "deletion_requested": False,
        }
        objects[name] = {"metadata": metadata, "spec": spec, "status": old.get("status")}
        return now()

    def put_raw(self, kind, name, text):
        """Writes an entry of another writer, as the bytes of a whole object."""
        self.revision += 1
        self.raw_entries.setdefault(kind, {})[name] = text

    def remove(self, kind, name):
        self.revision += 1
        self.kinds.get(kind, {}).pop(name, None)

    def copy(self):
        return copy.deepcopy((self.kinds, self.revision))

    def restore(self, older):
        """Comes back from an older copy, as in a drill."""
        self.kinds, self.revision = copy.deepcopy(older)
        self.era += 1

    def listing(self, kind):
        items = {n: json.dumps(o).encode() for n, o in self.kinds.get(kind, {}).items()}
        items.update(self.raw_entries.get(kind, {}))
        body = b",".join(items[n] for n in sorted(items))
        return b'{"items":[' + body + b'],"has_more":false,"current_rev":%d}' % self.revision

    async def serve(self, reader, writer):
        try:
            while True:
                req = await read_message(reader)
                if req is None:
                    break
                if self.is_down:
                    break
                status, body = self.answer(req)
                await asyncio.sleep(0.004)
                head = (
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, req):
        method, path, _ = req.first.split(" ")
        path = path.split("?")[0]
        parts = path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return "404 Not Found", b"{}"
        kind = parts[2]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(parts) == 3:
            return "200 OK", self.listing(kind)
        if method == "GET":
            found = objects.get(parts[3])
            return ("200 OK", json.dumps(found).encode()) if found else ("404 Not Found", b"{}")
        if method == "POST":
            written = json.loads(req.body)
            name = written["metadata"]["name"]
            if name in objects:
                return "409 Conflict", json.dumps(objects[name]).encode()
            self.put(kind, name, written["spec"])
            return "201 Created", json.dumps(objects[name]).encode()
        if method == "PUT" and parts[3] in objects:
            written = json.loads(req.body)
            if len(parts) == 5:
                objects[parts[3]]["status"] = written.get("status", written)
            else:
                self.put(kind, parts[3], written["spec"])
            return "200 OK", json.dumps(objects[parts[3]]).encode()
        if method == "DELETE" and parts[3] in objects:
            self.remove(kind, parts[3])
            return "200 OK", b"{}"
        return "404 Not Found", b"{}"


class Run:
    """One request as a replica worked on it."""

    def __init__(self, replica, req):
        self.replica = replica
        self.id = req.header("x-sesamehaven-attempt-id")
        self.req = req
        self.arrived = now()
        self.began = None
        self.ended = None
        self.outcome = None


class Replica:
    """A replica that passes each request to `handle(run, reply)` in one of its slots.

    A run ends when its channel closes. Requests beyond slots and queue get 503 with Not-Executed.
    """

    def __init__(self, store, record, service, zone, slots=6, queue=24):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.slots, self.queue = slots, queue
        self.free = asyncio.Semaphore(slots)
        self.active = self.waiting = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.reached = []
        self.handle = None
        self.is_silent = False
        self.beating = None
        self.writers = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.ip, self.port = self.server.sockets[0].getsockname()[:2]
        self.beat()
        self.beating = asyncio.create_task(self.beats())

    def beat(self):
        self.sequence += 1
        spec = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return self.store.put("servers", self.id, spec)

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    def drain(self):
        """Reports that it drains; returns the time of the store's confirmation."""
        self.state = "draining"
        return self.beat()

    def head(self, status, req, headers=""):
        leaving = "Server-Leaving: 1\r\nConnection: close\r\n" if self.state == "draining" else ""
        load = f"{self.active},{self.waiting},{self.slots}"
        return (
            f"HTTP/1.1 {status}\r\nX-Sesamehaven-Attempt-Id: {req.header('x-sesamehaven-attempt-id')}\r\n"
            f"X-Sesamehaven-Replica-Load: {load}\r\nKeep-Alive: timeout=5\r\n{leaving}{headers}"
        )

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                req = await read_message(reader)
                if req is None or not req.complete:
                    break
                if self.is_silent:
                    # It answers nothing more on any channel.
                    await asyncio.sleep(3600)
                if not await self.answer(req, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, req, writer, status, body, headers="", sealed=True):
        seal = "X-Sesamehaven-Response-Seal: s.1\r\n" if sealed else ""
        head = self.head(status, req, f"{seal}{headers}Content-Length: {len(body)}\r\n")
        writer.write((head + "\r\n").encode() + body)
        await writer.drain()

    async def answer(self, req, reader, writer):
        """Answers one request; returns whether the channel stays."""
        run = Run(self, req)
        self.reached.append(run)
        if req.header("x-sesamehaven-expect-instance") not in (None, self.id):
            await self.reply(req, writer, "421 Misdirected Request", b"", "X-Sesamehaven-Not-Executed: 1\r\n", False)
            return True
        if self.active >= self.slots and self.waiting >= self.queue:
            await self.reply(req, writer, "503 Service Unavailable", b"", "X-Sesamehaven-Not-Executed: 1\r\n", False)
            return True
        deadline = float(req.header("x-sesamehaven-deadline-ms") or 60000) / 1000
        closed = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self.work(run, writer))
        done, _ = await asyncio.wait({closed, work}, timeout=deadline, return_when=asyncio.FIRST_COMPLETED)
        if work in done:
            closed.cancel()
            try:
                await closed
            except (asyncio.CancelledError, ConnectionError):
                pass
            work.result()
            return self.state == "ready"
        closed.cancel()
        work.cancel()
        try:
            await work
        except (asyncio.CancelledError, ConnectionError):
            pass
        run.ended, run.outcome = now(), "channel closed" if closed in done else "time limit"
        return False

    async def work(self, run, writer):
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.active += 1
        try:
            run.began = now()
            self.runs.append(run)
            await self.handle(run, writer)
            run.ended, run.outcome = now(), "done"
        finally:
            self.active -= 1
            self.free.release()

    def kill(self):
        """Ends like a killed process: the listener and all channels."""
        if self.beating:
            self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Front:
    """A process of the deploy file's command, with a settings file like those of the platform."""

    def __init__(self, ip, zone, peer_port, seeds, store, directory, bounds=None, memory_mb=110):
        self.ip, self.directory = ip, directory
        self.port, self.ready_port = free_port(ip), free_port(ip)
        self.settings = {
            "node": f"front-{zone}-{ip.split('.')[-1]}",
            "role": "front",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": zone,
            "region": "r",
            "zones": {"a": "r", "b": "r", "c": "r"},
            "listen": {
                "front": f"{ip}:{self.port}",
                "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{free_port(ip)}",
            },
            "port_range": [peer_port, peer_port + 15],
            "seeds": seeds,
            "first_start": False,
            "fault_counted": False,
            "limits": {"cpu_share": 0.19, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "quota", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                "rollback_slack_ms": 250, "max_stretch_ms": 5000, "revoke_strict": True, "revoke_ms": 5000,
                "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54,
                "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000, "recovery_s": 12,
                "pass_ms": 120, "reuse_window_s": 5.3, **(bounds or {}),
            },
            "platform": {"address": store.address, "form": "objects", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
        }
        self.path = os.path.join(directory, f"{ip}.json")
        self.log_path = os.path.join(directory, f"{ip}.log")
        with open(self.path, "w", encoding="utf-8") as f:
            json.dump(self.settings, f)
        self.process = None

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["SESAMEHAVEN_SETTINGS"] = self.path
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen([FRONT], cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        # What the platform grants, whatever the shell does.
        limit = self.settings["limits"]["max_fds"]
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (limit, limit))

    def signal(self, number):
        os.kill(self.process.pid, number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ready_port), 1)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            res = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return res is not None and res.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=10):
        end = now() + limit
        while not await self.is_ready():
            if now() > end or self.process.poll() is not None:
                raise CannotRun(f"the front at {self.ip} is not ready")
            await asyncio.sleep(0.05)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
            self.log.close()


IDS = itertools.count(1)


def new_id():
    return f"{random.getrandbits(40):010x}{next(IDS):06x}"


class Answer:
    """What a client got for one request."""

    def __init__(self, request_id):
        self.id, self.sent = request_id, now()
        self.status = self.error = None
        self.headers, self.body, self.complete = {}, b"", False
        self.ended = None
        self.events = []


async def request(front, host, path, key, method="POST", body=b"{}", deadline_ms=5000, headers=(),
                  on_event=None):
    """Sends a request on a new channel and reads the answer until the time limit."""
    answer = Answer(new_id())
    writer = None
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Sesamehaven-Attempt-Id: {answer.id}",
        f"X-Sesamehaven-Deadline-Ms: {deadline_ms}", f"X-Api-Key: {key}",
        *[f"{n}: {v}" for n, v in headers],
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    text = "\r\n".join(lines).encode() + b"\r\n\r\n" + (body if method != "GET" else b"")

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(front.ip, front.port, limit=1 << 22)
        answer.sent = now()
        writer.write(text)
        head = await read_head(reader)
        if head is None:
            answer.error = "channel closed"
            return
        first, answer.headers = head
        answer.status = int(first.split(" ")[1])
        if "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        else:
            async for chunk in chunks(reader):
                answer.body += chunk
                answer.events.append(now())
                if on_event:
                    on_event(chunk)
        answer.complete = True

    try:
        await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except asyncio.TimeoutError:
        answer.error = "time limit"
    except (OSError, asyncio.IncompleteReadError) as err:
        answer.error = f"channel broke: {type(err).__name__}"
    finally:
        if writer:
            writer.close()
    answer.ended = now()
    return answer


def need_descriptors(count):
    """Raises this process's soft limit on descriptors, as far as its hard limit allows."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < count:
        raise CannotRun(f"this process may open {hard} descriptors, and needs {count}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def main(folder, case, trouble, descriptors=4200):
    """Runs `case(record, directory, trouble, fronts)`, ends all processes, and exits with its result."""
    record = Record(os.path.join(folder, "record.txt"))
    fronts = []
    record.both(f"TROUBLE={int(trouble)}")
    with tempfile.TemporaryDirectory(prefix="review-") as directory:
        try:
            if not os.path.exists(FRONT):
                raise CannotRun("target/release/sesame-front is not built")
            need_descriptors(descriptors)
            result = asyncio.run(asyncio.wait_for(case(record, directory, trouble, fronts), 110))
        except (CannotRun, asyncio.TimeoutError, OSError) as err:
            record.both(f"the case could not run: {type(err).__name__} {err}")
            result = NOT_RUN
        finally:
            for front in fronts:
                front.stop()
            if os.environ.get("KEEP_LOGS"):
                for front in fronts:
                    with open(front.log_path, "rb") as f:
                        sys.stderr.write(f.read().decode("utf-8", "replace"))
    record.both({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[result])
    sys.exit(result)
