"""A trial, not a case: the reader of a front's log stands still; SIGTERM must still end the front in time."""

import asyncio
import os
import signal
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standins as s  # noqa: E402


async def case(record, work, fronts):
    store = s.Store(record)
    await store.start(s.loopback_ip(1))
    store.put("config", "main", s.config(7, [s.route("peek", "idempotent", public=True)]))

    async def handler(replica, line, headers, body, writer):
        await replica.reply(writer, headers, 200, b"done")

    replica = s.Replica(store, record, "i-0", handler)
    await replica.start()
    front = s.Front(record, "front-a-1", s.loopback_ip(2), store, work)
    fronts.append(front)
    env = {"PATH": os.environ["PATH"], "SESAMEHAVEN_SETTINGS": front.path}
    out = subprocess.PIPE if s.TROUBLE else subprocess.DEVNULL
    front.process = subprocess.Popen(s.deploy_command(), cwd=s.ROOT, env=env, stdout=out)
    await front.wait_ready()
    answered = 0
    reader, writer = await asyncio.open_connection(front.ip, front.front)
    for n in range(3000):
        writer.write(s.request_head("GET", "/peek/1", f"a{n}", 0))
        answer = await asyncio.wait_for(s.read_message(reader), 5)
        answered += answer is not None and "200" in answer[0]
    record.say(f"{answered} of 3000 answered")
    front.signal(signal.SIGTERM)
    began = record.now()
    while front.process.poll() is None and record.now() - began < 20:
        await asyncio.sleep(0.05)
    took = record.now() - began
    record.say(f"ended {took:.1f} s after SIGTERM, code {front.process.poll()}; grace is {s.BOUNDS['grace_s']} s")
    return front.process.poll() is None


if __name__ == "__main__":
    sys.exit(s.main(case, FOLDER))
