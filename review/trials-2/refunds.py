"""A trial, no case: see refunds.txt. It writes record.txt beside it and exits as a case does.

A tenant uses its quota while replicas hang on part of their requests, is refused, and comes back one window later."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from setups import *
from standins import *

# With TROUBLE=0 the script does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROMPT, OUTPUT = 2890, 52
TOKENS = PROMPT + OUTPUT
RATE, BURST, WINDOW_S = 29_000, 29_000, 8.0
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 110_000
HANG_SHARE, HANG_S = 0.45, 4.0
HEADERS = [("X-Sesamehaven-Model", "m"), ("X-Sesamehaven-Token-Usage", f"{PROMPT},{OUTPUT}")]


async def case(record, directory, trouble, fronts):
    deployment = Deployment(record, directory, fronts)
    sent = {}
    is_hanging = asyncio.Event()
    is_back = asyncio.Event()
    luck = random.Random(1)

    async def handle(run, writer):
        if is_hanging.is_set() and luck.random() < HANG_SHARE:
            await is_back.wait()
            raise ConnectionResetError
        seal = "X-Sesamehaven-Response-Seal: s.1\r\n"
        kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        await asyncio.sleep(0.06)
        writer.write((run.replica.head("200 OK", run.req, seal + kind) + "\r\n").encode())
        for n in range(1, 4):
            event = f"id: {n}\ndata: {n}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    tenant = {"name": "t1", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 200, "rate_per_s": RATE,
              "burst": BURST}
    spec = config(7, [route("brief", "streaming", "models", target_gap_ms=200, max_attempts=1)], [tenant])
    await deployment.start(spec, [("models", 3, 6, handle)], 3)
    # One window, after which all fronts know the usage.
    await asyncio.sleep(9)

    async def send(count, span, label):
        async def one(n):
            await asyncio.sleep(span * n / count)
            a = await request(fronts[n % 3], HOST, "/brief/1", KEY, headers=HEADERS, deadline_ms=15000)
            sent[a.id] = a.sent
            return a

        answers = await asyncio.gather(*[one(n) for n in range(count)])
        found = {}
        for a in answers:
            found[a.status or a.error] = found.get(a.status or a.error, 0) + 1
        record.both(f"{label}: {count} requests of {TOKENS} tokens within {span} s, answers {found}, the last one "
                    f"after {max(a.ended - a.sent for a in answers):.2f} s")

    began = now()
    if trouble:
        is_hanging.set()
        record.both(f"all replicas hang on {HANG_SHARE} of their requests")
    first = asyncio.create_task(send(110, 0.5, "the tenant's first requests"))
    await asyncio.sleep(HANG_S)
    if trouble:
        is_hanging.clear()
        is_back.set()
        record.both("the replicas reset what hangs, and are well again")
    await first
    await asyncio.sleep(began + 8.7 - now())
    await send(230, 2.5, "the tenant's next requests")
    runs = sorted((sent[run.id], run.arrived, run.id) for r in deployment.replicas for run in r.runs)
    most = 0
    for start, _, _ in runs:
        most = max(most, sum(1 for s, arrived, _ in runs if s >= start and arrived <= start + WINDOW_S))
    for s, arrived, request_id in runs:
        record(f"request {request_id} sent at {s:.3f} s ran from {arrived:.3f} s")
    record.both(f"most that was sent and ran within {WINDOW_S} s: {most} requests, {most * TOKENS} tokens; the rule "
                f"allows {ALLOWED:.0f}")
    return BROKEN if most * TOKENS > ALLOWED else HELD


main(os.path.dirname(os.path.abspath(__file__)), case, TROUBLE)
