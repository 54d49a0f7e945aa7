"""A trial, not a case: clients read long answers slowly; the front must stay inside its memory and lose nothing it took."""

import asyncio
import os
import signal
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standins as s  # noqa: E402

MEMORY_MB = 110
ANSWER_BYTES = 8_388_608
READERS = 40
READERS_PER_S = 10
READ_S = 10.0
KEPT_CLIENTS = 12
WORK_S = 0.1


async def case(record, work, fronts):
    store = s.Store(record)
    await store.start(s.loopback_ip(1))
    store.put("config", "main", s.config(7, [
        s.route("book", "non_idempotent", timeout_ms=15000),
        s.route("peek", "idempotent", timeout_ms=15000)]))

    ran = {}

    async def handler(replica, line, headers, body, writer):
        attempt = headers["x-sesamehaven-attempt-id"]
        replica.run(headers)
        ran[attempt] = "running"
        await asyncio.sleep(WORK_S)
        await replica.reply(writer, headers, 200, b"x" * ANSWER_BYTES if "/peek/" in line else b"done")
        ran[attempt] = "answered"

    replicas = [s.Replica(store, record, f"i-{n}", handler, slots=6) for n in range(4)]
    for replica in replicas:
        await replica.start()
    front = s.Front(record, "front-a-1", s.loopback_ip(2), store, work, memory_mb=MEMORY_MB)
    fronts.append(front)
    front.start()
    await front.wait_ready()
    await asyncio.sleep(1)

    peak = 0.0
    done = asyncio.Event()

    async def platform():
        """Kills the process when it exceeds memory_mb, as DEPLOY.md says."""
        nonlocal peak
        while not done.is_set():
            rss = front.rss_mb()
            if rss is not None:
                peak = max(peak, rss)
                if rss > MEMORY_MB:
                    record(f"front {front.name} holds {rss:.0f} MiB of {MEMORY_MB}: killed")
                    front.signal(signal.SIGKILL)
                    return
            await asyncio.sleep(0.02)

    lost = []

    async def kept_client(n, until):
        reader, writer = await asyncio.open_connection(front.ip, front.front)
        count = 0
        while record.now() < until:
            count += 1
            attempt = f"kept-{n}-{count}"
            record(f"client sends {attempt}")
            writer.write(s.request_head("POST", "/book/1", attempt, 4, 15000) + b"book")
            answer = await s.read_message(reader)
            if answer is None or not answer[3]:
                record(f"client gets no answer to {attempt}, replica: {ran.get(attempt)}")
                if count > 1 and attempt in ran:
                    lost.append(attempt)
                return
            record(f"client gets {answer[0]} to {attempt}")

    statuses = {}

    async def slow_reader(n):
        await asyncio.sleep(n / READERS_PER_S)
        attempt = f"slow-{n}"
        try:
            # A small receive buffer, as of a client behind a slow link.
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (front.ip, front.front))
            reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 16)
            writer.write(s.request_head("GET", "/peek/2", attempt, 0, 15000))
            record(f"client sends {attempt}")
            head = await reader.readuntil(b"\r\n\r\n")
            status = head.split(b" ")[1].decode()
            statuses[status] = statuses.get(status, 0) + 1
            left = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            total = left
            while left > 0:
                part = await reader.read(min(left, 1 << 14))
                if not part:
                    break
                left -= len(part)
                if s.TROUBLE:
                    await asyncio.sleep(READ_S * len(part) / max(total, 1 << 16))
            record(f"client has read {total - left} of {total} bytes of {status} to {attempt}")
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError) as err:
            record(f"client's channel of {attempt} breaks: {err!r}")

    watch = asyncio.create_task(platform())
    until = record.now() + READERS / READERS_PER_S + 6
    clients = [asyncio.create_task(kept_client(n, until)) for n in range(KEPT_CLIENTS)]
    await asyncio.sleep(1)
    await asyncio.gather(*(slow_reader(n) for n in range(READERS)))
    await asyncio.gather(*clients)
    done.set()
    await watch
    record.say(f"answers to the readers: {statuses}")
    record.say(f"peak {peak:.0f} MiB of {MEMORY_MB}; {len(lost)} requests on kept channels were passed on "
               f"to a sound replica and ended without an answer (more than 3 break LOST)")
    return len(lost) > 3


if __name__ == "__main__":
    sys.exit(s.main(case, FOLDER))
